/* Planned stop: leaves, hands over, completes requests in flight, forwards late packets, ends. */
#include "core/control.h"

#include <stdlib.h>

/* Unfinished work is abandoned after this time, which exceeds that of any request to a target. */
#define STOP_LIMIT_MS 15000
#define POLL_MS 20

struct ht_stop {
	struct ht_env *env;
	struct ht_tick_if tick;
	struct ht_membership *membership;
	const struct ht_ownership_if *ownership_if;
	const struct ht_targets_if *targets;
	const struct ht_ledger_if *ledger;
	const struct ht_router_if *router;
	bool done;
	ht_ms started;
	ht_ms idle_since; /* HT_NEVER until no work is left */
};

static uint32_t open_work(const struct ht_stop *s)
{
	uint32_t open = s->targets->open_requests(s->targets->ctx);

	open += s->router->pending(s->router->ctx);
	open += !s->ledger->handed_over(s->ledger->ctx);
	/* Targets are released on claims of their new homes, so only if there is another instance.
	 */
	if (ht_membership_has_successor(s->membership))
		open += (uint32_t)ht_ownership_held(s->ownership_if->ctx);
	return open;
}

void ht_stop_begin(struct ht_stop *s)
{
	if (s->env->stopping)
		return;
	s->env->stopping = true;
	s->started = s->env->now;
	s->env->emit(s->env, HT_EV_STOP_STARTED, 0, 0, 0, 0, "%s", "");
	ht_membership_leave(s->membership);
	s->ledger->hand_over_all(s->ledger->ctx);
	s->env->wake_at(s->env, s->env->now + POLL_MS);
}

static void finish(struct ht_stop *s, uint32_t open)
{
	s->done = true;
	s->env->emit(s->env, HT_EV_STOP_FINISHED, 0, 0, 0, 0, "ms=%lld open=%u",
		     (long long)(s->env->now - s->started), open);
	s->env->params.ops->stopped(s->env->params.ctx);
}

/* Lingers from the first moment without work, during which late packets are still forwarded. */
static void tick(void *ctx)
{
	struct ht_stop *s = ctx;
	ht_ms now = s->env->now;
	uint32_t open;

	if (!s->env->stopping || s->done)
		return;
	open = open_work(s);
	if (open == 0 && s->idle_since == HT_NEVER)
		s->idle_since = now;
	if ((open == 0 && now >= s->idle_since + s->env->params.linger) ||
	    now >= s->started + STOP_LIMIT_MS + s->env->params.linger) {
		finish(s, open);
		return;
	}
	s->env->wake_at(s->env, now + POLL_MS);
}

struct ht_stop *ht_stop_new(struct ht_env *env)
{
	struct ht_stop *s = calloc(1, sizeof(*s));
	const struct ht_membership_if *members = ht_registry_find(env->registry, "membership");

	if (!s)
		return NULL;
	s->env = env;
	s->membership = members->ctx;
	s->ownership_if = ht_registry_find(env->registry, "ownership");
	s->targets = ht_registry_find(env->registry, "targets");
	s->ledger = ht_registry_find(env->registry, "ledger");
	s->router = ht_registry_find(env->registry, "router");
	s->idle_since = HT_NEVER;
	s->tick = (struct ht_tick_if){.ctx = s, .tick = tick};
	ht_registry_add(env->registry, "stop.tick", &s->tick);
	return s;
}

void ht_stop_free(struct ht_stop *s)
{
	free(s);
}
