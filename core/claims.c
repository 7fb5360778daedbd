/* The claiming side of ownership: claims, replies, the step to owner. */
#include "core/owned.h"

#include <stdlib.h>

static struct ht_vote *vote_of(struct ht_owned *t, uint64_t member)
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
	ht_claim_drop(o, t);
	t->epoch = ht_membership_epoch(o->membership);
	t->claimed_at = o->env->now;
	t->next_claim = o->env->now;
	t->retry_after = HT_CLAIM_RETRY_MS;
	ht_owned_set_state(o, t, HT_OWNER_CLAIMING);
}

void ht_claim_drop(struct ht_ownership *o, struct ht_owned *t)
{
	(void)o;
	t->vote_count = 0;
	t->self_vote = false;
	t->taken_over = false;
	t->former_owner = 0;
	t->owner_released = false;
	t->blocker = 0;
	t->next_claim = HT_NEVER;
	/* The hold that other voters told of counts for the next claim too. */
	if (t->hold_until > t->known_hold_until)
		t->known_hold_until = t->hold_until;
	t->hold_until = 0;
}

static bool is_claimed(const struct ht_owned *t)
{
	return t->state == HT_OWNER_CLAIMING || t->state == HT_OWNER_HOLDING ||
	       t->state == HT_OWNER_OWNED;
}

struct count_votes {
	const struct ht_ownership *o;
	const struct ht_owned *t;
	bool missing, objection;
};

static void count_peer(void *vctx, uint64_t instance, bool live)
{
	struct count_votes *c = vctx;
	const struct ht_vote *v = valid_vote(c->o, c->t, instance);

	if (!live)
		return;
	/* A leaving member is not counted, but its vote may still be an owner's. */
	if (v ? !v->granted : ht_membership_is_leaving(c->o->membership, instance))
		c->objection = true;
	else if (!v)
		c->missing = true;
}

static struct count_votes count_all(struct ht_ownership *o, const struct ht_owned *t)
{
	struct count_votes c = {.o = o, .t = t};

	o->members->each_peer(o->members->ctx, o->env->params.self.dc, count_peer, &c);
	return c;
}

bool ht_claim_incomplete(struct ht_ownership *o, const struct ht_owned *t)
{
	struct count_votes c = count_all(o, t);

	return !t->self_vote || c.missing || c.objection;
}

/*
 * Votes of a majority are enough while the member lists agree. Waiting for the other live members,
 * and for one lease in the case of an objection, also covers owners that an unequal list hides.
 */
static bool may_own(struct ht_ownership *o, const struct ht_owned *t)
{
	ht_ms lease = ht_membership_lease(o->membership) + o->env->params.death_margin;
	ht_ms shift = ht_membership_last_shift(o->membership);
	ht_ms since = shift > t->claimed_at ? shift : t->claimed_at;
	struct count_votes c;

	if (!t->self_vote ||
	    !ht_membership_majority(o->membership, t->votes, t->vote_count, t->self_vote))
		return false;
	c = count_all(o, t);
	if (c.objection && o->env->now < since + lease)
		return false;
	return !c.missing || o->env->now >= since + HT_CLAIM_SETTLE_MS;
}

void ht_claim_try_own(struct ht_ownership *o, struct ht_owned *t)
{
	ht_ms now = o->env->now;

	if (t->state != HT_OWNER_CLAIMING || !may_own(o, t))
		return;
	if (t->taken_over)
		t->taken_over_at = now;
	/* The owner itself knows better than voters that have restarted since. */
	if (t->owner_released)
		t->hold_until = t->owner_released_hold;
	o->env->emit(o->env, HT_EV_TARGET_OWNED, 0, 0, t->id, 0, "hold=%lld borrowed=%u",
		     (long long)(t->hold_until > now ? t->hold_until - now : 0), ht_borrowed(t));
	ht_owned_set_state(o, t, t->hold_until > now ? HT_OWNER_HOLDING : HT_OWNER_OWNED);
}

/* The valid grant of the incarnation that is in the way of another vote, or NULL. */
static struct ht_vote *grant_of(const struct ht_ownership *o, const struct ht_owned *t,
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
 * Once the holder in the way of a voter has granted, the voter is asked again at once. When it was
 * told of that grant already, the holder has claimed again since, and must be asked again itself.
 */
static void tell_release(struct ht_ownership *o, struct ht_owned *t, const struct ht_vote *v)
{
	struct ht_vote *release = v->granted ? NULL : grant_of(o, t, v->holder);

	if (!release)
		return;
	if (release->term > v->told)
		ht_claim_soon(o, t);
	else if (t->state == HT_OWNER_CLAIMING)
		release->granted = false;
}

static struct ht_ballot own_vote(struct ht_ownership *o, struct ht_owned *t)
{
	const struct ht_vote *v = grant_of(o, t, t->blocker);
	struct ht_bid bid = {
		.claimant = o->env->self,
		.incarnation = o->env->params.incarnation,
		.term = o->term,
		.released_by = v ? v->incarnation : 0,
		.released_term = v ? v->term : 0,
	};

	return ht_vote_on(o, t, &bid);
}

static void vote_for_self(struct ht_ownership *o, struct ht_owned *t)
{
	struct ht_ballot b = own_vote(o, t);

	if (b.holder && b.holder != t->blocker) {
		t->blocker = b.holder;
		b = own_vote(o, t);
	}
	t->self_vote = b.granted;
	if (b.granted && b.hold_ms) {
		t->taken_over = true;
		if (o->env->now + b.hold_ms > t->hold_until)
			t->hold_until = o->env->now + b.hold_ms;
	}
}

/* Fills in the claim of one target to one voter; false when it is not due or granted already. */
static bool fill_claim(struct ht_ownership *o, struct ht_owned *t, uint64_t voter,
		       Ht__ClaimedTarget *out)
{
	const struct ht_vote *valid = valid_vote(o, t, voter), *release;
	struct ht_vote *v;

	if (!is_claimed(t) || t->next_claim > o->env->now || (valid && valid->granted))
		return false;
	ht__claimed_target__init(out);
	out->target = t->id;
	release = valid ? grant_of(o, t, valid->holder) : NULL;
	v = release ? vote_of(t, voter) : NULL;
	if (v) {
		out->holder = release->incarnation;
		out->holder_term = v->told = release->term;
	}
	return true;
}

/* One message with all due targets that the member has not granted. */
static void send_to(void *vctx, uint64_t instance, bool live)
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

void ht_claim_soon(struct ht_ownership *o, struct ht_owned *t)
{
	ht_ms earliest = t->last_claim + HT_CLAIM_SPACING_MS;

	t->next_claim = earliest > o->env->now ? earliest : o->env->now;
	o->env->wake_at(o->env, t->next_claim);
}

static void schedule_next(struct ht_ownership *o, struct ht_owned *t)
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
			vote_for_self(o, t);
	}
	if (!due)
		return;
	o->members->each_peer(o->members->ctx, o->env->params.self.dc, send_to, o);
	for (size_t i = 0; i < o->count; i++) {
		struct ht_owned *t = &o->owned[i];

		if (!is_claimed(t) || t->next_claim > o->env->now)
			continue;
		ht_claim_try_own(o, t);
		schedule_next(o, t);
	}
}

