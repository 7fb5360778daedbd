#include "entry/decisions.h"

#include "core/flow_table.h"
#include "core/split.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct ht_decisions {
	struct ht_decisions_params params;
};

/* Fields of a log line, truncated if they do not fit. */
struct fields {
	char text[HT_LOG_LINE_MAX];
	size_t len;
};

static void append(struct fields *f, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

static void append(struct fields *f, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(f->text + f->len, sizeof(f->text) - f->len, fmt, ap);
	va_end(ap);
	f->len += (size_t)n;
	if (f->len >= sizeof(f->text))
		f->len = sizeof(f->text) - 1;
}

static size_t format_endpoint(char *out, size_t size, struct ht_endpoint at)
{
	return (size_t)snprintf(out, size, "%u.%u.%u.%u:%u", at.ip >> 24, at.ip >> 16 & 255,
				at.ip >> 8 & 255, at.ip & 255, at.port);
}

const char *ht_endpoint_text(char buf[HT_ENDPOINT_TEXT], struct ht_endpoint at)
{
	format_endpoint(buf, HT_ENDPOINT_TEXT, at);
	return buf;
}

const char *ht_flow_text(char buf[HT_FLOW_TEXT], struct ht_endpoint src, struct ht_endpoint dst)
{
	size_t len = format_endpoint(buf, HT_FLOW_TEXT, src);

	buf[len++] = '-';
	format_endpoint(buf + len, HT_FLOW_TEXT - len, dst);
	return buf;
}

const char *ht_dc_text(char buf[HT_DC_TEXT], const struct ht_catalog *cat, uint32_t key)
{
	const char *name = ht_catalog_dc_name(cat, key);

	if (name)
		return name;
	snprintf(buf, HT_DC_TEXT, "%08x", key);
	return buf;
}

static void append_flow(struct fields *f, struct ht_endpoint src, struct ht_endpoint dst)
{
	char text[HT_FLOW_TEXT];

	append(f, "flow=%s", ht_flow_text(text, src, dst));
}

static long long time_left(ht_ms until, ht_ms now)
{
	return until > now ? (long long)(until - now) : 0;
}

/* State and health of a target; "alive_ms" is the time since its last sign of life, -1 without
 * one. */
static void append_target(struct fields *f, const struct ht_target *t, ht_ms now)
{
	const struct ht_evidence *ev = &t->evidence;

	append(f,
	       " target=%s dc=%s open=%u slots=%u misses=%u error_rate=%.2f doubt_ms=%lld "
	       "warm_ms=%lld"
	       " alive_ms=%lld answer_ms=%.0f state=%s",
	       t->name, t->dc->name, t->open, t->slots, ev->misses, ev->error_rate,
	       time_left(ev->suspected_until, now), time_left(t->warmup_ends_at, now),
	       ev->alive_at ? (long long)(now - ev->alive_at) : -1, ev->answer_ms,
	       t->gone_at != HT_NEVER ? "gone"
	       : t->draining	      ? "draining"
				      : "ready");
}

static void append_service(struct fields *f, const struct ht_service *s, ht_ms now)
{
	size_t suspected = 0;

	for (size_t i = 0; i < s->count; i++)
		suspected += ht_evidence_suspected(&s->targets[i]->evidence, now);
	append(f, " service=%s targets=%zu doubted=%zu", s->name, s->count, suspected);
}

static long long age_or_never(ht_ms ms)
{
	return ms == HT_NEVER ? -1 : (long long)ms;
}

/* Versions and ages of the view that the decision is based on; an age of -1 means never proven
 * by an exact read. */
static void append_view(struct fields *f, const struct ht_decisions *dec)
{
	char routes[HT_REVISION_TEXT], targets[HT_REVISION_TEXT];
	struct ht_view_state view;

	dec->params.view(dec->params.ctx, &view);
	append(f,
	       " version=%llu routes_revision=%s routes_age_ms=%lld targets_revision=%s"
	       " targets_age_ms=%lld",
	       (unsigned long long)view.routes.version,
	       ht_revision_text(routes, view.routes.revision), age_or_never(view.routes_age),
	       ht_revision_text(targets, view.targets), age_or_never(view.targets_age));
}

static bool sampled(const struct ht_decisions *dec, struct ht_endpoint src, struct ht_endpoint dst)
{
	return dec->params.sample && ht_flow_hash(src, dst) % dec->params.sample == 0;
}

static void log_placed(struct ht_decisions *dec, enum ht_event_number number,
		       const struct ht_packet *pkt, const struct ht_steering_decision *d, ht_ms now)
{
	struct fields f = {.len = 0};

	if (!ht_logger_admit(dec->params.log, number))
		return;
	append_flow(&f, pkt->src, pkt->dst);
	append(&f, " copy=%u", pkt->acknowledged);
	append_target(&f, d->target, now);
	append_service(&f, d->target->service, now);
	append_view(&f, dec);
	ht_logger_write(dec->params.log, number, "%s", f.text);
}

/* Logs a marked packet of a flow that another instance has opened. */
static void log_steered(struct ht_decisions *dec, const struct ht_packet *pkt,
			const struct ht_steering_decision *d)
{
	struct fields f = {.len = 0};

	if (!ht_logger_admit(dec->params.log, HT_EV_FLOW_STEERED))
		return;
	append_flow(&f, pkt->src, pkt->dst);
	append(&f, " target=%s dc=%s mark=%08x sequence=%u bytes=%u", d->target->name,
	       d->target->dc->name, pkt->mark, pkt->sequence, pkt->length);
	ht_logger_write(dec->params.log, HT_EV_FLOW_STEERED, "%s", f.text);
}

static void log_refused(struct ht_decisions *dec, enum ht_event_number number,
			const struct ht_packet *pkt, const struct ht_steering_decision *d,
			ht_ms now)
{
	const struct ht_route *route = ht_catalog_route(dec->params.catalog, pkt->dst);
	const struct ht_service *service = route ? ht_split_pick(route, pkt->src) : NULL;
	struct fields f = {.len = 0};

	if (!ht_logger_admit(dec->params.log, number))
		return;
	append_flow(&f, pkt->src, pkt->dst);
	append(&f, " reason=%s", ht_steering_reason_name(d->reason));
	if (pkt->opens)
		append(&f, " copy=%u", pkt->acknowledged);
	else
		append(&f, " mark=%08x", pkt->mark);
	if (d->reason == HT_STEER_DEFERRED && d->capacity > 0)
		append(&f, " open=%.0f room=%.1f", d->open, d->capacity);
	if (route && (d->reason == HT_STEER_DEFERRED || d->reason == HT_STEER_NO_ROOM))
		append(&f, " priority=%u by=%s", route->terms.priority,
		       d->capacity > 0 ? "flows" : "plan");
	if (service)
		append_service(&f, service, now);
	append_view(&f, dec);
	ht_logger_write(dec->params.log, number, "%s", f.text);
}

void ht_decisions_packet(struct ht_decisions *dec, const struct ht_packet *pkt,
			 const struct ht_steering_decision *d, ht_ms now)
{
	dec->params.stats->decisions[d->action][d->reason]++;
	switch (d->reason) {
	case HT_STEER_PLACED:
		if (sampled(dec, pkt->src, pkt->dst))
			log_placed(dec, HT_EV_FLOW_PLACED, pkt, d, now);
		break;
	case HT_STEER_REPLACED:
		log_placed(dec, HT_EV_FLOW_REPLACED, pkt, d, now);
		break;
	case HT_STEER_MARKED:
		if (!d->known && sampled(dec, pkt->src, pkt->dst))
			log_steered(dec, pkt, d);
		break;
	case HT_STEER_DEFERRED:
		log_refused(dec, HT_EV_FLOW_DEFERRED, pkt, d, now);
		break;
	default:
		log_refused(dec,
			    d->action == HT_STEER_RESET ? HT_EV_FLOW_RESET : HT_EV_FLOW_DROPPED,
			    pkt, d, now);
		break;
	}
}

void ht_decisions_malformed(struct ht_decisions *dec, size_t len)
{
	dec->params.stats->malformed++;
	ht_logger_event(dec->params.log, HT_EV_PACKET_MALFORMED, "length=%zu", len);
}

static const enum ht_event_number flow_event_numbers[] = {
	[HT_FLOW_UNANSWERED] = HT_EV_FLOW_UNANSWERED, [HT_FLOW_OPENED] = HT_EV_FLOW_PROGRESS,
	[HT_FLOW_REQUESTED] = HT_EV_FLOW_PROGRESS,    [HT_FLOW_REPEATED] = HT_EV_FLOW_REPEATED,
	[HT_FLOW_OVERDUE] = HT_EV_FLOW_OVERDUE,	      [HT_FLOW_ANSWERED] = HT_EV_FLOW_PROGRESS,
	[HT_FLOW_ERROR] = HT_EV_FLOW_ERROR,	      [HT_FLOW_ABANDONED] = HT_EV_FLOW_ABANDONED,
	[HT_FLOW_ENDED] = HT_EV_FLOW_PROGRESS,
};

static void on_flow(void *ctx, const struct ht_flow_info *facts, ht_ms now)
{
	enum ht_event_number number = flow_event_numbers[facts->event];
	struct ht_decisions *dec = ctx;
	struct fields f = {.len = 0};

	dec->params.stats->flow_events[facts->event]++;
	if (facts->event == HT_FLOW_REQUESTED)
		ht_histogram_add(&dec->params.stats->open_to_data, (double)facts->open_for / 1000);
	if (number == HT_EV_FLOW_PROGRESS && !sampled(dec, facts->src, facts->dst))
		return;
	if (!ht_logger_admit(dec->params.log, number))
		return;
	append_flow(&f, facts->src, facts->dst);
	append(&f, " step=%s copy=%u open_ms=%lld waited_ms=%lld", ht_flow_event_name(facts->event),
	       facts->copies, (long long)facts->open_for, (long long)facts->waited);
	if (facts->event == HT_FLOW_ERROR)
		append(&f, " bytes=%u", facts->bytes);
	append_target(&f, facts->target, now);
	append_view(&f, dec);
	ht_logger_write(dec->params.log, number, "%s", f.text);
}

static void on_health_changed(void *ctx, const struct ht_target *t, bool whole_dc,
			      enum ht_health_cause cause, ht_ms now)
{
	bool ended = cause == HT_HEALTH_ALIVE;
	enum ht_event_number number = ended ? HT_EV_TARGET_TRUSTED : HT_EV_TARGET_DOUBTED;
	struct ht_decisions *dec = ctx;
	struct fields f = {.len = 0};

	dec->params.stats->health_changes[cause]++;
	if (whole_dc)
		number = ended ? HT_EV_DC_TRUSTED : HT_EV_DC_DOUBTED;
	if (!ht_logger_admit(dec->params.log, number))
		return;
	append(&f, "cause=%s", ht_health_cause_name(cause));
	if (whole_dc) {
		append(&f, " dc=%s misses=%u doubt_ms=%lld", t->dc->name, t->dc->evidence.misses,
		       time_left(t->dc->evidence.suspected_until, now));
	} else {
		append_target(&f, t, now);
		append_service(&f, t->service, now);
	}
	ht_logger_write(dec->params.log, number, "%s", f.text);
}

/* Classes and data centres whose shares are 0 are written, too: they are the ones that lose. */
static void append_plan(struct fields *f, const struct ht_catalog *cat, const struct ht_service *s)
{
	const struct ht_admission_plan *plan = &s->plan;
	char name[HT_DC_TEXT];

	append(f, " rate=%.1f", plan->rate);
	for (size_t i = 0; i < plan->class_count; i++)
		append(f, "%s%u:%.2f%s", i ? "," : " admit=", plan->classes[i].priority,
		       plan->admit[i], plan->delay[i] && plan->admit[i] < 1 ? ":delay" : "");
	for (size_t i = 0; i < plan->dc_count; i++)
		append(f, "%s%s:%.2f", i ? "," : " to=", ht_dc_text(name, cat, plan->dcs[i]),
		       plan->share[i]);
}

static void append_capacity(struct fields *f, const struct ht_catalog *cat,
			    const struct ht_service *s, ht_ms now)
{
	const struct ht_admission_input *load = &s->basis.load;
	ht_ms age = ht_plan_basis_age(&s->basis, now);
	char name[HT_DC_TEXT];

	append(f, "service=%s source=%s age_ms=%lld", s->name, ht_load_source_name(load->source),
	       age_or_never(age));
	for (size_t i = 0; i < load->dc_count; i++) {
		const struct ht_admission_dc *dc = &load->dcs[i];

		if (dc->local)
			append(f, " dc=%s open=%.0f slots=%.0f shed=%.0f",
			       ht_dc_text(name, cat, dc->dc), dc->open, dc->slots, dc->shed);
	}
	append_plan(f, cat, s);
}

static void log_capacity(struct ht_decisions *dec, enum ht_event_number number,
			 const struct ht_service *s, ht_ms now)
{
	struct fields f = {.len = 0};

	if (!ht_logger_admit(dec->params.log, number))
		return;
	append_capacity(&f, dec->params.catalog, s, now);
	ht_logger_write(dec->params.log, number, "%s", f.text);
}

static void on_capacity_changed(void *ctx, const struct ht_service *s, ht_ms now)
{
	log_capacity(ctx, s->plan.short_of_room ? HT_EV_CAPACITY_SHORT : HT_EV_CAPACITY_ENOUGH, s,
		     now);
}

static void on_plan_changed(void *ctx, const struct ht_service *s, ht_ms now)
{
	log_capacity(ctx, HT_EV_CAPACITY_PLAN, s, now);
}

static void on_routes(void *ctx, const struct ht_route_table *table)
{
	const struct ht_decisions *dec = ctx;
	char text[HT_REVISION_TEXT];

	ht_logger_event(
		dec->params.log, HT_EV_ROUTES_IN_FORCE, "version=%llu revision=%s routes=%zu",
		(unsigned long long)table->id.version, ht_revision_text(text, table->id.revision),
		ht_catalog_route_count(dec->params.catalog));
}

static void on_target(void *ctx, const struct ht_target *t, ht_ms now)
{
	const struct ht_decisions *dec = ctx;
	char text[HT_REVISION_TEXT];
	struct ht_view_state view;

	/* The first listing is summed up by ENTRY_READY; thousands of lines would delay it. */
	dec->params.view(dec->params.ctx, &view);
	if (!view.usable)
		return;
	ht_revision_text(text, t->revision);
	if (t->gone_at != HT_NEVER)
		ht_logger_event(dec->params.log, HT_EV_TARGET_GONE,
				"target=%s service=%s dc=%s revision=%s hold_ms=%lld", t->name,
				t->service->name, t->dc->name, text, time_left(t->held_until, now));
	else
		ht_logger_event(dec->params.log, HT_EV_TARGET_CHANGED,
				"target=%s service=%s dc=%s state=%s slots=%u warm_ms=%lld"
				" revision=%s",
				t->name, t->service->name, t->dc->name,
				t->draining ? "draining" : "ready", t->slots,
				time_left(t->warmup_ends_at, now), text);
}

static void on_evacuation(void *ctx, const struct ht_dc *dc, ht_ms now)
{
	const struct ht_decisions *dec = ctx;
	char text[HT_REVISION_TEXT];

	(void)now;
	ht_logger_event(
		dec->params.log, dc->evacuated ? HT_EV_DC_EVACUATED : HT_EV_DC_EVACUATION_ENDED,
		"dc=%s revision=%s", dc->name, ht_revision_text(text, dc->evacuation_revision));
}

struct ht_decisions *ht_decisions_new(const struct ht_decisions_params *params)
{
	struct ht_decisions *dec = calloc(1, sizeof(*dec));

	if (dec)
		dec->params = *params;
	return dec;
}

void ht_decisions_free(struct ht_decisions *dec)
{
	free(dec);
}

void ht_decisions_set_sample(struct ht_decisions *dec, unsigned int sample)
{
	dec->params.sample = sample;
}

struct ht_catalog_observer ht_decisions_catalog_observer(struct ht_decisions *dec)
{
	return (struct ht_catalog_observer){
		.routes = on_routes, .target = on_target, .evacuation = on_evacuation, .ctx = dec};
}

struct ht_steering_observer ht_decisions_observer(struct ht_decisions *dec)
{
	return (struct ht_steering_observer){.flow = on_flow,
					     .health_changed = on_health_changed,
					     .capacity_changed = on_capacity_changed,
					     .plan_changed = on_plan_changed,
					     .ctx = dec};
}
