/*
 * Tests of the load view: own counts, sums of members, views between data centres. A fleet of
 * instances gets equal shares of the traffic, as routers distribute packets by hash.
 */
#include "core/load.h"
#include "tests/suite.h"

#include <math.h>
#include <string.h>

#define HERE 1
#define THERE 2
#define SHOP 77
#define STEP 400 /* ms between reports */
#define FLEET 10

static const struct ht_load_terms urgent = {.priority = 0, .limit = 1000};
static const struct ht_load_terms bulk = {.priority = 5};

/** What an instance sees in one step. */
struct traffic {
	unsigned int urgent, bulk, answers, errors, open;
};

static const struct traffic calm = {.urgent = 4, .bulk = 8, .answers = 12, .errors = 2, .open = 6};

static struct ht_load *fleet[FLEET];
static struct ht_load_sum sum;
static struct ht_load_view view;
static struct ht_load_state state;
static ht_ms now;

static struct ht_load *instance(uint32_t dc)
{
	struct ht_load_params params;

	ht_load_params_default(&params);
	params.dc = dc;
	return ht_load_new(&params);
}

static void start(void)
{
	size_t i;

	now = 5000;
	for (i = 0; i < FLEET; i++)
		ck_assert_ptr_nonnull(fleet[i] = instance(HERE));
}

static void stop(void)
{
	size_t i;

	for (i = 0; i < FLEET; i++)
		ht_load_free(fleet[i]);
}

/* Lets an instance see @t and report it. */
static void serve(struct ht_load *load, const struct traffic *t, struct ht_load_sum *out)
{
	struct ht_load_target target = {.mark = 9, .open = t->open, .flows = t->open + 1};
	unsigned int i;

	for (i = 0; i < t->urgent; i++)
		ht_load_count_opening(load, SHOP, &urgent, false);
	for (i = 0; i < t->bulk; i++)
		ht_load_count_opening(load, SHOP, &bulk, i % 2);
	for (i = 0; i < t->answers; i++) {
		if (i % 2)
			ht_load_count_continued(load, SHOP, HERE, &urgent);
		ht_load_count_answer(load, SHOP, HERE, &urgent, 20 + i, i < t->errors);
	}
	ht_load_begin_report(load);
	ht_load_add_target(load, SHOP, HERE, &target);
	ht_load_end_report(load, out, now);
}

/* One step of the first @count instances, which report to number 0. */
static void step(size_t count, const struct traffic *t)
{
	struct ht_load_sum report;
	size_t i;

	now += STEP;
	for (i = 0; i < count; i++) {
		serve(fleet[i], t, &report);
		if (i)
			ht_load_put_report(fleet[0], i, &report, now);
	}
}

static void steps(size_t count, const struct traffic *t, int times)
{
	while (times--)
		step(count, t);
}

/* The view of number 0 becomes that of all. */
static void share(size_t count, size_t alive)
{
	size_t i;

	ht_load_make_view(fleet[0], alive, &view, now);
	for (i = 0; i < count; i++)
		ht_load_set_view(fleet[i], &view, now);
}

static const struct ht_load_service *service_of(const struct ht_load_sum *s, uint32_t service)
{
	size_t i;

	for (i = 0; i < s->service_count; i++)
		if (s->services[i].service == service)
			return &s->services[i];
	ck_abort_msg("service %u is missing", service);
}

static const struct ht_load_demand *class_of(const struct ht_load_sum *s,
					     const struct ht_load_terms *terms)
{
	const struct ht_load_service *service = service_of(s, SHOP);
	size_t i;

	for (i = 0; i < service->class_count; i++)
		if (service->classes[i].terms.priority == terms->priority)
			return &service->classes[i];
	ck_abort_msg("class %u is missing", terms->priority);
}

static const struct ht_load_place *place_of(const struct ht_load_sum *s)
{
	const struct ht_load_service *service = service_of(s, SHOP);

	ck_assert_uint_eq(service->place_count, 1);
	return &service->places[0];
}

