/*
 * Calls among the control services (membership, ownership, configuration, planned stop) and core.c.
 * The request path uses core/services.h only.
 */
#ifndef HT_CORE_CONTROL_H
#define HT_CORE_CONTROL_H

#include "core/services.h"

/** Events that core.c forwards to membership. */
void ht_membership_heartbeat(struct ht_membership *m, uint64_t peer, const Ht__Heartbeat *msg);
void ht_membership_heard(struct ht_membership *m, uint64_t peer);
void ht_membership_peer_up(struct ht_membership *m, const struct ht_instance_info *info,
			   uint64_t incarnation);
void ht_membership_peer_down(struct ht_membership *m, uint64_t peer, uint64_t incarnation,
			     enum ht_peer_down_reason reason);
void ht_membership_platform_list(struct ht_membership *m, struct ht_revision revision,
				 const struct ht_instance_info *list, int count);
void ht_membership_peer_list(struct ht_membership *m, uint64_t peer, const Ht__LiveList *msg);
/** Announces that this instance is leaving, at once and in each later heartbeat. */
void ht_membership_leave(struct ht_membership *m);
const struct ht_instance_info *ht_membership_info(const struct ht_membership *m, uint64_t id);
void ht_membership_each(const struct ht_membership *m,
			void (*visit)(void *vctx, const struct ht_instance_info *info, bool live),
			void *vctx);

/** Number incremented when homes, counted members or the state of the lease change. */
uint64_t ht_membership_view(const struct ht_membership *m);
/** Duration of the lease that a peer grants, in ms, for the current number of members. */
ht_ms ht_membership_lease(const struct ht_membership *m);
/** True until this incarnation may vote, as votes of an earlier one may still be in use. */
bool ht_membership_voting_suspended(const struct ht_membership *m);
/** Rank of this instance among the relays of its data centre, from 0; -1 if it is not a relay. */
int ht_membership_relay_rank(const struct ht_membership *m);
/** Revision of the list of instances in use; its number is 0 when there is none yet. */
struct ht_revision ht_membership_list_revision(const struct ht_membership *m);
/** True when the data centre has another live instance that is not leaving. */
bool ht_membership_has_successor(const struct ht_membership *m);
/** Records that the peer uses @version, ahead of its next heartbeat. */
void ht_membership_note_version(struct ht_membership *m, uint64_t peer, uint64_t version);
/**
 * A live peer of the data centre that uses @version or a newer one, or 0. The choice depends on a
 * hash of this instance's id and @attempt, so that instances which pull at the same time ask
 * different peers.
 */
uint64_t ht_membership_config_peer(const struct ht_membership *m, uint64_t version,
				   unsigned int attempt);
/** A random live peer of this data centre, or 0. */
uint64_t ht_membership_random_peer(struct ht_membership *m);
/** Calls @visit with the configuration version of each live peer of the data centre. */
void ht_membership_versions(const struct ht_membership *m,
			    void (*visit)(void *vctx, const char *name, uint64_t version),
			    void *vctx);

/**
 * A vote of a peer on a target. It is valid while the lease granted by the peer has not been
 * interrupted since; @generation changes with each interruption.
 */
struct ht_vote {
	uint64_t member;
	uint32_t generation;
	bool granted, denied;
	uint64_t incarnation, term; /* of the voter at the time of the vote */
	uint64_t holder;	    /* incarnation that has the vote, given when it was denied */
	uint64_t told_term; /* term of the newest grant by @holder that the voter was told of */
};

/** Generation for a vote of @member received now; 0 when the lease it granted is not valid. */
uint32_t ht_membership_generation(const struct ht_membership *m, uint64_t member);
/** Replies of @member to claims of an epoch below this one are invalid. */
uint64_t ht_membership_min_epoch(const struct ht_membership *m, uint64_t member);
/** True when the valid grants in @votes, plus the own vote if @self, are a majority now. */
bool ht_membership_majority(const struct ht_membership *m, const struct ht_vote *votes,
			    size_t count, bool self);
/** Incarnation of a member, or 0. Sets @alive to true while it is not dead. */
uint64_t ht_membership_incarnation(const struct ht_membership *m, uint64_t member, bool *alive);
/** When a member of the data centre last died or restarted, or else this instance started. */
ht_ms ht_membership_last_death(const struct ht_membership *m);
/** When a member of the data centre last joined, began to leave or died. */
ht_ms ht_membership_last_change(const struct ht_membership *m);
/** True when a member has announced that it is leaving. */
bool ht_membership_is_leaving(const struct ht_membership *m, uint64_t member);
/** When the member died, or HT_NEVER; only valid while it is dead. */
ht_ms ht_membership_died_at(const struct ht_membership *m, uint64_t member);
/** Epoch of new claims. Incremented when a grant ends, which invalidates earlier replies. */
uint64_t ht_membership_epoch(const struct ht_membership *m);

/** Messages and events for ownership. */
void ht_ownership_claim(struct ht_ownership *o, uint64_t peer, const Ht__Claim *msg);
void ht_ownership_claim_reply(struct ht_ownership *o, uint64_t peer, const Ht__ClaimReply *msg);
void ht_ownership_slot_release(struct ht_ownership *o, uint64_t peer, const Ht__SlotRelease *msg);
/** Updates claims for the current view and configuration. Cheap when neither has changed. */
void ht_ownership_review(struct ht_ownership *o);
/** Number of targets that this instance owns, claims or is releasing. */
size_t ht_ownership_held(const struct ht_ownership *o);

/** Messages and events for the configuration service. */
void ht_config_service_platform(struct ht_config_service *c, struct ht_config *cfg);
void ht_config_service_announce(struct ht_config_service *c, uint64_t peer, uint64_t version);
void ht_config_service_pull(struct ht_config_service *c, uint64_t peer, const Ht__ConfigPull *msg);
void ht_config_service_data(struct ht_config_service *c, uint64_t peer, const Ht__ConfigData *msg);

/** Calls to the platform, by relays and by starting instances. */
struct ht_relay;
struct ht_relay *ht_relay_new(struct ht_env *env);
void ht_relay_free(struct ht_relay *r);
/** Reports the end of a call for the configuration head; @version is 0 if it failed. */
void ht_relay_head_done(struct ht_relay *r, uint64_t version);
/** Reports the end of a call for the list of instances. */
void ht_relay_list_done(struct ht_relay *r, bool ok);

/** Planned stop; constructed and freed with the other services. */
struct ht_stop;
struct ht_stop *ht_stop_new(struct ht_env *env);
void ht_stop_free(struct ht_stop *s);
void ht_stop_begin(struct ht_stop *s);

#endif
