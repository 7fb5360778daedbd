#include "bench/queuesim.h"

#include "base/hash.h"
#include "base/list.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Behaviour of callers and targets as docs/design/scarce-room.md states it. */
#define SLOTS 2
#define QUEUE_MAX 8
#define FULL 7 /* requests in flight from which a target is listed as full */
#define TRIES 3
#define SECOND_COPY_MS 200
#define THIRD_COPY_MS 400 /* after the second one */
#define OPEN_LIMIT_MS 1400
#define DEFAULT_LIMIT_MS 2500
#define SPREAD 0.5	 /* of the work, either way */
#define FAR_COST 4	 /* of targets in another data centre, before */
#define ORACLE_DEPTH 1.5 /* requests per slot up to which the oracle serves lower classes */
#define DCS_MAX 4

enum step {
	OPENING,  /* waits for its next copy, or for the target's answer to it */
	ASKED,	  /* the request is on its way */
	QUEUED,	  /* at the target */
	RUNNING,  /* in a slot */
	ANSWERED, /* the response is on its way */
	TURNED,	  /* a reset is on its way */
	LOST,	  /* at a target that has stopped */
	FINISHED
};

struct target {
	size_t dc, open, running, queued;
	bool up, draining;
	bool usable;	  /* as instances know it */
	ht_ms changed_at; /* when @up changed */
	ht_ms cold_until;
	double speed;
	struct ht_list queue;
	bool listed;	   /* as nearly full, by the state in force */
	bool listed_next;  /* by the state that is not yet in force */
	unsigned int *own; /* requests in flight, by instance */
};

struct request {
	struct ht_list node, queue_node;
	enum step step;
	bool continued;
	bool given_up; /* the caller does not wait any more */
	bool refused;  /* the last try, by an instance */
	size_t dc, class, instance;
	uint64_t caller;
	unsigned int tries, copies;
	ht_ms asked_at, tried_at, due, again;
	double work;
	struct target *target;
};

struct source {
	double rate, gap; /* requests until the next one, which shrinks */
};

struct dc {
	struct source opening[HT_LOAD_CLASSES_MAX], continued[HT_LOAD_CLASSES_MAX];
	struct queuesim_sums sums[HT_LOAD_CLASSES_MAX];
	struct ht_admission_dc counts; /* since the last state */
	struct ht_admission_plan plan;
};

struct queuesim {
	struct queuesim_params params;
	struct ht_admission_params admission;
	ht_ms now;
	uint64_t random;
	struct dc dcs[DCS_MAX];
	struct target *targets;
	size_t target_count, instance_count;
	struct ht_list requests;
	double continued[HT_LOAD_CLASSES_MAX]; /* since the last state */
	struct ht_admission_input state, last_state;
	double lowest_ms[HT_LOAD_CLASSES_MAX];
};

void queuesim_params_default(struct queuesim_params *params)
{
	*params = (struct queuesim_params){
		.policy = QUEUESIM_PLAN,
		.dcs = 3,
		.targets = 12,
		.instances = 6,
		.callers = 2000,
		.class_count = 2,
		.classes = {{{.priority = 0, .aim = 400, .limit = 1500}, 50},
			    {{.priority = 3, .aim = 1500, .limit = 2500}, 50}},
		.interval = 400,
		.age = 400,
		.path = 1,
		.long_path = 15,
		.detection = 600,
		.cold = 2000,
		.seed = 1,
	};
}

static double chance(struct queuesim *sim)
{
	sim->random = ht_hash_pair(sim->random, 1);
	return ldexp((double)(sim->random >> 11), -53);
}

static size_t draw(struct queuesim *sim, size_t count)
{
	return (size_t)(chance(sim) * (double)count);
}

struct queuesim *queuesim_new(const struct queuesim_params *params)
{
	struct queuesim *sim = calloc(1, sizeof(*sim));

