#include "core/steering_internal.h"

#include "base/hash.h"
#include "core/split.h"

#include <stdlib.h>
#include <string.h>

/* Weight of an answer time in the mean of a service; low, because a service has many targets. */
#define SERVICE_MEAN_WEIGHT 0.02

/* Callers retransmit after 200 ms at the earliest. Copies that arrive closer together were queued,
 * for example in the socket of an instance that has just started or resumed, and are no misses. */
#define RETRANSMIT_MIN_MS 100

/* On a good network, one request in a million is lost twice in a row. */
#define DEAD_RETRANSMISSIONS 2

/* A target of the own data centre that answers after so many misses may have restarted meanwhile.
 * Those of other ones may just as well have been cut off. */
#define RESTART_MISSES 2

/* A full target serves some requests in between. One that has refused this many in a row while
 * capacity is short is broken: of a full one that refuses half of them, it is one run in 64. */
#define REFUSALS_OF_BROKEN 6

/* Callers send an opening packet three times; the copies are numbered from 0. */
#define LAST_OPENING_COPY 2

/* Upper bound of the bytes that a caller sends in a flow: at most 16 packets of 1,200 bytes per
 * round trip of 10 ms, for the 60 s that a flow lasts. */
#define FLOW_BYTES_MAX (1U << 27)

/* Steps that explain.c calls, too. Calls of them would add 2 % to the instructions of a decision.
 */
#define DECISION_STEP inline __attribute__((always_inline))

void ht_steering_params_default(struct ht_steering_params *params)
{
	*params = (struct ht_steering_params){
		.flows_max = 65536,
		.overdue_after = 600,
		.overdue_factor = 5,
		.timeouts = {.opening = 100, .open = 400, .answered = 50},
		.dead_after = 500,
		.dead_misses = 2,
		.flow_expiry = 3000,
		.idle_expiry = 20000,
		.remote_factor = 4.0,
		.cold_factor = 2.0,
		.flows_per_slot = 6.0,
		.urgent_reserve = 0.2,
		.suspected_factor = 16.0,
		.suspected_share_max = 0.5,
	};
}

struct ht_steering *ht_steering_new(const struct ht_steering_params *params)
{
	struct ht_steering *st = calloc(1, sizeof(*st));

	if (!st)
		return NULL;
	st->params = *params;
	st->params.overload.catalog = params->catalog;
	st->params.overload.seed = params->seed;
	st->params.overload.changed = params->observer.capacity_changed;
	st->params.overload.plan_changed = params->observer.plan_changed;
	st->params.overload.ctx = params->observer.ctx;
	st->placing = (struct ht_placing){
		.params = &st->params, .bounds = &st->bounds, .random = params->seed};
	st->bounds = (struct ht_steering_bounds){.routes = HT_NEVER, .targets = HT_NEVER};
	st->instance_count = 1;
	if (ht_flow_table_init(&st->flows, params->flows_max))
		return st;
	free(st);
	return NULL;
}

void ht_steering_free(struct ht_steering *st)
{
	if (!st)
		return;
	ht_flow_table_clear(&st->flows);
	ht_warmup_clear_peers(&st->placing.peers);
	free(st);
}

void ht_steering_set_view_complete(struct ht_steering *st, bool complete)
{
	st->complete = complete;
}

void ht_steering_set_bounds(struct ht_steering *st, const struct ht_steering_bounds *bounds)
{
	st->bounds = *bounds;
}

void ht_steering_set_overload(struct ht_steering *st, struct ht_load *load,
			      const struct ht_admission_params *admission, ht_ms now)
{
	if (!load)
		ht_overload_end_plans(&st->params.overload, now);
	st->params.overload.load = load;
	st->params.overload.admission = *admission;
}

void ht_steering_set_proofs(struct ht_steering *st, ht_ms routes_at, ht_ms targets_at)
{
	st->routes_at = routes_at;
	st->targets_at = targets_at;
}

void ht_steering_set_instance_count(struct ht_steering *st, size_t count)
{
	st->instance_count = count;
}

bool ht_steering_set_peers(struct ht_steering *st, uint64_t own, const uint64_t *others,
			   size_t count)
{
	st->placing.peers.own = own;
	return ht_warmup_set_peers(&st->placing.peers, others, count);
}

