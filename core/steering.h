/*
 * Decides where each packet of a flow is sent. Targets answer callers directly (direct server
 * return), so an instance sees only the packets that callers send. All packets of an established
 * flow carry a mark that identifies its target, so any instance can forward the packets of a flow
 * that it has no state for. The flow table only counts open flows and measures target health.
 */
#ifndef HT_CORE_STEERING_H
#define HT_CORE_STEERING_H

#include "core/catalog.h"
#include "core/overload.h"
#include "core/reports.h"

/** Decoded header of a packet from a caller. */
struct ht_packet {
	struct ht_endpoint src, dst;
	bool opens;  /**< opening packet of a flow, or a retransmission of it */
	bool closes; /**< the caller sends no more data */
	bool resets;
	uint32_t sequence;     /**< of the first byte of data */
	uint32_t acknowledged; /**< next byte expected; in an opening packet: retransmission number
				*/
	uint16_t length;       /**< bytes of data */
	uint32_t mark;	       /**< 0 in an opening packet */
};

enum ht_steering_action {
	HT_STEER_FORWARD,
	HT_STEER_RESET, /**< refuse or end the flow by a reset to the caller */
	HT_STEER_DROP,
	HT_STEER_ACTIONS
};

enum ht_steering_reason {
	HT_STEER_PLACED,   /**< new flow */
	HT_STEER_REPLACED, /**< retransmitted opening packet, placed at another target */
	HT_STEER_MARKED,   /**< sent to the target that the flow already has */
	HT_STEER_DEFERRED, /**< all targets are busy; the caller's retransmission may be placed */
	HT_STEER_NO_ROOM,  /**< capacity is short; others of its class or more urgent ones go first
			    */
	HT_STEER_ALL_COLD, /**< all targets are cold and at their limit; likewise */
	HT_STEER_NO_VIEW,  /**< routes and targets have not been read completely yet */
	HT_STEER_STALE_VIEW, /**< routes or targets are older than their bound and may have changed
			      */
	HT_STEER_NO_ROUTE,   /**< the configuration has no such address */
	HT_STEER_UNREADABLE_ROUTE, /**< the configuration has it, but its meaning is not known */
	HT_STEER_NO_TARGET,	   /**< no target can take a new flow */
	HT_STEER_UNKNOWN_MARK,	   /**< no known target has the mark */
	HT_STEER_FOREIGN_TARGET,   /**< the route never led to the target's service */
	HT_STEER_DEAD_TARGET,	   /**< the flow's target is gone or does not respond */
	HT_STEER_REASONS
};

struct ht_steering_decision {
	enum ht_steering_action action;
	enum ht_steering_reason reason;
	struct ht_target *target; /**< to forward to; borrowed */
	uint32_t mark;		  /**< to write into the packet */
	bool known;	       /**< the flow of a marked packet is in this instance's flow table */
	double open, capacity; /**< when deferred: open flows of the service, and their limit */
};

/** Events of a flow, inferred from the caller's packets that pass this instance. */
enum ht_flow_event {
	HT_FLOW_UNANSWERED, /**< opening packet retransmitted: the target has not answered */
	HT_FLOW_OPENED,	    /**< the caller has received a packet from the target */
	HT_FLOW_REQUESTED,  /**< the caller has sent a request */
	HT_FLOW_REPEATED,   /**< request data retransmitted before any answer was acknowledged */
	HT_FLOW_OVERDUE,    /**< the answer takes much longer than others of the service */
	HT_FLOW_ANSWERED,   /**< the caller has acknowledged data from the target */
	HT_FLOW_ERROR,	    /**< size and delay of the complete answer suggest an error */
	HT_FLOW_ABANDONED,  /**< the caller has reset the flow before an answer came */
	HT_FLOW_ENDED,
	HT_FLOW_EVENTS
};

/** State of a flow when an event occurs. */
struct ht_flow_info {
	enum ht_flow_event event;
	struct ht_endpoint src, dst;
	struct ht_target *target; /**< borrowed */
	uint32_t copies;	  /**< retransmitted opening packets that were placed */
	ht_ms open_for;		  /**< since the flow was first placed */
	ht_ms waited;		  /**< since the packet that the event responds to */
	uint32_t bytes;		  /**< size of the answer; HT_FLOW_ERROR only */
};

/** Why the health state of a target or data centre has changed. */
enum ht_health_cause {
	HT_HEALTH_SILENT,   /**< no response to packets that this instance forwarded */
	HT_HEALTH_REPORTED, /**< other instances have reported misses or errors */
	HT_HEALTH_ERRORS,   /**< answers look like errors */
	HT_HEALTH_ALIVE,    /**< a response ended the suspicion */
	HT_HEALTH_CAUSES
};

/** Callbacks for logs and metrics. Either function may be NULL. */
struct ht_steering_observer {
	void (*flow)(void *ctx, const struct ht_flow_info *facts, ht_ms now);
	/** The suspicion of @target, or of its data centre, has begun, at least doubled, or ended.
	 */
	void (*health_changed)(void *ctx, const struct ht_target *target, bool whole_dc,
			       enum ht_health_cause cause, ht_ms now);
	/** @service has become short of capacity, or is not any more: see its plan. */
	void (*capacity_changed)(void *ctx, const struct ht_service *service, ht_ms now);
	/** The plan of @service, which is short of capacity, has changed much since the last call.
	 */
	void (*plan_changed)(void *ctx, const struct ht_service *service, ht_ms now);
	void *ctx;
};

