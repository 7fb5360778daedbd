#include "core/rotation.h"

/* Each instance greets another data centre once a second; a few of these may be lost. */
#define OTHERS_SILENT_MS 7000

/* A view that has been proven within this time shows that the platform can be reached from here. */
#define VIEW_FRESH_MS 4000

static bool takes_flows(void *ctx, const char *dc)
{
	return ht_catalog_dc_eligible(ctx, dc);
}

/*
 * If no instance of another data centre is heard, either all are down, or this data centre is cut
 * off, usually from the platform, too. The former is certain only if the view has been proven when
 * they had already been silent for long; a single instance that is ready by mistake makes the
 * routers send it and its neighbours all callers of the data centre.
 */
static bool others_serve(const struct ht_catalog *cat, const struct ht_neighbours *neighbours,
			 ht_ms view_age, ht_ms now)
{
	ht_ms heard = ht_neighbours_heard_elsewhere(neighbours, takes_flows, (void *)cat);

	if (view_age == HT_NEVER || view_age > VIEW_FRESH_MS)
		return true;
	return now - view_age - heard < OTHERS_SILENT_MS;
}

enum ht_rotation ht_rotation_decide(const struct ht_catalog *cat,
				    const struct ht_neighbours *neighbours, ht_ms view_age,
				    ht_ms now)
{
	if (ht_catalog_is_stranded(cat, now))
		return HT_ROTATION_STRANDED;
	if (ht_catalog_is_evacuated(cat) && others_serve(cat, neighbours, view_age, now))
		return HT_ROTATION_EVACUATED;
	return HT_ROTATION_IN;
}
