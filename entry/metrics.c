#include "entry/metrics.h"

#include "base/exposition.h"
#include "entry/decisions.h"
#include "entry/explain.h"
#include "platform/http_server.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

/* Each scraper keeps one connection; a few more leave room for manual queries. */
#define CONNECTIONS_MAX 4

/* Maximum number of targets with samples of their own: each takes lines of about 100 bytes, and
 * the page should stay below 100 kB. */
#define TARGETS_MAX 256

#define METRIC(name) "hickorytrestle_" name

static const char metrics_path[] = "/metrics";

struct ht_metrics {
	struct ht_metrics_params params;
	struct ht_http_server *server;
};

static const char *const store_call_names[] = {
	[HT_CALL_LIST] = "list",
	[HT_CALL_WATCH] = "watch",
};

static void gauge(FILE *out, const char *metric, const char *help, double value)
{
	ht_exposition_begin(out, metric, "gauge", help);
	ht_exposition_sample(out, metric, "", NULL, value);
}

static void counter(FILE *out, const char *metric, const char *help, uint64_t value)
{
	ht_exposition_begin(out, metric, "counter", help);
	ht_exposition_sample(out, metric, "", NULL, (double)value);
}

static void labelled_sample(FILE *out, const char *metric, const char *label, const char *text,
			    double value)
{
	const struct ht_label labels[] = {{label, text}, {0}};

	ht_exposition_sample(out, metric, "", labels, value);
}

static void write_decisions(const struct ht_entry_stats *st, FILE *out)
{
	static const char metric[] = METRIC("decisions_total");

	ht_exposition_begin(out, metric, "counter", "Packets by what was decided and why.");
	for (int a = 0; a < HT_STEER_ACTIONS; a++) {
		for (int r = 0; r < HT_STEER_REASONS; r++) {
			const struct ht_label labels[] = {
				{"action", ht_steering_action_name((enum ht_steering_action)a)},
				{"reason", ht_steering_reason_name((enum ht_steering_reason)r)},
				{0}};

			if (st->decisions[a][r])
				ht_exposition_sample(out, metric, "", labels,
						     (double)st->decisions[a][r]);
		}
	}
}

static void write_events(const struct ht_entry_stats *st, FILE *out)
{
	ht_exposition_begin(out, METRIC("flow_events_total"), "counter",
			    "Steps of flows that were opened through this instance.");
	for (int i = 0; i < HT_FLOW_EVENTS; i++)
		labelled_sample(out, METRIC("flow_events_total"), "event",
				ht_flow_event_name((enum ht_flow_event)i),
				(double)st->flow_events[i]);
	ht_exposition_begin(out, METRIC("belief_changes_total"), "counter",
			    "Doubts about targets and data centres that grew or ended.");
	for (int i = 0; i < HT_HEALTH_CAUSES; i++)
		labelled_sample(out, METRIC("belief_changes_total"), "cause",
				ht_health_cause_name((enum ht_health_cause)i),
				(double)st->health_changes[i]);
	counter(out, METRIC("packets_malformed_total"), "Packets without a usable head.",
		st->malformed);
	counter(out, METRIC("packets_unsent_total"), "Packets that the kernel did not take.",
		st->unsent);
}

static void write_log(const struct ht_logger *log, FILE *out)
{
	static const char metric[] = METRIC("log_lines_total");
	struct ht_logger_counts counts;

	ht_logger_counts(log, &counts);
	ht_exposition_begin(out, metric, "counter", "Log lines by what became of them.");
	labelled_sample(out, metric, "outcome", "written", (double)counts.written);
	labelled_sample(out, metric, "outcome", "over_budget", (double)counts.over_budget);
	labelled_sample(out, metric, "outcome", "unwritten", (double)counts.unwritten);
}

static void write_ages(const struct ht_entry_stats *st, FILE *out)
{
	static const char metric[] = METRIC("view_age_seconds");
	const struct ht_label routes[] = {{"view", "routes"}, {0}};
	const struct ht_label targets[] = {{"view", "targets"}, {0}};

	ht_exposition_begin(out, metric, "histogram",
			    "Time since an exact read proved the view, looked at twice a second.");
	ht_exposition_histogram(out, metric, routes, &st->routes_age);
	ht_exposition_histogram(out, metric, targets, &st->targets_age);
}

