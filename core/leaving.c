#include "core/leaving.h"

/* Part of the grace time that is reserved for the exit of the process. */
#define END_MARGIN_MS 1000

ht_ms ht_leaving_end(const struct ht_leaving_params *params, ht_ms asked, ht_ms last_packet)
{
	ht_ms end = asked + params->notice, latest = asked + params->grace - END_MARGIN_MS;

	if (last_packet + params->quiet > end)
		end = last_packet + params->quiet;
	return end < latest ? end : latest;
}
