/*
 * The ingress side: finds the home of a caller's request, keeps the caller's handle until the
 * answer, retries idempotent requests and gives the honest verdict at the deadline.
 */
#include "core/path.h"

#include <stdlib.h>
#include <string.h>

/* Attempt numbers take the low three bits of an id; the last value marks a job's hop. */
#define ATTEMPTS_MAX 7

static void pending_due(void *ctx, struct ht_timer *timer);
static void send_attempt(struct ht_request_path *p, struct ht_pending *w);

/* A posting without a ticket only asks for one, so it can be asked again like a GET. */
static bool repeatable(const struct ht_pending *w)
{
	return ht_body_idempotent(w->body) || !w->body->has_ticket;
}

void ht_pending_free(struct ht_request_path *p, struct ht_pending *w)
{
	ht_timer_stop(&w->timer);
	g_hash_table_remove(p->pending, &w->id);
	ht_body_put(w->body);
	free(w);
}

static void finish(struct ht_request_path *p, struct ht_pending *w, const struct ht_answer *a)
{
	static const enum ht_counter counters[] = {
		[HT_NOT_RUN] = HT_C_answers_not_run,
		[HT_MAY_HAVE_RUN] = HT_C_answers_may_have_run,
		[HT_RAN] = HT_C_answers_ran,
	};
	const struct ht_core_params *params = &p->env->params;

	ht_path_count(p, counters[a->verdict]);
	ht_path_event(p, REQUEST_ANSWERED, w->body, 0, 0, "code=%u.%02u verdict=%s attempts=%u",
		      a->code / 32U, a->code % 32U, ht_verdict_name(a->verdict), w->attempts);
	params->ops->answer(params->ctx, w->handle, a);
	ht_pending_free(p, w);
}

static void refuse(struct ht_request_path *p, struct ht_pending *w, const char *why)
{
	struct ht_answer a = {.code = HT_SERVICE_UNAVAILABLE, .retry_after = HT_RETRY_AFTER_MIN};

	/* Another ingress may have sent the same ticket before: only its issuer can rule that out.
	 */
	if (((w->forwarded || ht_path_uncertain(p) || w->body->block_num) && !w->body->cancel &&
	     ht_body_idempotent(w->body)) ||
	    w->body->has_ticket) {
		a.code = HT_GATEWAY_TIMEOUT;
		a.verdict = HT_MAY_HAVE_RUN;
	}
	ht_path_event(p, REQUEST_REFUSED, w->body, 0, 0, "verdict=%s retry_after=%lld why=%s",
		      ht_verdict_name(a.verdict), (long long)a.retry_after, why);
	finish(p, w, &a);
}

static uint64_t attempt_id(const struct ht_pending *w, unsigned int attempt)
{
	return w->id << 3 | attempt;
}

static void local_attempt(struct ht_request_path *p, struct ht_pending *w, unsigned int attempt,
			  uint64_t target, uint32_t flags)
{
	struct ht_job *job = ht_job_new(p, w->body, p->env->self);

	if (!job || !ht_job_add_waiter(job, p->env->self, attempt_id(w, attempt))) {
		if (job)
			ht_job_free(p, job);
		refuse(p, w, "memory");
		return;
	}
	job->deadline = w->deadline;
	job->target = target;
	job->flags = flags;
	job->wait = INFINITY;
	job->hops_left = HT_HOP_LIMIT;
	job->hop_id = attempt_id(w, attempt);
	if (flags & HT__FORWARD_FLAG__FORWARD_RETRY)
		job->floor = HT_MAY_HAVE_RUN;
	ht_home_decide(p, job);
}