static void write_store(const struct ht_entry_stats *st, FILE *out)
{
	static const char time[] = METRIC("store_call_seconds");
	static const char failed[] = METRIC("store_calls_failed_total");

	ht_exposition_begin(out, time, "histogram",
			    "Time of calls to the store; a watch waits there for changes.");
	for (int k = 0; k < HT_STORE_KINDS; k++) {
		for (int c = 0; c < HT_STORE_CALLS; c++) {
			const struct ht_label labels[] = {
				{"kind", ht_store_kind_name((enum ht_store_kind)k)},
				{"call", store_call_names[c]},
				{0}};

			ht_exposition_histogram(out, time, labels, &st->store[k][c].time);
		}
	}
	ht_exposition_begin(out, failed, "counter", "Calls to the store without a usable answer.");
	for (int k = 0; k < HT_STORE_KINDS; k++) {
		for (int c = 0; c < HT_STORE_CALLS; c++) {
			const struct ht_label labels[] = {
				{"kind", ht_store_kind_name((enum ht_store_kind)k)},
				{"call", store_call_names[c]},
				{0}};

			ht_exposition_sample(out, failed, "", labels,
					     (double)st->store[k][c].failed);
		}
	}
}

static const char *const message_names[] = {
	[HT_LINK_GREETING] = "greeting",	[HT_LINK_ANNOUNCEMENT] = "news",
	[HT_LINK_EVIDENCE] = "evidence",	[HT_LINK_LOAD] = "load",
	[HT_LINK_SNAPSHOT_REQUEST] = "request", [HT_LINK_DIFF_SNAPSHOT] = "difference",
	[HT_LINK_FULL_SNAPSHOT] = "view",
};

static void write_direction(FILE *out, const char *direction, const struct ht_message_stats *st)
{
	for (int i = 0; i < HT_LINK_MESSAGES; i++) {
		const struct ht_label labels[] = {
			{"direction", direction}, {"kind", message_names[i]}, {0}};

		ht_exposition_sample(out, METRIC("neighbour_messages"), "_sum", labels,
				     (double)st[i].bytes);
		ht_exposition_sample(out, METRIC("neighbour_messages"), "_count", labels,
				     (double)st[i].count);
	}
}

static void write_link(const struct ht_link_stats *st, FILE *out)
{
	ht_exposition_begin(
		out, METRIC("neighbour_messages"), "summary",
		"Messages between instances and their bytes, without heads of packets.");
	write_direction(out, "sent", st->sent);
	write_direction(out, "received", st->received);
	counter(out, METRIC("neighbour_datagrams_unsent_total"),
		"Datagrams to instances that the kernel did not take.", st->unsent);
}

static void write_service(void *ctx, const struct ht_service *s)
{
	const struct ht_label labels[] = {{"service", s->name}, {0}};
	FILE *out = ctx;

	if (s->answer_time.count)
		ht_exposition_histogram(out, METRIC("answer_seconds"), labels, &s->answer_time);
}

struct target_page {
	FILE *out;
	size_t shown, left_out;
	size_t gone, draining, suspected;
	ht_ms now;
};

static void write_target(void *ctx, struct ht_target *t)
{
	const struct ht_label labels[] = {{"target", t->name}, {"service", t->service->name}, {0}};
	struct target_page *page = ctx;

	page->gone += t->gone_at != HT_NEVER;
	page->draining += t->draining;
	page->suspected += ht_evidence_suspected(&t->evidence, page->now);
	if (!t->answers)
		return;
	if (page->shown == TARGETS_MAX) {
		page->left_out++;
		return;
	}
	page->shown++;
	ht_exposition_sample(page->out, METRIC("target_answer_seconds"), "_sum", labels,
			     (double)t->answers_ms / 1000);
	ht_exposition_sample(page->out, METRIC("target_answer_seconds"), "_count", labels,
			     (double)t->answers);
}

static void write_targets(struct ht_catalog *cat, FILE *out)
{
	struct target_page page = {.out = out, .now = ht_now()};

	ht_exposition_begin(out, METRIC("answer_seconds"), "histogram",
			    "From a caller's data to its acknowledgement of the answer.");
	ht_catalog_each_service(cat, write_service, out);
	ht_exposition_begin(out, METRIC("target_answer_seconds"), "summary",
			    "The same by target, for the first targets with answers.");
	ht_catalog_each_target(cat, write_target, &page);
	gauge(out, METRIC("targets_not_shown"), "Targets with answers beyond the shown ones.",
	      (double)page.left_out);
	gauge(out, METRIC("targets"), "Targets known, gone ones included.",
	      (double)ht_catalog_target_count(cat));
	gauge(out, METRIC("targets_gone"), "Targets whose entry is missing in the store.",
	      (double)page.gone);
	gauge(out, METRIC("targets_draining"), "Targets that take no new flows.",
	      (double)page.draining);
	gauge(out, METRIC("targets_doubted"), "Targets left out for doubt.",
	      (double)page.suspected);
}