/** Times without packets after which flows are not counted as open any more, by phase. */
struct ht_flow_timeouts {
	ht_ms opening, open, answered;
};

/** Limits and weights; ht_steering_params_default() sets the defaults. */
struct ht_steering_params {
	struct ht_catalog *catalog; /**< borrowed */
	struct ht_reports *reports; /**< borrowed; collects misses and errors for other instances */
	struct ht_steering_observer observer;
	struct ht_overload overload; /**< its catalogue, seed and callback are set here */
	uint64_t seed;
	/** Size of the flow table; the least recently used flows are evicted. */
	size_t flows_max;
	/** An answer that takes longer counts as a miss if it also exceeds overdue_factor. */
	ht_ms overdue_after;
	/** Multiple of the mean answer time of the service that an overdue answer exceeds. */
	double overdue_factor;
	/** A caller sends its next packet a round trip after the target has answered its opening
	 * packet. An idle caller sends none once an answer has come. */
	struct ht_flow_timeouts timeouts;
	/** A flow without packets for this long is removed from the table. */
	ht_ms flow_expiry;
	/** The same for a flow between two requests. */
	ht_ms idle_expiry;
	/** A request has to wait this long before its flow is reset because of a dead target. */
	ht_ms dead_after;
	/** Misses of other flows during the wait that make a target count as dead. */
	uint32_t dead_misses;
	/** Cost factor of a target in another data centre. */
	double remote_factor;
	/** Cost factor of a target that has just started. */
	double cold_factor;
	/** Limit of open flows per slot, those in service and those queued. */
	double flows_per_slot;
	/** Share of that limit that is reserved for the most urgent routes. */
	double urgent_reserve;
	/** Cost factor of a suspected target, and of a suspected data centre. */
	double suspected_factor;
	/** Suspected targets are skipped only up to this share of a service's targets. */
	double suspected_share_max;
};

void ht_steering_params_default(struct ht_steering_params *params);

struct ht_steering;

/** Returns NULL when out of memory. */
struct ht_steering *ht_steering_new(const struct ht_steering_params *params);
void ht_steering_free(struct ht_steering *st);

/** @complete: routes and targets have been read completely. Flows are reset only from then on. */
void ht_steering_set_view_complete(struct ht_steering *st, bool complete);

/** Limits that the operator sets. */
struct ht_steering_bounds {
	/** Maximum age of routes and targets on which a refusal may be based; HT_NEVER: none. */
	ht_ms routes, targets;
	/** A cold target gets its stated rate times the factor, plus the slack, per second. */
	double warmup_overage, warmup_slack;
};

void ht_steering_set_bounds(struct ht_steering *st, const struct ht_steering_bounds *bounds);
/**
 * Overload control by @load, borrowed, with the parameters @admission. NULL: none, which ends all
 * plans.
 */
void ht_steering_set_overload(struct ht_steering *st, struct ht_load *load,
			      const struct ht_admission_params *admission, ht_ms now);
/** Times at which an exact read, by any instance, last confirmed the routes and the targets. */
void ht_steering_set_proofs(struct ht_steering *st, ht_ms routes_at, ht_ms targets_at);

/** Sets the number of instances in the data centre that share its flows. */
void ht_steering_set_instance_count(struct ht_steering *st, size_t count);

/**
 * Sets the hash of the own name and those of all other instances of the data centre, also of ones
 * that are silent at the moment. Until then, targets whose service limits the flows of cold ones
 * get none while they are cold. Returns false when out of memory.
 */
bool ht_steering_set_peers(struct ht_steering *st, uint64_t own, const uint64_t *others,
			   size_t count);

/** Decides what to do with one packet and updates the flow table. */
struct ht_steering_decision ht_steering_packet(struct ht_steering *st, const struct ht_packet *pkt,
					       ht_ms now);

/** Applies the misses and errors that another instance has reported. */
void ht_steering_apply_report(struct ht_steering *st, const struct ht_report *report, ht_ms now);

/** Adds what this instance sees of each target to the report of the load. */
void ht_steering_report_load(struct ht_steering *st);
/** Updates the plans of overload control; to be called when the shared load has changed. */
void ht_steering_update_load(struct ht_steering *st, ht_ms now);
/** Highest number of requests in flight per slot in the own data centre, see core/overload.h. */
double ht_steering_occupancy(const struct ht_steering *st, ht_ms now);

/** Detects overdue answers and removes inactive flows; call it several times a second. */
void ht_steering_expire(struct ht_steering *st, ht_ms now);

size_t ht_steering_flow_count(const struct ht_steering *st);

/** Names for logs and metrics. */
const char *ht_steering_action_name(enum ht_steering_action action);
const char *ht_steering_reason_name(enum ht_steering_reason reason);
const char *ht_flow_event_name(enum ht_flow_event event);
const char *ht_health_cause_name(enum ht_health_cause cause);

#endif