static void borrow(struct ht_ownership *o, struct ht_owned *t, uint64_t from, uint32_t count)
{
	struct ht_borrow *slot = &t->borrows[0];

	for (int i = 0; i < HT_BORROWERS; i++) {
		if (t->borrows[i].from == from || t->borrows[i].count == 0) {
			slot = &t->borrows[i];
			break;
		}
		if (t->borrows[i].until < slot->until)
			slot = &t->borrows[i];
	}
	/* With no entry left, the oldest lender's count is kept as part of the new one. */
	*slot = (struct ht_borrow){
		.from = from,
		.count = slot->count && slot->from != from ? slot->count + count : count,
		.until = o->env->now + o->env->params.takeover_hold,
	};
}

uint32_t ht_borrowed(const struct ht_owned *t)
{
	uint32_t n = 0;

	for (int i = 0; i < HT_BORROWERS; i++)
		n += t->borrows[i].count;
	return n;
}

ht_ms ht_borrow_expire(struct ht_ownership *o, struct ht_owned *t)
{
	ht_ms next = HT_NEVER;
	bool changed = false;

	for (int i = 0; i < HT_BORROWERS; i++) {
		struct ht_borrow *b = &t->borrows[i];

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
		ht_owned_changed(o, t->id);
	return next;
}

/* What a former owner tells counts whether or not its vote does. */
static void take_loan(struct ht_ownership *o, struct ht_owned *t, uint64_t peer,
		      const Ht__ClaimedTarget *in)
{
	if (in->was_owner || in->hold_ms)
		t->taken_over = true;
	if (in->was_owner)
		t->former_owner = peer;
	if (in->in_flight)
		borrow(o, t, peer, in->in_flight);
	/* A target in use got its hold from the votes that made the majority. */
	if (t->state == HT_OWNER_CLAIMING && o->env->now + in->hold_ms > t->hold_until)
		t->hold_until = o->env->now + in->hold_ms;
}

static void take_vote(struct ht_ownership *o, struct ht_owned *t, const struct ht_vote *vote)
{
	struct ht_vote *v = vote_of(t, vote->member);
	uint64_t told;

	if (!v)
		return;
	told = v->holder == vote->holder ? v->told : 0;
	*v = *vote;
	v->told = told;
	tell_release(o, t, v);
	for (size_t i = 0; vote->granted && i < t->vote_count; i++)
		if (t->votes[i].holder == vote->incarnation)
			tell_release(o, t, &t->votes[i]);
	if (vote->granted && t->blocker == vote->incarnation && !t->self_vote)
		ht_claim_soon(o, t);
	ht_claim_try_own(o, t);
}

void ht_ownership_claim_reply(struct ht_ownership *o, uint64_t peer, const Ht__ClaimReply *msg)
{
	uint32_t generation = ht_membership_generation(o->membership, peer);
	/* Without a lease from the voter the vote may have been moved since. */
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
			take_loan(o, t, peer, in);
		if (in->granted && in->owner_released && valid && msg->epoch >= t->epoch) {
			t->owner_released = true;
			t->owner_released_hold = o->env->now + in->hold_ms;
		}
		vote.granted = in->granted;
		vote.holder = in->granted ? 0 : in->holder;
		vote.denied = !in->granted && in->holder == 0;
		if (valid && msg->epoch >= t->epoch)
			take_vote(o, t, &vote);
		if (in->in_flight)
			ht_owned_changed(o, t->id);
	}
	ht_claims_send(o);
	ht_owned_touch(o);
}

void ht_ownership_slot_release(struct ht_ownership *o, uint64_t peer, const Ht__SlotRelease *msg)
{
	struct ht_owned *t = ht_owned_find(o, msg->target);

	for (int i = 0; t && i < HT_BORROWERS; i++) {
		struct ht_borrow *b = &t->borrows[i];

		if (b->from != peer || b->count == 0)
			continue;
		b->count -= msg->count < b->count ? msg->count : b->count;
		ht_owned_changed(o, t->id);
		return;
	}
}
