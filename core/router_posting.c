/*
 * POST requests run at most once. One without a ticket is only answered with a new ticket (4.01
 * with the Echo option). One with a ticket runs only through the incarnation that issued the
 * ticket. A ticket is sealed when its request has not run and must never run.
 */
#include "core/path.h"

#include <string.h>

/* In ms: the estimate of the issuer's clock is behind by the time that the hand-over took. */
#define CLOCK_MARGIN 1000

void ht_post_new_ticket(struct ht_request_path *p, const struct ht_stored_request *req,
			uint8_t raw[HT_TICKET_LEN])
{
	struct ht_ticket t = {
		.incarnation = p->env->params.incarnation,
		.issued = p->env->now,
		.sequence = ++p->ticket_sequence,
	};

	t.mac = ht_ticket_mac(&t, req->flow, p->env->params.ticket_key);
	ht_ticket_pack(&t, raw);
	ht_path_count(p, HT_C_tickets_issued);
}

void ht_post_issue_ticket(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_answer a = {.code = HT_UNAUTHORIZED, .has_ticket = true};

	ht_post_new_ticket(p, job->req, a.ticket);
	ht_path_event(p, TICKET_ISSUED, job->req, job->target, 0, "sequence=%u",
		      p->ticket_sequence);
	ht_reply_all(p, job, &a);
	ht_job_free(p, job);
}

void ht_post_seal_ticket(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_entry *e = job->entry ? job->entry : ht_ledger_find(p->ledger, job->req);

	if (!e)
		e = ht_ledger_add(p->ledger, job->req, HT_ENTRY_SEALED, p->env->now);
	if (!e)
		return;
	ht_ledger_change(p->ledger, e, HT_ENTRY_SEALED, p->env->now);
	ht_handover_update(p, e);
	ht_path_event(p, TICKET_SEALED, job->req, job->target, 0, "ledger=%zu",
		      ht_ledger_count(p->ledger));
}

void ht_post_drop_ticket(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_stored_request *req = ht_stored_request_without_ticket(job->req);

	if (!req) {
		ht_reply_unavailable(p, job, "memory");
		ht_job_free(p, job);
		return;
	}
	ht_stored_request_put(job->req);
	job->req = req;
	job->flags = 0;
	job->sender = p->env->self;
	job->hop_id = 0;
	job->no_sender = true;
	ht_home_decide(p, job);
}

static void reply_unknown_outcome(struct ht_request_path *p, struct ht_job *job, const char *why)
{
	ht_path_event(p, TICKET_UNKNOWN, job->req, job->target, 0, "why=%s", why);
	ht_reply_may_have_run(p, job, why);
	ht_job_free(p, job);
}

/* Answers from the ledger's entry for the ticket. */
static void decide_by_entry(struct ht_request_path *p, struct ht_job *job, struct ht_entry *e)
{
	/* Entries received in a hand-over have no content hash. */
	if (e->content && e->content != job->req->content) {
		reply_unknown_outcome(p, job, "ticket_used_for_other_content");
		return;
	}
	if (e->job && !e->job->answered && ht_job_attach(e->job, job)) {
		ht_path_event(p, REQUEST_ATTACHED, job->req, e->target, 0, "waiters=%u",
			      e->job->waiter_count);
		ht_job_free(p, job);
		return;
	}
	switch (e->state) {
	case HT_ENTRY_ANSWERED:
		ht_path_count(p, HT_C_replays);
		ht_path_event(p, REQUEST_REPLAYED, job->req, e->target, 0, "verdict=%s",
			      ht_verdict_name(e->verdict));
		ht_reply_entry(p, job, e);
		ht_job_free(p, job);
		break;
	case HT_ENTRY_SEALED:
		ht_post_drop_ticket(p, job);
		break;
	default:
		reply_unknown_outcome(p, job, "outcome_unknown");
		break;
	}
}

