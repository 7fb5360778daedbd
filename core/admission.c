#include "core/admission.h"

#include "base/hash.h"

#include <math.h>
#include <string.h>

/* A larger figure is an error; sums and products of figures up to it stay finite. */
#define FIGURE_MAX 1e9
/* Weight of a new measurement of the speed. States are half a second apart while capacity is short.
 */
#define SPEED_WEIGHT 0.5
/* Speed to try, in parts of the current one, while requests are refused before targets are full. */
#define PROBE 1.05
/* A slot does one s of work per second, or this many times more or less as work_ms may be wrong. */
#define SPEED_RANGE 10
/* Work of a request if no class has a measurement; only its ratio to the learnt speed matters. */
#define UNKNOWN_WORK_MS 50
/* Requests in flight per slot from which the response time says something about the speed. */
#define BUSY 0.25
/* Part of the full load up to which the queues at targets stay short. */
#define EASY 0.9
/* Room below this part of the full load is a rounding error. */
#define ROUNDING 1e-9
/* Classes of equal priority whose work differs by less than this factor are served alike. */
#define WORK_ALIKE 1.25
/* A single instance's counts are too noisy to refuse more than the rest of this. */
#define OWN_ADMIT_MIN 0.1
/* Part of an aim that the mean response time may take, as the queues of targets are uneven. */
#define WAIT_PART 0.5
/* Requests in flight per slot below which slots are idle, as the queues of targets are uneven. */
#define DEPTH_MIN 2.0
/* Part of the demand below which a class does not decide what is urgent. */
#define NOTICEABLE 0.02
/* Factor by which both limits are exceeded when targets are clearly full. */
#define CLEARLY 2
/* Callers send the next copy of an opening packet after this time at the earliest. */
#define COPY_MS 200
/* Copies of an opening packet that callers send. */
#define COPIES 3

/* A distribution of the demand of all instances over the targets, class by class. */
struct allocation {
	const struct ht_admission_input *in;
	const struct ht_admission_params *params;
	size_t local;		       /* dc_count: there is none */
	uint32_t top;		       /* highest priority with demand */
	double speed;		       /* work per second and slot at full load, in s */
	double work;		       /* mean of a request that is admitted, in s */
	double depth;		       /* requests in flight per slot to aim for */
	double wait_ms;		       /* expected response time */
	double taken[HT_LOAD_DCS_MAX]; /* work by the classes distributed so far */
	double sent[HT_LOAD_DCS_MAX];  /* flows of these from the local data centre */
	double admit[HT_LOAD_CLASSES_MAX];
};

void ht_admission_params_default(struct ht_admission_params *params)
{
	*params = (struct ht_admission_params){.begin = HT_ADMISSION_BEGIN,
					       .end = HT_ADMISSION_END,
					       .shed = HT_ADMISSION_SHED,
					       .updates = HT_ADMISSION_UPDATES,
					       .depth = HT_ADMISSION_DEPTH,
					       .horizon = HT_ADMISSION_HORIZON_MS,
					       .turn = HT_ADMISSION_TURN_MS};
}

/* A figure that is no number counts as missing, so that it cannot close a service. */
static double figure(double x)
{
	return isfinite(x) && x > 0 ? fmin(x, FIGURE_MAX) : 0;
}

static size_t smaller(size_t a, size_t b)
{
	return a < b ? a : b;
}

/* Copies @from without negative, infinite or missing figures; unusable targets have no slots. */
static void clean(struct ht_admission_input *to, const struct ht_admission_input *from)
{
	*to = *from;
	to->dc_count = smaller(from->dc_count, HT_LOAD_DCS_MAX);
	to->class_count = smaller(from->class_count, HT_LOAD_CLASSES_MAX);
	for (size_t c = 0; c < to->class_count; c++) {
		to->work_ms[c] = figure(from->work_ms[c]);
		to->continued[c] = figure(from->continued[c]);
	}
	for (size_t i = 0; i < to->dc_count; i++) {
		struct ht_admission_dc *dc = &to->dcs[i];

		dc->slots = dc->usable ? figure(dc->slots) : 0;
		dc->open = figure(dc->open);
		dc->answered = figure(dc->answered);
		dc->shed = fmin(figure(dc->shed), dc->answered);
		dc->continued = figure(dc->continued);
		for (size_t c = 0; c < to->class_count; c++)
			dc->opening[c] = figure(dc->opening[c]);
	}
}