static const struct ht_load_dc *get(struct ht_load *load, size_t alive, uint32_t dc)
{
	size_t i;

	ht_load_get(load, SHOP, alive, &state, now);
	for (i = 0; i < state.dc_count; i++)
		if (state.dcs[i].dc == dc)
			return &state.dcs[i];
	return NULL;
}

static double opening(const struct ht_load_dc *dc)
{
	double all = 0;
	size_t i;

	for (i = 0; i < state.class_count; i++)
		all += dc->opening[i];
	return all;
}

/* Keys that are counted in the same slots as SHOP. */
static uint32_t collision(uint32_t i)
{
	return SHOP + 64 * i;
}

#define near(a, b) ck_assert_double_eq_tol(a, b, 1e-6)
#define PER_S(count) ((count)*1000.0 / STEP)

/* Failure: a member dies. Its callers come in at the others; for at most 2 s its report counts
 * twice, as its own and as theirs, or the sum is scaled to more instances than live. */
START_TEST(share_of_a_dead_member_passes_on)
{
	static const struct traffic more = {.urgent = 5, .bulk = 10, .open = 7};
	ht_ms died;

	steps(5, &calm, 5);
	ht_load_sum_members(fleet[0], 5, &sum, now);
	near(class_of(&sum, &urgent)->opening, PER_S(5 * 4));
	near(place_of(&sum)->open, 5 * 6);
	ck_assert_uint_eq(ht_load_member_count(fleet[0], now), 4);
	died = now;
	while (now - died < 2000) {
		step(4, &more);
		ht_load_sum_members(fleet[0], 5, &sum, now);
		ck_assert_double_le(class_of(&sum, &urgent)->opening, PER_S(5 * 5));
		ck_assert_int_lt(sum.age, 1200);
		ht_load_sum_members(fleet[0], 4, &sum, now);
		if (now - died >= 1200)
			near(class_of(&sum, &urgent)->opening, PER_S(5 * 4));
	}
	ck_assert_uint_eq(ht_load_member_count(fleet[0], now), 3);
}
END_TEST

/* Failure: an instance has just started, or is partitioned: it decides by its own counts, says so,
 * and keeps to no view longer than that is valid. Afterwards it uses the view again. */
START_TEST(without_a_view_own_counts_decide)
{
	ck_assert_ptr_null(get(fleet[1], 5, HERE));
	ck_assert_int_eq(state.source, HT_LOAD_OWN);
	ck_assert_int_eq(state.age, HT_NEVER);
	steps(5, &calm, 3);
	near(opening(get(fleet[1], 5, HERE)), PER_S(5 * 12));
	near(get(fleet[1], 5, HERE)->shed, PER_S(5 * 2));
	near(get(fleet[1], 5, HERE)->open, 5 * 6);
	ck_assert_int_eq(state.source, HT_LOAD_OWN);
	ck_assert_int_eq(state.age, 0);
	share(5, 5);
	now += 1199;
	near(opening(get(fleet[1], 5, HERE)), PER_S(5 * 12));
	ck_assert_int_eq(state.source, HT_LOAD_SHARED);
	ck_assert_int_eq(state.age, 1199);
	ck_assert_int_eq(ht_load_view_age(fleet[1], now), 1199);
	now++;
	near(opening(get(fleet[1], 7, HERE)), PER_S(7 * 12));
	ck_assert_int_eq(state.source, HT_LOAD_OWN);
	ck_assert_int_eq(ht_load_view_age(fleet[1], now), HT_NEVER);
	ck_assert(!ht_load_target(fleet[1], 9, &(struct ht_load_target){0}, now));
	/* Of a service that the view does not list, the own counts are all that is known. */
	view.dcs[0].service_count = 0;
	ht_load_set_view(fleet[1], &view, now);
	near(opening(get(fleet[1], 5, HERE)), PER_S(5 * 12));
	ck_assert_int_eq(state.source, HT_LOAD_OWN);
}
END_TEST

