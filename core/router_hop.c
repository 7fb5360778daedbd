/* Forwards between homes, Returned messages, and joining of duplicates. */
#include "core/path.h"

void ht_forward_fill(struct ht_forward_frame *f, const struct ht_stored_request *req)
{
	ht__peer_msg__init(&f->msg);
	ht__forward__init(&f->forward);
	ht__request_key__init(&f->key);
	f->msg.kind_case = HT__PEER_MSG__KIND_FORWARD;
	f->msg.forward = &f->forward;
	f->forward.key = &f->key;
	f->key.flow = req->flow;
	f->key.token.data = (uint8_t *)req->token;
	f->key.token.len = req->token_len;
	if (req->has_ticket) {
		ht_ticket_to_wire(&f->ticket, req->ticket);
		f->key.ticket = &f->ticket;
	}
	f->forward.service = req->service;
	f->forward.method = req->method;
	f->forward.path = req->path;
	f->forward.query = req->query;
	f->forward.payload.data = req->payload;
	f->forward.payload.len = req->payload_len;
	f->forward.content_format = req->content_format;
	f->forward.has_block = req->has_block;
	f->forward.block_num = req->block_num;
	f->forward.block_szx = req->block_szx;
	f->forward.flags = req->cancel ? HT__FORWARD_FLAG__FORWARD_CANCEL : 0;
}

/* A forward carries all waiters of its job, so that no duplicate is refused while another runs. */
static void fill_waiters(struct ht_forward_frame *f, const struct ht_job *job)
{
	size_t n = 0;

	f->forward.has_block = job->waiters[0].block != 0;
	f->forward.block_num = job->waiters[0].block >> 4;
	f->forward.block_szx = job->waiters[0].block >> 1 & 7;
	f->forward.ingress = job->waiters[0].ingress;
	f->forward.ingress_id = job->waiters[0].ingress_id;
	for (unsigned int i = 1; i < job->waiter_count && n < HT_MORE_INGRESS_MAX; i++, n++) {
		f->more_ingress[n] = job->waiters[i].ingress;
		f->more_ingress_id[n] = job->waiters[i].ingress_id;
		f->more_block[n] = job->waiters[i].block;
	}
	f->forward.more_ingress = f->more_ingress;
	f->forward.n_more_ingress = n;
	f->forward.more_ingress_id = f->more_ingress_id;
	f->forward.n_more_ingress_id = n;
	f->forward.more_block = f->more_block;
	f->forward.n_more_block = n;
}

static uint32_t wire_wait(double wait)
{
	return wait < UINT32_MAX ? (uint32_t)wait : UINT32_MAX;
}

static void fill_hop(struct ht_request_path *p, struct ht_forward_frame *f,
		     const struct ht_job *job, uint64_t target, uint32_t flags)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);

	ht_forward_fill(f, job->req);
	fill_waiters(f, job);
	f->forward.target = target;
	f->forward.config_version = cfg ? cfg->version : 0;
	f->forward.hops_left = job->hops_left - 1;
	f->forward.flags |= flags;
	if (job->uncertain)
		f->forward.flags |= HT__FORWARD_FLAG__FORWARD_UNCERTAIN;
	else if (job->min_verdict != HT_NOT_RUN)
		f->forward.flags |= HT__FORWARD_FLAG__FORWARD_RETRY;
	f->forward.hop_id = ht_hop_id(job);
	f->forward.deadline_ms = (uint32_t)(job->deadline - p->env->now);
}

bool ht_hop_send(struct ht_request_path *p, struct ht_job *job, uint64_t peer, uint64_t target,
		 uint32_t flags, double wait)
{
	struct ht_forward_frame f;

	fill_hop(p, &f, job, target, flags);
	f.forward.wait_ms = wire_wait(wait);
	if (flags & HT__FORWARD_FLAG__FORWARD_RETURN_IF_UNKNOWN)
		f.forward.known_sets = ht_place_known_sets(p, job->req->service) + 1;
	if (!p->env->send(p->env, peer, &f.msg))
		return false;
	ht_path_count(p, HT_C_forwards_sent);
	ht_path_event(p, REQUEST_FORWARDED, job->req, target, peer, "flags=%u hops_left=%u", flags,
		      f.forward.hops_left);
	job->state = HT_JOB_FORWARDED;
	job->hop_peer = peer;
	job->hop_target = target;
	job->hop_flags = flags;
	ht_list_del(&job->node);
	ht_list_add_tail(&p->forwarded, &job->node);
	ht_dedup_add(p, job);
	ht_timer_set(p->timers, &job->timer, job->deadline);
	return true;
}

static bool can_deduplicate(const struct ht_stored_request *req)
{
	return ht_stored_request_idempotent(req) && !req->cancel && req->token_len;
}