static double sum_of(const double *values, size_t count)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += values[i];
	return sum;
}

inline size_t ht_admission_class(const struct ht_admission_plan *plan,
				 const struct ht_load_terms *terms)
{
	size_t below = plan->class_count, last = 0;

	for (size_t c = 0; c < plan->class_count; c++) {
		uint32_t priority = plan->classes[c].priority;

		if (ht_load_terms_equal(&plan->classes[c], terms))
			return c;
		if (priority > plan->classes[last].priority)
			last = c;
		if (priority >= terms->priority &&
		    (below == plan->class_count || priority < plan->classes[below].priority))
			below = c;
	}
	return below < plan->class_count ? below : last;
}

static size_t find_local(const struct ht_admission_input *in)
{
	size_t i = 0;

	while (i < in->dc_count && !in->dcs[i].local)
		i++;
	return i;
}

/* Work of a request of the class, in s. */
static double work_of(const struct ht_admission_input *in, size_t class)
{
	return in->work_ms[class] / 1000;
}

/* Demand for the class at all instances, in flows per second. */
static double class_demand(const struct ht_admission_input *in, size_t class)
{
	double sum = 0;

	for (size_t i = 0; i < in->dc_count; i++)
		sum += in->dcs[i].opening[class];
	return sum;
}

/* Demand at the instances of a data centre, in s of work per second. */
static double dc_demand(const struct ht_admission_input *in, size_t dc)
{
	double sum = 0;

	for (size_t c = 0; c < in->class_count; c++)
		sum += in->dcs[dc].opening[c] * work_of(in, c);
	return sum;
}

static double all_slots(const struct ht_admission_input *in)
{
	double sum = 0;

	for (size_t i = 0; i < in->dc_count; i++)
		sum += in->dcs[i].slots;
	return sum;
}

/* Part of the flows of a class that @plan admits. */
static double admitted_part(const struct ht_admission_plan *plan, const struct ht_load_terms *terms)
{
	if (!plan->short_of_room || !plan->class_count)
		return 1;
	return plan->admit[ht_admission_class(plan, terms)];
}

/*
 * Mean of work_ms over the flows that @plan admits, or over all classes if there are none; classes
 * without a measurement do not count. 0: unknown.
 */
static double mean_work(const struct ht_admission_input *in, const struct ht_admission_plan *plan)
{
	double sum = 0, weight = 0, plain = 0;
	size_t count = 0;

	for (size_t c = 0; c < in->class_count; c++) {
		double flows = class_demand(in, c) * admitted_part(plan, &in->classes[c]);

		if (in->work_ms[c] <= 0)
			continue;
		sum += in->work_ms[c] * flows;
		weight += flows;
		plain += in->work_ms[c];
		count++;
	}
	if (weight > 0)
		return sum / weight;
	return count ? plain / (double)count : 0;
}

/*
 * Gives classes without a measurement the mean work of the others, and sets the speed of @plan if
 * it is not known yet. Returns the mean work of the flows that @plan admits, in s.
 */
static double fill_work(struct ht_admission_input *in, struct ht_admission_plan *plan)
{
	double work_ms = mean_work(in, plan);

	plan->speed = figure(plan->speed);
	if (work_ms > 0 && plan->speed <= 0)
		plan->speed = 1;
	if (work_ms <= 0)
		work_ms = UNKNOWN_WORK_MS;
	for (size_t c = 0; c < in->class_count; c++)
		if (in->work_ms[c] <= 0)
			in->work_ms[c] = work_ms;
	return work_ms / 1000;
}

/* Highest priority with a noticeable part of the demand. */
static uint32_t highest_priority(const struct ht_admission_input *in)
{
	uint32_t top = UINT32_MAX;
	double all = 0;

	for (size_t c = 0; c < in->class_count; c++)
		all += class_demand(in, c) + in->continued[c];
	for (size_t c = 0; c < in->class_count; c++)
		if (in->classes[c].priority < top &&
		    class_demand(in, c) + in->continued[c] > NOTICEABLE * all)
			top = in->classes[c].priority;
	return top;
}

static ht_ms goal_of(const struct ht_load_terms *terms)
{
	return terms->aim > 0 ? terms->aim : terms->limit;
}

/*
 * Requests in flight per slot to aim for: as the parameters say, or fewer if the wait would make
 * the classes of the highest priority @top with demand miss their aims or limits.
 */
