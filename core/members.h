/* Private to membership: the table of instances and the times behind the lease. */
#ifndef HT_CORE_MEMBERS_H
#define HT_CORE_MEMBERS_H

#include "core/control.h"

/* Rounds of heartbeats whose send times are kept; older echoes have lapsed at any lease. */
#define HT_SENT_ROUNDS 256
/* A remote instance whose link failed is tried again after this time, in ms. */
#define HT_REMOTE_RETRY_MS 5000
/* Shortest distance between two heartbeats out of turn to one peer, in ms. */
#define HT_PROMPT_MS 100
/*
 * Time in which owners get the votes of a member that joins or restarts, in ms. Shorter than
 * HT_CLAIM_SETTLE_MS: until then a joiner's claim waits for the owner's answer.
 */
#define HT_JOIN_GRACE_MS 400
/* A listed instance that has not been heard yet counts as a silent member after this time, in ms.
 */
#define HT_START_GRACE_MS 30000
/* Instances of a data centre that watch the platform. */
#define HT_RELAYS 2
/* Heartbeats out of turn to a new incarnation that are free of that limit. */
#define HT_FREE_PROMPTS 3

enum ht_member_state {
	HT_MEMBER_UNKNOWN, /* listed, not heard yet */
	HT_MEMBER_LIVE,
	HT_MEMBER_SUSPECT,
	HT_MEMBER_DEAD,
};

struct ht_member {
	uint64_t id;
	uint64_t dc; /* hash of the data centre's name */
	struct ht_instance_info info;
	uint64_t incarnation;
	enum ht_member_state state;
	bool self, local;
	bool listed;   /* in the newest list */
	bool presumed; /* heard, but the list may not have caught up */
	bool linked;
	bool leaving; /* by its own word */
	bool proven;  /* dead by proof, not by silence */
	bool echoed;  /* knows this incarnation */
	uint64_t heard_sequence;
	ht_ms declared_lease;
	ht_ms heard_at, suspect_at, dead_at, died_at;
	ht_ms prompted_at;
	unsigned int prompts;
	ht_ms echo_after;    /* no echo before: locks of this incarnation may have been moved */
	ht_ms counted_from;  /* a new member has no place in majorities before */
	ht_ms ghost_until;   /* restarted: counts as its dead incarnation until then */
	ht_ms down_until;    /* remote: link failed */
	ht_ms lease_until;   /* grant of this peer to this instance */
	uint32_t generation; /* rises when the grant lapses */
	uint64_t min_epoch;
	uint64_t config_version;
};

struct ht_sent_round {
	uint64_t sequence;
	ht_ms at, lease;
};

/* Candidate for being home, grouped by data centre. */
struct ht_home_entry {
	uint64_t dc, id;
	double weight;
};

struct ht_membership {
	struct ht_env *env;
	struct ht_membership_if iface;
	struct ht_tick_if tick;
	struct ht_member *members; /* sorted by id, this instance included */
	size_t count, capacity;
	uint64_t dc;
	struct ht_sent_round sent[HT_SENT_ROUNDS];
	uint64_t sequence;
	ht_ms next_beat, next_check, last_tick, started;
	ht_ms minority_since, last_death, last_shift, longest_lease;
	uint64_t view, epoch;
	bool leaving, lease_held, voteless;
	struct ht_revision list_revision;
	ht_ms list_asked_at; /* 0: never */
	struct ht_home_entry *homes;
	size_t home_count;
	uint64_t homes_view;
};

struct ht_member *ht_members_find(const struct ht_membership *m, uint64_t id);
/** Finds or adds; NULL when out of memory. Pointers to members are void after it. */
struct ht_member *ht_members_add(struct ht_membership *m, const struct ht_instance_info *info);
void ht_members_erase(struct ht_membership *m, struct ht_member *p);

/** True when the member's vote is part of the total of which a majority is needed. */
bool ht_member_counted(const struct ht_membership *m, const struct ht_member *p);
/** Tells an established instance that a member is new: others' votes alone count for a while. */
void ht_member_welcome(const struct ht_membership *m, struct ht_member *p, ht_ms grace);
/** True when it is a live member of the own data centre, not this instance. */
bool ht_member_is_live_peer(const struct ht_member *p);
/** True when it may be home of targets in the present view. */
bool ht_member_may_be_home(const struct ht_membership *m, const struct ht_member *p);
ht_ms ht_membership_interval(const struct ht_membership *m);
/** Marks the view as changed and has every time limit looked at again. */
void ht_membership_touch(struct ht_membership *m);
bool ht_membership_lease_valid(const struct ht_membership *m);
unsigned int ht_membership_counted(const struct ht_membership *m);

/** Asks @peer for its whole list of instances. */
void ht_membership_ask_list(struct ht_membership *m, uint64_t peer);

/** Fills in the interface's functions. */
void ht_membership_fill_iface(struct ht_membership *m);

#endif
