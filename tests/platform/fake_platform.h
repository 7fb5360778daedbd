/* HTTP server on a loopback port that simulates the platform and an instance's admin address. */
#ifndef TESTS_FAKE_PLATFORM_H
#define TESTS_FAKE_PLATFORM_H

#include <arpa/inet.h>
#include <check.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct fake {
	struct MHD_Daemon *daemon;
	char addr[32];
	pthread_mutex_t lock;
	json_t *objects;   /* maps a name to {"version","value"} */
	json_t *instances; /* list of instances */
	json_t *status;	   /* response to GET /status */
	json_t *timeline;  /* response to GET /timeline */
	int down;	   /* respond with status 503 to every call */
	int lose_answers;  /* this many writes of config/head take effect, but get no response */
	int lose_writes;   /* this many writes of config/head get lost before they take effect */
	int reads, writes; /* number of calls on objects */
	int era;	   /* Store-Era header of each response; 0: no header */
	long revision;	   /* of the list of instances, 1 at first */
	int ended;	   /* watches return at once */
	/* Called once before a write of config/head, such as to make a concurrent write. */
	void (*before_write)(struct fake *f);
	/* Called once after a write of config/head whose response is lost. */
	void (*after_write)(struct fake *f);
};

struct fake_upload {
	char *data;
	size_t len;
};

static enum MHD_Result fake_answer(const struct fake *f, struct MHD_Connection *conn,
				   unsigned int status, json_t *body)
{
	char *text = body ? json_dumps(body, 0) : strdup("");
	struct MHD_Response *rsp =
		MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result ret;
	char era[16];

	snprintf(era, sizeof(era), "%d", f->era);
	if (f->era)
		MHD_add_response_header(rsp, "Store-Era", era);
	ret = MHD_queue_response(conn, status, rsp);

	MHD_destroy_response(rsp);
	json_decref(body);
	return ret;
}

static long fake_arg(struct MHD_Connection *conn, const char *key, long missing)
{
	const char *s = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, key);

	return s ? strtol(s, NULL, 10) : missing;
}

/* Stores @value as version @version, or as the next version if that is 0; returns the version. */
static inline long fake_put(struct fake *f, const char *name, json_t *value, long version)
{
	json_t *old = json_object_get(f->objects, name);

	if (!version)
		version = json_integer_value(json_object_get(old, "version")) + 1;
	json_object_set_new(f->objects, name,
			    json_pack("{sIso}", "version", (json_int_t)version, "value", value));
	return version;
}

static enum MHD_Result fake_write(struct fake *f, struct MHD_Connection *conn, const char *name,
				  const struct fake_upload *up)
{
	bool head = strcmp(name, "config/head") == 0;
	long want = fake_arg(conn, "if_version", -1), have;
	json_t *old;

	f->writes++;
	if (head && f->before_write) {
		void (*hook)(struct fake * f) = f->before_write;

		f->before_write = NULL;
		hook(f);
	}
	if (head && f->lose_writes > 0) {
		f->lose_writes--;
		return MHD_NO;
	}
	old = json_object_get(f->objects, name);
	have = json_integer_value(json_object_get(old, "version"));
	if (want != have)
		return fake_answer(f, conn, 409, json_incref(old ? old : json_object()));
	have = fake_put(f, name, json_loadb(up->data, up->len, JSON_DECODE_ANY, NULL), 0);
	if (head && f->lose_answers > 0) {
		f->lose_answers--;
		if (f->after_write)
			f->after_write(f);
		f->after_write = NULL;
		return MHD_NO;
	}
	return fake_answer(f, conn, 200, json_pack("{sI}", "version", (json_int_t)have));
}

static enum MHD_Result fake_read(struct fake *f, struct MHD_Connection *conn, const char *name)
{
	long known = fake_arg(conn, "watch", -1), left_ms = fake_arg(conn, "timeout_ms", 0);
	json_t *obj;

	f->reads++;
	while ((obj = json_object_get(f->objects, name)) &&
	       json_integer_value(json_object_get(obj, "version")) == known) {
		if (left_ms <= 0 || f->ended)
			return fake_answer(f, conn, 304, NULL);
		pthread_mutex_unlock(&f->lock);
		usleep(10000);
		left_ms -= 10;
		pthread_mutex_lock(&f->lock);
	}
	return fake_answer(f, conn, obj ? 200 : 404, json_incref(obj));
}

static enum MHD_Result fake_route(struct fake *f, struct MHD_Connection *conn, const char *url,
				  const char *method, const struct fake_upload *up)
{
	static const char objects[] = "/v1/objects/";

	if (f->down)
		return fake_answer(f, conn, 503, NULL);
	if (strncmp(url, objects, strlen(objects)) == 0) {
		const char *name = url + strlen(objects);

		return strcmp(method, "PUT") == 0 ? fake_write(f, conn, name, up)
						  : fake_read(f, conn, name);
	}
	if (strcmp(url, "/v1/instances") == 0)
		return fake_answer(f, conn, 200,
				   json_pack("{sIsO}", "revision", (json_int_t)f->revision,
					     "instances", f->instances));
	if (strcmp(url, "/status") == 0 && f->status)
		return fake_answer(f, conn, 200, json_incref(f->status));
	if (strcmp(url, "/timeline") == 0 && f->timeline)
		return fake_answer(f, conn, 200, json_incref(f->timeline));
	return fake_answer(f, conn, 404, NULL);
}

static enum MHD_Result fake_handle(void *ctx, struct MHD_Connection *conn, const char *url,
				   const char *method, const char *http_version, const char *data,
				   size_t *len, void **state)
{
	struct fake_upload *up = *state;
	struct fake *f = ctx;
	enum MHD_Result ret;

	(void)http_version;
	if (!up) {
		*state = calloc(1, sizeof(*up));
		return MHD_YES;
	}
	if (*len) {
		up->data = realloc(up->data, up->len + *len);
		memcpy(up->data + up->len, data, *len);
		up->len += *len;
		*len = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&f->lock);
	ret = fake_route(f, conn, url, method, up);
	pthread_mutex_unlock(&f->lock);
	return ret;
}

static void fake_completed(void *ctx, struct MHD_Connection *conn, void **state,
			   enum MHD_RequestTerminationCode code)
{
	struct fake_upload *up = *state;

	(void)ctx;
	(void)conn;
	(void)code;
	if (up)
		free(up->data);
	free(up);
	*state = NULL;
}

static inline void fake_start(struct fake *f)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};

	memset(f, 0, sizeof(*f));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	pthread_mutex_init(&f->lock, NULL);
	f->objects = json_object();
	f->instances = json_array();
	f->revision = 1;
	f->daemon =
		MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0,
				 NULL, NULL, fake_handle, f, MHD_OPTION_SOCK_ADDR, &sa,
				 MHD_OPTION_NOTIFY_COMPLETED, fake_completed, NULL, MHD_OPTION_END);
	ck_assert_ptr_nonnull(f->daemon);
	snprintf(f->addr, sizeof(f->addr), "127.0.0.1:%u",
		 MHD_get_daemon_info(f->daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
}

static inline void fake_stop(struct fake *f)
{
	pthread_mutex_lock(&f->lock);
	f->ended = 1;
	pthread_mutex_unlock(&f->lock);
	MHD_stop_daemon(f->daemon);
	json_decref(f->objects);
	json_decref(f->instances);
	json_decref(f->status);
	json_decref(f->timeline);
	pthread_mutex_destroy(&f->lock);
}

#endif