static void notify_flow(const struct ht_steering *st, const struct ht_tracked_flow *f,
			enum ht_flow_event event, ht_ms since, uint32_t bytes, ht_ms now)
{
	const struct ht_steering_observer *obs = &st->params.observer;

	if (obs->flow)
		obs->flow(obs->ctx,
			  &(struct ht_flow_info){
				  .event = event,
				  .src = f->src,
				  .dst = f->dst,
				  .target = f->target,
				  .copies = f->placements - 1,
				  .open_for = now - f->opened_at,
				  .waited = now - since,
				  .bytes = bytes,
			  },
			  now);
}

/*
 * Notifies the observer if the suspicion, which lasted until @before, has begun, at least doubled
 * or ended.
 */
static void notify_health(const struct ht_steering *st, const struct ht_target *t, bool whole_dc,
			  ht_ms before, enum ht_health_cause cause, ht_ms now)
{
	const struct ht_steering_observer *obs = &st->params.observer;
	ht_ms until = whole_dc ? t->dc->evidence.suspected_until : t->evidence.suspected_until;
	ht_ms left = before > now ? before - now : 0;

	if (!obs->health_changed)
		return;
	if (until > before && until - now >= 2 * left)
		obs->health_changed(obs->ctx, t, whole_dc, cause, now);
	else if (until < before && before > now)
		obs->health_changed(obs->ctx, t, whole_dc, HT_HEALTH_ALIVE, now);
}

static void record_miss(struct ht_steering *st, struct ht_target *t, ht_ms sent, ht_ms now)
{
	ht_ms before = t->evidence.suspected_until, dc_before = t->dc->evidence.suspected_until;

	ht_evidence_miss(&t->evidence, sent, now);
	notify_health(st, t, false, before, HT_HEALTH_SILENT, now);
	if (t->evidence.misses)
		ht_reports_miss(st->params.reports, t->marks[0].value);
	if (t->dc->local)
		return;
	ht_evidence_miss(&t->dc->evidence, sent, now);
	notify_health(st, t, true, dc_before, HT_HEALTH_SILENT, now);
}

static void record_alive(const struct ht_steering *st, struct ht_target *t, ht_ms now)
{
	ht_ms before = t->evidence.suspected_until, dc_before = t->dc->evidence.suspected_until;

	if (t->dc->local && t->evidence.misses >= RESTART_MISSES)
		ht_target_assume_cold(t, now);
	ht_evidence_set_alive(&t->evidence, now);
	ht_evidence_set_alive(&t->dc->evidence, now);
	notify_health(st, t, false, before, HT_HEALTH_ALIVE, now);
	notify_health(st, t, true, dc_before, HT_HEALTH_ALIVE, now);
}

static void record_result(const struct ht_steering *st, struct ht_target *t, bool error,
			  enum ht_health_cause cause, ht_ms now)
{
	ht_ms before = t->evidence.suspected_until;

	ht_evidence_result(&t->evidence, error, now);
	notify_health(st, t, false, before, cause, now);
}

static struct ht_steering_decision make_decision(enum ht_steering_action action,
						 enum ht_steering_reason reason)
{
	return (struct ht_steering_decision){.action = action, .reason = reason};
}

static struct ht_steering_decision forward(struct ht_target *t, uint32_t mark,
					   enum ht_steering_reason reason)
{
	return (struct ht_steering_decision){
		.action = HT_STEER_FORWARD, .reason = reason, .target = t, .mark = mark};
}

/* True if the data behind @reason is too old: an accepted change may not have been read yet. */
static bool is_stale(const struct ht_steering *st, enum ht_steering_reason reason, ht_ms now)
{
	return now - st->routes_at > st->bounds.routes ||
	       (reason != HT_STEER_NO_ROUTE && now - st->targets_at > st->bounds.targets);
}

/*
 * Refuses a flow. While routes and targets are incomplete the packet is dropped instead, as the
 * missing part may contain the answer; the caller retransmits. The same holds while they are stale,
 * except for the last copy of an opening packet, which gets the best answer known.
 */
