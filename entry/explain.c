#include "entry/explain.h"

#include "base/addr.h"
#include "entry/decisions.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <math.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

/* Factors closer to 1 would be shown as 1.00. */
#define NOTICEABLE 0.005

static bool parse_endpoint(struct ht_endpoint *at, const char *text, struct ht_err *err)
{
	const struct sockaddr_in *in;
	struct ht_addr addr;

	if (!ht_addr_parse(&addr, text, err))
		return false;
	in = (const struct sockaddr_in *)&addr.ss;
	if (addr.ss.ss_family != AF_INET)
		return ht_err_set(err, HT_EINVAL, "'%s' is not an IPv4 address", text);
	*at = (struct ht_endpoint){.ip = ntohl(in->sin_addr.s_addr), .port = ntohs(in->sin_port)};
	return true;
}

static bool parse_field(struct ht_explain_query *query, char *field, bool seen[2],
			struct ht_err *err)
{
	char *value = strchr(field, '=');
	bool to;

	if (!value)
		return ht_err_set(err, HT_EINVAL, "'%s' has no value", field);
	*value++ = '\0';
	to = strcmp(field, "to") == 0;
	if (!to && strcmp(field, "from") != 0)
		return ht_err_set(err, HT_EINVAL, "'%s' is not known", field);
	if (seen[to])
		return ht_err_set(err, HT_EINVAL, "'%s' is given twice", field);
	seen[to] = true;
	if (!parse_endpoint(to ? &query->to : &query->from, value, err))
		return ht_err_prefix(err, "%s", field);
	return true;
}

bool ht_explain_parse(struct ht_explain_query *query, const char *text, struct ht_err *err)
{
	char *copy = strdup(text), *rest = NULL;
	bool seen[2] = {false, false}, ok = copy;

	if (!copy)
		return ht_err_set(err, HT_ENOMEM, "out of memory");
	for (char *field = strtok_r(copy, "&", &rest); ok && field;
	     field = strtok_r(NULL, "&", &rest))
		ok = parse_field(query, field, seen, err);
	free(copy);
	if (!ok)
		return false;
	if (!seen[0] || !seen[1])
		return ht_err_set(err, HT_EINVAL, "%s is missing", seen[0] ? "to" : "from");
	return true;
}

static const char *reason_text(enum ht_steering_reason reason)
{
	static const char *const texts[HT_STEER_REASONS] = {
		[HT_STEER_PLACED] = "a target takes the flow",
		[HT_STEER_DEFERRED] = "others go first; a later copy of the packet may be placed",
		[HT_STEER_NO_ROOM] = "capacity is short and others go first",
		[HT_STEER_ALL_COLD] = "all targets are cold or hold as many flows as they may",
		[HT_STEER_NO_VIEW] = "routes and targets have not been read completely",
		[HT_STEER_STALE_VIEW] = "routes or targets are older than their bound",
		[HT_STEER_NO_ROUTE] = "the configuration has no such address",
		[HT_STEER_UNREADABLE_ROUTE] = "the route could not be read",
		[HT_STEER_NO_TARGET] = "no target can take a new flow",
	};

	return reason < HT_STEER_REASONS && texts[reason] ? texts[reason] : "";
}

static void write_verdict(const struct ht_steering_explanation *ex, FILE *out)
{
	const struct ht_steering_decision *d = &ex->decision;

	if (ex->incomplete) {
		fputs("verdict: not known, out of memory\n", out);
		return;
	}
	fprintf(out, "verdict: %s reason=%s: %s\n", ht_steering_action_name(d->action),
		ht_steering_reason_name(d->reason), reason_text(d->reason));
	if (d->capacity > 0)
		fprintf(out, "limit here: open=%.0f limit=%.1f\n", d->open, d->capacity);
	if (d->target)
		fprintf(out, "target: %s mark=%" PRIu32 " for the next new flow\n", d->target->name,
			d->mark);
}

static void write_route(const struct ht_steering_explanation *ex, FILE *out)
{
	const struct ht_route *r = ex->route;

	if (!r) {
		fputs("route: not known\n", out);
		return;
	}
	fprintf(out, "route: known priority=%" PRIu32 " aim_ms=%" PRId64 " limit_ms=%" PRId64 "\n",
		r->terms.priority, r->terms.aim, r->terms.limit);
	for (size_t i = 0; i < r->share_count; i++)
		fprintf(out, "split: service=%s weight=%" PRIu32 " targets=%zu%s\n",
			r->shares[i].service->name, r->shares[i].weight,
			r->shares[i].service->count,
			r->shares[i].service == ex->service ? " picked" : "");
	if (ex->replaced)
		fprintf(out, "tracked: a flow with these addresses at target=%s, which ends\n",
			ex->replaced->name);
}

