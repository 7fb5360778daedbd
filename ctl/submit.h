/* Writes of a change to the platform. */
#ifndef HT_CTL_SUBMIT_H
#define HT_CTL_SUBMIT_H

#include "ctl/ctl.h"

/**
 * Writes the parts that @known does not name. A part's name is the hash of its content, so a
 * repeated write of it changes nothing.
 */
bool ht_ctl_submit_parts(struct ht_ctl *ctl, const struct ht_rules_parts *parts,
			 const struct ht_rules_parts *known, struct ht_err *err);

/**
 * Writes the head if its object has @object_version, and settles an unknown outcome. Returns
 * HT_CTL_DONE, HT_CTL_LOST, HT_CTL_UNKNOWN, or HT_CTL_FAILED when surely nothing was written.
 */
int ht_ctl_submit_head(struct ht_ctl *ctl, const struct ht_rules_head *head,
		       uint64_t object_version, struct ht_err *err);

#endif