static double age_seconds(ht_ms age)
{
	return age == HT_NEVER ? -1 : (double)age / 1000;
}

/* Figures of the load by data centre. */
struct load_metric {
	const char *name, *help;
	size_t offset; /* in struct ht_admission_dc */
};

struct overload_page {
	FILE *out;
	const struct ht_catalog *catalog;
	const struct load_metric *metric;
	ht_ms now;
};

static const struct load_metric load_metrics[] = {
	{METRIC("load_in_flight"),
	 "Requests in flight at the targets of a data centre, as the plan sees them.",
	 offsetof(struct ht_admission_dc, open)},
	{METRIC("load_slots"), "Slots of these targets; cold ones count half.",
	 offsetof(struct ht_admission_dc, slots)},
	{METRIC("load_answers_per_second"), "Responses of these targets, errors included.",
	 offsetof(struct ht_admission_dc, answered)},
	{METRIC("load_refusals_per_second"), "Responses of these targets that look like refusals.",
	 offsetof(struct ht_admission_dc, shed)},
};

static void write_load_of(void *ctx, const struct ht_service *s)
{
	const struct ht_admission_input *load = &s->basis.load;
	const struct overload_page *page = ctx;

	if (!s->basis.made_at)
		return;
	for (size_t i = 0; i < load->dc_count; i++) {
		char name[HT_DC_TEXT];
		const struct ht_label labels[] = {
			{"service", s->name},
			{"dc", ht_dc_text(name, page->catalog, load->dcs[i].dc)},
			{0}};
		const double *value =
			(const void *)((const char *)&load->dcs[i] + page->metric->offset);

		ht_exposition_sample(page->out, page->metric->name, "", labels, *value);
	}
}

static void write_source(void *ctx, const struct ht_service *s)
{
	const struct overload_page *page = ctx;

	if (s->basis.made_at)
		labelled_sample(page->out, METRIC("load_shared"), "service", s->name,
				s->basis.load.source == HT_LOAD_SHARED);
}

static void write_load_age(void *ctx, const struct ht_service *s)
{
	const struct overload_page *page = ctx;

	if (s->basis.made_at)
		labelled_sample(page->out, METRIC("load_age_seconds"), "service", s->name,
				age_seconds(ht_plan_basis_age(&s->basis, page->now)));
}

static void write_rate(void *ctx, const struct ht_service *s)
{
	const struct overload_page *page = ctx;

	if (s->basis.made_at)
		labelled_sample(page->out, METRIC("full_load_rate"), "service", s->name,
				s->plan.rate);
}

/* Classes may have the same priority, but then differ in aim or limit. */
static void write_plan(void *ctx, const struct ht_service *s)
{
	const struct ht_admission_plan *plan = &s->plan;
	const struct overload_page *page = ctx;

	for (size_t i = 0; i < plan->class_count; i++) {
		const struct ht_load_terms *terms = &plan->classes[i];
		char priority[16], aim[24], limit[24];
		const struct ht_label labels[] = {{"service", s->name},
						  {"priority", priority},
						  {"aim_ms", aim},
						  {"limit_ms", limit},
						  {0}};

		snprintf(priority, sizeof(priority), "%u", terms->priority);
		snprintf(aim, sizeof(aim), "%lld", (long long)terms->aim);
		snprintf(limit, sizeof(limit), "%lld", (long long)terms->limit);
		ht_exposition_sample(page->out, METRIC("admitted_share"), "", labels,
				     plan->admit[i]);
	}
}

static void write_share(void *ctx, const struct ht_service *s)
{
	const struct ht_admission_plan *plan = &s->plan;
	const struct overload_page *page = ctx;

	for (size_t i = 0; plan->short_of_room && i < plan->dc_count; i++) {
		char name[HT_DC_TEXT];
		const struct ht_label labels[] = {
			{"service", s->name},
			{"dc", ht_dc_text(name, page->catalog, plan->dcs[i])},
			{0}};

		ht_exposition_sample(page->out, METRIC("planned_share"), "", labels,
				     plan->share[i]);
	}
}

