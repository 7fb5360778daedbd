/* The explanation of a decision: agrees with the decision taken right after it, and changes
 * nothing. Random states cover splits, classes, plans, cold and suspected targets, limits of flows,
 * incomplete and stale views, and flows that are tracked or inactive. */
#include "core/explain.h"
#include "core/reports.h"
#include "tests/revision.h"
#include "tests/suite.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define ADDRESS 0xc6120001U
#define CALLER 0x64400001U
#define TARGETS_MAX 90
#define ROUTES 5
#define PORTS 40
#define WORLDS 60
#define STEPS 300

/* Everything that one instance knows; two of them with the same seed are equal. */
struct world {
	GRand *random;
	struct ht_catalog *cat;
	struct ht_reports reports;
	struct ht_load *load;
	struct ht_steering *st;
	struct ht_target *targets[TARGETS_MAX];
	int count;
	uint64_t revision;
	ht_ms now;
};

static int below(struct world *w, int n)
{
	return g_rand_int_range(w->random, 0, n);
}

static bool chance(struct world *w, int percent)
{
	return below(w, 100) < percent;
}

static void put_routes(struct world *w)
{
	struct ht_share_entry shares[] = {{"stock", 2}, {"docs", 1}};
	struct ht_service_entry services[] = {
		{.name = "stock", .flows_max = chance(w, 40) ? 3 : 0},
		{.name = "docs", .warmup_rate = chance(w, 60) ? 2000 : 0, .warmup = 3000}};
	struct ht_route_entry entries[ROUTES] = {
		{.at = {ADDRESS, 1}, .service = "stock", .priority = 2, .aim_ms = 200},
		{.at = {ADDRESS, 2}, .service = "stock", .priority = 1, .limit_ms = 900},
		{.at = {ADDRESS, 3}, .service = "docs", .priority = 2},
		{.at = {ADDRESS, 4}, .share_count = 2, .priority = 1},
		{.at = {ADDRESS, 5}, .service = "none"},
	};
	struct ht_route_table table = {.id = {1, rev(1)},
				       .count = ROUTES,
				       .entries = entries,
				       .share_count = 2,
				       .shares = shares,
				       .service_count = 2,
				       .services = services,
				       .incomplete = chance(w, 15)};

	entries[4].unreadable = chance(w, 50);
	ht_catalog_set_routes(w->cat, &table);
}

static void put_target(struct world *w, int i)
{
	static const char *const services[] = {"stock", "stock", "docs"};
	static const char *const dcs[] = {"here", "here", "there", "far"};
	char name[16];
	struct ht_target_entry e = {
		.name = name,
		.id = 0x1000U + (unsigned int)i,
		.at = {.ip = 0x0a000001U + (unsigned int)i, .port = 8080},
		.service = services[below(w, 3)],
		.dc = dcs[below(w, 4)],
		.slots = 1 + (uint32_t)below(w, 4),
		.warmup = chance(w, 30) ? 2000 : 0,
		.draining = chance(w, 5),
		.started = 1700000000000 + i,
		.revision = rev(++w->revision),
	};

	snprintf(name, sizeof(name), "i-%x", 0x1000 + i);
	ht_catalog_put_target(w->cat, &e, HT_CATALOG_STORE, w->now);
	w->targets[i] = ht_catalog_by_name(w->cat, name);
}

