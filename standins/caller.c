/*
 * Stand-in of the callers: many flows of CoAP over UDP in one process, a seeded mix of requests
 * at a bounded rate and count, one record per request. SIGTERM ends the sending of new requests.
 */
#include "base/addr.h"
#include "standins/common/call.h"
#include "standins/common/records.h"

#include <errno.h>
#include <ev.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define TICK_MS 5
/* A final answer may be on its way when the deadline ends; nothing is repeated after it. */
#define GRACE_MS 1500
#define MAX_AGE_BOUND_MS 5000

struct options {
	char **services; /* NAME=IP:PORT */
	char *records, *prefix;
	int flows, requests, rate, deadline_ms, repeat_ms, max_s, retries, seed;
	double post_share, pattern_share, cancel_share;
};

static struct options opt = {.flows = 50,
			     .requests = 1000,
			     .rate = 100,
			     .deadline_ms = 4000,
			     .repeat_ms = 600,
			     .max_s = 30,
			     .retries = 2,
			     .seed = 1,
			     .post_share = 0.3,
			     .pattern_share = 0.1,
			     .cancel_share = 0.02};

static const GOptionEntry entries[] = {
	{"service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.services, "service", "NAME=IP:PORT"},
	{"records", 0, 0, G_OPTION_ARG_STRING, &opt.records, "records to append to", "FILE"},
	{"prefix", 0, 0, G_OPTION_ARG_STRING, &opt.prefix, "start of request ids", "TEXT"},
	{"flows", 0, 0, G_OPTION_ARG_INT, &opt.flows, "flows per service", "N"},
	{"requests", 0, 0, G_OPTION_ARG_INT, &opt.requests, "requests, without retries", "N"},
	{"rate", 0, 0, G_OPTION_ARG_INT, &opt.rate, "requests per second", "N"},
	{"deadline-ms", 0, 0, G_OPTION_ARG_INT, &opt.deadline_ms, "deadline", "MS"},
	{"repeat-ms", 0, 0, G_OPTION_ARG_INT, &opt.repeat_ms, "repeat after", "MS"},
	{"max-s", 0, 0, G_OPTION_ARG_INT, &opt.max_s, "bound of the whole run", "S"},
	{"retries", 0, 0, G_OPTION_ARG_INT, &opt.retries, "new requests after refusals", "N"},
	{"post-share", 0, 0, G_OPTION_ARG_DOUBLE, &opt.post_share, "share of postings", "F"},
	{"pattern-share", 0, 0, G_OPTION_ARG_DOUBLE, &opt.pattern_share, "large answers", "F"},
	{"cancel-share", 0, 0, G_OPTION_ARG_DOUBLE, &opt.cancel_share, "cancelled", "F"},
	{"seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "seed of the mix", "N"},
	G_OPTION_ENTRY_NULL};

struct caller {
	struct ev_loop *loop;
	struct ev_timer tick;
	GRand *rand;
	FILE *records;
	GPtrArray *flows;
	struct ht_list retries; /* refused requests that wait for Max-Age */
	struct ht_list done;	/* finished requests, freed by the next tick */
	ht_ms started;
	int sent, open;
	bool stopping;
};

struct flow {
	struct caller *caller;
	const char *service;
	guint number; /* part of the request ids, so that journals show where a flow went */
	struct ev_io io;
	struct ht_list calls;
	ht_ms not_before; /* Max-Age of the last refusal */
};

struct retry {
	struct ht_list node;
	struct flow *flow;
	char id[64];
	const char *path;
	uint8_t method;
	ht_ms at;
	int round;
};

static ht_ms now_ms(void)
{
	return ht_clock_now(&ht_clock_monotonic);
}

static void transmit(struct ht_si_call *call, bool cancel)
{
	struct flow *flow = call->flow;
	struct caller *c = flow->caller;
	GByteArray *out = g_byte_array_new();
	ht_ms now = now_ms();

	ht_si_call_message(call, cancel, now, c->rand, out);
	/* A refused or full socket is a lost datagram; the request is repeated. */
	(void)!send(flow->io.fd, out->data, out->len, MSG_DONTWAIT | MSG_NOSIGNAL);
	g_byte_array_unref(out);
	if (!cancel)
		call->repeat_at =
			now + (ht_ms)(opt.repeat_ms * g_rand_double_range(c->rand, 0.8, 1.2));
}

static void start_call(struct flow *flow, const char *id, const char *path, uint8_t method)
{
	struct ht_si_call *call = g_new0(struct ht_si_call, 1);
	struct caller *c = flow->caller;

	call->flow = flow;
	g_strlcpy(call->id, id, sizeof(call->id));
	call->service = flow->service;
	call->path = path;
	call->method = method;
	call->sent = now_ms();
	call->sent_wall = ht_clock_wall();
	call->deadline = call->sent + opt.deadline_ms;
	call->cancel_at = HT_NEVER;
	ht_si_call_init(call, c->rand);
	if (g_rand_double(c->rand) < opt.cancel_share)
		call->cancel_at = call->sent + g_rand_int_range(c->rand, 1, 100);
	ht_list_add_tail(&flow->calls, &call->node);
	c->open++;
	call->attempts = 1;
	transmit(call, false);
}

/* A refused request comes back as a new request with its own id, after Max-Age. */
static void plan_retry(const struct ht_si_call *call)
{
	struct flow *flow = call->flow;
	struct caller *c = flow->caller;
	ht_ms wait = MIN((ht_ms)call->max_age * 1000, MAX_AGE_BOUND_MS);
	const char *dot = strrchr(call->id, '~');
	int round = dot ? (int)strtol(dot + 1, NULL, 10) : 0;
	struct retry *r;

	flow->not_before = now_ms() + wait;
	if (round >= opt.retries || call->cancelled || c->stopping)
		return;
	r = g_new0(struct retry, 1);
	r->flow = flow;
	r->path = call->path;
	r->method = call->method;
	r->at = flow->not_before;
	g_snprintf(r->id, sizeof(r->id), "%.*s~%d",
		   (int)(dot ? (size_t)(dot - call->id) : strlen(call->id)), call->id, round + 1);
	ht_list_add_tail(&c->retries, &r->node);
}

static void finish_call(struct ht_si_call *call)
{
	struct caller *c = ((struct flow *)call->flow)->caller;

	ht_si_record(c->records, ht_si_call_record(call, ht_clock_wall()));
	if (call->max_age && call->code >> 5 != 2)
		plan_retry(call);
	ht_list_del(&call->node);
	ht_list_add_tail(&c->done, &call->node);
	c->open--;
}

static void free_done(struct caller *c)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &c->done) {
		struct ht_si_call *call = ht_container_of(pos, struct ht_si_call, node);

		ht_list_del(&call->node);
		ht_si_call_clear(call);
		g_free(call);
	}
}

