/* Placement of a request at a target: candidates in order, look-ups, deflection. */
#include "core/path.h"

/* Number of earlier target sets that can be asked (config_if.previous_set). */
#define PREVIOUS_SETS 4

const struct ht_service_conf *ht_place_service(struct ht_request_path *p, const struct ht_job *job)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);

	return cfg ? ht_config_service(cfg, job->body->service) : NULL;
}

uint64_t ht_place_home(struct ht_request_path *p, const struct ht_target_conf *t)
{
	return p->membership->home(p->membership->ctx, t->id, t->dc);
}

/* Estimated wait at a target whose home is this instance; INFINITY when it takes no work. */
double ht_place_wait(struct ht_request_path *p, const struct ht_target_conf *conf)
{
	struct ht_target *t = g_hash_table_lookup(p->targets, &conf->id);
	uint32_t owned = p->ownership->slots(p->ownership->ctx, conf->id);

	if (!t || t->draining || conf->draining)
		return INFINITY;
	return ht_target_wait(t, ht_target_usable(t, owned, p->env->now));
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

/* Makes the job wait once for its claim or connection; true when it now waits. */
bool ht_place_park(struct ht_request_path *p, struct ht_job *job)
{
	const struct ht_target *t = g_hash_table_lookup(p->targets, &job->target);

	if (job->waited)
		return false;
	/* A target just taken over is not down: its flows wait for the connection. */
	if (p->ownership->slots(p->ownership->ctx, job->target) ? !t || !t->connecting
								: !claim_pending(p, job->target))
		return false;
	ht_home_park(p, job);
	return true;
}

static bool set_flow(struct ht_request_path *p, struct ht_job *job, uint64_t target)
{
	bool evicted;

	if (ht_flows_set(p->flows, job->body->flow, target, p->env->now, false, &evicted)) {
		if (evicted)
			ht_path_count(p, HT_C_flows_dropped);
		return true;
	}
	ht_path_event(p, FLOW_TABLE_FULL, job->body, target, 0, "flows=%zu",
		      ht_flows_count(p->flows));
	ht_reply_unavailable(p, job, "flow_table_full");
	ht_job_free(p, job);
	return false;
}

/* Takes the job at @conf, whose home is this instance, and records the flow there. */
void ht_place_take(struct ht_request_path *p, struct ht_job *job, const struct ht_target_conf *conf,
		   bool record)
{
	struct ht_target *t = g_hash_table_lookup(p->targets, &conf->id);

	job->target = conf->id;
	if (record) {
		if (!ht_flows_use(p->flows, job->body->flow, p->env->now, NULL))
			ht_path_count(p, HT_C_flows_opened);
		if (!set_flow(p, job, conf->id))
			return;
	}
	ht_path_event(p, REQUEST_ACCEPTED, job->body, conf->id, 0, "recorded=%d", record);
	ht_home_accept(p, job, t);
}

bool ht_home_can_queue(struct ht_request_path *p, const struct ht_job *job,
		       const struct ht_target_conf *conf)
{
	const struct ht_target *t = g_hash_table_lookup(p->targets, &conf->id);
	double wait = ht_place_wait(p, conf);

	if (ht_place_home(p, conf) != p->env->self || !t)
		return false;
	return wait == 0 || (wait + ht_target_need(t) <= (double)(job->deadline - p->env->now) &&
			     t->queued < p->env->params.queue_max);
}

void ht_home_accept(struct ht_request_path *p, struct ht_job *job, struct ht_target *t)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);

	if (!ht_body_idempotent(job->body) && !job->body->has_ticket) {
		/* No ticket for a posting that would be refused when it comes with it. */
		if (p->ledger_closed || !ht_home_can_queue(p, job, ht_config_target(cfg, t->id))) {
			ht_reply_unavailable(p, job, "no_room_for_posting");
			ht_job_free(p, job);
			return;
		}
		ht_posting_issue(p, job);
		return;
	}
	ht_serve_enqueue(p, job, t);
}

/*
 * Tries the row's candidates @from on that were not tried yet. True when the job has gone to one
 * of them; local ones are taken when their wait is below @wait.
 */
