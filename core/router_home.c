/*
 * The home side: an instance is the home of the targets that it owns. Decides for each request
 * whether it is served here, forwarded, parked, returned or refused.
 */
#include "core/path.h"

#include <stdlib.h>

static void on_job_timer(void *ctx, struct ht_timer *timer)
{
	struct ht_request_path *p = ctx;
	struct ht_job *job = ht_container_of(timer, struct ht_job, timer);

	if (job->state == HT_JOB_FORWARDED) {
		/* The home that took the request answers the ingress directly; without an answer
		 * the ingress replies itself at its deadline. */
		ht_flows_confirm(p->flows, job->req->flow, job->hop_target);
		ht_job_free(p, job);
		return;
	}
	if (job->state == HT_JOB_PARKED && p->env->now < job->deadline) {
		ht_list_del(&job->node);
		ht_dedup_del(p, job);
		job->state = HT_JOB_NEW;
		ht_home_decide(p, job);
		return;
	}
	ht_reply_unavailable(p, job, "deadline");
	ht_job_free(p, job);
}

struct ht_job *ht_job_new(struct ht_request_path *p, struct ht_stored_request *req, uint64_t sender)
{
	struct ht_job *job = calloc(1, sizeof(*job));

	if (!job)
		return NULL;
	job->id = ht_path_id(p);
	job->req = ht_stored_request_get(req);
	job->sender = sender;
	job->timer.fire = on_job_timer;
	ht_list_init(&job->node);
	g_hash_table_insert(p->jobs, &job->id, job);
	return job;
}

bool ht_job_add_waiter(struct ht_job *job, uint64_t ingress, uint64_t ingress_id)
{
	struct ht_waiter *w = g_try_realloc(job->waiters, (job->waiter_count + 1) * sizeof(*w));

	if (!w)
		return false;
	w[job->waiter_count++] = (struct ht_waiter){
		.ingress = ingress,
		.ingress_id = ingress_id,
		.block = ht_block_pack(job->req->has_block, job->req->block_num,
				       job->req->block_szx),
	};
	job->waiters = w;
	return true;
}

bool ht_job_attach(struct ht_job *job, const struct ht_job *dup)
{
	if (!dup->waiter_count)
		return false;
	for (unsigned int i = 0; i < dup->waiter_count; i++) {
		const struct ht_waiter *w = &dup->waiters[i];

		if (!ht_job_add_waiter(job, w->ingress, w->ingress_id))
			return false;
		job->waiters[job->waiter_count - 1].block = w->block;
	}
	return true;
}

void ht_job_free(struct ht_request_path *p, struct ht_job *job)
{
	ht_timer_stop(&job->timer);
	ht_list_del(&job->node);
	ht_dedup_del(p, job);
	if (job->entry)
		job->entry->job = NULL;
	g_hash_table_remove(p->jobs, &job->id);
	ht_stored_request_put(job->req);
	g_free(job->waiters);
	free(job);
}

void ht_home_park(struct ht_request_path *p, struct ht_job *job)
{
	ht_ms due = p->env->now + p->env->params.claim_wait;

	job->was_parked = true;
	job->state = HT_JOB_PARKED;
	ht_list_add_tail(&p->parked, &job->node);
	ht_dedup_add(p, job);
	ht_path_event(p, REQUEST_PARKED, job->req, job->target, 0, "hops_left=%u", job->hops_left);
	ht_timer_set(p->timers, &job->timer, due < job->deadline ? due : job->deadline);
}

void ht_home_resume(struct ht_request_path *p, uint64_t target)
{
	struct ht_list resumed, *pos, *tmp;

	ht_list_init(&resumed);
	ht_list_for_each_safe (pos, tmp, &p->parked) {
		struct ht_job *job = ht_container_of(pos, struct ht_job, node);

		if (target && job->target != target)
			continue;
		ht_list_del(&job->node);
		ht_list_add_tail(&resumed, &job->node);
	}
	while (!ht_list_empty(&resumed)) {
		struct ht_job *job = ht_container_of(resumed.next, struct ht_job, node);

		ht_list_del(&job->node);
		ht_dedup_del(p, job);
		ht_timer_stop(&job->timer);
		job->state = HT_JOB_NEW;
		ht_home_decide(p, job);
	}
}

/* In the view of this instance, another instance (@home) is the home of the job's target. */
static void forward_to_home(struct ht_request_path *p, struct ht_job *job, uint64_t home)
{
	if (!job->hops_left) {
		ht_place_hop_limit(p, job);
		return;
	}
	if (home && home != job->sender &&
	    ht_hop_send(p, job, home, job->target, job->flags, job->sender_wait))
		return;
	if (home && !job->was_parked) {
		ht_home_park(p, job);
		return;
	}
	ht_hop_send_return(p, job, HT_RETURN_NOT_HOME, INFINITY);
}

