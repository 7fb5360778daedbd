/*
 * The ingress side: sends a caller's request to the home of its target, keeps the caller's handle
 * until the answer and retries idempotent requests. A refusal, also at the deadline, says "not run"
 * only when the request provably did not run.
 */
#include "core/path.h"

#include <stdlib.h>
#include <string.h>

/* The attempt's number is in the low three bits of an id; the value 7 marks a hop of a job. */
#define ATTEMPTS_MAX 7

static void on_pending_timer(void *ctx, struct ht_timer *timer);
static void send_attempt(struct ht_request_path *p, struct ht_pending *pend);

/* A POST request without a ticket only obtains one, so it can be sent again like a GET. */
static bool can_resend(const struct ht_pending *pend)
{
	return ht_stored_request_idempotent(pend->req) || !pend->req->has_ticket;
}

/* When the request is sent again or, if it is too late for that, refused. */
static ht_ms timer_due(const struct ht_request_path *p, const struct ht_pending *pend)
{
	return can_resend(pend) && p->env->now < pend->retry_at ? pend->retry_at : pend->deadline;
}

void ht_pending_free(struct ht_request_path *p, struct ht_pending *pend)
{
	ht_timer_stop(&pend->timer);
	g_hash_table_remove(p->pending, &pend->id);
	ht_stored_request_put(pend->req);
	free(pend);
}

static void finish(struct ht_request_path *p, struct ht_pending *pend, const struct ht_answer *a)
{
	static const enum ht_counter counters[] = {
		[HT_NOT_RUN] = HT_C_answers_not_run,
		[HT_MAY_HAVE_RUN] = HT_C_answers_may_have_run,
		[HT_RAN] = HT_C_answers_ran,
	};
	const struct ht_core_params *params = &p->env->params;

	ht_path_count(p, counters[a->verdict]);
	ht_path_event(p, REQUEST_ANSWERED, pend->req, 0, 0, "code=%u.%02u verdict=%s attempts=%u",
		      a->code / 32U, a->code % 32U, ht_verdict_name(a->verdict), pend->attempts);
	params->ops->answer(params->ctx, pend->handle, a);
	ht_pending_free(p, pend);
}

static void refuse(struct ht_request_path *p, struct ht_pending *pend, const char *why)
{
	struct ht_answer a = {.code = HT_SERVICE_UNAVAILABLE, .retry_after = HT_RETRY_AFTER_MIN};

	/* Another ingress may have sent the same ticket before; only its issuer can tell. */
	if (((pend->forwarded || ht_path_uncertain(p) || pend->req->block_num) &&
	     !pend->req->cancel && ht_stored_request_idempotent(pend->req)) ||
	    pend->req->has_ticket) {
		a.code = HT_GATEWAY_TIMEOUT;
		a.verdict = HT_MAY_HAVE_RUN;
	}
	ht_path_event(p, REQUEST_REFUSED, pend->req, 0, 0, "verdict=%s retry_after=%lld why=%s",
		      ht_verdict_name(a.verdict), (long long)a.retry_after, why);
	finish(p, pend, &a);
}

static uint64_t attempt_id(const struct ht_pending *pend, unsigned int attempt)
{
	return pend->id << 3 | attempt;
}

static void start_local_attempt(struct ht_request_path *p, struct ht_pending *pend,
				unsigned int attempt, uint64_t target, uint32_t flags)
{
	struct ht_job *job = ht_job_new(p, pend->req, p->env->self);

	if (!job || !ht_job_add_waiter(job, p->env->self, attempt_id(pend, attempt))) {
		if (job)
			ht_job_free(p, job);
		refuse(p, pend, "memory");
		return;
	}
	job->deadline = pend->deadline;
	job->target = target;
	job->flags = flags;
	job->sender_wait = INFINITY;
	job->hops_left = HT_HOP_LIMIT;
	job->hop_id = attempt_id(pend, attempt);
	if (flags & HT__FORWARD_FLAG__FORWARD_RETRY)
		job->min_verdict = HT_MAY_HAVE_RUN;
	ht_home_decide(p, job);
}

