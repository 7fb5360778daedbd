#include "bench/flowsim.h"

#include "base/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Slots, queues, times and sizes as the users' pages and site files have them. */
#define SERVICE_IP 0xc6120001U
#define SERVICE_PORT 443
#define SLOTS 3
#define QUEUE_MAX 8
#define PROBE_MS 1000
#define REPORT_MS 150
#define EXPIRE_MS 500
#define SLOW_TIMES 5
#define FLAP_MS 1000
#define ANSWER_BYTES 1000
#define ERROR_BYTES 150
#define REQUEST_BYTES 300
#define DATA_AGAIN_MS 200
#define OPEN_LIMIT_MS 1400
#define WAITS_MAX 2000 /* ms of the table of waits */
#define TARGET_NAME 32 /* size of a name */

enum state {
	OPENING,
	ASKED,
	QUEUED,	  /* at the target */
	RUNNING,  /* in a slot */
	ANSWERED, /* on the way back */
	SHED,	  /* turned away, on the way back */
	FINISHED
};

struct target {
	size_t index;
	double speed;
	ht_ms cold_until;
	enum flowsim_fault fault;
	ht_ms fault_at;
	size_t running, queued;
	bool probe_bad;
};

struct flow {
	struct ht_list node;
	enum state state;
	ht_ms asked_at;	  /* by the caller, for the first try */
	ht_ms started_at; /* this try */
	ht_ms due;	  /* next step */
	ht_ms again;	  /* next copy, or data sent again */
	ht_ms queued_at;
	unsigned int copies, repeats, tries;
	uint16_t port;
	uint32_t ip;
	size_t instance;
	uint32_t mark;
	struct target *target;
	double work;
};

struct instance {
	struct ht_catalog *catalog;
	struct ht_reports reports;
	struct ht_steering *steering;
	ht_ms *left_out_at; /* by target: when it was first left out after its fault */
};

struct flowsim {
	struct flowsim_params params;
	ht_ms now;
	uint64_t random;
	struct target *targets;
	struct instance *instances;
	struct ht_list flows;
	struct ht_list spare; /* flows that have ended, to be used again */
	uint32_t next_flow;
	double backlog; /* part of a request that is yet to be asked */
	struct flowsim_sums sums;
	double doubt_time, target_time; /* of targets without a fault, ms */
	uint64_t waits[WAITS_MAX + 1];
};

void flowsim_params_default(struct flowsim_params *p)
{
	*p = (struct flowsim_params){
		.instances = 9,
		.targets = 18,
		.belief = FLOWSIM_SHARED,
		.load = 0.4,
		.work_ms = 55,
		.spread = 0.5,
		.deadline = 2500,
		.tries = 3,
		.speed_min = 1,
		.speed_max = 1,
		.cold = 2000,
		.one_way = 1,
		.error_share = 1,
		.seed = 1,
	};
}

/* Evenly spread in [0, 1). */
static double chance(struct flowsim *sim)
{
	sim->random = ht_hash_pair(sim->random, 1);
	return (double)(sim->random >> 11) / (double)(1ULL << 53);
}

static bool silent(const struct flowsim *sim, const struct target *t)
{
	return t->fault == FLOWSIM_DEAD ||
	       (t->fault == FLOWSIM_FLAPS && (sim->now - t->fault_at) / FLAP_MS % 2 == 0);
}

static void put_target(struct flowsim *sim, struct instance *in, const struct target *t)
{
	char name[TARGET_NAME];
	struct ht_target_entry e = {
		.name = name,
		.id = 0x1000 + t->index,
		.at = {.ip = 0x0a000001U + (uint32_t)t->index, .port = 8080},
		.service = "stock",
		.dc = "here",
		.slots = SLOTS,
		.started = sim->now,
		.revision = {0, (uint64_t)sim->now + 1},
		.warmup = t->cold_until > sim->now ? t->cold_until - sim->now : 0,
	};

	snprintf(name, sizeof(name), "i-%zx", 0x1000 + t->index);
	ht_catalog_put_target(in->catalog, &e, HT_CATALOG_STORE, sim->now);
}

