#include "standins/common/metadata.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <time.h>

#define OBJECTS_PATH "/-/objects/"
#define CONTROL_PATH "/control/"
#define BODY_MAX (1 << 20)

/* Revisions start above 0. */
#define FIRST_REVISION 10

struct view {
	json_int_t era, revision;
	json_t *kinds; /* kind to name to object */
};

struct ht_si_metadata {
	struct MHD_Daemon *http;
	char address[32];
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct view now, stale; /* stale.kinds is NULL unless cheap listings are stale */
	struct view before;	/* at the end of the era before; kinds is NULL in the first */
	json_t *log;		/* list of {"kind", "rev", "deleted", "object"} */
	json_int_t compacted;	/* changes up to this revision are no longer kept */
	size_t page, reads;
	bool down, ended, no_era, late;
};

static const char *const fault_names[] = {
	[HT_SI_DOWN] = "down",	   [HT_SI_STALE] = "stale", [HT_SI_COMPACT] = "compact",
	[HT_SI_NO_ERA] = "no-era", [HT_SI_LATE] = "late",
};

static json_t *kind_of(struct view *view, const char *kind)
{
	json_t *objects = json_object_get(view->kinds, kind);

	if (!objects) {
		objects = json_object();
		json_object_set_new(view->kinds, kind, objects);
	}
	return objects;
}

/* What a target writes changes its entry when more than the number of the report does. */
static bool changes(struct ht_si_metadata *md, const char *kind, const char *name,
		    const json_t *spec)
{
	const json_t *object = json_object_get(kind_of(&md->now, kind), name);
	json_t *before, *after;
	bool same;

	if (!object || !spec)
		return object || spec;
	before = json_copy(json_object_get(object, "spec"));
	after = json_copy((json_t *)spec);
	json_object_del(before, "sequence");
	json_object_del(after, "sequence");
	same = json_equal(before, after);
	json_decref(before);
	json_decref(after);
	return !same;
}

static void put(struct ht_si_metadata *md, const char *kind, const char *name, json_t *spec)
{
	json_t *object;

	if (!changes(md, kind, name, spec))
		return;
	object = json_pack("{s{sssI}so}", "meta", "name", name, "rev", ++md->now.revision, "spec",
			   spec ? json_incref(spec) : json_null());

	json_array_append_new(md->log,
			      json_pack("{sssIsbsO}", "kind", kind, "rev", md->now.revision,
					"deleted", !spec, "object", object));
	if (spec)
		json_object_set(kind_of(&md->now, kind), name, object);
	else
		json_object_del(kind_of(&md->now, kind), name);
	json_decref(object);
	pthread_cond_broadcast(&md->changed);
}

void ht_si_metadata_put(struct ht_si_metadata *md, const char *kind, const char *name, json_t *spec)
{
	pthread_mutex_lock(&md->lock);
	put(md, kind, name, spec);
	pthread_mutex_unlock(&md->lock);
	json_decref(spec);
}

static void set_fault(struct ht_si_metadata *md, enum ht_si_metadata_fault fault, bool on)
{
	switch (fault) {
	case HT_SI_DOWN:
		md->down = on;
		break;
	case HT_SI_STALE:
		json_decref(md->stale.kinds);
		md->stale.kinds = on ? json_deep_copy(md->now.kinds) : NULL;
		md->stale.revision = md->now.revision;
		md->stale.era = md->now.era;
		break;
	case HT_SI_NO_ERA:
		md->no_era = on;
		break;
	case HT_SI_LATE:
		md->late = on;
		break;
	case HT_SI_COMPACT:
		md->compacted = md->now.revision;
		break;
	case HT_SI_FAULTS:
		break;
	}
	pthread_cond_broadcast(&md->changed);
}

void ht_si_metadata_set(struct ht_si_metadata *md, enum ht_si_metadata_fault fault, bool on)
{
	pthread_mutex_lock(&md->lock);
	set_fault(md, fault, on);
	pthread_mutex_unlock(&md->lock);
}

