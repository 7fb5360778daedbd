/*
 * The decision core of one entry instance, without I/O, wall clock or global state.
 *
 * The embedding program passes events in through the functions below. The core performs its
 * actions by calling struct ht_core_ops synchronously; these callbacks must not call back into the
 * same core. One process may contain any number of cores. The embedding program owns the clock: it
 * calls ht_core_advance() at the time that the core has passed to ops->arm_timer. All times are in
 * ms of its monotonic clock.
 */
#ifndef HT_CORE_CORE_H
#define HT_CORE_CORE_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/event.h"
#include "base/registry.h"
#include "base/verdict.h"
#include "base/revision.h"
#include "rules/config.h"
#include "wire/peer.pb-c.h"

struct ht_core;

/** Longest token of a request, in bytes (CoAP). */
#define HT_TOKEN_MAX 8

/** Ticket as carried in CoAP's Echo option: incarnation, time, sequence, keyed hash. */
#define HT_TICKET_LEN 28

/** CoAP codes used towards callers and targets (class * 32 + detail). */
enum ht_code {
	HT_GET = 1,
	HT_POST = 2,
	HT_PUT = 3,
	HT_DELETE = 4,
	HT_CONTENT = 69,	      /**< 2.05 */
	HT_UNAUTHORIZED = 129,	      /**< 4.01: repeat the request with the ticket */
	HT_NOT_FOUND = 132,	      /**< 4.04 */
	HT_TOO_MANY_REQUESTS = 157,   /**< 4.29: not run, queue full */
	HT_SERVICE_UNAVAILABLE = 163, /**< 5.03: not run, retry after retry_after */
	HT_GATEWAY_TIMEOUT = 164,     /**< 5.04: may have run, or has run but the body is lost */
};

/** A request received from a caller. Pointers are only valid during the call. */
struct ht_request {
	uint64_t service; /**< id of the service whose address received it */
	uint64_t flow;	  /**< ht_flow_id() of caller and service */
	uint8_t token[HT_TOKEN_MAX];
	uint8_t token_len;
	uint8_t method; /**< enum ht_code, 1 to 4 */
	bool cancel;	/**< cancels the request with this token and ticket */
	bool has_ticket;
	uint8_t ticket[HT_TICKET_LEN];
	ht_ms deadline;	  /**< duration from now; 0: default of the service */
	const char *path; /**< without leading slash; may be "" */
	const char *query;
	const uint8_t *payload;
	size_t payload_len;
	uint32_t content_format;
	bool has_block; /**< Block2 */
	uint32_t block_num;
	uint8_t block_szx;
};

/** An answer to a caller. Pointers are only valid during the call. */
struct ht_answer {
	uint8_t code; /**< enum ht_code or the target's code */
	enum ht_verdict verdict;
	ht_ms retry_after; /**< 0 when not applicable */
	const uint8_t *payload;
	size_t payload_len;
	uint32_t content_format;
	bool has_ticket;
	uint8_t ticket[HT_TICKET_LEN]; /**< for the next posting of the flow */
	bool has_block;
	uint32_t block_num;
	uint8_t block_szx;
	bool block_more;
	uint8_t etag[8];
	uint8_t etag_len;
};

/** A request to a target. Pointers are only valid during the call. */
struct ht_target_request {
	uint64_t id; /**< identifies the request in its answer and in cancel_target() */
	uint64_t target;
	const struct ht_target_conf *conf;
	const char *service_name; /**< value of Uri-Host */
	uint8_t method;
	const char *path;
	const char *query;
	const uint8_t *payload;
	size_t payload_len;
	uint32_t content_format;
	ht_ms deadline; /**< duration from now after which the target gives up */
};

/** How a request to a target ended. */
enum ht_target_result {
	HT_TARGET_ANSWERED, /**< has run; code and payload are from the target */
	HT_TARGET_REFUSED,  /**< refused before it started: not run */
	HT_TARGET_UNSENT,   /**< never written to a connection: not run */
	HT_TARGET_LOST,	    /**< connection lost or timed out after sending: may have run */
	HT_TARGET_TIMEOUT,  /**< no answer within the deadline: may have run */
};

struct ht_target_answer {
	uint64_t id;
	enum ht_target_result result;
	uint8_t code;
	bool draining; /**< the target refused because it is draining */
	ht_ms retry_after;
	const uint8_t *payload;
	size_t payload_len;
	uint32_t content_format;
};

enum ht_target_state {
	HT_TARGET_UP,	       /**< connected, and it reports the configured service */
	HT_TARGET_DOWN,	       /**< no connection can be opened */
	HT_TARGET_DRAINING,    /**< it reports that it is shutting down */
	HT_TARGET_MISASSIGNED, /**< it reports another service than configured */
};

/** An entry instance as the platform lists it. */
struct ht_instance_info {
	char name[HT_NAME_MAX];
	char dc[HT_NAME_MAX];
	char peer_address[HT_ADDR_TEXT];
	char admin_address[HT_ADDR_TEXT];
	double size;
	bool leaving;
};

enum ht_peer_down_reason {
	HT_PEER_GONE,	/**< reset or refused: the process of that incarnation has ended */
	HT_PEER_SILENT, /**< timeout or unreachable: the process may still run */
};

/** Calls to the platform that the core requests. */
enum ht_platform_call {
	HT_PLATFORM_READ_HEAD,	/**< reads the complete current configuration */
	HT_PLATFORM_WATCH_HEAD, /**< completes when the head's version differs from @known */
	HT_PLATFORM_READ_LIVE,	/**< lists live instances; may wait until the revision differs from
				   @known */
	HT_PLATFORM_WRITE_STATUS, /**< writes the status of this data centre; relays only */
};