static bool start_remote_attempt(struct ht_request_path *p, struct ht_pending *pend,
				 unsigned int attempt, uint64_t peer, uint64_t target,
				 uint32_t flags)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	struct ht_forward_frame f;

	ht_forward_fill(&f, pend->req);
	f.forward.target = target;
	f.forward.config_version = cfg ? cfg->version : 0;
	f.forward.hops_left = HT_HOP_LIMIT - 1;
	f.forward.flags |= flags;
	f.forward.ingress = p->env->self;
	f.forward.ingress_id = attempt_id(pend, attempt);
	f.forward.hop_id = f.forward.ingress_id;
	f.forward.deadline_ms = (uint32_t)(pend->deadline - p->env->now);
	f.forward.wait_ms = UINT32_MAX;
	f.forward.candidate = pend->candidate;
	if (!p->env->send(p->env, peer, &f.msg))
		return false;
	ht_path_count(p, HT_C_forwards_sent);
	ht_path_event(p, REQUEST_FORWARDED, pend->req, target, peer, "candidate=%u flags=%u",
		      pend->candidate, flags);
	pend->forwarded = true;
	return true;
}

/* Returns true when the attempt was sent or the request has ended; @pend may then be freed. */
static bool start_attempt(struct ht_request_path *p, struct ht_pending *pend, uint64_t home,
			  uint64_t target, uint32_t flags)
{
	unsigned int attempt = pend->attempts;

	pend->attempts++;
	pend->outstanding |= 1U << attempt;
	pend->peers[attempt] = home;
	if (home == p->env->self) {
		start_local_attempt(p, pend, attempt, target, flags);
		return true;
	}
	if (start_remote_attempt(p, pend, attempt, home, target, flags))
		return true;
	pend->outstanding &= ~(1U << attempt);
	return false;
}

/*
 * True when the target at index @i is not worth an attempt. Candidate 1 is, also while it drains:
 * its home knows the flow's target and the requests in flight.
 */
static bool skip_candidate(const struct ht_candidates *cand, unsigned int i)
{
	return i > 0 && cand->target[i]->draining;
}

/* Sends to the first candidate, from pend->candidate on, whose home can be reached. */
static bool try_candidates(struct ht_request_path *p, struct ht_pending *pend,
			   const struct ht_candidates *cand)
{
	for (; pend->candidate < cand->count && pend->attempts < ATTEMPTS_MAX; pend->candidate++) {
		const struct ht_target_conf *t = cand->target[pend->candidate];
		uint64_t home = p->membership->home(p->membership->ctx, t->id, t->dc);
		uint32_t flags = pend->flags;

		if (!home || skip_candidate(cand, pend->candidate))
			continue;
		if (pend->candidate > 0 && !(flags & HT__FORWARD_FLAG__FORWARD_RETRY))
			flags |= HT__FORWARD_FLAG__FORWARD_DEFLECTED;
		if (start_attempt(p, pend, home, t->id, flags))
			return true;
	}
	return false;
}

static uint64_t ticket_issuer(struct ht_request_path *p, const struct ht_stored_request *stored)
{
	struct ht_ticket t;

	if (!stored->has_ticket)
		return 0;
	ht_ticket_unpack(&t, stored->ticket);
	if (t.incarnation == p->env->params.incarnation)
		return p->env->self;
	return p->membership->by_incarnation(p->membership->ctx, t.incarnation);
}

static void send_attempt(struct ht_request_path *p, struct ht_pending *pend)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	const struct ht_service_conf *svc = cfg ? ht_config_service(cfg, pend->req->service) : NULL;
	uint64_t issuer = ticket_issuer(p, pend->req);
	struct ht_candidates cand;

	if (!svc) {
		refuse(p, pend, cfg ? "no_such_service" : "no_configuration");
		return;
	}
	ht_placement_candidates(&cand, svc, pend->req->flow);
	if (issuer && pend->attempts < ATTEMPTS_MAX &&
	    start_attempt(p, pend, issuer, cand.count ? cand.target[0]->id : 0, pend->flags))
		return;
	if (try_candidates(p, pend, &cand))
		return;
	if (!pend->outstanding)
		refuse(p, pend, cand.count ? "no_home_reachable" : "no_targets");
}

