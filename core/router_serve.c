/* Queue, slots and results of the targets of which this instance is home. */
#include "core/path.h"

/* A target that never reports a result must not hold its slot for ever. */
#define RESULT_MARGIN 1000

static void serve_due(void *ctx, struct ht_timer *timer);

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

static uint32_t usable(struct ht_request_path *p, const struct ht_target *t)
{
	return ht_target_usable(t, p->ownership->slots(p->ownership->ctx, t->id), p->env->now);
}

const struct ht_target_conf *ht_path_target_conf(struct ht_request_path *p, uint64_t target)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);

	return cfg ? ht_config_target(cfg, target) : NULL;
}

/* The refusal is kept until the time it gives, so that a late copy of it does not run. */
void ht_serve_refuse(struct ht_request_path *p, struct ht_job *job, uint8_t code, ht_ms retry_after,
		     const char *why)
{
	struct ht_entry *e = job->entry;
	struct ht_answer a = {.code = code, .retry_after = retry_after};

	if (a.retry_after < HT_RETRY_AFTER_MIN)
		a.retry_after = HT_RETRY_AFTER_MIN;
	if (job->body->has_ticket && e) {
		ht_ledger_change(p->ledger, e, HT_ENTRY_SEALED, p->env->now);
		ht_handover_update(p, e);
	} else {
		if (!e)
			e = ht_ledger_add(p->ledger, job->body, HT_ENTRY_OPEN, p->env->now);
		if (e && job->floor == HT_NOT_RUN) {
			ht_ledger_keep(p->ledger, e, &a, p->env->now);
			e->expires = p->env->now + a.retry_after;
		}
	}
	ht_reply_refuse(p, job, code, HT_NOT_RUN, a.retry_after, why);
}

static void detach_entry(struct ht_job *job)
{
	if (job->entry)
		job->entry->job = NULL;
	job->entry = NULL;
}

/* Idempotent requests that did not start leave no entry behind. */
void ht_serve_drop_entry(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_entry *e = job->entry;

	detach_entry(job);
	if (e && !e->posting)
		ht_ledger_remove(p->ledger, e);
}

