#include "core/explain.h"

#include "core/split.h"
#include "core/steering_internal.h"

#include <stdlib.h>
#include <string.h>

/* A target with counts as the decision would find them; the original stays as it is. */
struct copied_target {
	struct ht_target target;
	struct ht_warmup permits;
	struct ht_target *original;
};

/* Copy of a service and its targets. */
struct scene {
	const struct ht_steering *st;
	ht_ms now;
	struct ht_steering_explanation *out;
	const struct ht_service *original;
	struct ht_service service;
	struct ht_target **list;
	struct copied_target *targets;
	struct ht_target *chosen; /* NULL: none */
	struct ht_explained_target chosen_candidate;
};

static bool copy_service(struct scene *sc, const struct ht_service *s)
{
	sc->original = s;
	sc->service = *s;
	/* One more, as the result for 0 may be NULL. */
	sc->list = calloc(s->count + 1, sizeof(*sc->list));
	sc->targets = calloc(s->count + 1, sizeof(*sc->targets));
	if (!sc->list || !sc->targets)
		return false;
	for (size_t i = 0; i < s->count; i++) {
		struct copied_target *c = &sc->targets[i];

		c->original = s->targets[i];
		c->target = *c->original;
		c->target.service = &sc->service;
		if (c->target.flows_while_cold)
			c->permits = *c->target.flows_while_cold;
		c->target.flows_while_cold = &c->permits;
		sc->list[i] = &c->target;
	}
	sc->service.targets = sc->list;
	return true;
}

static struct ht_target *copy_of(struct scene *sc, const struct ht_target *t)
{
	if (!t->eligible || t->service != sc->original)
		return NULL;
	return sc->list[t->service_index];
}

static struct ht_target *original_of(struct ht_target *t)
{
	return t ? ht_container_of(t, struct copied_target, target)->original : NULL;
}

/* Takes the flow out of the counts of the copies, as the decision does first with inactive ones. */
static void uncount(void *ctx, const struct ht_tracked_flow *f)
{
	struct scene *sc = ctx;
	struct ht_target *t = copy_of(sc, f->target);

	if (!t)
		return;
	if (f->counted)
		ht_target_count_open(t, -1);
	if (f->waiting)
		t->waiting--;
}

struct search {
	const struct ht_tracked_flow *flow;
	bool found;
};

static void find_flow(void *ctx, const struct ht_tracked_flow *f)
{
	struct search *s = ctx;

	s->found |= f == s->flow;
}

static void set_counts(struct scene *sc, const struct ht_tracked_flow *replaced)
{
	const struct ht_flow_timeouts *timeouts = &sc->st->params.timeouts;
	struct search search = {.flow = replaced};
	struct ht_target *t;

	ht_flow_table_each_inactive(&sc->st->flows, timeouts, sc->now, uncount, sc);
	if (!replaced)
		return;
	ht_flow_table_each_inactive(&sc->st->flows, timeouts, sc->now, find_flow, &search);
	if (!search.found)
		uncount(sc, replaced);
	t = copy_of(sc, replaced->target);
	if (t)
		t->flows--;
}

static bool is_possible(const struct ht_placing_candidate *c)
{
	return c->fit == HT_PLACING_FITS && c->share > 0;
}

static bool precedes(const struct ht_placing_candidate *a, const struct ht_placing_candidate *b)
{
	if (is_possible(a) != is_possible(b))
		return is_possible(a);
	return a->cost < b->cost;
}

/* Inserts a candidate by its cost; the worst one is left out if there are too many. */
static void insert(struct ht_steering_explanation *out, const struct ht_explained_target *c)
{
	size_t i = out->candidate_count;

	while (i > 0 && precedes(&c->candidate, &out->candidates[i - 1].candidate))
		i--;
	if (i == HT_EXPLAIN_CANDIDATES_MAX)
		return;
	if (out->candidate_count < HT_EXPLAIN_CANDIDATES_MAX)
		out->candidate_count++;
	memmove(&out->candidates[i + 1], &out->candidates[i],
		(out->candidate_count - 1 - i) * sizeof(*c));
	out->candidates[i] = *c;
}

static void add_candidate(void *ctx, const struct ht_placing_candidate *candidate)
{
	struct scene *sc = ctx;
	const struct ht_load *load = sc->st->params.overload.load;
	struct ht_explained_target c = {.candidate = *candidate};

	c.candidate.target = original_of(candidate->target);
	if (load)
		c.listed =
			ht_load_target(load, c.candidate.target->marks[0].value, &c.load, sc->now);
	if (c.candidate.target == sc->chosen)
		sc->chosen_candidate = c;
	sc->out->examined++;
	insert(sc->out, &c);
}

/* By a plan, chance may choose a target that is not among the cheapest ones. */
static void show_chosen(struct scene *sc)
{
	struct ht_steering_explanation *out = sc->out;

	for (size_t i = 0; i < out->candidate_count; i++)
		if (out->candidates[i].candidate.target == sc->chosen)
			return;
	out->candidates[out->candidate_count - 1] = sc->chosen_candidate;
}

static void explain_plan(const struct ht_steering *st, struct ht_steering_explanation *out,
			 ht_ms now)
{
	const struct ht_admission_plan *plan = &out->service->plan;
	struct ht_load_state state;
	size_t class;

	out->has_class = plan->class_count;
	if (out->has_class) {
		class = ht_admission_class(plan, &out->route->terms);
		out->admit = plan->admit[class];
		out->delay = plan->delay[class];
	}
	out->has_load = st->params.overload.load;
	if (!out->has_load)
		return;
	ht_load_get(st->params.overload.load, out->service->key, st->instance_count, &state, now);
	out->source = state.source;
	out->load_age = state.age;
}

static void list_candidates(struct scene *sc)
{
	struct ht_placing placing = sc->st->placing;

	sc->out->planned = ht_placing_list(&placing, &sc->service, sc->now, add_candidate, sc);
	if (sc->chosen)
		show_chosen(sc);
}

static struct ht_steering_decision decide(struct scene *sc, const struct ht_packet *pkt)
{
	struct ht_placing placing = sc->st->placing;
	struct ht_steering_decision d;

	if (ht_steering_turns_away(sc->st, sc->out->route, &sc->service, pkt, sc->now, &d))
		return d;
	sc->chosen = original_of(ht_placing_choose(&placing, &sc->service, NULL, 0, sc->now));
	return ht_steering_judge_target(sc->st, &sc->service, pkt, sc->chosen, NULL, sc->now);
}

void ht_steering_explain(const struct ht_steering *st, struct ht_endpoint src,
			 struct ht_endpoint dst, struct ht_steering_explanation *out, ht_ms now)
{
	const struct ht_packet pkt = {.src = src, .dst = dst, .opens = true};
	const struct ht_tracked_flow *f = ht_flow_table_find(&st->flows, src, dst);
	struct scene sc = {.st = st, .now = now, .out = out};

	*out = (struct ht_steering_explanation){0};
	out->route = ht_catalog_route(st->params.catalog, dst);
	if (ht_steering_refuses_route(st, out->route, &pkt, now, &out->decision))
		return;
	out->replaced = f ? f->target : NULL;
	out->service = ht_split_pick(out->route, src);
	if (ht_steering_refuses_service(st, out->service, &pkt, now, &out->decision))
		return;
	explain_plan(st, out, now);
	if (copy_service(&sc, out->service)) {
		set_counts(&sc, f);
		out->decision = decide(&sc, &pkt);
		list_candidates(&sc);
	} else {
		out->incomplete = true;
	}
	free(sc.list);
	free(sc.targets);
}
