#include "ctl/inforce.h"

#include "base/hash.h"

#include <inttypes.h>
#include <string.h>

/*
 * Instances asked in each data centre. A version is in force in a whole data centre within 8 s, so
 * a few stand for all; asking 2,800 instances for each change would exceed their control budget.
 */
#define ASKED_PER_DC 3

static void raise_to(uint64_t *version, const json_t *val)
{
	if (json_is_integer(val) && json_integer_value(val) > 0 &&
	    (uint64_t)json_integer_value(val) > *version)
		*version = (uint64_t)json_integer_value(val);
}

static bool read_status_object(struct ht_ctl *ctl, const char *dc, uint64_t *version,
			       struct ht_err *err)
{
	struct ht_platform_result res;
	json_t *root, *val;
	const char *key;
	char name[96];
	bool ok;

	snprintf(name, sizeof(name), "status/%s", dc);
	ok = ht_platform_read_wait(ctl->client, name, HT_CTL_PLATFORM_TIMEOUT, &res) ||
	     res.err.code == HT_ENOTFOUND;
	*err = res.err;
	root = res.value ? json_loads(res.value, 0, NULL) : NULL;
	raise_to(version, json_object_get(root, "config_version"));
	json_object_foreach(json_object_get(root, "instances"), key, val)
	{
		raise_to(version, val);
	}
	json_decref(root);
	ht_platform_result_clear(&res);
	return ok;
}

static bool read_status_objects(struct ht_ctl *ctl, struct ht_ctl_in_force *out, struct ht_err *err)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (size_t i = 0; ok && i < out->fleet.count; i++)
		if (g_hash_table_add(seen, out->fleet.items[i].dc))
			ok = read_status_object(ctl, out->fleet.items[i].dc, &out->version, err);
	g_hash_table_destroy(seen);
	return ok;
}

static bool ask(struct ht_ctl *ctl, struct ht_ctl_in_force *out, struct ht_err *err)
{
	if (!ht_ctl_fleet_get(ctl, &out->fleet, "/status", err))
		return false;
	for (size_t i = 0; i < out->fleet.count; i++)
		raise_to(&out->version,
			 json_object_get(out->fleet.items[i].reply, "config_version"));
	return true;
}

static bool dc_answered(const struct ht_ctl_fleet *fleet, const char *dc)
{
	for (size_t i = 0; i < fleet->count; i++)
		if (strcmp(fleet->items[i].dc, dc) == 0 && fleet->items[i].reply)
			return true;
	return false;
}

static bool all_dcs_answered(const struct ht_ctl_fleet *fleet)
{
	for (size_t i = 0; i < fleet->count; i++)
		if (!dc_answered(fleet, fleet->items[i].dc))
			return false;
	return true;
}

bool ht_ctl_in_force_read(struct ht_ctl *ctl, uint64_t head, struct ht_ctl_in_force *out,
			  struct ht_err *err)
{
	*out = (struct ht_ctl_in_force){0};
	if (!ht_ctl_fleet_list(ctl, &out->fleet, err))
		return ht_err_prefix(err, "list of instances");
	if (!ctl->admin && !read_status_objects(ctl, out, err))
		return false;
	ht_ctl_fleet_sample(&out->fleet, ASKED_PER_DC);
	if (!ask(ctl, out, err))
		return false;
	out->complete = all_dcs_answered(&out->fleet);
	if (out->version <= head)
		return true;
	ht_ctl_event(HT_EV_PLATFORM_OLDER, "platform=%" PRIu64 " in_force=%" PRIu64, head,
		     out->version);
	ht_ctl_fleet_clear(&out->fleet);
	return ht_ctl_fleet_list(ctl, &out->fleet, err) && ask(ctl, out, err);
}

void ht_ctl_in_force_clear(struct ht_ctl_in_force *out)
{
	ht_ctl_fleet_clear(&out->fleet);
}

/* @service is a name, or an id as 16 hexadecimal digits. */
static bool same_service(const char *service, uint64_t id)
{
	char *end;

	if (ht_hash_str(service) == id)
		return true;
	return strlen(service) == 16 && strtoull(service, &end, 16) == id && !*end;
}

static void check_target(const json_t *obj, const char *instance, const struct ht_config *next,
			 struct ht_rules_errors *errors)
{
	const char *id = json_string_value(json_object_get(obj, "id"));
	const char *service = json_string_value(json_object_get(obj, "service"));
	const struct ht_target_conf *t;

	if (!id || !service)
		return;
	t = ht_config_target(next, strtoull(id, NULL, 16));
	if (!t || same_service(service, t->service))
		return;
	ht_rules_errors_add(errors, 0, 0, "remove the target in one change, then wait 60 s",
			    "instance '%.63s' still uses the address of target '%s' for service "
			    "'%.63s'",
			    instance, t->name, service);
}

bool ht_ctl_in_force_check(const struct ht_ctl_in_force *in, const struct ht_config *next,
			   struct ht_rules_errors *errors)
{
	size_t before = errors->total;

	for (size_t i = 0; i < in->fleet.count; i++) {
		const json_t *list = json_object_get(in->fleet.items[i].reply, "targets");
		const json_t *obj;
		size_t k;

		json_array_foreach(list, k, obj)
		{
			check_target(obj, in->fleet.items[i].name, next, errors);
		}
	}
	return errors->total == before;
}
