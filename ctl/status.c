#include "ctl/fleet.h"

#include "ctl/accepted.h"

#include <inttypes.h>
#include <string.h>

static const char *text_of(const json_t *obj, const char *key)
{
	const char *s = json_string_value(json_object_get(obj, key));

	return s ? s : "-";
}

static long long number_of(const json_t *obj, const char *key)
{
	return (long long)json_number_value(json_object_get(obj, key));
}

/* Adds the counters of one instance to the sums. */
static void add_counters(json_t *sums, const json_t *status)
{
	json_t *val;
	const char *key;

	json_object_foreach(json_object_get(status, "counters"), key, val)
	{
		json_int_t n = (json_int_t)json_number_value(val);

		n += json_integer_value(json_object_get(sums, key));
		json_object_set_new(sums, key, json_integer(n));
	}
}

/* Copies the targets of one instance, each with the name of that instance as its home. */
static void add_targets(json_t *targets, const json_t *status)
{
	json_t *obj;
	size_t i;

	json_array_foreach(json_object_get(status, "targets"), i, obj)
	{
		json_t *copy = json_copy(obj);

		json_object_set_new(copy, "home", json_string(text_of(status, "name")));
		json_array_append_new(targets, copy);
	}
}

static json_t *instance_row(const struct ht_ctl_member *m)
{
	static const char *const keys[] = {"name",    "data_centre", "incarnation",
					   "leaving", "lease",	     "config_version",
					   "flows",   "pending",     NULL};
	json_t *row = json_object();

	for (int i = 0; keys[i]; i++)
		json_object_set(row, keys[i], json_object_get(m->reply, keys[i]));
	return row;
}

static json_t *collect(const struct ht_ctl_fleet *fleet)
{
	json_t *instances = json_array(), *targets = json_array(), *sums = json_object();

	for (size_t i = 0; i < fleet->count; i++) {
		if (!fleet->items[i].reply)
			continue;
		json_array_append_new(instances, instance_row(&fleet->items[i]));
		add_targets(targets, fleet->items[i].reply);
		add_counters(sums, fleet->items[i].reply);
	}
	return json_pack("{sosososo}", "instances", instances, "targets", targets, "counters", sums,
			 "not_reached", ht_ctl_fleet_missed_json(fleet));
}

static void print_instances(struct ht_ctl *ctl, const json_t *list)
{
	const json_t *row;
	size_t i;

	fprintf(ctl->out, "%-16s %-14s %8s %-6s %-8s %9s %8s\n", "INSTANCE", "DATA CENTRE",
		"VERSION", "LEASE", "STATE", "FLOWS", "PENDING");
	json_array_foreach(list, i, row)
	{
		fprintf(ctl->out, "%-16s %-14s %8lld %-6s %-8s %9lld %8lld\n", text_of(row, "name"),
			text_of(row, "data_centre"), number_of(row, "config_version"),
			json_is_true(json_object_get(row, "lease")) ? "held" : "no",
			json_is_true(json_object_get(row, "leaving")) ? "leaving" : "live",
			number_of(row, "flows"), number_of(row, "pending"));
	}
}

static void print_targets(struct ht_ctl *ctl, const json_t *list)
{
	const json_t *row;
	size_t i;

	if (!json_array_size(list))
		return;
	fprintf(ctl->out, "\n%-16s %-16s %-12s %5s %9s %6s %-16s\n", "SERVICE", "TARGET", "STATE",
		"SLOTS", "IN FLIGHT", "QUEUED", "HOME");
	json_array_foreach(list, i, row)
	{
		fprintf(ctl->out, "%-16s %-16s %-12s %5lld %9lld %6lld %-16s\n",
			text_of(row, "service"), text_of(row, "name"), text_of(row, "state"),
			number_of(row, "slots"), number_of(row, "in_flight"),
			number_of(row, "queued"), text_of(row, "home"));
	}
}

static void print_counters(struct ht_ctl *ctl, json_t *sums)
{
	json_t *val;
	const char *key;

	fputc('\n', ctl->out);
	json_object_foreach(sums, key, val)
	{
		if (json_integer_value(val))
			fprintf(ctl->out, "%-28s %12" JSON_INTEGER_FORMAT "\n", key,
				json_integer_value(val));
	}
}

/* Adds the platform's version, or null when it was not read. */
static void add_platform(struct ht_ctl *ctl, json_t *root)
{
	struct ht_platform_result res;
	struct ht_rules_head head = {0};

	json_object_set_new(root, "platform_version", json_null());
	if (!ctl->client)
		return;
	if (ht_platform_read_wait(ctl->client, "config/head", HT_PLATFORM_TIMEOUT, &res) &&
	    ht_rules_head_parse(res.value, strlen(res.value), &head, NULL))
		json_object_set_new(root, "platform_version",
				    json_integer((json_int_t)head.version));
	ht_rules_head_clear(&head);
	ht_platform_result_clear(&res);
}

int ht_ctl_status(struct ht_ctl *ctl, char **argv)
{
	struct ht_ctl_fleet fleet;
	struct ht_err err;
	json_t *root;
	int status;

	(void)argv;
	if (!ht_ctl_fleet_list(ctl, &fleet, &err) ||
	    !ht_ctl_fleet_get(ctl, &fleet, "/status", &err)) {
		ht_ctl_fleet_clear(&fleet);
		return ht_ctl_fail(ctl, HT_CTL_FAILED,
				   "list of instances: %s (--admin names instances directly)",
				   err.text);
	}
	root = collect(&fleet);
	add_platform(ctl, root);
	if (ctl->json) {
		ht_ctl_print_json(ctl, json_incref(root));
	} else {
		const json_t *version = json_object_get(root, "platform_version");

		if (json_is_integer(version))
			fprintf(ctl->out, "accepted version at the platform: %lld\n\n",
				number_of(root, "platform_version"));
		else
			fprintf(ctl->out, "accepted version at the platform: not read\n\n");
		print_instances(ctl, json_object_get(root, "instances"));
		ht_ctl_fleet_print_missed(ctl, &fleet);
		print_targets(ctl, json_object_get(root, "targets"));
		print_counters(ctl, json_object_get(root, "counters"));
	}
	status = fleet.missed ? HT_CTL_PARTIAL : HT_CTL_DONE;
	json_decref(root);
	ht_ctl_fleet_clear(&fleet);
	return status;
}
