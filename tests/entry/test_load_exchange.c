/*
 * Tests of the exchange of loads: encoding, who collects, failures of collectors and members, and
 * the bytes that it costs. Several exchanges run in one process; the test delivers their messages
 * and advances their clock. Greetings between instances are simulated as entry/link.c sends them.
 */
#include "entry/load_exchange.h"

#include "base/hash.h"
#include "entry/link_internal.h"
#include "entry/load_codec.h"
#include "tests/suite.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define NODES_MAX 300
#define DCS 3
#define STEP_MS 5
#define SERVICES 2
#define CLASSES 3
#define OPENINGS 8 /* counted per class and report, of these refused: */
#define REFUSED 2
#define TARGETS 200 /* of which each instance sees 16 */

struct node {
	unsigned int index, dc;
	char name[32];
	struct ht_neighbours *neighbours;
	struct ht_load *load;
	struct ht_load_exchange *ex;
	ht_ms next;
	bool dead, silent; /* silent: an earlier build, which sends greetings only */
	unsigned int side; /* instances of different sides do not reach each other */
	uint64_t sent_bytes, sent, views_made, updates;
};

struct datagram {
	unsigned int from, to;
	size_t len;
	uint8_t data[HT_LINK_GREETING_MAX];
};

static const char *const dc_names[] = {"norte", "sur", "oeste", "este"};

static struct node nodes[NODES_MAX];
static size_t node_count;
static ht_ms now;
static struct datagram *queue;
static size_t queue_len, queue_max;
static size_t largest_sent;

static ht_ms read_clock(void *ctx)
{
	(void)ctx;
	return now;
}

static const struct ht_clock fake_clock = {.now = read_clock};

static struct ht_endpoint at(unsigned int i)
{
	return (struct ht_endpoint){.ip = 0x0a000000U + i, .port = 7720};
}

static uint32_t service_key(unsigned int s)
{
	return ht_load_key(s ? "envios" : "existencias");
}

static struct ht_load_terms class_terms(unsigned int c)
{
	return (struct ht_load_terms){.priority = c * 100, .aim = 250 + 300 * c, .limit = 2500};
}

static void send_datagram(void *ctx, struct ht_endpoint to, const uint8_t *data, size_t len)
{
	struct node *n = ctx;
	struct datagram *d;

	ck_assert_uint_le(len, HT_LINK_GREETING_MAX);
	n->sent++;
	n->sent_bytes += len;
	if (len > largest_sent)
		largest_sent = len;
	if (queue_len == queue_max) {
		queue_max = queue_max ? 2 * queue_max : 256;
		queue = realloc(queue, queue_max * sizeof(*queue));
		ck_assert_ptr_nonnull(queue);
	}
	d = &queue[queue_len++];
	d->from = n->index;
	d->to = to.ip - 0x0a000000U;
	d->len = len;
	memcpy(d->data, data, len);
}

static void count_class(struct ht_load *load, unsigned int s, unsigned int c, uint32_t own)
{
	struct ht_load_terms terms = class_terms(c);

	for (unsigned int i = 0; i < OPENINGS; i++) {
		ht_load_count_opening(load, service_key(s), &terms, i < REFUSED);
		ht_load_count_answer(load, service_key(s), own, &terms, 20 + 10 * (ht_ms)c,
				     i == OPENINGS - 1);
	}
}

/* Each instance sees every service, class and data centre, and 16 of the targets. */
static void add_targets(void *ctx, struct ht_load *load)
{
	const struct ht_load_terms terms[CLASSES] = {class_terms(0), class_terms(1),
						     class_terms(2)};
	struct node *n = ctx;

	for (unsigned int s = 0; s < SERVICES; s++) {
		for (unsigned int c = 0; c < CLASSES; c++)
			count_class(load, s, c, ht_load_key(dc_names[n->dc]));
		for (unsigned int d = 0; d < DCS; d++)
			ht_load_count_continued(load, service_key(s), ht_load_key(dc_names[d]),
						&terms[d % CLASSES]);
	}
	for (unsigned int i = 0; i < HT_LOAD_TARGETS_MAX; i++) {
		unsigned int t = (n->index * 7 + i * 11) % TARGETS;
		struct ht_load_target target = {.mark = (uint32_t)ht_hash_pair(t, 1),
						.open = 1 + t % 3,
						.flows = 9 + t % 5};

		ht_load_add_target(load, service_key(t % SERVICES), ht_load_key(dc_names[t % DCS]),
				   &target);
	}
}

static void count_update(void *ctx)
{
	struct node *n = ctx;

	n->updates++;
}

static void introduce(struct node *to, const struct node *from)
{
	struct ht_view_state view = {.usable = true};

	ht_neighbours_heard(to->neighbours, from->name, dc_names[from->dc], at(from->index), 100,
			    &view, now);
}

