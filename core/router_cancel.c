/* Cancellation: removes a queued request, or passes the cancellation on to the target. */
#include "core/path.h"

static void reply(struct ht_request_path *p, struct ht_job *job, enum ht_verdict verdict)
{
	struct ht_answer a = {.code = HT_DELETED, .verdict = verdict};

	ht_path_count(p, HT_C_cancellations);
	ht_path_event(p, REQUEST_CANCELLED, job->body, job->target, 0, "verdict=%s",
		      ht_verdict_name(verdict));
	job->answered = true;
	ht_reply_send(p, job->body, job->target, &job->waiters[0], &a);
	ht_job_free(p, job);
}

static void cancel_open(struct ht_request_path *p, struct ht_job *job, struct ht_job *open)
{
	const struct ht_core_params *params = &p->env->params;

	if (open->state == HT_JOB_QUEUED) {
		enum ht_verdict verdict = open->floor;

		ht_serve_cancel_queued(p, open);
		reply(p, job, verdict);
		return;
	}
	params->ops->cancel_target(params->ctx, open->target, open->id);
	/* Only the target knows whether it had started; nobody waits for it any longer. */
	if (!open->answered)
		ht_reply_may_have_run(p, open, "cancelled");
	reply(p, job, HT_MAY_HAVE_RUN);
}

static bool same_token(const struct ht_body *a, const struct ht_body *b)
{
	struct ht_body x = *a, y = *b;

	x.method = y.method;
	return !a->cancel && a->flow == b->flow && a->token_len == b->token_len &&
	       ht_request_event_id(&x) == ht_request_event_id(&y);
}

/* A parked request has not run; one that was forwarded is cancelled where it went. */
static struct ht_job *find_waiting(struct ht_list *list, const struct ht_body *body)
{
	struct ht_list *pos;

	ht_list_for_each (pos, list) {
		struct ht_job *job = ht_container_of(pos, struct ht_job, node);

		if (same_token(job->body, body))
			return job;
	}
	return NULL;
}

static bool pass_on(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	const struct ht_service_conf *svc = cfg ? ht_config_service(cfg, job->body->service) : NULL;
	const struct ht_job *hop = find_waiting(&p->hops, job->body);
	uint64_t flow_at = ht_flows_use(p->flows, job->body->flow, p->env->now, NULL);
	const struct ht_target_conf *conf = ht_service_target(svc, flow_at ? flow_at : job->target);
	uint64_t home = conf ? p->membership->home(p->membership->ctx, conf->id, conf->dc) : 0;

	if (!job->hops_left)
		return false;
	if (hop)
		home = hop->hop_peer;
	return home && home != p->env->self && home != job->sender &&
	       ht_hop_send(p, job, home, hop ? hop->hop_target : conf->id, 0, INFINITY);
}

void ht_cancel_decide(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_entry *e = ht_ledger_find(p->ledger, job->body);
	struct ht_job *parked = find_waiting(&p->parked, job->body);
	struct ht_ticket t;

	if (parked && !parked->body->has_ticket) {
		enum ht_verdict verdict = parked->floor;

		ht_reply_unavailable(p, parked, "cancelled");
		ht_job_free(p, parked);
		reply(p, job, verdict);
		return;
	}
	if (e && e->job) {
		cancel_open(p, job, e->job);
		return;
	}
	if (e && e->state == HT_ENTRY_ANSWERED) {
		reply(p, job, e->verdict);
		return;
	}
	if (e && e->state == HT_ENTRY_SEALED) {
		reply(p, job, HT_NOT_RUN);
		return;
	}
	ht_ticket_unpack(&t, job->body->ticket);
	if (!e && job->body->has_ticket && t.incarnation == p->env->params.incarnation &&
	    p->env->now - t.issued < HT_TICKET_FRESH &&
	    t.mac == ht_ticket_mac(&t, job->body->flow, p->env->params.ticket_key)) {
		ht_posting_seal(p, job);
		reply(p, job, HT_NOT_RUN);
		return;
	}
	if (!e && !job->waited && pass_on(p, job))
		return;
	reply(p, job, HT_MAY_HAVE_RUN);
}