void ht_dedup_add(struct ht_request_path *p, struct ht_job *job)
{
	if (!can_deduplicate(job->req))
		return;
	job->dedup_key = ht_request_event_id(job->req);
	g_hash_table_replace(p->dedup, &job->dedup_key, job);
}

void ht_dedup_del(struct ht_request_path *p, struct ht_job *job)
{
	if (job->dedup_key && g_hash_table_lookup(p->dedup, &job->dedup_key) == job)
		g_hash_table_remove(p->dedup, &job->dedup_key);
	job->dedup_key = 0;
}

/* True when both come from one attempt: a forwarding loop, not a duplicate. */
static bool from_same_attempt(const struct ht_job *a, const struct ht_job *b)
{
	for (unsigned int i = 0; i < a->waiter_count; i++)
		if (a->waiters[i].ingress == b->waiters[0].ingress &&
		    a->waiters[i].ingress_id == b->waiters[0].ingress_id)
			return true;
	return false;
}

/*
 * A duplicate of a parked or forwarded request joins it. Placed separately, one of the two could be
 * refused as not run while the other one runs.
 */
bool ht_dedup_join(struct ht_request_path *p, struct ht_job *job)
{
	uint64_t key = ht_request_event_id(job->req);
	struct ht_job *open_job = g_hash_table_lookup(p->dedup, &key);
	struct ht_forward_frame f;

	if (!open_job || open_job == job || !can_deduplicate(job->req) ||
	    open_job->req->flow != job->req->flow || open_job->req->content != job->req->content ||
	    from_same_attempt(open_job, job))
		return false;
	if (open_job->waiter_count + job->waiter_count <= HT_MORE_INGRESS_MAX)
		ht_job_attach(open_job, job);
	if (open_job->state == HT_JOB_FORWARDED && job->hops_left) {
		fill_hop(p, &f, job, open_job->hop_target, HT__FORWARD_FLAG__FORWARD_FOLLOW);
		p->env->send(p->env, open_job->hop_peer, &f.msg);
	}
	ht_path_event(p, REQUEST_ATTACHED, job->req, open_job->hop_target, open_job->hop_peer,
		      "waiters=%u", open_job->waiter_count);
	ht_job_free(p, job);
	return true;
}

static void return_to_local_ingress(struct ht_request_path *p, uint64_t hop_id,
				    enum ht_return_reason reason)
{
	uint64_t key = hop_id >> 3;
	struct ht_pending *pend = g_hash_table_lookup(p->pending, &key);

	if (!pend || !(pend->outstanding & 1U << (hop_id & 7)))
		return;
	pend->outstanding &= ~(1U << (hop_id & 7));
	ht_ingress_returned(p, pend, reason);
}

static void send_returned(struct ht_request_path *p, const struct ht_job *job,
			  enum ht_return_reason reason, double wait, uint64_t target)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	Ht__Returned m = HT__RETURNED__INIT;
	Ht__RequestKey key = HT__REQUEST_KEY__INIT;

	key.flow = job->req->flow;
	m.key = &key;
	m.hop_id = job->hop_id;
	m.reason = reason;
	m.wait_ms = wire_wait(wait);
	m.config_version = cfg ? cfg->version : 0;
	m.target = target;
	msg.kind_case = HT__PEER_MSG__KIND_RETURNED;
	msg.returned = &m;
	p->env->send(p->env, job->sender, &msg);
}

void ht_hop_send_return(struct ht_request_path *p, struct ht_job *job, enum ht_return_reason reason,
			double wait)
{
	uint64_t sender = job->sender, hop_id = job->hop_id;

	if (job->no_sender) {
		ht_reply_unavailable(p, job, "no_home");
		ht_job_free(p, job);
		return;
	}
	ht_path_event(p, REQUEST_RETURNED, job->req, job->target, sender, "reason=%d wait=%u",
		      (int)reason, wire_wait(wait));
	if (sender != p->env->self)
		send_returned(p, job, reason, wait, 0);
	ht_job_free(p, job);
	if (sender == p->env->self)
		return_to_local_ingress(p, hop_id, reason);
}

void ht_hop_send_taken(struct ht_request_path *p, struct ht_job *job, uint64_t target)
{
	if (job->no_sender)
		return;
	job->tentative = false;
	if (job->sender != p->env->self && (job->hop_id & 7) == 7)
		send_returned(p, job, HT_RETURN_TAKEN, 0, target);
	job->no_sender = true;
	job->sender = p->env->self;
	job->flags &= ~(uint32_t)(HT__FORWARD_FLAG__FORWARD_RETURN_IF_UNKNOWN |
				  HT__FORWARD_FLAG__FORWARD_DEFLECTED);
}

