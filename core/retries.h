/* Retry budget: a token bucket per service limits retries to a share of the first attempts. */
#ifndef HT_CORE_RETRIES_H
#define HT_CORE_RETRIES_H

#include <stdbool.h>
#include <stdint.h>

struct ht_retry_budget;

/**
 * Each first attempt earns @ratio tokens; a bucket starts full and holds at most @burst. NULL when
 * out of memory.
 */
struct ht_retry_budget *ht_retry_budget_new(double ratio, double burst);
void ht_retry_budget_free(struct ht_retry_budget *budget);

/** Adds the tokens of one first attempt. */
void ht_retry_budget_earn(struct ht_retry_budget *budget, uint64_t service);
/** Takes the token for one retry; false when there is none. */
bool ht_retry_budget_spend(struct ht_retry_budget *budget, uint64_t service);

#endif
