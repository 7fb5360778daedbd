#include "core/load.h"

#include "base/hash.h"
#include "core/load_internal.h"

#include <math.h>
#include <stdlib.h>

/* Reports that follow each other faster repeat the last rates: a request or two more in so short a
 * time would make a rate of hundreds per second. */
#define PERIOD_MIN_MS 50

#define MS_PER_S 1000.0

/* Weights of a response below and above the low estimate of a class, which thus stays near the
 * fastest tenth. The least of all would follow single responses that were seen in part only. */
#define LOW_FALL 0.02
#define LOW_RISE 0.002

/* A response in the same ms took half a step of the clock, as 0 stands for unknown. */
#define TOOK_MIN_MS 0.5

/* Estimates below this are as good as zero. */
#define NEGLIGIBLE 1e-3

void ht_load_params_default(struct ht_load_params *params)
{
	*params = (struct ht_load_params){
		.report_valid = 1200,
		.sum_valid = 1500,
		.view_valid = 1200,
		.smoothing = 1000,
		.outlier_factor = 4,
		.outlier_slack = 3,
	};
}

uint32_t ht_load_key(const char *name)
{
	return (uint32_t)ht_hash_str(name);
}

struct ht_load *ht_load_new(const struct ht_load_params *params)
{
	struct ht_load *load = calloc(1, sizeof(*load));

	if (!load)
		return NULL;
	load->scratch = calloc(1, sizeof(*load->scratch));
	if (!load->scratch) {
		free(load);
		return NULL;
	}
	load->params = *params;
	load->own_at = HT_NEVER;
	load->counted_at = HT_NEVER;
	load->view_at = HT_NEVER;
	ht_list_init(&load->members);
	return load;
}

void ht_load_free(struct ht_load *load)
{
	struct ht_list *pos, *tmp;

	if (!load)
		return;
	ht_list_for_each_safe (pos, tmp, &load->members)
		free(ht_container_of(pos, struct ht_load_member, node));
	free(load->scratch);
	free(load);
}

uint64_t ht_load_left_out(const struct ht_load *load)
{
	return load->left_out + load->scratch->left_out;
}

/*
 * Finds a slot for something new. Each use of a slot gives it a credit, and if all slots have some,
 * each use of something without a slot takes one, from each slot in turn. So a slot is lost to
 * others by what is used less than a slot's share of the uses that find none.
 */
static int replaceable(struct ht_load *load, uint32_t *credits, size_t count, uint32_t *hand)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (credits[i])
			continue;
		credits[i] = 1;
		return (int)i;
	}
	credits[*hand]--;
	*hand = (*hand + 1) % (uint32_t)count;
	load->left_out++;
	return -1;
}

static struct ht_load_counts *service_counts(struct ht_load *load, uint32_t service)
{
	size_t first = service % HT_LOAD_SLOTS;
	size_t i;
	int slot;

	for (i = first; i < first + HT_LOAD_WINDOW; i++) {
		if (load->keys[i] != service)
			continue;
		load->credits[i]++;
		return &load->counts[i];
	}
	slot = replaceable(load, load->credits + first, HT_LOAD_WINDOW, &load->hands[first]);
	if (slot < 0)
		return NULL;
	i = first + (size_t)slot;
	load->keys[i] = service;
	load->counts[i] = (struct ht_load_counts){0};
	return &load->counts[i];
}

static struct ht_load_class_counts *
class_counts(struct ht_load *load, struct ht_load_counts *counts, const struct ht_load_terms *terms)
{
	size_t i;
	int slot;

	for (i = 0; i < HT_LOAD_CLASS_SLOTS; i++) {
		if (!ht_load_terms_equal(&counts->classes[i].terms, terms))
			continue;
		counts->class_credits[i]++;
		return &counts->classes[i];
	}
	slot = replaceable(load, counts->class_credits, HT_LOAD_CLASS_SLOTS, &counts->class_hand);
	if (slot < 0)
		return NULL;
	counts->classes[slot] = (struct ht_load_class_counts){.terms = *terms};
	return &counts->classes[slot];
}

static struct ht_load_place_counts *place_counts(struct ht_load *load,
						 struct ht_load_counts *counts, uint32_t dc)
{
	size_t i;
	int slot;

	for (i = 0; i < HT_LOAD_PLACE_SLOTS; i++) {
		if (counts->places[i].dc != dc)
			continue;
		counts->place_credits[i]++;
		return &counts->places[i];
	}
	slot = replaceable(load, counts->place_credits, HT_LOAD_PLACE_SLOTS, &counts->place_hand);
	if (slot < 0)
		return NULL;
	counts->places[slot] = (struct ht_load_place_counts){.dc = dc};
	return &counts->places[slot];
}

