/* Placement of a request at a target: candidates in order, look-ups of flows, deflection. */
#include "core/path.h"

/* Number of earlier target sets that config_if.previous_set keeps. */
#define PREVIOUS_SETS 4

const struct ht_service_conf *ht_place_service(struct ht_request_path *p, const struct ht_job *job)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);

	return cfg ? ht_config_service(cfg, job->req->service) : NULL;
}

uint64_t ht_place_home(struct ht_request_path *p, const struct ht_target_conf *t)
{
	return p->membership->home(p->membership->ctx, t->id, t->dc);
}

double ht_place_wait(struct ht_request_path *p, const struct ht_target_conf *conf)
{
	struct ht_target *t = g_hash_table_lookup(p->targets, &conf->id);
	uint32_t owned = p->ownership->slots(p->ownership->ctx, conf->id);

	if (!t || t->draining || conf->draining)
		return INFINITY;
	return ht_target_estimated_wait(t, ht_target_usable(t, owned, p->env->now));
}

/* True while a claim of the target may still be granted within claim_wait. */
static bool claim_pending(struct ht_request_path *p, uint64_t target)
{
	switch (p->ownership->state(p->ownership->ctx, target)) {
	case HT_OWNER_CLAIMING:
	case HT_OWNER_RELEASING:
		return true;
	case HT_OWNER_NONE:
		return p->membership->lease_valid(p->membership->ctx);
	default:
		return false;
	}
}

bool ht_place_park(struct ht_request_path *p, struct ht_job *job)
{
	const struct ht_target *t = g_hash_table_lookup(p->targets, &job->target);

	if (job->was_parked)
		return false;
	/* A target that was just taken over is still connecting, not down: wait for it. */
	if (p->ownership->slots(p->ownership->ctx, job->target) ? !t || !t->connecting
								: !claim_pending(p, job->target))
		return false;
	ht_home_park(p, job);
	return true;
}

static bool record_flow(struct ht_request_path *p, struct ht_job *job, uint64_t target)
{
	bool evicted;

	if (ht_flows_set(p->flows, job->req->flow, target, p->env->now, false, &evicted)) {
		if (evicted)
			ht_path_count(p, HT_C_flows_dropped);
		return true;
	}
	ht_path_event(p, FLOW_TABLE_FULL, job->req, target, 0, "flows=%zu",
		      ht_flows_count(p->flows));
	ht_reply_unavailable(p, job, "flow_table_full");
	ht_job_free(p, job);
	return false;
}

void ht_place_take(struct ht_request_path *p, struct ht_job *job, const struct ht_target_conf *conf,
		   bool record)
{
	struct ht_target *t = g_hash_table_lookup(p->targets, &conf->id);

	job->target = conf->id;
	if (record) {
		if (!ht_flows_use(p->flows, job->req->flow, p->env->now, NULL))
			ht_path_count(p, HT_C_flows_opened);
		if (!record_flow(p, job, conf->id))
			return;
	}
	ht_path_event(p, REQUEST_ACCEPTED, job->req, conf->id, 0, "recorded=%d", record);
	ht_home_accept(p, job, t);
}

bool ht_home_can_queue(struct ht_request_path *p, const struct ht_job *job,
		       const struct ht_target_conf *conf)
{
	const struct ht_target *t = g_hash_table_lookup(p->targets, &conf->id);
	double wait = ht_place_wait(p, conf);

	if (ht_place_home(p, conf) != p->env->self || !t)
		return false;
	return wait == 0 ||
	       (wait + ht_target_time_needed(t) <= (double)(job->deadline - p->env->now) &&
		t->queued < p->env->params.queue_max);
}

void ht_home_accept(struct ht_request_path *p, struct ht_job *job, struct ht_target *t)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);

	if (!ht_stored_request_idempotent(job->req) && !job->req->has_ticket) {
		/* Issue no ticket if the request would be refused when it comes with it. */
		if (p->ledger_closed || !ht_home_can_queue(p, job, ht_config_target(cfg, t->id))) {
			ht_reply_unavailable(p, job, "no_room_for_posting");
			ht_job_free(p, job);
			return;
		}
		ht_post_issue_ticket(p, job);
		return;
	}
	ht_serve_enqueue(p, job, t);
}

bool ht_place_deflect(struct ht_request_path *p, struct ht_job *job,
		      const struct ht_candidates *cand, double wait, bool record)
{
	for (unsigned int i = 0; i < cand->count; i++) {
		const struct ht_target_conf *conf = cand->target[i];
		uint64_t home = ht_place_home(p, conf);

		/* Substitutes are for requests that no candidate takes. */
		if (i >= HT_CANDIDATES_MAX && wait < INFINITY)
			return false;
		if (job->tried & 1U << i || conf->draining)
			continue;
		job->tried |= 1U << i;
		if (home == p->env->self) {
			if (ht_place_wait(p, conf) < wait) {
				ht_place_take(p, job, conf, record);
				return true;
			}
		} else if (home && job->hops_left &&
			   ht_hop_send(p, job, home, conf->id, HT__FORWARD_FLAG__FORWARD_DEFLECTED,
				       wait)) {
			bool evicted;

			ht_path_count(p, HT_C_deflections);
			ht_path_event(p, REQUEST_DEFLECTED, job->req, conf->id, home, "wait=%.0f",
				      wait);
			if (record)
				ht_flows_set(p->flows, job->req->flow, conf->id, p->env->now, true,
					     &evicted);
			return true;
		}
		/* While the job can wait here, ask one other candidate only. */
		if (wait < INFINITY)
			return false;
	}
	return false;
}

