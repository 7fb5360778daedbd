/* The home side: decides for each request where it is served. */
#include "core/path.h"

#include <stdlib.h>

static void job_due(void *ctx, struct ht_timer *timer)
{
	struct ht_request_path *p = ctx;
	struct ht_job *job = ht_container_of(timer, struct ht_job, timer);

	if (job->state == HT_JOB_HOP) {
		/* The answer went straight to the ingress, or it gives the verdict itself. */
		ht_flows_confirm(p->flows, job->body->flow, job->hop_target);
		ht_job_free(p, job);
		return;
	}
	if (job->state == HT_JOB_PARKED && p->env->now < job->deadline) {
		ht_list_del(&job->node);
		ht_open_del(p, job);
		job->state = HT_JOB_NEW;
		ht_home_decide(p, job);
		return;
	}
	ht_reply_unavailable(p, job, "deadline");
	ht_job_free(p, job);
}

struct ht_job *ht_job_new(struct ht_request_path *p, struct ht_body *body, uint64_t sender)
{
	struct ht_job *job = calloc(1, sizeof(*job));

	if (!job)
		return NULL;
	job->id = ht_path_id(p);
	job->body = ht_body_get(body);
	job->sender = sender;
	job->timer.fire = job_due;
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
		.block = ht_block_pack(job->body->has_block, job->body->block_num,
				       job->body->block_szx),
	};
	job->waiters = w;
	return true;
}