static void fill_report(struct ht_load_sum *s, double value)
{
	size_t i;

	*s = (struct ht_load_sum){.dc = HERE, .service_count = 99, .target_count = 1};
	s->targets[0] = (struct ht_load_target){.mark = 9, .open = 1000000, .flows = 1000000};
	for (i = 0; i < HT_LOAD_SERVICES_MAX; i++) {
		s->services[i] = (struct ht_load_service){
			.service = i ? (uint32_t)i : SHOP,
			.class_count = 2,
			.place_count = 1,
			.classes = {{.terms = urgent, .opening = value, .refused = value},
				    {.terms = bulk, .opening = value, .work_ms = 1e-9}},
			.places = {{HERE, value, value, value, value}},
		};
	}
}

/* Failure: one member reports absurd figures, of this service and of seven others. The honest
 * figure of each of the five members is x; the absurd one counts as at most 4 x + 3. */
START_TEST(absurd_member_cannot_close_a_service)
{
	static const double absurd[] = {1e300, 1e12, 1e4, NAN, INFINITY, -INFINITY, -5};
	struct ht_load_target target;
	size_t i, members;

	for (members = 2; members <= 5; members++) {
		steps(members, &calm, 3);
		for (i = 0; i < sizeof(absurd) / sizeof(absurd[0]); i++) {
			double honest = (double)members - 1;
			double most = absurd[i] > 0 && isfinite(absurd[i]) ? 4 : 0;
			double slack = most > 0 ? 3 : 0;

			step(members, &calm);
			fill_report(&sum, absurd[i]);
			ht_load_put_report(fleet[0], 1, &sum, now);
			share(members, members);
			sum = view.dcs[0];
			near(class_of(&sum, &urgent)->opening, PER_S((honest + most) * 4) + slack);
			near(place_of(&sum)->open, (honest + most) * 6 + slack);
			near(place_of(&sum)->shed, PER_S((honest + most) * 2) + slack);
			ck_assert_uint_eq(sum.services[0].service, SHOP);
			ck_assert(ht_load_target(fleet[1], 9, &target, now));
			ck_assert_uint_eq(target.open, (members - 1) * 6 + 4 * 6 + 3);
			ck_assert_uint_eq(target.flows, (members - 1) * 7 + 4 * 7 + 3);
		}
	}
}
END_TEST

/* Load pattern: less than one request per step and instance, of which most report 0. The few that
 * see two requests are no outliers: the demand must not look smaller than it is. */
START_TEST(rare_requests_are_no_outliers)
{
	static const unsigned int requests[FLEET] = {0, 0, 1, 0, 2, 0, 1, 0, 1, 0};
	struct ht_load_sum report;
	size_t i;
	int k;

	for (k = 0; k < 2; k++, now += STEP) {
		for (i = 0; i < FLEET; i++) {
			serve(fleet[i], &(struct traffic){.urgent = requests[i]}, &report);
			if (i)
				ht_load_put_report(fleet[0], i, &report, now);
		}
		ht_load_sum_members(fleet[0], FLEET, &sum, now);
	}
	near(class_of(&sum, &urgent)->opening, PER_S(5));
}
END_TEST

/* Failure: a collector is wrong. Neither demand nor occupancy can look so large, nor the responses
 * so few, that nothing would be admitted. */
