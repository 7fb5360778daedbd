/* The claimant's side of ownership: claims, their replies and the transition to owner. */
#include "core/owned.h"

#include <stdlib.h>

static struct ht_vote *get_vote(struct ht_owned *t, uint64_t member)
{
	for (size_t i = 0; i < t->vote_count; i++)
		if (t->votes[i].member == member)
			return &t->votes[i];
	if (t->vote_count == t->vote_capacity) {
		size_t capacity = t->vote_capacity ? t->vote_capacity * 2 : 4;
		struct ht_vote *a = realloc(t->votes, capacity * sizeof(*a));

		if (!a)
			return NULL;
		t->votes = a;
		t->vote_capacity = capacity;
	}
	t->votes[t->vote_count] = (struct ht_vote){.member = member};
	return &t->votes[t->vote_count++];
}

static const struct ht_vote *valid_vote(const struct ht_ownership *o, const struct ht_owned *t,
					uint64_t member)
{
	for (size_t i = 0; i < t->vote_count; i++)
		if (t->votes[i].member == member)
			return t->votes[i].generation ==
					       ht_membership_generation(o->membership, member)
				       ? &t->votes[i]
				       : NULL;
	return NULL;
}

void ht_claim_start(struct ht_ownership *o, struct ht_owned *t)
{
	ht_claim_reset(o, t);
	t->epoch = ht_membership_epoch(o->membership);
	t->claimed_at = o->env->now;
	t->next_claim = o->env->now;
	t->retry_after = HT_CLAIM_RETRY_MS;
	ht_owned_set_state(o, t, HT_OWNER_CLAIMING);
}

void ht_claim_reset(struct ht_ownership *o, struct ht_owned *t)
{
	(void)o;
	t->vote_count = 0;
	t->self_vote = false;
	t->taken_over = false;
	t->former_owner = 0;
	t->owner_released = false;
	t->blocking_incarnation = 0;
	t->next_claim = HT_NEVER;
	/* The hold reported by other voters also applies to the next claim. */
	if (t->hold_until > t->known_hold_until)
		t->known_hold_until = t->hold_until;
	t->hold_until = 0;
}

static bool is_claimed(const struct ht_owned *t)
{
	return t->state == HT_OWNER_CLAIMING || t->state == HT_OWNER_HOLDING ||
	       t->state == HT_OWNER_OWNED;
}

struct vote_tally {
	const struct ht_ownership *o;
	const struct ht_owned *t;
	bool missing, denied;
};

static void tally_peer(void *vctx, uint64_t instance, bool live)
{
	struct vote_tally *c = vctx;
	const struct ht_vote *v = valid_vote(c->o, c->t, instance);

	if (!live)
		return;
	/* A leaving member is not counted, but it may still be the owner. */
	if (v ? !v->granted : ht_membership_is_leaving(c->o->membership, instance))
		c->denied = true;
	else if (!v)
		c->missing = true;
}

static struct vote_tally tally_peers(struct ht_ownership *o, const struct ht_owned *t)
{
	struct vote_tally c = {.o = o, .t = t};

	o->members->each_peer(o->members->ctx, o->env->params.self.dc, tally_peer, &c);
	return c;
}

bool ht_claim_incomplete(struct ht_ownership *o, const struct ht_owned *t)
{
	struct vote_tally c = tally_peers(o, t);

	return !t->self_vote || c.missing || c.denied;
}

/*
 * A majority is sufficient while all instances have the same member list. Waiting for the other
 * live members, and for one lease after a denial, also covers owners missing from some lists.
 */
static bool may_acquire(struct ht_ownership *o, const struct ht_owned *t)
{
	ht_ms lease = ht_membership_lease(o->membership) + o->env->params.death_margin;
	ht_ms change = ht_membership_last_change(o->membership);
	ht_ms since = change > t->claimed_at ? change : t->claimed_at;
	struct vote_tally c;

	if (!t->self_vote ||
	    !ht_membership_majority(o->membership, t->votes, t->vote_count, t->self_vote))
		return false;
	c = tally_peers(o, t);
	if (c.denied && o->env->now < since + lease)
		return false;
	return !c.missing || o->env->now >= since + HT_CLAIM_SETTLE_MS;
}