static struct ht_target *known(const struct instance *in, const struct target *t)
{
	char name[TARGET_NAME];

	snprintf(name, sizeof(name), "i-%zx", 0x1000 + t->index);
	return ht_catalog_by_name(in->catalog, name);
}

static void instance_init(struct flowsim *sim, struct instance *in, size_t i)
{
	struct ht_route_entry route = {.at = {SERVICE_IP, SERVICE_PORT}, .service = "stock"};
	struct ht_route_table table = {.id = {1, {0, 1}}, .count = 1, .entries = &route};
	struct ht_steering_params params;

	in->catalog = ht_catalog_new("here");
	ht_catalog_set_routes(in->catalog, &table);
	for (size_t k = 0; k < sim->params.targets; k++)
		put_target(sim, in, &sim->targets[k]);
	ht_steering_params_default(&params);
	params.catalog = in->catalog;
	params.reports = &in->reports;
	params.seed = ht_hash_pair(sim->params.seed, i);
	in->steering = ht_steering_new(&params);
	ht_steering_set_view_complete(in->steering, true);
	ht_steering_set_instance_count(in->steering, sim->params.instances);
	in->left_out_at = calloc(sim->params.targets + 1, sizeof(*in->left_out_at));
}

struct flowsim *flowsim_new(const struct flowsim_params *params)
{
	struct flowsim *sim = calloc(1, sizeof(*sim));
	double step;

	sim->params = *params;
	sim->now = 100000;
	sim->random = params->seed;
	ht_list_init(&sim->flows);
	ht_list_init(&sim->spare);
	sim->targets = calloc(params->targets, sizeof(*sim->targets));
	step = params->targets > 1 ? 1.0 / (double)(params->targets - 1) : 0;
	for (size_t i = 0; i < params->targets; i++)
		sim->targets[i] = (struct target){
			.index = i,
			.speed = params->speed_min +
				 (params->speed_max - params->speed_min) * step * (double)i,
		};
	sim->instances = calloc(params->instances, sizeof(*sim->instances));
	for (size_t i = 0; i < params->instances; i++)
		instance_init(sim, &sim->instances[i], i);
	return sim;
}

static void retire(struct flowsim *sim, struct flow *f)
{
	ht_list_del(&f->node);
	ht_list_add_tail(&sim->spare, &f->node);
}

static void drop_all(struct flowsim *sim)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &sim->flows)
		retire(sim, ht_container_of(pos, struct flow, node));
}

/* A flow without state, in the list of flows. */
static struct flow *new_flow(struct flowsim *sim)
{
	struct flow *f;

	if (ht_list_empty(&sim->spare)) {
		f = calloc(1, sizeof(*f));
	} else {
		f = ht_container_of(sim->spare.next, struct flow, node);
		ht_list_del(&f->node);
		*f = (struct flow){0};
	}
	ht_list_add_tail(&sim->flows, &f->node);
	return f;
}

void flowsim_free(struct flowsim *sim)
{
	struct ht_list *pos, *tmp;

	drop_all(sim);
	ht_list_for_each_safe (pos, tmp, &sim->spare)
		free(ht_container_of(pos, struct flow, node));
	for (size_t i = 0; i < sim->params.instances; i++) {
		ht_steering_free(sim->instances[i].steering);
		ht_catalog_free(sim->instances[i].catalog);
		free(sim->instances[i].left_out_at);
	}
	free(sim->instances);
	free(sim->targets);
	free(sim);
}

static struct ht_packet packet_of(const struct flow *f)
{
	return (struct ht_packet){.src = {.ip = f->ip, .port = f->port},
				  .dst = {.ip = SERVICE_IP, .port = SERVICE_PORT},
				  .mark = f->mark,
				  .sequence = 1,
				  .acknowledged = 1};
}

static void give_up(struct flowsim *sim, struct flow *f)
{
	f->state = FINISHED;
	sim->sums.failed++;
}

