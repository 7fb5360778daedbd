/* What instances report as in force, which may be newer than what a restored platform holds. */
#ifndef HT_CTL_INFORCE_H
#define HT_CTL_INFORCE_H

#include "ctl/fleet.h"

struct ht_ctl_in_force {
	uint64_t version; /**< highest version that any source reports; 0 when none does */
	bool complete;	  /**< an instance of each listed data centre has answered */
	struct ht_ctl_fleet fleet;
};

/**
 * Reads the objects status/DC and asks some instances of each data centre; all instances when one
 * reports a version above @head, the platform's. Clear @out in both cases.
 */
bool ht_ctl_in_force_read(struct ht_ctl *ctl, uint64_t head, struct ht_ctl_in_force *out,
			  struct ht_err *err);
void ht_ctl_in_force_clear(struct ht_ctl_in_force *out);

/** Adds a fault for each target of @next that an instance reports for another service. */
bool ht_ctl_in_force_check(const struct ht_ctl_in_force *in, const struct ht_config *next,
			   struct ht_rules_errors *errors);

#endif
