/* Results of requests sent to targets: answers, refusals and losses, and the retries after them. */
#include "base/hash.h"
#include "core/path.h"

#include <string.h>

static void free_slot(struct ht_request_path *p, struct ht_target *t, struct ht_job *job)
{
	ht_list_del(&job->node);
	ht_timer_stop(&job->timer);
	t->in_flight--;
	if (p->ownership->state(p->ownership->ctx, t->id) == HT_OWNER_RELEASING)
		p->ownership->request_ended(p->ownership->ctx, t->id);
}

static void handle_answer(struct ht_request_path *p, struct ht_target *t, struct ht_job *job,
			  const struct ht_target_answer *ans)
{
	const struct ht_target_conf *conf = ht_path_target_conf(p, t->id);
	struct ht_answer a = {
		.code = ans->code,
		.verdict = HT_RAN,
		.payload = ans->payload,
		.payload_len = ans->payload_len,
		.content_format = ans->content_format,
	};
	uint64_t tag =
		ht_hash(ans->payload_len ? ans->payload : (const uint8_t *)"", ans->payload_len);

	ht_target_answered(t, p->env->now - job->sent_at, conf ? conf->slots : 1);
	ht_path_event(p, TARGET_ANSWERED, job->req, t->id, 0, "code=%u.%02u ms=%lld",
		      ans->code / 32U, ans->code % 32U, (long long)(p->env->now - job->sent_at));
	memcpy(a.etag, &tag, sizeof(tag));
	if (job->req->has_ticket && !p->env->stopping) {
		a.has_ticket = true;
		ht_post_new_ticket(p, job->req, a.ticket);
	}
	if (job->entry) {
		ht_ledger_store_answer(p->ledger, job->entry, &a, p->env->now);
		ht_handover_update(p, job->entry);
		if (!job->answered)
			ht_reply_entry(p, job, job->entry);
	}
	ht_job_free(p, job);
}

/* The target refused the request, or it was never written to a connection: not run. */
static void handle_refusal(struct ht_request_path *p, struct ht_target *t, struct ht_job *job,
			   const struct ht_target_answer *ans)
{
	bool retry_is_free = ans->draining || ans->result == HT_TARGET_UNSENT;

	ht_path_event(p, TARGET_REFUSED, job->req, t->id, 0, "result=%d draining=%d",
		      (int)ans->result, ans->draining);
	if (job->entry)
		ht_ledger_change(p->ledger, job->entry, HT_ENTRY_OPEN, p->env->now);
	if (ans->draining)
		ht_serve_target_state(p, t->id, HT_TARGET_DRAINING);
	if (job->answered) {
		if (job->entry && job->entry->posting)
			ht_post_seal_ticket(p, job);
		ht_job_free(p, job);
		return;
	}
	if (retry_is_free || ht_retry_budget_spend(p->home_retry_budget, job->req->service)) {
		ht_path_count(p, HT_C_retries);
		ht_path_event(p, REQUEST_RETRIED, job->req, t->id, 0, "side=home why=refused");
		/* The flow moves only when the target drains, not when it sheds load. */
		job->keep_flow = !ans->draining;
		ht_serve_relocate(p, job, false);
		return;
	}
	ht_path_count(p, HT_C_retries_denied);
	ht_path_event(p, RETRY_DENIED, job->req, t->id, 0, "why=budget");
	ht_serve_refuse(p, job, HT_SERVICE_UNAVAILABLE, ans->retry_after, "target_refused");
	ht_job_free(p, job);
}

static bool retry_lost(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_target *t = g_hash_table_lookup(p->targets, &job->target);

	if (!ht_stored_request_idempotent(job->req) || job->answered)
		return false;
	if ((double)(job->deadline - p->env->now) < (t ? t->service_time : 1) ||
	    !ht_retry_budget_spend(p->home_retry_budget, job->req->service)) {
		ht_path_count(p, HT_C_retries_denied);
		ht_path_event(p, RETRY_DENIED, job->req, job->target, 0, "why=budget_or_deadline");
		return false;
	}
	ht_path_count(p, HT_C_retries);
	ht_path_event(p, REQUEST_RETRIED, job->req, job->target, 0, "side=home why=lost");
	job->min_verdict = HT_MAY_HAVE_RUN;
	job->flags |= HT__FORWARD_FLAG__FORWARD_RETRY;
	job->keep_flow = true;
	ht_serve_relocate(p, job, false);
	return true;
}

/* The connection was lost or the answer timed out: the request may have run. */
static void handle_loss(struct ht_request_path *p, struct ht_target *t, struct ht_job *job,
			const struct ht_target_answer *ans)
{
	if (ht_target_lost(t, p->env->now)) {
		ht_path_event(p, TARGET_UNHEALTHY, job->req, t->id, 0, "lost=%u", t->lost);
		ht_serve_flush(p, t);
	}
	ht_path_event(p, REQUEST_LOST, job->req, t->id, 0, "result=%d", (int)ans->result);
	if (retry_lost(p, job))
		return;
	if (job->entry && job->entry->posting) {
		ht_ledger_change(p->ledger, job->entry, HT_ENTRY_UNKNOWN, p->env->now);
		ht_handover_update(p, job->entry);
	} else {
		ht_serve_drop_entry(p, job);
	}
	if (!job->answered)
		ht_reply_may_have_run(p, job, "target_lost");
	ht_job_free(p, job);
}

void ht_serve_result(struct ht_request_path *p, const struct ht_target_answer *ans)
{
	struct ht_job *job = g_hash_table_lookup(p->jobs, &ans->id);
	struct ht_target *t = job ? g_hash_table_lookup(p->targets, &job->target) : NULL;

	if (!t || job->state != HT_JOB_SENT)
		return;
	free_slot(p, t, job);
	switch (ans->result) {
	case HT_TARGET_ANSWERED:
		handle_answer(p, t, job, ans);
		break;
	case HT_TARGET_REFUSED:
	case HT_TARGET_UNSENT:
		handle_refusal(p, t, job, ans);
		break;
	default:
		handle_loss(p, t, job, ans);
		break;
	}
	ht_serve_run(p, t);
	if (!t->in_flight && !p->ownership->slots(p->ownership->ctx, t->id))
		ht_serve_owner_changed(p, t->id);
}
