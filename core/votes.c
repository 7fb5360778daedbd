/*
 * The voting side of ownership. A vote moves from one claimant to another only when the first has
 * released the target or is dead, which implies that its lease from here has lapsed. An owner needs
 * the votes of a majority whose leases it holds, so two owners would share a voter.
 */
#include "core/owned.h"

#include <stdlib.h>

static const struct ht_ledger_if *ledger_of(const struct ht_ownership *o)
{
	return ht_registry_find(o->env->registry, "ledger");
}

static uint32_t hold_since(const struct ht_ownership *o, ht_ms death)
{
	ht_ms left = death + o->env->params.takeover_hold - o->env->now;

	return left > 0 ? (uint32_t)left : 0;
}

/* Time for which requests of the holder that is replaced may still run. */
static uint32_t hold_after(const struct ht_ownership *o, const struct ht_owned *t,
			   bool owner_released)
{
	bool alive = false;

	if (owner_released || t->lock_holder == o->env->self)
		return 0;
	if (t->lock_holder &&
	    ht_membership_incarnation(o->membership, t->lock_holder, &alive) ==
		    t->lock_incarnation &&
	    !alive)
		return hold_since(o, ht_membership_died_at(o->membership, t->lock_holder));
	/* Unknown or restarted holder: it ended no later than the latest death. */
	return hold_since(o, ht_membership_last_death(o->membership));
}

/* Hands the target over to @to; requests in flight end here. */
static void release(struct ht_ownership *o, struct ht_owned *t, uint64_t to,
		    struct ht_ballot *ballot)
{
	bool owner = t->state == HT_OWNER_OWNED || t->state == HT_OWNER_HOLDING;

	ballot->owner_released = owner && ht_membership_majority(o->membership, t->votes,
								 t->vote_count, t->self_vote);
	ballot->in_flight = ht_owned_in_flight(o, t->id);
	ballot->was_owner = owner || ballot->in_flight > 0;
	for (int i = 0; i < HT_BORROWERS; i++)
		ballot->in_flight += t->borrows[i].count;
	ht_claim_drop(o, t);
	t->releasing_to = to;
	t->release_left = ht_owned_in_flight(o, t->id);
	t->release_until = o->env->now + o->env->params.takeover_hold;
	ht_owned_set_state(o, t, t->release_left ? HT_OWNER_RELEASING : HT_OWNER_NONE);
	if (ballot->was_owner) {
		o->env->emit(o->env, HT_EV_TARGET_RELEASED, 0, 0, t->id, to, "in_flight=%u",
			     ballot->in_flight);
		ledger_of(o)->hand_over(ledger_of(o)->ctx, t->id, to);
	}
}

/*
 * True when the holder of this vote let go of it: the claimant has its grant, and the vote is for
 * a claim that the holder made before that grant.
 */
static bool released(const struct ht_owned *t, const struct ht_bid *bid)
{
	return t->lock_holder != 0 && bid->released_by == t->lock_incarnation &&
	       t->lock_term <= bid->released_term;
}

static bool blocked(const struct ht_ownership *o, const struct ht_owned *t,
		    const struct ht_bid *bid)
{
	bool alive = false;
	uint64_t incarnation;

	if (t->lock_holder == 0 || t->lock_holder == bid->claimant ||
	    t->lock_holder == o->env->self)
		return false;
	incarnation = ht_membership_incarnation(o->membership, t->lock_holder, &alive);
	return alive && incarnation == t->lock_incarnation && !released(t, bid);
}

static void remember_hold(struct ht_ownership *o, struct ht_owned *t, uint32_t hold_ms)
{
	if (o->env->now + hold_ms > t->known_hold_until)
		t->known_hold_until = o->env->now + hold_ms;
}

static void grant(struct ht_ownership *o, struct ht_owned *t, const struct ht_bid *bid,
		  struct ht_ballot *ballot)
{
	bool again = t->lock_holder == bid->claimant && t->lock_incarnation == bid->incarnation;

