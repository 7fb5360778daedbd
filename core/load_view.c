#include "core/load_internal.h"

#include <math.h>
#include <stdlib.h>

/* Classes and data centres that all parts of a view can list. */
#define VIEW_CLASSES ((size_t)HT_LOAD_DCS_MAX * HT_LOAD_CLASSES_MAX)
#define VIEW_DCS ((size_t)HT_LOAD_DCS_MAX * (HT_LOAD_DCS_MAX + 1))

/** What one reporting data centre says about a service. */
struct part {
	uint32_t dc;
	const struct ht_load_service *service;
};

static const struct ht_load_place empty_place;

static int compare_marks(const void *a, const void *b)
{
	uint32_t x = ((const struct ht_load_target *)a)->mark;
	uint32_t y = ((const struct ht_load_target *)b)->mark;

	return (x > y) - (x < y);
}

static uint32_t add_bounded(uint32_t a, uint32_t b)
{
	return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

/* Lists the targets of all sums by mark, each once. */
static void list_targets(struct ht_load *load)
{
	struct ht_load_target *list = load->listed;
	size_t count = 0, kept = 0;
	size_t i, j;

	for (i = 0; i < load->view.count; i++)
		for (j = 0; j < load->view.dcs[i].target_count; j++)
			list[count++] = load->view.dcs[i].targets[j];
	qsort(list, count, sizeof(list[0]), compare_marks);
	for (i = 0; i < count; i++) {
		if (!kept || list[kept - 1].mark != list[i].mark) {
			list[kept++] = list[i];
			continue;
		}
		list[kept - 1].open = add_bounded(list[kept - 1].open, list[i].open);
		list[kept - 1].flows = add_bounded(list[kept - 1].flows, list[i].flows);
	}
	load->listed_count = kept;
}

static bool lists_dc(const struct ht_load_view *view, uint32_t dc)
{
	size_t i;

	for (i = 0; i < view->count; i++)
		if (view->dcs[i].dc == dc)
			return true;
	return false;
}

void ht_load_set_view(struct ht_load *load, const struct ht_load_view *view, ht_ms now)
{
	ht_ms oldest = load->params.report_valid + load->params.sum_valid;
	struct ht_load_view *own = &load->view;
	struct ht_load_view next = {0};
	size_t i;

	for (i = 0; i < view->count && i < HT_LOAD_DCS_MAX; i++) {
		if (view->dcs[i].age > oldest || lists_dc(&next, view->dcs[i].dc))
			continue;
		next.dcs[next.count] = view->dcs[i];
		ht_load_clean(&next.dcs[next.count++]);
	}
	/* Without the own data centre it is not the view of a collector that has any reports. */
	if (!lists_dc(&next, load->params.dc))
		return;
	*own = next;
	load->view_at = now;
	list_targets(load);
}

static bool view_valid(const struct ht_load *load, ht_ms now)
{
	return ht_load_recent(load->view_at, load->params.view_valid, now);
}

ht_ms ht_load_view_age(const struct ht_load *load, ht_ms now)
{
	return view_valid(load, now) ? now - load->view_at : HT_NEVER;
}

bool ht_load_target(const struct ht_load *load, uint32_t mark, struct ht_load_target *out,
		    ht_ms now)
{
	struct ht_load_target key = {.mark = mark};
	const struct ht_load_target *found;

	if (!view_valid(load, now) || !load->listed_count)
		return false;
	found = bsearch(&key, load->listed, load->listed_count, sizeof(key), compare_marks);
	if (found)
		*out = *found;
	return found;
}

void ht_load_each_target(const struct ht_load *load,
			 void (*visit)(void *ctx, const struct ht_load_target *target), void *ctx,
			 ht_ms now)
{
	size_t i;

	for (i = 0; view_valid(load, now) && i < load->listed_count; i++)
		visit(ctx, &load->listed[i]);
}

static const struct ht_load_place *place_of(const struct ht_load_service *service, uint32_t dc)
{
	const struct ht_load_place *place = ht_load_find_place(service, dc);

	return place ? place : &empty_place;
}

/* Lists the classes of all parts, those of equal terms as one, and keeps those with the most
 * demand. */
static void merge_classes(const struct part *parts, size_t count, struct ht_load_state *out)
{
	struct ht_load_demand all[VIEW_CLASSES];
	double scores[VIEW_CLASSES];
	size_t chosen[HT_LOAD_CLASSES_MAX];
	size_t found = 0;
	size_t i, j, k;

	for (i = 0; i < count; i++) {
		for (j = 0; j < parts[i].service->class_count; j++) {
			const struct ht_load_demand *d = &parts[i].service->classes[j];

			for (k = 0; k < found && !ht_load_terms_equal(&all[k].terms, &d->terms);)
				k++;
			if (k == found) {
				all[found] = *d;
				scores[found++] = d->opening + d->continued + 1e-9;
				continue;
			}
			scores[k] += d->opening + d->continued;
			all[k].continued += d->continued;
			if (d->work_ms > 0 && (all[k].work_ms <= 0 || d->work_ms < all[k].work_ms))
				all[k].work_ms = d->work_ms;
		}
	}
	out->class_count = ht_load_choose(scores, found, HT_LOAD_CLASSES_MAX, chosen);
	for (i = 0; i < out->class_count; i++) {
		out->classes[i] = all[chosen[i]].terms;
		out->continued[i] = all[chosen[i]].continued;
		out->work_ms[i] = all[chosen[i]].work_ms;
	}
}

static size_t find_or_add(uint32_t *dcs, double *scores, size_t *count, uint32_t dc)
{
	size_t i;

	for (i = 0; i < *count; i++)
		if (dcs[i] == dc)
			return i;
	dcs[*count] = dc;
	scores[(*count)++] = 1e-9;
	return i;
}

/* Lists the data centres with instances or targets and keeps the own one and the busiest. */
static void merge_dcs(const struct part *parts, size_t count, uint32_t own,
		      struct ht_load_state *out)
{
	uint32_t dcs[VIEW_DCS];
	double scores[VIEW_DCS];
	size_t chosen[HT_LOAD_DCS_MAX];
	size_t found = 0;
	size_t i, j;

	for (i = 0; i < count; i++) {
		const struct ht_load_service *s = parts[i].service;
		size_t at = find_or_add(dcs, scores, &found, parts[i].dc);

		for (j = 0; j < s->class_count; j++)
			scores[at] += s->classes[j].opening;
		for (j = 0; j < s->place_count; j++) {
			at = find_or_add(dcs, scores, &found, s->places[j].dc);
			scores[at] += ht_load_place_demand(&s->places[j]);
		}
	}
	for (i = 0; i < found; i++)
		if (dcs[i] == own)
			scores[i] = INFINITY;
	out->dc_count = ht_load_choose(scores, found, HT_LOAD_DCS_MAX, chosen);
	for (i = 0; i < out->dc_count; i++)
		out->dcs[i].dc = dcs[chosen[i]];
}

static void add_demand(struct ht_load_state *out, struct ht_load_dc *dc,
		       const struct ht_load_service *s)
{
	size_t i, j;

	for (i = 0; i < out->class_count; i++) {
		for (j = 0; j < s->class_count; j++) {
			if (!ht_load_terms_equal(&out->classes[i], &s->classes[j].terms))
				continue;
			dc->opening[i] += s->classes[j].opening;
			dc->refused[i] += s->classes[j].refused;
		}
	}
}

static void merge(const struct part *parts, size_t count, uint32_t own, struct ht_load_state *out)
{
	size_t i, j;

	merge_classes(parts, count, out);
	merge_dcs(parts, count, own, out);
	for (i = 0; i < out->dc_count; i++) {
		struct ht_load_dc *dc = &out->dcs[i];

		for (j = 0; j < count; j++) {
			const struct ht_load_place *place = place_of(parts[j].service, dc->dc);

			dc->open += place->open;
			dc->answered += place->answered;
			dc->shed += place->shed;
			dc->continued += place->continued;
			if (parts[j].dc == dc->dc)
				add_demand(out, dc, parts[j].service);
		}
	}
}

/*
 * Limits what a view says to what the own counts make possible. Other instances of the own data
 * centre see about the same as this one, and so, of targets elsewhere, do the instances there of
 * their own targets. Demand elsewhere cannot be compared: it may be a burst of that data centre.
 */
static void cap(const struct ht_load *load, const struct ht_load_service *own, size_t alive,
		size_t reporting, struct ht_load_state *out)
{
	const struct ht_load_params *p = &load->params;
	const struct ht_load_place *local = place_of(own, p->dc);
	double slack = p->outlier_slack * (double)alive;
	double times = p->outlier_factor * (double)(alive * reporting);
	size_t i, j;

	for (i = 0; i < out->dc_count; i++) {
		struct ht_load_dc *dc = &out->dcs[i];
		const struct ht_load_place *o = place_of(own, dc->dc);

		dc->open = fmin(dc->open, times * fmax(o->open, local->open) + slack);
		dc->continued =
			fmin(dc->continued, times * fmax(o->continued, local->continued) + slack);
		/* Few responses would look like a low rate at full load, many like a high one. */
		dc->answered =
			fmin(dc->answered, times * fmax(o->answered, local->answered) + slack);
		dc->answered =
			fmax(dc->answered, o->answered * (double)alive / p->outlier_factor - slack);
		dc->shed = fmin(dc->shed, times * fmax(o->shed, local->shed) + slack);
		for (j = 0; dc->dc == p->dc && j < out->class_count; j++) {
			const struct ht_load_demand *d = ht_load_find_class(own, &out->classes[j]);
			double opening = d ? d->opening : 0;

			dc->opening[j] = fmin(dc->opening[j],
					      p->outlier_factor * opening * (double)alive + slack);
			dc->refused[j] = fmin(dc->refused[j], dc->opening[j]);
		}
	}
}

/* Lists what the view says about the service. Returns the number of reporting data centres. */
static size_t view_parts(const struct ht_load *load, uint32_t service, struct part *parts,
			 ht_ms *age)
{
	size_t count = 0;
	size_t i;

	*age = 0;
	for (i = 0; i < load->view.count; i++) {
		const struct ht_load_sum *sum = &load->view.dcs[i];
		const struct ht_load_service *s = ht_load_find(sum, service);

		if (!s)
			continue;
		parts[count++] = (struct part){.dc = sum->dc, .service = s};
		if (sum->age > *age)
			*age = sum->age;
	}
	return count;
}

void ht_load_get(const struct ht_load *load, uint32_t service, size_t alive,
		 struct ht_load_state *out, ht_ms now)
{
	struct part parts[HT_LOAD_DCS_MAX];
	struct ht_load_service own;
	size_t count = 0;
	ht_ms age;

	*out = (struct ht_load_state){.source = HT_LOAD_OWN, .age = HT_NEVER};
	if (!alive)
		alive = 1;
	if (view_valid(load, now))
		count = view_parts(load, service, parts, &age);
	if (count) {
		out->source = HT_LOAD_SHARED;
		out->age = age + now - load->view_at;
		ht_load_own_estimate(load, service, 1, &own);
		merge(parts, count, load->params.dc, out);
		cap(load, &own, alive, load->view.count, out);
		return;
	}
	if (load->own_at != HT_NEVER)
		out->age = now - load->own_at;
	if (!ht_load_own_estimate(load, service, (double)alive, &own))
		return;
	parts[0] = (struct part){.dc = load->params.dc, .service = &own};
	merge(parts, 1, load->params.dc, out);
}