void ht_claim_try_acquire(struct ht_ownership *o, struct ht_owned *t)
{
	ht_ms now = o->env->now;

	if (t->state != HT_OWNER_CLAIMING || !may_acquire(o, t))
		return;
	if (t->taken_over)
		t->taken_over_at = now;
	/* The owner's hold is more accurate than that of voters which have restarted since. */
	if (t->owner_released)
		t->hold_until = t->owner_released_hold;
	o->env->emit(o->env, HT_EV_TARGET_OWNED, 0, 0, t->id, 0, "hold=%lld borrowed=%u",
		     (long long)(t->hold_until > now ? t->hold_until - now : 0),
		     ht_residual_slots(t));
	ht_owned_set_state(o, t, t->hold_until > now ? HT_OWNER_HOLDING : HT_OWNER_OWNED);
}

/* Valid grant from the incarnation @holder, for which another voter denied its vote, or NULL. */
static struct ht_vote *find_grant(const struct ht_ownership *o, const struct ht_owned *t,
				  uint64_t holder)
{
	for (size_t i = 0; holder && i < t->vote_count; i++) {
		struct ht_vote *v = &t->votes[i];

		if (v->granted && v->incarnation == holder &&
		    v->generation == ht_membership_generation(o->membership, v->member))
			return v;
	}
	return NULL;
}

/*
 * A voter that denied its vote because of a holder is asked again at once when that holder has
 * granted the claim. If the voter was already told of this grant, the holder has claimed the target
 * again since, so its grant is discarded and it is asked again too.
 */
static void forward_grant(struct ht_ownership *o, struct ht_owned *t, const struct ht_vote *v)
{
	struct ht_vote *release = v->granted ? NULL : find_grant(o, t, v->holder);

	if (!release)
		return;
	if (release->term > v->told_term)
		ht_claim_schedule(o, t);
	else if (t->state == HT_OWNER_CLAIMING)
		release->granted = false;
}

static struct ht_vote_result own_vote(struct ht_ownership *o, struct ht_owned *t)
{
	const struct ht_vote *v = find_grant(o, t, t->blocking_incarnation);
	struct ht_vote_request req = {
		.claimant = o->env->self,
		.incarnation = o->env->params.incarnation,
		.term = o->term,
		.released_by = v ? v->incarnation : 0,
		.released_term = v ? v->term : 0,
	};

	return ht_vote_on(o, t, &req);
}

static void request_own_vote(struct ht_ownership *o, struct ht_owned *t)
{
	struct ht_vote_result b = own_vote(o, t);

	if (b.holder && b.holder != t->blocking_incarnation) {
		t->blocking_incarnation = b.holder;
		b = own_vote(o, t);
	}
	t->self_vote = b.granted;
	if (b.granted && b.hold_ms) {
		t->taken_over = true;
		if (o->env->now + b.hold_ms > t->hold_until)
			t->hold_until = o->env->now + b.hold_ms;
	}
}

/* Fills in the claim of one target for one voter; false when not due or already granted. */
static bool fill_claim(struct ht_ownership *o, struct ht_owned *t, uint64_t voter,
		       Ht__ClaimedTarget *out)
{
	const struct ht_vote *valid = valid_vote(o, t, voter), *release;
	struct ht_vote *v;

	if (!is_claimed(t) || t->next_claim > o->env->now || (valid && valid->granted))
		return false;
	ht__claimed_target__init(out);
	out->target = t->id;
	release = valid ? find_grant(o, t, valid->holder) : NULL;
	v = release ? get_vote(t, voter) : NULL;
	if (v) {
		out->holder = release->incarnation;
		out->holder_term = v->told_term = release->term;
	}
	return true;
}

