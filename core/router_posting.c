/*
 * Postings: a ticket is issued first, and a posting runs only through the incarnation that issued
 * its ticket, at most once.
 */
#include "core/path.h"

#include <string.h>

/* The receiver's estimate of the issuer's clock lags by the time the hand-over took. */
#define CLOCK_MARGIN 1000

void ht_posting_ticket(struct ht_request_path *p, const struct ht_body *body,
		       uint8_t raw[HT_TICKET_LEN])
{
	struct ht_ticket t = {
		.incarnation = p->env->params.incarnation,
		.issued = p->env->now,
		.sequence = ++p->ticket_sequence,
	};

	t.mac = ht_ticket_mac(&t, body->flow, p->env->params.ticket_key);
	ht_ticket_pack(&t, raw);
	ht_path_count(p, HT_C_tickets_issued);
}

void ht_posting_issue(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_answer a = {.code = HT_UNAUTHORIZED, .has_ticket = true};

	ht_posting_ticket(p, job->body, a.ticket);
	ht_path_event(p, TICKET_ISSUED, job->body, job->target, 0, "sequence=%u",
		      p->ticket_sequence);
	ht_reply_all(p, job, &a);
	ht_job_free(p, job);
}

void ht_posting_seal(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_entry *e = job->entry ? job->entry : ht_ledger_find(p->ledger, job->body);

	if (!e)
		e = ht_ledger_add(p->ledger, job->body, HT_ENTRY_SEALED, p->env->now);
	if (!e)
		return;
	ht_ledger_change(p->ledger, e, HT_ENTRY_SEALED, p->env->now);
	ht_handover_update(p, e);
	ht_path_event(p, TICKET_SEALED, job->body, job->target, 0, "ledger=%zu",
		      ht_ledger_count(p->ledger));
}

void ht_posting_strip(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_body *body = ht_body_without_ticket(job->body);

	if (!body) {
		ht_reply_unavailable(p, job, "memory");
		ht_job_free(p, job);
		return;
	}
	ht_body_put(job->body);
	job->body = body;
	job->flags = 0;
	job->sender = p->env->self;
	job->hop_id = 0;
	job->stripped = true;
	ht_home_decide(p, job);
}

static void may_have_run(struct ht_request_path *p, struct ht_job *job, const char *why)
{
	ht_path_event(p, TICKET_UNKNOWN, job->body, job->target, 0, "why=%s", why);
	ht_reply_may_have_run(p, job, why);
	ht_job_free(p, job);
}

/* The ledger knows the ticket. */
static void known_entry(struct ht_request_path *p, struct ht_job *job, struct ht_entry *e)
{
	/* Entries that were handed over do not carry the hash of the content. */
	if (e->content && e->content != job->body->content) {
		may_have_run(p, job, "ticket_used_for_other_content");
		return;
	}
	if (e->job && !e->job->answered && ht_job_attach(e->job, job)) {
		ht_path_event(p, REQUEST_ATTACHED, job->body, e->target, 0, "waiters=%u",
			      e->job->waiter_count);
		ht_job_free(p, job);
		return;
	}
	switch (e->state) {
	case HT_ENTRY_ANSWERED:
		ht_path_count(p, HT_C_replays);
		ht_path_event(p, REQUEST_REPLAYED, job->body, e->target, 0, "verdict=%s",
			      ht_verdict_name(e->verdict));
		ht_reply_entry(p, job, e);
		ht_job_free(p, job);
		break;
	case HT_ENTRY_SEALED:
		ht_posting_strip(p, job);
		break;
	default:
		may_have_run(p, job, "outcome_unknown");
		break;
	}
}

