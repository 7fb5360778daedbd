#include "core/steering.h"

#include "base/hash.h"
#include "core/placing.h"

#include <stdlib.h>
#include <string.h>

/* Weight of an answer time in the mean of its service, which has many targets. */
#define SERVICE_WEIGHT 0.02

enum phase {
	PHASE_OPENING,	/* opening packet sent */
	PHASE_OPEN,	/* the caller has heard from the target */
	PHASE_ASKED,	/* the caller has sent data */
	PHASE_ANSWERED, /* the caller has acknowledged data of the target */
};

/* Opening packets come three times; the copies are counted from 0. */
#define LAST_COPY 2

struct flow {
	struct ht_hnode hnode;
	struct ht_list node; /* in ht_steering.active or .quiet, by time of the last packet */
	struct ht_endpoint src, dst;
	enum phase phase;
	struct ht_target *tried[HT_PLACING_TRIES];
	size_t tried_count;
	struct ht_target *target;
	uint32_t mark;	 /* by which its packets name the target */
	uint32_t placed; /* opening packets sent to a target */
	bool counted;	 /* in the target's open flows */
	ht_ms opened_at; /* first opening packet */
	ht_ms placed_at, asked_at, seen_at;
	uint32_t acknowledged; /* in the first packet after the opening one */
	uint32_t asked_sequence;
	ht_ms took; /* from the request to the first data of the answer */
	bool overdue;
};

struct ht_steering {
	struct ht_steering_params params;
	struct ht_placing placing;
	struct ht_hmap flows;
	struct ht_list active; /* flows that count as open, newest packet last */
	struct ht_list quiet;  /* flows without packets: perhaps they go through others now */
	bool complete;
	size_t sharers;
};

void ht_steering_params_default(struct ht_steering_params *params)
{
	*params = (struct ht_steering_params){
		.flows_max = 65536,
		.overdue = 600,
		.overdue_times = 5,
		.flow_quiet = 400,
		.flow_silence = 3000,
		.remote_cost = 4.0,
		.cold_cost = 2.0,
		.depth = 6.0,
		.urgent_share = 0.2,
		.doubted_cost = 16.0,
		.doubted_share = 0.5,
	};
}

struct ht_steering *ht_steering_new(const struct ht_steering_params *params)
{
	struct ht_steering *st = calloc(1, sizeof(*st));

	if (!st)
		return NULL;
	st->params = *params;
	st->placing = (struct ht_placing){.params = &st->params, .random = params->seed};
	st->sharers = 1;
	ht_list_init(&st->active);
	ht_list_init(&st->quiet);
	if (ht_hmap_init(&st->flows))
		return st;
	free(st);
	return NULL;
}

static void uncount(struct flow *f)
{
	if (f->counted)
		ht_target_count_open(f->target, -1);
	f->counted = false;
}

static void flow_end(struct ht_steering *st, struct flow *f)
{
	uncount(f);
	if (f->target)
		f->target->flows--;
	ht_hmap_del(&st->flows, &f->hnode);
	ht_list_del(&f->node);
	free(f);
}

void ht_steering_free(struct ht_steering *st)
{
	struct ht_list *pos, *tmp;

	if (!st)
		return;
	ht_list_for_each_safe (pos, tmp, &st->active)
		flow_end(st, ht_container_of(pos, struct flow, node));
	ht_list_for_each_safe (pos, tmp, &st->quiet)
		flow_end(st, ht_container_of(pos, struct flow, node));
	ht_hmap_clear(&st->flows);
	free(st);
}

void ht_steering_set_complete(struct ht_steering *st, bool complete)
{
	st->complete = complete;
}

void ht_steering_set_sharers(struct ht_steering *st, size_t count)
{
	st->sharers = count;
}

uint64_t ht_flow_hash(struct ht_endpoint src, struct ht_endpoint dst)
{
	return ht_hash_pair(((uint64_t)src.ip << 16) | src.port,
			    ((uint64_t)dst.ip << 16) | dst.port);
}

static uint64_t flow_hash(const struct ht_packet *pkt)
{
	return ht_flow_hash(pkt->src, pkt->dst);
}