void ht_load_count_opening(struct ht_load *load, uint32_t service,
			   const struct ht_load_terms *terms, bool refused)
{
	struct ht_load_counts *counts = service_counts(load, service);
	struct ht_load_class_counts *class = counts ? class_counts(load, counts, terms) : NULL;

	if (!class)
		return;
	class->opening.count++;
	class->refused.count += refused;
}

void ht_load_count_continued(struct ht_load *load, uint32_t service, uint32_t dc,
			     const struct ht_load_terms *terms)
{
	struct ht_load_counts *counts = service_counts(load, service);
	struct ht_load_place_counts *place = counts ? place_counts(load, counts, dc) : NULL;
	struct ht_load_class_counts *class = counts ? class_counts(load, counts, terms) : NULL;

	if (place)
		place->continued.count++;
	if (class)
		class->continued.count++;
}

static void note_took(struct ht_load_class_counts *class, double took)
{
	if (took < TOOK_MIN_MS)
		took = TOOK_MIN_MS;
	if (class->low_ms <= 0) {
		class->low_ms = took;
		return;
	}
	class->low_ms += (took < class->low_ms ? LOW_FALL : LOW_RISE) * (took - class->low_ms);
}

void ht_load_count_answer(struct ht_load *load, uint32_t service, uint32_t dc,
			  const struct ht_load_terms *terms, ht_ms took, bool error)
{
	struct ht_load_counts *counts = service_counts(load, service);
	struct ht_load_class_counts *class;
	struct ht_load_place_counts *place;

	if (!counts)
		return;
	place = place_counts(load, counts, dc);
	if (place) {
		place->answered.count++;
		place->shed.count += error;
	}
	/* An error takes none of the work. */
	class = error ? NULL : class_counts(load, counts, terms);
	if (class)
		note_took(class, (double)took);
}

static void top_insert(struct ht_load_target *list, size_t *count, size_t at,
		       const struct ht_load_target *target)
{
	size_t i = *count < HT_LOAD_TARGETS_MAX ? (*count)++ : HT_LOAD_TARGETS_MAX - 1;

	for (; i > at; i--)
		list[i] = list[i - 1];
	list[at] = *target;
}

void ht_load_top_add(struct ht_load_top *top, const struct ht_load_target *target)
{
	size_t i;

	for (i = top->open_count; i > 0 && top->by_open[i - 1].open < target->open;)
		i--;
	if (target->open && i < HT_LOAD_TARGETS_MAX)
		top_insert(top->by_open, &top->open_count, i, target);
	for (i = top->flows_count; i > 0 && top->by_flows[i - 1].flows < target->flows;)
		i--;
	if (target->flows && i < HT_LOAD_TARGETS_MAX)
		top_insert(top->by_flows, &top->flows_count, i, target);
}

static size_t take(const struct ht_load_target *target, struct ht_load_target *out, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (out[i].mark == target->mark)
			return count;
	if (count < HT_LOAD_TARGETS_MAX)
		out[count++] = *target;
	return count;
}

size_t ht_load_top_take(const struct ht_load_top *top, struct ht_load_target *out)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < HT_LOAD_TARGETS_MAX; i++) {
		if (i < top->open_count)
			count = take(&top->by_open[i], out, count);
		if (i < top->flows_count)
			count = take(&top->by_flows[i], out, count);
	}
	return count;
}

void ht_load_begin_report(struct ht_load *load)
{
	size_t i, j;

	load->top.open_count = load->top.flows_count = 0;
	for (i = 0; i < HT_LOAD_TABLE; i++)
		for (j = 0; j < HT_LOAD_PLACE_SLOTS; j++)
			load->counts[i].places[j].open.count = 0;
}

void ht_load_add_target(struct ht_load *load, uint32_t service, uint32_t dc,
			const struct ht_load_target *target)
{
	struct ht_load_place_counts *place;
	struct ht_load_counts *counts;

	if (!target->open && !target->flows)
		return;
	counts = service_counts(load, service);
	place = counts ? place_counts(load, counts, dc) : NULL;
	if (place)
		place->open.count += target->open;
	ht_load_top_add(&load->top, target);
}

/* A figure's part of the demand that decides what is kept. What was busy until now counts too, so
 * that it does not come and go with every report. */
static double recent(const struct ht_load_figure *f)
{
	return f->reported + f->smooth;
}

static double class_score(const struct ht_load_class_counts *class)
{
	return recent(&class->opening) + recent(&class->continued) +
	       NEGLIGIBLE * (class->low_ms > 0);
}

