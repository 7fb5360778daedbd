/*
 * Where each packet of a flow goes. An instance sees only what callers send, as targets answer them
 * directly. The mark that a target's packets and the caller's later ones carry names the flow's
 * target, so that any instance can steer a flow that it has never seen; the table of flows kept
 * here only counts open flows and judges how targets do.
 */
#ifndef HT_CORE_STEERING_H
#define HT_CORE_STEERING_H

#include "core/catalog.h"
#include "core/reports.h"

/** Head of a packet from a caller, decoded. */
struct ht_packet {
	struct ht_endpoint src, dst;
	bool opens;  /**< first packet of a flow or a copy of it */
	bool closes; /**< the caller has sent all that it will send */
	bool resets;
	uint32_t sequence;     /**< of the first byte of data */
	uint32_t acknowledged; /**< next byte expected; number of the copy in an opening packet */
	uint16_t length;       /**< bytes of data */
	uint32_t mark;	       /**< 0 in an opening packet */
};

enum ht_steering_action {
	HT_STEER_FORWARD,
	HT_STEER_RESET, /**< tell the caller at once that its flow cannot open */
	HT_STEER_DROP,
	HT_STEER_ACTIONS
};

enum ht_steering_reason {
	HT_STEER_PLACED,     /**< new flow */
	HT_STEER_REPLACED,   /**< copy of an opening packet: another target than before */
	HT_STEER_MARKED,     /**< the flow's own target */
	HT_STEER_DEFERRED,   /**< all targets are busy: the caller's next copy may find room */
	HT_STEER_NO_VIEW,    /**< nothing has been read from the platform yet */
	HT_STEER_STALE_VIEW, /**< the view is older than its bound: a fresh read may know better */
	HT_STEER_NO_ROUTE,   /**< the configuration has no such address */
	HT_STEER_NO_TARGET,  /**< no target can take a new flow */
	HT_STEER_UNKNOWN_MARK,	 /**< no known target has the mark */
	HT_STEER_FOREIGN_TARGET, /**< the route never led to the target's service */
	HT_STEER_DEAD_TARGET,	 /**< the flow's own target is gone or shows no life */
	HT_STEER_REASONS
};

struct ht_steering_decision {
	enum ht_steering_action action;
	enum ht_steering_reason reason;
	struct ht_target *target; /**< to forward to; borrowed */
	uint32_t mark;		  /**< to put into the packet */
	bool known;	   /**< a marked packet's flow has gone through this instance lately */
	double open, room; /**< when deferred: flows of the service, and how many fit */
};

/** What packets tell of a flow that goes through this instance. */
enum ht_flow_event {
	HT_FLOW_UNANSWERED, /**< the opening packet came again: its target has not answered */
	HT_FLOW_OPENED,	    /**< the caller has heard from the target */
	HT_FLOW_ASKED,	    /**< the caller has sent a request */
	HT_FLOW_REPEATED,   /**< ...and the same data again, without an answer so far */
	HT_FLOW_OVERDUE,    /**< the answer takes much longer than others */
	HT_FLOW_ANSWERED,   /**< the caller has acknowledged data of the target */
	HT_FLOW_ERROR,	    /**< the whole answer looks like an error */
	HT_FLOW_ABANDONED,  /**< the caller has reset the flow before an answer came */
	HT_FLOW_ENDED,
	HT_FLOW_EVENTS
};

/** A flow at one of its events. */
struct ht_flow_facts {
	enum ht_flow_event event;
	struct ht_endpoint src, dst;
	struct ht_target *target; /**< borrowed */
	uint32_t copies;	  /**< opening packets placed so far, less one */
	ht_ms open_for;		  /**< since the flow was placed at the target */
	ht_ms waited;		  /**< since the packet that waits, or waited, for its effect */
	uint32_t bytes;		  /**< of the answer, with HT_FLOW_ERROR */
};