	if (!sim || params->dcs > DCS_MAX)
		abort();
	sim->params = *params;
	sim->now = 100000;
	sim->random = ht_hash_pair(params->seed, 0);
	ht_admission_params_default(&sim->admission);
	ht_list_init(&sim->requests);
	sim->target_count = params->dcs * params->targets;
	sim->instance_count = params->dcs * params->instances;
	sim->targets = calloc(sim->target_count, sizeof(*sim->targets));
	for (size_t i = 0; i < sim->target_count; i++) {
		struct target *t = &sim->targets[i];

		*t = (struct target){
			.dc = i / params->targets, .up = true, .usable = true, .speed = 1};
		t->own = calloc(sim->instance_count, sizeof(*t->own));
		ht_list_init(&t->queue);
	}
	return sim;
}

static void drop(struct request *r)
{
	ht_list_del(&r->node);
	free(r);
}

void queuesim_free(struct queuesim *sim)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &sim->requests)
		drop(ht_container_of(pos, struct request, node));
	for (size_t i = 0; i < sim->target_count; i++)
		free(sim->targets[i].own);
	free(sim->targets);
	free(sim);
}

static const struct ht_load_terms *terms_of(const struct queuesim *sim, const struct request *r)
{
	return &sim->params.classes[r->class].terms;
}

static ht_ms limit_of(const struct queuesim *sim, const struct request *r)
{
	ht_ms limit = terms_of(sim, r)->limit;

	return limit > 0 ? limit : DEFAULT_LIMIT_MS;
}

static struct queuesim_sums *sums_of(struct queuesim *sim, const struct request *r)
{
	return &sim->dcs[r->dc].sums[r->class];
}

static ht_ms path_of(const struct queuesim *sim, const struct request *r)
{
	return r->target && r->target->dc != r->dc ? sim->params.long_path : sim->params.path;
}

static void attach(struct request *r, struct target *t)
{
	r->target = t;
	t->open++;
	t->own[r->instance]++;
}

static void detach(struct request *r)
{
	if (!r->target)
		return;
	r->target->open--;
	r->target->own[r->instance]--;
	r->target = NULL;
}

static bool open_to_flows(const struct target *t)
{
	return t->usable && !t->draining;
}

/* A target of the data centre for new flows, at random; NULL if there is none. */
static struct target *draw_target(struct queuesim *sim, size_t dc)
{
	struct target *first = &sim->targets[dc * sim->params.targets];
	size_t at = draw(sim, sim->params.targets);

	for (size_t i = 0; i < sim->params.targets; i++) {
		struct target *t = &first[(at + i) % sim->params.targets];

		if (open_to_flows(t))
			return t;
	}
	return NULL;
}

/* Those that the state in force lists as nearly full come last. */
static size_t cost(const struct target *t, size_t instance)
{
	return t->own[instance] + (t->listed ? SLOTS + QUEUE_MAX : 0);
}

/* The one with fewer requests in flight, as far as the instance knows, of two drawn at random. */
static struct target *pick_in(struct queuesim *sim, size_t dc, size_t instance)
{
	struct target *a = draw_target(sim, dc), *b = draw_target(sim, dc);

	if (!a || !b)
		return NULL;
	return cost(a, instance) <= cost(b, instance) ? a : b;
}

static struct target *pick_before(struct queuesim *sim, const struct request *r)
{
	size_t other = (r->dc + 1 + draw(sim, sim->params.dcs - 1)) % sim->params.dcs;
	struct target *near = pick_in(sim, r->dc, r->instance), *far = NULL;

	if (sim->params.dcs > 1)
		far = pick_in(sim, other, r->instance);
	if (!near || !far)
		return near ? near : far;
	return near->own[r->instance] + 1 <= FAR_COST * (far->own[r->instance] + 1) ? near : far;
}

static struct target *pick_by_plan(struct queuesim *sim, const struct request *r)
{
	const struct ht_admission_plan *plan = &sim->dcs[r->dc].plan;
	double point = chance(sim);

	if (!plan->short_of_room)
		return pick_before(sim, r);
	for (size_t i = 0; i < plan->dc_count; i++) {
		point -= plan->share[i];
		if (point < 0)
			return pick_in(sim, plan->dcs[i], r->instance);
	}
	return NULL;
}