static void open_flow(struct flowsim *sim, struct flow *f)
{
	struct instance *in = &sim->instances[f->instance];
	struct ht_packet pkt = packet_of(f);
	struct ht_steering_decision d;

	pkt.opens = true;
	pkt.mark = 0;
	pkt.acknowledged = f->copies;
	d = ht_steering_packet(in->steering, &pkt, sim->now);
	sim->sums.deferred += d.reason == HT_STEER_DEFERRED;
	f->again = f->copies < 2 ? sim->now + (f->copies ? 400 : 200) : HT_NEVER;
	f->due = HT_NEVER;
	if (d.action != HT_STEER_FORWARD)
		return;
	f->target = &sim->targets[d.target->id - 0x1000];
	f->mark = d.mark;
	sim->sums.lost += f->target->fault != FLOWSIM_NONE && f->target->fault != FLOWSIM_ILL_ONLY;
	if (!silent(sim, f->target))
		f->due = sim->now + 2 * sim->params.one_way;
}

/* Another try on a flow of its own, or the end of the request. */
static void try_again(struct flowsim *sim, struct flow *f)
{
	if (f->tries >= sim->params.tries) {
		give_up(sim, f);
		return;
	}
	f->tries++;
	f->state = OPENING;
	f->started_at = sim->now;
	f->copies = f->repeats = 0;
	f->mark = 0;
	f->target = NULL;
	f->ip = 0x64400000U + sim->next_flow / 50000;
	f->port = (uint16_t)(1024 + sim->next_flow++ % 50000);
	f->instance = ht_hash_pair(f->ip, f->port) % sim->params.instances;
	open_flow(sim, f);
}

static void send_data(struct flowsim *sim, struct flow *f)
{
	struct ht_packet pkt = packet_of(f);

	pkt.length = REQUEST_BYTES;
	ht_steering_packet(sim->instances[f->instance].steering, &pkt, sim->now);
	f->again = sim->now + ((ht_ms)DATA_AGAIN_MS << (f->repeats < 3 ? f->repeats : 3));
}

static void start_work(struct flowsim *sim, struct flow *f)
{
	struct target *t = f->target;
	double speed = t->speed;

	if (sim->now < t->cold_until)
		speed /= 2;
	if (t->fault == FLOWSIM_SLOW)
		speed /= SLOW_TIMES;
	t->running++;
	f->state = RUNNING;
	f->due = t->fault == FLOWSIM_HANGS ? HT_NEVER : sim->now + (ht_ms)(f->work / speed);
}

/* The request has reached its target. */
static void arrive(struct flowsim *sim, struct flow *f)
{
	struct target *t = f->target;

	if (t->fault == FLOWSIM_ERRORS && chance(sim) < sim->params.error_share) {
		sim->sums.errors++;
		f->state = SHED;
		f->due = sim->now + 1 + sim->params.one_way;
	} else if (t->running < SLOTS) {
		start_work(sim, f);
	} else if (t->queued < QUEUE_MAX) {
		t->queued++;
		f->state = QUEUED;
		f->queued_at = sim->now;
		f->due = HT_NEVER;
	} else {
		sim->sums.shed++;
		f->state = SHED;
		f->due = sim->now + sim->params.one_way;
	}
}

static void leave_target(struct flowsim *sim, struct flow *f)
{
	if (f->state == RUNNING)
		f->target->running--;
	else if (f->state == QUEUED)
		f->target->queued--;
	(void)sim;
}

static void close_flow(struct flowsim *sim, struct flow *f, uint32_t bytes)
{
	struct ht_packet pkt = packet_of(f);

	pkt.acknowledged += bytes;
	ht_steering_packet(sim->instances[f->instance].steering, &pkt, sim->now);
	pkt.closes = true;
	ht_steering_packet(sim->instances[f->instance].steering, &pkt, sim->now);
}