void ht_ingress_request(struct ht_request_path *p, uint64_t handle, const struct ht_request *req)
{
	const struct ht_core_params *params = &p->env->params;
	struct ht_config *cfg = p->config->current(p->config->ctx);
	const struct ht_service_conf *svc = cfg ? ht_config_service(cfg, req->service) : NULL;
	struct ht_pending *pend = calloc(1, sizeof(*pend));
	struct ht_stored_request *stored = ht_stored_request_new(req);
	ht_ms timeout = req->deadline > 0 ? req->deadline : svc ? svc->deadline : 0;

	ht_path_count(p, HT_C_requests_received);
	if (!pend || !stored) {
		struct ht_answer a = {.code = HT_SERVICE_UNAVAILABLE,
				      .retry_after = HT_RETRY_AFTER_MIN};

		free(pend);
		ht_stored_request_put(stored);
		params->ops->answer(params->ctx, handle, &a);
		return;
	}
	if (timeout <= 0)
		timeout = params->target_deadline;
	pend->id = ht_path_id(p);
	pend->handle = handle;
	pend->req = stored;
	pend->deadline = p->env->now + timeout;
	pend->retry_at = p->env->now + timeout / 2;
	pend->flags = stored->cancel ? HT__FORWARD_FLAG__FORWARD_CANCEL : 0;
	pend->timer.fire = on_pending_timer;
	g_hash_table_insert(p->pending, &pend->id, pend);
	ht_path_event(p, REQUEST_RECEIVED, stored, 0, 0, "method=%u deadline=%lld", stored->method,
		      (long long)timeout);
	if (!stored->cancel)
		ht_retry_budget_earn(p->ingress_retry_budget, stored->service);
	ht_timer_set(p->timers, &pend->timer, timer_due(p, pend));
	send_attempt(p, pend);
}

static void refuse_at_deadline(struct ht_request_path *p, struct ht_pending *pend)
{
	struct ht_answer a = {.code = HT_GATEWAY_TIMEOUT, .verdict = HT_MAY_HAVE_RUN};

	if (!pend->req->has_ticket && !ht_stored_request_idempotent(pend->req)) {
		a.code = HT_SERVICE_UNAVAILABLE;
		a.verdict = HT_NOT_RUN;
		a.retry_after = HT_RETRY_AFTER_MIN;
	}
	ht_path_event(p, REQUEST_REFUSED, pend->req, 0, 0, "verdict=%s why=deadline",
		      ht_verdict_name(a.verdict));
	finish(p, pend, &a);
}

/* True when a retry has a further candidate or substitute to go to. */
static bool has_next_candidate(struct ht_request_path *p, const struct ht_pending *pend)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	struct ht_candidates cand;

	ht_placement_candidates(&cand, cfg ? ht_config_service(cfg, pend->req->service) : NULL,
				pend->req->flow);
	return pend->candidate + 1 < MAX(cand.count, HT_CANDIDATES_MAX);
}

/* Sends to the next candidate after half of the deadline, within the retry budget. */
static void retry(struct ht_request_path *p, struct ht_pending *pend, const char *why)
{
	ht_timer_set(p->timers, &pend->timer, pend->deadline);
	if (pend->req->cancel || pend->attempts >= ATTEMPTS_MAX || !has_next_candidate(p, pend))
		return;
	if (!ht_retry_budget_spend(p->ingress_retry_budget, pend->req->service)) {
		ht_path_count(p, HT_C_retries_denied);
		ht_path_event(p, RETRY_DENIED, pend->req, 0, 0, "why=budget");
		return;
	}
	pend->candidate++;
	pend->flags |= HT__FORWARD_FLAG__FORWARD_RETRY;
	ht_path_count(p, HT_C_retries);
	ht_path_event(p, REQUEST_RETRIED, pend->req, 0, 0, "side=ingress why=%s", why);
	send_attempt(p, pend);
}

/*
 * Sends a request that has waited for a newer configuration. Sets the timer first, as the attempt
 * may end the request; without it a lost attempt would leave the request without an answer.
 */
static void resume(struct ht_request_path *p, struct ht_pending *pend)
{
	ht_timer_set(p->timers, &pend->timer, timer_due(p, pend));
	send_attempt(p, pend);
}

static void on_pending_timer(void *ctx, struct ht_timer *timer)
{
	struct ht_request_path *p = ctx;
	struct ht_pending *pend = ht_container_of(timer, struct ht_pending, timer);

	if (p->env->now >= pend->deadline)
		refuse_at_deadline(p, pend);
	else if (pend->waited_for_config && !pend->outstanding)
		resume(p, pend);
	else
		retry(p, pend, "half_deadline");
}

static struct ht_pending *find_attempt(struct ht_request_path *p, uint64_t id,
				       unsigned int *attempt)
{
	uint64_t key = id >> 3;
	struct ht_pending *pend = g_hash_table_lookup(p->pending, &key);

	*attempt = (unsigned int)(id & 7);
	return pend && pend->outstanding & 1U << *attempt ? pend : NULL;
}

