/* hickorytrestled: one entry instance. */
#include "daemon/shell.h"

#include <glib.h>
#include <locale.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#define VERSION "0.1"

#define EXIT_SETTINGS 2

struct arguments {
	char *settings;
	char *log_level;
	gboolean check;
	gboolean version;
};

/* The end of the help text, from which the manual page is made too. */
static char *describe(void)
{
	char *settings = NULL, *text;
	size_t len;
	FILE *out = open_memstream(&settings, &len);

	if (!out)
		return NULL;
	ht_settings_describe(out);
	fclose(out);
	text = g_strdup_printf(
		"Settings:\n%s"
		"\nThe key file holds 64 hexadecimal digits and is readable by its owner only.\n"
		"SIGTERM and SIGINT start a planned stop; a second one changes nothing.\n"
		"\nExit status:\n"
		"  0  planned stop finished, or the settings are good (--check)\n"
		"  1  the instance could not be started\n"
		"  2  bad arguments, settings or key file\n",
		settings);
	free(settings);
	return text;
}

static bool parse_arguments(struct arguments *args, int *argc, char ***argv)
{
	const GOptionEntry entries[] = {
		{"settings", 's', 0, G_OPTION_ARG_FILENAME, &args->settings, "settings file (JSON)",
		 "FILE"},
		{"log-level", 'l', 0, G_OPTION_ARG_STRING, &args->log_level,
		 "error, warn, notice, info or debug; overrides the settings", "LEVEL"},
		{"check", 0, 0, G_OPTION_ARG_NONE, &args->check, "check the settings and exit",
		 NULL},
		{"version", 0, 0, G_OPTION_ARG_NONE, &args->version, "print the version and exit",
		 NULL},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GOptionContext *ctx = g_option_context_new("- layer-4 load balancer, entry instance");
	GError *error = NULL;
	char *description = describe();
	bool ok;

	g_option_context_set_description(ctx, description);
	g_free(description);
	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, argc, argv, &error);
	if (!ok) {
		fprintf(stderr, "hickorytrestled: %s\n", error->message);
		g_error_free(error);
	} else if (!args->version && (!args->settings || *argc > 1)) {
		fprintf(stderr, "hickorytrestled: usage: --settings FILE\n");
		ok = false;
	}
	g_option_context_free(ctx);
	return ok;
}

static bool load(const struct arguments *args, struct ht_settings *set, uint8_t key[HT_KEY_LEN],
		 int *level, struct ht_err *err)
{
	if (!ht_settings_load(set, args->settings, err))
		return false;
	*level = ht_level_parse(args->log_level ? args->log_level : set->log_level);
	if (*level < 0)
		return ht_err_set(err, HT_EINVAL,
				  "--log-level: '%s' is not one of error, warn, notice, info, "
				  "debug",
				  args->log_level);
	return ht_key_load(key, set->key_file, err);
}

static int run(const struct ht_settings *set, const uint8_t key[HT_KEY_LEN], enum ht_level level)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct ht_shell *shell;
	struct ht_err err;

	shell = ht_shell_new(loop, set, key, level, &err);
	if (!shell) {
		fprintf(stderr, "<3>%s: %s\n", set->name, err.text);
		return EXIT_FAILURE;
	}
	ht_shell_run(shell);
	ht_shell_free(shell);
	ev_loop_destroy(loop);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arguments args = {0};
	struct ht_settings set = {0};
	uint8_t key[HT_KEY_LEN];
	struct ht_err err;
	int status = EXIT_SETTINGS;
	int level = 0;

	/* Only the character set: numbers in JSON keep their point. */
	setlocale(LC_CTYPE, "");
	setvbuf(stderr, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	if (!parse_arguments(&args, &argc, &argv))
		return EXIT_SETTINGS;
	if (args.version) {
		puts("hickorytrestled " VERSION);
		return EXIT_SUCCESS;
	}
	if (!load(&args, &set, key, &level, &err))
		fprintf(stderr, "hickorytrestled: %s\n", err.text);
	else
		status = args.check ? EXIT_SUCCESS : run(&set, key, (enum ht_level)level);
	sodium_memzero(key, sizeof(key));
	ht_settings_clear(&set);
	g_free(args.settings);
	g_free(args.log_level);
	return status;
}
