/* Request path: creates its parts, publishes its interfaces and dispatches incoming messages. */
#include "core/path.h"

#include "base/hash.h"

#include <stdlib.h>

uint64_t ht_request_event_id(const struct ht_stored_request *req)
{
	if (req->has_ticket)
		return ht_hash(req->ticket, HT_TICKET_LEN);
	return ht_hash_pair(req->flow, ht_hash(req->token, req->token_len));
}

static void router_request(void *ctx, uint64_t handle, const struct ht_request *req)
{
	ht_ingress_request(ctx, handle, req);
}

static bool add_waiters(struct ht_job *job, const Ht__Forward *m)
{
	size_t n =
		m->n_more_ingress < m->n_more_ingress_id ? m->n_more_ingress : m->n_more_ingress_id;

	if (!ht_job_add_waiter(job, m->ingress, m->ingress_id))
		return false;
	for (size_t i = 0; i < n && i < HT_MORE_INGRESS_MAX; i++)
		if (ht_job_add_waiter(job, m->more_ingress[i], m->more_ingress_id[i]))
			job->waiters[job->waiter_count - 1].block =
				i < m->n_more_block ? m->more_block[i] : 0;
	return true;
}

static void router_forward(void *ctx, uint64_t peer, const Ht__Forward *m)
{
	struct ht_request_path *p = ctx;
	struct ht_stored_request *req = ht_stored_request_from_forward(m);
	struct ht_job *job = req ? ht_job_new(p, req, peer) : NULL;
	ht_ms time_left = m->deadline_ms > INT32_MAX ? INT32_MAX : (ht_ms)m->deadline_ms;

	p->config->seen(p->config->ctx, peer, m->config_version);
	ht_stored_request_put(req);
	if (!job || !add_waiters(job, m)) {
		if (job)
			ht_job_free(p, job);
		return;
	}
	job->deadline =
		p->env->now + (time_left > HT_HOP_ALLOWANCE ? time_left - HT_HOP_ALLOWANCE : 1);
	job->target = m->target;
	job->hop_id = m->hop_id;
	job->flags = m->flags;
	job->hops_left = m->hops_left < HT_HOP_LIMIT ? m->hops_left : HT_HOP_LIMIT - 1;
	job->config_version = m->config_version;
	job->known_sets = m->known_sets < 8 ? m->known_sets : 0;
	job->sender_wait = m->wait_ms == UINT32_MAX ? INFINITY : m->wait_ms;
	if (m->flags & HT__FORWARD_FLAG__FORWARD_RETRY)
		job->min_verdict = HT_MAY_HAVE_RUN;
	if (m->flags & HT__FORWARD_FLAG__FORWARD_UNCERTAIN) {
		job->min_verdict = HT_MAY_HAVE_RUN;
		job->uncertain = true;
	}
	ht_home_decide(p, job);
}

static void router_answer(void *ctx, uint64_t peer, const Ht__Answer *m)
{
	struct ht_answer a = {
		.code = (uint8_t)m->code,
		.verdict = m->verdict <= HT_RAN ? (enum ht_verdict)m->verdict : HT_MAY_HAVE_RUN,
		.retry_after = m->retry_after_ms,
		.payload = m->payload.data,
		.payload_len = m->payload.len,
		.content_format = m->content_format,
		.has_ticket = m->next_ticket != NULL,
		.has_block = m->has_block,
		.block_num = m->block_num,
		.block_szx = (uint8_t)m->block_szx,
		.block_more = m->block_more,
	};

	(void)peer;
	if (m->next_ticket)
		ht_ticket_from_wire(a.ticket, m->next_ticket);
	if (m->etag.len == sizeof(a.etag)) {
		a.etag_len = sizeof(a.etag);
		for (size_t i = 0; i < sizeof(a.etag); i++)
			a.etag[i] = m->etag.data[i];
	}
	ht_ingress_answer(ctx, m->ingress_id, &a);
}

static void router_returned(void *ctx, uint64_t peer, const Ht__Returned *m)
{
	struct ht_request_path *p = ctx;
	uint64_t id = m->hop_id >> 3;
	struct ht_job *job;
	struct ht_pending *pend;
	bool evicted;

	p->config->seen(p->config->ctx, peer, m->config_version);
	if ((m->hop_id & 7) == 7) {
		job = g_hash_table_lookup(p->jobs, &id);
		if (!job || job->state != HT_JOB_FORWARDED || job->hop_peer != peer)
			return;
		if (m->reason == HT_RETURN_TAKEN) {
			ht_hop_handle_taken(p, job, m->target);
			return;
		}
		if (m->reason == HT_RETURN_UNKNOWN_FLOW && m->target)
			ht_flows_set(p->flows, job->req->flow, m->target, p->env->now, false,
				     &evicted);
		ht_hop_handle_return(p, job, (enum ht_return_reason)m->reason,
				     m->wait_ms == UINT32_MAX ? INFINITY : m->wait_ms);
		return;
	}
	pend = g_hash_table_lookup(p->pending, &id);
	if (!pend || !(pend->outstanding & 1U << (m->hop_id & 7)))
		return;
	pend->outstanding &= ~(1U << (m->hop_id & 7));
	ht_ingress_returned(p, pend, (enum ht_return_reason)m->reason);
}

static void router_target_answer(void *ctx, const struct ht_target_answer *ans)
{
	ht_serve_result(ctx, ans);
}

static void router_target_state(void *ctx, uint64_t target, enum ht_target_state state)
{
	ht_serve_target_state(ctx, target, state);
}

