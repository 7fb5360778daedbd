/*
 * Admission of new flows while capacity is short: which share of each class of a service is
 * admitted, and to which data centres it goes. A pure function of the state of one service and its
 * previous plan; no I/O, no clock.
 */
#ifndef HT_CORE_ADMISSION_H
#define HT_CORE_ADMISSION_H

#include "core/load.h"

/** A data centre with targets of the service, instances that callers use, or both. */
struct ht_admission_dc {
	uint32_t dc;
	bool local;
	bool usable;  /**< has targets for new flows and is not suspected */
	double slots; /**< of its targets that accept new flows; cold ones count half */
	double open, answered, shed, continued; /**< see ht_load_dc */
	double opening[HT_LOAD_CLASSES_MAX];	/**< demand at its instances, by class */
};

struct ht_admission_input {
	size_t dc_count, class_count;
	struct ht_admission_dc dcs[HT_LOAD_DCS_MAX];
	struct ht_load_terms classes[HT_LOAD_CLASSES_MAX];
	double continued[HT_LOAD_CLASSES_MAX]; /**< requests on open flows, in all data centres */
	double work_ms[HT_LOAD_CLASSES_MAX]; /**< response time of the fastest requests; 0: unknown
					      */
	enum ht_load_source source;
};

/** Decisions in force for one service. Zero-initialise. */
struct ht_admission_plan {
	bool short_of_room;    /**< capacity is short */
	unsigned int contrary; /* consecutive updates that indicate the other state */
	double speed;	       /**< work_ms per ms and slot at full load; 0: unknown */
	double rate;	       /**< requests per second and slot at full load; 0: unknown */
	size_t dc_count, class_count;
	struct ht_load_terms classes[HT_LOAD_CLASSES_MAX];
	double admit[HT_LOAD_CLASSES_MAX]; /**< fraction of new flows admitted, 0 to 1 */
	bool delay[HT_LOAD_CLASSES_MAX];   /**< the rest is delayed, not refused */
	uint32_t dcs[HT_LOAD_DCS_MAX];
	double share[HT_LOAD_DCS_MAX]; /**< of the admitted new flows, by data centre; sum 1 */
};

/* Defaults of the parameters; also those of the settings of hickorytrestle-entry. */
#define HT_ADMISSION_BEGIN 1.5
#define HT_ADMISSION_END 1.0
#define HT_ADMISSION_SHED 0.05
#define HT_ADMISSION_UPDATES 2
#define HT_ADMISSION_DEPTH 3.0
#define HT_ADMISSION_HORIZON_MS 1000
#define HT_ADMISSION_TURN_MS 2000

struct ht_admission_params {
	double begin;	      /**< requests in flight per slot at which capacity is short */
	double end;	      /**< below which it is not any more */
	double shed;	      /**< share of responses that look like errors at which it is short */
	unsigned int updates; /**< consecutive updates before the state changes */
	double depth;	      /**< requests in flight per slot to aim for */
	ht_ms horizon;	      /**< in which a deviation from that is corrected */
	ht_ms turn;	      /**< in which the admitted share moves through all callers */
};

void ht_admission_params_default(struct ht_admission_params *params);

/** Updates @plan by the state of the service; to be called at each new state. */
void ht_admission_update(struct ht_admission_plan *plan, const struct ht_admission_input *input,
			 const struct ht_admission_params *params);

/**
 * Index of the class with @terms, of a plan that has classes. One that the plan does not list has
 * too little demand to matter; it is treated as the most urgent class listed that is not more
 * urgent than itself, or else as the least urgent one.
 */
size_t ht_admission_class(const struct ht_admission_plan *plan, const struct ht_load_terms *terms);

enum ht_admission {
	HT_ADMIT,
	HT_DELAY,  /**< a later copy of the opening packet may be admitted */
	HT_REFUSE, /**< cannot be served in time */
};

/**
 * Decides on an opening packet of a class. @caller: hash of the caller's address and of a value of
 * this instance's own, so that a caller's next try at another instance is not refused just because
 * the first one was; callers of equal class take turns. @copy: number of the copy, from 0; the last
 * one is never delayed. Clocks of instances may differ.
 */
enum ht_admission ht_admission_decide(const struct ht_admission_plan *plan,
				      const struct ht_admission_params *params,
				      const struct ht_load_terms *terms, uint64_t caller,
				      uint32_t copy, ht_ms now);

#endif
