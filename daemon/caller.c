#include "daemon/caller.h"

#include "base/list.h"
#include "daemon/caller_message.h"
#include "daemon/datagram_filter.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* libcoap walks all sessions in each round, and a session that it drops costs nothing but its
 * creation, since a flow's state does not live here. */
#define IDLE_SESSIONS_MAX 256
#define IDLE_SESSION_S 30

#define TICK_S 0.02
#define REBIND_MS 5000
#define MALFORMED_REPORT_MS 10000

struct listener {
	struct ht_list node;
	struct ht_addr addr; /* bound address */
	uint64_t service;    /* 0: no service uses it any more */
	coap_endpoint_t *ep; /* NULL while the address cannot be bound */
	bool failure_logged;
	bool served; /* as last logged */
};

struct pending {
	uint64_t handle;
	coap_session_t *session;
	uint8_t token[HT_TOKEN_MAX];
	uint8_t token_len;
};

struct ht_caller {
	struct ht_caller_params p;
	coap_context_t *coap;
	struct ev_io io;
	struct ev_timer tick;
	struct ht_list listeners;
	GHashTable *by_addr; /* owns struct listener, by its address text */
	GHashTable *pending; /* struct pending by its handle */
	uint64_t next_handle;
	ht_ms next_rebind;
	ht_ms next_report;
	uint64_t reported;
};

/* libcoap reports a datagram that it cannot parse only by this log line. */
static uint64_t malformed_seen;

/* The handler also gets lines about target connections, whose context is another one. */
static bool processing;

static void on_coap_log(coap_log_t level, const char *message)
{
	(void)level;
	if (processing && strstr(message, "discard"))
		malformed_seen++;
}

static void addr_from_coap(struct ht_addr *to, const coap_address_t *from)
{
	memset(to, 0, sizeof(*to));
	if (from->addr.sa.sa_family == AF_INET6) {
		struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&to->ss;

		in6->sin6_family = AF_INET6;
		in6->sin6_port = from->addr.sin6.sin6_port;
		in6->sin6_addr = from->addr.sin6.sin6_addr;
		to->len = sizeof(*in6);
	} else {
		struct sockaddr_in *in = (struct sockaddr_in *)&to->ss;

		in->sin_family = AF_INET;
		in->sin_port = from->addr.sin.sin_port;
		in->sin_addr = from->addr.sin.sin_addr;
		to->len = sizeof(*in);
	}
}

static struct listener *listener_of(const struct ht_caller *c, const coap_session_t *session)
{
	char text[HT_ADDR_TEXT];
	struct ht_addr addr;

	addr_from_coap(&addr, coap_session_get_addr_local(session));
	return g_hash_table_lookup(c->by_addr, ht_addr_format(&addr, text));
}

static struct pending *pending_add(struct ht_caller *c, coap_session_t *session,
				   const coap_pdu_t *pdu)
{
	coap_bin_const_t token = coap_pdu_get_token(pdu);
	struct pending *p;

	if (token.length > HT_TOKEN_MAX)
		return NULL;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	p->handle = ++c->next_handle;
	p->session = coap_session_reference(session);
	p->token_len = (uint8_t)token.length;
	if (token.length)
		memcpy(p->token, token.s, token.length);
	g_hash_table_insert(c->pending, &p->handle, p);
	return p;
}

static void pending_free(void *data)
{
	struct pending *p = data;

	coap_session_release(p->session);
	free(p);
}

static void refuse(coap_pdu_t *response, uint8_t code)
{
	struct ht_answer ans = {.code = code, .verdict = HT_NOT_RUN};

	coap_pdu_set_code(response, (coap_pdu_code_t)code);
	(void)ht_caller_message_write(response, &ans);
}

static void on_request(coap_resource_t *resource, coap_session_t *session,
		       const coap_pdu_t *request, const coap_string_t *query, coap_pdu_t *response)
{
	struct ht_caller *c = coap_get_app_data(coap_session_get_context(session));
	struct listener *l = listener_of(c, session);
	struct ht_caller_message msg;
	struct ht_addr caller;
	struct pending *p;
	uint8_t code;

	(void)resource;
	(void)query;
	if (!l || !l->service) {
		refuse(response, HT_SERVICE_UNAVAILABLE);
		return;
	}
	code = ht_caller_message_read(&msg, request);
	if (code) {
		ht_count(c->p.counters, HT_C_datagrams_malformed, 1);
		refuse(response, code);
		ht_caller_message_clear(&msg);
		return;
	}
	addr_from_coap(&caller, coap_session_get_addr_remote(session));
	msg.req.service = l->service;
	msg.req.flow = ht_flow_id(&caller, l->service);
	p = pending_add(c, session, request);
	if (p)
		c->p.ops->request(c->p.ctx, p->handle, &msg.req);
	else
		refuse(response, HT_SERVICE_UNAVAILABLE);
	ht_caller_message_clear(&msg);
}

