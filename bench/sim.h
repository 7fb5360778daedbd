/*
 * Many cores in one process over an in-memory network, with model targets and a model platform.
 * Time is simulated: sim_run() takes events in the order of their time. Used by the measurements
 * and the property tests; C++ may include it.
 */
#ifndef HT_BENCH_SIM_H
#define HT_BENCH_SIM_H

#include "core/core.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SIM_NODES 128
#define SIM_PLATFORM_CALLS 4
#define SIM_KINDS 17 /* numbers of the kinds of PeerMsg, 2 to 16 */

enum sim_target_mode {
	SIM_TARGET_UP,
	SIM_TARGET_DOWN,    /**< no connection; requests under way are lost */
	SIM_TARGET_LOSING,  /**< connected, but each request is lost after it started */
	SIM_TARGET_REFUSING /**< refuses each request before it starts */
};

struct sim_target {
	uint64_t id;
	char name[HT_NAME_MAX];
	char service[HT_NAME_MAX];
	enum sim_target_mode mode;
	double speed;
	uint32_t slots;
	uint32_t in_flight; /**< requests that run now, from all homes */
	uint32_t peak;
	uint64_t started;
};

struct sim_node {
	struct sim *sim;
	int index;
	uint64_t id;
	char name[HT_NAME_MAX];
	char dc[HT_NAME_MAX];
	double size;
	struct ht_core *core;
	uint64_t incarnation;
	ht_ms timer;
	bool listed, stopped;
	bool no_platform;			   /**< its calls to the platform fail */
	uint64_t sent_bytes, received_bytes;	   /**< control messages with frame headers */
	uint64_t sent_messages, received_messages; /**< control messages */
	uint64_t data_sent_bytes;
	uint64_t kind_bytes[SIM_KINDS]; /**< both directions, by number of the kind */
};

struct sim_hooks {
	void *ctx;
	void (*answered)(void *ctx, struct sim_node *node, uint64_t handle,
			 const struct ht_answer *answer);
	/** A request starts at a target; returns how long it runs there, in ms. */
	ht_ms (*started)(void *ctx, struct sim_node *node, struct sim_target *target,
			 const struct ht_target_request *req);
	/** Called at a time set by sim_call_at(). */
	void (*call)(void *ctx, uint64_t arg);
};

struct sim {
	ht_ms now;
	uint64_t seed;
	ht_ms latency;
	double loss;  /**< share of peer messages that are lost */
	ht_ms jitter; /**< further latency, evenly spread; a link keeps its order */
	ht_ms last_due[SIM_NODES][SIM_NODES];
	int node_count;
	struct sim_node nodes[SIM_NODES];
	bool cut[SIM_NODES][SIM_NODES]; /**< messages from [a] to [b] are lost */
	struct sim_target *targets;
	size_t target_count;
	uint32_t *target_index; /**< open addressing; index + 1 */
	size_t target_index_size;
	struct ht_config *head;
	bool platform_down;
	uint64_t revision;
	int ghosts; /**< instances of other data centres that are only in the list */
	uint64_t platform_calls[SIM_PLATFORM_CALLS];
	struct ht_core_params params; /**< limits for nodes started from now on */
	struct sim_hooks hooks;
	struct sim_event *heap;
	size_t heap_count, heap_capacity;
	uint64_t sequence;
};

#ifdef __cplusplus
extern "C" {
#endif

struct sim *sim_new(uint64_t seed);
void sim_free(struct sim *s);

/** Evenly distributed 64-bit numbers from the seed. */
uint64_t sim_random(struct sim *s);
/** Evenly distributed in [0, 1). */
double sim_uniform(struct sim *s);

/** Adds an instance to the list of the platform; it runs after sim_start(). Returns its index. */
int sim_add(struct sim *s, const char *name, const char *dc, double size);
void sim_start(struct sim *s, int node);
/** Ends the process; with @proof the peers see it at once. */
void sim_kill(struct sim *s, int node, bool proof);
/** Publishes the platform's list of the nodes that are marked as listed. */
void sim_publish(struct sim *s);

/** Parses @text as version @version and makes it the platform's head. Aborts on a fault. */
void sim_apply(struct sim *s, uint64_t version, const char *text);
/** The target with this id; NULL when no configuration has named it yet. */
struct sim_target *sim_target(struct sim *s, uint64_t id);
struct sim_target *sim_target_by_name(struct sim *s, const char *name);
/** Changes how a target behaves and tells the instances that have it open. */
void sim_target_mode(struct sim *s, struct sim_target *t, enum sim_target_mode mode);

void sim_request(struct sim *s, int node, uint64_t handle, const struct ht_request *req);
/** Calls hooks.call with @arg at @due. */
void sim_call_at(struct sim *s, ht_ms due, uint64_t arg);
/** Takes events until @end and sets the time to it. */
void sim_run(struct sim *s, ht_ms end);

/** Bytes that the simulation itself holds, for measurements of the cores' memory. */
size_t sim_own_bytes(const struct sim *s);

/** Sum of a counter over all running instances. */
uint64_t sim_counter(struct sim *s, enum ht_counter id);

#ifdef __cplusplus
}
#endif

#endif
