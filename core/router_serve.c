/* Queues, slots and connections of the targets of which this instance is the home. */
#include "core/path.h"

/* Added to target_deadline, in ms, for freeing a slot whose result was never reported. */
#define RESULT_MARGIN 1000

static void on_serve_timer(void *ctx, struct ht_timer *timer);

static struct ht_target *get_target(struct ht_request_path *p, uint64_t id)
{
	struct ht_target *t = g_hash_table_lookup(p->targets, &id);

	if (t)
		return t;
	t = ht_target_new(id);
	if (t)
		g_hash_table_insert(p->targets, &t->id, t);
	return t;
}

static uint32_t usable_slots(struct ht_request_path *p, const struct ht_target *t)
{
	return ht_target_usable(t, p->ownership->slots(p->ownership->ctx, t->id), p->env->now);
}

const struct ht_target_conf *ht_path_target_conf(struct ht_request_path *p, uint64_t target)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);

	return cfg ? ht_config_target(cfg, target) : NULL;
}

/* Keeps the refusal until its retry_after has passed, so that a delayed duplicate is not run. */
void ht_serve_refuse(struct ht_request_path *p, struct ht_job *job, uint8_t code, ht_ms retry_after,
		     const char *why)
{
	struct ht_entry *e = job->entry;
	struct ht_answer a = {.code = code, .retry_after = retry_after};

	if (a.retry_after < HT_RETRY_AFTER_MIN)
		a.retry_after = HT_RETRY_AFTER_MIN;
	if (job->req->has_ticket && e) {
		ht_ledger_change(p->ledger, e, HT_ENTRY_SEALED, p->env->now);
		ht_handover_update(p, e);
	} else {
		if (!e)
			e = ht_ledger_add(p->ledger, job->req, HT_ENTRY_OPEN, p->env->now);
		if (e && job->min_verdict == HT_NOT_RUN) {
			ht_ledger_store_answer(p->ledger, e, &a, p->env->now);
			e->expires = p->env->now + a.retry_after;
		}
	}
	ht_reply_refusal(p, job, code, HT_NOT_RUN, a.retry_after, why);
}

static void detach_entry(struct ht_job *job)
{
	if (job->entry)
		job->entry->job = NULL;
	job->entry = NULL;
}

void ht_serve_drop_entry(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_entry *e = job->entry;

	detach_entry(job);
	if (e && !e->posting)
		ht_ledger_remove(p->ledger, e);
}

void ht_serve_enqueue(struct ht_request_path *p, struct ht_job *job, struct ht_target *t)
{
	double wait = ht_target_estimated_wait(t, usable_slots(p, t));
	ht_ms time_left = job->deadline - p->env->now;

	job->target = t->id;
	if (!job->entry) {
		job->entry = ht_ledger_add(p->ledger, job->req, HT_ENTRY_OPEN, p->env->now);
		if (!job->entry) {
			ht_reply_unavailable(p, job, "ledger_full");
			ht_job_free(p, job);
			return;
		}
		job->entry->job = job;
		job->entry->target = t->id;
	}
	if (wait > 0 && (wait + ht_target_time_needed(t) > (double)time_left || time_left <= 0)) {
		ht_serve_refuse(p, job, HT_SERVICE_UNAVAILABLE, (ht_ms)(wait + t->service_time),
				"deadline_cannot_be_met");
		ht_job_free(p, job);
		return;
	}
	if (wait > 0 && t->queued >= p->env->params.queue_max) {
		ht_serve_refuse(p, job, HT_TOO_MANY_REQUESTS, (ht_ms)wait, "queue_full");
		ht_job_free(p, job);
		return;
	}
	job->state = HT_JOB_QUEUED;
	job->timer.fire = on_serve_timer;
	ht_list_del(&job->node);
	ht_list_add_tail(&t->queue, &job->node);
	t->queued++;
	ht_timer_set(p->timers, &job->timer, job->deadline);
	if (wait > 0)
		ht_path_event(p, REQUEST_QUEUED, job->req, t->id, 0, "wait=%.0f queued=%u", wait,
			      t->queued);
	ht_serve_run(p, t);
}

static void dequeue(struct ht_target *t, struct ht_job *job)
{
	ht_list_del(&job->node);
	t->queued--;
}

