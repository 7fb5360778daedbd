#include "core/load_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

/* Larger figures are as absurd as this one, which can still be summed. */
#define FIGURE_MAX 1e9
#define AGE_MAX_MS 3600000

/* Reports left out of the mean that a figure is compared to: an eighth, and two at least. */
#define TRIM_DIVISOR 8
#define TRIM_MIN ((size_t)2)

static const size_t demand_fields[] = {
	offsetof(struct ht_load_demand, opening),
	offsetof(struct ht_load_demand, refused),
	offsetof(struct ht_load_demand, continued),
};

static const size_t place_fields[] = {
	offsetof(struct ht_load_place, open),
	offsetof(struct ht_load_place, answered),
	offsetof(struct ht_load_place, shed),
	offsetof(struct ht_load_place, continued),
};

static double clean_figure(double value)
{
	if (!isfinite(value) || value < 0)
		return 0;
	return fmin(value, FIGURE_MAX);
}

static size_t clean_count(size_t count, size_t max)
{
	return count < max ? count : max;
}

static void clean_demand(struct ht_load_demand *d)
{
	d->opening = clean_figure(d->opening);
	d->refused = fmin(clean_figure(d->refused), d->opening);
	d->continued = clean_figure(d->continued);
	d->work_ms = clean_figure(d->work_ms);
}

static void clean_place(struct ht_load_place *p)
{
	p->open = clean_figure(p->open);
	p->answered = clean_figure(p->answered);
	p->shed = fmin(clean_figure(p->shed), p->answered);
	p->continued = clean_figure(p->continued);
}

void ht_load_clean(struct ht_load_sum *sum)
{
	size_t i, j;

	sum->age = sum->age < 0 ? 0 : sum->age > AGE_MAX_MS ? AGE_MAX_MS : sum->age;
	sum->service_count = clean_count(sum->service_count, HT_LOAD_SERVICES_MAX);
	sum->target_count = clean_count(sum->target_count, HT_LOAD_TARGETS_MAX);
	for (i = 0; i < sum->service_count; i++) {
		struct ht_load_service *s = &sum->services[i];

		s->class_count = clean_count(s->class_count, HT_LOAD_CLASSES_MAX);
		s->place_count = clean_count(s->place_count, HT_LOAD_DCS_MAX);
		for (j = 0; j < s->class_count; j++)
			clean_demand(&s->classes[j]);
		for (j = 0; j < s->place_count; j++)
			clean_place(&s->places[j]);
	}
}

static bool counts_now(const struct ht_load *load, const struct ht_load_member *m, ht_ms now)
{
	return ht_load_recent(m->at, load->params.report_valid - m->report.age, now);
}

static struct ht_load_member *find_member(const struct ht_load *load, uint64_t instance)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &load->members) {
		struct ht_load_member *m = ht_container_of(pos, struct ht_load_member, node);

		if (m->instance == instance)
			return m;
	}
	return NULL;
}

/* The entry of the member; otherwise that of the longest ago if it has expired or there is no room
 * for another one, or a new one. */
static struct ht_load_member *find_or_add(struct ht_load *load, uint64_t instance, ht_ms now)
{
	struct ht_load_member *first =
		ht_container_of(load->members.next, struct ht_load_member, node);
	struct ht_load_member *m = find_member(load, instance);

	if (!m && load->member_count &&
	    (load->member_count == HT_LOAD_MEMBERS_MAX || !counts_now(load, first, now)))
		m = first;
	if (m) {
		ht_list_del(&m->node);
	} else {
		m = calloc(1, sizeof(*m));
		if (!m)
			return NULL;
		load->member_count++;
	}
	m->instance = instance;
	ht_list_add_tail(&load->members, &m->node);
	return m;
}

void ht_load_put_report(struct ht_load *load, uint64_t instance, const struct ht_load_sum *report,
			ht_ms now)
{
	struct ht_load_member *m;

	if (report->dc != load->params.dc)
		return;
	m = find_or_add(load, instance, now);
	/* Without memory the report is missed, like one that was lost on its way. */
	if (!m)
		return;
	m->report = *report;
	m->at = now;
	ht_load_clean(&m->report);
}

size_t ht_load_member_count(const struct ht_load *load, ht_ms now)
{
	struct ht_list *pos;
	size_t count = 0;

	ht_list_for_each (pos, &load->members)
		count += counts_now(load, ht_container_of(pos, struct ht_load_member, node), now);
	return count;
}