static void add_node(unsigned int dc)
{
	struct node *n = &nodes[node_count];
	struct ht_neighbours_params nb;
	struct ht_load_params load;

	ck_assert_uint_lt(node_count, NODES_MAX);
	*n = (struct node){.index = (unsigned int)node_count++, .dc = dc};
	snprintf(n->name, sizeof(n->name), "entry-%u", n->index);
	ht_neighbours_params_default(&nb);
	nb.name = n->name;
	nb.dc = dc_names[dc];
	nb.size = 100;
	n->neighbours = ht_neighbours_new(&nb, now);
	ht_load_params_default(&load);
	load.dc = ht_load_key(dc_names[dc]);
	n->load = ht_load_new(&load);
	n->ex = ht_load_exchange_new(&(struct ht_load_exchange_params){
		.clock = &fake_clock,
		.load = n->load,
		.neighbours = n->neighbours,
		.instance = n->name,
		.dc = dc_names[dc],
		.add_targets = add_targets,
		.send = send_datagram,
		.updated = count_update,
		.ctx = n,
	});
	ck_assert(n->neighbours && n->load && n->ex);
}

/* Adds @counts[d] instances of each data centre; all know each other. */
static void add_nodes(const size_t counts[DCS])
{
	for (unsigned int dc = 0; dc < DCS; dc++)
		for (size_t i = 0; i < counts[dc]; i++)
			add_node(dc);
	for (size_t i = 0; i < node_count; i++)
		for (size_t k = 0; k < node_count; k++)
			introduce(&nodes[i], &nodes[k]);
}

static void start(void)
{
	now = 5000;
	node_count = queue_len = 0;
	largest_sent = 0;
}

static void stop(void)
{
	for (size_t i = 0; i < node_count; i++) {
		ht_load_exchange_free(nodes[i].ex);
		ht_load_free(nodes[i].load);
		ht_neighbours_free(nodes[i].neighbours);
	}
	node_count = 0;
	free(queue);
	queue = NULL;
	queue_max = 0;
}

static void set_pace(enum ht_load_pace pace)
{
	for (size_t i = 0; i < node_count; i++)
		ht_load_exchange_set_pace(nodes[i].ex, pace);
}

static bool reaches(const struct node *from, const struct node *to)
{
	return !from->dead && !to->dead && from->side == to->side;
}

/* One round of greetings of @n, as ht_link_round() and handle_greeting() do it. */
static void greet(struct node *n)
{
	const struct ht_neighbour *to[HT_GREETING_FANOUT];
	size_t count;

	ht_neighbours_expire(n->neighbours, now);
	count = ht_neighbours_greet(n->neighbours, to, now);
	for (size_t i = 0; i < count; i++) {
		const struct ht_neighbour *known[HT_GREETING_NEIGHBOURS_MAX];
		struct node *r = &nodes[to[i]->at.ip - 0x0a000000U];
		size_t k = ht_neighbours_to_advertise(n->neighbours, to[i]->dc, known,
						      HT_GREETING_NEIGHBOURS_STEADY, now);

		if (!reaches(n, r))
			continue;
		introduce(r, n);
		while (k--)
			ht_neighbours_add(r->neighbours, known[k]->name, known[k]->dc, known[k]->at,
					  known[k]->size, now);
	}
}

static void deliver(const struct datagram *d)
{
	struct node *from = &nodes[d->from], *to = &nodes[d->to];
	Ht__EntryGreeting *msg;

	if (d->to >= node_count || !reaches(from, to))
		return;
	msg = ht__entry_greeting__unpack(NULL, d->len, d->data);
	ck_assert(msg && msg->load && !msg->self);
	from->views_made += msg->load->kind == HT_LOAD_VIEW &&
			    msg->load->instance == (uint32_t)ht_hash_str(from->name);
	if (!to->silent)
		ht_load_exchange_receive(to->ex, msg->load);
	ht__entry_greeting__free_unpacked(msg, NULL);
}

/* Advances all instances by one step; messages arrive in the next one. */
static void step(void)
{
	size_t pending = queue_len;
	struct datagram *arriving = queue;

	queue = NULL;
	queue_len = queue_max = 0;
	now += STEP_MS;
	for (size_t i = 0; i < pending; i++)
		deliver(&arriving[i]);
	free(arriving);
	for (size_t i = 0; i < node_count; i++) {
		struct node *n = &nodes[i];

		if (n->dead)
			continue;
		if (now % 1000 == (ht_ms)i * STEP_MS % 1000)
			greet(n);
		if (!n->silent)
			ht_load_exchange_run(n->ex);
	}
}

static void run(ht_ms time)
{
	for (ht_ms end = now + time; now < end;)
		step();
}

static ht_ms view_age(const struct node *n)
{
	return ht_load_view_age(n->load, now);
}

static struct node *first_of(unsigned int dc, size_t rank)
{
	for (size_t i = 0; i < node_count; i++) {
		struct node *n = &nodes[i];
		const struct ht_neighbour *first;

		if (n->dc != dc || n->dead)
			continue;
		first = ht_neighbours_ranked(n->neighbours, rank, now);
		return first ? &nodes[first->at.ip - 0x0a000000U] : n;
	}
	return NULL;
}

static size_t views_made(unsigned int dc)
{
	size_t count = 0;

	for (size_t i = 0; i < node_count; i++) {
		if (nodes[i].dc != dc)
			continue;
		count += nodes[i].views_made > 0;
		nodes[i].views_made = 0;
	}
	return count;
}