/*
 * A refusal of one attempt is final only when no other attempt is outstanding, and it says "not
 * run" only when no other attempt may have run.
 */
void ht_ingress_answer(struct ht_request_path *p, uint64_t id, const struct ht_answer *answer)
{
	unsigned int attempt;
	struct ht_pending *pend = find_attempt(p, id, &attempt);

	if (!pend)
		return;
	pend->outstanding &= ~(1U << attempt);
	if (answer->verdict != HT_RAN && answer->code != HT_UNAUTHORIZED && pend->outstanding) {
		if (answer->verdict == HT_MAY_HAVE_RUN)
			pend->worst_verdict = HT_MAY_HAVE_RUN;
		return;
	}
	if (answer->verdict == HT_NOT_RUN && pend->worst_verdict == HT_MAY_HAVE_RUN &&
	    answer->code != HT_UNAUTHORIZED) {
		struct ht_answer a = {.code = HT_GATEWAY_TIMEOUT, .verdict = HT_MAY_HAVE_RUN};

		finish(p, pend, &a);
		return;
	}
	finish(p, pend, answer);
}

/*
 * The home's process has ended. POST requests and cancellations are sent again without using the
 * budget: a ticket runs only at its issuer, so a second forward cannot run it twice. Other requests
 * are retried within the retry budget.
 */
static void on_home_ended(struct ht_request_path *p, struct ht_pending *pend)
{
	pend->forwarded = true;
	if (ht_stored_request_idempotent(pend->req))
		pend->worst_verdict = HT_MAY_HAVE_RUN;
	if (pend->outstanding)
		return;
	if (pend->req->has_ticket || !ht_stored_request_idempotent(pend->req) ||
	    pend->req->cancel) {
		send_attempt(p, pend);
		return;
	}
	if (!ht_retry_budget_spend(p->ingress_retry_budget, pend->req->service)) {
		ht_path_count(p, HT_C_retries_denied);
		ht_path_event(p, RETRY_DENIED, pend->req, 0, 0, "why=budget");
		refuse(p, pend, "home_ended");
		return;
	}
	ht_path_count(p, HT_C_retries);
	ht_path_event(p, REQUEST_RETRIED, pend->req, 0, 0, "side=ingress why=home_ended");
	pend->flags |= HT__FORWARD_FLAG__FORWARD_RETRY;
	send_attempt(p, pend);
}

void ht_ingress_returned(struct ht_request_path *p, struct ht_pending *pend,
			 enum ht_return_reason reason)
{
	if (reason == HT_RETURN_LOST) {
		on_home_ended(p, pend);
		return;
	}
	if (reason == HT_RETURN_NOT_SERVED && !pend->waited_for_config && !pend->outstanding) {
		ht_ms due = p->env->now + p->env->params.claim_wait;

		/* The home's configuration is newer: wait until it has been pulled. */
		pend->waited_for_config = true;
		ht_timer_set(p->timers, &pend->timer, due < pend->deadline ? due : pend->deadline);
		return;
	}
	if (pend->outstanding)
		return;
	pend->candidate++;
	send_attempt(p, pend);
}

/* Collects ids first, since @act may free or add pending requests. */
static void for_each_pending(struct ht_request_path *p,
			     bool (*match)(struct ht_pending *, uint64_t), uint64_t arg,
			     void (*act)(struct ht_request_path *, struct ht_pending *))
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
		struct ht_pending *pend = g_hash_table_lookup(p->pending, &ids[i]);

		if (pend)
			act(p, pend);
	}
	g_free(ids);
}

/* Clears outstanding attempts to @peer; true when there were any. */
static bool clear_attempts_to(struct ht_pending *pend, uint64_t peer)
{
	bool found = false;

	for (unsigned int i = 0; i < pend->attempts; i++) {
		if (pend->outstanding & 1U << i && pend->peers[i] == peer) {
			pend->outstanding &= ~(1U << i);
			found = true;
		}
	}
	return found;
}

void ht_ingress_peer_down(struct ht_request_path *p, uint64_t peer, enum ht_peer_down_reason reason)
{
	if (reason == HT_PEER_GONE)
		for_each_pending(p, clear_attempts_to, peer, on_home_ended);
}

static bool waits_for_config(struct ht_pending *pend, uint64_t unused)
{
	(void)unused;
	return pend->waited_for_config && !pend->outstanding;
}

void ht_ingress_config_changed(struct ht_request_path *p)
{
	for_each_pending(p, waits_for_config, 0, resume);
}
