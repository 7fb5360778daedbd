/* Evidence against targets that other instances should hear: gathered for a moment, then sent. */
#ifndef HT_CORE_REPORTS_H
#define HT_CORE_REPORTS_H

#include <stddef.h>
#include <stdint.h>

/** Targets in one report; what does not fit is left out, as others see it too. */
#define HT_REPORTS_MAX 24

struct ht_report {
	uint32_t mark; /**< first mark of the target */
	uint32_t misses;
	uint32_t errors;
};

struct ht_reports {
	struct ht_report list[HT_REPORTS_MAX];
	size_t count;
	/** The first report after a while is there; set by the owner, may be NULL. */
	void (*pending)(void *ctx);
	void *ctx;
};

void ht_reports_miss(struct ht_reports *reports, uint32_t mark);
void ht_reports_error(struct ht_reports *reports, uint32_t mark);

#endif