void ht_place_hop_limit(struct ht_request_path *p, struct ht_job *job)
{
	ht_path_count(p, HT_C_hop_limit_reached);
	ht_path_event(p, HOP_LIMIT, job->req, job->target, job->sender, "tried=%u", job->tried);
	ht_reply_unavailable(p, job, "hop_limit");
	ht_job_free(p, job);
}

/* No other candidate is left: queue at @own, the job's target here, or refuse the job. */
static void queue_or_refuse(struct ht_request_path *p, struct ht_job *job,
			    const struct ht_target_conf *own, double wait)
{
	if (own && wait < INFINITY) {
		ht_place_take(p, job, own, !job->keep_flow);
		return;
	}
	if (!job->hops_left) {
		ht_place_hop_limit(p, job);
		return;
	}
	ht_reply_unavailable(p, job, "no_candidate");
	ht_job_free(p, job);
}

void ht_home_place(struct ht_request_path *p, struct ht_job *job)
{
	const struct ht_service_conf *svc = ht_place_service(p, job);
	const struct ht_target_conf *own = NULL;
	double wait = INFINITY;
	struct ht_candidates cand;

	ht_placement_candidates(&cand, svc, job->req->flow);
	for (unsigned int i = 0; i < cand.count && !own; i++) {
		if (ht_place_home(p, cand.target[i]) != p->env->self)
			continue;
		if (cand.target[i]->id == job->target)
			own = cand.target[i];
	}
	if (own) {
		wait = ht_place_wait(p, own);
		job->tried |= 1U << ht_candidates_index(&cand, own->id);
		if (wait == 0 || (job->deflection_returned && wait < INFINITY)) {
			ht_place_take(p, job, own, !job->keep_flow);
			return;
		}
	}
	if (ht_place_deflect(p, job, &cand, wait, !job->keep_flow))
		return;
	queue_or_refuse(p, job, own, wait);
}

unsigned int ht_place_known_sets(struct ht_request_path *p, uint64_t service)
{
	unsigned int k = 0;

	while (k < PREVIOUS_SETS && p->config->previous_set(p->config->ctx, service, k))
		k++;
	return k;
}

/*
 * Asks, in this order: the homes of candidate 1 in the earlier target sets, the former owner of the
 * target, and the home of candidate 2; the last two only after a recent takeover.
 */
bool ht_place_look_up(struct ht_request_path *p, struct ht_job *job,
		      const struct ht_service_conf *svc, const struct ht_candidates *cand)
{
	ht_ms taken_over_at = p->ownership->taken_over_at(p->ownership->ctx, job->target);
	bool recent =
		taken_over_at != HT_NEVER && p->env->now - taken_over_at < p->env->params.flow_idle;

	while (job->lookups < (job->lookup_for_sender ? PREVIOUS_SETS : PREVIOUS_SETS + 2)) {
		unsigned int k = job->lookups++;
		const struct ht_target_conf *conf = NULL;
		const struct ht_service_conf *prev_svc;
		struct ht_candidates prev_cand;
		uint64_t home = 0;

		if (k < PREVIOUS_SETS) {
			prev_svc = p->config->previous_set(p->config->ctx, svc->id, k);
			ht_placement_candidates(&prev_cand, prev_svc, job->req->flow);
			conf = prev_cand.count ? prev_cand.target[0] : NULL;
			home = conf ? ht_place_home(p, conf) : 0;
		} else if (k == PREVIOUS_SETS && recent && p->ownership->former_owner) {
			conf = cand->target[0];
			home = p->ownership->former_owner(p->ownership->ctx, job->target);
		} else if (k == PREVIOUS_SETS + 1 && recent && cand->count > 1) {
			conf = cand->target[1];
			home = ht_place_home(p, conf);
		}
		if (!home || home == p->env->self || !job->hops_left ||
		    (job->lookup_for_sender && home == job->sender))
			continue;
		if (!ht_hop_send(p, job, home, conf->id,
				 HT__FORWARD_FLAG__FORWARD_RETURN_IF_UNKNOWN, INFINITY))
			continue;
		ht_path_count(p, HT_C_lookups);
		ht_path_event(p, FLOW_LOOKUP, job->req, conf->id, home, "step=%u", k);
		return true;
	}
	return false;
}