static void acknowledge(const struct flow *flow, const coap_pdu_t *pdu)
{
	GByteArray *out = g_byte_array_new();
	struct ht_si_msg m;

	ht_si_msg_init(&m, 0, NULL, 0);
	ht_si_msg_udp(&m, COAP_MESSAGE_ACK, (uint16_t)coap_pdu_get_mid(pdu), out);
	(void)!send(flow->io.fd, out->data, out->len, MSG_DONTWAIT | MSG_NOSIGNAL);
	ht_si_msg_clear(&m);
	g_byte_array_unref(out);
}

static void take_answer(struct flow *flow, const coap_pdu_t *pdu)
{
	struct ht_list *pos;

	if (coap_pdu_get_type(pdu) == COAP_MESSAGE_CON)
		acknowledge(flow, pdu);
	ht_list_for_each (pos, &flow->calls) {
		struct ht_si_call *call = ht_container_of(pos, struct ht_si_call, node);
		enum ht_si_step step = ht_si_call_answer(call, pdu, flow->caller->rand);

		if (step == HT_SI_IGNORE)
			continue;
		if (step == HT_SI_SEND)
			transmit(call, false);
		else
			finish_call(call);
		return;
	}
}

static void on_datagram(struct ev_loop *loop, struct ev_io *io, int events)
{
	struct flow *flow = io->data;
	uint8_t buf[65536];
	coap_pdu_t *pdu;
	ssize_t n;

	(void)loop, (void)events;
	while ((n = recv(io->fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0) {
		pdu = ht_si_msg_parse(COAP_PROTO_UDP, buf, (size_t)n);
		if (pdu)
			take_answer(flow, pdu);
		coap_delete_pdu(pdu);
	}
}

static void advance_call(struct ht_si_call *call, ht_ms now)
{
	if (now >= call->deadline + GRACE_MS) {
		finish_call(call);
		return;
	}
	if (now >= call->cancel_at && !call->cancel_code) {
		call->cancelled = true;
		call->cancel_at = now + opt.repeat_ms;
		transmit(call, true);
	}
	if (now >= call->repeat_at && now < call->deadline) {
		call->attempts++;
		transmit(call, false);
	}
}

static void advance_calls(struct caller *c, ht_ms now)
{
	struct ht_list *pos, *tmp;

	for (guint i = 0; i < c->flows->len; i++) {
		struct flow *flow = g_ptr_array_index(c->flows, i);

		ht_list_for_each_safe (pos, tmp, &flow->calls)
			advance_call(ht_container_of(pos, struct ht_si_call, node), now);
	}
}

/* A random flow that was not told to wait; NULL when all were. */
static struct flow *pick_flow(struct caller *c, ht_ms now)
{
	guint n = (guint)g_rand_int_range(c->rand, 0, (gint32)c->flows->len);

	for (guint i = 0; i < c->flows->len; i++, n++) {
		struct flow *flow = g_ptr_array_index(c->flows, n % c->flows->len);

		if (now >= flow->not_before)
			return flow;
	}
	return NULL;
}

static void start_new(struct caller *c, ht_ms now)
{
	struct flow *flow = pick_flow(c, now);
	const char *path = "stock";
	uint8_t method = COAP_REQUEST_GET;
	char id[64];

	if (!flow)
		return;
	if (g_rand_double(c->rand) < opt.post_share)
		method = COAP_REQUEST_POST;
	else if (g_rand_double(c->rand) < opt.pattern_share)
		path = "pattern";
	g_snprintf(id, sizeof(id), "%s-f%u-%d", opt.prefix, flow->number, c->sent++);
	start_call(flow, id, path, method);
}

static void start_retries(struct caller *c, ht_ms now)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &c->retries) {
		struct retry *r = ht_container_of(pos, struct retry, node);

		if (now < r->at && !c->stopping)
			continue;
		if (!c->stopping)
			start_call(r->flow, r->id, r->path, r->method);
		ht_list_del(&r->node);
		g_free(r);
	}
}