/** Why the belief in a target has changed. */
enum ht_belief_cause {
	HT_BELIEF_SILENT,   /**< packets had no effect here */
	HT_BELIEF_REPORTED, /**< other instances have seen misses or errors */
	HT_BELIEF_ERRORS,   /**< answers look like errors */
	HT_BELIEF_ALIVE,    /**< a sign of life ended the doubt */
	HT_BELIEF_CAUSES
};

/** Told of what happens, for logs and metrics. Either function may be NULL. */
struct ht_steering_observer {
	void (*flow)(void *ctx, const struct ht_flow_facts *facts, ht_ms now);
	/** The doubt about @target, or about its whole data centre, has begun, doubled or ended. */
	void (*belief)(void *ctx, const struct ht_target *target, bool whole_dc,
		       enum ht_belief_cause cause, ht_ms now);
	void *ctx;
};

/** Limits and weights; ht_steering_params_default() fills in the design's values. */
struct ht_steering_params {
	struct ht_catalog *catalog; /**< borrowed */
	struct ht_reports *reports; /**< borrowed; takes what other instances should hear */
	struct ht_steering_observer observer;
	uint64_t seed;
	size_t flows_max;      /**< flows in the table; the least recently used go first */
	ht_ms overdue_after;   /**< an answer that takes longer speaks against its target... */
	double overdue_factor; /**< ...if that is also this many times the service's mean */
	ht_ms open_timeout;    /**< a flow without packets for this long no longer counts as open */
	ht_ms answered_timeout; /**< ...and this one after an answer: its caller is idle */
	ht_ms flow_expiry;	/**< ...and after this time it is forgotten */
	ht_ms idle_expiry;	/**< the same, of one that waits for its caller's next request */
	ht_ms dead_after; /**< a request that has waited this long for a dead target is given up...
			   */
	uint32_t dead_misses; /**< ...if others have missed that target this often meanwhile */
	double remote_factor; /**< cost of a target in another data centre, times that of a local
			       * one
			       */
	double cold_factor; /**< cost of a target that has just started, times that of a warm one */
	double flows_per_slot; /**< flows per slot, in work and in queue, that a target is given */
	double urgent_reserve; /**< part of the room that is left for the most urgent routes */
	double suspected_factor;    /**< cost of a target, or a data centre, in doubt, times that of
				     * others
				     */
	double suspected_share_max; /**< at most this part of a service's targets is left out for
				       doubt */
};

void ht_steering_params_default(struct ht_steering_params *params);

struct ht_steering;

/** NULL when out of memory. */
struct ht_steering *ht_steering_new(const struct ht_steering_params *params);
void ht_steering_free(struct ht_steering *st);

/** True as soon as routes and targets have been read whole: from then on flows may be reset. */
void ht_steering_set_complete(struct ht_steering *st, bool complete);

/** How old a view may be for a refusal to rest on it; HT_NEVER for any age. */
struct ht_steering_bounds {
	ht_ms routes, targets;
};

void ht_steering_set_bounds(struct ht_steering *st, const struct ht_steering_bounds *bounds);
/** When the routes, and the targets, were last proven by an exact read, made here or elsewhere. */
void ht_steering_set_proofs(struct ht_steering *st, ht_ms routes_at, ht_ms targets_at);

/** Number of instances of the data centre, between which its flows are spread. */
void ht_steering_set_sharers(struct ht_steering *st, size_t count);

/** Decides on one packet. */
struct ht_steering_decision ht_steering_packet(struct ht_steering *st, const struct ht_packet *pkt,
					       ht_ms now);

/** Other instances have seen @report. */
void ht_steering_hear(struct ht_steering *st, const struct ht_report *report, ht_ms now);

/** Looks for overdue answers and drops silent flows; call it several times a second. */
void ht_steering_expire(struct ht_steering *st, ht_ms now);

size_t ht_steering_flow_count(const struct ht_steering *st);

/** Usual short names, for logs and metrics. */
const char *ht_steering_reason_name(enum ht_steering_reason reason);
const char *ht_flow_event_name(enum ht_flow_event event);
const char *ht_belief_cause_name(enum ht_belief_cause cause);

#endif
