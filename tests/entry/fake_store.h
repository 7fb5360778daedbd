/* The platform's store as far as an entry instance reads it: two kinds, listed and watched. */
#ifndef TESTS_FAKE_STORE_H
#define TESTS_FAKE_STORE_H

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

struct fake_store {
	struct MHD_Daemon *daemon;
	char addr[32];
	pthread_mutex_t lock;
	json_t *kinds; /* kind to name to object */
	json_t *log;   /* list of {"kind","rev","deleted","object"} */
	json_int_t revision;
	int down; /* every call gets status 503 */
};

/* Puts an object, or deletes it when @spec is NULL. */
static inline void fake_store_put(struct fake_store *f, const char *kind, const char *name,
				  json_t *spec)
{
	json_t *object;

	pthread_mutex_lock(&f->lock);
	object =
		json_pack("{s{sssI}so?}", "meta", "name", name, "rev", ++f->revision, "spec", spec);
	json_array_append_new(f->log, json_pack("{sssIsbsO}", "kind", kind, "rev", f->revision,
						"deleted", !spec, "object", object));
	if (!json_object_get(f->kinds, kind))
		json_object_set_new(f->kinds, kind, json_object());
	if (spec)
		json_object_set(json_object_get(f->kinds, kind), name, object);
	else
		json_object_del(json_object_get(f->kinds, kind), name);
	json_decref(object);
	pthread_mutex_unlock(&f->lock);
}

static inline json_t *fake_store_list(struct fake_store *f, const char *kind)
{
	json_t *items = json_array(), *object;
	const char *name;

	json_object_foreach(json_object_get(f->kinds, kind), name, object)
	{
		json_array_append(items, object);
	}
	return json_pack("{sosbsI}", "items", items, "hasMore", 0, "at", f->revision);
}

static inline json_t *fake_store_changes(struct fake_store *f, const char *kind, long since,
					 long wait)
{
	json_t *events = json_array(), *change;
	size_t i;

	for (;; wait -= 10) {
		json_array_foreach(f->log, i, change)
		{
			if (json_integer_value(json_object_get(change, "rev")) > since &&
			    strcmp(json_string_value(json_object_get(change, "kind")), kind) == 0)
				json_array_append(events, change);
		}
		if (json_array_size(events) || wait <= 0)
			return json_pack("{sosI}", "events", events, "at", f->revision);
		pthread_mutex_unlock(&f->lock);
		usleep(10000);
		pthread_mutex_lock(&f->lock);
	}
}

static inline enum MHD_Result fake_store_answer(struct MHD_Connection *conn, unsigned int status,
						json_t *body)
{
	char *text = body ? json_dumps(body, 0) : strdup("");
	struct MHD_Response *rsp =
		MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result ret = MHD_queue_response(conn, status, rsp);

	MHD_destroy_response(rsp);
	json_decref(body);
	return ret;
}

static inline long fake_store_arg(struct MHD_Connection *conn, const char *key, long missing)
{
	const char *s = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, key);

	return s ? strtol(s, NULL, 10) : missing;
}

static enum MHD_Result fake_store_handle(void *ctx, struct MHD_Connection *conn, const char *url,
					 const char *method, const char *version, const char *data,
					 size_t *len, void **state)
{
	static const char prefix[] = "/-/objects/";
	long since = fake_store_arg(conn, "watch", -1);
	struct fake_store *f = ctx;
	json_t *body = NULL;

	(void)method;
	(void)version;
	(void)data;
	(void)len;
	(void)state;
	pthread_mutex_lock(&f->lock);
	if (!f->down && strncmp(url, prefix, strlen(prefix)) == 0) {
		const char *kind = url + strlen(prefix);

		body = since < 0 ? fake_store_list(f, kind)
				 : fake_store_changes(f, kind, since,
						      fake_store_arg(conn, "waitMs", 0));
	}
	pthread_mutex_unlock(&f->lock);
	return fake_store_answer(conn, body ? 200 : 503, body);
}

static inline void fake_store_start(struct fake_store *f)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};

	memset(f, 0, sizeof(*f));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	pthread_mutex_init(&f->lock, NULL);
	f->kinds = json_object();
	f->log = json_array();
	f->revision = 10;
	f->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL, NULL,
		fake_store_handle, f, MHD_OPTION_SOCK_ADDR, &sa, MHD_OPTION_END);
	ck_assert_ptr_nonnull(f->daemon);
	snprintf(f->addr, sizeof(f->addr), "127.0.0.1:%u",
		 MHD_get_daemon_info(f->daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
}

static inline void fake_store_stop(struct fake_store *f)
{
	MHD_stop_daemon(f->daemon);
	json_decref(f->kinds);
	json_decref(f->log);
	pthread_mutex_destroy(&f->lock);
}

#endif
