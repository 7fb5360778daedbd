/* The commands that read or change rules. */
#include "ctl/change.h"

#include <inttypes.h>
#include <string.h>

/* Repeats of an edit that lost a race; its rules are of their own and fit any accepted rules. */
#define EDIT_TRIES 3

static char *read_file(struct ht_ctl *ctl, const char *file)
{
	GError *error = NULL;
	char *text = NULL;
	size_t len;

	if (!g_file_get_contents(file, &text, &len, &error)) {
		ht_ctl_fail(ctl, HT_CTL_USAGE, "%s", error->message);
		g_error_free(error);
		return NULL;
	}
	if (strlen(text) == len)
		return text;
	ht_ctl_fail(ctl, HT_CTL_USAGE, "%s: not a text file", file);
	g_free(text);
	return NULL;
}

/* Checks a text against the accepted rules; prints faults. */
static int check_accepted(struct ht_ctl *ctl, const char *file, const char *text)
{
	struct ht_rules_errors errors = {0};
	struct ht_ctl_accepted acc;
	struct ht_err err;
	int status = HT_CTL_DONE;

	if (!ht_ctl_accepted_read(ctl, &acc, &err))
		status = ht_ctl_fail(ctl, HT_CTL_FAILED, "not checked against the platform: %s",
				     err.text);
	else if (!ht_rules_check_change(acc.cfg, text, &acc.head.retired, acc.now, &errors))
		status = ht_ctl_print_faults(ctl, file, &errors);
	ht_rules_errors_clear(&errors);
	ht_ctl_accepted_clear(&acc);
	return status;
}

/* Checks a text that parses, and says so when it has no other fault. */
static int check_parsed(struct ht_ctl *ctl, const char *file, const char *text,
			const struct ht_config *cfg)
{
	int status = ctl->client ? check_accepted(ctl, file, text) : HT_CTL_DONE;

	if (status != HT_CTL_DONE)
		return status;
	if (ctl->json)
		ht_ctl_print_json(ctl, json_pack("{sssIsI}", "result", "good", "services",
						 (json_int_t)cfg->service_count, "targets",
						 (json_int_t)cfg->target_count));
	else
		fprintf(ctl->out, "%s: no faults, %zu services, %zu targets\n", file,
			cfg->service_count, cfg->target_count);
	return HT_CTL_DONE;
}

int ht_ctl_check(struct ht_ctl *ctl, char **argv)
{
	struct ht_rules_errors errors = {0};
	char *text = read_file(ctl, argv[0]);
	struct ht_config *cfg;
	int status;

	if (!text)
		return HT_CTL_USAGE;
	cfg = ht_rules_parse(text, strlen(text), &errors);
	if (cfg)
		status = check_parsed(ctl, argv[0], text, cfg);
	else
		status = ht_ctl_print_faults(ctl, argv[0], &errors);
	ht_rules_errors_clear(&errors);
	ht_config_put(cfg);
	g_free(text);
	return status;
}

static int print_diff(struct ht_ctl *ctl, struct ht_ctl_change *c)
{
	struct ht_ctl_accepted acc;
	struct ht_err err;
	int status = HT_CTL_DONE;

	if (!ht_rules_parts_split(c->text, &c->head.parts, &err)) {
		status = ht_ctl_fail(ctl, HT_CTL_USAGE, "%s: %s", c->source, err.text);
	} else if (!ht_ctl_accepted_read(ctl, &acc, &err)) {
		status = ht_ctl_fail(ctl, HT_CTL_FAILED, "%s", err.text);
		ht_ctl_accepted_clear(&acc);
	} else {
		char *joined = ht_rules_parts_join(&c->head.parts);

		ht_rules_diff(acc.text, joined ? joined : "", &c->diff);
		if (ctl->json)
			ht_ctl_print_json(ctl, ht_ctl_diff_json(&c->diff));
		else
			ht_rules_diff_print(&c->diff, ctl->out);
		free(joined);
		ht_ctl_accepted_clear(&acc);
	}
	return status;
}

