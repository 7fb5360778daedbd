/*
 * Calls to the platform. An instance reads the configuration head and the list of instances when it
 * starts; afterwards only the two relays of a data centre watch the head and read the list.
 */
#include "core/control.h"

#include <jansson.h>
#include <stdlib.h>

/* Interval between reads of the list, in ms. */
#define LIST_INTERVAL_MS 2000
/* Minimum interval between watches of the head, in ms. */
#define WATCH_SPACING_MS 50
#define STATUS_INTERVAL_MS 10000
#define BACKOFF_MIN_MS 500
#define BACKOFF_MAX_MS                                                                             \
	3000 /* 4.5 s with jitter, so that a change spreads within 8 s after an outage */

struct ht_relay {
	struct ht_env *env;
	struct ht_tick_if tick;
	struct ht_membership *membership;
	const struct ht_config_if *config;
	bool active, head_busy, list_busy;
	uint64_t head_version; /* last one read; below the one in use after a restore from backup */
	ht_ms next_head, next_list, next_status;
	ht_ms head_backoff, list_backoff;
};

static const struct ht_revision no_revision = {0};

static void call(struct ht_relay *r, enum ht_platform_call kind, enum ht_counter counter,
		 struct ht_revision known, const char *body)
{
	ht_count(&r->env->counters, counter, 1);
	r->env->params.ops->platform(r->env->params.ctx, kind, known, body);
}

/* Exponential backoff with jitter, so that instances do not retry at the same time. */
static ht_ms next_backoff(struct ht_relay *r, ht_ms *backoff)
{
	*backoff = *backoff ? *backoff * 2 : BACKOFF_MIN_MS;
	if (*backoff > BACKOFF_MAX_MS)
		*backoff = BACKOFF_MAX_MS;
	return *backoff / 2 + (ht_ms)(r->env->random(r->env) % (uint64_t)*backoff);
}

void ht_relay_head_done(struct ht_relay *r, uint64_t version)
{
	r->head_busy = false;
	if (version == 0) {
		ht_count(&r->env->counters, HT_C_platform_errors, 1);
		r->next_head = r->env->now + next_backoff(r, &r->head_backoff);
	} else {
		r->head_backoff = 0;
		r->head_version = version;
		r->next_head = r->env->now + WATCH_SPACING_MS;
	}
	r->env->wake_at(r->env, r->next_head);
}

void ht_relay_list_done(struct ht_relay *r, bool ok)
{
	r->list_busy = false;
	if (ok) {
		r->list_backoff = 0;
		r->next_list = r->env->now + LIST_INTERVAL_MS;
	} else {
		ht_count(&r->env->counters, HT_C_platform_errors, 1);
		r->next_list = r->env->now + next_backoff(r, &r->list_backoff);
	}
	r->env->wake_at(r->env, r->next_list);
}

static void add_version(void *vctx, const char *name, uint64_t version)
{
	json_object_set_new(vctx, name, json_integer((json_int_t)version));
}

static void write_status(struct ht_relay *r)
{
	const struct ht_config *cfg = r->config->current(r->config->ctx);
	uint64_t version = cfg ? cfg->version : 0;
	json_t *instances = json_object();
	json_t *status;
	char *body;

	add_version(instances, r->env->params.self.name, version);
	ht_membership_versions(r->membership, add_version, instances);
	status = json_pack("{s:I, s:o}", "config_version", (json_int_t)version, "instances",
			   instances);
	body = status ? json_dumps(status, JSON_COMPACT) : NULL;
	if (body)
		call(r, HT_PLATFORM_WRITE_STATUS, HT_C_platform_writes, no_revision, body);
	free(body);
	json_decref(status);
}

static void tick_head(struct ht_relay *r)
{
	const struct ht_config *cfg = r->config->current(r->config->ctx);

	if (r->head_busy || (!r->active && cfg))
		return;
	if (r->env->now < r->next_head) {
		r->env->wake_at(r->env, r->next_head);
		return;
	}
	r->head_busy = true;
	if (r->active && r->head_version)
		call(r, HT_PLATFORM_WATCH_HEAD, HT_C_platform_watches,
		     (struct ht_revision){.number = r->head_version}, NULL);
	else
		call(r, HT_PLATFORM_READ_HEAD, HT_C_platform_reads, no_revision, NULL);
}

static void tick_list(struct ht_relay *r)
{
	struct ht_revision revision = ht_membership_list_revision(r->membership);

	if (r->list_busy || (!r->active && revision.number))
		return;
	if (r->env->now < r->next_list) {
		r->env->wake_at(r->env, r->next_list);
		return;
	}
	r->list_busy = true;
	call(r, HT_PLATFORM_READ_LIVE, HT_C_platform_reads, revision, NULL);
}

static void tick_status(struct ht_relay *r, int rank)
{
	if (rank != 0)
		return;
	if (r->env->now >= r->next_status) {
		r->next_status = r->env->now + STATUS_INTERVAL_MS;
		write_status(r);
	}
	r->env->wake_at(r->env, r->next_status);
}

static void tick(void *ctx)
{
	struct ht_relay *r = ctx;
	int rank = ht_membership_relay_rank(r->membership);

	if ((rank >= 0) != r->active) {
		r->active = rank >= 0;
		r->env->emit(r->env, r->active ? HT_EV_RELAY_STARTED : HT_EV_RELAY_STOPPED, 0, 0, 0,
			     0, "%s", "");
		r->next_status = r->env->now + STATUS_INTERVAL_MS;
	}
	tick_head(r);
	tick_list(r);
	tick_status(r, rank);
}

struct ht_relay *ht_relay_new(struct ht_env *env)
{
	struct ht_relay *r = calloc(1, sizeof(*r));
	const struct ht_membership_if *members = ht_registry_find(env->registry, "membership");

	if (!r)
		return NULL;
	r->env = env;
	r->membership = members->ctx;
	r->config = ht_registry_find(env->registry, "config");
	r->tick = (struct ht_tick_if){.ctx = r, .tick = tick};
	ht_registry_add(env->registry, "relay.tick", &r->tick);
	return r;
}

void ht_relay_free(struct ht_relay *r)
{
	free(r);
}
