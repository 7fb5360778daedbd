#include "core/owned.h"

#include "base/hash.h"

#include <stdlib.h>
#include <string.h>

static size_t lower_bound(const struct ht_ownership *o, uint64_t id)
{
	size_t lo = 0, hi = o->count;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (o->owned[mid].id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

struct ht_owned *ht_owned_find(const struct ht_ownership *o, uint64_t target)
{
	size_t at = lower_bound(o, target);

	return at < o->count && o->owned[at].id == target ? &o->owned[at] : NULL;
}

struct ht_owned *ht_owned_get(struct ht_ownership *o, uint64_t target)
{
	size_t at = lower_bound(o, target);
	struct ht_owned *t;

	if (at < o->count && o->owned[at].id == target)
		return &o->owned[at];
	if (o->count == o->capacity) {
		size_t capacity = o->capacity ? o->capacity * 2 : 16;

		t = realloc(o->owned, capacity * sizeof(*t));
		if (!t)
			return NULL;
		o->owned = t;
		o->capacity = capacity;
	}
	t = o->owned + at;
	memmove(t + 1, t, (o->count - at) * sizeof(*t));
	o->count++;
	*t = (struct ht_owned){.id = target, .next_claim = HT_NEVER, .taken_over_at = HT_NEVER};
	return t;
}

static const struct ht_targets_if *targets_of(struct ht_ownership *o)
{
	if (!o->targets)
		o->targets = ht_registry_find(o->env->registry, "targets");
	return o->targets;
}

uint32_t ht_owned_in_flight(struct ht_ownership *o, uint64_t target)
{
	const struct ht_targets_if *targets = targets_of(o);

	return targets ? targets->in_flight(targets->ctx, target) : 0;
}

void ht_owned_recheck(struct ht_ownership *o)
{
	o->next_check = 0;
	o->env->wake_at(o->env, o->env->now);
}

static void wake_at(struct ht_ownership *o, ht_ms due)
{
	if (due < o->next_check)
		o->next_check = due;
	o->env->wake_at(o->env, due);
}

void ht_owned_notify(struct ht_ownership *o, uint64_t target)
{
	const struct ht_targets_if *targets = targets_of(o);

	if (targets)
		targets->owner_changed(targets->ctx, target);
}

void ht_owned_set_state(struct ht_ownership *o, struct ht_owned *t, enum ht_owner_state state)
{
	if (t->state == state)
		return;
	t->state = state;
	ht_owned_notify(o, t->id);
}

static bool has_majority(const struct ht_ownership *o, const struct ht_owned *t)
{
	return t->state == HT_OWNER_OWNED &&
	       ht_membership_majority(o->membership, t->votes, t->vote_count, t->self_vote);
}

static enum ht_owner_state state_of(void *ctx, uint64_t target)
{
	const struct ht_ownership *o = ctx;
	const struct ht_owned *t = ht_owned_find(o, target);

	if (!t)
		return HT_OWNER_NONE;
	return t->isolated ? HT_OWNER_OWNED : t->state;
}

static uint32_t slots_of(void *ctx, uint64_t target)
{
	const struct ht_ownership *o = ctx;
	const struct ht_owned *t = ht_owned_find(o, target);
	uint32_t borrowed;

	if (!t || !t->configured)
		return 0;
	if (t->isolated)
		return 1;
	if (!has_majority(o, t))
		return 0;
	borrowed = ht_residual_slots(t);
	return t->slots > borrowed ? t->slots - borrowed : 0;
}

static ht_ms taken_over_at(void *ctx, uint64_t target)
{
	const struct ht_owned *t = ht_owned_find(ctx, target);

	return t ? t->taken_over_at : HT_NEVER;
}

static uint64_t former_owner(void *ctx, uint64_t target)
{
	const struct ht_ownership *o = ctx;
	const struct ht_owned *t = ht_owned_find(o, target);

	if (!t || !t->former_owner || o->members->dead(o->members->ctx, t->former_owner))
		return 0;
	return t->former_owner;
}

static void request_ended(void *ctx, uint64_t target)
{
	struct ht_ownership *o = ctx;
	struct ht_owned *t = ht_owned_find(o, target);
	Ht__SlotRelease release = HT__SLOT_RELEASE__INIT;
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;

	if (!t || t->state != HT_OWNER_RELEASING || t->releasing_in_flight == 0)
		return;
	release.target = target;
	release.count = 1;
	msg.kind_case = HT__PEER_MSG__KIND_SLOT_RELEASE;
	msg.slot_release = &release;
	o->env->send(o->env, t->releasing_to, &msg);
	if (--t->releasing_in_flight == 0)
		ht_owned_set_state(o, t, HT_OWNER_NONE);
}

/* Updates the table from the configuration of this data centre's targets. */
static void apply_config(struct ht_ownership *o, const struct ht_config *cfg)
{
	for (size_t i = 0; i < o->count; i++)
		o->owned[i].configured = false;
	for (size_t i = 0; cfg && i < cfg->target_count; i++) {
		struct ht_owned *t;

		if (strcmp(cfg->targets[i].dc, o->env->params.self.dc) != 0)
			continue;
		t = ht_owned_get(o, cfg->targets[i].id);
		if (!t)
			continue;
		t->configured = true;
		if (t->slots != cfg->targets[i].slots) {
			t->slots = cfg->targets[i].slots;
			ht_owned_notify(o, t->id);
		}
	}
}

static bool is_home(const struct ht_ownership *o, const struct ht_owned *t)
{
	return t->configured && !ht_membership_voting_suspended(o->membership) &&
	       o->members->home(o->members->ctx, t->id, o->env->params.self.dc) == o->env->self;
}

static void review_target(struct ht_ownership *o, struct ht_owned *t)
{
	t->home = is_home(o, t);
	if (!t->configured && t->state != HT_OWNER_NONE && t->state != HT_OWNER_RELEASING) {
		ht_claim_reset(o, t);
		ht_owned_set_state(o, t, HT_OWNER_NONE);
		return;
	}
	if (!t->home && t->state == HT_OWNER_CLAIMING) {
		ht_claim_reset(o, t);
		ht_owned_set_state(o, t, HT_OWNER_NONE);
	}
	if (t->home && (t->state == HT_OWNER_NONE || t->state == HT_OWNER_RELEASING)) {
		ht_claim_start(o, t);
	} else if (t->state != HT_OWNER_NONE && t->state != HT_OWNER_RELEASING &&
		   ht_claim_incomplete(o, t)) {
		ht_claim_schedule(o, t);
		t->retry_after = HT_CLAIM_RETRY_MS;
	}
}

static void check_isolation(struct ht_ownership *o)
{
	ht_ms since = o->members->minority_since(o->members->ctx);
	bool isolated = since != HT_NEVER && o->env->now >= since + o->env->params.isolation;

	if (since != HT_NEVER && !isolated)
		wake_at(o, since + o->env->params.isolation);
	if (isolated != o->isolated)
		o->env->emit(o->env, isolated ? HT_EV_ISOLATED : HT_EV_ISOLATION_ENDED, 0, 0, 0, 0,
			     "%s", "");
	o->isolated = isolated;
	for (size_t i = 0; i < o->count; i++) {
		struct ht_owned *t = &o->owned[i];
		bool serve = isolated && t->home;

		if (t->isolated == serve)
			continue;
		t->isolated = serve;
		ht_owned_notify(o, t->id);
	}
}

void ht_ownership_review(struct ht_ownership *o)
{
	const struct ht_config *cfg = o->config->current(o->config->ctx);
	uint64_t view = ht_membership_view(o->membership);
	uint64_t version = cfg ? cfg->version : 0;

	if (view == o->seen_view && version == o->seen_version)
		return;
	if (version != o->seen_version)
		apply_config(o, cfg);
	o->seen_view = view;
	o->seen_version = version;
	for (size_t i = 0; i < o->count; i++)
		review_target(o, &o->owned[i]);
	check_isolation(o);
	ht_claims_send(o);
	ht_owned_recheck(o);
}

/* Gives up targets whose votes no longer form a majority, and claims them again. */
static void check_votes(struct ht_ownership *o)
{
	uint64_t epoch = ht_membership_epoch(o->membership);

	if (epoch == o->seen_epoch)
		return;
	o->seen_epoch = epoch;
	for (size_t i = 0; i < o->count; i++) {
		struct ht_owned *t = &o->owned[i];

		if (t->state != HT_OWNER_OWNED && t->state != HT_OWNER_HOLDING)
			continue;
		if (ht_membership_majority(o->membership, t->votes, t->vote_count, t->self_vote)) {
			ht_claim_schedule(o, t);
			continue;
		}
		o->env->emit(o->env, HT_EV_OWNERSHIP_LOST, 0, 0, t->id, 0, "%s", "");
		ht_claim_reset(o, t);
		ht_owned_set_state(o, t, HT_OWNER_NONE);
		if (is_home(o, t))
			ht_claim_start(o, t);
	}
}

static void tick_target(struct ht_ownership *o, struct ht_owned *t)
{
	ht_ms now = o->env->now;

	wake_at(o, ht_residual_expire(o, t));
	if (t->state == HT_OWNER_HOLDING) {
		if (now >= t->hold_until)
			ht_owned_set_state(o, t, HT_OWNER_OWNED);
		else
			wake_at(o, t->hold_until);
	}
	if (t->state == HT_OWNER_RELEASING) {
		if (now >= t->release_until)
			ht_owned_set_state(o, t, HT_OWNER_NONE);
		else
			wake_at(o, t->release_until);
	}
	if (t->state == HT_OWNER_CLAIMING)
		ht_claim_try_acquire(o, t);
	wake_at(o, t->next_claim);
}

static void tick(void *ctx)
{
	struct ht_ownership *o = ctx;

	if (o->env->now < o->next_check && o->seen_epoch == ht_membership_epoch(o->membership))
		return;
	o->next_check = HT_NEVER;
	check_votes(o);
	check_isolation(o);
	ht_claims_send(o);
	for (size_t i = 0; i < o->count; i++)
		tick_target(o, &o->owned[i]);
}

size_t ht_ownership_held(const struct ht_ownership *o)
{
	size_t n = 0;

	for (size_t i = 0; i < o->count; i++)
		n += o->owned[i].state != HT_OWNER_NONE;
	return n;
}

struct ht_ownership *ht_ownership_new(struct ht_env *env)
{
	struct ht_ownership *o = calloc(1, sizeof(*o));

	if (!o)
		return NULL;
	o->env = env;
	o->term = 1;
	o->members = ht_registry_find(env->registry, "membership");
	o->membership = o->members->ctx;
	o->config = ht_registry_find(env->registry, "config");
	o->iface = (struct ht_ownership_if){
		.ctx = o,
		.state = state_of,
		.slots = slots_of,
		.taken_over_at = taken_over_at,
		.former_owner = former_owner,
		.request_ended = request_ended,
	};
	o->tick = (struct ht_tick_if){.ctx = o, .tick = tick};
	ht_registry_add(env->registry, "ownership", &o->iface);
	ht_registry_add(env->registry, "ownership.tick", &o->tick);
	return o;
}

void ht_ownership_free(struct ht_ownership *o)
{
	for (size_t i = 0; i < o->count; i++)
		free(o->owned[i].votes);
	free(o->owned);
	free(o);
}