static struct ht_steering_decision refuse(const struct ht_steering *st, const struct ht_packet *pkt,
					  enum ht_steering_reason reason, ht_ms now)
{
	if (!st->complete)
		return make_decision(HT_STEER_DROP, HT_STEER_NO_VIEW);
	if (pkt->acknowledged < LAST_OPENING_COPY && is_stale(st, reason, now))
		return make_decision(HT_STEER_DROP, HT_STEER_STALE_VIEW);
	return make_decision(HT_STEER_RESET, reason);
}

/*
 * True if this instance has used up its share of the service's capacity, so that targets would
 * shed a new flow. The last copy of an opening packet is never deferred.
 */
static bool should_defer(const struct ht_steering *st, const struct ht_route *route,
			 const struct ht_service *s, const struct ht_packet *pkt,
			 struct ht_steering_decision *d)
{
	double room = (double)s->local_slots * st->params.flows_per_slot, open = (double)s->open;

	if (pkt->acknowledged >= LAST_OPENING_COPY)
		return false;
	room /= (double)st->instance_count;
	if (route->terms.priority > s->top_priority)
		room *= 1 - st->params.urgent_reserve;
	if (room <= 0 || open < room + 1)
		return false;
	*d = make_decision(HT_STEER_DROP, HT_STEER_DEFERRED);
	d->open = open;
	d->capacity = room;
	return true;
}

static uint64_t hash_opening(const struct ht_packet *pkt)
{
	return ht_hash_pair(ht_flow_hash(pkt->src, pkt->dst), pkt->sequence);
}

/* Records that the opening packet @pkt of a flow that is not tracked is dropped here. */
static void note_drop(struct ht_steering *st, const struct ht_packet *pkt)
{
	uint64_t opening = hash_opening(pkt);
	struct deferral *d = &st->deferrals[opening % DEFERRALS];

	if (!pkt->acknowledged)
		*d = (struct deferral){.opening = opening, .copies = 1};
	else if (d->opening == opening && d->copies == pkt->acknowledged)
		d->copies++;
}

/* True if no earlier copy of @pkt can have been placed: this instance has dropped all of them.
 * Otherwise another instance may have placed one before the routers changed their paths. */
static bool earlier_copies_dropped(const struct ht_steering *st, const struct ht_packet *pkt)
{
	const struct deferral *d;
	uint64_t opening;

	if (!pkt->acknowledged)
		return true;
	opening = hash_opening(pkt);
	d = &st->deferrals[opening % DEFERRALS];
	return d->opening == opening && d->copies >= pkt->acknowledged;
}

DECISION_STEP bool ht_steering_turns_away(const struct ht_steering *st,
					  const struct ht_route *route, const struct ht_service *s,
					  const struct ht_packet *pkt, ht_ms now,
					  struct ht_steering_decision *d)
{
	enum ht_admission verdict;

	if (!ht_service_is_short(s))
		return should_defer(st, route, s, pkt, d);
	verdict =
		ht_overload_admit(&st->params.overload, route, s, pkt->src, pkt->acknowledged, now);
	if (verdict == HT_ADMIT)
		return false;
	if (verdict == HT_REFUSE && earlier_copies_dropped(st, pkt)) {
		*d = make_decision(HT_STEER_RESET, HT_STEER_NO_ROOM);
		return true;
	}
	/* After the last copy the caller would wait in vain for one that is admitted. */
	if (pkt->acknowledged >= LAST_OPENING_COPY)
		return false;
	*d = make_decision(HT_STEER_DROP, HT_STEER_DEFERRED);
	return true;
}

static enum ht_turned_away outcome_of(const struct ht_service *s,
				      const struct ht_steering_decision *d)
{
	if (!ht_service_is_short(s))
		return HT_TURNED_AWAY_DEFERRED;
	return d->action == HT_STEER_RESET ? HT_TURNED_AWAY_REFUSED : HT_TURNED_AWAY_DELAYED;
}

/* Decides whether the opening packet @pkt is turned away, and counts it as demand. */
static bool turn_away(const struct ht_steering *st, const struct ht_route *route,
		      struct ht_service *s, const struct ht_packet *pkt, ht_ms now,
		      struct ht_steering_decision *d)
{
	bool away = ht_steering_turns_away(st, route, s, pkt, now, d);

	/* Of a first copy, every refusal is a reset. */
	if (st->params.overload.load && !pkt->acknowledged)
		ht_load_count_opening(st->params.overload.load, s->key, &route->terms,
				      away && d->reason == HT_STEER_NO_ROOM);
	if (away)
		ht_service_count_turned_away(s, route->terms.priority, outcome_of(s, d));
	return away;
}