static double expected_ms(const struct queuesim *sim, const struct request *r,
			  const struct target *t)
{
	double work = sim->params.classes[r->class].work_ms / t->speed;
	double ahead = fmax((double)t->open - SLOTS + 1, 0) / SLOTS;

	return (ahead + 1) * work +
	       4.0 * (double)(t->dc == r->dc ? sim->params.path : sim->params.long_path);
}

static bool is_urgent(const struct queuesim *sim, const struct request *r)
{
	for (size_t c = 0; c < sim->params.class_count; c++)
		if (sim->params.classes[c].terms.priority < terms_of(sim, r)->priority)
			return false;
	return true;
}

/* The target that responds first of those that the class may use, if it does so in time. */
static struct target *pick_by_oracle(struct queuesim *sim, const struct request *r)
{
	double depth = is_urgent(sim, r) ? SLOTS + QUEUE_MAX : SLOTS * ORACLE_DEPTH, best_ms = 0;
	double left = (double)(limit_of(sim, r) - (sim->now - r->asked_at));
	struct target *best = NULL;

	for (size_t i = 0; i < sim->target_count; i++) {
		struct target *t = &sim->targets[i];
		double expected = expected_ms(sim, r, t);

		if (!t->up || t->draining || (double)t->open >= depth || expected > left)
			continue;
		if (!best || expected < best_ms) {
			best = t;
			best_ms = expected;
		}
	}
	return best;
}

static void end(struct request *r)
{
	detach(r);
	r->step = FINISHED;
}

static void turn_away(struct queuesim *sim, struct request *r, bool by_instance)
{
	r->refused = by_instance;
	r->step = TURNED;
	r->due = sim->now + 2 * path_of(sim, r);
	r->again = HT_NEVER;
	detach(r);
}

static enum ht_admission admit(struct queuesim *sim, const struct request *r, struct target **t)
{
	enum ht_admission verdict = HT_ADMIT;

	if (sim->params.policy == QUEUESIM_ORACLE) {
		*t = pick_by_oracle(sim, r);
		return *t ? HT_ADMIT : r->copies < 2 ? HT_DELAY : HT_REFUSE;
	}
	if (sim->params.policy == QUEUESIM_PLAN)
		verdict = ht_admission_decide(
			&sim->dcs[r->dc].plan, &sim->admission, terms_of(sim, r),
			ht_hash_pair(r->caller, r->instance), r->copies, sim->now);
	if (verdict == HT_ADMIT)
		*t = sim->params.policy == QUEUESIM_PLAN ? pick_by_plan(sim, r)
							 : pick_before(sim, r);
	return verdict;
}

static void send_copy(struct queuesim *sim, struct request *r)
{
	struct queuesim_sums *sums = sums_of(sim, r);
	struct target *t = NULL;
	enum ht_admission verdict;

	detach(r);
	verdict = admit(sim, r, &t);
	if (verdict == HT_REFUSE) {
		sums->refused++;
		turn_away(sim, r, true);
		return;
	}
	sums->delayed += verdict == HT_DELAY;
	r->due = HT_NEVER;
	r->again = r->copies == 0   ? sim->now + SECOND_COPY_MS
		   : r->copies == 1 ? sim->now + THIRD_COPY_MS
				    : HT_NEVER;
	r->copies++;
	if (!t)
		return;
	attach(r, t);
	sums->elsewhere += t->dc != r->dc;
	if (t->up)
		r->due = sim->now + 2 * path_of(sim, r);
}

/* Another try on a new flow, or the end of the request. */
static void try_again(struct queuesim *sim, struct request *r)
{
	if (r->tries >= TRIES || r->continued) {
		sums_of(sim, r)->turned += r->refused;
		end(r);
		return;
	}
	r->tries++;
	r->copies = 0;
	r->step = OPENING;
	r->tried_at = sim->now;
	r->instance = r->dc * sim->params.instances + draw(sim, sim->params.instances);
	sim->dcs[r->dc].counts.opening[r->class]++;
	send_copy(sim, r);
}