bool ht_job_attach(struct ht_job *job, const struct ht_job *repeat)
{
	if (!repeat->waiter_count)
		return false;
	for (unsigned int i = 0; i < repeat->waiter_count; i++) {
		const struct ht_waiter *w = &repeat->waiters[i];

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
	ht_open_del(p, job);
	if (job->entry)
		job->entry->job = NULL;
	g_hash_table_remove(p->jobs, &job->id);
	ht_body_put(job->body);
	g_free(job->waiters);
	free(job);
}

void ht_home_park(struct ht_request_path *p, struct ht_job *job)
{
	ht_ms due = p->env->now + p->env->params.claim_wait;

	job->waited = true;
	job->state = HT_JOB_PARKED;
	ht_list_add_tail(&p->parked, &job->node);
	ht_open_add(p, job);
	ht_path_event(p, REQUEST_PARKED, job->body, job->target, 0, "hops_left=%u", job->hops_left);
	ht_timer_set(p->timers, &job->timer, due < job->deadline ? due : job->deadline);
}

void ht_home_resume(struct ht_request_path *p, uint64_t target)
{
	struct ht_list ready, *pos, *tmp;

	ht_list_init(&ready);
	ht_list_for_each_safe (pos, tmp, &p->parked) {
		struct ht_job *job = ht_container_of(pos, struct ht_job, node);

		if (target && job->target != target)
			continue;
		ht_list_del(&job->node);
		ht_list_add_tail(&ready, &job->node);
	}
	while (!ht_list_empty(&ready)) {
		struct ht_job *job = ht_container_of(ready.next, struct ht_job, node);

		ht_list_del(&job->node);
		ht_open_del(p, job);
		ht_timer_stop(&job->timer);
		job->state = HT_JOB_NEW;
		ht_home_decide(p, job);
	}
}

/* The target is the home of another instance, in this view. */
static void misrouted(struct ht_request_path *p, struct ht_job *job, uint64_t home)
{
	if (!job->hops_left) {
		ht_place_hop_limit(p, job);
		return;
	}
	if (home && home != job->sender &&
	    ht_hop_send(p, job, home, job->target, job->flags, job->wait))
		return;
	if (home && !job->waited) {
		ht_home_park(p, job);
		return;
	}
	ht_hop_return(p, job, HT_RETURN_NOT_HOME, INFINITY);
}

/* A request of a flow that lives at @conf. */
static void known(struct ht_request_path *p, struct ht_job *job, const struct ht_row *row,
		  const struct ht_service_conf *svc, const struct ht_target_conf *conf)
{
	uint64_t home = ht_place_home(p, conf);
	uint32_t flag = HT__FORWARD_FLAG__FORWARD_MOVED;
	bool tentative;
	double wait;

	if (home != p->env->self) {
		ht_flows_use(p->flows, job->body->flow, p->env->now, &tentative);
		if (tentative) {
			flag = HT__FORWARD_FLAG__FORWARD_RETURN_IF_UNKNOWN;
			job->tentative = true;
		}
		if (home && job->hops_left && ht_hop_send(p, job, home, conf->id, flag, INFINITY))
			return;
		job->tried |= 1U << ht_row_index(row, conf->id);
		/* A posting moves its flow: its ticket must find the target for which it was
		 * issued. */
		job->one_off = ht_body_idempotent(job->body);
		ht_home_place(p, job);
		return;
	}
	job->target = conf->id;
	if (ht_place_park(p, job))
		return;
	wait = ht_place_wait(p, conf);
	if (wait == INFINITY) {
		/* Established flows move at a request boundary only. */
		ht_flows_del(p->flows, job->body->flow);
		ht_path_count(p, HT_C_flows_moved);
		ht_path_event(p, FLOW_MOVED, job->body, conf->id, 0, "why=unavailable");
		job->tried |= 1U << ht_row_index(row, conf->id);
		ht_home_place(p, job);
		return;
	}
	if (wait > 0 && svc->affinity == HT_AFFINITY_REQUEST && ht_body_idempotent(job->body)) {
		job->tried |= 1U << ht_row_index(row, conf->id);
		job->one_off = true;
		if (ht_place_deflect(p, job, row, wait, false))
			return;
	}
	ht_place_take(p, job, conf, true);
}

/* Deflected, moved and retried requests: the sender has decided, this home takes or returns. */
static void sent_here(struct ht_request_path *p, struct ht_job *job,
		      const struct ht_target_conf *conf)
{
	uint64_t home = ht_place_home(p, conf);
	bool moved = job->flags & HT__FORWARD_FLAG__FORWARD_MOVED;
	double wait;

	if (home != p->env->self) {
		misrouted(p, job, home);
		return;
	}
	if (ht_place_park(p, job))
		return;
	wait = ht_place_wait(p, conf);
	if (wait == INFINITY) {
		if (moved)
			ht_flows_del(p->flows, job->body->flow);
		ht_hop_return(p, job, HT_RETURN_UNAVAILABLE, wait);
	} else if (job->flags & HT__FORWARD_FLAG__FORWARD_DEFLECTED && wait >= job->wait) {
		ht_hop_return(p, job, HT_RETURN_LONGER_WAIT, wait);
	} else {
		bool record = moved || !(job->flags & HT__FORWARD_FLAG__FORWARD_RETRY);

		if (job->flags & HT__FORWARD_FLAG__FORWARD_DEFLECTED && record)
			ht_hop_taken(p, job, conf->id);
		ht_place_take(p, job, conf, record);
	}
}

/*
 * A look-up: serve the flow when it is known here, send it on, or say that it is not known. An
 * instance that has started lately lacks earlier target sets; those are asked on its behalf.
 */
static void looked_up(struct ht_request_path *p, struct ht_job *job,
		      const struct ht_service_conf *svc, const struct ht_row *row)
{
	uint64_t target = ht_flows_use(p->flows, job->body->flow, p->env->now, NULL);
	const struct ht_target_conf *conf = ht_service_target(svc, target);
	uint64_t home = conf ? ht_place_home(p, conf) : 0;

	if (conf && home && home == job->sender) {
		ht_hop_return_flow(p, job, target);
		return;
	}
	if (!conf || conf->draining || !home ||
	    (home == p->env->self && ht_place_wait(p, conf) == INFINITY)) {
		if (!target && job->known_sets && !job->chained) {
			job->chained = true;
			job->asked = job->known_sets - 1;
		}
		if (!job->chained || !ht_place_look_up(p, job, svc, row))
			ht_hop_return(p, job, HT_RETURN_UNKNOWN_FLOW, INFINITY);
		return;
	}
	ht_hop_taken(p, job, target);
	known(p, job, row, svc, conf);
}

/* Answers a repeat from the ledger, or attaches it to the open request; true when done. */
static bool repeated(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_entry *e = ht_ledger_find(p->ledger, job->body);

	if (!job->body->token_len)
		e = NULL;
	if ((!e || e->content != job->body->content) && job->body->block_num)
		e = ht_ledger_find_blocks(p->ledger, job->body);
	if (!e || e->content != job->body->content || p->env->now >= e->expires ||
	    (e->evicted && job->body->block_num))
		return false;
	if (e->job && !e->job->answered) {
		if (!ht_job_attach(e->job, job))
			return false;
		/* A retry may have run elsewhere: a refusal of both must not say "not run". */
		if (job->floor > e->job->floor)
			e->job->floor = job->floor;
		ht_path_event(p, REQUEST_ATTACHED, job->body, e->job->target, 0, "waiters=%u",
			      e->job->waiter_count);
		ht_job_free(p, job);
		return true;
	}
	if (e->state != HT_ENTRY_ANSWERED)
		return false;
	ht_path_count(p, HT_C_replays);
	ht_path_event(p, REQUEST_REPLAYED, job->body, e->target, 0, "verdict=%s",
		      ht_verdict_name(e->verdict));
	ht_reply_entry(p, job, e);
	ht_job_free(p, job);
	return true;
}

/* The sender's configuration is newer: its change may concern this request. True when parked. */
static bool behind(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);

	if (cfg && job->config_version <= cfg->version)
		return false;
	if (!job->waited) {
		ht_home_park(p, job);
		return true;
	}
	ht_reply_unavailable(p, job, "configuration_behind");
	ht_job_free(p, job);
	return true;
}