/* True if the opening packet @pkt belongs to @f and not to a later flow from the same port. */
static bool is_opening_of(const struct ht_tracked_flow *f, const struct ht_packet *pkt)
{
	if (f->opened_here)
		return pkt->sequence == f->opening_sequence;
	return f->request_sequence - pkt->sequence < FLOW_BYTES_MAX;
}

/* Records that @f was placed at @t, so that the next copy of its opening packet goes elsewhere. */
static void record_placement(struct ht_steering *st, struct ht_tracked_flow *f, struct ht_target *t,
			     uint32_t mark, ht_ms now)
{
	f->tried[f->tried_count % HT_PLACING_TRIES] = t;
	if (f->tried_count < HT_PLACING_TRIES)
		f->tried_count++;
	if (!f->placements++)
		f->opened_at = now;
	ht_flow_set_target(f, t, mark, now);
	ht_flow_table_touch(&st->flows, f, now);
}

/* True if a flow that finds no target for want of places there may be open already. */
static bool may_be_open_at_limit(const struct ht_steering *st, const struct ht_service *s,
				 const struct ht_tracked_flow *f, const struct ht_packet *pkt)
{
	return s->flows_max && (f || !earlier_copies_dropped(st, pkt));
}

DECISION_STEP struct ht_steering_decision
ht_steering_judge_target(const struct ht_steering *st, const struct ht_service *service,
			 const struct ht_packet *pkt, struct ht_target *t,
			 const struct ht_tracked_flow *f, ht_ms now)
{
	uint32_t mark = t ? ht_catalog_unique_mark(st->params.catalog, t) : 0;

	if (!t && service->count &&
	    (pkt->acknowledged < LAST_OPENING_COPY || may_be_open_at_limit(st, service, f, pkt)))
		return make_decision(HT_STEER_DROP, HT_STEER_ALL_COLD);
	if (!mark)
		return refuse(st, pkt, HT_STEER_NO_TARGET, now);
	return forward(t, mark, f ? HT_STEER_REPLACED : HT_STEER_PLACED);
}

static struct ht_steering_decision place(struct ht_steering *st, struct ht_service *service,
					 const struct ht_packet *pkt, struct ht_tracked_flow *f,
					 ht_ms now)
{
	struct ht_target *t = ht_placing_choose(&st->placing, service, f ? f->tried : NULL,
						f ? f->tried_count : 0, now);
	struct ht_steering_decision d = ht_steering_judge_target(st, service, pkt, t, f, now);

	if (d.reason == HT_STEER_ALL_COLD && !f)
		note_drop(st, pkt);
	if (d.action != HT_STEER_FORWARD)
		return d;
	ht_placing_count(t, now);
	if (!f) {
		f = ht_flow_table_add(&st->flows, pkt->src, pkt->dst);
		if (f) {
			f->opened_here = true;
			f->opening_sequence = pkt->sequence;
		}
	}
	if (f)
		record_placement(st, f, t, d.mark, now);
	return d;
}

static void uncount_inactive(struct ht_steering *st, ht_ms now)
{
	ht_flow_table_uncount_inactive(&st->flows, &st->params.timeouts, now);
}

/* A configuration that could not be read completely may have any route. Its callers are neither
 * refused, as that might be wrong, nor served by a guess. */
static bool is_unreadable(const struct ht_steering *st, const struct ht_route *route)
{
	return route ? !route->share_count : ht_catalog_routes_incomplete(st->params.catalog);
}

DECISION_STEP bool ht_steering_refuses_route(const struct ht_steering *st,
					     const struct ht_route *route,
					     const struct ht_packet *pkt, ht_ms now,
					     struct ht_steering_decision *d)
{
	if (is_unreadable(st, route))
		*d = make_decision(HT_STEER_DROP, HT_STEER_UNREADABLE_ROUTE);
	else if (!route)
		*d = refuse(st, pkt, HT_STEER_NO_ROUTE, now);
	else
		return false;
	return true;
}

DECISION_STEP bool ht_steering_refuses_service(const struct ht_steering *st,
					       const struct ht_service *service,
					       const struct ht_packet *pkt, ht_ms now,
					       struct ht_steering_decision *d)
{
	if (service)
		return false;
	*d = refuse(st, pkt, HT_STEER_NO_TARGET, now);
	return true;
}

