/*
 * Stand-in of the fabric: hands each datagram for a service address to a random live instance
 * and returns the answers to the caller from the service address.
 */
#include "base/addr.h"
#include "platform/http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define DATAGRAM_MAX 65536
#define LIST_MS 200
/* The platform is on loopback: a list that takes longer is asked for again. */
#define FETCH_MS 1000
/* Each caller holds one socket; datagrams of further callers are dropped. */
#define CALLERS_MAX 4000

struct options {
	char *platform;
	char **services;
	double loss, reorder;
	int reorder_ms, seed;
};

static struct options opt = {.reorder_ms = 30, .seed = 1};

static const GOptionEntry entries[] = {
	{"platform", 0, 0, G_OPTION_ARG_STRING, &opt.platform, "platform stand-in", "IP:PORT"},
	{"service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.services, "service address", "IP:PORT"},
	{"loss", 0, 0, G_OPTION_ARG_DOUBLE, &opt.loss, "share of datagrams lost", "F"},
	{"reorder", 0, 0, G_OPTION_ARG_DOUBLE, &opt.reorder, "share of datagrams held back", "F"},
	{"reorder-ms", 0, 0, G_OPTION_ARG_INT, &opt.reorder_ms, "held back at most", "MS"},
	{"seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "seed of the random choices", "N"},
	G_OPTION_ENTRY_NULL};

struct fabric {
	struct ev_loop *loop;
	GRand *rand;
	GArray *live;	       /**< in_addr_t of the live instances */
	GHashTable *callers;   /**< caller and service to struct caller */
	struct ev_timer fetch; /**< each LIST_MS */
	struct ht_http *http;
	char *list_url;
	bool fetching;
};

struct service {
	struct fabric *fab;
	struct ev_io io;
	in_port_t port;
};

struct caller_key {
	struct sockaddr_in addr;
	struct service *service;
};

/* A caller as the instances see it: one socket with its own address. */
struct caller {
	struct caller_key key;
	struct fabric *fab;
	struct ev_io io;
};

/* A datagram that is held back. */
struct held {
	struct fabric *fab;
	struct ev_timer timer;
	struct sockaddr_in to;
	int fd;
	size_t len;
	uint8_t data[];
};

static guint key_hash(gconstpointer ptr)
{
	const struct caller_key *k = ptr;

	return k->addr.sin_addr.s_addr * 31 + k->addr.sin_port + GPOINTER_TO_UINT(k->service);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const struct caller_key *x = a, *y = b;

	return x->service == y->service && x->addr.sin_port == y->addr.sin_port &&
	       x->addr.sin_addr.s_addr == y->addr.sin_addr.s_addr;
}

static void transmit(int fd, const void *data, size_t len, const struct sockaddr_in *to)
{
	/* A refused or full socket is a lost datagram. */
	(void)!sendto(fd, data, len, MSG_DONTWAIT, (const struct sockaddr *)to, sizeof(*to));
}

static void on_held(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct held *h = timer->data;

	(void)loop, (void)events;
	transmit(h->fd, h->data, h->len, &h->to);
	g_free(h);
}

/* Sends, loses or holds back one datagram. */
static void deliver(struct fabric *fab, int fd, const void *data, size_t len,
		    const struct sockaddr_in *to)
{
	struct held *h;

	if (g_rand_double(fab->rand) < opt.loss)
		return;
	if (g_rand_double(fab->rand) >= opt.reorder) {
		transmit(fd, data, len, to);
		return;
	}
	h = g_malloc(sizeof(*h) + len);
	*h = (struct held){.fab = fab, .to = *to, .fd = fd, .len = len};
	memcpy(h->data, data, len);
	ev_timer_init(&h->timer, on_held, g_rand_double(fab->rand) * opt.reorder_ms / 1000, 0);
	h->timer.data = h;
	ev_timer_start(fab->loop, &h->timer);
}

static void on_answer(struct ev_loop *loop, struct ev_io *io, int events)
{
	struct caller *c = io->data;
	uint8_t buf[DATAGRAM_MAX];
	ssize_t n;

	(void)loop, (void)events;
	while ((n = recv(io->fd, buf, sizeof(buf), MSG_DONTWAIT)) >= 0)
		deliver(c->fab, c->key.service->io.fd, buf, (size_t)n, &c->key.addr);
}

/* Binds an address of 127.201.0.0/16 that no other caller has. */
static int bind_caller(guint number)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	sin.sin_addr.s_addr = htonl(0x7fc90000U + number + 1);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
		close(fd);
		fd = -1;
	}
	return fd;
}

static struct caller *find_caller(struct service *svc, const struct sockaddr_in *from)
{
	struct caller_key key = {.addr = *from, .service = svc};
	struct fabric *fab = svc->fab;
	struct caller *c = g_hash_table_lookup(fab->callers, &key);
	int fd;