static void step_flow(struct flowsim *sim, struct flow *f)
{
	switch (f->state) {
	case OPENING:
		f->state = ASKED;
		send_data(sim, f);
		f->due = sim->now + sim->params.one_way;
		break;
	case ASKED:
		if (silent(sim, f->target))
			f->due = HT_NEVER;
		else
			arrive(sim, f);
		break;
	case RUNNING:
		f->target->running--;
		f->state = ANSWERED;
		f->due = silent(sim, f->target) ? HT_NEVER : sim->now + sim->params.one_way;
		break;
	case ANSWERED: {
		ht_ms took = sim->now - f->asked_at;

		close_flow(sim, f, ANSWER_BYTES);
		f->state = FINISHED;
		sim->sums.served++;
		sim->waits[took < WAITS_MAX ? took : WAITS_MAX]++;
		break;
	}
	case SHED:
		close_flow(sim, f, ERROR_BYTES);
		try_again(sim, f);
		break;
	case QUEUED:
	case FINISHED:
		break;
	}
}

/* Copies, data sent again, and the ends of tries and requests. */
static void watch_flow(struct flowsim *sim, struct flow *f)
{
	if (sim->now - f->asked_at >= sim->params.deadline) {
		leave_target(sim, f);
		give_up(sim, f);
		return;
	}
	if (f->state == OPENING && sim->now - f->started_at >= OPEN_LIMIT_MS) {
		try_again(sim, f);
		return;
	}
	if (sim->now < f->again || f->state >= ANSWERED)
		return;
	if (f->state == OPENING) {
		f->copies++;
		open_flow(sim, f);
	} else {
		f->repeats++;
		send_data(sim, f);
	}
}

/* The one that waits longest in the queue of a target with a free slot. */
static void serve_queues(struct flowsim *sim)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &sim->flows) {
		struct flow *f = ht_container_of(pos, struct flow, node);

		if (f->state == QUEUED && f->target->running < SLOTS) {
			f->target->queued--;
			start_work(sim, f);
		}
	}
}

static double target_rate(const struct flowsim *sim, const struct target *t)
{
	return SLOTS * t->speed / sim->params.work_ms;
}

static void ask(struct flowsim *sim)
{
	double rate = 0;

	for (size_t i = 0; i < sim->params.targets; i++) {
		const struct target *t = &sim->targets[i];

		rate += target_rate(sim, t);
		if (t->fault == FLOWSIM_NONE || t->fault == FLOWSIM_ILL_ONLY)
			sim->sums.capacity += target_rate(sim, t);
	}
	sim->backlog += rate * sim->params.load;
	while (sim->backlog >= 1) {
		struct flow *f = new_flow(sim);

		sim->backlog--;
		sim->sums.asked++;
		f->asked_at = sim->now;
		f->work = sim->params.work_ms * (1 + sim->params.spread * (2 * chance(sim) - 1));
		try_again(sim, f);
	}
}

static void share_reports(struct flowsim *sim, struct instance *from)
{
	for (size_t i = 0; i < sim->params.instances; i++) {
		struct instance *to = &sim->instances[i];

		if (to == from)
			continue;
		for (size_t k = 0; k < from->reports.count; k++)
			ht_steering_apply_report(to->steering, &from->reports.list[k], sim->now);
	}
}

/* Beliefs by probes alone: evidence is replaced by the last probe. */
static void apply_probes(struct flowsim *sim, struct instance *in)
{
	for (size_t i = 0; i < sim->params.targets; i++) {
		const struct target *t = &sim->targets[i];

		known(in, t)->evidence =
			(struct ht_evidence){.suspected_until = t->probe_bad ? sim->now + 1 : 0};
	}
}

static void probe(struct flowsim *sim)
{
	for (size_t i = 0; i < sim->params.targets; i++) {
		struct target *t = &sim->targets[i];

		t->probe_bad = silent(sim, t) || t->fault == FLOWSIM_ILL_ONLY;
	}
}

