#include "ctl/change.h"

#include "ctl/inforce.h"
#include "ctl/submit.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

void ht_ctl_change_init(struct ht_ctl_change *c, const char *source, const char *text)
{
	size_t prefix = strlen(HT_CTL_BASE_LINE);
	const char *rules = text;

	*c = (struct ht_ctl_change){.source = source, .checked = text};
	if (strncmp(text, HT_CTL_BASE_LINE, prefix) == 0) {
		c->base = strtoull(text + prefix, NULL, 10);
		rules = strchr(text, '\n') ? strchr(text, '\n') + 1 : "";
	}
	c->text = strdup(rules);
}

void ht_ctl_change_clear(struct ht_ctl_change *c)
{
	free(c->text);
	ht_rules_head_clear(&c->head);
	ht_rules_diff_clear(&c->diff);
}

json_t *ht_ctl_diff_json(const struct ht_rules_diff *diff)
{
	json_t *removed = json_array(), *added = json_array();

	for (size_t i = 0; i < diff->removed_count; i++)
		json_array_append_new(removed, json_string(ht_rules_diff_line(diff->removed[i])));
	for (size_t i = 0; i < diff->added_count; i++)
		json_array_append_new(added, json_string(ht_rules_diff_line(diff->added[i])));
	return json_pack("{soso}", "removed", removed, "added", added);
}

int ht_ctl_print_faults(struct ht_ctl *ctl, const char *source,
			const struct ht_rules_errors *errors)
{
	json_t *list;

	if (!ctl->json) {
		ht_rules_errors_print(errors, source, ctl->err);
		return HT_CTL_USAGE;
	}
	list = json_array();
	for (size_t i = 0; i < errors->count; i++) {
		const struct ht_rules_error *e = &errors->items[i];

		json_array_append_new(list,
				      json_pack("{sisissss}", "line", (int)e->line, "column",
						(int)e->column, "text", e->text, "hint", e->hint));
	}
	ht_ctl_print_json(ctl, json_pack("{sssIso}", "result", "refused", "errors_total",
					 (json_int_t)errors->total, "errors", list));
	return HT_CTL_USAGE;
}

static int print_outcome(struct ht_ctl *ctl, const struct ht_ctl_change *c, const char *result,
			 int status)
{
	if (ctl->json) {
		json_t *root = ht_ctl_diff_json(&c->diff);

		json_object_set_new(root, "result", json_string(result));
		json_object_set_new(root, "version", json_integer((json_int_t)c->version));
		json_object_set_new(root, "change_id", json_string(c->change_id));
		ht_ctl_print_json(ctl, root);
		return status;
	}
	if (status == HT_CTL_LOST)
		fprintf(ctl->out,
			"lost a race: version %" PRIu64
			" was accepted first. Nothing was changed and the file is kept.\n"
			"Difference from the accepted rules (-) to yours (+):\n",
			c->version);
	ht_rules_diff_print(&c->diff, ctl->out);
	if (status == HT_CTL_UNKNOWN)
		fprintf(ctl->out,
			"outcome not known: the platform does not say whether change %s was "
			"accepted.\nWhen it answers again, `hickoryctl show --json` gives the "
			"change id in force.\n",
			c->change_id);
	else if (status == HT_CTL_DONE)
		fprintf(ctl->out, "%s: version %" PRIu64 ", change %s\n", result, c->version,
			c->change_id);
	return status;
}

/* Reads the change that was accepted first and prints the difference to it. */
static int print_lost(struct ht_ctl *ctl, struct ht_ctl_change *c)
{
	struct ht_ctl_accepted won;
	struct ht_err err;
	int status;

	if (c->silent_loss)
		return HT_CTL_LOST;
	if (!ht_ctl_accepted_read(ctl, &won, &err)) {
		ht_ctl_accepted_clear(&won);
		return ht_ctl_fail(ctl, HT_CTL_LOST, "another change was accepted first: %s",
				   err.text);
	}
	ht_rules_diff_clear(&c->diff);
	ht_rules_diff(won.text, c->text, &c->diff);
	c->version = won.head.version;
	ht_ctl_event(HT_EV_CONFIG_RACE_LOST, "version=%" PRIu64 " change=%s", won.head.version,
		     won.head.change_id);
	snprintf(c->change_id, sizeof(c->change_id), "%s", won.head.change_id);
	status = print_outcome(ctl, c, "lost", HT_CTL_LOST);
	ht_ctl_accepted_clear(&won);
	return status;
}

/*
 * Above everything that is in force. A data centre that cannot be asked may work by a version that
 * a restored platform no longer knows; the wall clock is above every version counted from 1.
 */
static uint64_t next_version(const struct ht_ctl_accepted *acc, const struct ht_ctl_in_force *in)
{
	uint64_t version = (in->version > acc->head.version ? in->version : acc->head.version) + 1;

	if (!in->complete && acc->now > 0 && (uint64_t)acc->now > version)
		version = (uint64_t)acc->now;
	return version;
}

/* Fills the head that the change writes; @next is its configuration. */
static bool build_head(struct ht_ctl_change *c, const struct ht_ctl_accepted *acc,
		       const struct ht_config *next, const struct ht_ctl_in_force *in,
		       struct ht_err *err)
{
	struct ht_rules_head *head = &c->head;
	size_t keep = acc->head.recent_count;
	uint8_t id[16];