	if (c || g_hash_table_size(fab->callers) >= CALLERS_MAX)
		return c;
	fd = bind_caller(g_hash_table_size(fab->callers));
	if (fd < 0)
		return NULL;
	c = g_new0(struct caller, 1);
	c->key = key;
	c->fab = fab;
	ev_io_init(&c->io, on_answer, fd, EV_READ);
	c->io.data = c;
	ev_io_start(fab->loop, &c->io);
	g_hash_table_insert(fab->callers, &c->key, c);
	return c;
}

static void on_datagram(struct ev_loop *loop, struct ev_io *io, int events)
{
	struct service *svc = io->data;
	struct fabric *fab = svc->fab;
	uint8_t buf[DATAGRAM_MAX];
	struct sockaddr_in from, to = {.sin_family = AF_INET, .sin_port = svc->port};
	socklen_t len = sizeof(from);
	struct caller *c;
	ssize_t n;

	(void)loop, (void)events;
	while ((n = recvfrom(io->fd, buf, sizeof(buf), MSG_DONTWAIT, (struct sockaddr *)&from,
			     &len)) >= 0) {
		c = find_caller(svc, &from);
		len = sizeof(from);
		if (!c || !fab->live->len)
			continue;
		to.sin_addr.s_addr = g_array_index(
			fab->live, in_addr_t,
			(guint)g_rand_int_range(fab->rand, 0, (gint32)fab->live->len));
		deliver(fab, c->io.fd, buf, (size_t)n, &to);
	}
}

static void take_list(struct fabric *fab, const char *text, size_t len)
{
	json_t *root = json_loadb(text, len, 0, NULL), *inst;
	size_t i;

	if (!root)
		return;
	g_array_set_size(fab->live, 0);
	json_array_foreach(json_object_get(root, "instances"), i, inst)
	{
		const char *ip = json_string_value(json_object_get(inst, "bind_ip"));
		const char *state = json_string_value(json_object_get(inst, "state"));
		struct in_addr addr;

		if (ip && state && strcmp(state, "live") == 0 && inet_pton(AF_INET, ip, &addr) == 1)
			g_array_append_val(fab->live, addr.s_addr);
	}
	json_decref(root);
}

static void on_reply(void *ctx, const struct ht_http_reply *reply)
{
	struct fabric *fab = ctx;

	if (reply->outcome == HT_HTTP_ANSWERED && reply->status == 200)
		take_list(fab, reply->body, reply->len);
	fab->fetching = false;
}

static void on_fetch(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct fabric *fab = timer->data;

	(void)loop, (void)events;
	if (!fab->fetching)
		fab->fetching =
			ht_http_start(fab->http, fab->list_url, NULL, FETCH_MS, on_reply, fab);
}

static void start_list(struct fabric *fab)
{
	fab->list_url = g_strdup_printf("http://%s/instances", opt.platform);
	fab->http = ht_http_new(fab->loop);
	ev_timer_init(&fab->fetch, on_fetch, 0, LIST_MS / 1000.0);
	fab->fetch.data = fab;
	ev_timer_start(fab->loop, &fab->fetch);
}

static bool start_service(struct fabric *fab, const char *text, struct ht_err *err)
{
	struct service *svc;
	struct ht_addr addr;
	int fd;

	if (!ht_addr_parse(&addr, text, err))
		return false;
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0 || bind(fd, (struct sockaddr *)&addr.ss, addr.len) < 0)
		return ht_err_set(err, HT_EIO, "%s: %s", text, g_strerror(errno));
	svc = g_new0(struct service, 1);
	svc->fab = fab;
	svc->port = ((struct sockaddr_in *)&addr.ss)->sin_port;
	ev_io_init(&svc->io, on_datagram, fd, EV_READ);
	svc->io.data = svc;
	ev_io_start(fab->loop, &svc->io);
	return true;
}

static bool parse_options(int argc, char **argv, struct ht_err *err)
{
	GOptionContext *ctx = g_option_context_new("- stand-in of the fabric");
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
	if (!opt.platform || !opt.services)
		return ht_err_set(err, HT_EINVAL, "--platform and --service are required");
	return true;
}

static void on_stop(struct ev_loop *loop, struct ev_signal *sig, int events)
{
	(void)sig, (void)events;
	ev_break(loop, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	static struct fabric fab;
	struct ev_signal stop[2];
	struct ht_err err;

	if (!parse_options(argc, argv, &err)) {
		g_printerr("fabric: %s\n", err.text);
		return 2;
	}
	fab.loop = ev_default_loop(0);
	fab.rand = g_rand_new_with_seed((guint32)opt.seed);
	fab.live = g_array_new(FALSE, FALSE, sizeof(in_addr_t));
	fab.callers = g_hash_table_new(key_hash, key_equal);
	for (char **s = opt.services; s && *s; s++) {
		if (!start_service(&fab, *s, &err)) {
			g_printerr("fabric: %s\n", err.text);
			return 1;
		}
	}
	start_list(&fab);
	for (int i = 0; i < 2; i++) {
		ev_signal_init(&stop[i], on_stop, i ? SIGINT : SIGTERM);
		ev_signal_start(fab.loop, &stop[i]);
	}
	ev_run(fab.loop, 0);
	/* The process ends; sockets and tables go with it. */
	return 0;
}