START_TEST(absurd_view_cannot_close_a_service)
{
	const struct ht_load_dc *dc;

	steps(5, &calm, 10);
	share(5, 5);
	fill_report(&view.dcs[0], 1e12);
	view.dcs[0].services[0].places[1] = (struct ht_load_place){THERE, 1e12, 1e12, 1e12, 1e12};
	view.dcs[0].services[0].place_count = 2;
	ht_load_set_view(fleet[1], &view, now);
	dc = get(fleet[1], 5, HERE);
	ck_assert_int_eq(state.source, HT_LOAD_SHARED);
	near(dc->open, 4 * 5 * 6 + 3 * 5);
	near(dc->shed, 4 * PER_S(5 * 2) + 3 * 5);
	near(dc->answered, 4 * PER_S(5 * 12) + 3 * 5);
	near(dc->continued, 4 * PER_S(5 * 6) + 3 * 5);
	near(opening(dc), 4 * PER_S(5 * 12) + 2 * 3 * 5);
	near(get(fleet[1], 5, THERE)->open, 4 * 5 * 6 + 3 * 5);
	fill_report(&view.dcs[0], 0);
	ht_load_set_view(fleet[1], &view, now);
	near(get(fleet[1], 5, HERE)->answered, PER_S(5 * 12) / 4 - 3 * 5);
	/* One that has just started knows nothing yet. */
	fill_report(&view.dcs[0], 1e12);
	ht_load_set_view(fleet[9], &view, now);
	near(get(fleet[9], 5, HERE)->open, 3 * 5);
	/* Not from a collector of this data centre, or of a time long past. */
	share(5, 5);
	view.dcs[0].dc = THERE;
	ht_load_set_view(fleet[1], &view, now + 1);
	view.dcs[0].dc = HERE;
	view.dcs[0].age = 3600000;
	ht_load_set_view(fleet[1], &view, now + 1);
	ck_assert_int_eq(ht_load_view_age(fleet[1], now + 1), 1);
}
END_TEST

/* Failure: members disagree on the collector, so that there are two. Number 0 misses the report of
 * 9, and 9 that of 0; each scales what it has to all, so they differ by those two alone. */
START_TEST(two_collectors_differ_by_what_each_lacks)
{
	struct ht_load_sum other, report;
	double all = 0;
	size_t i;
	int k;

	for (k = 0; k < 2; k++, now += STEP) {
		for (i = 0, all = 0; i < FLEET; i++) {
			struct traffic t = {.urgent = (unsigned int)(20 + i)};

			all += t.urgent;
			serve(fleet[i], &t, &report);
			if (i && i < 9)
				ht_load_put_report(fleet[0], i, &report, now);
			if (i && i < 9)
				ht_load_put_report(fleet[9], i, &report, now);
		}
	}
	ht_load_sum_members(fleet[0], FLEET, &sum, now);
	ht_load_sum_members(fleet[9], FLEET, &other, now);
	near(class_of(&sum, &urgent)->opening, PER_S(all - 29) * 10 / 9);
	near(class_of(&other, &urgent)->opening, PER_S(all - 20) * 10 / 9);
	ck_assert_uint_eq(sum.instances, FLEET);
}
END_TEST

/* Failure: six of ten instances run an earlier build and send no report, in a rolling upgrade. */
START_TEST(sum_is_scaled_to_instances_without_report)
{
	struct ht_load_target target;

	steps(4, &calm, 3);
	share(4, FLEET);
	near(class_of(&view.dcs[0], &bulk)->opening, PER_S(10 * 8));
	near(class_of(&view.dcs[0], &bulk)->refused, PER_S(10 * 4));
	near(place_of(&view.dcs[0])->answered, PER_S(10 * 12));
	ck_assert(ht_load_target(fleet[0], 9, &target, now));
	ck_assert_uint_eq(target.open, 10 * 6);
	/* More reports than known live instances, as after a restart of the collector. */
	ht_load_sum_members(fleet[0], 1, &sum, now);
	near(class_of(&sum, &bulk)->opening, PER_S(4 * 8));
	ck_assert_uint_eq(sum.instances, 4);
}
END_TEST

/* Failure: the sum of another data centre arrives no longer. Load pattern: burst in that one. */
START_TEST(sum_of_a_lost_data_centre_ages_out)
{
	static const struct traffic burst = {.urgent = 80, .answers = 6};
	struct ht_load *there = instance(THERE);
	int i;

	for (i = 0; i < 3; i++) {
		step(5, &calm);
		serve(there, &burst, &sum);
	}
	sum.age = 100;
	ht_load_put_dc(fleet[0], &sum, now);
	steps(5, &calm, 3);
	now += 299;
	share(5, 5);
	near(opening(get(fleet[1], 5, THERE)), PER_S(80));
	ck_assert_int_eq(state.age, 100 + 1499);
	near(opening(get(fleet[1], 5, HERE)), PER_S(5 * 12));
	near(get(fleet[1], 5, HERE)->answered, PER_S(5 * 12 + 6));
	now++;
	share(5, 5);
	ck_assert_ptr_null(get(fleet[1], 5, THERE));
	near(get(fleet[1], 5, HERE)->answered, PER_S(5 * 12));
	ht_load_free(there);
}
END_TEST