static void start_work(struct queuesim *sim, struct request *r)
{
	double speed = r->target->speed / (sim->now < r->target->cold_until ? 2 : 1);

	r->target->running++;
	r->step = RUNNING;
	r->due = sim->now + (ht_ms)lround(r->work / speed);
}

static void arrive(struct queuesim *sim, struct request *r)
{
	struct target *t = r->target;

	if (!t->up) {
		r->step = LOST;
		r->due = HT_NEVER;
	} else if (t->running < SLOTS) {
		start_work(sim, r);
	} else if (t->queued < QUEUE_MAX) {
		t->queued++;
		ht_list_add_tail(&t->queue, &r->queue_node);
		r->step = QUEUED;
		r->due = HT_NEVER;
	} else {
		sim->dcs[t->dc].counts.shed++;
		sim->dcs[t->dc].counts.answered++;
		sums_of(sim, r)->shed++;
		turn_away(sim, r, false);
	}
}

/* The request leaves its slot, and the first of the queue gets it. */
static void finish_work(struct queuesim *sim, struct request *r)
{
	struct target *t = r->target;

	t->running--;
	r->step = ANSWERED;
	r->due = sim->now + path_of(sim, r);
	if (!ht_list_empty(&t->queue)) {
		struct request *next = ht_container_of(t->queue.next, struct request, queue_node);

		ht_list_del(&next->queue_node);
		t->queued--;
		start_work(sim, next);
	}
}

static void answered(struct queuesim *sim, struct request *r)
{
	struct queuesim_sums *sums = sums_of(sim, r);
	ht_ms took = sim->now - r->asked_at, aim = terms_of(sim, r)->aim;
	double *lowest = &sim->lowest_ms[r->class];

	sim->dcs[r->target->dc].counts.answered++;
	if (*lowest <= 0 || (double)(sim->now - r->tried_at) < *lowest)
		*lowest = (double)(sim->now - r->tried_at);
	if (!r->given_up && !r->continued) {
		sums->served++;
		sums->in_aim += aim <= 0 || took <= aim;
	}
	end(r);
}

static void step_request(struct queuesim *sim, struct request *r)
{
	switch (r->step) {
	case OPENING:
		r->step = ASKED;
		r->again = HT_NEVER;
		r->due = sim->now + path_of(sim, r);
		break;
	case ASKED:
		arrive(sim, r);
		break;
	case RUNNING:
		finish_work(sim, r);
		break;
	case ANSWERED:
		answered(sim, r);
		break;
	case TURNED:
		try_again(sim, r);
		break;
	case QUEUED:
	case LOST:
	case FINISHED:
		break;
	}
}

/* A target does not learn that the caller has given up, and works on. */
static void watch_request(struct queuesim *sim, struct request *r)
{
	if (sim->now - r->asked_at >= limit_of(sim, r))
		r->given_up = true;
	if (r->given_up && (r->step == OPENING || r->step == TURNED || r->step == LOST))
		end(r);
	else if (r->step == OPENING && sim->now - r->tried_at >= OPEN_LIMIT_MS)
		try_again(sim, r);
	else if (r->step == OPENING && sim->now >= r->again)
		send_copy(sim, r);
}

static void ask(struct queuesim *sim, size_t dc, size_t class, bool continued)
{
	struct request *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->dc = dc;
	r->class = class;
	r->caller = ht_hash_pair(dc, draw(sim, sim->params.callers));
	r->asked_at = r->tried_at = sim->now;
	r->again = HT_NEVER;
	r->work = sim->params.classes[class].work_ms * (1 + SPREAD * (2 * chance(sim) - 1));
	r->continued = continued;
	ht_list_add_tail(&sim->requests, &r->node);
	if (!continued) {
		sums_of(sim, r)->asked++;
		try_again(sim, r);
		return;
	}
	r->instance = dc * sim->params.instances + draw(sim, sim->params.instances);
	r->target = draw_target(sim, dc);
	if (!r->target) {
		end(r);
		return;
	}
	attach(r, r->target);
	sim->dcs[dc].counts.continued++;
	sim->continued[class]++;
	r->step = ASKED;
	r->due = sim->now + sim->params.path;
}

