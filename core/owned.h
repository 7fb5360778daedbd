/* Private to ownership: the table of targets of the own data centre. */
#ifndef HT_CORE_OWNED_H
#define HT_CORE_OWNED_H

#include "core/control.h"

#define HT_BORROWERS 4
/* Live members that do not answer a claim delay ownership for at most this time, in ms. */
#define HT_CLAIM_SETTLE_MS 500
/* Shortest distance between two claims of one target, in ms: two blockers may alternate. */
#define HT_CLAIM_SPACING_MS 10
/* First distance between two claims of one target, in ms; doubles up to the heartbeat interval. */
#define HT_CLAIM_RETRY_MS 100

/* Slots that a former owner's requests in flight still take. */
struct ht_borrow {
	uint64_t from;
	uint32_t count;
	ht_ms until; /* no request runs longer than the takeover hold */
};

struct ht_owned {
	uint64_t id;
	uint32_t slots;
	bool configured; /* serves in this data centre under the configuration in force */
	bool home;	 /* this instance is home in the present view */
	bool isolated;	 /* served without a majority */
	enum ht_owner_state state;

	/* The claimant that has this instance's own vote; 0 for none. */
	uint64_t lock_holder, lock_incarnation, lock_term;
	/* Requests of a dead owner may run until then, whoever claims. */
	ht_ms known_hold_until;

	/* Own claim. */
	uint64_t epoch; /* of the first claim of this term */
	ht_ms claimed_at, last_claim, next_claim, retry_after;
	uint64_t blocker; /* incarnation in the way of the own vote */
	struct ht_vote *votes;
	size_t vote_count, vote_capacity;
	bool self_vote, taken_over;
	uint64_t former_owner;	   /* live instance that handed the target over, or 0 */
	bool owner_released;	   /* the present owner has released it to this claim */
	ht_ms owner_released_hold; /* end of the hold that it passed on */
	ht_ms hold_until, taken_over_at;
	struct ht_borrow borrows[HT_BORROWERS];

	/* Former owner's side. */
	uint64_t releasing_to;
	uint32_t release_left;
	ht_ms release_until;
};

struct ht_ownership {
	struct ht_env *env;
	struct ht_ownership_if iface;
	struct ht_tick_if tick;
	struct ht_membership *membership;
	const struct ht_membership_if *members;
	const struct ht_config_if *config;
	const struct ht_targets_if *targets; /* looked up at first use: constructed later */
	struct ht_owned *owned;		     /* sorted by id */
	size_t count, capacity;
	uint64_t seen_view, seen_epoch;
	ht_ms due; /* nothing changes by time alone before */
	const struct ht_config *seen_config;
	uint64_t seen_version;
	bool isolated;
	uint64_t
		term; /* rises with each grant, so that later own claims differ from earlier ones */
};

/** Finds a record, or adds one; NULL when out of memory. Pointers to records are void after it. */
struct ht_owned *ht_owned_get(struct ht_ownership *o, uint64_t target);
struct ht_owned *ht_owned_find(const struct ht_ownership *o, uint64_t target);
uint32_t ht_owned_in_flight(struct ht_ownership *o, uint64_t target);
/** Sets the state and tells the request path. */
void ht_owned_set_state(struct ht_ownership *o, struct ht_owned *t, enum ht_owner_state state);
/** Has the time limits of all targets looked at again. */
void ht_owned_touch(struct ht_ownership *o);
void ht_owned_changed(struct ht_ownership *o, uint64_t target);

struct ht_ballot {
	bool granted, voteless;
	uint64_t holder; /* incarnation in the way */
	uint32_t hold_ms;
	uint32_t in_flight;
	bool was_owner;
	bool owner_released; /* owned it with a valid majority until now */
};

/**
 * A claim of one target. @released_by has granted the target to the claimant with @released_term;
 * 0 when nobody in the way is known to have done so.
 */
struct ht_bid {
	uint64_t claimant, incarnation, term;
	uint64_t released_by, released_term;
};

/** This instance's vote on a claim; hands the target over when it is the owner. */
struct ht_ballot ht_vote_on(struct ht_ownership *o, struct ht_owned *t, const struct ht_bid *bid);

/** Starts a term: claims go out with the next ht_claims_send(). */
void ht_claim_start(struct ht_ownership *o, struct ht_owned *t);
/** Gives up a claim or an ownership; the own vote stays with this instance. */
void ht_claim_drop(struct ht_ownership *o, struct ht_owned *t);
/** Sends the claim again as soon as the spacing allows. */
void ht_claim_soon(struct ht_ownership *o, struct ht_owned *t);
/** Sends the claims that are due, one message to each member that has not granted them. */
void ht_claims_send(struct ht_ownership *o);
/** Becomes owner when the votes allow it. */
void ht_claim_try_own(struct ht_ownership *o, struct ht_owned *t);
/** True when a live member has no valid vote for the target. */
bool ht_claim_incomplete(struct ht_ownership *o, const struct ht_owned *t);
/** Returns when the next count ends, or HT_NEVER. */
ht_ms ht_borrow_expire(struct ht_ownership *o, struct ht_owned *t);
uint32_t ht_borrowed(const struct ht_owned *t);

#endif
