/*
 * Callers, instances and targets in one process, without network, on a clock that is advanced. The
 * instances are the real core (catalog, steering, evidence); callers and targets behave as the
 * users' pages say: copies of opening packets after 200 and 600 ms, data sent again after 200 ms
 * and twice as long each time, slots and a queue at each target, which sheds what does not fit.
 */
#ifndef HT_BENCH_FLOWSIM_H
#define HT_BENCH_FLOWSIM_H

#include "core/steering.h"

/** How instances come to their belief in targets. */
enum flowsim_belief {
	FLOWSIM_PROBE,	/**< a probe of each target once a second, nothing else */
	FLOWSIM_OWN,	/**< what each instance sees itself */
	FLOWSIM_SHARED, /**< the same, and what others report */
	FLOWSIM_BELIEFS
};

enum flowsim_fault {
	FLOWSIM_NONE,
	FLOWSIM_DEAD,	 /**< nothing comes from it; probes fail */
	FLOWSIM_HANGS,	 /**< flows open, requests are never answered; probes succeed */
	FLOWSIM_ERRORS,	 /**< requests are answered by errors at once; probes succeed */
	FLOWSIM_SLOW,	 /**< work takes five times as long; probes succeed */
	FLOWSIM_FLAPS,	 /**< dead and well by turns of a second */
	FLOWSIM_ILL_ONLY /**< probes fail, but it works well */
};

struct flowsim_params {
	size_t instances, targets;
	enum flowsim_belief belief;
	double load;		     /**< requests a second, in parts of what all targets can do */
	double work_ms;		     /**< mean time of a request in a slot */
	double spread;		     /**< work varies by this part of its mean either way */
	ht_ms deadline;		     /**< of a request */
	unsigned int tries;	     /**< flows that a caller opens for a request at most */
	double speed_min, speed_max; /**< of targets, evenly spread */
	ht_ms one_way;		     /**< between callers and instances or targets */
	double error_share;	     /**< of the requests at a target with FLOWSIM_ERRORS */
	ht_ms cold;		     /**< a target that starts is half as fast for this long */
	uint64_t seed;
};

void flowsim_params_default(struct flowsim_params *params);

struct flowsim;

struct flowsim *flowsim_new(const struct flowsim_params *params);
void flowsim_free(struct flowsim *sim);

/** Plays @ms more. */
void flowsim_run(struct flowsim *sim, ht_ms ms);
/** From now on the first @count targets have @fault. */
void flowsim_set_fault(struct flowsim *sim, size_t count, enum flowsim_fault fault);
/** The first @count targets start anew, cold. */
void flowsim_restart(struct flowsim *sim, size_t count);
/** Changes the load, in parts of what all targets can do. */
void flowsim_set_load(struct flowsim *sim, double load);

/** Sums since the start or the last flowsim_clear(). */
struct flowsim_sums {
	uint64_t asked;	   /**< requests that callers began */
	uint64_t served;   /**< answered within the deadline */
	uint64_t failed;   /**< given up: by the deadline, or as all tries ended */
	uint64_t shed;	   /**< tries that a full target turned away */
	uint64_t errors;   /**< answered to callers */
	uint64_t lost;	   /**< flows placed at a target with a fault */
	uint64_t deferred; /**< opening packets that instances dropped as targets were busy */
	double capacity;   /**< requests that all targets without a fault could have served */
	double doubted;	   /**< part of the time that targets without a fault were left out */
	double detected;   /**< ms from the fault until an instance left its target out, mean */
	double missed;	   /**< part of instances and faulty targets where that never happened */
	double wait_p99;   /**< ms until the answer, of those served */
};

void flowsim_sums(const struct flowsim *sim, struct flowsim_sums *sums);
void flowsim_clear(struct flowsim *sim);

#endif