/* Returns the target at which this instance can run the POST request in time, or NULL. */
static struct ht_target *find_runnable_target(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	const struct ht_service_conf *svc = cfg ? ht_config_service(cfg, job->req->service) : NULL;
	uint64_t id = ht_flows_use(p->flows, job->req->flow, p->env->now, NULL);
	const struct ht_target_conf *conf = ht_service_target(svc, id);
	struct ht_candidates cand;

	ht_placement_candidates(&cand, svc, job->req->flow);
	for (unsigned int i = 0; i < cand.count && !conf; i++) {
		if (p->membership->home(p->membership->ctx, cand.target[i]->id,
					cand.target[i]->dc) == p->env->self)
			conf = cand.target[i];
	}
	if (!conf)
		return NULL;
	job->target = conf->id;
	return ht_home_can_queue(p, job, conf) ? g_hash_table_lookup(p->targets, &conf->id) : NULL;
}

/* Decides on a ticket that this incarnation has issued. */
static void decide_as_issuer(struct ht_request_path *p, struct ht_job *job,
			     const struct ht_ticket *t)
{
	struct ht_entry *e = ht_ledger_find(p->ledger, job->req);
	ht_ms age = p->env->now - t->issued;
	struct ht_target *target;

	if (t->mac != ht_ticket_mac(t, job->req->flow, p->env->params.ticket_key)) {
		reply_unknown_outcome(p, job, "ticket_of_another_flow");
	} else if (e) {
		decide_by_entry(p, job, e);
	} else if (age < 0 || age >= HT_LEDGER_RETENTION_MS) {
		reply_unknown_outcome(p, job, "ticket_expired");
	} else if (age >= HT_TICKET_FIRST_USE_MS) {
		ht_post_drop_ticket(p, job);
	} else {
		target = find_runnable_target(p, job);
		if (target && !p->ledger_closed) {
			ht_home_accept(p, job, target);
			return;
		}
		ht_post_seal_ticket(p, job);
		ht_post_drop_ticket(p, job);
	}
}

/* The issuer has ended. If its ledger was received whole, a ticket without an entry did not run. */
static void decide_by_received_ledger(struct ht_request_path *p, struct ht_job *job,
				      const struct ht_ticket *t)
{
	ht_ms age;

	if (!ht_handover_complete(p, t->incarnation, &age)) {
		reply_unknown_outcome(p, job, "issuer_lost");
		return;
	}
	age -= t->issued;
	if (age < 0 || age + CLOCK_MARGIN >= HT_LEDGER_RETENTION_MS)
		reply_unknown_outcome(p, job, "ticket_expired");
	else
		ht_post_drop_ticket(p, job);
}

/* Forwards to the ticket's issuer, or to the flow's home, which may have the issuer's ledger. */
static bool forward_to_issuer_or_home(struct ht_request_path *p, struct ht_job *job,
				      const struct ht_ticket *t)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	const struct ht_service_conf *svc = cfg ? ht_config_service(cfg, job->req->service) : NULL;
	uint64_t issuer = p->membership->by_incarnation(p->membership->ctx, t->incarnation);
	uint64_t flow_target = ht_flows_use(p->flows, job->req->flow, p->env->now, NULL);
	const struct ht_target_conf *conf;
	struct ht_candidates cand;
	uint64_t home;

	if (!job->hops_left)
		return false;
	if (issuer && issuer != p->env->self && issuer != job->sender &&
	    ht_hop_send(p, job, issuer, job->target, 0, INFINITY))
		return true;
	ht_placement_candidates(&cand, svc, job->req->flow);
	conf = ht_service_target(svc, flow_target);
	if (!conf && cand.count)
		conf = cand.target[0];
	home = conf ? p->membership->home(p->membership->ctx, conf->id, conf->dc) : 0;
	if (!home || home == p->env->self || home == job->sender ||
	    ht_handover_complete(p, t->incarnation, NULL))
		return false;
	return ht_hop_send(p, job, home, conf->id, 0, INFINITY);
}

void ht_post_decide(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_entry *e;
	struct ht_ticket t;

	ht_ticket_unpack(&t, job->req->ticket);
	if (t.incarnation == p->env->params.incarnation) {
		decide_as_issuer(p, job, &t);
		return;
	}
	e = ht_ledger_find(p->ledger, job->req);
	if (e && (e->state == HT_ENTRY_ANSWERED || e->state == HT_ENTRY_SEALED)) {
		decide_by_entry(p, job, e);
		return;
	}
	if (forward_to_issuer_or_home(p, job, &t))
		return;
	if (e)
		decide_by_entry(p, job, e);
	else
		decide_by_received_ledger(p, job, &t);
}