int ht_ctl_diff(struct ht_ctl *ctl, char **argv)
{
	struct ht_rules_errors errors = {0};
	char *text = read_file(ctl, argv[0]);
	struct ht_ctl_change c;
	struct ht_config *cfg;
	int status;

	if (!text)
		return HT_CTL_USAGE;
	ht_ctl_change_init(&c, argv[0], text);
	cfg = ht_rules_parse(text, strlen(text), &errors);
	status = cfg ? print_diff(ctl, &c) : ht_ctl_print_faults(ctl, argv[0], &errors);
	ht_config_put(cfg);
	ht_rules_errors_clear(&errors);
	ht_ctl_change_clear(&c);
	g_free(text);
	return status;
}

/* The operator goes on editing the file: its base is now the version just accepted. */
static void update_base_line(struct ht_ctl *ctl, const char *file, const char *text,
			     const struct ht_ctl_change *c)
{
	const char *rules = strchr(text, '\n');
	GError *error = NULL;
	char *updated;

	if (!c->base || c->base == c->version || !rules)
		return;
	updated = g_strdup_printf("%s%" PRIu64 "%s", HT_CTL_BASE_LINE, c->version, rules);
	if (!g_file_set_contents(file, updated, -1, &error)) {
		ht_ctl_fail(ctl, HT_CTL_DONE, "accepted, but the first line of %s stays: %s", file,
			    error->message);
		g_error_free(error);
	}
	g_free(updated);
}

int ht_ctl_apply(struct ht_ctl *ctl, char **argv)
{
	char *text = read_file(ctl, argv[0]);
	struct ht_ctl_change c;
	int status;

	if (!text)
		return HT_CTL_USAGE;
	if (!ctl->client) {
		g_free(text);
		return ht_ctl_fail(ctl, HT_CTL_USAGE, "apply needs --platform IP:PORT");
	}
	ht_ctl_change_init(&c, argv[0], text);
	status = ht_ctl_change_run(ctl, &c);
	if (status == HT_CTL_DONE)
		update_base_line(ctl, argv[0], text, &c);
	ht_ctl_change_clear(&c);
	g_free(text);
	return status;
}

int ht_ctl_show(struct ht_ctl *ctl, char **argv)
{
	struct ht_ctl_accepted acc;
	struct ht_err err;
	int status = HT_CTL_DONE;

	(void)argv;
	if (!ht_ctl_accepted_read(ctl, &acc, &err))
		status = ht_ctl_fail(ctl, HT_CTL_FAILED, "%s", err.text);
	else if (!acc.exists)
		status = ht_ctl_fail(ctl, HT_CTL_FAILED, "no rules were accepted yet");
	else if (ctl->json)
		ht_ctl_print_json(ctl,
				  json_pack("{sIsIssss}", "version", (json_int_t)acc.head.version,
					    "parent", (json_int_t)acc.head.parent, "change_id",
					    acc.head.change_id, "text", acc.text));
	else
		fprintf(ctl->out, "%s%" PRIu64 ", change %s\n%s", HT_CTL_BASE_LINE,
			acc.head.version, acc.head.change_id, acc.text);
	ht_ctl_accepted_clear(&acc);
	return status;
}

/* True if @line evacuates @dc, for @service if it is not NULL. */
static bool is_evacuation(const char *line, const char *service, const char *dc)
{
	char kind[16], name[HT_NAME_MAX], place[HT_NAME_MAX];

	return sscanf(line, " %15s %63s %63s", kind, name, place) == 3 &&
	       strcmp(kind, "evacuate") == 0 && strcmp(place, dc) == 0 &&
	       (!service || strcmp(name, service) == 0);
}

static bool is_draining(const struct ht_config *cfg, const char *service, const char *target)
{
	for (size_t i = 0; cfg && i < cfg->target_count; i++) {
		const struct ht_target_conf *t = &cfg->targets[i];
		const struct ht_service_conf *svc = ht_config_service(cfg, t->service);

		if (t->draining && strcmp(t->name, target) == 0 && svc &&
		    strcmp(svc->name, service) == 0)
			return true;
	}
	return false;
}

/* Rules with the drain added, unless the target drains already. */
static char *with_drain(const struct ht_ctl *ctl, const struct ht_ctl_accepted *acc, char **argv)
{
	if (is_draining(acc->cfg, argv[0], argv[1]))
		return g_strdup(acc->text);
	return g_strdup_printf("%sdrain %s %s # %s\n", acc->text, argv[0], argv[1], ctl->comment);
}

