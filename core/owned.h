/* Internal to ownership: the table of this data centre's targets. */
#ifndef HT_CORE_OWNED_H
#define HT_CORE_OWNED_H

#include "core/control.h"

/* Former owners whose requests in flight are counted per target. */
#define HT_RESIDUALS_MAX 4
/* Maximum delay of ownership by live members that do not reply to a claim, in ms. */
#define HT_CLAIM_SETTLE_MS 500
/* Minimum interval between claims of one target, in ms, as two holders may deny it in turn. */
#define HT_CLAIM_SPACING_MS 10
/* Initial retry interval for claims of one target, in ms; doubles up to a third of the lease. */
#define HT_CLAIM_RETRY_MS 100

/* Slots still used by a former owner's requests in flight. */
struct ht_residual {
	uint64_t from;
	uint32_t count;
	ht_ms until; /* no request runs longer than the takeover hold */
};

struct ht_owned {
	uint64_t id;
	uint32_t slots;
	bool configured; /* part of this data centre in the current configuration */
	bool home;	 /* this instance is home in the current view */
	bool isolated;	 /* served without a majority */
	enum ht_owner_state state;

	/* The claimant that this instance voted for; 0 for none. */
	uint64_t voted_for, voted_incarnation, voted_term;
	/* Requests of a dead owner may run until then, whichever instance claims the target. */
	ht_ms known_hold_until;

	/* This instance's claim. */
	uint64_t epoch; /* when the claim was started */
	ht_ms claimed_at, last_claim, next_claim, retry_after;
	uint64_t blocking_incarnation; /* holder that prevents the own vote */
	struct ht_vote *votes;
	size_t vote_count, vote_capacity;
	bool self_vote, taken_over;
	uint64_t former_owner;	   /* instance that handed the target over, or 0 */
	bool owner_released;	   /* the owner has released it in reply to this claim */
	ht_ms owner_released_hold; /* end of the hold in that reply */
	ht_ms hold_until, taken_over_at;
	struct ht_residual residuals[HT_RESIDUALS_MAX];

	/* Hand-over to another instance. */
	uint64_t releasing_to;
	uint32_t releasing_in_flight;
	ht_ms release_until;
};

struct ht_ownership {
	struct ht_env *env;
	struct ht_ownership_if iface;
	struct ht_tick_if tick;
	struct ht_membership *membership;
	const struct ht_membership_if *members;
	const struct ht_config_if *config;
	const struct ht_targets_if
		*targets;	/* looked up at first use, as it is constructed later */
	struct ht_owned *owned; /* sorted by id */
	size_t count, capacity;
	uint64_t seen_view, seen_epoch;
	ht_ms next_check; /* no time limit ends before */
	const struct ht_config *seen_config;
	uint64_t seen_version;
	bool isolated;
	uint64_t term; /* incremented with each reply, to order own claims and grants */
};

/** Finds or adds a record; NULL when out of memory. Invalidates pointers to records. */
struct ht_owned *ht_owned_get(struct ht_ownership *o, uint64_t target);
struct ht_owned *ht_owned_find(const struct ht_ownership *o, uint64_t target);
uint32_t ht_owned_in_flight(struct ht_ownership *o, uint64_t target);
/** Sets the state and notifies the request path of a change. */
void ht_owned_set_state(struct ht_ownership *o, struct ht_owned *t, enum ht_owner_state state);
/** Schedules a check of the time limits of all targets. */
void ht_owned_recheck(struct ht_ownership *o);
/** Notifies the request path that the state or usable slots of a target changed. */
void ht_owned_notify(struct ht_ownership *o, uint64_t target);

struct ht_vote_result {
	bool granted, abstained;
	uint64_t holder; /* incarnation that has the vote, if that is why it was denied */
	uint32_t hold_ms;
	uint32_t in_flight;
	bool was_owner;
	bool owner_released; /* was owner with a valid majority until this release */
};

/**
 * A claim of one target. The incarnation @released_by has granted this claim in its term
 * @released_term; 0 when the claimant knows of no such grant by the holder of the vote.
 */
struct ht_vote_request {
	uint64_t claimant, incarnation, term;
	uint64_t released_by, released_term;
};

/** Votes on a claim. Hands the target over when this instance is the owner and grants it. */
struct ht_vote_result ht_vote_on(struct ht_ownership *o, struct ht_owned *t,
				 const struct ht_vote_request *req);

/** Starts a claim; the messages are sent by the next ht_claims_send(). */
void ht_claim_start(struct ht_ownership *o, struct ht_owned *t);
/** Clears the claim or ownership. The vote cast for this instance itself is kept. */
void ht_claim_reset(struct ht_ownership *o, struct ht_owned *t);
/** Schedules the claim again, HT_CLAIM_SPACING_MS after the previous one at the earliest. */
void ht_claim_schedule(struct ht_ownership *o, struct ht_owned *t);
/** Sends the due claims, one message to each live peer that has not granted them all. */
void ht_claims_send(struct ht_ownership *o);
/** Becomes owner if the votes permit it. */
void ht_claim_try_acquire(struct ht_ownership *o, struct ht_owned *t);
/** True when the own vote or that of a live peer is missing or was denied. */
bool ht_claim_incomplete(struct ht_ownership *o, const struct ht_owned *t);
/** Removes expired counts of former owners. Returns when the next one expires, or HT_NEVER. */
ht_ms ht_residual_expire(struct ht_ownership *o, struct ht_owned *t);
/** Slots still used by former owners' requests. */
uint32_t ht_residual_slots(const struct ht_owned *t);

#endif