static struct ht_steering_decision steer_opening(struct ht_steering *st,
						 const struct ht_packet *pkt, ht_ms now)
{
	struct ht_route *route = ht_catalog_route(st->params.catalog, pkt->dst);
	struct ht_tracked_flow *f = ht_flow_table_find(&st->flows, pkt->src, pkt->dst);
	struct ht_service *service;
	struct ht_steering_decision d;

	uncount_inactive(st, now);
	if (ht_steering_refuses_route(st, route, pkt, now, &d))
		return d;
	/* The caller reuses its port for a new flow, whose first packet may have been lost. */
	if (f && (!is_opening_of(f, pkt) || (f->phase != HT_PHASE_OPENING && !pkt->acknowledged))) {
		ht_flow_table_end(&st->flows, f);
		f = NULL;
	}
	if (f && f->phase != HT_PHASE_OPENING) {
		/* A delayed copy goes to the target of the open flow. */
		d = forward(f->target, f->mark, HT_STEER_MARKED);
		d.known = true;
		return d;
	}
	if (f && now - f->placed_at < RETRANSMIT_MIN_MS) {
		if (!ht_placing_allows(&st->placing, f->target, now))
			return make_decision(HT_STEER_DROP, HT_STEER_ALL_COLD);
		ht_placing_count(f->target, now);
		return forward(f->target, f->mark, HT_STEER_MARKED);
	}
	service = ht_split_pick(route, pkt->src);
	if (ht_steering_refuses_service(st, service, pkt, now, &d))
		return d;
	if (f) {
		notify_flow(st, f, HT_FLOW_UNANSWERED, f->placed_at, 0, now);
		record_miss(st, f->target, f->placed_at, now);
	} else if (turn_away(st, route, service, pkt, now, &d)) {
		if (d.action == HT_STEER_DROP)
			note_drop(st, pkt);
		return d;
	}
	return place(st, service, pkt, f, now);
}

static void record_answer(const struct ht_steering *st, struct ht_tracked_flow *f,
			  const struct ht_route *route, struct ht_target *t,
			  const struct ht_packet *pkt, ht_ms now)
{
	ht_ms took = now - f->requested_at;
	bool refusal = ht_answer_is_refusal(&route->answers, pkt->acknowledged - f->acknowledged);

	if (st->params.overload.load)
		ht_load_count_answer(st->params.overload.load, t->service->key, t->dc->key,
				     &route->terms, took, refusal);

	f->phase = HT_PHASE_ANSWERED;
	f->answer_delay = took;
	notify_flow(st, f, HT_FLOW_ANSWERED, f->requested_at, 0, now);
	t->answers++;
	t->answers_ms += took;
	ht_histogram_add(&t->service->answer_time, (double)took / 1000);
}

/* An answer that looks like an error says nothing about the speed of its target: the one that fails
 * at once would look like the fastest. */
static void learn_speed(struct ht_target *t, ht_ms took)
{
	double *mean = &t->service->answer_ms;

	ht_evidence_answer(&t->evidence, took);
	*mean = *mean > 0 ? *mean + SERVICE_MEAN_WEIGHT * ((double)took - *mean) : (double)took;
}

/* Evaluates an answer that the caller has received completely and acknowledged with @pkt. */
static void evaluate_answer(struct ht_steering *st, const struct ht_tracked_flow *f,
			    struct ht_route *route, struct ht_target *t,
			    const struct ht_packet *pkt, ht_ms now)
{
	uint32_t bytes = pkt->acknowledged - f->acknowledged;
	bool error = ht_answer_is_error(&route->answers, bytes, f->answer_delay);

	t->refusals = ht_answer_is_refusal(&route->answers, bytes) ? t->refusals + 1 : 0;
	/* A full target is well; leaving it out would put its load on the others. */
	if (ht_service_is_short(t->service) && t->refusals && t->refusals < REFUSALS_OF_BROKEN)
		return;
	if (error)
		notify_flow(st, f, HT_FLOW_ERROR, now - f->answer_delay, bytes, now);
	else
		learn_speed(t, f->answer_delay);
	record_result(st, t, error, HT_HEALTH_ERRORS, now);
	if (error)
		ht_reports_error(st->params.reports, t->marks[0].value);
}

