#include "core/leaving.h"

/* The process needs a part of its grace time to end. */
#define END_MARGIN_MS 1000

ht_ms ht_leaving_end(const struct ht_leaving_params *params, ht_ms asked, ht_ms last_packet)
{
	ht_ms end = asked + params->notice, latest = asked + params->grace - END_MARGIN_MS;

	if (last_packet + params->quiet > end)
		end = last_packet + params->quiet;
	return end < latest ? end : latest;
}