/* Decides on a request whose flow is assigned to the target @conf. */
static void decide_assigned_flow(struct ht_request_path *p, struct ht_job *job,
				 const struct ht_candidates *cand,
				 const struct ht_service_conf *svc,
				 const struct ht_target_conf *conf)
{
	uint64_t home = ht_place_home(p, conf);
	uint32_t flag = HT__FORWARD_FLAG__FORWARD_MOVED;
	bool tentative;
	double wait;

	if (home != p->env->self) {
		ht_flows_use(p->flows, job->req->flow, p->env->now, &tentative);
		if (tentative) {
			flag = HT__FORWARD_FLAG__FORWARD_RETURN_IF_UNKNOWN;
			job->tentative = true;
		}
		if (home && job->hops_left && ht_hop_send(p, job, home, conf->id, flag, INFINITY))
			return;
		job->tried |= 1U << ht_candidates_index(cand, conf->id);
		/* A POST request moves its flow, so that the repeat with the ticket reaches the
		 * target for which the ticket was issued. */
		job->keep_flow = ht_stored_request_idempotent(job->req);
		ht_home_place(p, job);
		return;
	}
	job->target = conf->id;
	if (ht_place_park(p, job))
		return;
	wait = ht_place_wait(p, conf);
	if (wait == INFINITY) {
		/* The target takes no work, so the flow moves, which happens between requests
		 * only. */
		ht_flows_del(p->flows, job->req->flow);
		ht_path_count(p, HT_C_flows_moved);
		ht_path_event(p, FLOW_MOVED, job->req, conf->id, 0, "why=unavailable");
		job->tried |= 1U << ht_candidates_index(cand, conf->id);
		ht_home_place(p, job);
		return;
	}
	if (wait > 0 && svc->affinity == HT_AFFINITY_REQUEST &&
	    ht_stored_request_idempotent(job->req)) {
		job->tried |= 1U << ht_candidates_index(cand, conf->id);
		job->keep_flow = true;
		if (ht_place_deflect(p, job, cand, wait, false))
			return;
	}
	ht_place_take(p, job, conf, true);
}

/* Deflected, moved and retried requests: the sender chose the target; accept or return. */
static void decide_placed(struct ht_request_path *p, struct ht_job *job,
			  const struct ht_target_conf *conf)
{
	uint64_t home = ht_place_home(p, conf);
	bool moved = job->flags & HT__FORWARD_FLAG__FORWARD_MOVED;
	double wait;

	if (home != p->env->self) {
		forward_to_home(p, job, home);
		return;
	}
	if (ht_place_park(p, job))
		return;
	wait = ht_place_wait(p, conf);
	if (wait == INFINITY) {
		if (moved)
			ht_flows_del(p->flows, job->req->flow);
		ht_hop_send_return(p, job, HT_RETURN_UNAVAILABLE, wait);
	} else if (job->flags & HT__FORWARD_FLAG__FORWARD_DEFLECTED && wait >= job->sender_wait) {
		ht_hop_send_return(p, job, HT_RETURN_LONGER_WAIT, wait);
	} else {
		bool record = moved || !(job->flags & HT__FORWARD_FLAG__FORWARD_RETRY);

		if (job->flags & HT__FORWARD_FLAG__FORWARD_DEFLECTED && record)
			ht_hop_send_taken(p, job, conf->id);
		ht_place_take(p, job, conf, record);
	}
}

/*
 * A look-up: serves the request when its flow is in the table here, forwards it to the flow's home,
 * or returns "unknown flow". A recently started sender lacks the earlier target sets; their homes
 * are asked on its behalf.
 */
static void decide_lookup(struct ht_request_path *p, struct ht_job *job,
			  const struct ht_service_conf *svc, const struct ht_candidates *cand)
{
	uint64_t target = ht_flows_use(p->flows, job->req->flow, p->env->now, NULL);
	const struct ht_target_conf *conf = ht_service_target(svc, target);
	uint64_t home = conf ? ht_place_home(p, conf) : 0;

	if (conf && home && home == job->sender) {
		ht_hop_send_flow_target(p, job, target);
		return;
	}
	if (!conf || conf->draining || !home ||
	    (home == p->env->self && ht_place_wait(p, conf) == INFINITY)) {
		if (!target && job->known_sets && !job->lookup_for_sender) {
			job->lookup_for_sender = true;
			job->lookups = job->known_sets - 1;
		}
		if (!job->lookup_for_sender || !ht_place_look_up(p, job, svc, cand))
			ht_hop_send_return(p, job, HT_RETURN_UNKNOWN_FLOW, INFINITY);
		return;
	}
	ht_hop_send_taken(p, job, target);
	decide_assigned_flow(p, job, cand, svc, conf);
}

/*
 * Answers a duplicate from the ledger, or attaches it to the job of the open request. Returns true
 * when it did; @job is then freed.
 */
