/* A planned stop: the instance forwards for as long as packets still come, within its grace time.
 */
#ifndef HT_CORE_LEAVING_H
#define HT_CORE_LEAVING_H

#include "base/clock.h"

#include <stdbool.h>

struct ht_leaving_params {
	ht_ms notice; /**< the routers need this long to notice that the instance is leaving */
	ht_ms quiet;  /**< without a packet for this long nobody uses the instance any more */
	ht_ms grace;  /**< the process is killed this long after the order */
};

/**
 * Time at which a process that was told to stop at @asked, and whose last packet came at
 * @last_packet, ends. Later packets move it, up to the grace time.
 */
ht_ms ht_leaving_end(const struct ht_leaving_params *params, ht_ms asked, ht_ms last_packet);

#endif