/* Requests at exponentially distributed intervals. */
static void run_source(struct queuesim *sim, struct source *source, size_t dc, size_t class,
		       bool continued)
{
	source->gap -= source->rate / 1000;
	while (source->rate > 0 && source->gap <= 0) {
		source->gap -= log1p(-chance(sim));
		ask(sim, dc, class, continued);
	}
}

static void run_sources(struct queuesim *sim)
{
	for (size_t i = 0; i < sim->params.dcs; i++) {
		for (size_t c = 0; c < sim->params.class_count; c++) {
			run_source(sim, &sim->dcs[i].opening[c], i, c, false);
			run_source(sim, &sim->dcs[i].continued[c], i, c, true);
		}
	}
}

static void update_targets(struct queuesim *sim)
{
	for (size_t i = 0; i < sim->target_count; i++) {
		struct target *t = &sim->targets[i];

		if (t->usable != t->up && sim->now - t->changed_at >= sim->params.detection)
			t->usable = t->up;
	}
}

/* State of a data centre as its instances see it; the counts begin anew. */
static struct ht_admission_dc take_counts(struct queuesim *sim, size_t dc)
{
	struct ht_admission_dc out = sim->dcs[dc].counts;
	double scale = 1000 / (double)sim->params.interval;

	out.dc = (uint32_t)dc;
	out.answered *= scale;
	out.shed *= scale;
	out.continued *= scale;
	for (size_t c = 0; c < sim->params.class_count; c++)
		out.opening[c] *= scale;
	for (size_t i = dc * sim->params.targets; i < (dc + 1) * sim->params.targets; i++) {
		const struct target *t = &sim->targets[i];

		if (!open_to_flows(t))
			continue;
		out.slots += sim->now < t->cold_until ? SLOTS / 2.0 : SLOTS;
		out.open += (double)t->open;
	}
	out.usable = out.slots > 0;
	memset(&sim->dcs[dc].counts, 0, sizeof(sim->dcs[dc].counts));
	return out;
}

/* Full targets are known to the instances as late as the rest of the state. */
static void list_full_targets(struct queuesim *sim)
{
	for (size_t i = 0; i < sim->target_count; i++) {
		struct target *t = &sim->targets[i];

		t->listed = t->listed_next;
		t->listed_next = t->open >= FULL;
	}
}

static void take_state(struct queuesim *sim)
{
	struct ht_admission_input *state = &sim->state;

	sim->last_state = *state;
	*state = (struct ht_admission_input){.dc_count = sim->params.dcs,
					     .class_count = sim->params.class_count,
					     .source = HT_LOAD_SHARED};
	for (size_t i = 0; i < state->dc_count; i++)
		state->dcs[i] = take_counts(sim, i);
	for (size_t c = 0; c < state->class_count; c++) {
		state->classes[c] = sim->params.classes[c].terms;
		state->work_ms[c] = sim->lowest_ms[c];
		state->continued[c] = sim->continued[c] * 1000 / (double)sim->params.interval;
		sim->continued[c] = 0;
	}
}

static void update_plans(struct queuesim *sim, const struct ht_admission_input *state)
{
	for (size_t i = 0; i < sim->params.dcs && state->dc_count; i++) {
		struct ht_admission_input in = *state;

		in.dcs[i].local = true;
		ht_admission_update(&sim->dcs[i].plan, &in, &sim->admission);
	}
}

static void share_state(struct queuesim *sim)
{
	ht_ms phase = sim->now % sim->params.interval;

	if (phase == 0) {
		take_state(sim);
		if (sim->params.policy == QUEUESIM_PLAN)
			list_full_targets(sim);
	}
	if (phase == sim->params.age % sim->params.interval)
		update_plans(sim, sim->params.age < sim->params.interval ? &sim->state
									 : &sim->last_state);
}

