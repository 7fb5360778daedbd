/* Internal to membership: the member table and the timers of the lease. */
#ifndef HT_CORE_MEMBERS_H
#define HT_CORE_MEMBERS_H

#include "core/control.h"

/* Heartbeat rounds whose send times are kept; an echo of an older round is past any lease. */
#define HT_HEARTBEAT_ROUNDS 256
/* Time before an instance of another data centre is tried again after its link failed, in ms. */
#define HT_REMOTE_RETRY_MS 5000
/* Minimum interval between extra heartbeats to one peer, in ms. */
#define HT_EXTRA_HEARTBEAT_SPACING_MS 100
/*
 * For this time, in ms, a joining member is left out of majorities and a restarted one counts as
 * dead, so that owners can first collect its votes. Must be shorter than HT_CLAIM_SETTLE_MS, for
 * which a new member's claim waits for the owner's reply.
 */
#define HT_JOIN_GRACE_MS 400
/* A listed instance that has never been heard counts as a silent member after this time, in ms. */
#define HT_START_GRACE_MS 30000
/* Number of instances per data centre that watch the platform. */
#define HT_RELAYS 2
/* Extra heartbeats to a new incarnation that may be sent without the minimum interval. */
#define HT_EXTRA_HEARTBEAT_BURST 3

enum ht_member_state {
	HT_MEMBER_UNKNOWN, /* listed, but not heard yet */
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
	bool self;	     /* this instance */
	bool local;	     /* in this instance's data centre */
	bool listed;	     /* in the newest list of instances */
	bool heard_directly; /* heard; the list may still lack it */
	bool link_up;
	bool leaving;	  /* has announced that it is leaving */
	bool proven_dead; /* its link showed that the process ended; it is not merely silent */
	bool echoed;	  /* has echoed a heartbeat of this incarnation */
	uint64_t heard_sequence;
	ht_ms declared_lease;
	ht_ms heard_at, suspect_at, dead_at, died_at;
	ht_ms extra_heartbeat_at;
	unsigned int extra_heartbeats;
	ht_ms echo_after;	/* no echo before: votes for this incarnation may have been moved */
	ht_ms counted_from;	/* a new member is left out of majorities before */
	ht_ms count_dead_until; /* restarted: counts as dead until then */
	ht_ms down_until;	/* other data centre: treated as unreachable until then */
	ht_ms lease_until;	/* end of the lease that this peer grants to this instance */
	uint32_t generation;	/* incremented when the grant ends */
	uint64_t min_epoch;
	uint64_t config_version;
};

struct ht_heartbeat_round {
	uint64_t sequence;
	ht_ms at, lease;
};

/* Instance that may be home of targets. Sorted by data centre, then by id. */
struct ht_home_candidate {
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
	struct ht_heartbeat_round rounds[HT_HEARTBEAT_ROUNDS];
	uint64_t sequence;
	ht_ms next_heartbeat, next_check, last_tick, started;
	ht_ms minority_since, last_death, last_change, longest_lease;
	uint64_t view, epoch;
	bool leaving, lease_held, voting_suspended;
	struct ht_revision list_revision;
	ht_ms list_asked_at; /* 0: never */
	struct ht_home_candidate *homes;
	size_t home_count;
	uint64_t homes_view;
};

struct ht_member *ht_members_find(const struct ht_membership *m, uint64_t id);
/** Finds or adds a member; NULL when out of memory. Invalidates pointers to members. */
struct ht_member *ht_members_add(struct ht_membership *m, const struct ht_instance_info *info);
void ht_members_erase(struct ht_membership *m, struct ht_member *p);

/** True when the member is part of the total of which a majority is needed. */
bool ht_member_counted(const struct ht_membership *m, const struct ht_member *p);
/** Leaves a new member out of majorities for @grace ms, if this instance holds its lease. */
void ht_member_delay_counting(const struct ht_membership *m, struct ht_member *p, ht_ms grace);
/** True for a live or suspected member of this data centre other than this instance. */
bool ht_member_is_live_peer(const struct ht_member *p);
/** True when the member may be home of targets in the current view. */
bool ht_member_may_be_home(const struct ht_membership *m, const struct ht_member *p);
/** Heartbeat interval for the current number of counted members, in ms. */
ht_ms ht_membership_interval(const struct ht_membership *m);
/** Increments the view number and schedules a check of all time limits. */
void ht_membership_view_changed(struct ht_membership *m);
bool ht_membership_lease_valid(const struct ht_membership *m);
unsigned int ht_membership_counted(const struct ht_membership *m);

/** Requests the full list of instances from @peer. */
void ht_membership_ask_list(struct ht_membership *m, uint64_t peer);

/** Sets the function pointers of the interface. */
void ht_membership_fill_iface(struct ht_membership *m);

#endif
