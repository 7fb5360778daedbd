/* How requests at targets end: answers, refusals, losses and the retries that follow. */
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

static void take_answer(struct ht_request_path *p, struct ht_target *t, struct ht_job *job,
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
	ht_path_event(p, TARGET_ANSWERED, job->body, t->id, 0, "code=%u.%02u ms=%lld",
		      ans->code / 32U, ans->code % 32U, (long long)(p->env->now - job->sent_at));
	memcpy(a.etag, &tag, sizeof(tag));
	if (job->body->has_ticket && !p->env->stopping) {
		a.has_ticket = true;
		ht_posting_ticket(p, job->body, a.ticket);
	}
	if (job->entry) {
		ht_ledger_keep(p->ledger, job->entry, &a, p->env->now);
		ht_handover_update(p, job->entry);
		if (!job->answered)
			ht_reply_entry(p, job, job->entry);
	}
	ht_job_free(p, job);
}

/* Refused or never written: it did not run. */
static void take_refusal(struct ht_request_path *p, struct ht_target *t, struct ht_job *job,
			 const struct ht_target_answer *ans)
{
	bool free_move = ans->draining || ans->result == HT_TARGET_UNSENT;

	ht_path_event(p, TARGET_REFUSED, job->body, t->id, 0, "result=%d draining=%d",
		      (int)ans->result, ans->draining);
	if (job->entry)
		ht_ledger_change(p->ledger, job->entry, HT_ENTRY_OPEN, p->env->now);
	if (ans->draining)
		ht_serve_target_state(p, t->id, HT_TARGET_DRAINING);
	if (job->answered) {
		if (job->entry && job->entry->posting)
			ht_posting_seal(p, job);
		ht_job_free(p, job);
		return;
	}
	if (free_move || ht_retries_spend(p->home_retries, job->body->service)) {
		ht_path_count(p, HT_C_retries);
		ht_path_event(p, REQUEST_RETRIED, job->body, t->id, 0, "side=home why=refused");
		/* A target that only sheds load keeps its flows. */
		job->one_off = !ans->draining;
		ht_serve_replace_all(p, job, false);
		return;
	}
	ht_path_count(p, HT_C_retries_denied);
	ht_path_event(p, RETRY_DENIED, job->body, t->id, 0, "why=budget");
	ht_serve_refuse(p, job, HT_SERVICE_UNAVAILABLE, ans->retry_after, "target_refused");
	ht_job_free(p, job);
}

static bool retry_lost(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_target *t = g_hash_table_lookup(p->targets, &job->target);

	if (!ht_body_idempotent(job->body) || job->answered)
		return false;
	if ((double)(job->deadline - p->env->now) < (t ? t->service_time : 1) ||
	    !ht_retries_spend(p->home_retries, job->body->service)) {
		ht_path_count(p, HT_C_retries_denied);
		ht_path_event(p, RETRY_DENIED, job->body, job->target, 0, "why=budget_or_deadline");
		return false;
	}
	ht_path_count(p, HT_C_retries);
	ht_path_event(p, REQUEST_RETRIED, job->body, job->target, 0, "side=home why=lost");
	job->floor = HT_MAY_HAVE_RUN;
	job->flags |= HT__FORWARD_FLAG__FORWARD_RETRY;
	job->one_off = true;
	ht_serve_replace_all(p, job, false);
	return true;
}

/* Lost or timed out: it may have run. */
static void take_loss(struct ht_request_path *p, struct ht_target *t, struct ht_job *job,
		      const struct ht_target_answer *ans)
{
	if (ht_target_lost(t, p->env->now)) {
		ht_path_event(p, TARGET_UNHEALTHY, job->body, t->id, 0, "lost=%u", t->lost);
		ht_serve_flush(p, t);
	}
	ht_path_event(p, REQUEST_LOST, job->body, t->id, 0, "result=%d", (int)ans->result);
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
		take_answer(p, t, job, ans);
		break;
	case HT_TARGET_REFUSED:
	case HT_TARGET_UNSENT:
		take_refusal(p, t, job, ans);
		break;
	default:
		take_loss(p, t, job, ans);
		break;
	}
	ht_serve_run(p, t);
	if (!t->in_flight && !p->ownership->slots(p->ownership->ctx, t->id))
		ht_serve_owner_changed(p, t->id);
}