bool ht_caller_answer(struct ht_caller *caller, uint64_t handle, const struct ht_answer *ans)
{
	struct pending *p = g_hash_table_lookup(caller->pending, &handle);
	coap_pdu_t *pdu;

	if (!p)
		return false;
	pdu = coap_pdu_init(COAP_MESSAGE_NON, (coap_pdu_code_t)ans->code,
			    coap_new_message_id(p->session), coap_session_max_pdu_size(p->session));
	if (pdu && coap_add_token(pdu, p->token_len, p->token) && ht_caller_message_write(pdu, ans))
		coap_send(p->session, pdu);
	else
		coap_delete_pdu(pdu);
	g_hash_table_remove(caller->pending, &handle);
	return true;
}

size_t ht_caller_pending(const struct ht_caller *caller)
{
	return g_hash_table_size(caller->pending);
}

static void listener_open(struct ht_caller *c, struct listener *l)
{
	int fd = ht_datagram_filter_next_fd();
	coap_address_t addr;
	char text[HT_ADDR_TEXT];

	coap_address_init(&addr);
	addr.size = l->addr.len;
	memcpy(&addr.addr, &l->addr.ss, l->addr.len);
	l->ep = coap_new_endpoint(c->coap, &addr, COAP_PROTO_UDP);
	ht_addr_format(&l->addr, text);
	if (l->ep) {
		l->failure_logged = false;
		if (!ht_datagram_filter_attach(fd, &l->addr))
			ht_log_event(c->p.log, HT_EV_SERVICE_UNFILTERED, 0, 0, "address=%s", text);
		ht_log_event(c->p.log, HT_EV_SERVICE_OPENED, 0, 0, "address=%s", text);
	} else if (!l->failure_logged) {
		l->failure_logged = true;
		ht_log_event(c->p.log, HT_EV_SERVICE_BIND_FAILED, 0, 0, "address=%s", text);
	}
}

static void rebind(struct ht_caller *c, ht_ms now)
{
	struct ht_list *pos;

	c->next_rebind = now + REBIND_MS;
	ht_list_for_each (pos, &c->listeners) {
		struct listener *l = ht_container_of(pos, struct listener, node);

		if (!l->ep && l->service)
			listener_open(c, l);
	}
}

static void report_malformed(struct ht_caller *c, ht_ms now)
{
	ht_count(c->p.counters, HT_C_datagrams_malformed, malformed_seen);
	malformed_seen = 0;
	if (now < c->next_report || c->p.counters->values[HT_C_datagrams_malformed] == c->reported)
		return;
	c->next_report = now + MALFORMED_REPORT_MS;
	ht_log_event(c->p.log, HT_EV_DATAGRAM_MALFORMED, 0, 0, "count=%llu",
		     (unsigned long long)(c->p.counters->values[HT_C_datagrams_malformed] -
					  c->reported));
	c->reported = c->p.counters->values[HT_C_datagrams_malformed];
}

static void process(struct ht_caller *c)
{
	processing = true;
	coap_io_process(c->coap, COAP_IO_NO_WAIT);
	processing = false;
}

static void on_readable(struct ev_loop *loop, struct ev_io *w, int revents)
{
	struct ht_caller *c = w->data;

	(void)loop;
	(void)revents;
	process(c);
}

static void on_tick(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct ht_caller *c = w->data;
	ht_ms now = ht_clock_now(&ht_clock_monotonic);

	(void)loop;
	(void)revents;
	process(c);
	report_malformed(c, now);
	if (now >= c->next_rebind)
		rebind(c, now);
}

static bool bound_address(const struct ht_caller *c, const struct ht_service_conf *svc,
			  struct ht_addr *addr)
{
	char text[HT_ADDR_TEXT + HT_ADDR_TEXT];
	const struct sockaddr_in *in = (const struct sockaddr_in *)&svc->addr.ss;

	if (!c->p.bind_ip) {
		*addr = svc->addr;
		return true;
	}
	/* The port is at the same place for both families. */
	snprintf(text, sizeof(text), strchr(c->p.bind_ip, ':') ? "[%s]:%u" : "%s:%u", c->p.bind_ip,
		 (unsigned int)ntohs(in->sin_port));
	return ht_addr_parse(addr, text, NULL);
}

