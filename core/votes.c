/*
 * The voter's side of ownership. A vote moves to another claimant only when the previous one has
 * released the target or is dead, which implies that the lease granted to it has expired. An owner
 * needs votes and valid leases of a majority, and two majorities always share a voter.
 */
#include "core/owned.h"

#include <stdlib.h>

static const struct ht_ledger_if *ledger_of(const struct ht_ownership *o)
{
	return ht_registry_find(o->env->registry, "ledger");
}

static uint32_t hold_left_after_death(const struct ht_ownership *o, ht_ms death)
{
	ht_ms left = death + o->env->params.takeover_hold - o->env->now;

	return left > 0 ? (uint32_t)left : 0;
}

/* Time, in ms, for which requests of the replaced holder may still run. */
static uint32_t hold_left(const struct ht_ownership *o, const struct ht_owned *t,
			  bool owner_released)
{
	bool alive = false;

	if (owner_released || t->voted_for == o->env->self)
		return 0;
	if (t->voted_for &&
	    ht_membership_incarnation(o->membership, t->voted_for, &alive) ==
		    t->voted_incarnation &&
	    !alive)
		return hold_left_after_death(o, ht_membership_died_at(o->membership, t->voted_for));
	/* Unknown or restarted holder: it ended no later than the most recent death. */
	return hold_left_after_death(o, ht_membership_last_death(o->membership));
}

/* Hands the target over to @to. Requests in flight still end at this instance. */
static void release_target(struct ht_ownership *o, struct ht_owned *t, uint64_t to,
			   struct ht_vote_result *res)
{
	bool owner = t->state == HT_OWNER_OWNED || t->state == HT_OWNER_HOLDING;

	res->owner_released = owner && ht_membership_majority(o->membership, t->votes,
							      t->vote_count, t->self_vote);
	res->in_flight = ht_owned_in_flight(o, t->id);
	res->was_owner = owner || res->in_flight > 0;
	for (int i = 0; i < HT_RESIDUALS_MAX; i++)
		res->in_flight += t->residuals[i].count;
	ht_claim_reset(o, t);
	t->releasing_to = to;
	t->releasing_in_flight = ht_owned_in_flight(o, t->id);
	t->release_until = o->env->now + o->env->params.takeover_hold;
	ht_owned_set_state(o, t, t->releasing_in_flight ? HT_OWNER_RELEASING : HT_OWNER_NONE);
	if (res->was_owner) {
		o->env->emit(o->env, HT_EV_TARGET_RELEASED, 0, 0, t->id, to, "in_flight=%u",
			     res->in_flight);
		ledger_of(o)->hand_over(ledger_of(o)->ctx, t->id, to);
	}
}

/*
 * True when the holder of this vote has released the target: it has granted the claim, and this
 * vote is for a claim that it made before that grant.
 */
static bool holder_released(const struct ht_owned *t, const struct ht_vote_request *req)
{
	return t->voted_for != 0 && req->released_by == t->voted_incarnation &&
	       t->voted_term <= req->released_term;
}

static bool held_by_another(const struct ht_ownership *o, const struct ht_owned *t,
			    const struct ht_vote_request *req)
{
	bool alive = false;
	uint64_t incarnation;

	if (t->voted_for == 0 || t->voted_for == req->claimant || t->voted_for == o->env->self)
		return false;
	incarnation = ht_membership_incarnation(o->membership, t->voted_for, &alive);
	return alive && incarnation == t->voted_incarnation && !holder_released(t, req);
}

static void extend_hold(struct ht_ownership *o, struct ht_owned *t, uint32_t hold_ms)
{
	if (o->env->now + hold_ms > t->known_hold_until)
		t->known_hold_until = o->env->now + hold_ms;
}

static void grant(struct ht_ownership *o, struct ht_owned *t, const struct ht_vote_request *req,
		  struct ht_vote_result *res)
{
	bool renewal = t->voted_for == req->claimant && t->voted_incarnation == req->incarnation;

	res->granted = true;
	if (!renewal)
		extend_hold(o, t, hold_left(o, t, holder_released(t, req)));
	if (req->claimant != o->env->self && (!renewal || t->state != HT_OWNER_NONE ||
					      ht_owned_in_flight(o, t->id) || ht_residual_slots(t)))
		release_target(o, t, req->claimant, res);
	if (t->known_hold_until > o->env->now)
		res->hold_ms = (uint32_t)(t->known_hold_until - o->env->now);
	t->voted_for = req->claimant;
	t->voted_incarnation = req->incarnation;
	t->voted_term = req->term;
}

struct ht_vote_result ht_vote_on(struct ht_ownership *o, struct ht_owned *t,
				 const struct ht_vote_request *req)
{
	struct ht_vote_result res = {0};

	if (ht_membership_voting_suspended(o->membership))
		res.abstained = true;
	else if (o->members->home(o->members->ctx, t->id, o->env->params.self.dc) != req->claimant)
		res.granted = false;
	else if (held_by_another(o, t, req))
		res.holder = t->voted_incarnation;
	else
		grant(o, t, req, &res);
	return res;
}

static void emit_vote(struct ht_ownership *o, uint64_t target, uint64_t peer, uint64_t epoch,
		      const struct ht_vote_result *b)
{
	if (b->granted)
		o->env->emit(o->env, HT_EV_CLAIM_GRANTED, 0, 0, target, peer, "epoch=%llu",
			     (unsigned long long)epoch);
	else
		o->env->emit(o->env, HT_EV_CLAIM_DENIED, 0, 0, target, peer, "epoch=%llu reason=%s",
			     (unsigned long long)epoch, b->holder ? "owner-active" : "not-home");
}

static size_t answer_claim(struct ht_ownership *o, uint64_t peer, uint64_t incarnation,
			   const Ht__Claim *msg, Ht__ClaimedTarget *out)
{
	size_t n = 0;

	for (size_t i = 0; i < msg->n_targets; i++) {
		const Ht__ClaimedTarget *in = msg->targets[i];
		struct ht_owned *t = ht_owned_get(o, in->target);
		struct ht_vote_result b;

		if (!t)
			continue;
		b = ht_vote_on(o, t,
			       &(struct ht_vote_request){.claimant = peer,
							 .incarnation = incarnation,
							 .term = msg->term,
							 .released_by = in->holder,
							 .released_term = in->holder_term});
		if (b.abstained)
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
		reply.n_targets = answer_claim(o, peer, incarnation, msg, store);
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
	ht_owned_recheck(o);
}
