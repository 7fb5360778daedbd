/* Routes whose new flows are split between several services. */
#ifndef HT_CORE_SPLIT_H
#define HT_CORE_SPLIT_H

#include "core/catalog.h"

/**
 * Service for the new flow of @src, in proportion to the weights. All instances that know the same
 * configuration pick the same one, so retransmitted opening packets stay with their service. A
 * service without a usable target leaves its share to the others; if none has one, the service of
 * the largest weight is returned. NULL if no service of the route takes new flows.
 */
struct ht_service *ht_split_pick(const struct ht_route *route, struct ht_endpoint src);

/** True if the route leads to @service, or did so before a change of the configuration. */
bool ht_split_includes(const struct ht_route *route, const struct ht_service *service);

/** The service with the largest weight, or NULL if no service of the route takes new flows. */
struct ht_service *ht_split_main(const struct ht_route *route);

#endif
