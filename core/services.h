/*
 * Interfaces through which the services of the core call each other. Each is registered in the
 * core's registry under the name given in its comment, and looked up once, at start. Tests register
 * fakes.
 */
#ifndef HT_CORE_SERVICES_H
#define HT_CORE_SERVICES_H

#include "core/core.h"

/** Why a Forward came back (Returned.reason). */
enum ht_return_reason {
	HT_RETURN_UNKNOWN_FLOW = 1,
	HT_RETURN_LONGER_WAIT = 2, /**< the receiver's estimated wait is not lower */
	HT_RETURN_NOT_HOME = 3,	   /**< the receiver does not own the target */
	HT_RETURN_NOT_SERVED = 4,  /**< its newer configuration has no such target in the service */
	HT_RETURN_UNAVAILABLE = 5, /**< target down, draining, misassigned or full */
	HT_RETURN_LOST = 7,	   /**< to the ingress: the home that held the request has ended */
	HT_RETURN_TAKEN = 6, /**< a deflection or look-up was accepted; names the flow's target */
};

/** Registry name "env": what the core provides to every service. */
struct ht_env {
	struct ht_core_params params;
	struct ht_counters counters;
	struct ht_registry *registry;
	ht_ms now;
	bool stopping;
	/** Sends @msg to @peer and counts its bytes as control or data, depending on its kind. */
	bool (*send)(struct ht_env *env, uint64_t peer, Ht__PeerMsg *msg);
	/** Requests a call of ht_core_advance() at @due at the latest. */
	void (*wake_at)(struct ht_env *env, ht_ms due);
	/** Logs an event; @fmt gives the detail fields as "key=value ...". */
	void (*emit)(struct ht_env *env, enum ht_event_number number, uint64_t flow,
		     uint64_t request, uint64_t target, uint64_t instance, const char *fmt, ...)
		__attribute__((format(printf, 7, 8)));
	/** Returns a uniform number in [0, 2^64) from the seeded generator. */
	uint64_t (*random)(struct ht_env *env);
	uint64_t self; /**< own instance id */
	struct ht_core *core;
};

/** "config" */
struct ht_config_if {
	void *ctx;
	/** The configuration in force, or NULL before the first. Borrowed. */
	struct ht_config *(*current)(void *ctx);
	/**
	 * The @k-th earlier distinct target set of a service, newest first (0 to 3), if it was in
	 * force within the last flow idle time; else NULL. Borrowed.
	 */
	const struct ht_service_conf *(*previous_set)(void *ctx, uint64_t service, unsigned int k);
	/** The instance @peer uses @version; it is pulled from there if it is newer. */
	void (*seen)(void *ctx, uint64_t peer, uint64_t version);
};

/** "membership" */
struct ht_membership_if {
	void *ctx;
	/** Home of a target in the current view, or 0 when its data centre has no live instance. */
	uint64_t (*home)(void *ctx, uint64_t target, const char *dc);
	/** Live instance with this incarnation, or 0. */
	uint64_t (*by_incarnation)(void *ctx, uint64_t incarnation);
	/** True when the instance is live and reachable in the current view. */
	bool (*reachable)(void *ctx, uint64_t instance);
	/** Calls @visit for each known instance of the data centre except this one. */
	void (*each_peer)(void *ctx, const char *dc,
			  void (*visit)(void *vctx, uint64_t instance, bool live), void *vctx);
	/** True while more than half of the counted members grant the lease at the current time. */
	bool (*lease_valid)(void *ctx);
	/** Number of counted members of the own data centre, this instance included. */
	unsigned int (*counted)(void *ctx);
	/** True when the instance is known to have ended or its grant from here has expired. */
	bool (*dead)(void *ctx, uint64_t instance);
	/** Time since when this instance has had no majority, or HT_NEVER. */
	ht_ms (*minority_since)(void *ctx);
};

enum ht_owner_state {
	HT_OWNER_NONE,
	HT_OWNER_CLAIMING,
	HT_OWNER_HOLDING, /**< granted, but requests of the previous, dead owner may still run */
	HT_OWNER_OWNED,
	HT_OWNER_RELEASING, /**< handed over, with own requests still in flight */
};