static void observe(struct flowsim *sim, const struct instance *in)
{
	for (size_t i = 0; i < sim->params.targets; i++) {
		const struct target *t = &sim->targets[i];
		bool out = ht_evidence_suspected(&known(in, t)->evidence, sim->now);

		if (t->fault == FLOWSIM_NONE || t->fault == FLOWSIM_ILL_ONLY) {
			sim->doubt_time += out;
			sim->target_time++;
		} else if (out && !in->left_out_at[i]) {
			in->left_out_at[i] = sim->now;
		}
	}
}

static void drop_finished(struct flowsim *sim)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &sim->flows) {
		struct flow *f = ht_container_of(pos, struct flow, node);

		if (f->state == FINISHED)
			retire(sim, f);
	}
}

static void tick(struct flowsim *sim)
{
	struct ht_list *pos;

	ask(sim);
	ht_list_for_each (pos, &sim->flows) {
		struct flow *f = ht_container_of(pos, struct flow, node);

		if (sim->now >= f->due)
			step_flow(sim, f);
		if (f->state != FINISHED)
			watch_flow(sim, f);
	}
	serve_queues(sim);
	if (sim->now % PROBE_MS == 0)
		probe(sim);
	for (size_t i = 0; i < sim->params.instances; i++) {
		struct instance *in = &sim->instances[i];

		if (sim->now % EXPIRE_MS == 0)
			ht_steering_expire(in->steering, sim->now);
		if (sim->params.belief == FLOWSIM_PROBE)
			apply_probes(sim, in);
		if (sim->now % REPORT_MS == 0) {
			if (sim->params.belief == FLOWSIM_SHARED)
				share_reports(sim, in);
			in->reports.count = 0;
		}
		observe(sim, in);
	}
	drop_finished(sim);
	sim->now++;
}

void flowsim_run(struct flowsim *sim, ht_ms ms)
{
	for (ht_ms i = 0; i < ms; i++)
		tick(sim);
}

void flowsim_set_fault(struct flowsim *sim, size_t count, enum flowsim_fault fault)
{
	for (size_t i = 0; i < count; i++) {
		sim->targets[i].fault = fault;
		sim->targets[i].fault_at = sim->now;
		for (size_t k = 0; k < sim->params.instances; k++)
			sim->instances[k].left_out_at[i] = 0;
	}
}

void flowsim_restart(struct flowsim *sim, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		sim->targets[i].fault = FLOWSIM_NONE;
		sim->targets[i].cold_until = sim->now + sim->params.cold;
		for (size_t k = 0; k < sim->params.instances; k++)
			put_target(sim, &sim->instances[k], &sim->targets[i]);
	}
}

void flowsim_set_load(struct flowsim *sim, double load)
{
	sim->params.load = load;
}

static void sum_detection(const struct flowsim *sim, struct flowsim_sums *sums)
{
	double pairs = 0, found = 0, total = 0;

	for (size_t i = 0; i < sim->params.targets; i++) {
		const struct target *t = &sim->targets[i];

		if (t->fault == FLOWSIM_NONE || t->fault == FLOWSIM_ILL_ONLY)
			continue;
		for (size_t k = 0; k < sim->params.instances; k++) {
			ht_ms at = sim->instances[k].left_out_at[i];

			pairs++;
			if (!at)
				continue;
			found++;
			total += (double)(at - t->fault_at);
		}
	}
	sums->detected = found > 0 ? total / found : 0;
	sums->missed = pairs > 0 ? 1 - found / pairs : 0;
}

void flowsim_sums(const struct flowsim *sim, struct flowsim_sums *sums)
{
	uint64_t below = 0;
	int wait = 0;

	*sums = sim->sums;
	sums->doubted = sim->target_time > 0 ? sim->doubt_time / sim->target_time : 0;
	sum_detection(sim, sums);
	for (; wait < WAITS_MAX; wait++) {
		below += sim->waits[wait];
		if ((double)below >= 0.99 * (double)sums->served)
			break;
	}
	sums->wait_p99 = wait;
}

void flowsim_clear(struct flowsim *sim)
{
	sim->sums = (struct flowsim_sums){0};
	sim->doubt_time = sim->target_time = 0;
	memset(sim->waits, 0, sizeof(sim->waits));
}