/* Load pattern: burst of one kind. It shows in its class alone, in the next report; the own
 * estimate follows within a second. */
START_TEST(burst_of_one_kind_shows_in_its_class)
{
	static const struct traffic burst = {.urgent = 4, .bulk = 160, .answers = 12, .open = 6};
	int i;
	steps(5, &calm, 10);
	step(5, &burst);
	share(5, 5);
	near(class_of(&view.dcs[0], &urgent)->opening, PER_S(5 * 4));
	near(class_of(&view.dcs[0], &bulk)->opening, PER_S(5 * 160));
	near(class_of(&view.dcs[0], &bulk)->refused, PER_S(5 * 80));
	near(opening(get(fleet[1], 5, HERE)), PER_S(5 * 164));
	ck_assert_int_eq(state.source, HT_LOAD_SHARED);
	/* An instance of the fleet without the view, after one and after five steps. */
	now += 1200;
	ck_assert_double_eq_tol(opening(get(fleet[1], 1, HERE)), PER_S(12 + (1 - exp(-0.4)) * 152),
				3);
	now -= 1200;
	steps(5, &burst, 4);
	ck_assert_double_ge(opening(get(fleet[1], 1, HERE)), 0.85 * PER_S(164));
	ck_assert_int_eq(state.source, HT_LOAD_OWN);
	/* What is left of the estimate is not lost to another service while there is room. */
	for (i = 0; i < 12; i++) {
		now += STEP;
		ht_load_begin_report(fleet[1]);
		ht_load_end_report(fleet[1], &sum, now);
	}
	ht_load_count_opening(fleet[1], collision(1), &bulk, false);
	ck_assert_double_ge(opening(get(fleet[1], 1, HERE)), 0.005 * PER_S(164));
}
END_TEST

/* Failure: all instances restart under full load. The counts of the first, unknown time are not
 * taken for a rate, and the estimate does not have to rise from zero. */
START_TEST(restart_of_all_with_empty_view)
{
	now += 7;
	step(5, &calm);
	near(get(fleet[1], 5, HERE)->open, 5 * 6);
	near(opening(get(fleet[1], 5, HERE)), 0);
	step(5, &calm);
	near(opening(get(fleet[1], 5, HERE)), PER_S(5 * 12));
	ck_assert_int_eq(state.source, HT_LOAD_OWN);
	share(5, 5);
	near(opening(get(fleet[1], 5, HERE)), PER_S(5 * 12));
	ck_assert_int_eq(state.source, HT_LOAD_SHARED);
	/* A single member that restarts replaces its report. */
	ht_load_free(fleet[1]);
	fleet[1] = instance(HERE);
	step(5, &calm);
	ck_assert_uint_eq(ht_load_member_count(fleet[0], now), 4);
	/* Reports of the same ms do not divide by no time. */
	ht_load_count_opening(fleet[0], SHOP, &urgent, false);
	ht_load_begin_report(fleet[0]);
	ht_load_end_report(fleet[0], &sum, now);
	near(class_of(&sum, &urgent)->opening, PER_S(4));
}
END_TEST

/* Load pattern: more services, classes and data centres than fit. Those with the most demand are
 * kept, though they compete for the same slots and others came first. */