/* Sends one message with all due targets that the member has not granted. */
static void send_claim(void *vctx, uint64_t instance, bool live)
{
	struct ht_ownership *o = vctx;
	Ht__ClaimedTarget *store = calloc(o->count + 1, sizeof(*store));
	Ht__ClaimedTarget **items = calloc(o->count + 1, sizeof(*items));
	Ht__Claim claim = HT__CLAIM__INIT;
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;

	for (size_t i = 0; store && items && live && i < o->count; i++) {
		items[claim.n_targets] = &store[claim.n_targets];
		claim.n_targets += fill_claim(o, &o->owned[i], instance, &store[claim.n_targets]);
	}
	claim.epoch = ht_membership_epoch(o->membership);
	claim.targets = items;
	claim.term = o->term;
	msg.kind_case = HT__PEER_MSG__KIND_CLAIM;
	msg.claim = &claim;
	if (claim.n_targets && o->env->send(o->env, instance, &msg)) {
		ht_count(&o->env->counters, HT_C_claims_sent, 1);
		o->env->emit(o->env, HT_EV_CLAIM_SENT, 0, 0, 0, instance, "epoch=%llu targets=%zu",
			     (unsigned long long)claim.epoch, claim.n_targets);
	}
	free(store);
	free(items);
}

void ht_claim_schedule(struct ht_ownership *o, struct ht_owned *t)
{
	ht_ms earliest = t->last_claim + HT_CLAIM_SPACING_MS;

	t->next_claim = earliest > o->env->now ? earliest : o->env->now;
	o->env->wake_at(o->env, t->next_claim);
}

static void schedule_retry(struct ht_ownership *o, struct ht_owned *t)
{
	ht_ms longest = ht_membership_lease(o->membership) / 3;

	t->last_claim = o->env->now;
	if (!ht_claim_incomplete(o, t) && t->state != HT_OWNER_CLAIMING) {
		t->next_claim = HT_NEVER;
		return;
	}
	t->next_claim = o->env->now + t->retry_after;
	t->retry_after = t->retry_after * 2 < longest ? t->retry_after * 2 : longest;
}

void ht_claims_send(struct ht_ownership *o)
{
	bool due = false;

	for (size_t i = 0; i < o->count; i++) {
		struct ht_owned *t = &o->owned[i];

		if (!is_claimed(t) || t->next_claim > o->env->now)
			continue;
		due = true;
		if (!t->self_vote)
			request_own_vote(o, t);
	}
	if (!due)
		return;
	o->members->each_peer(o->members->ctx, o->env->params.self.dc, send_claim, o);
	for (size_t i = 0; i < o->count; i++) {
		struct ht_owned *t = &o->owned[i];

		if (!is_claimed(t) || t->next_claim > o->env->now)
			continue;
		ht_claim_try_acquire(o, t);
		schedule_retry(o, t);
	}
}

static void set_residual(struct ht_ownership *o, struct ht_owned *t, uint64_t from, uint32_t count)
{
	struct ht_residual *slot = &t->residuals[0];

	for (int i = 0; i < HT_RESIDUALS_MAX; i++) {
		if (t->residuals[i].from == from || t->residuals[i].count == 0) {
			slot = &t->residuals[i];
			break;
		}
		if (t->residuals[i].until < slot->until)
			slot = &t->residuals[i];
	}
	/* Without a free entry, the one that expires first is merged into the new one. */
	*slot = (struct ht_residual){
		.from = from,
		.count = slot->count && slot->from != from ? slot->count + count : count,
		.until = o->env->now + o->env->params.takeover_hold,
	};
}

uint32_t ht_residual_slots(const struct ht_owned *t)
{
	uint32_t n = 0;

	for (int i = 0; i < HT_RESIDUALS_MAX; i++)
		n += t->residuals[i].count;
	return n;
}