/* Removes a flow whose caller sends nothing more; what the target sends is not seen here. */
static void end_flow(struct ht_steering *st, struct ht_tracked_flow *f, const struct ht_packet *pkt,
		     ht_ms now)
{
	bool waiting = f->phase == HT_PHASE_REQUESTED;

	notify_flow(st, f, pkt->resets && waiting ? HT_FLOW_ABANDONED : HT_FLOW_ENDED,
		    waiting ? f->requested_at : now, 0, now);
	ht_flow_table_end(&st->flows, f);
}

static void start_request(const struct ht_steering *st, struct ht_tracked_flow *f,
			  const struct ht_route *route, const struct ht_packet *pkt, ht_ms since,
			  ht_ms now)
{
	const struct ht_target *t = f->target;

	if (st->params.overload.load && (f->phase == HT_PHASE_ANSWERED || !f->opened_here))
		ht_load_count_continued(st->params.overload.load, t->service->key, t->dc->key,
					&route->terms);
	f->phase = HT_PHASE_REQUESTED;
	f->requested_at = now;
	f->request_sequence = pkt->sequence;
	f->request_end = pkt->sequence;
	f->acknowledged = pkt->acknowledged;
	f->overdue = false;
	f->retransmissions = 0;
	f->misses_at_request = t->evidence.misses;
	notify_flow(st, f, HT_FLOW_REQUESTED, since, 0, now);
}

/* True if @pkt carries data beyond the last request and not a retransmitted part of it. */
static bool is_next_request(const struct ht_tracked_flow *f, const struct ht_packet *pkt)
{
	return f->phase == HT_PHASE_ANSWERED && pkt->length &&
	       (int32_t)(pkt->sequence - f->request_end) >= 0;
}

/* Handles the caller's first packet after the target has answered the opening packet. */
static void record_opened(const struct ht_steering *st, struct ht_tracked_flow *f,
			  struct ht_target *t, const struct ht_packet *pkt, ht_ms now)
{
	f->phase = HT_PHASE_OPEN;
	if (f->target != t)
		ht_flow_set_target(f, t, pkt->mark, now);
	notify_flow(st, f, HT_FLOW_OPENED, f->placed_at, 0, now);
	record_alive(st, t, now);
}

/* Updates flow state and target health by a packet; returns false if the flow ended with it. */
static bool track_packet(struct ht_steering *st, struct ht_tracked_flow *f, struct ht_route *route,
			 struct ht_target *t, const struct ht_packet *pkt, ht_ms now)
{
	if (pkt->resets) {
		/* The sequence numbers of a reset say nothing about the target. */
		end_flow(st, f, pkt, now);
		return false;
	}
	if (f->phase == HT_PHASE_OPENING)
		record_opened(st, f, t, pkt, now);
	if (is_next_request(f, pkt)) {
		evaluate_answer(st, f, route, t, pkt, now);
		start_request(st, f, route, pkt, f->last_packet_at, now);
	} else if (f->phase == HT_PHASE_OPEN && pkt->length) {
		start_request(st, f, route, pkt, f->placed_at, now);
	} else if (f->phase == HT_PHASE_REQUESTED && pkt->acknowledged != f->acknowledged) {
		record_answer(st, f, route, t, pkt, now);
		record_alive(st, t, now);
	} else if (f->phase == HT_PHASE_REQUESTED && pkt->length &&
		   pkt->sequence == f->request_sequence &&
		   now - f->last_packet_at >= RETRANSMIT_MIN_MS) {
		f->retransmissions++;
		notify_flow(st, f, HT_FLOW_REPEATED, f->requested_at, 0, now);
		record_miss(st, t, f->requested_at, now);
	}
	if ((int32_t)(pkt->sequence + pkt->length - f->request_end) > 0)
		f->request_end = pkt->sequence + pkt->length;
	ht_flow_table_touch(&st->flows, f, now);
	if (pkt->closes && f->phase == HT_PHASE_ANSWERED)
		evaluate_answer(st, f, route, t, pkt, now);
	if (pkt->closes)
		end_flow(st, f, pkt, now);
	return !pkt->closes;
}