/* Number of members of which the collector has a report. */
static size_t most_members(unsigned int dc)
{
	size_t most = 0;

	for (size_t i = 0; i < node_count; i++) {
		size_t members = ht_load_member_count(nodes[i].load, now);

		if (nodes[i].dc == dc && members > most)
			most = members;
	}
	return most;
}

static uint64_t total_bytes(void)
{
	uint64_t bytes = 0;

	for (size_t i = 0; i < node_count; i++) {
		bytes += nodes[i].sent_bytes;
		nodes[i].sent_bytes = 0;
	}
	return bytes;
}

static double shared_opening(const struct node *n, size_t *dcs)
{
	struct ht_load_state state;
	double sum = 0;

	ht_load_get(n->load, service_key(0), ht_neighbours_local_count(n->neighbours, now), &state,
		    now);
	*dcs = state.source == HT_LOAD_SHARED ? state.dc_count : 0;
	for (size_t d = 0; d < state.dc_count; d++)
		for (size_t c = 0; c < state.class_count; c++)
			sum += state.dcs[d].opening[c];
	return sum;
}

/* Number of the targets that the view lists; their figures are checked. */
static size_t listed(const struct node *n)
{
	struct ht_load_target target;
	size_t count = 0;

	for (unsigned int t = 0; t < TARGETS; t++) {
		if (!ht_load_target(n->load, (uint32_t)ht_hash_pair(t, 1), &target, now))
			continue;
		ck_assert_uint_ge(target.open, 1 + t % 3);
		ck_assert_uint_ge(target.flows, 9 + t % 5);
		count++;
	}
	return count;
}

static const size_t small[DCS] = {5, 5, 4}, large[DCS] = {29, 29, 28};

/* Guards against instances that get no view, and against views that do not cover all instances. */
START_TEST(all_have_a_view_within_two_intervals)
{
	const double expected = (double)(small[0] + small[1] + small[2]) * CLASSES * OPENINGS *
				1000 / HT_LOAD_BUSY_MS;

	add_nodes(small);
	set_pace(HT_LOAD_BUSY);
	run(2 * HT_LOAD_BUSY_MS);
	for (size_t i = 0; i < node_count; i++)
		ck_assert_int_lt(view_age(&nodes[i]), HT_LOAD_BUSY_MS + 2 * STEP_MS);
	run(2 * HT_LOAD_BUSY_MS);
	for (size_t i = 0; i < node_count; i++) {
		size_t dcs;

		ck_assert_double_eq_tol(shared_opening(&nodes[i], &dcs), expected, expected / 10);
		ck_assert_uint_eq(dcs, DCS);
		ck_assert_uint_gt(nodes[i].updates, 0);
		ck_assert_uint_ge(listed(&nodes[i]), HT_LOAD_TARGETS_MAX);
	}
	/* Each data centre has one collector, the first in the order. */
	for (unsigned int dc = 0; dc < DCS; dc++)
		views_made(dc);
	run(4 * HT_LOAD_BUSY_MS);
	for (unsigned int dc = 0; dc < DCS; dc++) {
		ck_assert_uint_gt(first_of(dc, 0)->views_made, 0);
		ck_assert_uint_eq(views_made(dc), 1);
	}
}
END_TEST

/* Guards against traffic while there is no need for it. */
START_TEST(nothing_is_sent_when_idle)
{
	add_nodes(small);
	run(10000);
	ck_assert_uint_eq(total_bytes(), 0);
	ck_assert_uint_gt(nodes[0].updates, 0);
	set_pace(HT_LOAD_BUSY);
	run(3000);
	ck_assert_uint_gt(total_bytes(), 0);
	set_pace(HT_LOAD_IDLE);
	/* Instances and data centres that were busy lately are still answered. */
	run(10000);
	total_bytes();
	run(5000);
	ck_assert_uint_eq(total_bytes(), 0);
}
END_TEST

/* Load about the limit between two paces: guards against instances that begin their interval anew
 * at each change and so neither report nor send views. */
START_TEST(changes_of_pace_do_not_delay_views)
{
	add_nodes(small);
	set_pace(HT_LOAD_BUSY);
	run(3000);
	for (int i = 0; i < 40; i++) {
		set_pace(i % 2 ? HT_LOAD_BUSY : HT_LOAD_RELAXED);
		for (ht_ms end = now + 300; now < end;) {
			step();
			for (size_t k = 0; k < node_count; k++)
				ck_assert_int_lt(view_age(&nodes[k]),
						 HT_LOAD_RELAXED_MS + 4 * STEP_MS);
		}
	}
	ck_assert_uint_eq(most_members(0), small[0] - 1);
}
END_TEST

/* Guards against a data centre with a burst that gets no views because its collector sees none of
 * it. */
