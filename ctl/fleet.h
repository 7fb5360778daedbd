/* The entry instances of a deployment, asked over their admin addresses. */
#ifndef HT_CTL_FLEET_H
#define HT_CTL_FLEET_H

#include "ctl/ctl.h"

/** One instance and its answer. */
struct ht_ctl_member {
	char name[HT_PLATFORM_NAME];
	char dc[HT_PLATFORM_NAME];
	char address[HT_ADDR_TEXT];
	json_t *reply; /**< NULL when not reached */
	char error[160];
};

struct ht_ctl_fleet {
	struct ht_ctl_member *items;
	size_t count;
	size_t missed; /**< members without an answer */
};

/** Takes the addresses of --admin, or the platform's list. */
bool ht_ctl_fleet_list(struct ht_ctl *ctl, struct ht_ctl_fleet *fleet, struct ht_err *err);

/** Keeps at most @per_dc members of each data centre, chosen at random. */
void ht_ctl_fleet_sample(struct ht_ctl_fleet *fleet, unsigned int per_dc);

/** Asks all members for @path, a bounded number at a time; logs event 5006 for each one missed. */
bool ht_ctl_fleet_get(struct ht_ctl *ctl, struct ht_ctl_fleet *fleet, const char *path,
		      struct ht_err *err);

/** Prints one line for each member that was not reached. */
void ht_ctl_fleet_print_missed(struct ht_ctl *ctl, const struct ht_ctl_fleet *fleet);

/** Their list as JSON: [{"name","data_centre","address","reason"}]. */
json_t *ht_ctl_fleet_missed_json(const struct ht_ctl_fleet *fleet);

void ht_ctl_fleet_clear(struct ht_ctl_fleet *fleet);

#endif