/* Lists the reports that count. Returns the age of the oldest. */
static ht_ms gather(const struct ht_load *load, struct ht_load_scratch *s, ht_ms now)
{
	struct ht_list *pos;
	ht_ms age = 0;

	s->count = 0;
	s->own = ht_load_recent(load->own_at, load->params.report_valid, now);
	if (s->own) {
		s->reports[s->count++] = &load->own;
		age = now - load->own_at;
	}
	ht_list_for_each (pos, &load->members) {
		const struct ht_load_member *m = ht_container_of(pos, struct ht_load_member, node);

		if (!counts_now(load, m, now))
			continue;
		s->reports[s->count++] = &m->report;
		if (m->report.age + now - m->at > age)
			age = m->report.age + now - m->at;
	}
	return age;
}

static int compare_figures(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static double median(struct ht_load_scratch *s)
{
	memcpy(s->sorted, s->values, s->count * sizeof(s->values[0]));
	qsort(s->sorted, s->count, sizeof(s->sorted[0]), compare_figures);
	return s->sorted[(s->count - 1) / 2];
}

/* Mean of the sorted values without the largest ones. */
static double trimmed_mean(const struct ht_load_scratch *s)
{
	size_t trimmed = s->count / TRIM_DIVISOR > TRIM_MIN ? s->count / TRIM_DIVISOR : TRIM_MIN;
	double sum = 0;
	size_t i;

	for (i = 0; i + trimmed < s->count; i++)
		sum += s->sorted[i];
	return i ? sum / (double)i : 0;
}

/* What a report may state for the figure. If less than one request in two steps comes to each
 * instance, the median is 0 or varies between 0 and 1 request, and the mean says more. */
static double expected_figure(struct ht_load_scratch *s)
{
	double middle = median(s);

	return fmax(middle, trimmed_mean(s));
}

/* The most that a single report's figure may be, by the values of all of them. */
static double figure_limit(const struct ht_load_params *p, struct ht_load_scratch *s)
{
	double least = s->values[0], most = s->values[0], expected;
	size_t i;

	for (i = 1; i < s->count; i++) {
		least = fmin(least, s->values[i]);
		most = fmax(most, s->values[i]);
	}
	/* No median gives a lower limit than the least value. */
	if (most <= p->outlier_factor * least + p->outlier_slack)
		return most;
	if (s->count > 2)
		expected = expected_figure(s);
	else
		expected = s->own ? s->values[0] : least;
	return p->outlier_factor * expected + p->outlier_slack;
}

static double capped_sum(const struct ht_load_params *p, struct ht_load_scratch *s)
{
	double limit = figure_limit(p, s);
	double sum = 0;
	size_t i;

	for (i = 0; i < s->count; i++)
		sum += fmin(s->values[i], limit);
	return sum;
}

/* Sums the figures at @fields of the parts into @out. */
static void sum_fields(const struct ht_load_params *p, struct ht_load_scratch *s, double times,
		       const size_t *fields, size_t field_count, void *out)
{
	size_t f, i;

	for (f = 0; f < field_count; f++) {
		for (i = 0; i < s->count; i++)
			s->values[i] = s->parts[i] ? ht_load_field(s->parts[i], fields[f]) : 0;
		*(double *)((char *)out + fields[f]) = times * capped_sum(p, s);
	}
}

/* The lowest of the response times, unless it is as far below the others as an outlier is above. */
static double least_work(const struct ht_load_params *p, struct ht_load_scratch *s)
{
	size_t all = s->count, known = 0, i;
	double least;

	for (i = 0; i < all; i++) {
		const struct ht_load_demand *d = s->parts[i];

		if (d && d->work_ms > 0)
			s->values[known++] = d->work_ms;
	}
	if (!known)
		return 0;
	s->count = known;
	least = median(s) / p->outlier_factor;
	s->count = all;
	return fmax(s->sorted[0], known > 2 ? least : 0);
}

const struct ht_load_demand *ht_load_find_class(const struct ht_load_service *service,
						const struct ht_load_terms *terms)
{
	size_t i;

	for (i = 0; service && i < service->class_count; i++)
		if (ht_load_terms_equal(&service->classes[i].terms, terms))
			return &service->classes[i];
	return NULL;
}

const struct ht_load_place *ht_load_find_place(const struct ht_load_service *service, uint32_t dc)
{
	size_t i;

	for (i = 0; service && i < service->place_count; i++)
		if (service->places[i].dc == dc)
			return &service->places[i];
	return NULL;
}

const struct ht_load_service *ht_load_find(const struct ht_load_sum *sum, uint32_t service)
{
	size_t i;

	for (i = 0; i < sum->service_count; i++)
		if (sum->services[i].service == service)
			return &sum->services[i];
	return NULL;
}

/* Returns the number of different classes; those beyond @max are left out. */
static size_t list_classes(struct ht_load_scratch *s, struct ht_load_demand *out, size_t max)
{
	size_t count = 0;
	size_t i, j, k;

	for (i = 0; i < s->count; i++) {
		const struct ht_load_service *service = s->services[i];

		for (j = 0; service && j < service->class_count; j++) {
			const struct ht_load_terms *terms = &service->classes[j].terms;

			for (k = 0; k < count && !ht_load_terms_equal(&out[k].terms, terms);)
				k++;
			if (k < count)
				continue;
			if (count == max)
				s->left_out++;
			else
				out[count++] = (struct ht_load_demand){.terms = *terms};
		}
	}
	return count;
}

static size_t list_places(struct ht_load_scratch *s, struct ht_load_place *out, size_t max)
{
	size_t count = 0;
	size_t i, j, k;

	for (i = 0; i < s->count; i++) {
		const struct ht_load_service *service = s->services[i];

		for (j = 0; service && j < service->place_count; j++) {
			for (k = 0; k < count && out[k].dc != service->places[j].dc;)
				k++;
			if (k < count)
				continue;
			if (count == max)
				s->left_out++;
			else
				out[count++] = (struct ht_load_place){.dc = service->places[j].dc};
		}
	}
	return count;
}

static size_t list_services(struct ht_load_scratch *s)
{
	size_t count = 0;
	size_t i, j, k;

	for (i = 0; i < s->count; i++) {
		for (j = 0; j < s->reports[i]->service_count; j++) {
			uint32_t key = s->reports[i]->services[j].service;

			for (k = 0; k < count && s->sums[k].service != key;)
				k++;
			if (k < count)
				continue;
			if (count == HT_LOAD_SUM_SERVICES)
				s->left_out++;
			else
				s->sums[count++] = (struct ht_load_service){.service = key};
		}
	}
	return count;
}

static void sum_classes(const struct ht_load_params *p, struct ht_load_scratch *s, double times,
			struct ht_load_service *out)
{
	struct ht_load_demand all[HT_LOAD_SUM_CLASSES];
	double scores[HT_LOAD_SUM_CLASSES];
	size_t chosen[HT_LOAD_CLASSES_MAX];
	size_t count = list_classes(s, all, HT_LOAD_SUM_CLASSES);
	size_t i, j;

	for (i = 0; i < count; i++) {
		for (j = 0; j < s->count; j++)
			s->parts[j] = ht_load_find_class(s->services[j], &all[i].terms);
		sum_fields(p, s, times, demand_fields, ARRAY_SIZE(demand_fields), &all[i]);
		all[i].refused = fmin(all[i].refused, all[i].opening);
		all[i].work_ms = least_work(p, s);
		/* A class without requests is listed last, for its work. */
		scores[i] = all[i].opening + all[i].continued + 1 / FIGURE_MAX;
	}
	out->class_count = ht_load_choose(scores, count, HT_LOAD_CLASSES_MAX, chosen);
	s->left_out += count - out->class_count;
	for (i = 0; i < out->class_count; i++)
		out->classes[i] = all[chosen[i]];
}

static void sum_places(const struct ht_load_params *p, struct ht_load_scratch *s, double times,
		       struct ht_load_service *out)
{
	struct ht_load_place all[HT_LOAD_SUM_PLACES];
	double scores[HT_LOAD_SUM_PLACES];
	size_t chosen[HT_LOAD_DCS_MAX];
	size_t count = list_places(s, all, HT_LOAD_SUM_PLACES);
	size_t i, j;

	for (i = 0; i < count; i++) {
		for (j = 0; j < s->count; j++)
			s->parts[j] = ht_load_find_place(s->services[j], all[i].dc);
		sum_fields(p, s, times, place_fields, ARRAY_SIZE(place_fields), &all[i]);
		all[i].shed = fmin(all[i].shed, all[i].answered);
		scores[i] = ht_load_place_demand(&all[i]) + 1 / FIGURE_MAX;
	}
	out->place_count = ht_load_choose(scores, count, HT_LOAD_DCS_MAX, chosen);
	s->left_out += count - out->place_count;
	for (i = 0; i < out->place_count; i++)
		out->places[i] = all[chosen[i]];
}

static void sum_services(const struct ht_load_params *p, struct ht_load_scratch *s, double times,
			 struct ht_load_sum *out)
{
	double scores[HT_LOAD_SUM_SERVICES];
	size_t chosen[HT_LOAD_SERVICES_MAX];
	size_t count = list_services(s);
	size_t i, j;

	for (i = 0; i < count; i++) {
		for (j = 0; j < s->count; j++)
			s->services[j] = ht_load_find(s->reports[j], s->sums[i].service);
		sum_classes(p, s, times, &s->sums[i]);
		sum_places(p, s, times, &s->sums[i]);
		scores[i] = ht_load_service_demand(&s->sums[i]) + 1 / FIGURE_MAX;
	}
	out->service_count = ht_load_choose(scores, count, HT_LOAD_SERVICES_MAX, chosen);
	s->left_out += count - out->service_count;
	for (i = 0; i < out->service_count; i++)
		out->services[i] = s->sums[chosen[i]];
}

static int compare_marks(const void *a, const void *b)
{
	uint32_t x = ((const struct ht_load_target *)a)->mark;
	uint32_t y = ((const struct ht_load_target *)b)->mark;

	return (x > y) - (x < y);
}

/* The most that a report may state of a target, by the largest figures of all reports. A report
 * that does not list a target says nothing about it, so targets cannot be compared one by one. */
static void target_limits(const struct ht_load_params *p, struct ht_load_scratch *s,
			  struct ht_load_target *limit)
{
	size_t i, j;

	for (i = 0; i < s->count; i++) {
		s->values[i] = 0;
		for (j = 0; j < s->reports[i]->target_count; j++)
			s->values[i] = fmax(s->values[i], s->reports[i]->targets[j].open);
	}
	limit->open = (uint32_t)fmin(figure_limit(p, s), FIGURE_MAX);
	for (i = 0; i < s->count; i++) {
		s->values[i] = 0;
		for (j = 0; j < s->reports[i]->target_count; j++)
			s->values[i] = fmax(s->values[i], s->reports[i]->targets[j].flows);
	}
	limit->flows = (uint32_t)fmin(figure_limit(p, s), FIGURE_MAX);
}

static size_t list_targets(struct ht_load_scratch *s, const struct ht_load_target *limit)
{
	size_t count = 0;
	size_t i, j;

	for (i = 0; i < s->count; i++) {
		for (j = 0; j < s->reports[i]->target_count; j++) {
			struct ht_load_target *t = &s->targets[count++];

			*t = s->reports[i]->targets[j];
			t->open = t->open < limit->open ? t->open : limit->open;
			t->flows = t->flows < limit->flows ? t->flows : limit->flows;
		}
	}
	qsort(s->targets, count, sizeof(s->targets[0]), compare_marks);
	return count;
}

static uint32_t scaled(double value, double times)
{
	return (uint32_t)fmin(lround(value * times), FIGURE_MAX);
}

static void sum_targets(const struct ht_load_params *p, struct ht_load_scratch *s, double times,
			struct ht_load_sum *out)
{
	struct ht_load_top top = {0};
	struct ht_load_target limit = {0};
	size_t count, i, end;

	target_limits(p, s, &limit);
	count = list_targets(s, &limit);
	for (i = 0; i < count; i = end) {
		double open = 0, flows = 0;

		for (end = i; end < count && s->targets[end].mark == s->targets[i].mark; end++) {
			open += s->targets[end].open;
			flows += s->targets[end].flows;
		}
		ht_load_top_add(&top, &(struct ht_load_target){
					      .mark = s->targets[i].mark,
					      .open = scaled(open, times),
					      .flows = scaled(flows, times),
				      });
	}
	out->target_count = ht_load_top_take(&top, out->targets);
}

void ht_load_sum_members(const struct ht_load *load, size_t alive, struct ht_load_sum *out,
			 ht_ms now)
{
	struct ht_load_scratch *s = load->scratch;
	double times;

	*out = (struct ht_load_sum){.dc = load->params.dc};
	out->age = gather(load, s, now);
	if (!s->count)
		return;
	/* Reports show that a member is live even if it is not known yet, as after a restart. */
	if (alive < s->count)
		alive = s->count;
	out->instances = (uint32_t)alive;
	times = (double)alive / (double)s->count;
	sum_services(&load->params, s, times, out);
	sum_targets(&load->params, s, times, out);
}

/* The entry for a data centre: its own, a free one, or that of the longest ago. */
static size_t dc_slot(struct ht_load *load, uint32_t dc)
{
	size_t last = 0;
	size_t i;

	for (i = 0; i < load->dc_count; i++) {
		if (load->dcs[i].dc == dc)
			return i;
		if (load->dc_at[i] < load->dc_at[last])
			last = i;
	}
	return load->dc_count < ARRAY_SIZE(load->dcs) ? load->dc_count++ : last;
}

void ht_load_put_dc(struct ht_load *load, const struct ht_load_sum *sum, ht_ms now)
{
	size_t i;

	if (sum->dc == load->params.dc || sum->age > load->params.sum_valid)
		return;
	i = dc_slot(load, sum->dc);
	load->dcs[i] = *sum;
	load->dc_at[i] = now;
	ht_load_clean(&load->dcs[i]);
}

void ht_load_make_view(const struct ht_load *load, size_t alive, struct ht_load_view *out,
		       ht_ms now)
{
	size_t i;

	out->count = 1;
	ht_load_sum_members(load, alive, &out->dcs[0], now);
	for (i = 0; i < load->dc_count; i++) {
		if (!ht_load_recent(load->dc_at[i], load->params.sum_valid, now))
			continue;
		out->dcs[out->count] = load->dcs[i];
		out->dcs[out->count++].age += now - load->dc_at[i];
	}
}