static double find_depth(const struct ht_admission_input *in, uint32_t top, double rate,
			 const struct ht_admission_params *params)
{
	double depth = params->depth;

	for (size_t c = 0; c < in->class_count; c++) {
		ht_ms goal = goal_of(&in->classes[c]);

		if (rate > 0 && goal > 0 && in->classes[c].priority == top &&
		    class_demand(in, c) > 0)
			depth = fmin(depth, rate * (double)goal / 1000 * WAIT_PART);
	}
	return fmin(fmax(depth, DEPTH_MIN), params->depth);
}

/* Responses without errors, and the slots they came from. */
struct served {
	double responses, slots;
};

static double rate_of(const struct served *served)
{
	return served->slots > 0 ? served->responses / served->slots : 0;
}

static void add_served(struct served *sum, const struct ht_admission_dc *dc, double slots)
{
	sum->responses += dc->answered - dc->shed;
	sum->slots += slots;
}

static bool sheds(const struct ht_admission_dc *dc, const struct ht_admission_params *params)
{
	return dc->shed > 0 && dc->shed >= params->shed * dc->answered;
}

static bool refuses(const struct ht_admission_plan *plan)
{
	for (size_t c = 0; plan->short_of_room && c < plan->class_count; c++)
		if (plan->admit[c] < 1)
			return true;
	return false;
}

/*
 * Learns the work that a slot does at full load. What saturated targets do is that; what others do
 * is a lower bound, by slot in use. A speed that is too low would never be corrected otherwise, as
 * too little is admitted by it for the targets to be saturated; for the same reason it is raised
 * step by step while requests are refused and no targets are saturated. @work: of a request, in s.
 */
static void learn_speed(struct ht_admission_plan *plan, const struct ht_admission_input *in,
			double depth, double work)
{
	struct served full = {0}, busy = {0};
	double measured;

	for (size_t i = 0; i < in->dc_count; i++) {
		const struct ht_admission_dc *dc = &in->dcs[i];

		if (dc->slots <= 0 || dc->open < BUSY * dc->slots)
			continue;
		if (dc->open >= depth * dc->slots)
			add_served(&full, dc, dc->slots);
		else
			add_served(&busy, dc, fmin(dc->open, dc->slots));
	}
	measured = rate_of(&full) * work;
	if (full.slots > 0 && plan->speed <= 0)
		plan->speed = measured;
	if (full.slots <= 0) {
		measured = fmax(rate_of(&busy) * work, refuses(plan) ? plan->speed * PROBE : 0);
		measured = fmax(fmin(measured, 1), plan->speed);
	}
	if (plan->speed <= 0)
		return;
	plan->speed += SPEED_WEIGHT * (measured - plan->speed);
	plan->speed = fmin(fmax(plan->speed, 1.0 / SPEED_RANGE), SPEED_RANGE);
}

/* Work per second that the targets of a data centre do at full load, in s. */
static double full_load(const struct allocation *a, size_t dc)
{
	return a->speed * a->in->dcs[dc].slots;
}

/* True if the local targets can serve all requests at the local instances. */
static bool fits(const struct allocation *a)
{
	const struct ht_admission_dc *dc = &a->in->dcs[a->local];

	return a->speed <= 0 ||
	       dc_demand(a->in, a->local) + dc->continued * a->work <= full_load(a, a->local);
}

/*
 * What the state of the local data centre indicates: 1: capacity is short, -1: it is not. Few
 * requests in flight alone do not indicate the end, as they may be few because of refusals.
 */
static int judge(const struct allocation *a)
{
	const struct ht_admission_dc *dc = &a->in->dcs[a->local];
	const struct ht_admission_params *params = a->params;

	if (a->local == a->in->dc_count)
		return -1;
	if (dc->slots <= 0)
		return dc_demand(a->in, a->local) > 0 && all_slots(a->in) > 0 ? 1 : -1;
	if (dc->open >= params->begin * dc->slots || sheds(dc, params))
		return 1;
	return dc->open < params->end * dc->slots && fits(a) ? -1 : 0;
}

/* True if targets are so full that no further state is awaited: they refuse until the next one. */
static bool clearly_short(const struct allocation *a)
{
	const struct ht_admission_dc *dc = &a->in->dcs[a->local];

	return a->local < a->in->dc_count && dc->open >= CLEARLY * a->params->begin * dc->slots &&
	       dc->shed >= CLEARLY * a->params->shed * dc->answered;
}