/* The objects as they were at @revision, from the log, which is cut there. */
static json_t *replay(struct ht_si_metadata *md, json_int_t revision)
{
	struct view view = {.kinds = json_object()};
	json_t *log = json_array(), *change;
	size_t i;

	json_array_foreach(md->log, i, change)
	{
		json_t *object = json_object_get(change, "object");
		json_t *kind = kind_of(&view, json_string_value(json_object_get(change, "kind")));
		const char *name =
			json_string_value(json_object_get(json_object_get(object, "meta"), "name"));

		if (json_integer_value(json_object_get(change, "rev")) > revision)
			break;
		if (json_is_true(json_object_get(change, "deleted")))
			json_object_del(kind, name);
		else
			json_object_set(kind, name, object);
		json_array_append(log, change);
	}
	json_decref(md->log);
	md->log = log;
	return view.kinds;
}

static void come_back(struct ht_si_metadata *md, json_int_t lost)
{
	json_int_t copy = md->now.revision - lost;

	if (copy < FIRST_REVISION)
		copy = FIRST_REVISION;
	json_decref(md->before.kinds);
	md->before = md->now;
	md->now = (struct view){md->before.era + 1, copy, replay(md, copy)};
	if (md->compacted > copy)
		md->compacted = copy;
	pthread_cond_broadcast(&md->changed);
}

void ht_si_metadata_return(struct ht_si_metadata *md, size_t lost)
{
	pthread_mutex_lock(&md->lock);
	come_back(md, (json_int_t)lost);
	pthread_mutex_unlock(&md->lock);
}

size_t ht_si_metadata_reads(struct ht_si_metadata *md)
{
	size_t reads;

	pthread_mutex_lock(&md->lock);
	reads = md->reads;
	pthread_mutex_unlock(&md->lock);
	return reads;
}

void ht_si_metadata_set_page(struct ht_si_metadata *md, size_t page)
{
	pthread_mutex_lock(&md->lock);
	md->page = page;
	pthread_mutex_unlock(&md->lock);
}

static const char *query(struct MHD_Connection *conn, const char *key)
{
	return MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, key);
}