static void router_peer_down(void *ctx, uint64_t peer, enum ht_peer_down_reason reason)
{
	ht_path_set_uncertain(ctx);
	ht_handover_peer_down(ctx, peer);
	if (reason == HT_PEER_GONE)
		ht_hop_peer_down(ctx, peer);
	ht_ingress_peer_down(ctx, peer, reason);
}

static uint32_t router_pending(void *ctx)
{
	const struct ht_request_path *p = ctx;

	return g_hash_table_size(p->pending);
}

static size_t router_flows(void *ctx)
{
	const struct ht_request_path *p = ctx;

	return ht_flows_count(p->flows);
}

static uint32_t targets_in_flight(void *ctx, uint64_t target)
{
	const struct ht_request_path *p = ctx;
	const struct ht_target *t = g_hash_table_lookup(p->targets, &target);

	return t ? t->in_flight : 0;
}

static uint32_t targets_queued(void *ctx, uint64_t target)
{
	const struct ht_request_path *p = ctx;
	const struct ht_target *t = g_hash_table_lookup(p->targets, &target);

	return t ? t->queued : 0;
}

static void targets_owner_changed(void *ctx, uint64_t target)
{
	struct ht_request_path *p = ctx;
	enum ht_owner_state state = p->ownership->state(p->ownership->ctx, target);

	if (state == HT_OWNER_CLAIMING || state == HT_OWNER_HOLDING)
		ht_path_set_uncertain(p);
	ht_serve_owner_changed(p, target);
}

static void targets_config_changed(void *ctx)
{
	ht_serve_config_changed(ctx);
}

static uint32_t targets_open_requests(void *ctx)
{
	const struct ht_request_path *p = ctx;
	GHashTableIter it;
	void *value;
	uint32_t count = 0;

	g_hash_table_iter_init(&it, p->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct ht_target *t = value;

		count += t->queued + t->in_flight;
	}
	return count;
}

static void path_tick(void *ctx)
{
	struct ht_request_path *p = ctx;

	ht_timers_run(p->timers, p->env->now);
	ht_flows_expire(p->flows, p->env->now);
	ht_ledger_expire(p->ledger, p->env->now);
	ht_handover_expire(p);
	ht_handover_finish(p);
}

static void request_wakeup(void *ctx, ht_ms due)
{
	struct ht_request_path *p = ctx;

	p->env->wake_at(p->env, due);
}

static void publish(struct ht_request_path *p)
{
	p->router_if = (struct ht_router_if){
		.ctx = p,
		.request = router_request,
		.forward = router_forward,
		.answer = router_answer,
		.returned = router_returned,
		.target_answer = router_target_answer,
		.target_state = router_target_state,
		.peer_down = router_peer_down,
		.pending = router_pending,
		.flows = router_flows,
	};
	p->targets_if = (struct ht_targets_if){
		.ctx = p,
		.in_flight = targets_in_flight,
		.queued = targets_queued,
		.owner_changed = targets_owner_changed,
		.config_changed = targets_config_changed,
		.open_requests = targets_open_requests,
	};
	p->tick_if = (struct ht_tick_if){.ctx = p, .tick = path_tick};
	ht_registry_add(p->env->registry, "router", &p->router_if);
	ht_registry_add(p->env->registry, "targets", &p->targets_if);
	ht_registry_add(p->env->registry, "request_path.tick", &p->tick_if);
	ht_handover_publish(p);
}

struct ht_request_path *ht_request_path_new(struct ht_env *env)
{
	const struct ht_core_params *params = &env->params;
	struct ht_request_path *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->env = env;
	p->config = ht_registry_find(env->registry, "config");
	p->membership = ht_registry_find(env->registry, "membership");
	p->ownership = ht_registry_find(env->registry, "ownership");
	p->timers = ht_timers_new(p, request_wakeup);
	p->flows = ht_flows_new(params->flow_table_max, params->flow_idle);
	p->ledger = ht_ledger_new(params->answer_cache_bytes);
	p->home_retry_budget = ht_retry_budget_new(params->retry_ratio, params->retry_burst);
	p->ingress_retry_budget = ht_retry_budget_new(params->retry_ratio, params->retry_burst);
	p->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	p->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->dedup = g_hash_table_new(g_int64_hash, g_int64_equal);
	ht_list_init(&p->parked);
	ht_list_init(&p->forwarded);
	ht_handover_init(p);
	if (!p->timers || !p->flows || !p->ledger || !p->home_retry_budget ||
	    !p->ingress_retry_budget) {
		ht_request_path_free(p);
		return NULL;
	}
	publish(p);
	return p;
}

static void free_all(struct ht_request_path *p)
{
	GHashTableIter it;
	void *value;

	for (g_hash_table_iter_init(&it, p->jobs); g_hash_table_iter_next(&it, NULL, &value);
	     g_hash_table_iter_init(&it, p->jobs))
		ht_job_free(p, value);
	for (g_hash_table_iter_init(&it, p->pending); g_hash_table_iter_next(&it, NULL, &value);
	     g_hash_table_iter_init(&it, p->pending))
		ht_pending_free(p, value);
}

void ht_request_path_free(struct ht_request_path *p)
{
	if (!p)
		return;
	free_all(p);
	ht_handover_free(p);
	g_hash_table_destroy(p->jobs);
	g_hash_table_destroy(p->dedup);
	g_hash_table_destroy(p->pending);
	g_hash_table_destroy(p->targets);
	ht_retry_budget_free(p->ingress_retry_budget);
	ht_retry_budget_free(p->home_retry_budget);
	ht_ledger_free(p->ledger);
	ht_flows_free(p->flows);
	ht_timers_free(p->timers);
	free(p);
}
