#include "ctl/accepted.h"

#include <string.h>

static bool read_part(struct ht_ctl *ctl, struct ht_rules_part *part, struct ht_err *err)
{
	struct ht_platform_result res;
	char name[64];
	bool ok;

	snprintf(name, sizeof(name), "config/parts/%s", part->hash);
	ok = ht_platform_read_wait(ctl->client, name, HT_CTL_PLATFORM_TIMEOUT, &res);
	if (ok)
		ok = ht_rules_part_parse(res.value, strlen(res.value), part, err);
	else
		*err = res.err;
	ht_platform_result_clear(&res);
	return ok || ht_err_prefix(err, "rules of service '%s'", part->service);
}

static bool read_parts(struct ht_ctl *ctl, struct ht_ctl_accepted *out, struct ht_err *err)
{
	struct ht_rules_errors errors = {0};

	for (size_t i = 0; i < out->head.parts.count; i++)
		if (!read_part(ctl, &out->head.parts.items[i], err))
			return false;
	out->text = ht_rules_parts_join(&out->head.parts);
	if (!out->text)
		return ht_err_set(err, HT_ENOMEM, "out of memory");
	out->cfg = ht_rules_parse(out->text, strlen(out->text), &errors);
	if (!out->cfg && errors.count)
		ht_err_set(err, HT_EINVAL, "accepted rules, version %llu, line %u: %s",
			   (unsigned long long)out->head.version, errors.items[0].line,
			   errors.items[0].text);
	ht_rules_errors_clear(&errors);
	return out->cfg != NULL;
}

/* Damage that stays until the rules are written anew, unlike a platform that does not answer. */
static bool is_damage(const struct ht_err *err)
{
	return err->code == HT_EINVAL || err->code == HT_ENOTFOUND;
}

static bool read_rules(struct ht_ctl *ctl, struct ht_ctl_accepted *out, const char *value,
		       struct ht_err *err)
{
	if (ht_rules_head_parse(value, strlen(value), &out->head, err) && read_parts(ctl, out, err))
		return true;
	if (!ctl->replace_damaged || !is_damage(err))
		return false;
	ht_rules_parts_clear(&out->head.parts);
	free(out->text);
	out->text = strdup("");
	return out->text != NULL;
}

bool ht_ctl_accepted_read(struct ht_ctl *ctl, struct ht_ctl_accepted *out, struct ht_err *err)
{
	struct ht_platform_result res;
	bool ok;

	*out = (struct ht_ctl_accepted){0};
	ok = ht_platform_read_wait(ctl->client, "config/head", HT_CTL_PLATFORM_TIMEOUT, &res);
	out->now = res.date ? res.date : ht_clock_wall();
	out->object_version = res.version;
	out->exists = ok;
	*err = res.err;
	if (ok)
		ok = read_rules(ctl, out, res.value, err);
	else if (res.err.code == HT_ENOTFOUND)
		ok = (out->text = strdup("")) != NULL;
	ht_platform_result_clear(&res);
	return ok;
}

void ht_ctl_accepted_clear(struct ht_ctl_accepted *acc)
{
	ht_rules_head_clear(&acc->head);
	free(acc->text);
	ht_config_put(acc->cfg);
	*acc = (struct ht_ctl_accepted){0};
}
