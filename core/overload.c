#include "core/overload.h"

#include "base/hash.h"

#include <math.h>

/* A target that has just started serves about half as much. */
#define COLD_SLOTS 0.5
/* A share of new flows has changed much if it differs by this. */
#define NOTIFY_CHANGE 0.1
/* Plans are remade about twice a second; the observer, which logs, is notified less often. */
#define NOTIFY_INTERVAL_MS 5000

/* The load that the last plan is based on is used for this long, as finding it anew visits all
 * targets of the service. */
#define BASIS_FRESH_MS 600

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

struct discount {
	const struct ht_overload *ov;
	const struct ht_service *service;
	struct ht_admission_input *in;
	double open[HT_LOAD_DCS_MAX]; /* before any discount */
};

static void discount_target(void *ctx, const struct ht_load_target *load)
{
	struct discount *d = ctx;
	const struct ht_target *t = ht_catalog_by_mark(d->ov->catalog, load->mark);
	struct ht_admission_dc *dc;
	double depth;

	if (!t || t->service != d->service || !t->eligible)
		return;
	depth = d->ov->admission.depth * t->slots;
	dc = find_dc(d->in, t->dc->key);
	if (dc && load->open > depth && load->open <= FIGURE_ERROR * d->open[dc - d->in->dcs])
		dc->open = fmax(dc->open - (load->open - depth), 0);
}

/*
 * Requests queued at a full target wait for it alone: what exceeds the intended depth there does
 * not count, or a few slow targets would make the others look full. A target with more requests
 * than its data centre, as far as figures are exact, is an error and must not hide the load.
 */
static void discount_full_targets(const struct ht_overload *ov, struct ht_admission_input *in,
				  const struct ht_service *s, ht_ms now)
{
	struct discount d = {.ov = ov, .service = s, .in = in};

	for (size_t i = 0; i < in->dc_count; i++)
		d.open[i] = in->dcs[i].open;
	ht_load_each_target(ov->load, discount_target, &d, now);
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

static void note_notified(struct ht_service *s, ht_ms now)
{
	s->basis.notified = s->plan;
	s->basis.notified_source = s->basis.load.source;
	s->basis.notified_at = now;
}

static bool differ(double a, double b)
{
	return fabs(a - b) >= NOTIFY_CHANGE;
}

static bool admission_differs(const struct ht_admission_plan *a, const struct ht_admission_plan *b,
			      size_t class)
{
	for (size_t c = 0; c < b->class_count; c++)
		if (ht_load_terms_equal(&a->classes[class], &b->classes[c]))
			return differ(a->admit[class], b->admit[c]) ||
			       a->delay[class] != b->delay[c];
	return a->admit[class] < 1;
}

static bool share_differs(const struct ht_admission_plan *a, const struct ht_admission_plan *b,
			  size_t dc)
{
	for (size_t i = 0; i < b->dc_count; i++)
		if (a->dcs[dc] == b->dcs[i])
			return differ(a->share[dc], b->share[i]);
	return differ(a->share[dc], 0);
}

static bool plan_differs(const struct ht_service *s)
{
	const struct ht_admission_plan *plan = &s->plan, *notified = &s->basis.notified;

	if (s->basis.load.source != s->basis.notified_source)
		return true;
	for (size_t c = 0; c < plan->class_count; c++)
		if (admission_differs(plan, notified, c))
			return true;
	for (size_t i = 0; i < plan->dc_count; i++)
		if (share_differs(plan, notified, i))
			return true;
	return false;
}

static void notify(const struct ht_overload *ov, struct ht_service *s, bool before, ht_ms now)
{
	if (s->plan.short_of_room != before) {
		note_notified(s, now);
		if (ov->changed)
			ov->changed(ov->ctx, s, now);
	} else if (s->plan.short_of_room && now - s->basis.notified_at >= NOTIFY_INTERVAL_MS &&
		   plan_differs(s)) {
		note_notified(s, now);
		if (ov->plan_changed)
			ov->plan_changed(ov->ctx, s, now);
	}
}

/* Keeps the basis of the last plan until the observer has been notified. */
static void end_plan(const struct ht_overload *ov, struct ht_service *s, ht_ms now)
{
	bool before = s->plan.short_of_room;

	s->plan = (struct ht_admission_plan){.short_of_room = false};
	notify(ov, s, before, now);
	s->basis = (struct ht_plan_basis){.made_at = 0};
}

static void update_service(void *ctx, struct ht_service *s)
{
	const struct update *u = ctx;
	struct ht_admission_input in;
	struct ht_load_state state;
	bool before = s->plan.short_of_room;

	if (!s->has_classes) {
		end_plan(u->ov, s, u->now);
		return;
	}
	if (fill_input(u, s, &state, &in))
		ht_admission_update(&s->plan, &in, &u->ov->admission);
	else
		s->plan = (struct ht_admission_plan){.rate = s->plan.rate, .speed = s->plan.speed};
	s->basis.load = in;
	s->basis.load_age = state.age;
	s->basis.made_at = u->now;
	notify(u->ov, s, before, u->now);
}

static void end_service(void *ctx, struct ht_service *s)
{
	const struct update *u = ctx;

	end_plan(u->ov, s, u->now);
}

void ht_overload_end_plans(const struct ht_overload *ov, ht_ms now)
{
	struct update u = {.ov = ov, .now = now};

	ht_catalog_each_planned_service(ov->catalog, end_service, &u);
}

void ht_overload_update(const struct ht_overload *ov, size_t alive, ht_ms now)
{
	struct update u = {.ov = ov, .alive = alive, .now = now};

	if (ov->load)
		ht_catalog_each_planned_service(ov->catalog, update_service, &u);
}

static void find_occupancy(void *ctx, struct ht_service *s)
{
	struct ht_admission_input in = s->basis.load;
	struct ht_load_state state;
	struct update *u = ctx;

	if (!s->has_classes)
		return;
	if ((!s->basis.made_at || u->now - s->basis.made_at > BASIS_FRESH_MS) &&
	    !fill_input(u, s, &state, &in))
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
		ht_catalog_each_planned_service(ov->catalog, find_occupancy, &u);
	return u.occupancy;
}

enum ht_admission ht_overload_admit(const struct ht_overload *ov, const struct ht_route *route,
				    const struct ht_service *service, struct ht_endpoint src,
				    uint32_t copy, ht_ms now)
{
	return ht_admission_decide(&service->plan, &ov->admission, &route->terms,
				   ht_hash_pair(src.ip, ov->seed), copy, now);
}
