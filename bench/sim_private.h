/* Events of the simulation; only its own files include this header. */
#ifndef HT_BENCH_SIM_PRIVATE_H
#define HT_BENCH_SIM_PRIVATE_H

#include "bench/sim.h"

#include <glib.h>

/* Bytes of the length field in front of each frame. */
#define FRAME_HEADER 4

enum event_kind {
	EV_TIMER,
	EV_PEER,
	EV_TARGET_DONE,
	EV_TARGET_STATE,
	EV_PLATFORM,
	EV_STOPPED,
	EV_CALL,
};

struct sim_event {
	ht_ms due;
	uint64_t order;
	enum event_kind kind;
	int node, from;
	uint64_t incarnation; /* of the node; an event for an earlier process is dropped */
	uint64_t id;	      /* request, target or argument */
	uint64_t target;
	enum ht_target_result result;
	enum ht_platform_call call;
	bool ran;
	GBytes *message; /* packed */
};

/* Prints the reason and aborts. */
void sim_fatal(const char *what);
/* Returns @p; aborts when it is NULL. */
void *sim_checked(void *p);

static inline bool sim_before(const struct sim_event *a, const struct sim_event *b)
{
	return a->due < b->due || (a->due == b->due && a->order < b->order);
}

/* Adds an event to the heap; its order is set here. */
void sim_push(struct sim *s, struct sim_event ev);
bool sim_is_data(const Ht__PeerMsg *msg);
struct ht_instance_info sim_info_of(const struct sim_node *n);

#endif