static void on_tick(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct caller *c = timer->data;
	ht_ms now = now_ms(), age = now - c->started;
	int due = (int)MIN(age * opt.rate / 1000 + 1, opt.requests);

	(void)events;
	if (age > opt.max_s * 1000LL)
		c->stopping = true;
	/* A late tick catches up; the bound keeps it from flooding after a pause. */
	for (int n = 0; !c->stopping && c->sent < due && n < 20; n++)
		start_new(c, now);
	start_retries(c, now);
	advance_calls(c, now);
	free_done(c);
	if (!c->open && ht_list_empty(&c->retries) && (c->stopping || c->sent >= opt.requests))
		ev_break(loop, EVBREAK_ALL);
}

static void on_stop(struct ev_loop *loop, struct ev_signal *sig, int events)
{
	(void)loop, (void)events;
	((struct caller *)sig->data)->stopping = true;
}

static bool add_flow(struct caller *c, const char *name, const struct ht_addr *addr,
		     struct ht_err *err)
{
	struct flow *flow = g_new0(struct flow, 1);
	int fd = socket(addr->ss.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	flow->number = c->flows->len;
	g_ptr_array_add(c->flows, flow);
	flow->caller = c;
	flow->service = name;
	ht_list_init(&flow->calls);
	if (fd < 0 || connect(fd, (const struct sockaddr *)&addr->ss, addr->len) < 0)
		return ht_err_set(err, HT_EIO, "%s: %s", name, g_strerror(errno));
	ev_io_init(&flow->io, on_datagram, fd, EV_READ);
	flow->io.data = flow;
	ev_io_start(c->loop, &flow->io);
	return true;
}

static bool add_flows(struct caller *c, char *text, struct ht_err *err)
{
	char *eq = strchr(text, '=');
	struct ht_addr addr;

	if (!eq)
		return ht_err_set(err, HT_EINVAL, "%s: expected NAME=IP:PORT", text);
	*eq = '\0';
	if (!ht_addr_parse(&addr, eq + 1, err))
		return false;
	for (int i = 0; i < opt.flows; i++)
		if (!add_flow(c, text, &addr, err))
			return false;
	return true;
}

static bool parse_options(int argc, char **argv, struct ht_err *err)
{
	GOptionContext *ctx = g_option_context_new("- stand-in of the callers");
	GError *gerr = NULL;
	bool ok;

	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &gerr);
	g_option_context_free(ctx);
	if (!ok) {
		ht_err_set(err, HT_EINVAL, "%s", gerr->message);
		g_error_free(gerr);
		return false;
	}
	if (!opt.services || opt.flows < 1 || opt.rate < 1 || opt.requests < 1)
		return ht_err_set(err, HT_EINVAL, "--service is required");
	if (!opt.prefix)
		opt.prefix = g_strdup("r");
	return true;
}

static bool start(struct caller *c, struct ht_err *err)
{
	c->loop = ev_default_loop(0);
	c->rand = g_rand_new_with_seed((guint32)opt.seed);
	c->flows = g_ptr_array_new();
	ht_list_init(&c->retries);
	ht_list_init(&c->done);
	if (opt.records) {
		c->records = fopen(opt.records, "ae");
		if (!c->records)
			return ht_err_set(err, HT_EIO, "%s: %s", opt.records, g_strerror(errno));
	}
	for (char **s = opt.services; s && *s; s++)
		if (!add_flows(c, *s, err))
			return false;
	c->started = now_ms();
	ev_timer_init(&c->tick, on_tick, 0, TICK_MS / 1000.0);
	c->tick.data = c;
	ev_timer_start(c->loop, &c->tick);
	return true;
}

int main(int argc, char **argv)
{
	static struct caller c;
	struct ev_signal stop[2];
	struct ht_err err;

	coap_startup();
	if (!parse_options(argc, argv, &err) || !start(&c, &err)) {
		g_printerr("caller: %s\n", err.text);
		return 2;
	}
	for (int i = 0; i < 2; i++) {
		ev_signal_init(&stop[i], on_stop, i ? SIGINT : SIGTERM);
		stop[i].data = &c;
		ev_signal_start(c.loop, &stop[i]);
	}
	ev_run(c.loop, 0);
	if (c.records)
		fclose(c.records);
	return 0;
}
