/*
 * Stand-in of the platform: the object API of section 3.15 of docs/design.md, with knobs for
 * outage, slowness, lost write answers and a lagging instance list.
 */
#include "base/addr.h"
#include "base/clock.h"
#include "base/list.h"
#include "standins/common/store.h"

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>
#include <string.h>

#define VALUE_MAX (1 << 20)
#define WATCH_MAX_MS 120000

struct platform {
	struct ht_si_store store;
	struct MHD_Daemon *http;
	struct ev_loop *loop;
	struct ev_io io;
	struct ev_timer tick;
	struct ht_list waiting; /**< suspended requests */
	struct ht_list lagging; /**< instance lists that are not published yet */
};

/* One HTTP request; while it waits, its connection is suspended. */
struct request {
	struct ht_list node;
	struct MHD_Connection *conn;
	GByteArray *body;
	ht_ms delayed_until, watch_until; /* 0 until set */
	bool counted, suspended;
};

struct lagging_list {
	struct ht_list node;
	ht_ms due;
	json_t *instances;
};

static ht_ms now_ms(void)
{
	return ht_clock_now(&ht_clock_monotonic);
}

static int64_t query_int(struct MHD_Connection *conn, const char *key, int64_t def)
{
	const char *s = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, key);

	return s ? g_ascii_strtoll(s, NULL, 10) : def;
}

static enum MHD_Result answer(struct MHD_Connection *conn, unsigned code, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct MHD_Response *res;
	enum MHD_Result ok;

	json_decref(body);
	res = MHD_create_response_from_buffer(text ? strlen(text) : 0, text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(res, "Content-Type", "application/json");
	ok = MHD_queue_response(conn, code, res);
	MHD_destroy_response(res);
	return ok;
}

static enum MHD_Result suspend(struct platform *p, struct request *r)
{
	r->suspended = true;
	ht_list_add_tail(&p->waiting, &r->node);
	MHD_suspend_connection(r->conn);
	return MHD_YES;
}

static void resume(struct request *r)
{
	r->suspended = false;
	ht_list_del(&r->node);
	MHD_resume_connection(r->conn);
}

/* Lets every waiting request look at the state again. */
static void wake_all(struct platform *p)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &p->waiting)
		resume(ht_container_of(pos, struct request, node));
}

static json_t *object_json(const struct ht_si_object *obj)
{
	return json_pack("{sIsO}", "version", (json_int_t)obj->version, "value", obj->value);
}

/* True while the watch of @r has nothing to tell; sets its end at the first call. */
static bool watch_waits(struct request *r, int64_t version)
{
	int64_t ms = CLAMP(query_int(r->conn, "timeout_ms", 30000), 0, WATCH_MAX_MS);

	if (query_int(r->conn, "watch", -1) != version)
		return false;
	if (!r->watch_until)
		r->watch_until = now_ms() + ms;
	return now_ms() < r->watch_until;
}

static bool watch_ended(struct request *r, int64_t version)
{
	return query_int(r->conn, "watch", -1) == version;
}

static enum MHD_Result get_object(struct platform *p, struct request *r, const char *name)
{
	struct ht_si_object *obj = ht_si_store_get(&p->store, name);
	int64_t version = obj ? obj->version : 0;

	if (watch_waits(r, version))
		return suspend(p, r);
	if (watch_ended(r, version))
		return answer(r->conn, MHD_HTTP_NOT_MODIFIED, NULL);
	if (!obj)
		return answer(r->conn, MHD_HTTP_NOT_FOUND, json_object());
	return answer(r->conn, MHD_HTTP_OK, object_json(obj));
}

static enum MHD_Result get_instances(struct platform *p, struct request *r)
{
	if (watch_waits(r, p->store.revision))
		return suspend(p, r);
	if (watch_ended(r, p->store.revision))
		return answer(r->conn, MHD_HTTP_NOT_MODIFIED, NULL);
	return answer(r->conn, MHD_HTTP_OK,
		      json_pack("{sIsO}", "revision", (json_int_t)p->store.revision, "instances",
				p->store.instances));
}

static json_t *body_json(const struct request *r)
{
	return json_loadb((const char *)r->body->data, r->body->len, JSON_DECODE_ANY, NULL);
}