/*
 * True if the request of @f, which its caller has sent for the third time, cannot be answered: its
 * target is gone, or responds neither to this flow nor to others. The flow is then reset so that
 * the caller can retry at once. On a route that is not idempotent, only a target that is gone
 * counts: while the target may be alive, the caller must not send the request elsewhere.
 */
static bool target_is_dead(const struct ht_steering *st, const struct ht_tracked_flow *f,
			   const struct ht_route *route, const struct ht_target *t, ht_ms now)
{
	const struct ht_evidence *ev = &t->evidence;
	/* A response in the same event loop iteration as the request has reset the miss count. */
	uint32_t missed =
		ev->misses - (ev->misses < f->misses_at_request ? 0 : f->misses_at_request);

	if (!st->complete || f->retransmissions < DEAD_RETRANSMISSIONS || f->target != t ||
	    now - f->requested_at < st->params.dead_after || ev->alive_at > f->requested_at)
		return false;
	if (t->gone_at != HT_NEVER && now >= t->held_until)
		return true;
	return route->idempotent && missed >= f->retransmissions + st->params.dead_misses;
}

/* Adds a flow that another instance opened, or that had expired here, when it sends data. */
static struct ht_tracked_flow *adopt_flow(struct ht_steering *st, const struct ht_packet *pkt,
					  struct ht_target *t, ht_ms now)
{
	struct ht_tracked_flow *f = ht_flow_table_add(&st->flows, pkt->src, pkt->dst);

	if (!f)
		return NULL;
	st->adopted_at = now;
	f->phase = HT_PHASE_OPEN;
	f->placements = 1;
	f->opened_at = now;
	ht_flow_set_target(f, t, pkt->mark, now);
	return f;
}

static struct ht_steering_decision steer_marked(struct ht_steering *st, const struct ht_packet *pkt,
						ht_ms now)
{
	struct ht_route *route = ht_catalog_route(st->params.catalog, pkt->dst);
	struct ht_target *t = ht_catalog_by_mark(st->params.catalog, pkt->mark);
	struct ht_steering_decision d;
	struct ht_tracked_flow *f;
	uint32_t repeats;

	if (!route)
		return make_decision(HT_STEER_DROP,
				     st->complete ? HT_STEER_NO_ROUTE : HT_STEER_NO_VIEW);
	if (!t)
		return make_decision(HT_STEER_DROP, HT_STEER_UNKNOWN_MARK);
	if (!ht_split_includes(route, t->service))
		return make_decision(HT_STEER_DROP, HT_STEER_FOREIGN_TARGET);
	f = ht_flow_table_find(&st->flows, pkt->src, pkt->dst);
	d = forward(t, pkt->mark, HT_STEER_MARKED);
	d.known = f;
	if (!f && pkt->length && !pkt->closes && !pkt->resets)
		f = adopt_flow(st, pkt, t, now);
	if (!f)
		return d;
	repeats = f->retransmissions;
	if (!track_packet(st, f, route, t, pkt, now))
		return d;
	if (f->retransmissions > repeats && target_is_dead(st, f, route, t, now)) {
		ht_flow_table_end(&st->flows, f);
		d.action = HT_STEER_RESET;
		d.reason = HT_STEER_DEAD_TARGET;
	}
	return d;
}

struct ht_steering_decision ht_steering_packet(struct ht_steering *st, const struct ht_packet *pkt,
					       ht_ms now)
{
	return pkt->opens ? steer_opening(st, pkt, now) : steer_marked(st, pkt, now);
}

void ht_steering_apply_report(struct ht_steering *st, const struct ht_report *report, ht_ms now)
{
	struct ht_target *t = ht_catalog_by_mark(st->params.catalog, report->mark);

	ht_ms before;

	if (!t)
		return;
	before = t->evidence.suspected_until;
	ht_evidence_remote_misses(&t->evidence, report->misses, now);
	notify_health(st, t, false, before, HT_HEALTH_REPORTED, now);
	for (uint32_t i = 0; i < report->errors; i++)
		record_result(st, t, true, HT_HEALTH_REPORTED, now);
}

/* When flows arrive from other instances, the routers have changed their paths: flows tracked here
 * continue through other instances, so missing packets do not mean a missing answer. */