static json_int_t query_number(struct MHD_Connection *conn, const char *key, json_int_t missing)
{
	const char *s = query(conn, key);

	return s ? g_ascii_strtoll(s, NULL, 10) : missing;
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* One page of the objects after @after, in the order of their names. */
static json_t *list(struct ht_si_metadata *md, struct view *view, const char *kind,
		    const char *after)
{
	json_t *objects = kind_of(view, kind), *items = json_array(), *object;
	GPtrArray *names = g_ptr_array_new();
	bool more = false;
	const char *name;

	json_object_foreach(objects, name, object)
	{
		if (!after || strcmp(name, after) > 0)
			g_ptr_array_add(names, (gpointer)name);
	}
	g_ptr_array_sort(names, by_name);
	for (guint i = 0; i < names->len; i++) {
		more = md->page && i == md->page;
		if (more)
			break;
		json_array_append(items, json_object_get(objects, g_ptr_array_index(names, i)));
	}
	g_ptr_array_free(names, TRUE);
	return json_pack("{sosbsI}", "items", items, "hasMore", more, "at", view->revision);
}

static json_t *changes_after(const struct ht_si_metadata *md, const char *kind, json_int_t since)
{
	json_t *events = json_array(), *change;
	size_t i;

	json_array_foreach(md->log, i, change)
	{
		const char *of = json_string_value(json_object_get(change, "kind"));

		if (json_integer_value(json_object_get(change, "rev")) > since &&
		    strcmp(of, kind) == 0)
			json_array_append(events, change);
	}
	return events;
}

/* Waits for changes, or for the end of @wait_ms; NULL when the store has gone down meanwhile, or
 * has come back from a copy. */
static json_t *watch(struct ht_si_metadata *md, const char *kind, json_int_t since,
		     json_int_t wait_ms)
{
	json_int_t era = md->now.era;
	struct timespec end;
	int waited = 0;

	clock_gettime(CLOCK_MONOTONIC, &end);
	end.tv_sec += wait_ms / 1000;
	end.tv_nsec += wait_ms % 1000 * 1000000;
	if (end.tv_nsec >= 1000000000) {
		end.tv_sec++;
		end.tv_nsec -= 1000000000;
	}
	for (;;) {
		json_t *events = changes_after(md, kind, since);

		if (md->down || md->ended || md->now.era != era) {
			json_decref(events);
			return NULL;
		}
		if (json_array_size(events) || waited)
			return json_pack("{sosI}", "events", events, "at", md->now.revision);
		json_decref(events);
		waited = pthread_cond_timedwait(&md->changed, &md->lock, &end);
	}
}

/* @era is that of the answer. */
static unsigned int read_objects(struct ht_si_metadata *md, struct MHD_Connection *conn,
				 const char *kind, json_t **body, json_int_t *era)
{
	json_int_t since = query_number(conn, "watch", -1);
	bool cheap = query(conn, "serializable") && md->stale.kinds;
	struct view *view = cheap ? &md->stale : &md->now;

	md->reads++;
	*era = md->now.era;
	if (md->down)
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	if (md->late && md->before.kinds && md->reads % 2)
		view = &md->before;
	*era = view->era;
	if (since < 0) {
		*body = list(md, view, kind, query(conn, "after"));
		return MHD_HTTP_OK;
	}
	if (view == &md->before) {
		*body = json_pack("{s[]sI}", "events", "at", view->revision);
		return MHD_HTTP_OK;
	}
	if (since < md->compacted || since > md->now.revision)
		return MHD_HTTP_GONE;
	*body = watch(md, kind, since, query_number(conn, "waitMs", 0));
	if (*body)
		return MHD_HTTP_OK;
	if (md->now.era == *era)
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	*era = md->now.era;
	return MHD_HTTP_GONE;
}

/* PUT and DELETE of an object, as its owner writes it. */
static unsigned int write_object(struct ht_si_metadata *md, const char *path, json_t *spec)
{
	char **words = g_strsplit(path, "/", 2);
	unsigned int status = MHD_HTTP_BAD_REQUEST;

	if (words[0] && words[1]) {
		put(md, words[0], words[1], spec);
		status = MHD_HTTP_OK;
	}
	g_strfreev(words);
	return status;
}

/* PUT /control/FAULT sets a fault, DELETE ends it; PUT /control/page and /control/return take a
 * number. */
static unsigned int control(struct ht_si_metadata *md, const char *name, bool on,
			    const json_t *value)
{
	if (strcmp(name, "page") == 0) {
		md->page = (size_t)json_integer_value(value);
		return MHD_HTTP_OK;
	}
	if (strcmp(name, "return") == 0) {
		come_back(md, json_integer_value(value));
		return MHD_HTTP_OK;
	}
	for (int i = 0; i < HT_SI_FAULTS; i++) {
		if (strcmp(name, fault_names[i]) == 0) {
			set_fault(md, (enum ht_si_metadata_fault)i, on);
			return MHD_HTTP_OK;
		}
	}
	return MHD_HTTP_NOT_FOUND;
}

static unsigned int route(struct ht_si_metadata *md, struct MHD_Connection *conn, const char *url,
			  const char *method, const GByteArray *upload, json_t **body,
			  json_int_t *era)
{
	bool get = strcmp(method, "GET") == 0, put_method = strcmp(method, "PUT") == 0;
	json_t *value = put_method ? json_loadb((const char *)upload->data, upload->len,
						JSON_DECODE_ANY, NULL)
				   : NULL;
	unsigned int status = MHD_HTTP_NOT_FOUND;

	*era = md->now.era;
	if (put_method && !value)
		return MHD_HTTP_BAD_REQUEST;
	if (get && strcmp(url, CONTROL_PATH "reads") == 0) {
		*body = json_integer((json_int_t)md->reads);
		status = MHD_HTTP_OK;
	} else if (g_str_has_prefix(url, CONTROL_PATH)) {
		status = control(md, url + strlen(CONTROL_PATH), put_method, value);
	} else if (!g_str_has_prefix(url, OBJECTS_PATH)) {
		status = MHD_HTTP_NOT_FOUND;
	} else if (get) {
		status = read_objects(md, conn, url + strlen(OBJECTS_PATH), body, era);
	} else {
		status = write_object(md, url + strlen(OBJECTS_PATH), value);
	}
	json_decref(value);
	return status;
}

/* An era of 0 is not told. */
static enum MHD_Result answer(struct MHD_Connection *conn, unsigned int status, json_t *body,
			      json_int_t era)
{
	char *text = body ? json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY) : g_strdup("");
	struct MHD_Response *rsp =
		MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result ret;
	char number[24];

	g_snprintf(number, sizeof(number), "%" JSON_INTEGER_FORMAT, era);
	if (era)
		MHD_add_response_header(rsp, "Store-Era", number);
	ret = MHD_queue_response(conn, status, rsp);
	MHD_destroy_response(rsp);
	json_decref(body);
	return ret;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *len, void **state)
{
	GByteArray *upload = *state;
	struct ht_si_metadata *md = ctx;
	json_t *body = NULL;
	unsigned int status;
	json_int_t era;

	(void)version;
	if (!upload) {
		*state = g_byte_array_new();
		return MHD_YES;
	}
	if (*len) {
		if (upload->len + *len > BODY_MAX)
			return MHD_NO;
		g_byte_array_append(upload, (const guint8 *)data, (guint)*len);
		*len = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&md->lock);
	status = route(md, conn, url, method, upload, &body, &era);
	if (md->no_era)
		era = 0;
	pthread_mutex_unlock(&md->lock);
	return answer(conn, status, body, era);
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	(void)ctx;
	(void)conn;
	(void)code;
	if (*state)
		g_byte_array_free(*state, TRUE);
	*state = NULL;
}