static const char *const turned_away_names[] = {
	[HT_TURNED_AWAY_REFUSED] = "refused",
	[HT_TURNED_AWAY_DELAYED] = "delayed",
	[HT_TURNED_AWAY_DEFERRED] = "deferred",
};

static void write_turned_away(void *ctx, const struct ht_service *s)
{
	const struct overload_page *page = ctx;

	for (size_t i = 0; i <= HT_TURNED_AWAY_PRIORITIES; i++) {
		const struct ht_turned_away_count *count = &s->turned_away[i];
		char priority[16] = "other";

		if (i < HT_TURNED_AWAY_PRIORITIES)
			snprintf(priority, sizeof(priority), "%u", count->priority);
		for (int kind = 0; kind < HT_TURNED_AWAY_KINDS; kind++) {
			const struct ht_label labels[] = {{"service", s->name},
							  {"priority", priority},
							  {"outcome", turned_away_names[kind]},
							  {0}};

			if (count->packets[kind])
				ht_exposition_sample(page->out, METRIC("turned_away_total"), "",
						     labels, (double)count->packets[kind]);
		}
	}
}

static void write_short(void *ctx, const struct ht_service *s)
{
	const struct overload_page *page = ctx;

	labelled_sample(page->out, METRIC("capacity_short"), "service", s->name,
			s->plan.short_of_room);
}

static void write_overload(const struct ht_catalog *cat, FILE *out)
{
	static const struct {
		const char *name, *type, *help;
		void (*write)(void *ctx, const struct ht_service *s);
	} metrics[] = {
		{METRIC("capacity_short"), "gauge",
		 "1 while new flows of the service are admitted by a plan.", write_short},
		{METRIC("load_shared"), "gauge",
		 "1 if the plan is based on the load that instances share, 0: on own counts.",
		 write_source},
		{METRIC("load_age_seconds"), "gauge",
		 "Age of the oldest part of the load that the plan is based on; -1: no report yet.",
		 write_load_age},
		{METRIC("full_load_rate"), "gauge",
		 "Requests per second and slot at full load; 0: unknown.", write_rate},
		{METRIC("admitted_share"), "gauge",
		 "Share of new flows admitted, by priority, aim and limit of the route.",
		 write_plan},
		{METRIC("planned_share"), "gauge",
		 "Share of admitted new flows by data centre, while capacity is short.",
		 write_share},
		{METRIC("turned_away_total"), "counter",
		 "Opening packets refused or delayed by a plan, or deferred by own counts.",
		 write_turned_away},
	};
	struct overload_page page = {.out = out, .catalog = cat, .now = ht_now()};

	for (size_t i = 0; i < sizeof(load_metrics) / sizeof(load_metrics[0]); i++) {
		page.metric = &load_metrics[i];
		ht_exposition_begin(out, page.metric->name, "gauge", page.metric->help);
		ht_catalog_each_service(cat, write_load_of, &page);
	}
	for (size_t i = 0; i < sizeof(metrics) / sizeof(metrics[0]); i++) {
		ht_exposition_begin(out, metrics[i].name, metrics[i].type, metrics[i].help);
		ht_catalog_each_service(cat, metrics[i].write, &page);
	}
}

static void write_evacuated(void *ctx, const struct ht_dc *dc)
{
	labelled_sample(ctx, METRIC("evacuated"), "dc", dc->name, 1);
}

static void write_state(const struct ht_metrics_params *p, FILE *out)
{
	struct ht_metrics_state state;

	p->state(p->ctx, &state);
	gauge(out, METRIC("ready"), "1 while the routers are told to send packets.", state.ready);
	gauge(out, METRIC("overload_control"), "1 while overload control is switched on.",
	      state.overload_control);
	gauge(out, METRIC("flows"), "Flows in the table.",
	      (double)ht_steering_flow_count(p->steering));
	gauge(out, METRIC("neighbours"), "Other instances known.", (double)state.neighbours);
	gauge(out, METRIC("store_standby"), "1 while a neighbour reads the store for this one.",
	      state.view.standby);
	gauge(out, METRIC("config_version"), "Version of the configuration in force.",
	      (double)state.view.routes.version);
	gauge(out, METRIC("routes_revision"), "Revision of the configuration in force.",
	      (double)state.view.routes.revision.number);
	gauge(out, METRIC("targets_revision"), "Changes of targets are known up to it.",
	      (double)state.view.targets.number);
	gauge(out, METRIC("store_era"), "Era of the store: it rises with each return from a copy.",
	      (double)state.view.era);
	gauge(out, METRIC("targets_restored"),
	      "Targets that had left, and that a copy of the store has brought back: not used.",
	      (double)ht_catalog_restored(p->catalog));
	counter(out, METRIC("routes_unreadable_total"),
		"Routes in configurations read from the store that could not be read.",
		p->stats->routes_unreadable);
	ht_exposition_begin(out, METRIC("evacuated"), "gauge",
			    "1 for each data centre whose targets get no new flows.");
	ht_catalog_each_evacuated(p->catalog, write_evacuated, out);
	gauge(out, METRIC("routes_age_seconds"), "Since the routes were proven; -1: never.",
	      age_seconds(state.view.routes_age));
	gauge(out, METRIC("targets_age_seconds"), "Since the targets were proven; -1: never.",
	      age_seconds(state.view.targets_age));
}

