/*
 * Stand-in of a target: CoAP over TCP with slots, seeded service times and a journal.
 * SIGUSR1 drains it; SIGUSR2 makes all open connections silent.
 */
#include "base/clock.h"
#include "base/list.h"
#include "standins/common/body.h"
#include "standins/common/conn.h"
#include "standins/common/records.h"

#include <errno.h>
#include <signal.h>
#include <string.h>

/* RFC 7252 has no code for it: the work was stopped at its deadline. */
#define CODE_DEADLINE HT_SI_CODE(5, 4)

struct options {
	char *listen, *service, *name, *journal;
	int slots, connections, service_ms, cold_ms, late_ms, seed;
	double speed, variation, cold_factor, late_share, shed_share;
	gboolean misleading;
};

static struct options opt = {.slots = 3,
			     .connections = 2000,
			     .service_ms = 20,
			     .late_ms = 300,
			     .seed = 1,
			     .speed = 1,
			     .variation = 0.3,
			     .cold_factor = 3};

static const GOptionEntry entries[] = {
	{"listen", 0, 0, G_OPTION_ARG_STRING, &opt.listen, "address of the target", "IP:PORT"},
	{"service", 0, 0, G_OPTION_ARG_STRING, &opt.service, "name of the service", "NAME"},
	{"name", 0, 0, G_OPTION_ARG_STRING, &opt.name, "name of the target", "NAME"},
	{"journal", 0, 0, G_OPTION_ARG_STRING, &opt.journal, "journal to append to", "FILE"},
	{"slots", 0, 0, G_OPTION_ARG_INT, &opt.slots, "concurrent requests", "N"},
	{"connections", 0, 0, G_OPTION_ARG_INT, &opt.connections, "connections", "N"},
	{"service-ms", 0, 0, G_OPTION_ARG_INT, &opt.service_ms, "mean service time", "MS"},
	{"speed", 0, 0, G_OPTION_ARG_DOUBLE, &opt.speed, "divides the service time", "F"},
	{"variation", 0, 0, G_OPTION_ARG_DOUBLE, &opt.variation, "relative, 0 to 1", "F"},
	{"cold-ms", 0, 0, G_OPTION_ARG_INT, &opt.cold_ms, "slow for this long at first", "MS"},
	{"cold-factor", 0, 0, G_OPTION_ARG_DOUBLE, &opt.cold_factor, "how slow", "F"},
	{"late-share", 0, 0, G_OPTION_ARG_DOUBLE, &opt.late_share, "answers held back", "F"},
	{"late-ms", 0, 0, G_OPTION_ARG_INT, &opt.late_ms, "held back at most", "MS"},
	{"shed-share", 0, 0, G_OPTION_ARG_DOUBLE, &opt.shed_share, "requests refused", "F"},
	{"misleading", 0, 0, G_OPTION_ARG_NONE, &opt.misleading, "health: always idle, ok", NULL},
	{"seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "seed of the variation", "N"},
	G_OPTION_ENTRY_NULL};

struct backend {
	struct ht_si_server srv;
	struct ht_list work;
	GRand *rand;
	FILE *journal;
	ht_ms started;
	int in_flight;
	bool draining;
};

/* A request, from its start until its answer is sent. */
struct work {
	struct ht_list node;
	struct backend *be;
	struct ht_si_conn *conn; /* NULL when the connection has been closed */
	struct ev_timer timer;
	uint8_t token[8];
	size_t token_len;
	char id[128], host[128], path[64];
	uint8_t method, code;
	bool running; /* false while a finished answer is held back */
	ht_ms deadline;
};

static const char *method_name(unsigned method)
{
	static const char *const names[] = {"", "GET", "POST", "PUT", "DELETE"};

	return method < G_N_ELEMENTS(names) ? names[method] : "OTHER";
}

static void journal(const struct work *w, const char *event, const char *reason)
{
	ht_si_record(w->be->journal,
		     json_pack("{sIsssssssssssisssisssb}", "ms", (json_int_t)ht_clock_wall(),
			       "event", event, "uri_host", w->host, "service", opt.service,
			       "method", method_name(w->method), "id", w->id, "in_flight",
			       w->be->in_flight, "target", opt.name, "code",
			       (w->code >> 5) * 100 + (w->code & 31), "reason", reason, "draining",
			       w->be->draining));
}

static ht_ms now_ms(void)
{
	return ht_clock_now(&ht_clock_monotonic);
}

static bool is_cold(const struct backend *be)
{
	return now_ms() - be->started < opt.cold_ms;
}

static void send_answer(struct work *w)
{
	struct ht_si_msg m;
	GString *body;

	if (!w->conn)
		return;
	ht_si_msg_init(&m, w->code, w->token, w->token_len);
	if (w->code >> 5 == 2) {
		body = ht_si_body(opt.service, w->path, w->id);
		ht_si_msg_payload(&m, body->str, body->len);
		g_string_free(body, TRUE);
	}
	ht_si_conn_send(w->conn, &m);
	ht_si_msg_clear(&m);
}

static void free_work(struct work *w)
{
	ev_timer_stop(w->be->srv.loop, &w->timer);
	ht_list_del(&w->node);
	g_free(w);
}

static void start_timer(struct work *w, ht_ms delay)
{
	ev_timer_stop(w->be->srv.loop, &w->timer);
	ev_timer_set(&w->timer, (double)MAX(delay, 0) / 1000, 0);
	ev_timer_start(w->be->srv.loop, &w->timer);
}

/* First call: the work ends and its slot is free. Second call: a late answer goes out. */
static void on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct work *w = timer->data;
	struct backend *be = w->be;
	bool past = w->running && w->deadline <= now_ms();

	(void)loop, (void)events;
	if (w->running) {
		w->running = false;
		be->in_flight--;
		w->code = past ? CODE_DEADLINE : w->code;
		journal(w, past ? "cancel" : "finish", past ? "deadline" : "");
		if (g_rand_double(be->rand) < opt.late_share) {
			start_timer(w, g_rand_int_range(be->rand, 1, opt.late_ms + 1));
			return;
		}
	}
	send_answer(w);
	free_work(w);
}

