/* Pages of the admin address. */
#include "core/services.h"
#include "daemon/shell.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#define ID_TEXT 17

static json_t *json_id(uint64_t id)
{
	char text[ID_TEXT] = "";

	if (id)
		snprintf(text, sizeof(text), "%016" PRIx64, id);
	return json_string(text);
}

static json_t *json_clock(uint64_t clock)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, clock);
	return json_string(text);
}

/* Counters of the core and of the parts around it; each counter is used by one of them. */
static uint64_t counter(const struct ht_shell *sh, enum ht_counter id)
{
	return ht_core_counters(sh->core)->values[id] + sh->counters.values[id];
}

static json_t *json_counters(const struct ht_shell *sh)
{
	json_t *all = json_object();

	for (int i = 0; i < HT_COUNTER_COUNT; i++)
		json_object_set_new(all, ht_counter_name((enum ht_counter)i),
				    json_integer((json_int_t)counter(sh, (enum ht_counter)i)));
	return all;
}

static json_t *json_target(const struct ht_shell *sh, const struct ht_config *cfg,
			   const struct ht_target_conf *t, const char *state)
{
	const struct ht_registry *reg = ht_core_registry(sh->core);
	const struct ht_ownership_if *own = ht_registry_find(reg, "ownership");
	const struct ht_targets_if *targets = ht_registry_find(reg, "targets");
	const struct ht_service_conf *svc = ht_config_service(cfg, t->service);
	json_t *o = json_object();

	json_object_set_new(o, "id", json_id(t->id));
	json_object_set_new(o, "name", json_string(t->name));
	json_object_set_new(o, "service", json_string(svc ? svc->name : ""));
	json_object_set_new(o, "state", json_string(state));
	json_object_set_new(o, "slots", json_integer(own ? own->slots(own->ctx, t->id) : 0));
	json_object_set_new(o, "in_flight",
			    json_integer(targets ? targets->in_flight(targets->ctx, t->id) : 0));
	json_object_set_new(o, "queued",
			    json_integer(targets ? targets->queued(targets->ctx, t->id) : 0));
	return o;
}

static json_t *json_targets(const struct ht_shell *sh, const struct ht_config *cfg)
{
	json_t *all = json_array();

	for (size_t i = 0; cfg && i < cfg->target_count; i++) {
		const char *state = ht_target_pool_state(sh->targets, cfg->targets[i].id);

		if (state)
			json_array_append_new(all, json_target(sh, cfg, &cfg->targets[i], state));
	}
	return all;
}

static void add_instance(void *ctx, const struct ht_instance_info *info, bool live)
{
	json_t *o = json_object();

	json_object_set_new(o, "name", json_string(info->name));
	json_object_set_new(o, "data_centre", json_string(info->dc));
	json_object_set_new(o, "live", json_boolean(live));
	json_array_append_new(ctx, o);
}

static char *render_status(void *ctx)
{
	struct ht_shell *sh = ctx;
	const struct ht_registry *reg = ht_core_registry(sh->core);
	const struct ht_membership_if *members = ht_registry_find(reg, "membership");
	const struct ht_router_if *router = ht_registry_find(reg, "router");
	const struct ht_config *cfg = ht_core_config(sh->core);
	json_t *o = json_object();
	json_t *instances = json_array();
	char *text;

	ht_core_each_instance(sh->core, add_instance, instances);
	json_object_set_new(o, "name", json_string(sh->settings->name));
	json_object_set_new(o, "data_centre", json_string(sh->settings->data_centre));
	json_object_set_new(o, "incarnation", json_id(sh->params.incarnation));
	json_object_set_new(o, "config_version", json_integer(cfg ? (json_int_t)cfg->version : 0));
	json_object_set_new(o, "leaving", json_boolean(sh->stopping));
	json_object_set_new(o, "lease",
			    json_boolean(members && members->lease_valid(members->ctx)));
	json_object_set_new(o, "flows",
			    json_integer(router ? (json_int_t)router->flows(router->ctx) : 0));
	json_object_set_new(o, "pending", json_integer(router ? router->pending(router->ctx) : 0));
	json_object_set_new(o, "targets", json_targets(sh, cfg));
	json_object_set_new(o, "instances", instances);
	json_object_set_new(o, "counters", json_counters(sh));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static char *render_metrics(void *ctx)
{
	const struct ht_shell *sh = ctx;
	GString *text = g_string_new(NULL);

	for (int i = 0; i < HT_COUNTER_COUNT; i++)
		g_string_append_printf(text, "hickorytrestle_%s %" PRIu64 "\n",
				       ht_counter_name((enum ht_counter)i),
				       counter(sh, (enum ht_counter)i));
	return g_string_free(text, FALSE);
}

static const char *level_name(enum ht_level level)
{
	switch (level) {
	case HT_ERROR:
		return "error";
	case HT_WARN:
		return "warn";
	case HT_NOTICE:
		return "notice";
	case HT_INFO:
		return "info";
	case HT_DEBUG:
		return "debug";
	}
	return "";
}

static void add_event(void *ctx, const struct ht_event *ev)
{
	const struct ht_event_info *info = ht_event_info(ev->number);
	json_t *o = json_object();
	/* A field may have been cut inside a character. */
	char *detail = g_utf8_make_valid(ev->detail, -1);

	json_object_set_new(o, "clock", json_clock(ev->clock));
	json_object_set_new(o, "number", json_integer(ev->number));
	json_object_set_new(o, "name", json_string(info ? info->name : ""));
	json_object_set_new(o, "level", json_string(info ? level_name(info->level) : ""));
	json_object_set_new(o, "flow", json_id(ev->flow));
	json_object_set_new(o, "request", json_id(ev->request));
	json_object_set_new(o, "target", json_id(ev->target));
	json_object_set_new(o, "instance", json_id(ev->instance));
	json_object_set_new(o, "detail", json_string(detail));
	json_array_append_new(ctx, o);
	g_free(detail);
}

static char *render_timeline(void *ctx)
{
	struct ht_shell *sh = ctx;
	json_t *o = json_object();
	json_t *events = json_array();
	char *text;

	ht_event_ring_each(sh->log.ring, add_event, events);
	json_object_set_new(o, "process", json_string(sh->settings->name));
	json_object_set_new(o, "clock", json_clock(ht_log_clock(&sh->log)));
	json_object_set_new(o, "lost", json_integer((json_int_t)ht_event_ring_lost(sh->log.ring)));
	json_object_set_new(o, "events", events);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

const struct ht_admin_page ht_status_pages[] = {
	{"/status", "application/json", render_status},
	{"/metrics", "text/plain", render_metrics},
	{"/timeline", "application/json", render_timeline},
	{NULL, NULL, NULL},
};