	/* Ids tell writers apart; this source stays unique across forks of one process. */
	if (sodium_init() < 0)
		return ht_err_set(err, HT_EIO, "no source of random numbers");
	if (keep > HT_RULES_RECENT - 1)
		keep = HT_RULES_RECENT - 1;
	randombytes_buf(id, sizeof(id));
	sodium_bin2hex(c->change_id, sizeof(c->change_id), id, sizeof(id));
	memcpy(head->change_id, c->change_id, sizeof(head->change_id));
	memcpy(head->recent[0], c->change_id, sizeof(head->recent[0]));
	memcpy(head->recent[1], acc->head.recent, keep * sizeof(head->recent[0]));
	head->recent_count = keep + 1;
	head->parent = acc->head.version;
	head->version = next_version(acc, in);
	c->version = head->version;
	return ht_rules_retire(acc->cfg, next, &acc->head.retired, acc->now, &head->retired) ||
	       ht_err_set(err, HT_ENOMEM, "out of memory");
}

/* Submits the change and prints its outcome. */
static int submit(struct ht_ctl *ctl, struct ht_ctl_change *c, const struct ht_ctl_accepted *acc)
{
	struct ht_err err;
	int status;

	if (!ht_ctl_submit_parts(ctl, &c->head.parts, &acc->head.parts, &err))
		return ht_ctl_fail(ctl, HT_CTL_FAILED, "nothing was changed: %s", err.text);
	status = ht_ctl_submit_head(ctl, &c->head, acc->object_version, &err);
	if (status == HT_CTL_LOST)
		return print_lost(ctl, c);
	if (status == HT_CTL_FAILED)
		return ht_ctl_fail(ctl, status, "nothing was changed: %s", err.text);
	if (status == HT_CTL_DONE)
		ht_ctl_event(HT_EV_CONFIG_APPLIED, "version=%" PRIu64 " change=%s", c->version,
			     c->change_id);
	return print_outcome(ctl, c, status == HT_CTL_DONE ? "applied" : "unknown", status);
}

/* Checks against what is accepted and in force, then submits. */
static int check_and_submit(struct ht_ctl *ctl, struct ht_ctl_change *c,
			    const struct ht_ctl_accepted *acc, const struct ht_config *next)
{
	struct ht_ctl_in_force in;
	struct ht_rules_errors errors = {0};
	struct ht_err err;
	int status;

	if (c->base && c->base < acc->head.version)
		return print_lost(ctl, c);
	if (!ht_ctl_in_force_read(ctl, acc->head.version, &in, &err)) {
		ht_ctl_in_force_clear(&in);
		return ht_ctl_fail(ctl, HT_CTL_FAILED, "nothing was changed: %s", err.text);
	}
	ht_rules_check_change(acc->cfg, c->checked, &acc->head.retired, acc->now, &errors);
	ht_ctl_in_force_check(&in, next, &errors);
	if (errors.total) {
		status = ht_ctl_print_faults(ctl, c->source, &errors);
	} else if (strcmp(acc->text, c->text) == 0 && in.version <= acc->head.version) {
		c->version = acc->head.version;
		memcpy(c->change_id, acc->head.change_id, sizeof(c->change_id));
		status = print_outcome(ctl, c, "unchanged", HT_CTL_DONE);
	} else if (!build_head(c, acc, next, &in, &err)) {
		status = ht_ctl_fail(ctl, HT_CTL_FAILED, "%s", err.text);
	} else {
		status = submit(ctl, c, acc);
	}
	ht_rules_errors_clear(&errors);
	ht_ctl_in_force_clear(&in);
	return status;
}

/* Rearranges the text as it is stored: the rules of each service together. */
static bool normalise(struct ht_ctl_change *c, struct ht_err *err)
{
	char *joined;

	if (!ht_rules_parts_split(c->text, &c->head.parts, err))
		return false;
	joined = ht_rules_parts_join(&c->head.parts);
	if (!joined)
		return ht_err_set(err, HT_ENOMEM, "out of memory");
	free(c->text);
	c->text = joined;
	return true;
}

int ht_ctl_change_run(struct ht_ctl *ctl, struct ht_ctl_change *c)
{
	struct ht_rules_errors errors = {0};
	struct ht_ctl_accepted acc;
	struct ht_config *next = ht_rules_parse(c->checked, strlen(c->checked), &errors);
	struct ht_err err;
	int status;

	if (!next) {
		status = ht_ctl_print_faults(ctl, c->source, &errors);
		ht_rules_errors_clear(&errors);
		return status;
	}
	if (!ht_ctl_accepted_read(ctl, &acc, &err))
		status = ht_ctl_fail(ctl, HT_CTL_FAILED, "nothing was changed: %s", err.text);
	else if (!normalise(c, &err) || !ht_rules_diff(acc.text, c->text, &c->diff))
		status = ht_ctl_fail(ctl, HT_CTL_USAGE, "%s: %s", c->source, err.text);
	else
		status = check_and_submit(ctl, c, &acc, next);
	ht_ctl_accepted_clear(&acc);
	ht_config_put(next);
	return status;
}