static void world_start(struct world *w, uint32_t seed)
{
	const uint64_t peers[] = {2, 3};
	struct ht_steering_params params;
	struct ht_load_params lp;

	*w = (struct world){.random = g_rand_new_with_seed(seed), .now = 100000, .revision = 100};
	w->cat = ht_catalog_new("here");
	put_routes(w);
	/* Every third world has services with more targets than are examined for a flow. */
	w->count = seed % 3 ? 1 + below(w, 12) : TARGETS_MAX;
	for (int i = 0; i < w->count; i++)
		put_target(w, i);
	ht_load_params_default(&lp);
	lp.dc = ht_load_key("here");
	w->load = ht_load_new(&lp);
	ht_steering_params_default(&params);
	params.catalog = w->cat;
	params.reports = &w->reports;
	params.seed = seed;
	params.flows_max = chance(w, 20) ? 10 : 1000;
	params.flows_per_slot = chance(w, 50) ? 6 : 1;
	params.overload.load = chance(w, 80) ? w->load : NULL;
	ht_admission_params_default(&params.overload.admission);
	w->st = ht_steering_new(&params);
	ht_steering_set_view_complete(w->st, !chance(w, 10));
	ht_steering_set_bounds(
		w->st, &(struct ht_steering_bounds){.routes = chance(w, 20) ? 500 : HT_NEVER,
						    .targets = chance(w, 20) ? 500 : HT_NEVER,
						    .warmup_overage = 1.5,
						    .warmup_slack = 2});
	ht_steering_set_proofs(w->st, w->now, w->now);
	ht_steering_set_instance_count(w->st, 1 + (size_t)below(w, 3));
	if (chance(w, 80))
		ht_steering_set_peers(w->st, 1, peers, (size_t)below(w, 3));
}

static void world_stop(struct world *w)
{
	ht_steering_free(w->st);
	ht_catalog_free(w->cat);
	ht_load_free(w->load);
	g_rand_free(w->random);
}

static void change_plan(struct world *w)
{
	struct ht_service *s = w->targets[below(w, w->count)]->service;
	double stay = below(w, 5) / 4.0;

	s->plan = (struct ht_admission_plan){
		.short_of_room = chance(w, 70),
		.class_count = chance(w, 90) ? 2 : 0,
		.classes = {{.priority = 1, .limit = 900}, {.priority = 2, .aim = 200}},
		.admit = {1, below(w, 5) / 4.0},
		.delay = {false, chance(w, 50)},
		.dc_count = 3,
		.dcs = {ht_load_key("here"), ht_load_key("there"), ht_load_key("far")},
		.share = {stay, 1 - stay, 0},
	};
}

static void change_view(struct world *w)
{
	struct ht_load_view view = {.count = 1};
	struct ht_load_sum *sum = &view.dcs[0];

	*sum = (struct ht_load_sum){.dc = ht_load_key("here"), .instances = 3};
	for (int i = 0; i < w->count && sum->target_count < HT_LOAD_TARGETS_MAX; i++)
		if (chance(w, 30))
			sum->targets[sum->target_count++] =
				(struct ht_load_target){.mark = w->targets[i]->marks[0].value,
							.open = (uint32_t)below(w, 10),
							.flows = (uint32_t)below(w, 6)};
	ht_load_set_view(w->load, &view, w->now);
}

static void change_health(struct world *w)
{
	struct ht_target *t = w->targets[below(w, w->count)];

	t->evidence.suspected_until = w->now + below(w, 1000);
	t->evidence.misses = (uint32_t)below(w, 3);
	t->evidence.error_rate = below(w, 10) / 10.0;
	t->evidence.answer_ms = below(w, 50);
	t->service->answer_ms = below(w, 50);
	if (!t->dc->local && chance(w, 30))
		t->dc->evidence.suspected_until = w->now + below(w, 1000);
}

static struct ht_packet random_opening(struct world *w)
{
	return (struct ht_packet){
		.src = {.ip = CALLER + (uint32_t)below(w, 3),
			.port = (uint16_t)(1024 + below(w, PORTS))},
		.dst = {.ip = ADDRESS, .port = (uint16_t)(1 + below(w, ROUTES + 1))},
		.opens = true,
		.sequence = g_rand_int(w->random),
	};
}

/* A packet of the flow that @pkt opened with decision @d: data, an answer or the end. */
static struct ht_packet following(struct world *w, const struct ht_packet *pkt,
				  const struct ht_steering_decision *d)
{
	struct ht_packet next = *pkt;

	next.opens = false;
	next.mark = d->mark;
	next.sequence = pkt->sequence + 1;
	next.acknowledged = chance(w, 50) ? 100 : 400;
	next.length = chance(w, 60) ? 50 : 0;
	next.closes = chance(w, 20);
	return next;
}