ht_ms ht_residual_expire(struct ht_ownership *o, struct ht_owned *t)
{
	ht_ms next = HT_NEVER;
	bool changed = false;

	for (int i = 0; i < HT_RESIDUALS_MAX; i++) {
		struct ht_residual *b = &t->residuals[i];

		if (b->count == 0)
			continue;
		if (o->env->now >= b->until) {
			b->count = 0;
			changed = true;
		} else if (b->until < next) {
			next = b->until;
		}
	}
	if (changed)
		ht_owned_notify(o, t->id);
	return next;
}

/* A former owner's data is used even when its vote is not valid. */
static void record_former_owner(struct ht_ownership *o, struct ht_owned *t, uint64_t peer,
				const Ht__ClaimedTarget *in)
{
	if (in->was_owner || in->hold_ms)
		t->taken_over = true;
	if (in->was_owner)
		t->former_owner = peer;
	if (in->in_flight)
		set_residual(o, t, peer, in->in_flight);
	/* For an owned target the hold is already set by the votes of the majority. */
	if (t->state == HT_OWNER_CLAIMING && o->env->now + in->hold_ms > t->hold_until)
		t->hold_until = o->env->now + in->hold_ms;
}

static void record_vote(struct ht_ownership *o, struct ht_owned *t, const struct ht_vote *vote)
{
	struct ht_vote *v = get_vote(t, vote->member);
	uint64_t told;

	if (!v)
		return;
	told = v->holder == vote->holder ? v->told_term : 0;
	*v = *vote;
	v->told_term = told;
	forward_grant(o, t, v);
	for (size_t i = 0; vote->granted && i < t->vote_count; i++)
		if (t->votes[i].holder == vote->incarnation)
			forward_grant(o, t, &t->votes[i]);
	if (vote->granted && t->blocking_incarnation == vote->incarnation && !t->self_vote)
		ht_claim_schedule(o, t);
	ht_claim_try_acquire(o, t);
}

void ht_ownership_claim_reply(struct ht_ownership *o, uint64_t peer, const Ht__ClaimReply *msg)
{
	uint32_t generation = ht_membership_generation(o->membership, peer);
	/* Without a valid lease, the voter may have given its vote to another claimant since. */
	bool valid = generation != 0 && msg->epoch >= ht_membership_min_epoch(o->membership, peer);
	bool alive;
	struct ht_vote vote = {
		.member = peer,
		.generation = generation,
		.incarnation = ht_membership_incarnation(o->membership, peer, &alive),
		.term = msg->term,
	};

	for (size_t i = 0; i < msg->n_targets; i++) {
		const Ht__ClaimedTarget *in = msg->targets[i];
		struct ht_owned *t = ht_owned_find(o, in->target);

		if (!t || !is_claimed(t))
			continue;
		if (in->granted)
			record_former_owner(o, t, peer, in);
		if (in->granted && in->owner_released && valid && msg->epoch >= t->epoch) {
			t->owner_released = true;
			t->owner_released_hold = o->env->now + in->hold_ms;
		}
		vote.granted = in->granted;
		vote.holder = in->granted ? 0 : in->holder;
		vote.denied = !in->granted && in->holder == 0;
		if (valid && msg->epoch >= t->epoch)
			record_vote(o, t, &vote);
		if (in->in_flight)
			ht_owned_notify(o, t->id);
	}
	ht_claims_send(o);
	ht_owned_recheck(o);
}

void ht_ownership_slot_release(struct ht_ownership *o, uint64_t peer, const Ht__SlotRelease *msg)
{
	struct ht_owned *t = ht_owned_find(o, msg->target);

	for (int i = 0; t && i < HT_RESIDUALS_MAX; i++) {
		struct ht_residual *b = &t->residuals[i];

		if (b->from != peer || b->count == 0)
			continue;
		b->count -= msg->count < b->count ? msg->count : b->count;
		ht_owned_notify(o, t->id);
		return;
	}
}