START_TEST(idle_collector_serves_busy_members)
{
	struct node *first;

	add_nodes(small);
	first = first_of(0, 0);
	for (size_t i = 0; i < node_count; i++)
		if (&nodes[i] != first)
			ht_load_exchange_set_pace(nodes[i].ex, HT_LOAD_BUSY);
	run(2000);
	for (ht_ms end = now + 5000; now < end;) {
		step();
		for (size_t i = 0; i < node_count; i++)
			ck_assert_int_lt(view_age(&nodes[i]), HT_LOAD_BUSY_MS + 4 * STEP_MS);
	}
	ck_assert_uint_gt(first->views_made, 0);
}
END_TEST

/* Guards against flows that one data centre sends to targets of another one which knows nothing of
 * it, and against data centres that keep each other awake. */
START_TEST(burst_in_one_data_centre_wakes_the_others)
{
	add_nodes(small);
	for (size_t i = 0; i < small[0]; i++)
		ht_load_exchange_set_pace(nodes[i].ex, HT_LOAD_BUSY);
	run(2000);
	for (ht_ms end = now + 5000; now < end;) {
		step();
		for (size_t i = 0; i < node_count; i++)
			ck_assert_int_lt(view_age(&nodes[i]), HT_LOAD_BUSY_MS + 4 * STEP_MS);
	}
	for (size_t i = 0; i < node_count; i++) {
		size_t dcs;

		ck_assert_double_gt(shared_opening(&nodes[i], &dcs), 0);
		ck_assert_uint_eq(dcs, DCS);
	}
	set_pace(HT_LOAD_IDLE);
	run(10000);
	total_bytes();
	run(5000);
	ck_assert_uint_eq(total_bytes(), 0);
}
END_TEST

/* Finds a view that is on its way to @n. */
static struct datagram next_view_to(const struct node *n)
{
	for (int i = 0; i < 1000; i++, step()) {
		for (size_t k = 0; k < queue_len; k++) {
			const struct datagram *d = &queue[k];
			Ht__EntryGreeting *msg = ht__entry_greeting__unpack(NULL, d->len, d->data);
			bool found = d->to == n->index && msg->load->kind == HT_LOAD_VIEW;

			ht__entry_greeting__free_unpacked(msg, NULL);
			if (found)
				return *d;
		}
	}
	ck_abort_msg("no view for %s", n->name);
}

/* Failure: a frozen process. Guards against the views in its socket, seconds old, that it would act
 * on and forward to others as if they were new. */
START_TEST(views_queued_while_frozen_are_ignored)
{
	struct datagram old;
	struct node *n;
	uint64_t sent;

	add_nodes(small);
	set_pace(HT_LOAD_BUSY);
	run(3000);
	n = first_of(0, 1);
	old = next_view_to(n);
	n->dead = true;
	run(4000);
	n->dead = false;
	ht_load_exchange_run(n->ex);
	sent = n->sent;
	deliver(&old);
	ck_assert_int_eq(view_age(n), HT_NEVER);
	ck_assert_uint_eq(n->sent, sent);
	run(2000);
	ck_assert_int_lt(view_age(n), HT_LOAD_BUSY_MS + 4 * STEP_MS);
}
END_TEST

/* Guards against a data centre without views after the loss of its collector, for longer than the
 * 2 s after which the dead one's share has to be with the live ones. */
START_TEST(next_takes_over_from_a_dead_collector)
{
	for (int phase = 0; phase < 10; phase++) {
		struct node *lost;
		ht_ms died;

		if (phase)
			stop();
		start();
		add_nodes(small);
		set_pace(HT_LOAD_BUSY);
		run(3000 + phase * HT_LOAD_BUSY_MS / 10);
		lost = first_of(1, 0);
		lost->dead = true;
		died = now;
		run(2000);
		for (size_t i = 0; i < node_count; i++) {
			size_t dcs;
			double all = shared_opening(&nodes[i], &dcs);

			if (&nodes[i] == lost)
				continue;
			ck_assert_int_lt(view_age(&nodes[i]), HT_LOAD_BUSY_MS + 2 * STEP_MS);
			ck_assert_int_gt(now - view_age(&nodes[i]), died);
			if (nodes[i].dc == lost->dc)
				ck_assert_double_gt(all, 0);
		}
		/* While greetings of the dead one are still counted as recent, and after that. */
		for (ht_ms end = now + 10000; now < end;) {
			step();
			for (size_t i = 0; i < node_count; i++)
				if (!nodes[i].dead)
					ck_assert_int_lt(view_age(&nodes[i]),
							 2 * HT_LOAD_BUSY_MS + 4 * STEP_MS);
		}
		for (size_t i = 0; i < node_count; i++) {
			size_t dcs;

			if (nodes[i].dead)
				continue;
			ck_assert_double_gt(shared_opening(&nodes[i], &dcs), 0);
			ck_assert_uint_eq(dcs, DCS);
		}
		/* It returns and is a member like the others. */
		lost->dead = false;
		run(8000);
		views_made(lost->dc);
		run(3000);
		ck_assert_uint_eq(views_made(lost->dc), 1);
		ck_assert_int_lt(view_age(lost), HT_LOAD_BUSY_MS + 2 * STEP_MS);
		ck_assert_uint_eq(most_members(lost->dc), small[lost->dc] - 1);
	}
}
END_TEST