static enum MHD_Result put_object(struct platform *p, struct request *r, const char *name)
{
	int64_t if_version = query_int(r->conn, "if_version", -1);
	struct ht_si_object *obj;
	json_t *value;
	bool done;

	if (r->body->len > VALUE_MAX)
		return answer(r->conn, MHD_HTTP_CONTENT_TOO_LARGE, json_object());
	value = body_json(r);
	if (!value || if_version < 0) {
		json_decref(value);
		return answer(r->conn, MHD_HTTP_BAD_REQUEST, json_object());
	}
	obj = ht_si_store_put(&p->store, name, if_version, value, &done);
	if (!done)
		return answer(r->conn, MHD_HTTP_CONFLICT,
			      obj ? object_json(obj) : json_pack("{sisn}", "version", 0, "value"));
	wake_all(p);
	if (p->store.lose_write_answers > 0) {
		p->store.lose_write_answers--;
		return MHD_NO;
	}
	return answer(r->conn, MHD_HTTP_OK, json_pack("{sI}", "version", (json_int_t)obj->version));
}

static enum MHD_Result put_instances(struct platform *p, struct request *r)
{
	struct lagging_list *l;
	json_t *list = body_json(r);

	if (!json_is_array(list)) {
		json_decref(list);
		return answer(r->conn, MHD_HTTP_BAD_REQUEST, json_object());
	}
	l = g_new0(struct lagging_list, 1);
	l->due = now_ms() + p->store.list_lag_ms;
	l->instances = list;
	ht_list_add_tail(&p->lagging, &l->node);
	return answer(r->conn, MHD_HTTP_OK, json_object());
}

static enum MHD_Result put_knobs(struct platform *p, struct request *r)
{
	json_t *knobs = body_json(r);
	bool ok = ht_si_store_knobs(&p->store, knobs);

	json_decref(knobs);
	if (p->store.down)
		wake_all(p);
	return answer(r->conn, ok ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST, json_object());
}

static enum MHD_Result put_force(struct platform *p, struct request *r, const char *name)
{
	json_t *state = body_json(r), *value = json_object_get(state, "value");
	json_int_t version = json_integer_value(json_object_get(state, "version"));
	bool ok = value && version > 0;

	if (ok) {
		ht_si_store_force(&p->store, name, version, json_incref(value));
		wake_all(p);
	}
	json_decref(state);
	return answer(r->conn, ok ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST, json_object());
}

/* The harness's own calls; knobs do not affect them. */
static enum MHD_Result control(struct platform *p, struct request *r, const char *url, bool put)
{
	if (put && strcmp(url, "/knobs") == 0)
		return put_knobs(p, r);
	if (put && strcmp(url, "/instances") == 0)
		return put_instances(p, r);
	if (put && g_str_has_prefix(url, "/force/"))
		return put_force(p, r, url + strlen("/force/"));
	if (!put && strcmp(url, "/calls") == 0)
		return answer(r->conn, MHD_HTTP_OK, json_incref(p->store.calls));
	/* The fabric reads the list here, so that its reads are not counted as the product's. */
	if (!put && strcmp(url, "/instances") == 0 && !p->store.down)
		return get_instances(p, r);
	return answer(r->conn, MHD_HTTP_NOT_FOUND, json_object());
}

static enum MHD_Result api(struct platform *p, struct request *r, const char *url, bool put)
{
	static const char objects[] = "/v1/objects/";

	if (!put && strcmp(url, "/v1/instances") == 0)
		return get_instances(p, r);
	if (!g_str_has_prefix(url, objects))
		return answer(r->conn, MHD_HTTP_NOT_FOUND, json_object());
	url += strlen(objects);
	return put ? put_object(p, r, url) : get_object(p, r, url);
}

static void count(struct platform *p, struct request *r, const char *url, bool put)
{
	bool watch = query_int(r->conn, "watch", -1) >= 0;

	ht_si_store_count(&p->store, put ? "write" : watch ? "watch" : "read", url);
	r->counted = true;
}