static void decide_unplaced(struct ht_request_path *p, struct ht_job *job,
			    const struct ht_service_conf *svc, const struct ht_row *row)
{
	uint64_t target = ht_flows_use(p->flows, job->body->flow, p->env->now, NULL);
	const struct ht_target_conf *conf = ht_service_target(svc, target);
	const struct ht_target_conf *own = ht_service_target(svc, job->target);
	uint64_t home;

	if (conf && !conf->draining) {
		known(p, job, row, svc, conf);
		return;
	}
	if (target) {
		ht_flows_del(p->flows, job->body->flow);
		ht_path_count(p, HT_C_flows_moved);
		ht_path_event(p, FLOW_MOVED, job->body, target, 0, "why=target_left");
		ht_home_place(p, job);
		return;
	}
	if (!own) {
		ht_path_count(p, HT_C_service_mismatch);
		ht_hop_return(p, job, HT_RETURN_NOT_SERVED, INFINITY);
		return;
	}
	home = ht_place_home(p, own);
	if (home != p->env->self && home) {
		misrouted(p, job, home);
		return;
	}
	if (home && ht_place_park(p, job))
		return;
	if (!ht_place_look_up(p, job, svc, row))
		ht_home_place(p, job);
}

/* The target's earlier home may have run a copy that this one does not know. */
static bool home_is_new(struct ht_request_path *p, const struct ht_job *job)
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
	struct ht_row row;

	if (ht_body_idempotent(job->body) && !job->body->cancel && job->floor == HT_NOT_RUN &&
	    (ht_path_uncertain(p) || home_is_new(p, job) || job->body->block_num)) {
		job->floor = HT_MAY_HAVE_RUN;
		job->uncertain = true;
	}
	if (behind(p, job))
		return;
	if (job->body->cancel) {
		ht_cancel_decide(p, job);
		return;
	}
	if (job->body->has_ticket) {
		ht_posting_decide(p, job);
		return;
	}
	if (!svc) {
		ht_path_count(p, HT_C_service_mismatch);
		ht_hop_return(p, job, HT_RETURN_NOT_SERVED, INFINITY);
		return;
	}
	if (ht_body_idempotent(job->body) && (repeated(p, job) || ht_open_join(p, job)))
		return;
	if (job->flags & HT__FORWARD_FLAG__FORWARD_FOLLOW) {
		/* The request has left again; its sender keeps this repeat with it. */
		ht_job_free(p, job);
		return;
	}
	ht_placement_row(&row, svc, job->body->flow);
	if (job->replaced) {
		ht_home_place(p, job);
	} else if (job->flags & HT__FORWARD_FLAG__FORWARD_RETURN_IF_UNKNOWN) {
		looked_up(p, job, svc, &row);
	} else if (job->flags & placed) {
		if (conf)
			sent_here(p, job, conf);
		else
			ht_hop_return(p, job, HT_RETURN_NOT_SERVED, INFINITY);
	} else {
		decide_unplaced(p, job, svc, &row);
	}
}