static void update_state(struct ht_admission_plan *plan, const struct allocation *a)
{
	int verdict = judge(a);

	if (verdict != (plan->short_of_room ? -1 : 1)) {
		plan->contrary = 0;
	} else if (++plan->contrary >= a->params->updates || (verdict > 0 && clearly_short(a))) {
		plan->short_of_room = !plan->short_of_room;
		plan->contrary = 0;
	}
}

/* How far targets are filled: with short queues first, also those of other data centres. */
enum fill {
	FILL_EASY,
	FILL_FULL,
	FILLS
};

/* Work per second that brings the requests in flight to @depth per slot within the horizon. */
static double queue_term(const struct allocation *a, size_t dc, double depth)
{
	const struct ht_admission_dc *d = &a->in->dcs[dc];
	double horizon = a->params->horizon > 0 ? (double)a->params->horizon / 1000 : 1;

	return (depth * d->slots - d->open) * a->work / horizon;
}

/* Demand for the classes served so far, @order[0] to @order[count - 1], in s of work per second. */
struct prefix {
	double opening;	  /* new flows */
	double continued; /* requests on open flows */
	double share;	  /* of the requests on open flows of all classes */
	bool last;	  /* no class comes after them */
};

static struct prefix prefix_of(const struct allocation *a, const size_t *order, size_t count)
{
	struct prefix p = {.share = 1, .last = count == a->in->class_count};
	double continued = 0;

	for (size_t k = 0; k < count; k++) {
		p.opening += class_demand(a->in, order[k]) * work_of(a->in, order[k]);
		p.continued += a->in->continued[order[k]] * work_of(a->in, order[k]);
	}
	for (size_t c = 0; c < a->in->class_count; c++)
		continued += a->in->continued[c] * work_of(a->in, c);
	if (continued > 0)
		p.share = p.continued / continued;
	return p;
}

/* Requests on open flows that are served. What full targets refuse takes nothing from the others.
 */
static double served_continued(const struct ht_admission_dc *dc)
{
	return fmax(dc->continued - dc->shed, 0);
}

/*
 * Work per second, in s, that data centre @dc can still take of the last class of @prefix. Requests
 * on open flows of later classes do not count: they give way, if only at the targets. Likewise, a
 * queue that is too long counts as far as the demand of @prefix itself exceeds the full load,
 * unless all classes are in it.
 */
static double room(const struct allocation *a, size_t dc, const struct prefix *prefix,
		   enum fill fill)
{
	double full = full_load(a, dc), all = a->speed * all_slots(a->in), sum;
	double excess = (prefix->opening + prefix->continued) / all - 1;
	double queue = queue_term(a, dc, fill == FILL_EASY ? a->params->begin : a->depth);

	if (full <= 0)
		return 0;
	if (fill == FILL_EASY)
		sum = full * EASY + fmin(queue, 0);
	else if (prefix->last)
		sum = full + queue;
	else
		sum = full + fmax(queue, -fmin(fmax(excess, 0), 1) * full);
	sum -= prefix->share * served_continued(&a->in->dcs[dc]) * a->work + a->taken[dc];
	return sum > full * ROUNDING ? sum : 0;
}

static bool late(const struct allocation *a, size_t class)
{
	ht_ms goal = goal_of(&a->in->classes[class]);

	return goal > 0 && a->wait_ms > (double)goal;
}

/* True if class @x is served before @y. */
static bool precedes(const struct allocation *a, size_t x, size_t y)
{
	const struct ht_load_terms *terms = a->in->classes;

	if (terms[x].priority != terms[y].priority)
		return terms[x].priority < terms[y].priority;
	if (late(a, x) != late(a, y))
		return late(a, y);
	return work_of(a->in, x) < work_of(a->in, y);
}

/* True if class @y, which does not precede @x, shares in proportion with it. */
static bool alike(const struct allocation *a, size_t x, size_t y)
{
	return a->in->classes[x].priority == a->in->classes[y].priority &&
	       late(a, x) == late(a, y) && work_of(a->in, y) <= work_of(a->in, x) * WORK_ALIKE;
}

static size_t sort_classes(const struct allocation *a, size_t *order)
{
	size_t count = 0;

	for (size_t c = 0; c < a->in->class_count; c++) {
		size_t k = count++;

		for (; k > 0 && precedes(a, c, order[k - 1]); k--)
			order[k] = order[k - 1];
		order[k] = c;
	}
	return count;
}

