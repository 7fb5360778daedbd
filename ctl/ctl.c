#include "ctl/ctl.h"

#include <stdarg.h>
#include <string.h>

#ifndef HT_VERSION
#define HT_VERSION "0.1"
#endif

/* Environment variable with the default of --platform, for an operator's shell. */
#define PLATFORM_VARIABLE "HICKORY_PLATFORM"

int ht_ctl_fail(struct ht_ctl *ctl, int status, const char *fmt, ...)
{
	va_list ap;

	fputs("hickoryctl: ", ctl->err);
	va_start(ap, fmt);
	vfprintf(ctl->err, fmt, ap);
	va_end(ap);
	fputc('\n', ctl->err);
	return status;
}

void ht_ctl_event(enum ht_event_number number, const char *fmt, ...)
{
	struct ht_event ev = {.number = number};
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(ev.detail, sizeof(ev.detail), fmt, ap);
	va_end(ap);
	ht_event_log(&ev, "hickoryctl", HT_NOTICE);
}

static void log_event(void *ctx, const struct ht_event *ev)
{
	(void)ctx;
	ht_event_log(ev, "hickoryctl", HT_NOTICE);
}

void ht_ctl_print_json(struct ht_ctl *ctl, json_t *root)
{
	json_dumpf(root, ctl->out, JSON_INDENT(2));
	fputc('\n', ctl->out);
	json_decref(root);
}

static void add_common(struct ht_ctl *ctl, GOptionContext *context)
{
	const GOptionEntry entries[] = {
		{"platform", 'p', 0, G_OPTION_ARG_STRING, &ctl->platform,
		 "The platform's object API; default is $" PLATFORM_VARIABLE, "IP:PORT"},
		{"json", 'j', 0, G_OPTION_ARG_NONE, &ctl->json, "Print JSON for programs", NULL},
		{"help", 'h', 0, G_OPTION_ARG_NONE, &ctl->help, "Print help", NULL},
		{"version", 'V', 0, G_OPTION_ARG_NONE, &ctl->version, "Print the version", NULL},
		{0},
	};

	g_option_context_add_main_entries(context, entries, NULL);
	/* GLib's own --help ends the process, and writes to standard output only. */
	g_option_context_set_help_enabled(context, FALSE);
}

