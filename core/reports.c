#include "core/reports.h"

static struct ht_report *find_or_add(struct ht_reports *reports, uint32_t mark)
{
	struct ht_report *r;

	for (size_t i = 0; i < reports->count; i++)
		if (reports->list[i].mark == mark)
			return &reports->list[i];
	if (reports->count == HT_REPORTS_MAX)
		return NULL;
	r = &reports->list[reports->count++];
	*r = (struct ht_report){.mark = mark};
	if (reports->count == 1 && reports->notify)
		reports->notify(reports->ctx);
	return r;
}

void ht_reports_miss(struct ht_reports *reports, uint32_t mark)
{
	struct ht_report *r = find_or_add(reports, mark);

	if (r)
		r->misses++;
}

void ht_reports_error(struct ht_reports *reports, uint32_t mark)
{
	struct ht_report *r = find_or_add(reports, mark);

	if (r)
		r->errors++;
}