/** "ownership" */
struct ht_ownership_if {
	void *ctx;
	enum ht_owner_state (*state)(void *ctx, uint64_t target);
	/**
	 * Slots that this instance may use at the target now, its own in-flight requests
	 * included; 0 without a valid lease. Called before every send.
	 */
	uint32_t (*slots)(void *ctx, uint64_t target);
	/** When the target was last taken over from another owner, or HT_NEVER. */
	ht_ms (*taken_over_at)(void *ctx, uint64_t target);
	/** Live instance that the target was taken over from, or 0. May be NULL. */
	uint64_t (*former_owner)(void *ctx, uint64_t target);
	/** An own request to a target in state HT_OWNER_RELEASING has ended. */
	void (*request_ended)(void *ctx, uint64_t target);
};

/** "targets": called by ownership and config */
struct ht_targets_if {
	void *ctx;
	/** Number of requests of this instance in flight at the target. */
	uint32_t (*in_flight)(void *ctx, uint64_t target);
	/** Number of requests waiting for a slot of the target, for status pages. */
	uint32_t (*queued)(void *ctx, uint64_t target);
	/** Ownership or slots have changed: opens or closes connections and processes the queue. */
	void (*owner_changed)(void *ctx, uint64_t target);
	/** The configuration has changed. */
	void (*config_changed)(void *ctx);
	/** Number of requests in flight or queued at all targets. */
	uint32_t (*open_requests)(void *ctx);
};

/** "ledger" */
struct ht_ledger_if {
	void *ctx;
	/** Sends this incarnation's ledger entries of the target to its new owner. */
	void (*hand_over)(void *ctx, uint64_t target, uint64_t to);
	/** Sends the whole ledger, before a planned stop; @to may differ per entry's target. */
	void (*hand_over_all)(void *ctx);
	/** True when no sent entries wait for a LedgerAck. */
	bool (*handed_over)(void *ctx);
	void (*entries)(void *ctx, uint64_t peer, const Ht__LedgerEntries *msg);
	void (*ack)(void *ctx, uint64_t peer, const Ht__LedgerAck *msg);
};

/** "router": requests, forwards, answers, returns */
struct ht_router_if {
	void *ctx;
	void (*request)(void *ctx, uint64_t handle, const struct ht_request *req);
	void (*forward)(void *ctx, uint64_t peer, const Ht__Forward *msg);
	void (*answer)(void *ctx, uint64_t peer, const Ht__Answer *msg);
	void (*returned)(void *ctx, uint64_t peer, const Ht__Returned *msg);
	void (*target_answer)(void *ctx, const struct ht_target_answer *ans);
	void (*target_state)(void *ctx, uint64_t target, enum ht_target_state state);
	/** The peer's link went down or the peer has ended: pending forwards to it are resolved. */
	void (*peer_down)(void *ctx, uint64_t peer, enum ht_peer_down_reason reason);
	/** Number of requests that this instance has not answered yet. */
	uint32_t (*pending)(void *ctx);
	/** Number of entries in the flow table, for status pages. */
	size_t (*flows)(void *ctx);
};

/** Called on every advance in construction order; each service registers one as "NAME.tick". */
struct ht_tick_if {
	void *ctx;
	void (*tick)(void *ctx);
};

/* Constructors; each registers its interfaces. The core frees services in reverse order. */
struct ht_membership;
struct ht_membership *ht_membership_new(struct ht_env *env);
void ht_membership_free(struct ht_membership *m);
struct ht_ownership;
struct ht_ownership *ht_ownership_new(struct ht_env *env);
void ht_ownership_free(struct ht_ownership *o);
struct ht_config_service;
struct ht_config_service *ht_config_service_new(struct ht_env *env);
void ht_config_service_free(struct ht_config_service *c);
/** Request path: registers "router", "targets" and "ledger"; its parts are private to it. */
struct ht_request_path;
struct ht_request_path *ht_request_path_new(struct ht_env *env);
void ht_request_path_free(struct ht_request_path *p);

#endif