void ht_metrics_write(const struct ht_metrics_params *p, FILE *out)
{
	write_state(p, out);
	write_decisions(p->stats, out);
	write_events(p->stats, out);
	ht_exposition_begin(out, METRIC("decision_seconds"), "histogram",
			    "Time of a decision, measured for one packet in 64.");
	ht_exposition_histogram(out, METRIC("decision_seconds"), NULL, &p->stats->decision_time);
	ht_exposition_begin(out, METRIC("open_to_data_seconds"), "histogram",
			    "From a flow's opening packet to the caller's first data.");
	ht_exposition_histogram(out, METRIC("open_to_data_seconds"), NULL, &p->stats->open_to_data);
	write_targets(p->catalog, out);
	write_overload(p->catalog, out);
	write_ages(p->stats, out);
	write_store(p->stats, out);
	counter(out, METRIC("store_returns_total"),
		"Returns of the store from an older copy that were seen.", p->stats->store_returns);
	write_link(&p->stats->link, out);
	write_log(p->log, out);
}

static FILE *open_body(struct ht_http_answer *ans)
{
	FILE *out = open_memstream(&ans->body, &ans->len);

	if (!out)
		ans->status = "500 Internal Server Error";
	return out;
}

static void answer_metrics(const struct ht_metrics_params *p, struct ht_http_answer *ans)
{
	FILE *out = open_body(ans);

	if (!out)
		return;
	ht_metrics_write(p, out);
	fclose(out);
	ans->status = "200 OK";
	ans->type = HT_EXPOSITION_TYPE;
}

/* @text: what follows the path, beginning with '?' if there is a query. */
static void answer_explain(const struct ht_metrics_params *p, const char *text,
			   struct ht_http_answer *ans)
{
	FILE *out = open_body(ans);
	struct ht_explain_query query;
	struct ht_err err;

	if (!out)
		return;
	if (ht_explain_parse(&query, *text ? text + 1 : text, &err)) {
		ans->status = "200 OK";
		ht_explain_write(p->steering, &query, out, ht_now());
	} else {
		ans->status =
			err.code == HT_ENOMEM ? "500 Internal Server Error" : "400 Bad Request";
		fprintf(out, "%s; expected " HT_EXPLAIN_PATH "?from=IP:PORT&to=IP:PORT\n",
			err.text);
	}
	fclose(out);
}

void ht_metrics_answer(const struct ht_metrics_params *p, const char *path,
		       struct ht_http_answer *ans)
{
	static const char explain[] = HT_EXPLAIN_PATH;
	const char *rest = path + sizeof(explain) - 1;

	if (strcmp(path, metrics_path) == 0)
		answer_metrics(p, ans);
	else if (strncmp(path, explain, sizeof(explain) - 1) == 0 && (!*rest || *rest == '?'))
		answer_explain(p, rest, ans);
}

static void answer(void *ctx, const char *path, struct ht_http_answer *ans)
{
	const struct ht_metrics *m = ctx;

	ht_metrics_answer(&m->params, path, ans);
}

struct ht_metrics *ht_metrics_new(const struct ht_metrics_params *params, struct ht_err *err)
{
	struct ht_metrics *m = calloc(1, sizeof(*m));

	if (!m) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	m->params = *params;
	m->server = ht_http_server_new(
		&(struct ht_http_server_params){
			.loop = params->loop,
			.address = params->address,
			.purpose = "metrics",
			.connections_max = CONNECTIONS_MAX,
			.handle = answer,
			.ctx = m,
		},
		err);
	if (m->server)
		return m;
	free(m);
	return NULL;
}

void ht_metrics_free(struct ht_metrics *m)
{
	if (!m)
		return;
	ht_http_server_free(m->server);
	free(m);
}