static ht_ms service_time(struct backend *be)
{
	double ms = opt.service_ms / opt.speed;

	ms *= 1 + opt.variation * g_rand_double_range(be->rand, -1, 1);
	if (is_cold(be))
		ms *= opt.cold_factor;
	return MAX((ht_ms)ms, 1);
}

static void start_work(struct work *w)
{
	struct backend *be = w->be;
	ht_ms ms = service_time(be);

	w->running = true;
	w->code = w->method == COAP_REQUEST_GET ? HT_SI_CODE(2, 5) : HT_SI_CODE(2, 4);
	be->in_flight++;
	ht_list_add_tail(&be->work, &w->node);
	journal(w, "start", "");
	start_timer(w, MIN(ms, w->deadline - now_ms()));
}

static void refuse(struct work *w, uint8_t code, const char *event, const char *reason)
{
	struct ht_si_msg m;

	w->code = code;
	journal(w, event, reason);
	ht_si_msg_init(&m, code, w->token, w->token_len);
	if (code == HT_SI_CODE(5, 3))
		ht_si_msg_opt_uint(&m, COAP_OPTION_MAXAGE, 1);
	ht_si_msg_payload(&m, reason, strlen(reason));
	ht_si_conn_send(w->conn, &m);
	ht_si_msg_clear(&m);
	g_free(w);
}

static void admit(struct work *w)
{
	struct backend *be = w->be;

	if (strcmp(w->host, opt.service) != 0)
		refuse(w, HT_SI_CODE(4, 4), "refuse", "service");
	else if (be->draining)
		refuse(w, HT_SI_CODE(5, 3), "refuse", "draining");
	else if (be->in_flight >= opt.slots)
		refuse(w, HT_SI_CODE(5, 3), "overlimit", "overlimit");
	else if (g_rand_double(be->rand) < opt.shed_share)
		refuse(w, HT_SI_CODE(5, 3), "refuse", "shed");
	else if (w->deadline <= now_ms())
		refuse(w, HT_SI_CODE(5, 3), "refuse", "deadline");
	else
		start_work(w);
}

static void reply(struct ht_si_conn *conn, const coap_pdu_t *pdu, uint8_t code, const char *body)
{
	coap_bin_const_t token = coap_pdu_get_token(pdu);
	struct ht_si_msg m;

	ht_si_msg_init(&m, code, token.s, token.length);
	ht_si_msg_payload(&m, body, strlen(body));
	ht_si_conn_send(conn, &m);
	ht_si_msg_clear(&m);
}

static void answer_health(struct backend *be, struct ht_si_conn *conn, const coap_pdu_t *pdu)
{
	const char *state = be->draining ? "draining" : is_cold(be) ? "cold" : "ok";
	double load = (double)be->in_flight / opt.slots;
	json_t *body;
	char *text;

	/* The drain flag is kept, since it is the one part of a health answer that is relied on. */
	if (opt.misleading) {
		state = be->draining ? "draining" : "ok";
		load = 0;
	}
	body = json_pack("{sssssf}", "service", opt.service, "state", state, "load", load);
	text = json_dumps(body, JSON_COMPACT);
	reply(conn, pdu, HT_SI_CODE(2, 5), text);
	json_decref(body);
	free(text);
}

static struct work *find_work(struct backend *be, const struct ht_si_conn *conn, const uint8_t *tok,
			      size_t len)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &be->work) {
		struct work *w = ht_container_of(pos, struct work, node);

		if (w->running && w->conn == conn && w->token_len == len &&
		    memcmp(w->token, tok, len) == 0)
			return w;
	}
	return NULL;
}