static void change_something(struct world *w)
{
	w->now += chance(w, 70) ? below(w, 30) : below(w, 600);
	if (chance(w, 10))
		change_plan(w);
	if (chance(w, 10))
		change_view(w);
	if (chance(w, 20))
		change_health(w);
	if (chance(w, 5))
		put_target(w, below(w, w->count));
	if (chance(w, 10))
		ht_steering_expire(w->st, w->now);
	if (chance(w, 5))
		ht_steering_set_proofs(w->st, w->now, w->now);
}

static size_t find(const struct ht_steering_explanation *ex, const struct ht_target *t)
{
	size_t i = 0;

	while (i < ex->candidate_count && ex->candidates[i].candidate.target != t)
		i++;
	return i;
}

static double product(const struct ht_placing_candidate *c)
{
	const struct ht_placing_cost *p = &c->parts;

	return (p->open + 1.0) / c->target->slots * p->speed * p->errors * p->full * p->remote *
	       p->dc_suspected * p->suspected * p->cold;
}

static void check_candidates(const struct ht_steering_explanation *ex,
			     const struct ht_steering_decision *d)
{
	size_t at = find(ex, d->target);

	for (size_t i = 0; i < ex->candidate_count; i++) {
		const struct ht_placing_candidate *c = &ex->candidates[i].candidate;

		ck_assert_double_eq_tol(c->cost, product(c), 1e-9 * c->cost);
	}
	if (d->action != HT_STEER_FORWARD)
		return;
	ck_assert_uint_lt(at, ex->candidate_count);
	/* The choice by plan leaves out all others. */
	if (ex->planned)
		ck_assert_int_eq(ex->candidates[at].candidate.fit, HT_PLACING_FITS);
	/* The cost is that of the decision: nothing cheaper was available. */
	if (!ex->planned && ex->candidates[at].candidate.fit == HT_PLACING_FITS)
		ck_assert_double_eq(ex->candidates[at].candidate.cost,
				    ex->candidates[0].candidate.cost);
}

/* Guards against an explanation that differs from what is then decided. */
START_TEST(agrees_with_the_decision)
{
	unsigned int seen[HT_STEER_ACTIONS][HT_STEER_REASONS] = {0};
	unsigned int planned = 0, tracked = 0;

	for (uint32_t seed = 1; seed <= WORLDS; seed++) {
		struct world w;

		world_start(&w, seed);
		for (int i = 0; i < STEPS; i++) {
			struct ht_steering_explanation ex;
			struct ht_steering_decision d;
			struct ht_packet pkt;

			change_something(&w);
			pkt = random_opening(&w);
			ht_steering_explain(w.st, pkt.src, pkt.dst, &ex, w.now);
			d = ht_steering_packet(w.st, &pkt, w.now);
			ck_assert_int_eq(ex.decision.action, d.action);
			ck_assert_int_eq(ex.decision.reason, d.reason);
			ck_assert_ptr_eq(ex.decision.target, d.target);
			ck_assert_uint_eq(ex.decision.mark, d.mark);
			ck_assert_double_eq(ex.decision.open, d.open);
			ck_assert_double_eq(ex.decision.capacity, d.capacity);
			check_candidates(&ex, &d);
			seen[d.action][d.reason]++;
			planned += ex.planned && d.action == HT_STEER_FORWARD;
			tracked += ex.replaced != NULL;
			for (int k = below(&w, 4); d.mark && k > 0; k--) {
				struct ht_packet next = following(&w, &pkt, &d);

				w.now += below(&w, 60);
				ht_steering_packet(w.st, &next, w.now);
			}
		}
		world_stop(&w);
	}
	/* The worlds reach each verdict on a first copy. */
	ck_assert_uint_gt(seen[HT_STEER_FORWARD][HT_STEER_PLACED], 1000);
	ck_assert_uint_gt(seen[HT_STEER_RESET][HT_STEER_NO_ROOM], 10);
	ck_assert_uint_gt(seen[HT_STEER_RESET][HT_STEER_NO_ROUTE], 10);
	ck_assert_uint_gt(seen[HT_STEER_RESET][HT_STEER_NO_TARGET], 10);
	ck_assert_uint_gt(seen[HT_STEER_DROP][HT_STEER_DEFERRED], 10);
	ck_assert_uint_gt(seen[HT_STEER_DROP][HT_STEER_ALL_COLD], 10);
	ck_assert_uint_gt(seen[HT_STEER_DROP][HT_STEER_NO_VIEW], 10);
	ck_assert_uint_gt(seen[HT_STEER_DROP][HT_STEER_STALE_VIEW], 10);
	ck_assert_uint_gt(seen[HT_STEER_DROP][HT_STEER_UNREADABLE_ROUTE], 10);
	ck_assert_uint_gt(planned, 100);
	ck_assert_uint_gt(tracked, 100);
}
END_TEST

