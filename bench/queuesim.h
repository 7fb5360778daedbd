/*
 * Callers, instances and targets of one service in several data centres, as queues on a simulated
 * clock, without network and steering, to compare ways to admit and place requests. Callers send
 * copies of an opening packet after 200 and 600 ms, and try a request on three flows at most;
 * targets have slots and a queue, and reset what does not fit. Rates are per second.
 */
#ifndef HT_BENCH_QUEUESIM_H
#define HT_BENCH_QUEUESIM_H

#include "core/admission.h"

enum queuesim_policy {
	QUEUESIM_BEFORE, /**< all is admitted; the cost of other data centres is a fixed factor */
	QUEUESIM_PLAN,	 /**< core/admission.h by a state that is shared among the instances */
	QUEUESIM_ORACLE, /**< sees each queue at the time of each packet */
	QUEUESIM_POLICIES
};

struct queuesim_class {
	struct ht_load_terms terms;
	double work_ms; /**< mean time in a slot; it varies by half of that either way */
};

struct queuesim_params {
	enum queuesim_policy policy;
	size_t dcs, class_count;
	size_t targets, instances; /**< per data centre */
	size_t callers;		   /**< addresses per data centre */
	struct queuesim_class classes[HT_LOAD_CLASSES_MAX];
	ht_ms interval;	 /**< between states */
	ht_ms age;	 /**< of a state when it takes effect; at most one interval */
	ht_ms path;	 /**< one way, within a data centre */
	ht_ms long_path; /**< one way, between data centres */
	ht_ms detection; /**< until instances know that a target is lost, or back */
	ht_ms cold;	 /**< a target that starts is half as fast for this long */
	uint64_t seed;
};

/** Three data centres; an urgent class and a second one whose callers wait longer. */
void queuesim_params_default(struct queuesim_params *params);

struct queuesim;

struct queuesim *queuesim_new(const struct queuesim_params *params);
void queuesim_free(struct queuesim *sim);
void queuesim_run(struct queuesim *sim, ht_ms ms);

/** Demand for a class in a data centre, in parts of what its targets can do of that class alone. */
void queuesim_set_load(struct queuesim *sim, size_t dc, size_t class, double load);
/** The same on flows that are open already, to the targets of the data centre. */
void queuesim_set_continued(struct queuesim *sim, size_t dc, size_t class, double load);
/** Targets @first to @first + @count - 1 of the data centre do not respond any more. */
void queuesim_stop_targets(struct queuesim *sim, size_t dc, size_t first, size_t count);
/** They start anew, cold. */
void queuesim_start_targets(struct queuesim *sim, size_t dc, size_t first, size_t count);
/** They get no new flows. */
void queuesim_drain_targets(struct queuesim *sim, size_t dc, size_t first, size_t count);
/** Their speed, of which 1 is normal. */
void queuesim_set_speed(struct queuesim *sim, size_t dc, size_t first, size_t count, double speed);

/** Plan in force at the instances of a data centre. */
const struct ht_admission_plan *queuesim_plan(const struct queuesim *sim, size_t dc);

/** Of the requests of one class at one data centre, or of their sum. */
struct queuesim_sums {
	uint64_t asked;	    /**< requests begun */
	uint64_t served;    /**< answered within the limit */
	uint64_t in_aim;    /**< answered within the aim */
	uint64_t turned;    /**< given up as all tries were turned away, the last by an instance */
	uint64_t refused;   /**< tries that an instance reset */
	uint64_t delayed;   /**< opening packets that an instance dropped */
	uint64_t shed;	    /**< tries that a full target reset */
	uint64_t elsewhere; /**< tries placed in another data centre */
};

/** Sums since the start or the last queuesim_clear(). @dc: all if it is dcs. */
struct queuesim_sums queuesim_sums(const struct queuesim *sim, size_t dc, size_t class);
void queuesim_clear(struct queuesim *sim);

#endif