static void cancel(struct backend *be, struct ht_si_conn *conn, const coap_pdu_t *pdu,
		   const uint8_t *tok, size_t len)
{
	struct work *w = find_work(be, conn, tok, len);

	if (!w) {
		reply(conn, pdu, HT_SI_CODE(4, 4), "");
		return;
	}
	be->in_flight--;
	journal(w, "cancel", "caller");
	free_work(w);
	reply(conn, pdu, HT_SI_CODE(2, 2), "");
}

static void on_request(void *ctx, struct ht_si_conn *conn, const coap_pdu_t *pdu)
{
	coap_bin_const_t token = coap_pdu_get_token(pdu);
	struct backend *be = ctx;
	const uint8_t *value;
	uint32_t left;
	char path[64];
	struct work *w;
	size_t len;

	ht_si_msg_text(pdu, COAP_OPTION_URI_PATH, path, sizeof(path));
	if (strcmp(path, "health") == 0) {
		answer_health(be, conn, pdu);
		return;
	}
	if (ht_si_msg_find(pdu, HT_SI_OPT_CANCEL, &value, &len)) {
		cancel(be, conn, pdu, value, len);
		return;
	}
	w = g_new0(struct work, 1);
	w->be = be;
	w->conn = conn;
	w->token_len = MIN(token.length, sizeof(w->token));
	memcpy(w->token, token.s, w->token_len);
	w->method = (uint8_t)coap_pdu_get_code(pdu);
	g_strlcpy(w->path, path, sizeof(w->path));
	ht_si_msg_text(pdu, COAP_OPTION_URI_HOST, w->host, sizeof(w->host));
	ht_si_msg_query(pdu, "id", w->id, sizeof(w->id));
	left = ht_si_msg_uint(pdu, HT_SI_OPT_DEADLINE, UINT32_MAX);
	w->deadline = left == UINT32_MAX ? HT_NEVER : now_ms() + left;
	ev_timer_init(&w->timer, on_timer, 0, 0);
	w->timer.data = w;
	ht_list_init(&w->node);
	admit(w);
}

/* Work goes on without its connection, as a real target would. */
static void on_close(void *ctx, struct ht_si_conn *conn)
{
	struct backend *be = ctx;
	struct ht_list *pos;

	ht_list_for_each (pos, &be->work) {
		struct work *w = ht_container_of(pos, struct work, node);

		if (w->conn == conn)
			w->conn = NULL;
	}
}

static void on_signal(struct ev_loop *loop, struct ev_signal *sig, int events)
{
	struct backend *be = sig->data;

	(void)events;
	if (sig->signum == SIGUSR1)
		be->draining = true;
	else if (sig->signum == SIGUSR2)
		ht_si_server_silence(&be->srv);
	else
		ev_break(loop, EVBREAK_ALL);
}

static bool parse_options(int argc, char **argv, struct ht_addr *addr, struct ht_err *err)
{
	GOptionContext *ctx = g_option_context_new("- stand-in of a target");
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
	if (!opt.listen || !opt.service || opt.slots < 1 || opt.speed <= 0 || opt.late_ms < 1)
		return ht_err_set(err, HT_EINVAL, "--listen and --service are required");
	if (!opt.name)
		opt.name = opt.listen;
	return ht_addr_parse(addr, opt.listen, err);
}

static bool start(struct backend *be, const struct ht_addr *addr, struct ht_err *err)
{
	be->rand = g_rand_new_with_seed((guint32)opt.seed);
	be->started = now_ms();
	ht_list_init(&be->work);
	be->srv.limit = opt.connections;
	be->srv.ctx = be;
	be->srv.on_request = on_request;
	be->srv.on_close = on_close;
	if (opt.journal) {
		be->journal = fopen(opt.journal, "ae");
		if (!be->journal)
			return ht_err_set(err, HT_EIO, "%s: %s", opt.journal, g_strerror(errno));
	}
	return ht_si_server_start(&be->srv, ev_default_loop(0), addr, err);
}

int main(int argc, char **argv)
{
	static const int signals[] = {SIGTERM, SIGINT, SIGUSR1, SIGUSR2};
	struct ev_signal watchers[G_N_ELEMENTS(signals)];
	struct backend be = {.rand = NULL};
	struct ht_list *pos, *tmp;
	struct ht_addr addr;
	struct ht_err err;

	coap_startup();
	if (!parse_options(argc, argv, &addr, &err) || !start(&be, &addr, &err)) {
		g_printerr("backend: %s\n", err.text);
		return 2;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		ev_signal_init(&watchers[i], on_signal, signals[i]);
		watchers[i].data = &be;
		ev_signal_start(be.srv.loop, &watchers[i]);
	}
	ev_run(be.srv.loop, 0);
	ht_si_server_stop(&be.srv);
	ht_list_for_each_safe (pos, tmp, &be.work)
		free_work(ht_container_of(pos, struct work, node));
	g_rand_free(be.rand);
	if (be.journal)
		fclose(be.journal);
	coap_cleanup();
	return 0;
}