struct ht_si_metadata *ht_si_metadata_new(uint16_t port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(port)};
	struct ht_si_metadata *md = g_new0(struct ht_si_metadata, 1);
	pthread_condattr_t attr;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	pthread_mutex_init(&md->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&md->changed, &attr);
	pthread_condattr_destroy(&attr);
	md->now = (struct view){.era = 1, .revision = FIRST_REVISION, .kinds = json_object()};
	md->log = json_array();
	md->http =
		MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0,
				 NULL, NULL, on_request, md, MHD_OPTION_SOCK_ADDR, &sin,
				 MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
	if (!md->http) {
		ht_si_metadata_free(md);
		return NULL;
	}
	g_snprintf(md->address, sizeof(md->address), "127.0.0.1:%u",
		   MHD_get_daemon_info(md->http, MHD_DAEMON_INFO_BIND_PORT)->port);
	return md;
}

void ht_si_metadata_free(struct ht_si_metadata *md)
{
	if (!md)
		return;
	pthread_mutex_lock(&md->lock);
	md->ended = true;
	pthread_cond_broadcast(&md->changed);
	pthread_mutex_unlock(&md->lock);
	if (md->http)
		MHD_stop_daemon(md->http);
	json_decref(md->now.kinds);
	json_decref(md->stale.kinds);
	json_decref(md->before.kinds);
	json_decref(md->log);
	pthread_cond_destroy(&md->changed);
	pthread_mutex_destroy(&md->lock);
	g_free(md);
}

const char *ht_si_metadata_address(const struct ht_si_metadata *md)
{
	return md->address;
}