/* Demand for a set of classes that is not served yet, and the room for it, by data centre. */
struct rest {
	double demand[HT_LOAD_DCS_MAX], room[HT_LOAD_DCS_MAX]; /* s of work per second */
	double work;					       /* of a request, in s */
};

/* Serves the demand of each data centre as far as possible by its own targets. */
static void serve_at_home(struct allocation *a, struct rest *rest)
{
	for (size_t i = 0; i < a->in->dc_count; i++) {
		double here = fmin(rest->demand[i], rest->room[i]);

		a->taken[i] += here;
		if (i == a->local)
			a->sent[i] += here / rest->work;
		rest->demand[i] -= here;
		rest->room[i] -= here;
	}
}

/* Serves the rest by the room that is left anywhere, in proportion. */
static void serve_elsewhere(struct allocation *a, struct rest *rest)
{
	double demands = sum_of(rest->demand, a->in->dc_count);
	double rooms = sum_of(rest->room, a->in->dc_count), part;

	if (rooms <= 0 || demands <= 0)
		return;
	part = fmin(rooms / demands, 1);
	for (size_t i = 0; i < a->in->dc_count; i++) {
		double to = part * rest->room[i] / rooms;

		a->taken[i] += demands * to;
		if (a->local < a->in->dc_count)
			a->sent[i] += rest->demand[a->local] * to / rest->work;
	}
	for (size_t i = 0; i < a->in->dc_count; i++) {
		rest->room[i] *= 1 - part * demands / rooms;
		rest->demand[i] *= 1 - part;
	}
}

/* Serves the demand of the classes in @set, which are alike. */
static void serve(struct allocation *a, const size_t *set, size_t count,
		  const struct prefix *prefix)
{
	struct rest rest = {.work = work_of(a->in, set[0])};
	double demand = 0, part;

	for (size_t i = 0; i < a->in->dc_count; i++)
		for (size_t k = 0; k < count; k++)
			rest.demand[i] += a->in->dcs[i].opening[set[k]] * work_of(a->in, set[k]);
	if (a->local < a->in->dc_count)
		demand = rest.demand[a->local];
	for (enum fill fill = FILL_EASY; fill < FILLS; fill++) {
		for (size_t i = 0; i < a->in->dc_count; i++)
			rest.room[i] = room(a, i, prefix, fill);
		serve_at_home(a, &rest);
		serve_elsewhere(a, &rest);
	}
	if (demand > 0)
		part = 1 - rest.demand[a->local] / demand;
	else
		part = sum_of(rest.room, a->in->dc_count) > 0 ? 1 : 0;
	for (size_t k = 0; k < count; k++)
		a->admit[set[k]] = part;
}

static void allocate(struct allocation *a)
{
	size_t order[HT_LOAD_CLASSES_MAX] = {0};
	size_t count = sort_classes(a, order);
	struct prefix prefix;

	memset(a->taken, 0, sizeof(a->taken));
	memset(a->sent, 0, sizeof(a->sent));
	for (size_t first = 0, end; first < count; first = end) {
		for (end = first + 1; end < count && alike(a, order[first], order[end]);)
			end++;
		prefix = prefix_of(a, order, end);
		serve(a, &order[first], end - first, &prefix);
	}
}

/* Shares of the data centres by @weights; false if their sum is 0. */
static bool set_shares(struct ht_admission_plan *plan, const double *weights)
{
	double sum = sum_of(weights, plan->dc_count);

	if (sum <= 0)
		return false;
	for (size_t i = 0; i < plan->dc_count; i++)
		plan->share[i] = weights[i] / sum;
	return true;
}

/* All to the local data centre if it has targets, otherwise to the others by their slots. */
static void set_default_shares(struct ht_admission_plan *plan, const struct ht_admission_input *in,
			       size_t local, bool local_only)
{
	double weights[HT_LOAD_DCS_MAX] = {0};

	for (size_t i = 0; i < in->dc_count; i++)
		weights[i] = in->dcs[i].slots;
	if (local < in->dc_count && (local_only || in->dcs[local].slots > 0)) {
		memset(weights, 0, sizeof(weights));
		weights[local] = 1;
	}
	if (!set_shares(plan, weights) && local < in->dc_count)
		plan->share[local] = 1;
}