static void add_own(struct ht_ctl *ctl, GOptionContext *context, const char *names)
{
	const GOptionEntry entries[] = {
		{"admin", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &ctl->admin,
		 "Ask this admin address instead of the platform's list; may be repeated",
		 "IP:PORT"},
		{"log", 'l', 0, G_OPTION_ARG_FILENAME_ARRAY, &ctl->log,
		 "Read log lines of hickorytrestle-entry from this file, - for standard input, "
		 "instead of asking instances; may be repeated",
		 "FILE"},
		{"comment", 'c', 0, G_OPTION_ARG_STRING, &ctl->comment,
		 "Who asked for it and why; required", "TEXT"},
		{"replace-damaged", 0, 0, G_OPTION_ARG_NONE, &ctl->replace_damaged,
		 "Apply although the accepted rules at the platform cannot be read", NULL},
		{"flow", 0, 0, G_OPTION_ARG_STRING, &ctl->flow,
		 "Only events of this flow, by id or, in log lines, by addresses",
		 "ID|IP:PORT-IP:PORT"},
		{"request", 0, 0, G_OPTION_ARG_STRING, &ctl->request, "Only events of this request",
		 "ID"},
		{"target", 0, 0, G_OPTION_ARG_STRING, &ctl->target,
		 "Only events of this target, by id or address or, in log lines, by name",
		 "ID|IP:PORT|NAME"},
		{"instance", 0, 0, G_OPTION_ARG_STRING, &ctl->instance,
		 "timeline: only events of or about this instance; explain: its metrics address",
		 "NAME|IP:PORT"},
		{"number", 'n', 0, G_OPTION_ARG_INT, &ctl->number, "Only events with this number",
		 "N"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		GOptionEntry one[2] = {entries[i], {0}};
		char word[32];

		snprintf(word, sizeof(word), " %s ", entries[i].long_name);
		if (strstr(names, word))
			g_option_context_add_main_entries(context, one, NULL);
	}
}

static void print_help(struct ht_ctl *ctl, GOptionContext *context)
{
	char *text = g_option_context_get_help(context, TRUE, NULL);

	fputs(text, ctl->out);
	g_free(text);
}

/* Parses options; what is left of @argv is the arguments. */
static bool parse(struct ht_ctl *ctl, GOptionContext *context, int *argc, char ***argv)
{
	GError *error = NULL;

	if (g_option_context_parse(context, argc, argv, &error))
		return true;
	ht_ctl_fail(ctl, HT_CTL_USAGE, "%s (see --help)", error->message);
	g_error_free(error);
	return false;
}

static int connect_and_run(struct ht_ctl *ctl, const struct ht_ctl_command *cmd, char **args)
{
	struct ht_err err;
	int status;

	if (!ctl->platform && g_getenv(PLATFORM_VARIABLE))
		ctl->platform = g_strdup(g_getenv(PLATFORM_VARIABLE));
	if (ctl->platform) {
		ctl->client = ht_platform_new(NULL, ctl->platform, log_event, NULL, &err);
		if (!ctl->client)
			return ht_ctl_fail(ctl, HT_CTL_USAGE, "--platform: %s", err.text);
	} else if (cmd->needs_platform && !ctl->admin && !ctl->log) {
		return ht_ctl_fail(ctl, HT_CTL_USAGE,
				   "%s needs --platform IP:PORT or $" PLATFORM_VARIABLE, cmd->name);
	}
	status = cmd->run(ctl, args);
	ht_platform_free(ctl->client);
	return status;
}

static int run_command(struct ht_ctl *ctl, const struct ht_ctl_command *cmd, int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(cmd->arguments);
	char *name = g_strdup_printf("hickoryctl %s", cmd->name);
	int status = HT_CTL_USAGE;

	add_common(ctl, context);
	add_own(ctl, context, cmd->options);
	g_option_context_set_summary(context, cmd->summary);
	g_option_context_set_description(context, cmd->description);
	g_set_prgname(name);
	if (!parse(ctl, context, &argc, &argv)) {
		status = HT_CTL_USAGE;
	} else if (ctl->help) {
		print_help(ctl, context);
		status = HT_CTL_DONE;
	} else if (argc - 1 < cmd->min_args || argc - 1 > cmd->max_args) {
		status = ht_ctl_fail(ctl, HT_CTL_USAGE, "usage: %s %s (see --help)", name,
				     cmd->arguments);
	} else {
		status = connect_and_run(ctl, cmd, argv + 1);
	}
	g_option_context_free(context);
	g_free(name);
	return status;
}

static const struct ht_ctl_command *find_command(const char *name)
{
	for (const struct ht_ctl_command *cmd = ht_ctl_commands; cmd->name; cmd++)
		if (strcmp(cmd->name, name) == 0)
			return cmd;
	return NULL;
}

static char *list_commands(void)
{
	GString *text = g_string_new("Commands:\n");

	for (const struct ht_ctl_command *cmd = ht_ctl_commands; cmd->name; cmd++)
		g_string_append_printf(text, "  %-10s %s\n", cmd->name, cmd->summary);
	g_string_append(text, "\nhickoryctl COMMAND --help explains a command with examples.\n"
			      "\nExit status:\n"
			      "  0  done\n"
			      "  1  failed; nothing was changed\n"
			      "  2  bad usage or bad input\n"
			      "  3  lost a race: the difference is printed, the file is kept\n"
			      "  4  outcome not known after reading back\n"
			      "  5  partial: some processes were not reached, each is named\n");
	return g_string_free(text, FALSE);
}

static int run_main(struct ht_ctl *ctl, int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT...]");
	const struct ht_ctl_command *cmd = NULL;
	char *commands = list_commands();
	int status = HT_CTL_DONE;
	bool ok;

	add_common(ctl, context);
	g_set_prgname("hickoryctl");
	g_option_context_set_strict_posix(context, TRUE);
	g_option_context_set_summary(context, "Operates the load balancer hickorytrestle.");
	g_option_context_set_description(context, commands);
	ok = parse(ctl, context, &argc, &argv);
	if (ok && argc > 1)
		cmd = find_command(argv[1]);
	if (!ok)
		status = HT_CTL_USAGE;
	else if (ctl->version)
		fprintf(ctl->out, "hickoryctl %s\n", HT_VERSION);
	else if (cmd)
		status = run_command(ctl, cmd, argc - 1, argv + 1);
	else if (argc > 1)
		status = ht_ctl_fail(ctl, HT_CTL_USAGE, "unknown command '%s' (see --help)",
				     argv[1]);
	else if (ctl->help)
		print_help(ctl, context);
	else
		status = ht_ctl_fail(ctl, HT_CTL_USAGE, "command is missing (see --help)");
	g_option_context_free(context);
	g_free(commands);
	return status;
}

int ht_ctl_main(int argc, char **argv, FILE *out, FILE *err)
{
	struct ht_ctl ctl = {.out = out, .err = err};
	/* GLib removes what it has read, so it works on a copy of the array. */
	char **args = g_new0(char *, argc + 1);
	int status;

	memcpy(args, argv, (size_t)argc * sizeof(*args));
	status = run_main(&ctl, argc, args);
	g_free(args);
	g_free(ctl.platform);
	g_strfreev(ctl.admin);
	g_strfreev(ctl.log);
	g_free(ctl.comment);
	g_free(ctl.flow);
	g_free(ctl.request);
	g_free(ctl.target);
	g_free(ctl.instance);
	return status;
}