/* Name of a data centre by its key, if a target of the service is there. */
static const char *dc_name(const struct ht_service *s, uint32_t key, char buf[16])
{
	for (size_t i = 0; i < s->count; i++)
		if (s->targets[i]->dc->key == key)
			return s->targets[i]->dc->name;
	snprintf(buf, 16, "%08" PRIx32, key);
	return buf;
}

static void write_capacity(const struct ht_steering_explanation *ex, FILE *out)
{
	const struct ht_service *s = ex->service;
	const struct ht_admission_plan *plan = &s->plan;
	bool short_of_room = ht_service_is_short(s);
	char buf[16];

	fprintf(out, "capacity: %s\n", short_of_room ? "short" : "not short");
	if (short_of_room && ex->has_class)
		fprintf(out, "class: admitted=%.2f, the rest is %s\n", ex->admit,
			ex->delay ? "delayed" : "refused");
	for (size_t i = 0; short_of_room && i < plan->dc_count; i++)
		fprintf(out, "share: dc=%s of the admitted flows=%.2f\n",
			dc_name(s, plan->dcs[i], buf), plan->share[i]);
	if (!ex->has_load)
		fputs("load: not collected\n", out);
	else if (ex->load_age == HT_NEVER)
		fputs("load: not known yet\n", out);
	else
		fprintf(out, "load: source=%s age_ms=%" PRId64 "\n",
			ex->source == HT_LOAD_SHARED ? "shared" : "own", ex->load_age);
}

static void write_factor(const char *name, double value, FILE *out)
{
	if (fabs(value - 1) >= NOTICEABLE)
		fprintf(out, " %s=*%.2f", name, value);
}

static void write_candidate(const struct ht_explained_target *e,
			    const struct ht_steering_explanation *ex, FILE *out)
{
	const struct ht_placing_candidate *c = &e->candidate;
	const struct ht_target *t = c->target;

	fprintf(out, "  %s dc=%s fit=%s cost=%.2f open=%" PRIu32 " slots=%" PRIu32, t->name,
		t->dc->name, ht_placing_fit_name(c->fit), c->cost, c->parts.open, t->slots);
	write_factor("speed", c->parts.speed, out);
	write_factor("errors", c->parts.errors, out);
	write_factor("full", c->parts.full, out);
	write_factor("remote", c->parts.remote, out);
	write_factor("dc_suspected", c->parts.dc_suspected, out);
	write_factor("suspected", c->parts.suspected, out);
	write_factor("cold", c->parts.cold, out);
	if (ex->planned)
		fprintf(out, " dc_share=%.2f", c->share);
	if (e->listed)
		fprintf(out, " listed_open=%" PRIu32 " listed_flows=%" PRIu32, e->load.open,
			e->load.flows);
	if (t->service->flows_max)
		fprintf(out, " flows=%" PRIu32 " flows_max=%" PRIu32, t->flows,
			t->service->flows_max);
	fputs(t == ex->decision.target ? " chosen\n" : "\n", out);
}

static void write_candidates(const struct ht_steering_explanation *ex, FILE *out)
{
	fprintf(out, "candidates: %zu shown, %zu examined, %zu known\n", ex->candidate_count,
		ex->examined, ex->service->count);
	fputs(ex->planned ? "rule: a data centre is drawn by the shares, two of its targets are "
			    "drawn, and the cheaper one is taken\n"
			  : "rule: the cheapest target is taken, by chance among equal ones\n",
	      out);
	fputs("cost: (open + 1) / slots, times the factors\n", out);
	for (size_t i = 0; i < ex->candidate_count; i++)
		write_candidate(&ex->candidates[i], ex, out);
}

void ht_explain_write(const struct ht_steering *st, const struct ht_explain_query *query, FILE *out,
		      ht_ms now)
{
	struct ht_steering_explanation ex;
	char flow[HT_FLOW_TEXT];

	ht_steering_explain(st, query->from, query->to, &ex, now);
	fprintf(out, "flow: %s, first copy of its opening packet\n",
		ht_flow_text(flow, query->from, query->to));
	write_verdict(&ex, out);
	write_route(&ex, out);
	if (!ex.service)
		return;
	write_capacity(&ex, out);
	if (!ex.incomplete)
		write_candidates(&ex, out);
}