/* Returns a look-up to a sender that is itself the home of the flow's target. */
void ht_hop_send_flow_target(struct ht_request_path *p, struct ht_job *job, uint64_t target)
{
	send_returned(p, job, HT_RETURN_UNKNOWN_FLOW, INFINITY, target);
	ht_job_free(p, job);
}

/* The forwarded job is kept until its deadline, in case the peer's process ends. */
void ht_hop_handle_taken(struct ht_request_path *p, struct ht_job *job, uint64_t target)
{
	bool evicted;

	if (job->flags & HT__FORWARD_FLAG__FORWARD_RETURN_IF_UNKNOWN)
		ht_hop_send_taken(p, job, target);
	job->hop_flags = HT__FORWARD_FLAG__FORWARD_MOVED;
	job->hop_target = target;
	if (!job->keep_flow)
		ht_flows_set(p->flows, job->req->flow, target, p->env->now, false, &evicted);
}

/* Deletes the flow's entry if it still names the target of the hop that failed. */
static void delete_hop_flow(struct ht_request_path *p, struct ht_job *job)
{
	if (ht_flows_use(p->flows, job->req->flow, p->env->now, NULL) == job->hop_target)
		ht_flows_del(p->flows, job->req->flow);
}

/* Marks the target of the hop as tried, so that placement skips it. */
static void mark_tried(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	struct ht_candidates cand;

	ht_placement_candidates(&cand, cfg ? ht_config_service(cfg, job->req->service) : NULL,
				job->req->flow);
	job->tried |= 1U << ht_candidates_index(&cand, job->hop_target);
}

void ht_hop_handle_return(struct ht_request_path *p, struct ht_job *job,
			  enum ht_return_reason reason, double wait)
{
	uint32_t flags = job->hop_flags;

	ht_timer_stop(&job->timer);
	ht_list_del(&job->node);
	ht_dedup_del(p, job);
	job->state = HT_JOB_NEW;
	ht_path_event(p, REQUEST_CAME_BACK, job->req, job->hop_target, job->hop_peer,
		      "reason=%d wait=%.0f", (int)reason, wait);
	if (job->req->cancel || job->req->has_ticket) {
		job->was_parked = true;
		ht_home_decide(p, job);
		return;
	}
	if (flags & HT__FORWARD_FLAG__FORWARD_RETURN_IF_UNKNOWN) {
		if (job->tentative)
			delete_hop_flow(p, job);
		job->tentative = false;
		ht_home_decide(p, job);
		return;
	}
	mark_tried(p, job);
	if (flags & HT__FORWARD_FLAG__FORWARD_DEFLECTED) {
		ht_path_count(p, HT_C_deflections_returned);
		job->deflection_returned = true;
		delete_hop_flow(p, job);
	} else if (reason == HT_RETURN_UNAVAILABLE || reason == HT_RETURN_NOT_SERVED) {
		delete_hop_flow(p, job);
	} else {
		/* The instances' views differ for a moment: only a POST request moves its flow. */
		job->keep_flow = ht_stored_request_idempotent(job->req);
	}
	ht_home_place(p, job);
}

/* Reports the loss to every ingress: only an ingress knows whether it has an answer already. */
static void report_lost(struct ht_request_path *p, struct ht_job *job)
{
	unsigned int local = 0;

	ht_path_event(p, REQUEST_CAME_BACK, job->req, job->hop_target, job->hop_peer, "reason=%d",
		      (int)HT_RETURN_LOST);
	ht_dedup_del(p, job);
	for (unsigned int i = 0; i < job->waiter_count; i++) {
		const struct ht_waiter to = job->waiters[i];

		job->sender = to.ingress;
		job->hop_id = to.ingress_id;
		if (to.ingress != p->env->self)
			send_returned(p, job, HT_RETURN_LOST, INFINITY, 0);
		else
			job->waiters[local++] = to;
	}
	/* Last, because the local ingress sends the request again from within the call. */
	for (unsigned int i = 0; i < local; i++)
		return_to_local_ingress(p, job->waiters[i].ingress_id, HT_RETURN_LOST);
	ht_job_free(p, job);
}

void ht_hop_peer_down(struct ht_request_path *p, uint64_t peer)
{
	struct ht_list lost, *pos, *tmp;

	ht_list_init(&lost);
	ht_list_for_each_safe (pos, tmp, &p->forwarded) {
		struct ht_job *job = ht_container_of(pos, struct ht_job, node);

		if (job->hop_peer != peer)
			continue;
		ht_list_del(&job->node);
		ht_list_add_tail(&lost, &job->node);
	}
	ht_list_for_each_safe (pos, tmp, &lost)
		report_lost(p, ht_container_of(pos, struct ht_job, node));
}
