/*
 * Repeats follow the first copy of their request to where that was forwarded. Otherwise a flow that
 * moves between two copies would queue them at two targets, and one could be refused as not run
 * while the other one runs.
 */
#include "core/path.h"

/* While views differ, a forwarded request can come back by way of other instances. */
static bool same_copy(const struct ht_job *a, const struct ht_job *b)
{
	for (unsigned int i = 0; i < a->waiter_count; i++)
		for (unsigned int j = 0; j < b->waiter_count; j++)
			if (a->waiters[i].ingress == b->waiters[j].ingress &&
			    a->waiters[i].ingress_id == b->waiters[j].ingress_id)
				return true;
	return false;
}

static struct ht_job *forwarded_copy(struct ht_request_path *p, const struct ht_job *job)
{
	uint64_t key = ht_request_event_id(job->body);
	struct ht_job *copy = g_hash_table_lookup(p->hop_index, &key);

	if (!copy || copy == job || copy->body->flow != job->body->flow ||
	    copy->body->content != job->body->content || same_copy(copy, job))
		return NULL;
	return copy;
}

void ht_follow_note(struct ht_request_path *p, struct ht_job *job)
{
	job->hop_waiters = job->waiter_count;
	if (!ht_body_idempotent(job->body) || job->body->cancel)
		return;
	ht_follow_forget(p, job);
	job->hop_key = ht_request_event_id(job->body);
	g_hash_table_replace(p->hop_index, &job->hop_key, job);
}

void ht_follow_forget(struct ht_request_path *p, struct ht_job *job)
{
	if (job->hop_key && g_hash_table_lookup(p->hop_index, &job->hop_key) == job)
		g_hash_table_remove(p->hop_index, &job->hop_key);
	job->hop_key = 0;
}

static bool send_after(struct ht_request_path *p, struct ht_job *job, uint64_t peer,
		       uint64_t target)
{
	job->one_off = true;
	/* The copy may start there at any time. */
	job->floor = HT_MAY_HAVE_RUN;
	return job->hops_left &&
	       ht_hop_send(p, job, peer, target, HT__FORWARD_FLAG__FORWARD_MOVED, INFINITY);
}

bool ht_follow(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_job *copy = forwarded_copy(p, job);

	if (!copy || job->replaced || copy->hop_peer == job->sender)
		return false;
	if (copy->hop_flags & HT__FORWARD_FLAG__FORWARD_MOVED)
		return send_after(p, job, copy->hop_peer, copy->hop_target);
	/* The peer may still return the copy, so the repeat waits with it. */
	if (!ht_job_attach(copy, job))
		return false;
	ht_path_event(p, REQUEST_ATTACHED, job->body, copy->hop_target, copy->hop_peer,
		      "waiters=%u", copy->waiter_count);
	ht_job_free(p, job);
	return true;
}

void ht_follow_send_late(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_job *late;

	if (job->waiter_count <= job->hop_waiters)
		return;
	late = ht_job_new(p, job->body, p->env->self);
	if (!late)
		return;
	for (unsigned int i = job->hop_waiters; i < job->waiter_count; i++)
		ht_job_add_waiter(late, job->waiters[i].ingress, job->waiters[i].ingress_id);
	job->waiter_count = job->hop_waiters;
	late->deadline = job->deadline;
	late->hops_left = job->hops_left;
	late->stripped = true;
	if (!send_after(p, late, job->hop_peer, job->hop_target))
		ht_job_free(p, late);
}