static void send_job(struct ht_request_path *p, struct ht_target *t, struct ht_job *job,
		     const struct ht_target_conf *conf, const struct ht_service_conf *svc)
{
	const struct ht_core_params *params = &p->env->params;
	ht_ms time_left = job->deadline - p->env->now;
	struct ht_target_request req = {
		.id = job->id,
		.target = t->id,
		.conf = conf,
		.service_name = svc->name,
		.method = job->req->method,
		.path = job->req->path,
		.query = job->req->query,
		.payload = job->req->payload,
		.payload_len = job->req->payload_len,
		.content_format = job->req->content_format,
		.deadline =
			time_left < params->target_deadline ? time_left : params->target_deadline,
	};

	job->state = HT_JOB_SENT;
	job->sent_at = p->env->now;
	ht_list_add_tail(&t->sent, &job->node);
	t->in_flight++;
	if (job->entry)
		ht_ledger_change(p->ledger, job->entry, HT_ENTRY_SENT, p->env->now);
	if (job->entry && job->entry->posting)
		ht_handover_update(p, job->entry);
	if (!(job->flags & HT__FORWARD_FLAG__FORWARD_RETRY))
		ht_retry_budget_earn(p->home_retry_budget, job->req->service);
	ht_path_event(p, REQUEST_SENT, job->req, t->id, 0, "in_flight=%u deadline=%lld",
		      t->in_flight, (long long)req.deadline);
	params->ops->send_target(params->ctx, &req);
}

/* Sends queued requests while slots are free; usable_slots() checks the lease before each. */
void ht_serve_run(struct ht_request_path *p, struct ht_target *t)
{
	while (t->queued && !t->draining && t->in_flight < usable_slots(p, t)) {
		struct ht_job *job = ht_container_of(t->queue.next, struct ht_job, node);
		const struct ht_target_conf *conf = ht_path_target_conf(p, t->id);
		struct ht_config *cfg = p->config->current(p->config->ctx);

		if (!conf || conf->draining || conf->service != job->req->service)
			return;
		dequeue(t, job);
		/* Skip requests that cannot finish in time while others wait for the slot. */
		if ((double)(job->deadline - p->env->now) < ht_target_time_needed(t) && t->queued) {
			ht_serve_refuse(p, job, HT_SERVICE_UNAVAILABLE, HT_RETRY_AFTER_MIN,
					"deadline_cannot_be_met");
			ht_job_free(p, job);
			continue;
		}
		send_job(p, t, job, conf, ht_config_service(cfg, conf->service));
	}
}

static void exclude_target(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_candidates cand;

	ht_placement_candidates(&cand, ht_place_service(p, job), job->req->flow);
	job->tried |= 1U << ht_candidates_index(&cand, job->target);
	job->target = 0;
	job->relocated = true;
}

void ht_home_relocate(struct ht_request_path *p, struct ht_job *job)
{
	ht_timer_stop(&job->timer);
	job->state = HT_JOB_NEW;
	if (p->env->now >= job->deadline) {
		ht_serve_refuse(p, job, HT_SERVICE_UNAVAILABLE, HT_RETRY_AFTER_MIN, "deadline");
		ht_job_free(p, job);
		return;
	}
	if (job->req->has_ticket) {
		ht_post_seal_ticket(p, job);
		detach_entry(job);
		exclude_target(p, job);
		ht_post_drop_ticket(p, job);
		return;
	}
	ht_serve_drop_entry(p, job);
	exclude_target(p, job);
	ht_home_place(p, job);
}

/* The target has a new home: forwards the request there; its flow stays with the target. */
static bool hand_over_job(struct ht_request_path *p, struct ht_job *job)
{
	const struct ht_target_conf *conf = ht_path_target_conf(p, job->target);
	uint64_t home = conf ? p->membership->home(p->membership->ctx, conf->id, conf->dc) : 0;

	if (!home || home == p->env->self || !job->hops_left || job->req->has_ticket)
		return false;
	ht_serve_drop_entry(p, job);
	if (!ht_hop_send(p, job, home, conf->id, HT__FORWARD_FLAG__FORWARD_MOVED, INFINITY))
		return false;
	ht_path_event(p, QUEUE_HANDED_OVER, job->req, conf->id, home, "hops_left=%u",
		      job->hops_left);
	return true;
}

void ht_serve_relocate(struct ht_request_path *p, struct ht_job *job, bool hand_over)
{
	if (!hand_over || !hand_over_job(p, job))
		ht_home_relocate(p, job);
}

void ht_serve_flush(struct ht_request_path *p, struct ht_target *t)
{
	struct ht_list flushed;

	ht_list_init(&flushed);
	while (!ht_list_empty(&t->queue)) {
		struct ht_list *node = t->queue.next;

		ht_list_del(node);
		ht_list_add_tail(&flushed, node);
	}
	t->queued = 0;
	while (!ht_list_empty(&flushed)) {
		struct ht_job *job = ht_container_of(flushed.next, struct ht_job, node);

		ht_list_del(&job->node);
		ht_timer_stop(&job->timer);
		job->state = HT_JOB_NEW;
		ht_serve_relocate(p, job, true);
	}
}

void ht_serve_cancel_queued(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_target *t = g_hash_table_lookup(p->targets, &job->target);

	dequeue(t, job);
	ht_serve_refuse(p, job, HT_SERVICE_UNAVAILABLE, HT_RETRY_AFTER_MIN, "cancelled");
	ht_job_free(p, job);
}