static double place_score(const struct ht_load_place_counts *place)
{
	return recent(&place->open) + recent(&place->answered) + recent(&place->continued);
}

static double service_score(const struct ht_load_counts *counts)
{
	double score = 0;
	size_t i;

	for (i = 0; i < HT_LOAD_CLASS_SLOTS; i++)
		score += recent(&counts->classes[i].opening);
	for (i = 0; i < HT_LOAD_PLACE_SLOTS; i++)
		score += place_score(&counts->places[i]);
	return score;
}

/* @times: turns the count into the figure to report; @weight: of this one in the estimate. */
static void settle(struct ht_load_figure *f, double times, double weight)
{
	f->reported = f->count * times;
	f->count = 0;
	f->smooth += weight * (f->reported - f->smooth);
	if (f->smooth < NEGLIGIBLE)
		f->smooth = 0;
}

/* Credits after a report: half, so that what is not used any more loses them. A slot with an
 * estimate keeps at least one, so that it is not replaced while others are free. */
static uint32_t kept_credit(uint32_t credit, bool in_use)
{
	credit /= 2;
	return credit ? credit : in_use;
}

static void settle_class(struct ht_load_class_counts *class, uint32_t *credit, double times,
			 double weight)
{
	settle(&class->opening, times, weight);
	settle(&class->refused, times, weight);
	settle(&class->continued, times, weight);
	*credit = kept_credit(*credit, recent(&class->opening) + recent(&class->continued) > 0);
	/* Without requests for several seconds, its response time is not known any more. */
	if (!*credit)
		class->low_ms = 0;
}

static void settle_place(struct ht_load_place_counts *place, uint32_t *credit, double times,
			 double weight)
{
	settle(&place->answered, times, weight);
	settle(&place->shed, times, weight);
	settle(&place->continued, times, weight);
	*credit = kept_credit(*credit, place_score(place) > 0);
}

static void settle_rates(struct ht_load_counts *counts, double times, double weight)
{
	size_t i;

	for (i = 0; i < HT_LOAD_CLASS_SLOTS; i++)
		settle_class(&counts->classes[i], &counts->class_credits[i], times, weight);
	for (i = 0; i < HT_LOAD_PLACE_SLOTS; i++)
		settle_place(&counts->places[i], &counts->place_credits[i], times, weight);
}

static void settle_open(struct ht_load_counts *counts, double weight)
{
	size_t i;

	for (i = 0; i < HT_LOAD_PLACE_SLOTS; i++)
		settle(&counts->places[i].open, 1, weight);
}

/* The first estimates are means of the time since the start: they have no earlier value that they
 * would have to move away from. */
static double next_weight(struct ht_load *load, ht_ms period)
{
	double weight = 1 - exp(-(double)period / (double)load->params.smoothing);

	load->weight += weight * (1 - load->weight);
	return weight / load->weight;
}

static void settle_all(struct ht_load *load, ht_ms now)
{
	bool first = load->counted_at == HT_NEVER;
	ht_ms period = first ? 0 : now - load->counted_at;
	bool full = first || period >= PERIOD_MIN_MS;
	double weight = period >= PERIOD_MIN_MS ? next_weight(load, period) : first;
	size_t i;

	for (i = 0; i < HT_LOAD_TABLE; i++) {
		struct ht_load_counts *counts = &load->counts[i];

		/* Free slots, which are nearly all of them, have neither counts nor estimates. */
		if (!load->credits[i])
			continue;
		settle_open(counts, weight);
		if (!full)
			continue;
		/* The counts of the first report are of an unknown time. */
		settle_rates(counts, first ? 0 : MS_PER_S / (double)period, weight);
		load->credits[i] = kept_credit(load->credits[i], service_score(counts) > 0);
		if (!load->credits[i])
			*counts = (struct ht_load_counts){0};
	}
	if (full)
		load->counted_at = now;
}

size_t ht_load_choose(const double *scores, size_t count, size_t max, size_t *chosen)
{
	size_t found, i, best;
	size_t j;

	for (found = 0; found < max; found++) {
		best = count;
		for (i = 0; i < count; i++) {
			for (j = 0; j < found && chosen[j] != i;)
				j++;
			if (j == found && scores[i] > 0 &&
			    (best == count || scores[i] > scores[best]))
				best = i;
		}
		if (best == count)
			break;
		chosen[found] = best;
	}
	return found;
}

static size_t count_positive(const double *scores, size_t count)
{
	size_t found = 0;

	while (count--)
		found += scores[count] > 0;
	return found;
}