static struct flow *find_flow(const struct ht_steering *st, const struct ht_packet *pkt)
{
	struct ht_hnode *pos;

	ht_hmap_for_each (pos, &st->flows, flow_hash(pkt)) {
		struct flow *f = ht_container_of(pos, struct flow, hnode);

		if (ht_endpoint_equal(f->src, pkt->src) && ht_endpoint_equal(f->dst, pkt->dst))
			return f;
	}
	return NULL;
}

static struct flow *oldest(struct ht_steering *st)
{
	struct ht_list *list = ht_list_empty(&st->quiet) ? &st->active : &st->quiet;

	return ht_container_of(list->next, struct flow, node);
}

static struct flow *add_flow(struct ht_steering *st, const struct ht_packet *pkt)
{
	struct flow *f;

	if (st->flows.count >= st->params.flows_max)
		flow_end(st, oldest(st));
	f = calloc(1, sizeof(*f));
	if (!f)
		return NULL;
	f->src = pkt->src;
	f->dst = pkt->dst;
	ht_hmap_add(&st->flows, &f->hnode, flow_hash(pkt));
	ht_list_add_tail(&st->active, &f->node);
	return f;
}

static void touch(struct ht_steering *st, struct flow *f, ht_ms now)
{
	f->seen_at = now;
	ht_list_del(&f->node);
	ht_list_add_tail(&st->active, &f->node);
	if (!f->counted)
		ht_target_count_open(f->target, 1);
	f->counted = true;
}

static void set_target(struct flow *f, struct ht_target *t, uint32_t mark, ht_ms now)
{
	uncount(f);
	if (f->target)
		f->target->flows--;
	f->target = t;
	f->mark = mark;
	t->flows++;
	f->placed_at = now;
}

/*
 * Flows without packets are no longer counted: when instances come or go, the routers send most
 * flows through others, and their ends are not seen here.
 */
static void uncount_quiet(struct ht_steering *st, ht_ms now)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &st->active) {
		struct flow *f = ht_container_of(pos, struct flow, node);

		if (now - f->seen_at < st->params.flow_quiet)
			return;
		uncount(f);
		ht_list_del(&f->node);
		ht_list_add_tail(&st->quiet, &f->node);
	}
}

static void tell_flow(const struct ht_steering *st, const struct flow *f, enum ht_flow_event event,
		      ht_ms since, uint32_t bytes, ht_ms now)
{
	const struct ht_steering_observer *obs = &st->params.observer;

	if (obs->flow)
		obs->flow(obs->ctx,
			  &(struct ht_flow_facts){
				  .event = event,
				  .src = f->src,
				  .dst = f->dst,
				  .target = f->target,
				  .copies = f->placed - 1,
				  .open_for = now - f->opened_at,
				  .waited = now - since,
				  .bytes = bytes,
			  },
			  now);
}

/* Tells of a doubt that has begun, doubled or ended since it lasted until @before. */
static void tell_belief(const struct ht_steering *st, const struct ht_target *t, bool whole_dc,
			ht_ms before, enum ht_belief_cause cause, ht_ms now)
{
	const struct ht_steering_observer *obs = &st->params.observer;
	ht_ms until = whole_dc ? t->dc->evidence.doubted_until : t->evidence.doubted_until;
	ht_ms left = before > now ? before - now : 0;

	if (!obs->belief)
		return;
	if (until > before && until - now >= 2 * left)
		obs->belief(obs->ctx, t, whole_dc, cause, now);
	else if (until < before && before > now)
		obs->belief(obs->ctx, t, whole_dc, HT_BELIEF_ALIVE, now);
}

static void miss(struct ht_steering *st, struct ht_target *t, ht_ms sent, ht_ms now)
{
	ht_ms before = t->evidence.doubted_until, dc_before = t->dc->evidence.doubted_until;

	ht_evidence_miss(&t->evidence, sent, now);
	tell_belief(st, t, false, before, HT_BELIEF_SILENT, now);
	if (t->evidence.misses)
		ht_reports_miss(st->params.reports, t->marks[0].value);
	if (t->dc->local)
		return;
	ht_evidence_miss(&t->dc->evidence, sent, now);
	tell_belief(st, t, true, dc_before, HT_BELIEF_SILENT, now);
}