void ht_serve_enqueue(struct ht_request_path *p, struct ht_job *job, struct ht_target *t)
{
	double wait = ht_target_wait(t, usable(p, t));
	ht_ms rest = job->deadline - p->env->now;

	job->target = t->id;
	if (!job->entry) {
		job->entry = ht_ledger_add(p->ledger, job->body, HT_ENTRY_OPEN, p->env->now);
		if (!job->entry) {
			ht_reply_unavailable(p, job, "ledger_full");
			ht_job_free(p, job);
			return;
		}
		job->entry->job = job;
		job->entry->target = t->id;
	}
	if (wait > 0 && (wait + ht_target_need(t) > (double)rest || rest <= 0)) {
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
	job->timer.fire = serve_due;
	ht_list_del(&job->node);
	ht_list_add_tail(&t->queue, &job->node);
	t->queued++;
	ht_timer_set(p->timers, &job->timer, job->deadline);
	if (wait > 0)
		ht_path_event(p, REQUEST_QUEUED, job->body, t->id, 0, "wait=%.0f queued=%u", wait,
			      t->queued);
	ht_serve_run(p, t);
}

static void unqueue(struct ht_target *t, struct ht_job *job)
{
	ht_list_del(&job->node);
	t->queued--;
}

static void send_job(struct ht_request_path *p, struct ht_target *t, struct ht_job *job,
		     const struct ht_target_conf *conf, const struct ht_service_conf *svc)
{
	const struct ht_core_params *params = &p->env->params;
	ht_ms rest = job->deadline - p->env->now;
	struct ht_target_request req = {
		.id = job->id,
		.target = t->id,
		.conf = conf,
		.service_name = svc->name,
		.method = job->body->method,
		.path = job->body->path,
		.query = job->body->query,
		.payload = job->body->payload,
		.payload_len = job->body->payload_len,
		.content_format = job->body->content_format,
		.deadline = rest < params->target_deadline ? rest : params->target_deadline,
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
		ht_retries_earn(p->home_retries, job->body->service);
	ht_path_event(p, REQUEST_SENT, job->body, t->id, 0, "in_flight=%u deadline=%lld",
		      t->in_flight, (long long)req.deadline);
	params->ops->send_target(params->ctx, &req);
}

/* Sends queued requests while slots are free; the lease is checked before each. */
void ht_serve_run(struct ht_request_path *p, struct ht_target *t)
{
	while (t->queued && !t->draining && t->in_flight < usable(p, t)) {
		struct ht_job *job = ht_container_of(t->queue.next, struct ht_job, node);
		const struct ht_target_conf *conf = ht_path_target_conf(p, t->id);
		struct ht_config *cfg = p->config->current(p->config->ctx);

		if (!conf || conf->draining || conf->service != job->body->service)
			return;
		unqueue(t, job);
		/* Work that cannot finish in time would take a slot from work that can. */
		if ((double)(job->deadline - p->env->now) < ht_target_need(t) && t->queued) {
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
	struct ht_row row;

	ht_placement_row(&row, ht_place_service(p, job), job->body->flow);
	job->tried |= 1U << ht_row_index(&row, job->target);
	job->target = 0;
	job->replaced = true;
}

/* A request that did not start at its target finds another place. */
void ht_home_replace(struct ht_request_path *p, struct ht_job *job)
{
	ht_timer_stop(&job->timer);
	job->state = HT_JOB_NEW;
	if (p->env->now >= job->deadline) {
		ht_serve_refuse(p, job, HT_SERVICE_UNAVAILABLE, HT_RETRY_AFTER_MIN, "deadline");
		ht_job_free(p, job);
		return;
	}
	if (job->body->has_ticket) {
		ht_posting_seal(p, job);
		detach_entry(job);
		exclude_target(p, job);
		ht_posting_strip(p, job);
		return;
	}
	ht_serve_drop_entry(p, job);
	exclude_target(p, job);
	ht_home_place(p, job);
}

/* The target's home has changed: the request goes there with its flow. */
static bool hand_over_job(struct ht_request_path *p, struct ht_job *job)
{
	const struct ht_target_conf *conf = ht_path_target_conf(p, job->target);
	uint64_t home = conf ? p->membership->home(p->membership->ctx, conf->id, conf->dc) : 0;

	if (!home || home == p->env->self || !job->hops_left || job->body->has_ticket)
		return false;
	ht_serve_drop_entry(p, job);
	if (!ht_hop_send(p, job, home, conf->id, HT__FORWARD_FLAG__FORWARD_MOVED, INFINITY))
		return false;
	ht_path_event(p, QUEUE_HANDED_OVER, job->body, conf->id, home, "hops_left=%u",
		      job->hops_left);
	return true;
}

/* Finds a new place for the job, with all who wait for it. */
void ht_serve_replace_all(struct ht_request_path *p, struct ht_job *job, bool hand_over)
{
	if (!hand_over || !hand_over_job(p, job))
		ht_home_replace(p, job);
}

/* Empties the queue of a target that takes no work here any more. */
void ht_serve_flush(struct ht_request_path *p, struct ht_target *t)
{
	struct ht_list moved;

	ht_list_init(&moved);
	while (!ht_list_empty(&t->queue)) {
		struct ht_list *node = t->queue.next;

		ht_list_del(node);
		ht_list_add_tail(&moved, node);
	}
	t->queued = 0;
	while (!ht_list_empty(&moved)) {
		struct ht_job *job = ht_container_of(moved.next, struct ht_job, node);

		ht_list_del(&job->node);
		ht_timer_stop(&job->timer);
		job->state = HT_JOB_NEW;
		ht_serve_replace_all(p, job, true);
	}
}

void ht_serve_cancel_queued(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_target *t = g_hash_table_lookup(p->targets, &job->target);

	unqueue(t, job);
	ht_serve_refuse(p, job, HT_SERVICE_UNAVAILABLE, HT_RETRY_AFTER_MIN, "cancelled");
	ht_job_free(p, job);
}

static void serve_due(void *ctx, struct ht_timer *timer)
{
	struct ht_request_path *p = ctx;
	struct ht_job *job = ht_container_of(timer, struct ht_job, timer);
	struct ht_target *t = g_hash_table_lookup(p->targets, &job->target);

	if (job->state == HT_JOB_QUEUED) {
		if (t)
			unqueue(t, job);
		ht_serve_refuse(p, job, HT_SERVICE_UNAVAILABLE, HT_RETRY_AFTER_MIN, "deadline");
		ht_job_free(p, job);
	} else if (job->state == HT_JOB_SENT && !job->answered) {
		/* The slot stays taken until the target's result; the caller waits no longer. */
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
	switch (state) {
	case HT_TARGET_UP:
		ht_target_connected(t);
		t->draining = false;
		p->env->emit(p->env, HT_EV_TARGET_UP, 0, 0, id, 0, "in_flight=%u", t->in_flight);
		ht_serve_run(p, t);
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
}

static void open_target(struct ht_request_path *p, struct ht_target *t,
			const struct ht_target_conf *conf)
{
	const struct ht_core_params *params = &p->env->params;
	const struct ht_service_conf *svc =
		ht_config_service(p->config->current(p->config->ctx), conf->service);

	t->opened = true;
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
	bool ours = conf && (slots || state == HT_OWNER_OWNED || state == HT_OWNER_HOLDING);
	struct ht_target *t = ours ? get_target(p, id) : g_hash_table_lookup(p->targets, &id);

	if (!t)
		return;
	if (ours && !t->opened)
		open_target(p, t, conf);
	if (!ours && t->queued)
		ht_serve_flush(p, t);
	/* Requests in flight keep their connection until they end. */
	if (!ours && t->opened && !t->in_flight)
		close_target(p, t);
	if (ours)
		ht_serve_run(p, t);
	ht_home_resume(p, id);
}

/* Queues follow the new configuration: targets that drain or left the service get no new work. */
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