/* True if the rules evacuate data centre @dc for @service. */
static bool has_evacuation(const char *text, const char *service, const char *dc)
{
	char **lines = g_strsplit(text, "\n", -1);
	bool found = false;

	for (char **line = lines; *line; line++)
		found |= is_evacuation(*line, service, dc);
	g_strfreev(lines);
	return found;
}

/* Rules with an evacuation added for each service that has a target in the data centre. */
static char *with_evacuation(const struct ht_ctl *ctl, const struct ht_ctl_accepted *acc,
			     char **argv)
{
	GString *text = g_string_new(acc->text);

	for (size_t i = 0; acc->cfg && i < acc->cfg->service_count; i++) {
		const struct ht_service_conf *svc = &acc->cfg->services[i];
		bool there = false;

		for (size_t k = 0; k < svc->target_count; k++)
			there |= strcmp(svc->targets[k].dc, argv[0]) == 0;
		if (there && !has_evacuation(acc->text, svc->name, argv[0]))
			g_string_append_printf(text, "evacuate %s %s # %s\n", svc->name, argv[0],
					       ctl->comment);
	}
	return g_string_free(text, FALSE);
}

/* Rules without any evacuation of the data centre. */
static char *without_evacuation(const struct ht_ctl *ctl, const struct ht_ctl_accepted *acc,
				char **argv)
{
	char **lines = g_strsplit(acc->text, "\n", -1);
	GString *text = g_string_new(NULL);

	(void)ctl;
	for (char **line = lines; *line; line++)
		if (!is_evacuation(*line, NULL, argv[0]) && (**line || line[1]))
			g_string_append_printf(text, "%s\n", *line);
	g_strfreev(lines);
	return g_string_free(text, FALSE);
}

typedef char *(*edit_fn)(const struct ht_ctl *ctl, const struct ht_ctl_accepted *acc, char **argv);

/* Edits the accepted rules and applies the result. */
static int edit_once(struct ht_ctl *ctl, edit_fn edit, char **argv, bool last)
{
	struct ht_ctl_accepted acc;
	struct ht_ctl_change c;
	struct ht_err err;
	char *text;
	int status;

	if (!ht_ctl_accepted_read(ctl, &acc, &err)) {
		ht_ctl_accepted_clear(&acc);
		return ht_ctl_fail(ctl, HT_CTL_FAILED, "nothing was changed: %s", err.text);
	}
	text = edit(ctl, &acc, argv);
	ht_ctl_change_init(&c, "rules", text);
	c.base = acc.head.version;
	c.silent_loss = !last;
	status = ht_ctl_change_run(ctl, &c);
	ht_ctl_change_clear(&c);
	g_free(text);
	ht_ctl_accepted_clear(&acc);
	return status;
}

/* @argv has @names names. Repeats the edit if another change comes in between. */
static int edit_rules(struct ht_ctl *ctl, const char *command, bool commented, edit_fn edit,
		      char **argv, int names)
{
	int status = HT_CTL_LOST;

	if (!ctl->client)
		return ht_ctl_fail(ctl, HT_CTL_USAGE, "%s needs --platform IP:PORT", command);
	if (commented &&
	    (!ctl->comment || !*g_strstrip(ctl->comment) || strchr(ctl->comment, '\n')))
		return ht_ctl_fail(ctl, HT_CTL_USAGE,
				   "%s needs --comment TEXT, one line that says who asked",
				   command);
	for (int i = 0; i < names; i++)
		if (strpbrk(argv[i], " \t\n#") || !*argv[i])
			return ht_ctl_fail(ctl, HT_CTL_USAGE, "'%s' is not a name", argv[i]);
	for (int i = 0; i < EDIT_TRIES && status == HT_CTL_LOST; i++)
		status = edit_once(ctl, edit, argv, i == EDIT_TRIES - 1);
	return status;
}

int ht_ctl_drain(struct ht_ctl *ctl, char **argv)
{
	return edit_rules(ctl, "drain", true, with_drain, argv, 2);
}

int ht_ctl_evacuate(struct ht_ctl *ctl, char **argv)
{
	return edit_rules(ctl, "evacuate", true, with_evacuation, argv, 1);
}

int ht_ctl_end_evacuation(struct ht_ctl *ctl, char **argv)
{
	return edit_rules(ctl, "end-evacuation", false, without_evacuation, argv, 1);
}