static void partition_and_heal(struct node *cut, ht_ms fallback)
{
	struct ht_load_state state;

	run(3000);
	cut->side = 1;
	run(fallback);
	ck_assert_int_eq(view_age(cut), HT_NEVER);
	/* Also when the others are not live any more, and when its turn to collect has come. */
	for (ht_ms end = now + 15000; now < end;) {
		step();
		ck_assert_int_eq(view_age(cut), HT_NEVER);
	}
	ht_load_get(cut->load, service_key(0), 1, &state, now);
	ck_assert_int_eq(state.source, HT_LOAD_OWN);
	for (size_t i = 0; i < node_count; i++)
		if (&nodes[i] != cut)
			ck_assert_int_lt(view_age(&nodes[i]), HT_LOAD_BUSY_MS + 2 * STEP_MS);
	cut->side = 0;
	/* Greetings go out once a second, to a few instances each. */
	run(4000);
	for (size_t i = 0; i < node_count; i++)
		ck_assert_int_lt(view_age(&nodes[i]), HT_LOAD_BUSY_MS + 2 * STEP_MS);
}

/* Guards against an instance that takes its own counts for those of all. */
START_TEST(partitioned_instance_falls_back_and_returns)
{
	add_nodes(small);
	set_pace(HT_LOAD_BUSY);
	/* The last view is valid for 1.2 s. */
	partition_and_heal(first_of(2, 3), 1200);
	/* A collector makes views as long as it has reports or sums, for 1.25 s. */
	partition_and_heal(first_of(0, 0), 1250 + 1200 + STEP_MS);
}
END_TEST

/* Guards against data centres without views during an upgrade, and against members that depend on
 * an instance of an earlier build to pass views on: it is live, but sends nothing. */
START_TEST(instances_of_an_earlier_build_are_passed_over)
{
	add_nodes(large);
	first_of(0, 0)->silent = true;
	nodes[node_count - 1].silent = true;
	/* The first two in the order. */
	for (size_t rank = 0; rank < 2; rank++)
		first_of(1, rank)->silent = true;
	set_pace(HT_LOAD_BUSY);
	run(6000);
	for (ht_ms end = now + 10000; now < end;) {
		step();
		for (size_t i = 0; i < node_count; i++)
			if (!nodes[i].silent)
				ck_assert_int_ne(view_age(&nodes[i]), HT_NEVER);
	}
	for (size_t i = 0; i < node_count; i++) {
		size_t dcs;

		if (nodes[i].silent) {
			ck_assert_uint_eq(nodes[i].sent, 0);
			continue;
		}
		ck_assert_double_gt(shared_opening(&nodes[i], &dcs), 0);
		ck_assert_uint_eq(dcs, DCS);
	}
}
END_TEST

/* Guards against members that change between collectors, and against a second one that stays. */
START_TEST(one_of_two_collectors_remains)
{
	add_nodes(small);
	set_pace(HT_LOAD_BUSY);
	run(1000);
	/* Both parts of a data centre have a collector each. */
	for (size_t i = 0; i < small[0] / 2; i++)
		nodes[i].side = 1;
	run(6000);
	views_made(0);
	run(2000);
	for (size_t i = 0; i < small[0]; i++)
		ck_assert_int_lt(view_age(&nodes[i]), HT_LOAD_BUSY_MS + 4 * STEP_MS);
	ck_assert_uint_eq(views_made(0), 2);
	for (size_t i = 0; i < small[0]; i++)
		nodes[i].side = 0;
	for (ht_ms end = now + 6000; now < end;) {
		step();
		for (size_t i = 0; i < node_count; i++)
			ck_assert_int_lt(view_age(&nodes[i]), HT_LOAD_BUSY_MS + 4 * STEP_MS);
	}
	views_made(0);
	run(3000);
	ck_assert_uint_eq(views_made(0), 1);
	ck_assert_uint_eq(most_members(0), small[0] - 1);
}
END_TEST

static void make_sum(struct ht_load_sum *sum, uint32_t dc)
{
	*sum = (struct ht_load_sum){.dc = dc, .instances = 3, .age = 120, .service_count = 1};
	sum->services[0].service = service_key(0);
	sum->services[0].class_count = 1;
	sum->services[0].classes[0] = (struct ht_load_demand){
		.terms = class_terms(1), .opening = 120, .refused = 0.1, .work_ms = 21};
	sum->services[0].place_count = 1;
	sum->services[0].places[0] =
		(struct ht_load_place){.dc = dc, .open = 2.4, .answered = 119, .shed = 0.04};
	sum->target_count = 1;
	sum->targets[0] = (struct ht_load_target){.mark = 0xfedcba98, .open = 300, .flows = 70000};
}

static void encode_sum(struct ht_load_message *m, const struct ht_load_sum *sum,
		       enum ht_load_kind kind, const char *sender)
{
	const struct ht_load_sum *sums[] = {sum};

	ht_load_encode(m, sums, 1, HT_LOAD_TARGETS_MAX, NULL);
	m->msg.kind = kind;
	m->msg.instance = (uint32_t)ht_hash_str(sender);
}