static bool answer_duplicate(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_entry *e = ht_ledger_find(p->ledger, job->req);

	if (!job->req->token_len)
		e = NULL;
	if ((!e || e->content != job->req->content) && job->req->block_num)
		e = ht_ledger_find_blocks(p->ledger, job->req);
	if (!e || e->content != job->req->content || p->env->now >= e->expires ||
	    (e->evicted && job->req->block_num))
		return false;
	if (e->job && !e->job->answered) {
		if (!ht_job_attach(e->job, job))
			return false;
		/* A retry may have run elsewhere, so a refusal of the joined job must not say
		 * "not run". */
		if (job->min_verdict > e->job->min_verdict)
			e->job->min_verdict = job->min_verdict;
		ht_path_event(p, REQUEST_ATTACHED, job->req, e->job->target, 0, "waiters=%u",
			      e->job->waiter_count);
		ht_job_free(p, job);
		return true;
	}
	if (e->state != HT_ENTRY_ANSWERED)
		return false;
	ht_path_count(p, HT_C_replays);
	ht_path_event(p, REQUEST_REPLAYED, job->req, e->target, 0, "verdict=%s",
		      ht_verdict_name(e->verdict));
	ht_reply_entry(p, job, e);
	ht_job_free(p, job);
	return true;
}

/*
 * Parks the job, once, while the sender's configuration is newer: the change may concern this
 * request. Refuses it the second time. Returns false when the configuration here is recent enough.
 */
static bool wait_for_config(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);

	if (cfg && job->config_version <= cfg->version)
		return false;
	if (!job->was_parked) {
		ht_home_park(p, job);
		return true;
	}
	ht_reply_unavailable(p, job, "configuration_behind");
	ht_job_free(p, job);
	return true;
}

static void decide_unplaced(struct ht_request_path *p, struct ht_job *job,
			    const struct ht_service_conf *svc, const struct ht_candidates *cand)
{
	uint64_t target = ht_flows_use(p->flows, job->req->flow, p->env->now, NULL);
	const struct ht_target_conf *conf = ht_service_target(svc, target);
	const struct ht_target_conf *own = ht_service_target(svc, job->target);
	uint64_t home;

	if (conf && !conf->draining) {
		decide_assigned_flow(p, job, cand, svc, conf);
		return;
	}
	if (target) {
		ht_flows_del(p->flows, job->req->flow);
		ht_path_count(p, HT_C_flows_moved);
		ht_path_event(p, FLOW_MOVED, job->req, target, 0, "why=target_left");
		ht_home_place(p, job);
		return;
	}
	if (!own) {
		ht_path_count(p, HT_C_service_mismatch);
		ht_hop_send_return(p, job, HT_RETURN_NOT_SERVED, INFINITY);
		return;
	}
	home = ht_place_home(p, own);
	if (home != p->env->self && home) {
		forward_to_home(p, job, home);
		return;
	}
	if (home && ht_place_park(p, job))
		return;
	if (!ht_place_look_up(p, job, svc, cand))
		ht_home_place(p, job);
}

/* True while the target's previous home may have run a copy that is not in the ledger here. */
static bool taken_over_recently(struct ht_request_path *p, const struct ht_job *job)
{
	ht_ms since = p->ownership->taken_over_at(p->ownership->ctx, job->target);

	return p->ownership->state(p->ownership->ctx, job->target) == HT_OWNER_CLAIMING ||
	       (since != HT_NEVER && p->env->now - since < HT_UNCERTAIN_PERIOD);
}

void ht_home_decide(struct ht_request_path *p, struct ht_job *job)
{
	const struct ht_service_conf *svc = ht_place_service(p, job);
	const struct ht_target_conf *conf = ht_service_target(svc, job->target);
	const uint32_t placed = HT__FORWARD_FLAG__FORWARD_DEFLECTED |
				HT__FORWARD_FLAG__FORWARD_MOVED | HT__FORWARD_FLAG__FORWARD_RETRY;
	struct ht_candidates cand;

	if (ht_stored_request_idempotent(job->req) && !job->req->cancel &&
	    job->min_verdict == HT_NOT_RUN &&
	    (ht_path_uncertain(p) || taken_over_recently(p, job) || job->req->block_num)) {
		job->min_verdict = HT_MAY_HAVE_RUN;
		job->uncertain = true;
	}
	if (wait_for_config(p, job))
		return;
	if (job->req->cancel) {
		ht_cancel_decide(p, job);
		return;
	}
	if (job->req->has_ticket) {
		ht_post_decide(p, job);
		return;
	}
	if (!svc) {
		ht_path_count(p, HT_C_service_mismatch);
		ht_hop_send_return(p, job, HT_RETURN_NOT_SERVED, INFINITY);
		return;
	}
	if (ht_stored_request_idempotent(job->req) &&
	    (answer_duplicate(p, job) || ht_dedup_join(p, job)))
		return;
	if (job->flags & HT__FORWARD_FLAG__FORWARD_FOLLOW) {
		/* The request that this duplicate follows is no longer here; the sender keeps the
		 * duplicate's waiters with its own copy of the job. */
		ht_job_free(p, job);
		return;
	}
	ht_placement_candidates(&cand, svc, job->req->flow);
	if (job->relocated) {
		ht_home_place(p, job);
	} else if (job->flags & HT__FORWARD_FLAG__FORWARD_RETURN_IF_UNKNOWN) {
		decide_lookup(p, job, svc, &cand);
	} else if (job->flags & placed) {
		if (conf)
			decide_placed(p, job, conf);
		else
			ht_hop_send_return(p, job, HT_RETURN_NOT_SERVED, INFINITY);
	} else {
		decide_unplaced(p, job, svc, &cand);
	}
}