static void tick(struct queuesim *sim)
{
	struct ht_list *pos, *tmp;

	update_targets(sim);
	share_state(sim);
	run_sources(sim);
	ht_list_for_each_safe (pos, tmp, &sim->requests) {
		struct request *r = ht_container_of(pos, struct request, node);

		if (sim->now >= r->due)
			step_request(sim, r);
		watch_request(sim, r);
		if (r->step == FINISHED)
			drop(r);
	}
	sim->now++;
}

void queuesim_run(struct queuesim *sim, ht_ms ms)
{
	for (ht_ms i = 0; i < ms; i++)
		tick(sim);
}

static void set_source(struct queuesim *sim, struct source *source, size_t class, double load)
{
	double slots = (double)sim->params.targets * SLOTS;

	source->rate = load * slots * 1000 / sim->params.classes[class].work_ms;
	source->gap = -log1p(-chance(sim));
}

void queuesim_set_load(struct queuesim *sim, size_t dc, size_t class, double load)
{
	set_source(sim, &sim->dcs[dc].opening[class], class, load);
}

void queuesim_set_continued(struct queuesim *sim, size_t dc, size_t class, double load)
{
	set_source(sim, &sim->dcs[dc].continued[class], class, load);
}

static bool stands_at(const struct request *r, const struct target *t)
{
	return r->target == t && r->step != OPENING;
}

/* Its flows get no answer any more. */
static void stop_target(struct queuesim *sim, struct target *t)
{
	struct ht_list *pos;

	t->up = false;
	t->changed_at = sim->now;
	t->running = t->queued = 0;
	ht_list_init(&t->queue);
	ht_list_for_each (pos, &sim->requests) {
		struct request *r = ht_container_of(pos, struct request, node);

		if (r->target == t)
			r->due = HT_NEVER;
		if (stands_at(r, t))
			r->step = LOST;
	}
}

void queuesim_stop_targets(struct queuesim *sim, size_t dc, size_t first, size_t count)
{
	for (size_t i = 0; i < count; i++)
		stop_target(sim, &sim->targets[dc * sim->params.targets + first + i]);
}

void queuesim_start_targets(struct queuesim *sim, size_t dc, size_t first, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct target *t = &sim->targets[dc * sim->params.targets + first + i];

		t->up = true;
		t->draining = false;
		t->changed_at = sim->now;
		t->cold_until = sim->now + sim->params.cold;
	}
}

void queuesim_drain_targets(struct queuesim *sim, size_t dc, size_t first, size_t count)
{
	for (size_t i = 0; i < count; i++)
		sim->targets[dc * sim->params.targets + first + i].draining = true;
}

void queuesim_set_speed(struct queuesim *sim, size_t dc, size_t first, size_t count, double speed)
{
	for (size_t i = 0; i < count; i++)
		sim->targets[dc * sim->params.targets + first + i].speed = speed;
}

const struct ht_admission_plan *queuesim_plan(const struct queuesim *sim, size_t dc)
{
	return &sim->dcs[dc].plan;
}

struct queuesim_sums queuesim_sums(const struct queuesim *sim, size_t dc, size_t class)
{
	struct queuesim_sums all = {0};

	for (size_t i = 0; i < sim->params.dcs; i++) {
		const struct queuesim_sums *s = &sim->dcs[i].sums[class];

		if (dc < sim->params.dcs && dc != i)
			continue;
		all.asked += s->asked;
		all.served += s->served;
		all.in_aim += s->in_aim;
		all.turned += s->turned;
		all.refused += s->refused;
		all.delayed += s->delayed;
		all.shed += s->shed;
		all.elsewhere += s->elsewhere;
	}
	return all;
}

void queuesim_clear(struct queuesim *sim)
{
	for (size_t i = 0; i < sim->params.dcs; i++)
		memset(sim->dcs[i].sums, 0, sizeof(sim->dcs[i].sums));
}
