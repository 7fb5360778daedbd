#include "base/counters.h"

struct counter_info {
	const char *name;
	const char *help;
};

#define HT_COUNTER(n, h) {.name = #n, .help = (h)},
static const struct counter_info infos[] = {
#include "base/counters.def"
};
#undef HT_COUNTER

const char *ht_counter_name(enum ht_counter id)
{
	return infos[id].name;
}

const char *ht_counter_help(enum ht_counter id)
{
	return infos[id].help;
}
