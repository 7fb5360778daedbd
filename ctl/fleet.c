#include "ctl/fleet.h"

#include "platform/http.h"

#include <ev.h>
#include <string.h>

/* Calls in flight at a time; bounds sockets and the burst of answers at a large deployment. */
#define PARALLEL 32

static bool list_named(struct ht_ctl *ctl, struct ht_ctl_fleet *fleet, struct ht_err *err)
{
	size_t n = g_strv_length(ctl->admin);

	fleet->items = g_new0(struct ht_ctl_member, n + 1);
	for (size_t i = 0; i < n; i++) {
		struct ht_ctl_member *m = &fleet->items[fleet->count];
		struct ht_addr addr;

		if (!ht_addr_parse(&addr, ctl->admin[i], err))
			return ht_err_prefix(err, "--admin");
		ht_addr_format(&addr, m->address);
		snprintf(m->name, sizeof(m->name), "%s", m->address);
		fleet->count++;
	}
	return true;
}

bool ht_ctl_fleet_list(struct ht_ctl *ctl, struct ht_ctl_fleet *fleet, struct ht_err *err)
{
	struct ht_platform_instance *list = NULL;
	struct ht_platform_result res;
	int n = -1;

	*fleet = (struct ht_ctl_fleet){0};
	if (ctl->admin)
		return list_named(ctl, fleet, err);
	if (ht_platform_instances_wait(ctl->client, HT_CTL_PLATFORM_TIMEOUT, &res))
		n = ht_platform_instances_parse(res.value, &list, err);
	else
		*err = res.err;
	ht_platform_result_clear(&res);
	if (n < 0)
		return false;
	fleet->items = g_new0(struct ht_ctl_member, (size_t)n + 1);
	fleet->count = (size_t)n;
	for (int i = 0; i < n; i++) {
		struct ht_ctl_member *m = &fleet->items[i];

		memcpy(m->name, list[i].name, sizeof(m->name));
		memcpy(m->dc, list[i].dc, sizeof(m->dc));
		memcpy(m->address, list[i].admin_address, sizeof(m->address));
	}
	free(list);
	return true;
}

void ht_ctl_fleet_sample(struct ht_ctl_fleet *fleet, unsigned int per_dc)
{
	GHashTable *taken = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	size_t kept = 0;

	for (size_t i = 0; i < fleet->count; i++) {
		size_t k = i + (size_t)g_random_int_range(0, (int)(fleet->count - i));
		struct ht_ctl_member m = fleet->items[k];
		unsigned int n = GPOINTER_TO_UINT(g_hash_table_lookup(taken, m.dc));

		fleet->items[k] = fleet->items[i];
		fleet->items[i] = m;
		if (n >= per_dc)
			continue;
		g_hash_table_insert(taken, g_strdup(m.dc), GUINT_TO_POINTER(n + 1));
		fleet->items[i] = fleet->items[kept];
		fleet->items[kept++] = m;
	}
	fleet->count = kept;
	g_hash_table_destroy(taken);
}

struct survey {
	struct ht_http *http;
	struct ht_ctl_fleet *fleet;
	const char *path;
	size_t next;
	size_t open;
};

struct question {
	struct survey *survey;
	struct ht_ctl_member *member;
};

static void ask_next(struct survey *s);

static void on_answer(void *ctx, const struct ht_http_reply *reply)
{
	struct question *q = ctx;
	struct ht_ctl_member *m = q->member;
	struct survey *s = q->survey;

	if (reply->outcome != HT_HTTP_ANSWERED)
		snprintf(m->error, sizeof(m->error), "%s", reply->error);
	else if (reply->status != 200)
		snprintf(m->error, sizeof(m->error), "status %ld", reply->status);
	else
		m->reply = json_loadb(reply->body, reply->len, 0, NULL);
	if (m->reply && !json_is_object(m->reply)) {
		json_decref(m->reply);
		m->reply = NULL;
	}
	if (!m->reply && !m->error[0])
		snprintf(m->error, sizeof(m->error), "answer is not a JSON object");
	g_free(q);
	s->open--;
	ask_next(s);
}

static void ask_next(struct survey *s)
{
	while (s->open < PARALLEL && s->next < s->fleet->count) {
		struct ht_ctl_member *m = &s->fleet->items[s->next++];
		struct question *q;
		struct ht_addr addr;
		struct ht_err err;
		char url[160];

		if (!ht_addr_parse(&addr, m->address, &err)) {
			snprintf(m->error, sizeof(m->error), "%.150s", err.text);
			continue;
		}
		snprintf(url, sizeof(url), "http://%s%s", m->address, s->path);
		q = g_new0(struct question, 1);
		q->survey = s;
		q->member = m;
		if (ht_http_start(s->http, url, NULL, HT_CTL_INSTANCE_TIMEOUT, on_answer, q)) {
			s->open++;
			continue;
		}
		snprintf(m->error, sizeof(m->error), "out of memory");
		g_free(q);
	}
}

bool ht_ctl_fleet_get(struct ht_ctl *ctl, struct ht_ctl_fleet *fleet, const char *path,
		      struct ht_err *err)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct survey s = {.fleet = fleet, .path = path};

	(void)ctl;
	s.http = loop ? ht_http_new(loop) : NULL;
	if (!s.http)
		return ht_err_set(err, HT_ENOMEM, "out of memory");
	ask_next(&s);
	while (s.open)
		ev_run(loop, EVRUN_ONCE);
	ht_http_free(s.http);
	ev_loop_destroy(loop);
	for (size_t i = 0; i < fleet->count; i++) {
		const struct ht_ctl_member *m = &fleet->items[i];

		if (m->reply)
			continue;
		fleet->missed++;
		ht_ctl_event(HT_EV_INSTANCE_NOT_REACHED, "name=%s address=%s reason=\"%s\"",
			     m->name, m->address, m->error);
	}
	return true;
}

void ht_ctl_fleet_print_missed(struct ht_ctl *ctl, const struct ht_ctl_fleet *fleet)
{
	for (size_t i = 0; i < fleet->count; i++) {
		const struct ht_ctl_member *m = &fleet->items[i];

		if (!m->reply)
			fprintf(ctl->out, "not reached: %s%s%s at %s: %s\n", m->name,
				m->dc[0] ? " in " : "", m->dc, m->address, m->error);
	}
}

json_t *ht_ctl_fleet_missed_json(const struct ht_ctl_fleet *fleet)
{
	json_t *list = json_array();

	for (size_t i = 0; i < fleet->count; i++) {
		const struct ht_ctl_member *m = &fleet->items[i];

		if (!m->reply)
			json_array_append_new(list, json_pack("{ssssssss}", "name", m->name,
							      "data_centre", m->dc, "address",
							      m->address, "reason", m->error));
	}
	return list;
}

void ht_ctl_fleet_clear(struct ht_ctl_fleet *fleet)
{
	for (size_t i = 0; i < fleet->count; i++)
		json_decref(fleet->items[i].reply);
	g_free(fleet->items);
	*fleet = (struct ht_ctl_fleet){0};
}