static double figure(const struct ht_load_figure *f, bool smooth)
{
	return smooth ? f->smooth : f->reported;
}

/* Returns the number of classes left out. */
static size_t fill_classes(const struct ht_load_counts *counts, bool smooth, double times,
			   struct ht_load_service *out)
{
	double scores[HT_LOAD_CLASS_SLOTS];
	size_t chosen[HT_LOAD_CLASSES_MAX];
	size_t i;

	for (i = 0; i < HT_LOAD_CLASS_SLOTS; i++)
		scores[i] = class_score(&counts->classes[i]);
	out->class_count = ht_load_choose(scores, HT_LOAD_CLASS_SLOTS, HT_LOAD_CLASSES_MAX, chosen);
	for (i = 0; i < out->class_count; i++) {
		const struct ht_load_class_counts *class = &counts->classes[chosen[i]];

		out->classes[i] = (struct ht_load_demand){
			.terms = class->terms,
			.opening = times * figure(&class->opening, smooth),
			.refused = times * figure(&class->refused, smooth),
			.continued = times * figure(&class->continued, smooth),
			.work_ms = class->low_ms,
		};
	}
	return count_positive(scores, HT_LOAD_CLASS_SLOTS) - out->class_count;
}

/* Returns the number of data centres left out. */
static size_t fill_places(const struct ht_load_counts *counts, bool smooth, double times,
			  struct ht_load_service *out)
{
	double scores[HT_LOAD_PLACE_SLOTS];
	size_t chosen[HT_LOAD_DCS_MAX];
	size_t i;

	for (i = 0; i < HT_LOAD_PLACE_SLOTS; i++)
		scores[i] = place_score(&counts->places[i]);
	out->place_count = ht_load_choose(scores, HT_LOAD_PLACE_SLOTS, HT_LOAD_DCS_MAX, chosen);
	for (i = 0; i < out->place_count; i++) {
		const struct ht_load_place_counts *place = &counts->places[chosen[i]];

		out->places[i] = (struct ht_load_place){
			.dc = place->dc,
			.open = times * figure(&place->open, smooth),
			.answered = times * figure(&place->answered, smooth),
			.shed = times * figure(&place->shed, smooth),
			.continued = times * figure(&place->continued, smooth),
		};
	}
	return count_positive(scores, HT_LOAD_PLACE_SLOTS) - out->place_count;
}

double ht_load_place_demand(const struct ht_load_place *place)
{
	return place->open + place->answered + place->continued;
}

double ht_load_service_demand(const struct ht_load_service *service)
{
	double demand = 0;
	size_t i;

	for (i = 0; i < service->class_count; i++)
		demand += service->classes[i].opening;
	for (i = 0; i < service->place_count; i++)
		demand += ht_load_place_demand(&service->places[i]);
	return demand;
}

bool ht_load_own_estimate(const struct ht_load *load, uint32_t service, double times,
			  struct ht_load_service *out)
{
	size_t first = service % HT_LOAD_SLOTS;
	size_t i = first;

	*out = (struct ht_load_service){.service = service};
	while (i < first + HT_LOAD_WINDOW && load->keys[i] != service)
		i++;
	if (i == first + HT_LOAD_WINDOW)
		return false;
	fill_classes(&load->counts[i], true, times, out);
	fill_places(&load->counts[i], true, times, out);
	return out->class_count + out->place_count > 0;
}

static void fill_report(struct ht_load *load, struct ht_load_sum *out)
{
	double scores[HT_LOAD_TABLE];
	size_t chosen[HT_LOAD_SERVICES_MAX];
	size_t i;

	for (i = 0; i < HT_LOAD_TABLE; i++)
		scores[i] = load->credits[i] ? service_score(&load->counts[i]) : 0;
	out->service_count = ht_load_choose(scores, HT_LOAD_TABLE, HT_LOAD_SERVICES_MAX, chosen);
	load->left_out += count_positive(scores, HT_LOAD_TABLE) - out->service_count;
	for (i = 0; i < out->service_count; i++) {
		const struct ht_load_counts *counts = &load->counts[chosen[i]];

		out->services[i].service = load->keys[chosen[i]];
		load->left_out += fill_classes(counts, false, 1, &out->services[i]) +
				  fill_places(counts, false, 1, &out->services[i]);
	}
}

void ht_load_end_report(struct ht_load *load, struct ht_load_sum *out, ht_ms now)
{
	settle_all(load, now);
	*out = (struct ht_load_sum){.dc = load->params.dc, .instances = 1};
	fill_report(load, out);
	out->target_count = ht_load_top_take(&load->top, out->targets);
	load->own = *out;
	load->own_at = now;
}