/** Actions of the core. @ctx is ht_core_params.ctx. */
struct ht_core_ops {
	/**
	 * Sends @msg to the instance @peer, opening a link if there is none. Returns false only if
	 * it is certain that nothing was sent (no link, and none can be opened immediately).
	 */
	bool (*send_peer)(void *ctx, uint64_t peer, const Ht__PeerMsg *msg);
	/** Answers the request that was passed in with @handle. Called exactly once per handle. */
	void (*answer)(void *ctx, uint64_t handle, const struct ht_answer *answer);
	void (*send_target)(void *ctx, const struct ht_target_request *req);
	void (*cancel_target)(void *ctx, uint64_t target, uint64_t id);
	/** Opens connections to a target that this instance now owns, or closes them. */
	void (*open_target)(void *ctx, const struct ht_target_conf *conf, const char *service_name);
	void (*close_target)(void *ctx, uint64_t target);
	/** Schedules ht_core_advance() at @due; replaces the previously scheduled time. */
	void (*arm_timer)(void *ctx, ht_ms due);
	/** Starts a platform call; its result is ht_core_platform_config() or ht_core_live_list().
	 */
	void (*platform)(void *ctx, enum ht_platform_call call, struct ht_revision known,
			 const char *body);
	void (*log_event)(void *ctx, const struct ht_event *ev);
	/** A planned stop has finished; the process may exit. */
	void (*stopped)(void *ctx);
};

/** Limits and intervals; ht_core_params_default() sets the defaults, noted here (times in ms). */
struct ht_core_params {
	const struct ht_core_ops *ops;
	void *ctx;
	struct ht_instance_info self;
	uint64_t incarnation; /**< random, not 0 */
	uint64_t seed;	      /**< of the core's random number generator */
	uint8_t ticket_key[16];
	ht_ms now;
	ht_ms wall;		  /**< wall clock time at now, for event clocks; 0: same as now */
	ht_ms heartbeat_min;	  /**< 500 */
	ht_ms heartbeat_per_peer; /**< 60 */
	ht_ms lease_min;	  /**< 2000; the lease is 3 heartbeat intervals if that is longer */
	ht_ms death_margin;	  /**< 500, added to the lease before an instance counts as dead */
	ht_ms takeover_hold;	  /**< 2000 */
	ht_ms isolation;	  /**< 10000 */
	ht_ms claim_wait;	  /**< 200 */
	ht_ms linger;		  /**< 3000 */
	ht_ms flow_idle;	  /**< 600000 */
	ht_ms target_deadline;	  /**< 2000 */
	size_t flow_table_max;	  /**< 262144 */
	size_t answer_cache_bytes; /**< 16 MiB */
	uint32_t queue_max;	   /**< 64 per target */
	double retry_ratio;	   /**< 0.1 */
	double retry_burst;	   /**< 10 */
};

void ht_core_params_default(struct ht_core_params *params);

/** Returns NULL when out of memory. */
struct ht_core *ht_core_new(const struct ht_core_params *params);
void ht_core_free(struct ht_core *core);

/** Id of an instance or a service: the hash of its name. */
uint64_t ht_instance_id(const char *name);
/** Id of a flow: the hash of caller address and service. */
uint64_t ht_flow_id(const struct ht_addr *caller, uint64_t service);

/** Passes in a request from a caller; ops->answer is called with @handle exactly once. */
void ht_core_request(struct ht_core *core, uint64_t handle, const struct ht_request *req);

/** Passes in a message from the authenticated instance @peer. */
void ht_core_peer_msg(struct ht_core *core, uint64_t peer, const Ht__PeerMsg *msg);
void ht_core_peer_up(struct ht_core *core, const struct ht_instance_info *info,
		     uint64_t incarnation);
void ht_core_peer_down(struct ht_core *core, uint64_t peer, uint64_t incarnation,
		       enum ht_peer_down_reason reason);

void ht_core_target_answer(struct ht_core *core, const struct ht_target_answer *ans);
void ht_core_target_state(struct ht_core *core, uint64_t target, enum ht_target_state state);

/** Result of HT_PLATFORM_READ_HEAD or _WATCH_HEAD; @cfg is NULL when the call failed. */
void ht_core_platform_config(struct ht_core *core, struct ht_config *cfg);
/** Result of HT_PLATFORM_READ_LIVE; @count < 0 when the call failed. */
void ht_core_live_list(struct ht_core *core, struct ht_revision revision,
		       const struct ht_instance_info *list, int count);

/**
 * Advances the clock to @now, which never goes back, and runs what is due. Call it before each
 * batch of events, so that a lease that expired while the process was paused is noticed before
 * anything is sent.
 */
void ht_core_advance(struct ht_core *core, ht_ms now);

/** Starts a planned stop; ops->stopped is called when it has finished. */
void ht_core_stop(struct ht_core *core);

/** Read-only views for status pages and tests. */
const struct ht_config *ht_core_config(const struct ht_core *core);
struct ht_counters *ht_core_counters(struct ht_core *core);
struct ht_registry *ht_core_registry(struct ht_core *core);
/**
 * Returns a known instance (from the platform's list, relays or a link) by id, or NULL. Borrowed
 * until the next call.
 */
const struct ht_instance_info *ht_core_instance(const struct ht_core *core, uint64_t id);
/** Calls @visit for each known instance except this one; @live is its state in the membership. */
void ht_core_each_instance(const struct ht_core *core,
			   void (*visit)(void *vctx, const struct ht_instance_info *info,
					 bool live),
			   void *vctx);

#endif