static bool remote_attempt(struct ht_request_path *p, struct ht_pending *w, unsigned int attempt,
			   uint64_t peer, uint64_t target, uint32_t flags)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	struct ht_forward_frame f;

	ht_forward_fill(&f, w->body);
	f.forward.target = target;
	f.forward.config_version = cfg ? cfg->version : 0;
	f.forward.hops_left = HT_HOP_LIMIT - 1;
	f.forward.flags |= flags;
	f.forward.ingress = p->env->self;
	f.forward.ingress_id = attempt_id(w, attempt);
	f.forward.hop_id = f.forward.ingress_id;
	f.forward.deadline_ms = (uint32_t)(w->deadline - p->env->now);
	f.forward.wait_ms = UINT32_MAX;
	f.forward.candidate = w->candidate;
	if (!p->env->send(p->env, peer, &f.msg))
		return false;
	ht_path_count(p, HT_C_forwards_sent);
	ht_path_event(p, REQUEST_FORWARDED, w->body, target, peer, "candidate=%u flags=%u",
		      w->candidate, flags);
	w->forwarded = true;
	return true;
}

/* True when the attempt went out or the request is finished; @w may then be gone. */
static bool attempt_at(struct ht_request_path *p, struct ht_pending *w, uint64_t home,
		       uint64_t target, uint32_t flags)
{
	unsigned int attempt = w->attempts;

	w->attempts++;
	w->outstanding |= 1U << attempt;
	w->peers[attempt] = home;
	if (home == p->env->self) {
		local_attempt(p, w, attempt, target, flags);
		return true;
	}
	if (remote_attempt(p, w, attempt, home, target, flags))
		return true;
	w->outstanding &= ~(1U << attempt);
	return false;
}

/* The first candidate from w->candidate on whose home can be reached. */
static bool attempt_candidates(struct ht_request_path *p, struct ht_pending *w,
			       const struct ht_row *row)
{
	for (; w->candidate < row->count && w->attempts < ATTEMPTS_MAX; w->candidate++) {
		const struct ht_target_conf *t = row->at[w->candidate];
		uint64_t home = p->membership->home(p->membership->ctx, t->id, t->dc);
		uint32_t flags = w->flags;

		if (!home)
			continue;
		if (w->candidate > 0 && !(flags & HT__FORWARD_FLAG__FORWARD_RETRY))
			flags |= HT__FORWARD_FLAG__FORWARD_DEFLECTED;
		if (attempt_at(p, w, home, t->id, flags))
			return true;
	}
	return false;
}

static uint64_t ticket_issuer(struct ht_request_path *p, const struct ht_body *body)
{
	struct ht_ticket t;

	if (!body->has_ticket)
		return 0;
	ht_ticket_unpack(&t, body->ticket);
	if (t.incarnation == p->env->params.incarnation)
		return p->env->self;
	return p->membership->by_incarnation(p->membership->ctx, t.incarnation);
}

static void send_attempt(struct ht_request_path *p, struct ht_pending *w)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	const struct ht_service_conf *svc = cfg ? ht_config_service(cfg, w->body->service) : NULL;
	uint64_t issuer = ticket_issuer(p, w->body);
	struct ht_row row;

	if (!svc) {
		refuse(p, w, cfg ? "no_such_service" : "no_configuration");
		return;
	}
	ht_placement_row(&row, svc, w->body->flow);
	if (issuer && w->attempts < ATTEMPTS_MAX &&
	    attempt_at(p, w, issuer, row.count ? row.at[0]->id : 0, w->flags))
		return;
	if (attempt_candidates(p, w, &row))
		return;
	if (!w->outstanding)
		refuse(p, w, row.count ? "no_home_reachable" : "no_targets");
}

