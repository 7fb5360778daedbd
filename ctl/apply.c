/* The commands that read or change rules. */
#include "ctl/change.h"

#include <inttypes.h>
#include <string.h>

/* Repeats of a drain that lost a race; it is a rule of its own and fits any accepted rules. */
#define DRAIN_TRIES 3

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

/* Appends the rule to the accepted rules and applies them. */
static int drain_once(struct ht_ctl *ctl, const char *service, const char *target, bool last)
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
	if (is_draining(acc.cfg, service, target))
		text = g_strdup(acc.text);
	else
		text = g_strdup_printf("%sdrain %s %s # %s\n", acc.text, service, target,
				       ctl->comment);
	ht_ctl_change_init(&c, "rules", text);
	c.base = acc.head.version;
	c.silent_loss = !last;
	status = ht_ctl_change_run(ctl, &c);
	ht_ctl_change_clear(&c);
	g_free(text);
	ht_ctl_accepted_clear(&acc);
	return status;
}

int ht_ctl_drain(struct ht_ctl *ctl, char **argv)
{
	int status = HT_CTL_LOST;

	if (!ctl->client)
		return ht_ctl_fail(ctl, HT_CTL_USAGE, "drain needs --platform IP:PORT");
	if (!ctl->comment || !*g_strstrip(ctl->comment) || strchr(ctl->comment, '\n'))
		return ht_ctl_fail(ctl, HT_CTL_USAGE,
				   "drain needs --comment TEXT, one line that says who asked");
	for (int i = 0; i < 2; i++)
		if (strpbrk(argv[i], " \t\n#") || !*argv[i])
			return ht_ctl_fail(ctl, HT_CTL_USAGE, "'%s' is not a name", argv[i]);
	for (int i = 0; i < DRAIN_TRIES && status == HT_CTL_LOST; i++)
		status = drain_once(ctl, argv[0], argv[1], i == DRAIN_TRIES - 1);
	return status;
}