START_TEST(sums_survive_encoding)
{
	const double figures[] = {0, 0.1, 0.2, 1, 7.3, 99, 1234, 200000};
	struct ht_load_message m;
	struct ht_load_names names;
	struct ht_load_view view;
	struct ht_load_sum sum;

	make_sum(&sum, 7);
	for (size_t i = 0; i < sizeof(figures) / sizeof(figures[0]); i++) {
		const struct ht_load_service *s = &view.dcs[0].services[0];

		sum.services[0].classes[0].opening = figures[i];
		encode_sum(&m, &sum, HT_LOAD_SUM, "x");
		ck_assert(ht_load_decode(&m.msg, NULL, 0, &view, &names));
		ck_assert_uint_eq(view.count, 1);
		ck_assert_uint_eq(view.dcs[0].dc, 7);
		ck_assert_uint_eq(view.dcs[0].instances, 3);
		ck_assert_int_eq(view.dcs[0].age, 120);
		ck_assert_uint_eq(s->service, service_key(0));
		ck_assert_int_eq(s->classes[0].terms.aim, class_terms(1).aim);
		ck_assert_int_eq(s->classes[0].terms.limit, class_terms(1).limit);
		ck_assert_uint_eq(s->classes[0].terms.priority, class_terms(1).priority);
		ck_assert_double_le(fabs(s->classes[0].opening - figures[i]), 0.03 * figures[i]);
		ck_assert_double_le(fabs(s->classes[0].work_ms - 21), 0.03 * 21);
		ck_assert_double_le(fabs(s->places[0].open - 2.4), 0.03 * 2.4);
		ck_assert(s->places[0].shed <= 0);
		ck_assert_int_eq(memcmp(view.dcs[0].targets, sum.targets, sizeof(sum.targets[0])),
				 0);
	}
	/* Absurd figures stay within the range. */
	sum.services[0].classes[0].opening = INFINITY;
	sum.services[0].classes[0].refused = NAN;
	sum.services[0].places[0].open = -5;
	encode_sum(&m, &sum, HT_LOAD_SUM, "x");
	ck_assert(ht_load_decode(&m.msg, NULL, 0, &view, &names));
	ck_assert_double_lt(view.dcs[0].services[0].classes[0].opening, 300000);
	ck_assert(view.dcs[0].services[0].classes[0].refused <= 0);
	ck_assert(view.dcs[0].services[0].places[0].open <= 0);
}
END_TEST

/* Guards against a view that does not list targets filled by idle flows, because others have
 * requests in flight, and against a target that is listed once per data centre. */
START_TEST(view_lists_targets_by_requests_and_by_flows)
{
	struct ht_load_message m;
	struct ht_load_names names;
	struct ht_load_view view;
	struct ht_load_sum sum[2];
	const struct ht_load_sum *sums[] = {&sum[0], &sum[1]};

	for (uint32_t i = 0; i < 2; i++) {
		make_sum(&sum[i], 7 + i);
		sum[i].target_count = HT_LOAD_TARGETS_MAX;
		for (uint32_t t = 0; t < HT_LOAD_TARGETS_MAX; t++)
			sum[i].targets[t] = i || t >= 8
						    ? (struct ht_load_target){t + 1 + i * 8, 5, 5}
						    : (struct ht_load_target){t + 1, 0, 90};
	}
	/* Marks 1 to 8 have idle flows, 9 to 16 are in both sums, 17 to 24 in the second. */
	ht_load_encode(&m, sums, 2, HT_LOAD_TARGETS_MAX, NULL);
	ck_assert(ht_load_decode(&m.msg, NULL, 0, &view, &names));
	ck_assert_uint_eq(view.dcs[0].target_count, HT_LOAD_TARGETS_MAX);
	ck_assert_uint_eq(view.dcs[1].target_count, 0);
	for (size_t t = 0; t < HT_LOAD_TARGETS_MAX; t++) {
		const struct ht_load_target *found = &view.dcs[0].targets[t];

		for (size_t k = 0; k < t; k++)
			ck_assert_uint_ne(found->mark, view.dcs[0].targets[k].mark);
		ck_assert_uint_le(found->mark, 16);
		ck_assert_uint_eq(found->open, found->mark <= 8 ? 0 : 10);
		ck_assert_uint_eq(found->flows, found->mark <= 8 ? 90 : 10);
	}
}
END_TEST