START_TEST(most_demand_is_kept)
{
	struct ht_load_target target;
	const struct ht_load_service *shop;
	uint32_t round, i, k;

	for (i = 0; i < 40000; i++)
		ht_load_count_opening(fleet[0], collision(100 + i % 8), &bulk, false);
	ht_load_end_report(fleet[0], &sum, now);
	for (round = 0; round < 2; round++) {
		now += STEP;
		for (i = 0; i < 4000; i++) {
			struct ht_load_terms terms = {.priority = i % 40};

			ht_load_count_opening(fleet[0], collision(100 + i % 400), &bulk, false);
			ht_load_count_opening(fleet[0], SHOP, &terms, false);
			ht_load_count_continued(fleet[0], SHOP, 100 + i % 40, &terms);
			terms.priority = 50 + i % 4;
			for (k = 0; k < 4; k++)
				ht_load_count_opening(fleet[0], SHOP, &terms, false);
			ht_load_count_continued(fleet[0], SHOP, HERE, &terms);
			for (k = 0; k < 2; k++)
				ht_load_count_opening(fleet[0], collision(1 + i % 7), &bulk, false);
		}
		ht_load_begin_report(fleet[0]);
		for (i = 0; i < 200; i++) {
			target = (struct ht_load_target){
				.mark = i, .open = i % 100, .flows = i < 100 ? 500 - i : 120};
			ht_load_add_target(fleet[0], SHOP, HERE, &target);
		}
		ht_load_end_report(fleet[0], &sum, now);
	}
	ck_assert_uint_eq(sum.service_count, HT_LOAD_SERVICES_MAX);
	for (i = 0; i < 7; i++)
		ck_assert_double_ge(service_of(&sum, collision(1 + i))->classes[0].opening, 2800);
	shop = service_of(&sum, SHOP);
	ck_assert_uint_eq(shop->class_count, HT_LOAD_CLASSES_MAX);
	for (i = 0; i < 4; i++)
		ck_assert_double_ge(shop->classes[i].opening, 9000);
	ck_assert_uint_eq(shop->place_count, HT_LOAD_DCS_MAX);
	ck_assert_uint_eq(shop->places[0].dc, HERE);
	ck_assert_uint_gt(ht_load_left_out(fleet[0]), 4 * 4000 / 2);
	/* Of the targets, those with the most requests and those with the most flows. */
	ck_assert_uint_eq(sum.target_count, HT_LOAD_TARGETS_MAX);
	ck_assert_uint_eq(sum.targets[0].open, 99);
	ck_assert_uint_eq(sum.targets[1].flows, 500);
	/* The same of a sum, to which each member adds others. */
	for (i = 1; i < 90; i++) {
		struct ht_load_sum report = sum;

		for (k = 0; k < 4; k++)
			report.services[7 - k].service = 5000 + 4 * i + k;
		ht_load_put_report(fleet[0], i, &report, now);
	}
	ht_load_make_view(fleet[0], 90, &view, now);
	ck_assert_uint_eq(view.dcs[0].service_count, HT_LOAD_SERVICES_MAX);
	for (i = 0; i < 4; i++)
		ck_assert_uint_eq(view.dcs[0].services[i].service, sum.services[i].service);
}
END_TEST

/* Load pattern: burst in one data centre. A view can name more data centres and classes than a
 * state holds: the own one and the busiest are kept, and classes of equal terms are one. */
START_TEST(state_merges_data_centres)
{
	const struct ht_load_dc *dc;
	uint32_t i;

	steps(1, &calm, 2);
	share(1, 1);
	for (i = 1; i < HT_LOAD_DCS_MAX; i++) {
		struct ht_load_service *s = &view.dcs[i].services[0];

		view.dcs[i] = (struct ht_load_sum){.dc = THERE + i, .service_count = 1};
		*s = (struct ht_load_service){
			.service = SHOP,
			.class_count = 2,
			.place_count = 2,
			.classes = {{.terms = bulk, .opening = 5000, .work_ms = 10.0 + i},
				    {.terms = {.priority = 10 + i}, .opening = i}},
			.places = {{.dc = HERE, .open = 1}, {.dc = 100 + i, .open = 5000}},
		};
	}
	view.count = HT_LOAD_DCS_MAX;
	ht_load_set_view(fleet[0], &view, now);
	dc = get(fleet[0], 1, HERE);
	ck_assert_ptr_nonnull(dc);
	near(dc->open, 6 + 7);
	near(opening(dc), PER_S(12));
	ck_assert_uint_eq(state.dc_count, HT_LOAD_DCS_MAX);
	ck_assert_uint_eq(state.class_count, HT_LOAD_CLASSES_MAX);
	ck_assert_uint_eq(state.classes[0].priority, bulk.priority);
	near(state.work_ms[0], 11);
}
END_TEST