static void alive(const struct ht_steering *st, struct ht_target *t, ht_ms now)
{
	ht_ms before = t->evidence.doubted_until, dc_before = t->dc->evidence.doubted_until;

	ht_evidence_alive(&t->evidence, now);
	ht_evidence_alive(&t->dc->evidence, now);
	tell_belief(st, t, false, before, HT_BELIEF_ALIVE, now);
	tell_belief(st, t, true, dc_before, HT_BELIEF_ALIVE, now);
}

static void result(const struct ht_steering *st, struct ht_target *t, bool error,
		   enum ht_belief_cause cause, ht_ms now)
{
	ht_ms before = t->evidence.doubted_until;

	ht_evidence_result(&t->evidence, error, now);
	tell_belief(st, t, false, before, cause, now);
}

static struct ht_steering_decision decide(enum ht_steering_action action,
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

/* Without a whole view the answer may lie in what has not been read: the caller asks again. */
static struct ht_steering_decision refuse(const struct ht_steering *st,
					  enum ht_steering_reason reason)
{
	return st->complete ? decide(HT_STEER_RESET, reason)
			    : decide(HT_STEER_DROP, HT_STEER_NO_VIEW);
}

/*
 * True if this instance's share of the service is so full that targets would shed a new flow. The
 * last copy of an opening packet is always let in.
 */
static bool deferred(const struct ht_steering *st, const struct ht_route *route,
		     const struct ht_packet *pkt, struct ht_steering_decision *d)
{
	const struct ht_service *s = route->service;
	double room = (double)s->local_slots * st->params.depth, open = (double)s->open;

	if (pkt->acknowledged >= LAST_COPY)
		return false;
	room /= (double)st->sharers;
	if (route->priority > s->urgent)
		room *= 1 - st->params.urgent_share;
	if (room <= 0 || open < room + 1)
		return false;
	*d = decide(HT_STEER_DROP, HT_STEER_DEFERRED);
	d->open = open;
	d->room = room;
	return true;
}

/* The copies of an opening packet go to another target each. */
static void remember(struct ht_steering *st, struct flow *f, struct ht_target *t, uint32_t mark,
		     ht_ms now)
{
	f->tried[f->tried_count % HT_PLACING_TRIES] = t;
	if (f->tried_count < HT_PLACING_TRIES)
		f->tried_count++;
	if (!f->placed++)
		f->opened_at = now;
	set_target(f, t, mark, now);
	touch(st, f, now);
}

static struct ht_steering_decision place(struct ht_steering *st, struct ht_route *route,
					 const struct ht_packet *pkt, struct flow *f, ht_ms now)
{
	struct ht_target *t = ht_placing_choose(&st->placing, route->service, f ? f->tried : NULL,
						f ? f->tried_count : 0, now);
	uint32_t mark = t ? ht_catalog_mark(st->params.catalog, t) : 0;
	bool again = f;

	if (!mark)
		return refuse(st, HT_STEER_NO_TARGET);
	if (!f)
		f = add_flow(st, pkt);
	if (f)
		remember(st, f, t, mark, now);
	return forward(t, mark, again ? HT_STEER_REPLACED : HT_STEER_PLACED);
}

static struct ht_steering_decision steer_opening(struct ht_steering *st,
						 const struct ht_packet *pkt, ht_ms now)
{
	struct ht_route *route = ht_catalog_route(st->params.catalog, pkt->dst);
	struct flow *f = find_flow(st, pkt);
	struct ht_steering_decision d;

	uncount_quiet(st, now);
	if (!route)
		return refuse(st, HT_STEER_NO_ROUTE);
	if (f && f->phase != PHASE_OPENING) {
		/* A late copy joins the open flow; a first packet reuses the caller's port. */
		if (pkt->acknowledged) {
			d = forward(f->target, f->mark, HT_STEER_MARKED);
			d.known = true;
			return d;
		}
		flow_end(st, f);
		f = NULL;
	}
	if (f) {
		tell_flow(st, f, HT_FLOW_UNANSWERED, f->placed_at, 0, now);
		miss(st, f->target, f->placed_at, now);
	} else if (deferred(st, route, pkt, &d)) {
		return d;
	}
	return place(st, route, pkt, f, now);
}

static void answered(const struct ht_steering *st, struct flow *f, struct ht_target *t, ht_ms now)
{
	double *mean = &t->service->answer_ms;
	ht_ms took = now - f->asked_at;

	f->phase = PHASE_ANSWERED;
	f->took = took;
	tell_flow(st, f, HT_FLOW_ANSWERED, f->asked_at, 0, now);
	ht_evidence_answer(&t->evidence, took);
	t->answers++;
	t->answers_ms += took;
	ht_histogram_add(&t->service->answer_time, (double)took / 1000);
	*mean = *mean > 0 ? *mean + SERVICE_WEIGHT * ((double)took - *mean) : (double)took;
}

/* The caller has received all that it will: what it acknowledged is the whole answer. */
static void judge(struct ht_steering *st, const struct flow *f, struct ht_route *route,
		  struct ht_target *t, const struct ht_packet *pkt, ht_ms now)
{
	uint32_t bytes = pkt->acknowledged - f->acknowledged;
	bool error = ht_answers_error(&route->answers, bytes, f->took);

	if (error)
		tell_flow(st, f, HT_FLOW_ERROR, now - f->took, bytes, now);
	result(st, t, error, HT_BELIEF_ERRORS, now);
	if (error)
		ht_reports_error(st->params.reports, t->marks[0].value);
}

/* The caller sends nothing more: the flow ends as far as it can be seen here. */
static void ended(struct ht_steering *st, struct flow *f, const struct ht_packet *pkt, ht_ms now)
{
	bool waiting = f->phase == PHASE_ASKED;

	tell_flow(st, f, pkt->resets && waiting ? HT_FLOW_ABANDONED : HT_FLOW_ENDED,
		  waiting ? f->asked_at : now, 0, now);
	flow_end(st, f);
}

/* Learns from a packet of a flow whose opening packet went through this instance. */
static void observe(struct ht_steering *st, struct flow *f, struct ht_route *route,
		    struct ht_target *t, const struct ht_packet *pkt, ht_ms now)
{
	if (pkt->resets) {
		/* Its numbers tell nothing of the target. */
		ended(st, f, pkt, now);
		return;
	}
	if (f->phase == PHASE_OPENING) {
		f->phase = PHASE_OPEN;
		f->acknowledged = pkt->acknowledged;
		if (f->target != t)
			set_target(f, t, pkt->mark, now);
		tell_flow(st, f, HT_FLOW_OPENED, f->placed_at, 0, now);
		alive(st, t, now);
	}
	if (f->phase == PHASE_OPEN && pkt->length) {
		f->phase = PHASE_ASKED;
		f->asked_at = now;
		f->asked_sequence = pkt->sequence;
		tell_flow(st, f, HT_FLOW_ASKED, f->placed_at, 0, now);
	} else if (f->phase == PHASE_ASKED && pkt->acknowledged != f->acknowledged) {
		answered(st, f, t, now);
		alive(st, t, now);
	} else if (f->phase == PHASE_ASKED && pkt->length && pkt->sequence == f->asked_sequence) {
		tell_flow(st, f, HT_FLOW_REPEATED, f->asked_at, 0, now);
		miss(st, t, f->asked_at, now);
	}
	touch(st, f, now);
	if (pkt->closes && f->phase == PHASE_ANSWERED)
		judge(st, f, route, t, pkt, now);
	if (pkt->closes)
		ended(st, f, pkt, now);
}

static struct ht_steering_decision steer_marked(struct ht_steering *st, const struct ht_packet *pkt,
						ht_ms now)
{
	struct ht_route *route = ht_catalog_route(st->params.catalog, pkt->dst);
	struct ht_target *t = ht_catalog_by_mark(st->params.catalog, pkt->mark);
	struct ht_steering_decision d;
	struct flow *f;

	if (!route)
		return decide(HT_STEER_DROP, st->complete ? HT_STEER_NO_ROUTE : HT_STEER_NO_VIEW);
	if (!t)
		return decide(HT_STEER_DROP, HT_STEER_UNKNOWN_MARK);
	if (t->service != route->service && t->service != route->earlier)
		return decide(HT_STEER_DROP, HT_STEER_FOREIGN_TARGET);
	f = find_flow(st, pkt);
	d = forward(t, pkt->mark, HT_STEER_MARKED);
	d.known = f;
	if (f)
		observe(st, f, route, t, pkt, now);
	return d;
}

struct ht_steering_decision ht_steering_packet(struct ht_steering *st, const struct ht_packet *pkt,
					       ht_ms now)
{
	return pkt->opens ? steer_opening(st, pkt, now) : steer_marked(st, pkt, now);
}

void ht_steering_hear(struct ht_steering *st, const struct ht_report *report, ht_ms now)
{
	struct ht_target *t = ht_catalog_by_mark(st->params.catalog, report->mark);

	ht_ms before;

	if (!t)
		return;
	before = t->evidence.doubted_until;
	ht_evidence_hearsay(&t->evidence, report->misses, now);
	tell_belief(st, t, false, before, HT_BELIEF_REPORTED, now);
	for (uint32_t i = 0; i < report->errors; i++)
		result(st, t, true, HT_BELIEF_REPORTED, now);
}

static bool is_overdue(const struct ht_steering *st, const struct flow *f, ht_ms now)
{
	ht_ms waited = now - f->asked_at;

	return f->phase == PHASE_ASKED && !f->overdue && waited > st->params.overdue &&
	       (double)waited > st->params.overdue_times * f->target->service->answer_ms;
}

void ht_steering_expire(struct ht_steering *st, ht_ms now)
{
	struct ht_list *pos, *tmp;

	uncount_quiet(st, now);
	ht_list_for_each_safe (pos, tmp, &st->quiet) {
		struct flow *f = ht_container_of(pos, struct flow, node);

		if (is_overdue(st, f, now)) {
			f->overdue = true;
			tell_flow(st, f, HT_FLOW_OVERDUE, f->asked_at, 0, now);
			miss(st, f->target, f->asked_at, now);
		}
		if (now - f->seen_at >= st->params.flow_silence)
			flow_end(st, f);
	}
}

size_t ht_steering_flow_count(const struct ht_steering *st)
{
	return st->flows.count;
}

const char *ht_steering_reason_name(enum ht_steering_reason reason)
{
	static const char *const names[] = {
		[HT_STEER_PLACED] = "placed",
		[HT_STEER_REPLACED] = "replaced",
		[HT_STEER_MARKED] = "marked",
		[HT_STEER_DEFERRED] = "deferred",
		[HT_STEER_NO_VIEW] = "no-view",
		[HT_STEER_NO_ROUTE] = "no-route",
		[HT_STEER_NO_TARGET] = "no-target",
		[HT_STEER_UNKNOWN_MARK] = "unknown-mark",
		[HT_STEER_FOREIGN_TARGET] = "foreign-target",
	};

	return reason < HT_STEER_REASONS ? names[reason] : "invalid";
}

const char *ht_flow_event_name(enum ht_flow_event event)
{
	static const char *const names[] = {
		[HT_FLOW_UNANSWERED] = "unanswered", [HT_FLOW_OPENED] = "opened",
		[HT_FLOW_ASKED] = "asked",	     [HT_FLOW_REPEATED] = "repeated",
		[HT_FLOW_OVERDUE] = "overdue",	     [HT_FLOW_ANSWERED] = "answered",
		[HT_FLOW_ERROR] = "error",	     [HT_FLOW_ABANDONED] = "abandoned",
		[HT_FLOW_ENDED] = "ended",
	};

	return event < HT_FLOW_EVENTS ? names[event] : "invalid";
}

const char *ht_belief_cause_name(enum ht_belief_cause cause)
{
	static const char *const names[] = {
		[HT_BELIEF_SILENT] = "silent",
		[HT_BELIEF_REPORTED] = "reported",
		[HT_BELIEF_ERRORS] = "errors",
		[HT_BELIEF_ALIVE] = "alive",
	};

	return cause < HT_BELIEF_CAUSES ? names[cause] : "invalid";
}