static void compare_targets(const struct world *a, const struct world *b)
{
	for (int i = 0; i < a->count; i++) {
		const struct ht_target *x = a->targets[i], *y = b->targets[i];

		ck_assert_uint_eq(x->open, y->open);
		ck_assert_uint_eq(x->waiting, y->waiting);
		ck_assert_uint_eq(x->flows, y->flows);
		ck_assert_uint_eq(x->service->open, y->service->open);
		ck_assert_mem_eq(&x->evidence, &y->evidence, sizeof(x->evidence));
		ck_assert_int_eq(!x->flows_while_cold, !y->flows_while_cold);
		if (x->flows_while_cold)
			ck_assert_mem_eq(x->flows_while_cold, y->flows_while_cold,
					 sizeof(*x->flows_while_cold));
	}
}

static void compare_reports(struct world *a, struct world *b)
{
	struct ht_load_sum x, y;

	memset(&x, 0, sizeof(x));
	memset(&y, 0, sizeof(y));
	ht_load_begin_report(a->load);
	ht_steering_report_load(a->st);
	ht_load_end_report(a->load, &x, a->now);
	ht_load_begin_report(b->load);
	ht_steering_report_load(b->st);
	ht_load_end_report(b->load, &y, b->now);
	ck_assert_mem_eq(&x, &y, sizeof(x));
	ck_assert_uint_eq(ht_load_left_out(a->load), ht_load_left_out(b->load));
}

/* Explains flows to all routes, without the random source of the worlds. */
static void explain_all(const struct world *w, int step)
{
	for (int i = 0; i <= ROUTES; i++) {
		struct ht_steering_explanation ex;

		ht_steering_explain(w->st,
				    (struct ht_endpoint){CALLER, (uint16_t)(1024 + step % PORTS)},
				    (struct ht_endpoint){ADDRESS, (uint16_t)(1 + i)}, &ex, w->now);
	}
}

static void decide_alike(struct world *a, struct world *b)
{
	struct ht_packet pa = random_opening(a), pb = random_opening(b);
	struct ht_steering_decision da = ht_steering_packet(a->st, &pa, a->now);
	struct ht_steering_decision db = ht_steering_packet(b->st, &pb, b->now);

	ck_assert_int_eq(da.action, db.action);
	ck_assert_int_eq(da.reason, db.reason);
	ck_assert_uint_eq(da.mark, db.mark);
	if (!da.mark)
		return;
	pa = following(a, &pa, &da);
	pb = following(b, &pb, &db);
	ht_steering_packet(a->st, &pa, a->now);
	ht_steering_packet(b->st, &pb, b->now);
}

/* Guards against an explanation that changes a count, a permit, a flow or the random source: two
 * equal instances, of which one explains flows all the time, stay equal. */
START_TEST(changes_nothing)
{
	for (uint32_t seed = 1; seed <= WORLDS; seed++) {
		struct world a, b;

		world_start(&a, seed);
		world_start(&b, seed);
		for (int i = 0; i < STEPS; i++) {
			change_something(&a);
			change_something(&b);
			explain_all(&a, i);
			decide_alike(&a, &b);
			explain_all(&a, i + 1);
			ck_assert_uint_eq(ht_steering_flow_count(a.st),
					  ht_steering_flow_count(b.st));
			compare_targets(&a, &b);
			if (i % 20 == 0)
				compare_reports(&a, &b);
		}
		world_stop(&a);
		world_stop(&b);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("explain");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, agrees_with_the_decision);
	tcase_add_test(tc, changes_nothing);
	return run_case("explain", tc);
}