static void serve(struct ht_caller *c, const struct ht_service_conf *svc)
{
	char text[HT_ADDR_TEXT];
	struct listener *l;
	struct ht_addr addr;

	if (!bound_address(c, svc, &addr))
		return;
	l = g_hash_table_lookup(c->by_addr, ht_addr_format(&addr, text));
	if (!l) {
		l = calloc(1, sizeof(*l));
		if (!l)
			return;
		l->addr = addr;
		ht_list_add_tail(&c->listeners, &l->node);
		g_hash_table_insert(c->by_addr, g_strdup(text), l);
	}
	l->service = svc->id;
	if (!l->ep)
		listener_open(c, l);
}

/*
 * The endpoint of an address that no service uses any more stays open and refuses requests: libcoap
 * aborts the process when an endpoint is freed while anything refers to one of its sessions.
 */
static void log_unserved(struct ht_caller *c)
{
	char text[HT_ADDR_TEXT];
	struct ht_list *pos;

	ht_list_for_each (pos, &c->listeners) {
		struct listener *l = ht_container_of(pos, struct listener, node);

		if (l->served && !l->service)
			ht_log_event(c->p.log, HT_EV_SERVICE_CLOSED, 0, 0, "address=%s",
				     ht_addr_format(&l->addr, text));
		l->served = l->service != 0;
	}
}

void ht_caller_configure(struct ht_caller *caller, const struct ht_config *cfg)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &caller->listeners)
		ht_container_of(pos, struct listener, node)->service = 0;
	for (size_t i = 0; i < cfg->service_count; i++)
		if (strcmp(cfg->services[i].region, caller->p.region) == 0)
			serve(caller, &cfg->services[i]);
	log_unserved(caller);
}

static void register_handlers(coap_resource_t *r)
{
	coap_register_request_handler(r, COAP_REQUEST_GET, on_request);
	coap_register_request_handler(r, COAP_REQUEST_POST, on_request);
	coap_register_request_handler(r, COAP_REQUEST_PUT, on_request);
	coap_register_request_handler(r, COAP_REQUEST_DELETE, on_request);
}

static bool coap_set_up(struct ht_caller *c)
{
	/* libcoap would answer this path itself. */
	static const uint8_t path[] = ".well-known/core";
	coap_resource_t *core = coap_resource_init(coap_new_str_const(path, sizeof(path) - 1),
						   COAP_RESOURCE_FLAGS_RELEASE_URI);
	coap_resource_t *any = coap_resource_unknown_init(on_request);

	if (!core || !any)
		return false;
	register_handlers(core);
	register_handlers(any);
	coap_add_resource(c->coap, core);
	coap_add_resource(c->coap, any);
	coap_set_app_data(c->coap, c);
	coap_register_option(c->coap, HT_OPTION_CANCEL);
	coap_context_set_block_mode(c->coap, 0);
	coap_context_set_max_idle_sessions(c->coap, IDLE_SESSIONS_MAX);
	coap_context_set_session_timeout(c->coap, IDLE_SESSION_S);
	coap_set_log_handler(on_coap_log);
	coap_set_log_level(LOG_WARNING);
	return true;
}

struct ht_caller *ht_caller_new(const struct ht_caller_params *params, struct ht_err *err)
{
	struct ht_caller *c = calloc(1, sizeof(*c));

	if (c)
		c->coap = coap_new_context(NULL);
	if (!c || !c->coap || !coap_set_up(c)) {
		if (c && c->coap)
			coap_free_context(c->coap);
		free(c);
		ht_err_set(err, HT_ENOMEM, "CoAP context cannot be created");
		return NULL;
	}
	c->p = *params;
	ht_list_init(&c->listeners);
	c->by_addr = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	c->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, pending_free);
	ev_io_init(&c->io, on_readable, coap_context_get_coap_fd(c->coap), EV_READ);
	c->io.data = c;
	ev_io_start(c->p.loop, &c->io);
	ev_timer_init(&c->tick, on_tick, TICK_S, TICK_S);
	c->tick.data = c;
	ev_timer_start(c->p.loop, &c->tick);
	return c;
}

void ht_caller_free(struct ht_caller *caller)
{
	if (!caller)
		return;
	ev_io_stop(caller->p.loop, &caller->io);
	ev_timer_stop(caller->p.loop, &caller->tick);
	g_hash_table_destroy(caller->pending);
	g_hash_table_destroy(caller->by_addr);
	coap_free_context(caller->coap);
	coap_set_log_handler(NULL);
	free(caller);
}