static enum MHD_Result dispatch(struct platform *p, struct request *r, const char *url, bool put)
{
	if (!g_str_has_prefix(url, "/v1/"))
		return control(p, r, url, put);
	if (!r->counted)
		count(p, r, url, put);
	if (p->store.down)
		return MHD_NO;
	if (!r->delayed_until)
		r->delayed_until = now_ms() + p->store.delay_ms;
	if (now_ms() < r->delayed_until)
		return suspend(p, r);
	return api(p, r, url, put);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *len, void **ctx)
{
	struct request *r = *ctx;
	bool put = strcmp(method, MHD_HTTP_METHOD_PUT) == 0;

	(void)version;
	if (!r) {
		r = g_new0(struct request, 1);
		r->conn = conn;
		r->body = g_byte_array_new();
		ht_list_init(&r->node);
		*ctx = r;
		return MHD_YES;
	}
	if (*len) {
		/* Keeps just enough to see that the value is too large. */
		if (r->body->len <= VALUE_MAX)
			g_byte_array_append(r->body, (const uint8_t *)data, (guint)*len);
		*len = 0;
		return MHD_YES;
	}
	if (!put && strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		return answer(conn, MHD_HTTP_METHOD_NOT_ALLOWED, json_object());
	return dispatch(cls, r, url, put);
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct request *r = *ctx;

	(void)cls, (void)conn, (void)code;
	if (!r)
		return;
	ht_list_del(&r->node);
	g_byte_array_unref(r->body);
	g_free(r);
	*ctx = NULL;
}

static void publish_due(struct platform *p)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &p->lagging) {
		struct lagging_list *l = ht_container_of(pos, struct lagging_list, node);

		if (now_ms() < l->due)
			break;
		ht_si_store_publish(&p->store, l->instances);
		ht_list_del(&l->node);
		g_free(l);
		wake_all(p);
	}
}

static void on_io(struct ev_loop *loop, struct ev_io *w, int events)
{
	struct platform *p = w->data;

	(void)loop, (void)events;
	MHD_run(p->http);
}

static bool is_due(const struct request *r, ht_ms now)
{
	return r->watch_until ? now >= r->watch_until : now >= r->delayed_until;
}

static void on_tick(struct ev_loop *loop, struct ev_timer *w, int events)
{
	struct platform *p = w->data;
	struct ht_list *pos, *tmp;
	ht_ms now = now_ms();

	(void)loop, (void)events;
	publish_due(p);
	ht_list_for_each_safe (pos, tmp, &p->waiting) {
		struct request *r = ht_container_of(pos, struct request, node);

		if (is_due(r, now))
			resume(r);
	}
	MHD_run(p->http);
}

static void on_stop(struct ev_loop *loop, struct ev_signal *w, int events)
{
	(void)w, (void)events;
	ev_break(loop, EVBREAK_ALL);
}

static bool start_http(struct platform *p, const struct ht_addr *addr)
{
	const union MHD_DaemonInfo *info;

	p->http = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
				   on_request, p, MHD_OPTION_SOCK_ADDR, &addr->ss,
				   MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
				   MHD_OPTION_NOTIFY_COMPLETED, on_completed, p, MHD_OPTION_END);
	if (!p->http)
		return false;
	info = MHD_get_daemon_info(p->http, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&p->io, on_io, info->epoll_fd, EV_READ);
	p->io.data = p;
	ev_io_start(p->loop, &p->io);
	/* 5 ms bounds the error of delays and lags; MHD has no timers of its own here. */
	ev_timer_init(&p->tick, on_tick, 0.005, 0.005);
	p->tick.data = p;
	ev_timer_start(p->loop, &p->tick);
	return true;
}

int main(int argc, char **argv)
{
	struct platform p = {.loop = ev_default_loop(0)};
	struct ev_signal stop[2];
	struct ht_addr addr;
	struct ht_err err;

	if (argc != 2 || !ht_addr_parse(&addr, argv[1], &err)) {
		g_printerr("usage: platform IP:PORT\n");
		return 2;
	}
	ht_si_store_init(&p.store);
	ht_list_init(&p.waiting);
	ht_list_init(&p.lagging);
	if (!start_http(&p, &addr)) {
		g_printerr("platform: cannot listen on %s\n", argv[1]);
		return 1;
	}
	for (int i = 0; i < 2; i++) {
		ev_signal_init(&stop[i], on_stop, i ? SIGINT : SIGTERM);
		ev_signal_start(p.loop, &stop[i]);
	}
	ev_run(p.loop, 0);
	wake_all(&p);
	MHD_stop_daemon(p.http);
	ht_si_store_clear(&p.store);
	return 0;
}