bool ht_place_deflect(struct ht_request_path *p, struct ht_job *job, const struct ht_row *row,
		      double wait, bool record)
{
	for (unsigned int i = 0; i < row->count; i++) {
		const struct ht_target_conf *conf = row->at[i];
		uint64_t home = ht_place_home(p, conf);

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
			ht_path_event(p, REQUEST_DEFLECTED, job->body, conf->id, home, "wait=%.0f",
				      wait);
			if (record)
				ht_flows_set(p->flows, job->body->flow, conf->id, p->env->now, true,
					     &evicted);
			return true;
		}
		/* One comparison is enough while waiting here is possible. */
		if (wait < INFINITY)
			return false;
	}
	return false;
}

void ht_place_hop_limit(struct ht_request_path *p, struct ht_job *job)
{
	ht_path_count(p, HT_C_hop_limit_reached);
	ht_path_event(p, HOP_LIMIT, job->body, job->target, job->sender, "tried=%u", job->tried);
	ht_reply_unavailable(p, job, "hop_limit");
	ht_job_free(p, job);
}

/* No candidate is left: wait here when that is possible, otherwise refuse at once. */
static void settle(struct ht_request_path *p, struct ht_job *job, const struct ht_target_conf *own,
		   double wait)
{
	if (own && wait < INFINITY) {
		ht_place_take(p, job, own, !job->one_off);
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
	struct ht_row row;

	ht_placement_row(&row, svc, job->body->flow);
	for (unsigned int i = 0; i < row.count && !own; i++) {
		if (ht_place_home(p, row.at[i]) != p->env->self)
			continue;
		if (row.at[i]->id == job->target)
			own = row.at[i];
	}
	if (own) {
		wait = ht_place_wait(p, own);
		job->tried |= 1U << ht_row_index(&row, own->id);
		if (wait == 0 || (job->compared && wait < INFINITY)) {
			ht_place_take(p, job, own, !job->one_off);
			return;
		}
	}
	if (ht_place_deflect(p, job, &row, wait, !job->one_off))
		return;
	settle(p, job, own, wait);
}

unsigned int ht_place_known_sets(struct ht_request_path *p, uint64_t service)
{
	unsigned int k = 0;

	while (k < PREVIOUS_SETS && p->config->previous_set(p->config->ctx, service, k))
		k++;
	return k;
}

/* Asks the next earlier home that may know the flow; true when the job has gone there. */
bool ht_place_look_up(struct ht_request_path *p, struct ht_job *job,
		      const struct ht_service_conf *svc, const struct ht_row *row)
{
	ht_ms taken = p->ownership->taken_over_at(p->ownership->ctx, job->target);
	bool recent = taken != HT_NEVER && p->env->now - taken < p->env->params.flow_idle;

	while (job->asked < (job->chained ? PREVIOUS_SETS : PREVIOUS_SETS + 2)) {
		unsigned int k = job->asked++;
		const struct ht_target_conf *at = NULL;
		const struct ht_service_conf *prev;
		struct ht_row old;
		uint64_t home = 0;

		if (k < PREVIOUS_SETS) {
			prev = p->config->previous_set(p->config->ctx, svc->id, k);
			ht_placement_row(&old, prev, job->body->flow);
			at = old.count ? old.at[0] : NULL;
			home = at ? ht_place_home(p, at) : 0;
		} else if (k == PREVIOUS_SETS && recent && p->ownership->former_owner) {
			at = row->at[0];
			home = p->ownership->former_owner(p->ownership->ctx, job->target);
		} else if (k == PREVIOUS_SETS + 1 && recent && row->count > 1) {
			at = row->at[1];
			home = ht_place_home(p, at);
		}
		if (!home || home == p->env->self || !job->hops_left ||
		    (job->chained && home == job->sender))
			continue;
		if (!ht_hop_send(p, job, home, at->id, HT__FORWARD_FLAG__FORWARD_RETURN_IF_UNKNOWN,
				 INFINITY))
			continue;
		ht_path_count(p, HT_C_lookups);
		ht_path_event(p, FLOW_LOOKUP, job->body, at->id, home, "step=%u", k);
		return true;
	}
	return false;
}