/* Expected response time of a flow that is placed by the shares of @plan. */
static double expected_wait(const struct allocation *a, const struct ht_admission_plan *plan)
{
	double wait = 0;

	for (size_t i = 0; i < a->in->dc_count; i++)
		if (full_load(a, i) > 0)
			wait += plan->share[i] * a->in->dcs[i].open * a->work / full_load(a, i);
	return wait * 1000;
}

/* True if all demand can be served once the queues are short enough. */
static bool only_queues(const struct allocation *a)
{
	double demand = 0, full = a->speed * all_slots(a->in);

	for (size_t i = 0; i < a->in->dc_count; i++) {
		demand += dc_demand(a->in, i);
		if (a->in->dcs[i].slots > 0)
			demand += a->in->dcs[i].continued * a->work;
	}
	return full > demand;
}

static void admit_all(struct ht_admission_plan *plan)
{
	for (size_t c = 0; c < plan->class_count; c++) {
		plan->admit[c] = 1;
		plan->delay[c] = false;
	}
}

static void make_plan(struct ht_admission_plan *plan, struct allocation *a)
{
	bool queues = only_queues(a);

	/* The shares depend on the order of classes, which depends on the wait, by the shares. */
	for (int pass = 0; pass < 2; pass++) {
		allocate(a);
		if (!set_shares(plan, a->sent))
			set_default_shares(plan, a->in, a->local, false);
		a->wait_ms = expected_wait(a, plan);
	}
	for (size_t c = 0; c < plan->class_count; c++) {
		ht_ms limit = plan->classes[c].limit;

		plan->admit[c] = a->admit[c];
		if (a->in->source == HT_LOAD_OWN)
			plan->admit[c] = fmax(plan->admit[c], OWN_ADMIT_MIN);
		plan->delay[c] = queues && plan->admit[c] < 1 &&
				 (limit <= 0 || a->wait_ms + COPY_MS <= (double)limit);
	}
}

void ht_admission_update(struct ht_admission_plan *plan, const struct ht_admission_input *input,
			 const struct ht_admission_params *params)
{
	struct ht_admission_input in;
	struct allocation a = {.in = &in, .params = params};

	clean(&in, input);
	a.work = fill_work(&in, plan);
	a.local = find_local(&in);
	a.top = highest_priority(&in);
	a.depth = find_depth(&in, a.top, plan->rate, params);
	learn_speed(plan, &in, a.depth, a.work);
	a.speed = plan->speed;
	update_state(plan, &a);
	plan->rate = plan->speed / a.work;
	plan->dc_count = in.dc_count;
	plan->class_count = in.class_count;
	memcpy(plan->classes, in.classes, sizeof(plan->classes));
	memset(plan->share, 0, sizeof(plan->share));
	for (size_t i = 0; i < in.dc_count; i++)
		plan->dcs[i] = in.dcs[i].dc;
	admit_all(plan);
	if (!plan->short_of_room || plan->speed <= 0) {
		set_default_shares(plan, &in, a.local, !plan->short_of_room);
		return;
	}
	make_plan(plan, &a);
}

/*
 * Callers are spread over [0, 1), for each class by a hash of its own, and a window of the admitted
 * width moves through that once in @turn. Clocks of instances differ, so that the window is not at
 * the same place at all of them; its width is, and a caller's turn comes at each within @turn.
 */
static bool has_turn(const struct ht_load_terms *terms, double width, uint64_t caller, ht_ms turn,
		     ht_ms now)
{
	uint64_t class = ht_hash_pair(terms->priority,
				      ht_hash_pair((uint64_t)terms->aim, (uint64_t)terms->limit));
	double place = ldexp((double)(ht_hash_pair(caller, class) >> 11), -53);
	double start = turn > 0 ? (double)(now % turn) / (double)turn : 0;
	double ahead = place - start;

	return (ahead < 0 ? ahead + 1 : ahead) < width;
}

enum ht_admission ht_admission_decide(const struct ht_admission_plan *plan,
				      const struct ht_admission_params *params,
				      const struct ht_load_terms *terms, uint64_t caller,
				      uint32_t copy, ht_ms now)
{
	size_t class;

	if (!plan->short_of_room || !plan->class_count)
		return HT_ADMIT;
	class = ht_admission_class(plan, terms);
	if (plan->admit[class] >= 1 ||
	    has_turn(terms, plan->admit[class], caller, params->turn, now))
		return HT_ADMIT;
	return plan->delay[class] && copy + 1 < COPIES ? HT_DELAY : HT_REFUSE;
}