	ballot->granted = true;
	if (!again)
		remember_hold(o, t, hold_after(o, t, released(t, bid)));
	if (bid->claimant != o->env->self &&
	    (!again || t->state != HT_OWNER_NONE || ht_owned_in_flight(o, t->id) || ht_borrowed(t)))
		release(o, t, bid->claimant, ballot);
	if (t->known_hold_until > o->env->now)
		ballot->hold_ms = (uint32_t)(t->known_hold_until - o->env->now);
	t->lock_holder = bid->claimant;
	t->lock_incarnation = bid->incarnation;
	t->lock_term = bid->term;
}

struct ht_ballot ht_vote_on(struct ht_ownership *o, struct ht_owned *t, const struct ht_bid *bid)
{
	struct ht_ballot ballot = {0};

	if (ht_membership_voteless(o->membership))
		ballot.voteless = true;
	else if (o->members->home(o->members->ctx, t->id, o->env->params.self.dc) != bid->claimant)
		ballot.granted = false;
	else if (blocked(o, t, bid))
		ballot.holder = t->lock_incarnation;
	else
		grant(o, t, bid, &ballot);
	return ballot;
}

static void emit_vote(struct ht_ownership *o, uint64_t target, uint64_t peer, uint64_t epoch,
		      const struct ht_ballot *b)
{
	if (b->granted)
		o->env->emit(o->env, HT_EV_CLAIM_GRANTED, 0, 0, target, peer, "epoch=%llu",
			     (unsigned long long)epoch);
	else
		o->env->emit(o->env, HT_EV_CLAIM_DENIED, 0, 0, target, peer, "epoch=%llu reason=%s",
			     (unsigned long long)epoch, b->holder ? "owner-active" : "not-home");
}

static size_t vote_all(struct ht_ownership *o, uint64_t peer, uint64_t incarnation,
		       const Ht__Claim *msg, Ht__ClaimedTarget *out)
{
	size_t n = 0;

	for (size_t i = 0; i < msg->n_targets; i++) {
		const Ht__ClaimedTarget *in = msg->targets[i];
		struct ht_owned *t = ht_owned_get(o, in->target);
		struct ht_ballot b;

		if (!t)
			continue;
		b = ht_vote_on(o, t,
			       &(struct ht_bid){.claimant = peer,
						.incarnation = incarnation,
						.term = msg->term,
						.released_by = in->holder,
						.released_term = in->holder_term});
		if (b.voteless)
			continue;
		emit_vote(o, in->target, peer, msg->epoch, &b);
		ht__claimed_target__init(&out[n]);
		out[n].target = in->target;
		out[n].granted = b.granted;
		out[n].was_owner = b.was_owner;
		out[n].owner_released = b.owner_released;
		out[n].in_flight = b.in_flight;
		out[n].holder = b.holder;
		out[n].hold_ms = b.hold_ms;
		n++;
	}
	return n;
}

void ht_ownership_claim(struct ht_ownership *o, uint64_t peer, const Ht__Claim *msg)
{
	bool alive = false;
	uint64_t incarnation = ht_membership_incarnation(o->membership, peer, &alive);
	Ht__ClaimedTarget *store, **items;
	Ht__ClaimReply reply = HT__CLAIM_REPLY__INIT;
	Ht__PeerMsg out = HT__PEER_MSG__INIT;

	if (!alive || peer == o->env->self)
		return;
	store = calloc(msg->n_targets + 1, sizeof(*store));
	items = calloc(msg->n_targets + 1, sizeof(*items));
	if (store && items) {
		reply.epoch = msg->epoch;
		reply.n_targets = vote_all(o, peer, incarnation, msg, store);
		for (size_t i = 0; i < reply.n_targets; i++)
			items[i] = &store[i];
		reply.targets = items;
		reply.term = o->term++;
		out.kind_case = HT__PEER_MSG__KIND_CLAIM_REPLY;
		out.claim_reply = &reply;
		if (reply.n_targets)
			o->env->send(o->env, peer, &out);
	}
	free(store);
	free(items);
	ht_owned_touch(o);
}
