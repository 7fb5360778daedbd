/* Retry budget: one token bucket per service. */
#ifndef HT_CORE_RETRIES_H
#define HT_CORE_RETRIES_H

#include <stdbool.h>
#include <stdint.h>

struct ht_retries;

/** Each first attempt earns @ratio tokens; a bucket starts full and holds at most @burst. */
struct ht_retries *ht_retries_new(double ratio, double burst);
void ht_retries_free(struct ht_retries *retries);

void ht_retries_earn(struct ht_retries *retries, uint64_t service);
/** Takes one token; false when there is none. */
bool ht_retries_spend(struct ht_retries *retries, uint64_t service);

#endif
