#include "core/split.h"

#include "core/flow_table.h"

/* Services without a target do not take part in the draw. */
static uint64_t usable_weight(const struct ht_share *share)
{
	return share->service->count ? share->weight : 0;
}

struct ht_service *ht_split_main(const struct ht_route *route)
{
	const struct ht_share *best = NULL;

	for (size_t i = 0; i < route->share_count; i++) {
		const struct ht_share *share = &route->shares[i];

		if (share->weight && (!best || share->weight > best->weight))
			best = share;
	}
	return best ? best->service : NULL;
}

struct ht_service *ht_split_pick(const struct ht_route *route, struct ht_endpoint src)
{
	uint64_t total = 0, point;

	for (size_t i = 0; i < route->share_count; i++)
		total += usable_weight(&route->shares[i]);
	if (!total)
		return ht_split_main(route);
	point = ht_flow_hash(src, route->at) % total;
	for (size_t i = 0; i < route->share_count; i++) {
		uint64_t weight = usable_weight(&route->shares[i]);

		if (point < weight)
			return route->shares[i].service;
		point -= weight;
	}
	return NULL;
}

bool ht_split_includes(const struct ht_route *route, const struct ht_service *service)
{
	for (size_t i = 0; i < route->service_count; i++)
		if (route->shares[i].service == service)
			return true;
	return false;
}
