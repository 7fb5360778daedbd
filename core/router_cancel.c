/* Cancellation of a request that waits here, is in flight at a target, or went to another home. */
#include "core/path.h"

static void reply_cancelled(struct ht_request_path *p, struct ht_job *job, enum ht_verdict verdict)
{
	struct ht_answer a = {.code = HT_DELETED, .verdict = verdict};

	ht_path_count(p, HT_C_cancellations);
	ht_path_event(p, REQUEST_CANCELLED, job->req, job->target, 0, "verdict=%s",
		      ht_verdict_name(verdict));
	job->answered = true;
	ht_reply_send(p, job->req, job->target, &job->waiters[0], &a);
	ht_job_free(p, job);
}

static void cancel_entry_job(struct ht_request_path *p, struct ht_job *job,
			     struct ht_job *target_job)
{
	const struct ht_core_params *params = &p->env->params;

	if (target_job->state == HT_JOB_QUEUED) {
		enum ht_verdict verdict = target_job->min_verdict;

		ht_serve_cancel_queued(p, target_job);
		reply_cancelled(p, job, verdict);
		return;
	}
	params->ops->cancel_target(params->ctx, target_job->target, target_job->id);
	/* Only the target knows whether the request has started: it may have run. */
	if (!target_job->answered)
		ht_reply_may_have_run(p, target_job, "cancelled");
	reply_cancelled(p, job, HT_MAY_HAVE_RUN);
}

static bool same_request(const struct ht_stored_request *a, const struct ht_stored_request *b)
{
	struct ht_stored_request x = *a, y = *b;

	x.method = y.method;
	return !a->cancel && a->flow == b->flow && a->token_len == b->token_len &&
	       ht_request_event_id(&x) == ht_request_event_id(&y);
}

/* Finds the parked or forwarded job that @req cancels, or NULL. */
static struct ht_job *find_job(struct ht_list *list, const struct ht_stored_request *req)
{
	struct ht_list *pos;

	ht_list_for_each (pos, list) {
		struct ht_job *job = ht_container_of(pos, struct ht_job, node);

		if (same_request(job->req, req))
			return job;
	}
	return NULL;
}

/* Forwards the cancellation to where the request went, or else to the home of its flow. */
static bool forward_cancel(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	const struct ht_service_conf *svc = cfg ? ht_config_service(cfg, job->req->service) : NULL;
	const struct ht_job *hop = find_job(&p->forwarded, job->req);
	uint64_t flow_target = ht_flows_use(p->flows, job->req->flow, p->env->now, NULL);
	const struct ht_target_conf *conf =
		ht_service_target(svc, flow_target ? flow_target : job->target);
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
	struct ht_entry *e = ht_ledger_find(p->ledger, job->req);
	struct ht_job *parked = find_job(&p->parked, job->req);
	struct ht_ticket t;

	if (parked && !parked->req->has_ticket) {
		/* A parked request has not been sent to a target. */
		enum ht_verdict verdict = parked->min_verdict;

		ht_reply_unavailable(p, parked, "cancelled");
		ht_job_free(p, parked);
		reply_cancelled(p, job, verdict);
		return;
	}
	if (e && e->job) {
		cancel_entry_job(p, job, e->job);
		return;
	}
	if (e && e->state == HT_ENTRY_ANSWERED) {
		reply_cancelled(p, job, e->verdict);
		return;
	}
	if (e && e->state == HT_ENTRY_SEALED) {
		reply_cancelled(p, job, HT_NOT_RUN);
		return;
	}
	ht_ticket_unpack(&t, job->req->ticket);
	if (!e && job->req->has_ticket && t.incarnation == p->env->params.incarnation &&
	    p->env->now - t.issued < HT_TICKET_FIRST_USE_MS &&
	    t.mac == ht_ticket_mac(&t, job->req->flow, p->env->params.ticket_key)) {
		ht_post_seal_ticket(p, job);
		reply_cancelled(p, job, HT_NOT_RUN);
		return;
	}
	if (!e && !job->was_parked && forward_cancel(p, job))
		return;
	reply_cancelled(p, job, HT_MAY_HAVE_RUN);
}