/* Members beyond the bound replace those heard longest ago, so that memory is bounded. */
START_TEST(members_are_bounded)
{
	uint64_t i;

	step(1, &calm);
	sum = (struct ht_load_sum){.dc = HERE};
	for (i = 0; i < 3000; i++)
		ht_load_put_report(fleet[0], i, &sum, now);
	ck_assert_uint_eq(ht_load_member_count(fleet[0], now), 1024);
	ht_load_put_report(fleet[0], 1, &(struct ht_load_sum){.dc = THERE}, now + 1200);
	ck_assert_uint_eq(ht_load_member_count(fleet[0], now + 1200), 0);
}
END_TEST

static double work_of(struct ht_load *collector)
{
	ht_load_sum_members(collector, 1, &sum, now);
	return class_of(&sum, &urgent)->work_ms;
}

/* Load pattern: a third of the targets slow. The time of a class follows when its work gets slower,
 * slowly, and is not misled by errors, which come fast. */
START_TEST(work_follows_slower_targets)
{
	static const struct traffic one = {.urgent = 1}, none = {0};
	double before;
	int i;

	steps(1, &one, 2);
	for (i = 0; i < 200; i++) {
		ht_load_count_answer(fleet[0], SHOP, HERE, &urgent, 20 + i % 30, false);
		ht_load_count_answer(fleet[0], SHOP, HERE, &urgent, 1, true);
	}
	step(1, &one);
	before = work_of(fleet[0]);
	ck_assert_double_ge(before, 20);
	ck_assert_double_le(before, 28); /* the mean is 34.5 */
	/* A single response that was seen in part only hardly matters. */
	ht_load_count_answer(fleet[0], SHOP, HERE, &urgent, 1, false);
	step(1, &one);
	ck_assert_double_ge(work_of(fleet[0]), 0.85 * before);
	before = work_of(fleet[0]);
	for (i = 0; i < 20; i++)
		ht_load_count_answer(fleet[0], SHOP, HERE, &urgent, 100 + i % 30, false);
	step(1, &one);
	ck_assert_double_le(work_of(fleet[0]), 1.2 * before);
	for (i = 0; i < 3000; i++)
		ht_load_count_answer(fleet[0], SHOP, HERE, &urgent, 100 + i % 30, false);
	step(1, &one);
	ck_assert_double_ge(work_of(fleet[0]), 90);
	/* After a time without requests it is not known any more. */
	steps(1, &none, 30);
	step(1, &one);
	near(work_of(fleet[0]), 0);
	/* One member's far too short time does not stand for all. */
	step(5, &calm);
	fill_report(&sum, 10);
	sum.services[0].classes[0].work_ms = 1e-9;
	ht_load_put_report(fleet[0], 1, &sum, now);
	ck_assert_double_ge(work_of(fleet[0]), 5);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("load_view");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, share_of_a_dead_member_passes_on);
	tcase_add_test(tc, without_a_view_own_counts_decide);
	tcase_add_test(tc, absurd_member_cannot_close_a_service);
	tcase_add_test(tc, rare_requests_are_no_outliers);
	tcase_add_test(tc, absurd_view_cannot_close_a_service);
	tcase_add_test(tc, two_collectors_differ_by_what_each_lacks);
	tcase_add_test(tc, sum_is_scaled_to_instances_without_report);
	tcase_add_test(tc, sum_of_a_lost_data_centre_ages_out);
	tcase_add_test(tc, burst_of_one_kind_shows_in_its_class);
	tcase_add_test(tc, restart_of_all_with_empty_view);
	tcase_add_test(tc, most_demand_is_kept);
	tcase_add_test(tc, state_merges_data_centres);
	tcase_add_test(tc, members_are_bounded);
	tcase_add_test(tc, work_follows_slower_targets);
	return run_case("load_view", tc);
}
