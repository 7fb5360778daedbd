#include "core/overload.h"

#include "base/hash.h"

#include <math.h>

/* A target that has just started serves about half as much. */
#define COLD_SLOTS 0.5

/* Figures of a view are rounded to 3 %, and those of targets and of data centres are scaled to all
 * instances separately. */
#define FIGURE_ERROR 1.25

static void add_target(void *ctx, struct ht_target *t)
{
	const struct ht_load_target seen = {
		.mark = t->marks[0].value, .open = t->waiting, .flows = t->flows};

	if (seen.open || seen.flows)
		ht_load_add_target(ctx, t->service->key, t->dc->key, &seen);
}

void ht_overload_add_targets(const struct ht_overload *ov)
{
	if (ov->load)
		ht_catalog_each_target(ov->catalog, add_target, ov->load);
}

static struct ht_admission_dc *find_dc(struct ht_admission_input *in, uint32_t key)
{
	for (size_t i = 0; i < in->dc_count; i++)
		if (in->dcs[i].dc == key)
			return &in->dcs[i];
	if (in->dc_count == HT_LOAD_DCS_MAX)
		return NULL;
	in->dcs[in->dc_count] = (struct ht_admission_dc){.dc = key};
	return &in->dcs[in->dc_count++];
}

/* Suspected targets count: full ones are suspected, too, and what dead ones do not serve shows in
 * the service rate. */
static void add_slots(struct ht_admission_input *in, const struct ht_service *s, ht_ms now)
{
	for (size_t i = 0; i < s->count; i++) {
		const struct ht_target *t = s->targets[i];
		struct ht_admission_dc *dc = find_dc(in, t->dc->key);

		if (!dc)
			continue;
		dc->slots += now < t->warmup_ends_at ? COLD_SLOTS * t->slots : t->slots;
		dc->local = t->dc->local;
		dc->usable = t->dc->local || !ht_evidence_suspected(&t->dc->evidence, now);
	}
}

static void add_load(struct ht_admission_input *in, const struct ht_load_state *state)
{
	in->source = state->source;
	in->class_count = state->class_count;
	for (size_t k = 0; k < state->class_count; k++) {
		in->classes[k] = state->classes[k];
		in->continued[k] = state->continued[k];
		in->work_ms[k] = state->work_ms[k];
	}
	for (size_t i = 0; i < state->dc_count; i++) {
		const struct ht_load_dc *from = &state->dcs[i];
		struct ht_admission_dc *dc = find_dc(in, from->dc);

		if (!dc)
			continue;
		dc->open = from->open;
		dc->answered = from->answered;
		dc->shed = from->shed;
		dc->continued = from->continued;
		for (size_t k = 0; k < state->class_count; k++)
			dc->opening[k] = from->opening[k];
	}
}

/*
 * Requests queued at a full target wait for it alone: what exceeds the intended depth there does
 * not count, or a few slow targets would make the others look full. A target with more requests
 * than its data centre, as far as figures are exact, is an error and must not hide the load.
 */
static void discount_full_targets(const struct ht_overload *ov, struct ht_admission_input *in,
				  const struct ht_service *s, ht_ms now)
{
	double open[HT_LOAD_DCS_MAX] = {0};

	for (size_t i = 0; i < in->dc_count; i++)
		open[i] = in->dcs[i].open;
	for (size_t i = 0; i < s->count; i++) {
		const struct ht_target *t = s->targets[i];
		double depth = ov->admission.depth * t->slots;
		struct ht_load_target load;
		struct ht_admission_dc *dc;

		if (!ht_load_target(ov->load, t->marks[0].value, &load, now) || load.open <= depth)
			continue;
		dc = find_dc(in, t->dc->key);
		if (dc && load.open <= FIGURE_ERROR * open[dc - in->dcs])
			dc->open = fmax(dc->open - (load.open - depth), 0);
	}
}

struct update {
	const struct ht_overload *ov;
	size_t alive;
	ht_ms now;
	double occupancy;
};

/* Services without a target for new flows have nothing to decide. */
static bool fill_input(const struct update *u, const struct ht_service *s,
		       struct ht_load_state *state, struct ht_admission_input *in)
{
	*in = (struct ht_admission_input){.dc_count = 0};
	add_slots(in, s, u->now);
	ht_load_get(u->ov->load, s->key, u->alive, state, u->now);
	add_load(in, state);
	if (state->source == HT_LOAD_SHARED)
		discount_full_targets(u->ov, in, s, u->now);
	return s->count;
}

static void update_service(void *ctx, struct ht_service *s)
{
	const struct update *u = ctx;
	struct ht_admission_input in;
	struct ht_load_state state;
	bool before = s->plan.short_of_room;

	if (fill_input(u, s, &state, &in))
		ht_admission_update(&s->plan, &in, &u->ov->admission);
	else
		s->plan = (struct ht_admission_plan){.rate = s->plan.rate};
	if (s->plan.short_of_room != before && u->ov->changed)
		u->ov->changed(u->ov->ctx, s, &in, u->now);
}

void ht_overload_update(const struct ht_overload *ov, size_t alive, ht_ms now)
{
	struct update u = {.ov = ov, .alive = alive, .now = now};

	if (ov->load)
		ht_catalog_each_classed_service(ov->catalog, update_service, &u);
}

static void find_occupancy(void *ctx, struct ht_service *s)
{
	struct ht_admission_input in;
	struct ht_load_state state;
	struct update *u = ctx;

	if (!fill_input(u, s, &state, &in))
		return;
	for (size_t i = 0; i < in.dc_count; i++) {
		const struct ht_admission_dc *dc = &in.dcs[i];

		if (dc->slots > 0 && dc->open / dc->slots > u->occupancy)
			u->occupancy = dc->open / dc->slots;
	}
}

double ht_overload_occupancy(const struct ht_overload *ov, size_t alive, ht_ms now)
{
	struct update u = {.ov = ov, .alive = alive, .now = now};

	if (ov->load)
		ht_catalog_each_classed_service(ov->catalog, find_occupancy, &u);
	return u.occupancy;
}

enum ht_admission ht_overload_admit(const struct ht_overload *ov, const struct ht_route *route,
				    const struct ht_service *service, struct ht_endpoint src,
				    uint32_t copy, ht_ms now)
{
	return ht_admission_decide(&service->plan, &ov->admission, &route->terms,
				   ht_hash_pair(src.ip, ov->seed), copy, now);
}
