#include "ctl/fleet.h"
#include "ctl/logs.h"

#include "base/hash.h"

#include <inttypes.h>
#include <string.h>
#include <time.h>

/** An event of one process; strings belong to the reply it came in. */
struct entry {
	uint64_t clock;
	const char *process;
	size_t order; /* position in its process' ring, for equal clocks */
	const json_t *event;
};

/* What an event must match; empty strings and 0 match all. */
struct filter {
	char flow[17], request[17], target[17], instance_id[17];
	const char *instance;
	int number;
};

/* Takes 16 hexadecimal digits. */
static bool read_id(const char *text, char out[17])
{
	out[0] = 0;
	if (!text)
		return true;
	if (strlen(text) != 16 || strspn(text, "0123456789abcdefABCDEF") != 16)
		return false;
	for (int i = 0; i < 17; i++)
		out[i] = g_ascii_tolower(text[i]);
	return true;
}

/* A target's id is the hash of its address, so the address names it as well. */
static bool read_target(const char *text, char out[17])
{
	char canonical[HT_ADDR_TEXT];
	struct ht_addr addr;

	if (!text || !ht_addr_parse(&addr, text, NULL))
		return read_id(text, out);
	snprintf(out, 17, "%016" PRIx64, ht_hash_str(ht_addr_format(&addr, canonical)));
	return true;
}

static int read_filter(struct ht_ctl *ctl, struct filter *f)
{
	const char *bad = NULL;

	if (!read_id(ctl->flow, f->flow))
		bad = "--flow";
	else if (!read_id(ctl->request, f->request))
		bad = "--request";
	else if (!read_target(ctl->target, f->target))
		bad = "--target";
	f->instance = ctl->instance;
	f->number = ctl->number;
	if (ctl->instance)
		snprintf(f->instance_id, sizeof(f->instance_id), "%016" PRIx64,
			 ht_hash_str(ctl->instance));
	if (!bad)
		return HT_CTL_DONE;
	return ht_ctl_fail(ctl, HT_CTL_USAGE, "%s: an id has 16 hexadecimal digits", bad);
}

static const char *text_of(const json_t *obj, const char *key)
{
	const char *s = json_string_value(json_object_get(obj, key));

	return s ? s : "";
}

static bool matches_id(const json_t *event, const char *key, const char *id)
{
	return !id[0] || strcmp(text_of(event, key), id) == 0;
}

static bool matches(const struct filter *f, const struct entry *e)
{
	if (f->number && json_integer_value(json_object_get(e->event, "number")) != f->number)
		return false;
	if (f->instance && strcmp(e->process, f->instance) != 0 &&
	    !matches_id(e->event, "instance", f->instance_id))
		return false;
	return matches_id(e->event, "flow", f->flow) &&
	       matches_id(e->event, "request", f->request) &&
	       matches_id(e->event, "target", f->target);
}

static void add_ring(GArray *entries, const struct filter *f, const struct ht_ctl_member *m)
{
	const json_t *event;
	size_t i;

	json_array_foreach(json_object_get(m->reply, "events"), i, event)
	{
		struct entry e = {
			.clock = strtoull(text_of(event, "clock"), NULL, 10),
			.process = text_of(m->reply, "process"),
			.order = i,
			.event = event,
		};

		if (matches(f, &e))
			g_array_append_val(entries, e);
	}
}

static int compare_entries(const void *a, const void *b)
{
	const struct entry *x = a, *y = b;
	int c;

	if (x->clock != y->clock)
		return x->clock < y->clock ? -1 : 1;
	c = strcmp(x->process, y->process);
	return c ? c : (x->order > y->order) - (x->order < y->order);
}

static void print_id(FILE *out, const json_t *event, const char *key)
{
	const char *id = text_of(event, key);

	if (id[0])
		fprintf(out, " %s=%s", key, id);
}

static void print_entry(FILE *out, const struct entry *e)
{
	time_t seconds = (time_t)((e->clock >> 16) / 1000);
	struct tm tm;
	char when[32];

	gmtime_r(&seconds, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(out, "%s.%03dZ+%04x %-12s %04d %-6s %s", when, (int)((e->clock >> 16) % 1000),
		(unsigned int)(e->clock & 0xffff), e->process,
		(int)json_integer_value(json_object_get(e->event, "number")),
		text_of(e->event, "level"), text_of(e->event, "name"));
	print_id(out, e->event, "flow");
	print_id(out, e->event, "request");
	print_id(out, e->event, "target");
	print_id(out, e->event, "instance");
	fprintf(out, " %s\n", text_of(e->event, "detail"));
}

static void print_text(struct ht_ctl *ctl, const GArray *entries, const struct ht_ctl_fleet *fleet)
{
	for (guint i = 0; i < entries->len; i++)
		print_entry(ctl->out, &g_array_index(entries, struct entry, i));
	for (size_t i = 0; i < fleet->count; i++) {
		const json_t *reply = fleet->items[i].reply;
		json_int_t lost = json_integer_value(json_object_get(reply, "lost"));

		if (lost)
			fprintf(ctl->out,
				"%s: %" JSON_INTEGER_FORMAT " older events are no longer held\n",
				text_of(reply, "process"), lost);
	}
	ht_ctl_fleet_print_missed(ctl, fleet);
}

static void print_json(struct ht_ctl *ctl, const GArray *entries, const struct ht_ctl_fleet *fleet)
{
	json_t *list = json_array(), *lost = json_object();

	for (guint i = 0; i < entries->len; i++) {
		const struct entry *e = &g_array_index(entries, struct entry, i);
		json_t *copy = json_copy((json_t *)e->event);

		json_object_set_new(copy, "process", json_string(e->process));
		json_array_append_new(list, copy);
	}
	for (size_t i = 0; i < fleet->count; i++) {
		const json_t *reply = fleet->items[i].reply;

		if (reply)
			json_object_set(lost, text_of(reply, "process"),
					json_object_get(reply, "lost"));
	}
	ht_ctl_print_json(ctl, json_pack("{sososo}", "events", list, "lost", lost, "not_reached",
					 ht_ctl_fleet_missed_json(fleet)));
}

int ht_ctl_timeline(struct ht_ctl *ctl, char **argv)
{
	struct ht_ctl_fleet fleet;
	struct filter f = {0};
	struct ht_err err;
	GArray *entries;
	int status;

	(void)argv;
	if (ctl->log)
		return ht_ctl_log_timeline(ctl);
	status = read_filter(ctl, &f);
	if (status != HT_CTL_DONE)
		return status;
	if (!ht_ctl_fleet_list(ctl, &fleet, &err) ||
	    !ht_ctl_fleet_get(ctl, &fleet, "/timeline", &err)) {
		ht_ctl_fleet_clear(&fleet);
		return ht_ctl_fail(ctl, HT_CTL_FAILED,
				   "list of instances: %s (--admin names instances directly)",
				   err.text);
	}
	entries = g_array_new(FALSE, FALSE, sizeof(struct entry));
	for (size_t i = 0; i < fleet.count; i++)
		add_ring(entries, &f, &fleet.items[i]);
	g_array_sort(entries, compare_entries);
	if (ctl->json)
		print_json(ctl, entries, &fleet);
	else
		print_text(ctl, entries, &fleet);
	status = fleet.missed ? HT_CTL_PARTIAL : HT_CTL_DONE;
	g_array_free(entries, TRUE);
	ht_ctl_fleet_clear(&fleet);
	return status;
}
