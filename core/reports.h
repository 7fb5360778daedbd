/* Misses and errors of targets, collected for a short time and then sent to other instances. */
#ifndef HT_CORE_REPORTS_H
#define HT_CORE_REPORTS_H

#include <stddef.h>
#include <stdint.h>

/** Targets in one batch; more are left out, as the other instances observe them as well. */
#define HT_REPORTS_MAX 24

struct ht_report {
	uint32_t mark; /**< the first of the target's marks */
	uint32_t misses;
	uint32_t errors;
};

struct ht_reports {
	struct ht_report list[HT_REPORTS_MAX];
	size_t count;
	/** Called when the first report is added to an empty list; set by the owner, may be NULL.
	 */
	void (*notify)(void *ctx);
	void *ctx;
};

void ht_reports_miss(struct ht_reports *reports, uint32_t mark);
void ht_reports_error(struct ht_reports *reports, uint32_t mark);

#endif