static void on_serve_timer(void *ctx, struct ht_timer *timer)
{
	struct ht_request_path *p = ctx;
	struct ht_job *job = ht_container_of(timer, struct ht_job, timer);
	struct ht_target *t = g_hash_table_lookup(p->targets, &job->target);

	if (job->state == HT_JOB_QUEUED) {
		if (t)
			dequeue(t, job);
		ht_serve_refuse(p, job, HT_SERVICE_UNAVAILABLE, HT_RETRY_AFTER_MIN, "deadline");
		ht_job_free(p, job);
	} else if (job->state == HT_JOB_SENT && !job->answered) {
		/* Answer the caller now; the slot stays in use until the target's result. */
		ht_reply_may_have_run(p, job, "deadline");
		ht_timer_set(p->timers, timer,
			     p->env->now + p->env->params.target_deadline + RESULT_MARGIN);
	} else if (job->state == HT_JOB_SENT) {
		struct ht_target_answer lost = {.id = job->id, .result = HT_TARGET_TIMEOUT};

		ht_serve_result(p, &lost);
	}
}

void ht_serve_target_state(struct ht_request_path *p, uint64_t id, enum ht_target_state state)
{
	struct ht_target *t = get_target(p, id);

	if (!t)
		return;
	t->connecting = false;
	switch (state) {
	case HT_TARGET_UP:
		ht_target_connected(t);
		t->draining = false;
		p->env->emit(p->env, HT_EV_TARGET_UP, 0, 0, id, 0, "in_flight=%u", t->in_flight);
		ht_serve_run(p, t);
		ht_home_resume(p, id);
		return;
	case HT_TARGET_DOWN:
		t->up = false;
		p->env->emit(p->env, HT_EV_TARGET_DOWN, 0, 0, id, 0, "queued=%u", t->queued);
		break;
	case HT_TARGET_DRAINING:
		if (t->draining)
			return;
		t->draining = true;
		p->env->emit(p->env, HT_EV_TARGET_DRAINING, 0, 0, id, 0, "queued=%u", t->queued);
		break;
	case HT_TARGET_MISASSIGNED:
		t->misassigned = true;
		p->env->emit(p->env, HT_EV_TARGET_MISASSIGNED, 0, 0, id, 0, "queued=%u", t->queued);
		break;
	}
	ht_serve_flush(p, t);
	ht_home_resume(p, id);
}

static void open_target(struct ht_request_path *p, struct ht_target *t,
			const struct ht_target_conf *conf)
{
	const struct ht_core_params *params = &p->env->params;
	const struct ht_service_conf *svc =
		ht_config_service(p->config->current(p->config->ctx), conf->service);

	t->opened = true;
	t->connecting = true;
	params->ops->open_target(params->ctx, conf, svc ? svc->name : "");
}

static void close_target(struct ht_request_path *p, struct ht_target *t)
{
	const struct ht_core_params *params = &p->env->params;

	t->opened = false;
	t->up = false;
	t->draining = false;
	params->ops->close_target(params->ctx, t->id);
}

void ht_serve_owner_changed(struct ht_request_path *p, uint64_t id)
{
	const struct ht_target_conf *conf = ht_path_target_conf(p, id);
	enum ht_owner_state state = p->ownership->state(p->ownership->ctx, id);
	uint32_t slots = p->ownership->slots(p->ownership->ctx, id);
	bool owned = conf && (slots || state == HT_OWNER_OWNED || state == HT_OWNER_HOLDING);
	struct ht_target *t = owned ? get_target(p, id) : g_hash_table_lookup(p->targets, &id);

	if (!t)
		return;
	if (owned && !t->opened)
		open_target(p, t, conf);
	if (!owned && t->queued)
		ht_serve_flush(p, t);
	/* The connection stays open until the requests in flight have ended. */
	if (!owned && t->opened && !t->in_flight)
		close_target(p, t);
	if (owned)
		ht_serve_run(p, t);
	ht_home_resume(p, id);
}

void ht_serve_config_changed(struct ht_request_path *p)
{
	GHashTableIter it;
	void *value;
	struct ht_target **all = g_new(struct ht_target *, g_hash_table_size(p->targets) + 1);
	unsigned int count = 0;

	g_hash_table_iter_init(&it, p->targets);
	while (g_hash_table_iter_next(&it, NULL, &value))
		all[count++] = value;
	for (unsigned int i = 0; i < count; i++) {
		const struct ht_target_conf *conf = ht_path_target_conf(p, all[i]->id);

		if (!conf || conf->draining)
			ht_serve_flush(p, all[i]);
		ht_serve_owner_changed(p, all[i]->id);
		if (!conf && !all[i]->opened && !all[i]->in_flight && !all[i]->queued)
			g_hash_table_remove(p->targets, &all[i]->id);
	}
	g_free(all);
	ht_home_resume(p, 0);
	ht_ingress_config_changed(p);
}