void ht_ingress_request(struct ht_request_path *p, uint64_t handle, const struct ht_request *req)
{
	const struct ht_core_params *params = &p->env->params;
	struct ht_config *cfg = p->config->current(p->config->ctx);
	const struct ht_service_conf *svc = cfg ? ht_config_service(cfg, req->service) : NULL;
	struct ht_pending *w = calloc(1, sizeof(*w));
	struct ht_body *body = ht_body_new(req);
	ht_ms span = req->deadline > 0 ? req->deadline : svc ? svc->deadline : 0;

	ht_path_count(p, HT_C_requests_received);
	if (!w || !body) {
		struct ht_answer a = {.code = HT_SERVICE_UNAVAILABLE,
				      .retry_after = HT_RETRY_AFTER_MIN};

		free(w);
		ht_body_put(body);
		params->ops->answer(params->ctx, handle, &a);
		return;
	}
	if (span <= 0)
		span = params->target_deadline;
	w->id = ht_path_id(p);
	w->handle = handle;
	w->body = body;
	w->deadline = p->env->now + span;
	w->retry_at = p->env->now + span / 2;
	w->flags = body->cancel ? HT__FORWARD_FLAG__FORWARD_CANCEL : 0;
	w->timer.fire = pending_due;
	g_hash_table_insert(p->pending, &w->id, w);
	ht_path_event(p, REQUEST_RECEIVED, body, 0, 0, "method=%u deadline=%lld", body->method,
		      (long long)span);
	if (!body->cancel)
		ht_retries_earn(p->ingress_retries, body->service);
	ht_timer_set(p->timers, &w->timer, repeatable(w) ? w->retry_at : w->deadline);
	send_attempt(p, w);
}

static void expire(struct ht_request_path *p, struct ht_pending *w)
{
	struct ht_answer a = {.code = HT_GATEWAY_TIMEOUT, .verdict = HT_MAY_HAVE_RUN};

	if (!w->body->has_ticket && !ht_body_idempotent(w->body)) {
		a.code = HT_SERVICE_UNAVAILABLE;
		a.verdict = HT_NOT_RUN;
		a.retry_after = HT_RETRY_AFTER_MIN;
	}
	ht_path_event(p, REQUEST_REFUSED, w->body, 0, 0, "verdict=%s why=deadline",
		      ht_verdict_name(a.verdict));
	finish(p, w, &a);
}

/* Half of the deadline has passed without an answer: the next candidate gets a try. */
static void retry(struct ht_request_path *p, struct ht_pending *w, const char *why)
{
	ht_timer_set(p->timers, &w->timer, w->deadline);
	if (w->body->cancel || w->attempts >= ATTEMPTS_MAX || w->candidate + 1 >= HT_CANDIDATES)
		return;
	if (!ht_retries_spend(p->ingress_retries, w->body->service)) {
		ht_path_count(p, HT_C_retries_denied);
		ht_path_event(p, RETRY_DENIED, w->body, 0, 0, "why=budget");
		return;
	}
	w->candidate++;
	w->flags |= HT__FORWARD_FLAG__FORWARD_RETRY;
	ht_path_count(p, HT_C_retries);
	ht_path_event(p, REQUEST_RETRIED, w->body, 0, 0, "side=ingress why=%s", why);
	send_attempt(p, w);
}

static void pending_due(void *ctx, struct ht_timer *timer)
{
	struct ht_request_path *p = ctx;
	struct ht_pending *w = ht_container_of(timer, struct ht_pending, timer);

	if (p->env->now >= w->deadline)
		expire(p, w);
	else if (w->waited && !w->outstanding)
		send_attempt(p, w);
	else
		retry(p, w, "half_deadline");
}

static struct ht_pending *find_attempt(struct ht_request_path *p, uint64_t id,
				       unsigned int *attempt)
{
	uint64_t key = id >> 3;
	struct ht_pending *w = g_hash_table_lookup(p->pending, &key);

	*attempt = (unsigned int)(id & 7);
	return w && w->outstanding & 1U << *attempt ? w : NULL;
}

/*
 * A refusal of one attempt is final only when no other attempt is open, and then it is no
 * stronger than what the other attempts allow.
 */