/* Guards against reads beyond a message's arrays: every count in it may be wrong. */
START_TEST(malformed_messages_are_refused)
{
	struct ht_load_message good, m;
	struct ht_load_names names;
	struct ht_load_view view;
	struct ht_load_sum sum;
	uint32_t many[HT_LOAD_TARGETS_MAX + 1] = {0};

	make_sum(&sum, 7);
	encode_sum(&good, &sum, HT_LOAD_SUM, "x");
#define REFUSED_WITH(change)                                                                       \
	do {                                                                                       \
		m.msg = good.msg;                                                                  \
		m.msg.change;                                                                      \
		ck_assert_msg(!ht_load_decode(&m.msg, NULL, 0, &view, &names), "%s", #change);     \
	} while (0)
	REFUSED_WITH(n_dcs = 0);
	REFUSED_WITH(n_services = 0);
	REFUSED_WITH(n_terms = 0);
	REFUSED_WITH(n_terms--);
	REFUSED_WITH(n_instances = 0);
	REFUSED_WITH(n_instances = 2);
	REFUSED_WITH(n_ages = 0);
	REFUSED_WITH(demand.len--);
	REFUSED_WITH(work.len++);
	REFUSED_WITH(places.len--);
	REFUSED_WITH(n_target_open = 0);
	REFUSED_WITH(n_target_flows = 2);
	REFUSED_WITH(names = 1);
	REFUSED_WITH(n_target_marks = m.msg.n_target_open = m.msg.n_target_flows =
			     HT_LOAD_TARGETS_MAX + 1;
		     m.msg.target_marks = m.msg.target_open = m.msg.target_flows = many);
	REFUSED_WITH(n_dcs = HT_LOAD_TARGETS_MAX + 1; m.msg.dcs = many);
	REFUSED_WITH(n_services = HT_LOAD_TARGETS_MAX + 1; m.msg.services = many);
	good.terms[0] = UINT32_MAX;
	REFUSED_WITH(kind = HT_LOAD_SUM);
	good.terms[0] = 1;
	good.instances[0] = 0;
	REFUSED_WITH(kind = HT_LOAD_SUM);
	good.instances[0] = HT_LOAD_INSTANCES_MAX + 1;
	REFUSED_WITH(kind = HT_LOAD_SUM);
	good.instances[0] = 3;
	ck_assert(ht_load_decode(&good.msg, NULL, 0, &view, &names));
}
END_TEST

/* Guards against messages that change what instances believe though no member has sent them. */
START_TEST(forged_messages_are_ignored)
{
	struct ht_load_message m;
	struct ht_load_sum sum;
	struct node *n;
	size_t members;

	add_nodes(small);
	set_pace(HT_LOAD_BUSY);
	run(3000);
	n = first_of(0, 0);
	members = ht_load_member_count(n->load, now);
	ck_assert_uint_eq(members, small[0] - 1);
	total_bytes();
	n->updates = 0;
	queue_len = 0;
	/* A report and a view of a stranger, of this instance, and of another data centre. */
	make_sum(&sum, ht_load_key(dc_names[0]));
	for (enum ht_load_kind kind = HT_LOAD_REPORT; kind <= HT_LOAD_VIEW; kind++) {
		encode_sum(&m, &sum, kind, "stranger");
		ht_load_exchange_receive(n->ex, &m.msg);
		encode_sum(&m, &sum, kind, n->name);
		ht_load_exchange_receive(n->ex, &m.msg);
		encode_sum(&m, &sum, kind, first_of(1, 0)->name);
		ht_load_exchange_receive(n->ex, &m.msg);
	}
	/* The same of a data centre that does not exist, or of an unknown kind. */
	make_sum(&sum, 77);
	for (uint32_t kind = 0; kind < 6; kind++) {
		encode_sum(&m, &sum, HT_LOAD_SUM, first_of(0, 1)->name);
		m.msg.kind = kind;
		ht_load_exchange_receive(n->ex, &m.msg);
	}
	ck_assert_uint_eq(ht_load_member_count(n->load, now), members);
	ck_assert_uint_eq(n->updates, 0);
	ck_assert_uint_eq(queue_len, 0);
	ck_assert_uint_eq(total_bytes(), 0);
}
END_TEST

/* Guards against sums that circle between instances that disagree about who collects. */
START_TEST(sum_is_forwarded_once_within_the_data_centre)
{
	struct ht_load_message m;
	Ht__EntryGreeting *msg;
	struct ht_load_sum sum;
	struct node *n;

	add_nodes(small);
	set_pace(HT_LOAD_BUSY);
	run(3000);
	n = first_of(0, 2);
	queue_len = 0;
	make_sum(&sum, ht_load_key(dc_names[1]));
	encode_sum(&m, &sum, HT_LOAD_SUM, first_of(1, 0)->name);
	ht_load_exchange_receive(n->ex, &m.msg);
	ck_assert_uint_eq(queue_len, 1);
	ck_assert_uint_eq(queue[0].to, first_of(0, 0)->index);
	msg = ht__entry_greeting__unpack(NULL, queue[0].len, queue[0].data);
	queue_len = 0;
	ht_load_exchange_receive(n->ex, msg->load);
	ck_assert_uint_eq(queue_len, 0);
	ht__entry_greeting__free_unpacked(msg, NULL);
}
END_TEST

static void fill_large_sum(struct ht_load_sum *sum, uint32_t dc)
{
	*sum = (struct ht_load_sum){.dc = dc,
				    .instances = 1000,
				    .service_count = HT_LOAD_SERVICES_MAX,
				    .target_count = HT_LOAD_TARGETS_MAX};
	for (uint32_t s = 0; s < HT_LOAD_SERVICES_MAX; s++) {
		struct ht_load_service *service = &sum->services[s];

		service->service = 1000 + s;
		service->class_count = HT_LOAD_CLASSES_MAX;
		service->place_count = HT_LOAD_DCS_MAX;
		for (uint32_t c = 0; c < HT_LOAD_CLASSES_MAX; c++)
			service->classes[c] =
				(struct ht_load_demand){.terms = class_terms(c), .opening = 9};
		for (uint32_t p = 0; p < HT_LOAD_DCS_MAX; p++)
			service->places[p] =
				(struct ht_load_place){.dc = p ? p : dc, .open = 9, .answered = 9};
	}
	for (uint32_t t = 0; t < HT_LOAD_TARGETS_MAX; t++)
		sum->targets[t] =
			(struct ht_load_target){.mark = dc ^ t << 8, .open = 900, .flows = 70000};
}

/* Guards against views that are not sent at all because they do not fit a datagram. */
START_TEST(large_view_leaves_out_targets_then_data_centres)
{
	const struct ht_view_state none = {0};
	struct ht_load_sum sum;
	bool checked = false;

	add_node(0);
	for (unsigned int i = 1; i < 900; i++) {
		char name[32];

		snprintf(name, sizeof(name), "member-%u", i);
		ht_neighbours_heard(nodes[0].neighbours, name, dc_names[0], at(i), 10, &none, now);
	}
	set_pace(HT_LOAD_BUSY);
	for (uint32_t dc = 1; dc < HT_LOAD_DCS_MAX; dc++) {
		fill_large_sum(&sum, dc);
		ht_load_put_dc(nodes[0].load, &sum, now);
	}
	fill_large_sum(&sum, ht_load_key(dc_names[0]));
	ht_load_put_report(nodes[0].load, 1, &sum, now);
	for (int i = 0; i < 400 && !queue_len; i++) {
		now += STEP_MS;
		ht_load_exchange_run(nodes[0].ex);
	}
	ck_assert_uint_ge(queue_len, HT_FANOUT_MIN);
	for (size_t i = 0; i < queue_len; i++) {
		Ht__EntryGreeting *msg =
			ht__entry_greeting__unpack(NULL, queue[i].len, queue[i].data);

		ck_assert(msg && msg->load && msg->load->kind == HT_LOAD_VIEW);
		ck_assert_uint_eq(msg->load->n_target_marks, 0);
		ck_assert_uint_ge(msg->load->n_instances, 1);
		ck_assert_uint_lt(msg->load->n_instances, HT_LOAD_DCS_MAX);
		checked = true;
		ht__entry_greeting__free_unpacked(msg, NULL);
	}
	ck_assert(checked);
}
END_TEST

static double cost(const size_t counts[DCS])
{
	const ht_ms time = 10000;
	double bytes;

	add_nodes(counts);
	set_pace(HT_LOAD_BUSY);
	run(15000);
	total_bytes();
	run(time);
	bytes = (double)total_bytes() * 1000 / (double)time / (double)node_count;
	for (size_t i = 0; i < node_count; i++) {
		size_t dcs;

		ck_assert_int_ne(view_age(&nodes[i]), HT_NEVER);
		shared_opening(&nodes[i], &dcs);
		ck_assert_uint_eq(dcs, DCS);
	}
	for (unsigned int dc = 0; dc < DCS; dc++)
		views_made(dc);
	run(2000);
	printf("%zu instances: %.0f bytes per instance and second, largest datagram %zu\n",
	       node_count, bytes, largest_sent);
	for (unsigned int dc = 0; dc < DCS; dc++)
		ck_assert_uint_eq(views_made(dc), 1);
	stop();
	start();
	return bytes;
}

/* Guards against traffic that exceeds 1 kB/s per instance or grows with the number of instances. */
START_TEST(cost_is_bounded)
{
	double at_86 = cost(large);
	double at_300 = cost((const size_t[]){100, 100, 100});

	ck_assert_double_le(at_86, 1000);
	ck_assert_double_le(at_300, 1.1 * at_86);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("load_exchange");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, sums_survive_encoding);
	tcase_add_test(tc, view_lists_targets_by_requests_and_by_flows);
	tcase_add_test(tc, malformed_messages_are_refused);
	tcase_add_test(tc, all_have_a_view_within_two_intervals);
	tcase_add_test(tc, nothing_is_sent_when_idle);
	tcase_add_test(tc, changes_of_pace_do_not_delay_views);
	tcase_add_test(tc, idle_collector_serves_busy_members);
	tcase_add_test(tc, burst_in_one_data_centre_wakes_the_others);
	tcase_add_test(tc, views_queued_while_frozen_are_ignored);
	tcase_add_test(tc, next_takes_over_from_a_dead_collector);
	tcase_add_test(tc, partitioned_instance_falls_back_and_returns);
	tcase_add_test(tc, instances_of_an_earlier_build_are_passed_over);
	tcase_add_test(tc, one_of_two_collectors_remains);
	tcase_add_test(tc, forged_messages_are_ignored);
	tcase_add_test(tc, sum_is_forwarded_once_within_the_data_centre);
	tcase_add_test(tc, large_view_leaves_out_targets_then_data_centres);
	tcase_add_test(tc, cost_is_bounded);
	return run_case("load_exchange", tc);
}
