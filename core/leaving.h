/* Planned shutdown: the instance forwards packets while they still arrive, within its grace time.
 */
#ifndef HT_CORE_LEAVING_H
#define HT_CORE_LEAVING_H

#include "base/clock.h"

#include <stdbool.h>

struct ht_leaving_params {
	ht_ms notice; /**< time that the routers need to notice the shutdown */
	ht_ms quiet;  /**< without packets for this long, the instance is no longer used */
	ht_ms grace;  /**< the process is killed this long after the request to stop */
};

/**
 * Time at which to exit after a request to stop at @asked, if the last packet came at @last_packet.
 * Later packets delay it, at most until shortly before the end of the grace time.
 */
ht_ms ht_leaving_end(const struct ht_leaving_params *params, ht_ms asked, ht_ms last_packet);

#endif
