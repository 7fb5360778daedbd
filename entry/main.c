/* Command line of hickorytrestle-entry, an entry instance on the users' platform. */
#include "entry/entry.h"
#include "entry/settings.h"

#include <ev.h>
#include <fcntl.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define VERSION "0.1"
#define EXIT_SETTINGS 2

/* Environment variable with the path of the settings file, set by the platform; --settings
 * overrides it. */
#define SETTINGS_VARIABLE "HICKORYTRESTLE_BOOT"

static void usage(FILE *out)
{
	fputs("Usage: hickorytrestle-entry [--settings FILE] [--check] [--version] [--help]\n"
	      "\n"
	      "Forwards packets of callers to the targets of their service. Without --settings,\n"
	      "the environment variable " SETTINGS_VARIABLE " names the settings file.\n"
	      "\n"
	      "Settings:\n",
	      out);
	ht_entry_settings_describe(out);
	fputs("\n"
	      "SIGTERM and SIGINT start a planned stop, SIGHUP reloads the settings.\n"
	      "\n"
	      "Exit status:\n"
	      "  0  planned stop finished, or the settings are valid (--check)\n"
	      "  1  the instance could not be started\n"
	      "  2  invalid arguments or settings\n",
	      out);
}

static int check(const char *path)
{
	struct ht_entry_settings set;
	struct ht_err err;

	if (!ht_entry_settings_load(&set, path, &err)) {
		fprintf(stderr, "hickorytrestle-entry: %s\n", err.text);
		return EXIT_SETTINGS;
	}
	ht_entry_settings_clear(&set);
	return EXIT_SUCCESS;
}

/* Opens /dev/null for each standard stream that is closed, so that no socket gets its number. */
static void open_standard_streams(void)
{
	int fd;

	do
		fd = open("/dev/null", O_RDWR);
	while (fd >= 0 && fd <= STDERR_FILENO);
	if (fd > STDERR_FILENO)
		close(fd);
}

static int run(const char *path)
{
	struct ev_loop *loop;
	struct ht_entry *entry;
	struct ht_err err;

	open_standard_streams();
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	entry = ht_entry_new(loop, path, &err);
	if (!entry) {
		fprintf(stderr, "<3>hickorytrestle-entry: %s\n", err.text);
		return err.code == HT_EINVAL ? EXIT_SETTINGS : EXIT_FAILURE;
	}
	ht_entry_run(entry);
	ht_entry_free(entry);
	ev_loop_destroy(loop);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	static const struct option options[] = {
		{"settings", required_argument, NULL, 's'},
		{"check", no_argument, NULL, 'c'},
		{"version", no_argument, NULL, 'v'},
		{"help", no_argument, NULL, 'h'},
		{0},
	};
	const char *path = getenv(SETTINGS_VARIABLE);
	bool only_check = false;
	int opt;

	while ((opt = getopt_long(argc, argv, "s:h", options, NULL)) != -1) {
		switch (opt) {
		case 's':
			path = optarg;
			break;
		case 'c':
			only_check = true;
			break;
		case 'v':
			puts("hickorytrestle-entry " VERSION);
			return EXIT_SUCCESS;
		case 'h':
			usage(stdout);
			return EXIT_SUCCESS;
		default:
			usage(stderr);
			return EXIT_SETTINGS;
		}
	}
	if (!path || optind < argc) {
		usage(stderr);
		return EXIT_SETTINGS;
	}
	return only_check ? check(path) : run(path);
}