/* The target that this instance would run the posting at, or NULL. */
static struct ht_target *runnable(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	const struct ht_service_conf *svc = cfg ? ht_config_service(cfg, job->body->service) : NULL;
	uint64_t id = ht_flows_use(p->flows, job->body->flow, p->env->now, NULL);
	const struct ht_target_conf *conf = ht_service_target(svc, id);
	struct ht_row row;

	ht_placement_row(&row, svc, job->body->flow);
	for (unsigned int i = 0; i < row.count && !conf; i++) {
		if (p->membership->home(p->membership->ctx, row.at[i]->id, row.at[i]->dc) ==
		    p->env->self)
			conf = row.at[i];
	}
	if (!conf)
		return NULL;
	job->target = conf->id;
	return ht_home_can_queue(p, job, conf) ? g_hash_table_lookup(p->targets, &conf->id) : NULL;
}

static void issuer(struct ht_request_path *p, struct ht_job *job, const struct ht_ticket *t)
{
	struct ht_entry *e = ht_ledger_find(p->ledger, job->body);
	ht_ms age = p->env->now - t->issued;
	struct ht_target *target;

	if (t->mac != ht_ticket_mac(t, job->body->flow, p->env->params.ticket_key)) {
		may_have_run(p, job, "ticket_of_another_flow");
	} else if (e) {
		known_entry(p, job, e);
	} else if (age < 0 || age >= HT_LEDGER_KEEP) {
		may_have_run(p, job, "ticket_expired");
	} else if (age >= HT_TICKET_FRESH) {
		ht_posting_strip(p, job);
	} else {
		target = runnable(p, job);
		if (target && !p->ledger_closed) {
			ht_home_accept(p, job, target);
			return;
		}
		ht_posting_seal(p, job);
		ht_posting_strip(p, job);
	}
}

/* The ledger of the issuer was handed over whole, so its absence there proves "not run". */
static void look_up_handed_over(struct ht_request_path *p, struct ht_job *job,
				const struct ht_ticket *t)
{
	ht_ms age;

	if (!ht_handover_complete(p, t->incarnation, &age)) {
		may_have_run(p, job, "issuer_lost");
		return;
	}
	age -= t->issued;
	if (age < 0 || age + CLOCK_MARGIN >= HT_LEDGER_KEEP)
		may_have_run(p, job, "ticket_expired");
	else
		ht_posting_strip(p, job);
}

/* Where else the ticket may be known: its issuer, or the home of the flow. */
static bool pass_on(struct ht_request_path *p, struct ht_job *job, const struct ht_ticket *t)
{
	struct ht_config *cfg = p->config->current(p->config->ctx);
	const struct ht_service_conf *svc = cfg ? ht_config_service(cfg, job->body->service) : NULL;
	uint64_t issuer_at = p->membership->by_incarnation(p->membership->ctx, t->incarnation);
	uint64_t flow_at = ht_flows_use(p->flows, job->body->flow, p->env->now, NULL);
	const struct ht_target_conf *conf;
	struct ht_row row;
	uint64_t home;

	if (!job->hops_left)
		return false;
	if (issuer_at && issuer_at != p->env->self && issuer_at != job->sender &&
	    ht_hop_send(p, job, issuer_at, job->target, 0, INFINITY))
		return true;
	ht_placement_row(&row, svc, job->body->flow);
	conf = ht_service_target(svc, flow_at);
	if (!conf && row.count)
		conf = row.at[0];
	home = conf ? p->membership->home(p->membership->ctx, conf->id, conf->dc) : 0;
	if (!home || home == p->env->self || home == job->sender ||
	    ht_handover_complete(p, t->incarnation, NULL))
		return false;
	return ht_hop_send(p, job, home, conf->id, 0, INFINITY);
}

void ht_posting_decide(struct ht_request_path *p, struct ht_job *job)
{
	struct ht_entry *e;
	struct ht_ticket t;

	ht_ticket_unpack(&t, job->body->ticket);
	if (t.incarnation == p->env->params.incarnation) {
		issuer(p, job, &t);
		return;
	}
	e = ht_ledger_find(p->ledger, job->body);
	if (e && (e->state == HT_ENTRY_ANSWERED || e->state == HT_ENTRY_SEALED)) {
		known_entry(p, job, e);
		return;
	}
	if (pass_on(p, job, &t))
		return;
	if (e)
		known_entry(p, job, e);
	else
		look_up_handed_over(p, job, &t);
}