static bool is_overdue(const struct ht_steering *st, const struct ht_tracked_flow *f, ht_ms now)
{
	ht_ms waited = now - f->requested_at;

	return st->adopted_at < f->requested_at && f->phase == HT_PHASE_REQUESTED && !f->overdue &&
	       waited > st->params.overdue_after &&
	       (double)waited > st->params.overdue_factor * f->target->service->answer_ms;
}

static ht_ms expiry_of(const struct ht_steering *st, const struct ht_tracked_flow *f)
{
	return f->phase == HT_PHASE_ANSWERED ? st->params.idle_expiry : st->params.flow_expiry;
}

void ht_steering_expire(struct ht_steering *st, ht_ms now)
{
	struct ht_list *pos, *tmp;

	uncount_inactive(st, now);
	ht_list_for_each_safe (pos, tmp, &st->flows.inactive) {
		struct ht_tracked_flow *f = ht_container_of(pos, struct ht_tracked_flow, node);

		if (is_overdue(st, f, now)) {
			f->overdue = true;
			notify_flow(st, f, HT_FLOW_OVERDUE, f->requested_at, 0, now);
			record_miss(st, f->target, f->requested_at, now);
		}
		if (now - f->last_packet_at >= expiry_of(st, f))
			ht_flow_table_end(&st->flows, f);
	}
}

void ht_steering_report_load(struct ht_steering *st)
{
	ht_overload_add_targets(&st->params.overload);
}

void ht_steering_update_load(struct ht_steering *st, ht_ms now)
{
	ht_overload_update(&st->params.overload, st->instance_count, now);
}

double ht_steering_occupancy(const struct ht_steering *st, ht_ms now)
{
	return ht_overload_occupancy(&st->params.overload, st->instance_count, now);
}

size_t ht_steering_flow_count(const struct ht_steering *st)
{
	return st->flows.map.count;
}

const char *ht_steering_action_name(enum ht_steering_action action)
{
	static const char *const names[] = {
		[HT_STEER_FORWARD] = "forward",
		[HT_STEER_RESET] = "reset",
		[HT_STEER_DROP] = "drop",
	};

	return action < HT_STEER_ACTIONS ? names[action] : "invalid";
}

const char *ht_steering_reason_name(enum ht_steering_reason reason)
{
	static const char *const names[] = {
		[HT_STEER_PLACED] = "placed",
		[HT_STEER_REPLACED] = "replaced",
		[HT_STEER_MARKED] = "marked",
		[HT_STEER_DEFERRED] = "deferred",
		[HT_STEER_NO_ROOM] = "no-room",
		[HT_STEER_ALL_COLD] = "all-cold",
		[HT_STEER_NO_VIEW] = "no-view",
		[HT_STEER_STALE_VIEW] = "stale-view",
		[HT_STEER_NO_ROUTE] = "no-route",
		[HT_STEER_UNREADABLE_ROUTE] = "unreadable-route",
		[HT_STEER_NO_TARGET] = "no-target",
		[HT_STEER_UNKNOWN_MARK] = "unknown-mark",
		[HT_STEER_FOREIGN_TARGET] = "foreign-target",
		[HT_STEER_DEAD_TARGET] = "dead-target",
	};

	return reason < HT_STEER_REASONS ? names[reason] : "invalid";
}

const char *ht_flow_event_name(enum ht_flow_event event)
{
	static const char *const names[] = {
		[HT_FLOW_UNANSWERED] = "unanswered", [HT_FLOW_OPENED] = "opened",
		[HT_FLOW_REQUESTED] = "asked",	     [HT_FLOW_REPEATED] = "repeated",
		[HT_FLOW_OVERDUE] = "overdue",	     [HT_FLOW_ANSWERED] = "answered",
		[HT_FLOW_ERROR] = "error",	     [HT_FLOW_ABANDONED] = "abandoned",
		[HT_FLOW_ENDED] = "ended",
	};

	return event < HT_FLOW_EVENTS ? names[event] : "invalid";
}

const char *ht_health_cause_name(enum ht_health_cause cause)
{
	static const char *const names[] = {
		[HT_HEALTH_SILENT] = "silent",
		[HT_HEALTH_REPORTED] = "reported",
		[HT_HEALTH_ERRORS] = "errors",
		[HT_HEALTH_ALIVE] = "alive",
	};

	return cause < HT_HEALTH_CAUSES ? names[cause] : "invalid";
}