void ht_ingress_answer(struct ht_request_path *p, uint64_t id, const struct ht_answer *answer)
{
	unsigned int attempt;
	struct ht_pending *w = find_attempt(p, id, &attempt);

	if (!w)
		return;
	w->outstanding &= ~(1U << attempt);
	if (answer->verdict != HT_RAN && answer->code != HT_UNAUTHORIZED && w->outstanding) {
		if (answer->verdict == HT_MAY_HAVE_RUN)
			w->worst = HT_MAY_HAVE_RUN;
		return;
	}
	if (answer->verdict == HT_NOT_RUN && w->worst == HT_MAY_HAVE_RUN &&
	    answer->code != HT_UNAUTHORIZED) {
		struct ht_answer a = {.code = HT_GATEWAY_TIMEOUT, .verdict = HT_MAY_HAVE_RUN};

		finish(p, w, &a);
		return;
	}
	finish(p, w, answer);
}

/*
 * The home has ended. A ticket is looked up again: nobody but its issuer runs it, so a second
 * forward is harmless. Other requests go to the next candidate within the budget.
 */
static void home_ended(struct ht_request_path *p, struct ht_pending *w)
{
	w->forwarded = true;
	if (ht_body_idempotent(w->body))
		w->worst = HT_MAY_HAVE_RUN;
	if (w->outstanding)
		return;
	if (w->body->has_ticket || !ht_body_idempotent(w->body) || w->body->cancel) {
		send_attempt(p, w);
		return;
	}
	if (!ht_retries_spend(p->ingress_retries, w->body->service)) {
		ht_path_count(p, HT_C_retries_denied);
		ht_path_event(p, RETRY_DENIED, w->body, 0, 0, "why=budget");
		refuse(p, w, "home_ended");
		return;
	}
	ht_path_count(p, HT_C_retries);
	ht_path_event(p, REQUEST_RETRIED, w->body, 0, 0, "side=ingress why=home_ended");
	w->flags |= HT__FORWARD_FLAG__FORWARD_RETRY;
	send_attempt(p, w);
}

void ht_ingress_returned(struct ht_request_path *p, struct ht_pending *w,
			 enum ht_return_reason reason)
{
	if (reason == HT_RETURN_LOST) {
		home_ended(p, w);
		return;
	}
	if (reason == HT_RETURN_NOT_SERVED && !w->waited && !w->outstanding) {
		/* The sender's configuration is older: wait until it has been pulled. */
		w->waited = true;
		ht_timer_set(p->timers, &w->timer, p->env->now + p->env->params.claim_wait);
		return;
	}
	if (w->outstanding)
		return;
	w->candidate++;
	send_attempt(p, w);
}

static void each_pending(struct ht_request_path *p, bool (*match)(struct ht_pending *, uint64_t),
			 uint64_t arg, void (*act)(struct ht_request_path *, struct ht_pending *))
{
	uint64_t *ids = g_new(uint64_t, g_hash_table_size(p->pending) + 1);
	unsigned int count = 0;
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, p->pending);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (match(value, arg))
			ids[count++] = ((struct ht_pending *)value)->id;
	for (unsigned int i = 0; i < count; i++) {
		struct ht_pending *w = g_hash_table_lookup(p->pending, &ids[i]);

		if (w)
			act(p, w);
	}
	g_free(ids);
}

static bool went_to(struct ht_pending *w, uint64_t peer)
{
	bool hit = false;

	for (unsigned int i = 0; i < w->attempts; i++) {
		if (w->outstanding & 1U << i && w->peers[i] == peer) {
			w->outstanding &= ~(1U << i);
			hit = true;
		}
	}
	return hit;
}

void ht_ingress_peer_down(struct ht_request_path *p, uint64_t peer, enum ht_peer_down_reason reason)
{
	if (reason == HT_PEER_GONE)
		each_pending(p, went_to, peer, home_ended);
}

static bool waits(struct ht_pending *w, uint64_t unused)
{
	(void)unused;
	return w->waited && !w->outstanding;
}

void ht_ingress_config_changed(struct ht_request_path *p)
{
	each_pending(p, waits, 0, send_attempt);
}
