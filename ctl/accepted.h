/* The accepted configuration, as the platform holds it. */
#ifndef HT_CTL_ACCEPTED_H
#define HT_CTL_ACCEPTED_H

#include "ctl/ctl.h"

struct ht_ctl_accepted {
	bool exists;
	uint64_t object_version; /**< of config/head at the platform, for a conditional update */
	struct ht_rules_head head;
	char *text;	       /**< "" when nothing was accepted yet */
	struct ht_config *cfg; /**< NULL when nothing was accepted yet */
	ht_ms now;	       /**< the platform's wall clock, or this machine's */
};

/** Reads the head and its parts; clear @out in both cases. */
bool ht_ctl_accepted_read(struct ht_ctl *ctl, struct ht_ctl_accepted *out, struct ht_err *err);
void ht_ctl_accepted_clear(struct ht_ctl_accepted *acc);

#endif
