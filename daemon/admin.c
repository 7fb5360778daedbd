#include "daemon/admin.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.25
#define CONNECTIONS_MAX 64U
#define TIMEOUT_S 10U

struct ht_admin {
	struct ev_loop *loop;
	struct MHD_Daemon *mhd;
	const struct ht_admin_page *pages;
	void *ctx;
	struct ev_io io;
	struct ev_timer tick;
	struct ev_prepare prepare;
};

static enum MHD_Result reply(struct MHD_Connection *conn, unsigned int status, char *body,
			     const char *type)
{
	struct MHD_Response *res =
		MHD_create_response_from_buffer(strlen(body), body, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result ok;

	if (!res) {
		free(body);
		return MHD_NO;
	}
	MHD_add_response_header(res, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	ok = MHD_queue_response(conn, status, res);
	MHD_destroy_response(res);
	return ok;
}

static enum MHD_Result reply_error(struct MHD_Connection *conn, unsigned int status,
				   const char *text)
{
	char *body = strdup(text);

	return body ? reply(conn, status, body, "text/plain") : MHD_NO;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *data_len, void **state)
{
	const struct ht_admin *admin = ctx;
	char *body;

	(void)version;
	(void)data;
	(void)state;
	*data_len = 0;
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		return reply_error(conn, MHD_HTTP_METHOD_NOT_ALLOWED, "only GET\n");
	for (const struct ht_admin_page *page = admin->pages; page->path; page++) {
		if (strcmp(page->path, url) != 0)
			continue;
		body = page->render(admin->ctx);
		if (!body)
			return reply_error(conn, MHD_HTTP_INTERNAL_SERVER_ERROR, "failed\n");
		return reply(conn, MHD_HTTP_OK, body, page->content_type);
	}
	return reply_error(conn, MHD_HTTP_NOT_FOUND, "no such page\n");
}

static void on_readable(struct ev_loop *loop, struct ev_io *w, int revents)
{
	struct ht_admin *admin = w->data;

	(void)loop;
	(void)revents;
	MHD_run(admin->mhd);
}

static void on_tick(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct ht_admin *admin = w->data;

	(void)loop;
	(void)revents;
	MHD_run(admin->mhd);
}

/* A connection that has more to do at once does not show in the epoll descriptor. */
static void on_prepare(struct ev_loop *loop, struct ev_prepare *w, int revents)
{
	struct ht_admin *admin = w->data;
	MHD_UNSIGNED_LONG_LONG timeout;

	(void)loop;
	(void)revents;
	for (int i = 0; i < 4; i++) {
		if (MHD_get_timeout(admin->mhd, &timeout) != MHD_YES || timeout)
			break;
		MHD_run(admin->mhd);
	}
}

struct ht_admin *ht_admin_new(struct ev_loop *loop, const struct ht_addr *addr,
			      const struct ht_admin_page *pages, void *ctx, struct ht_err *err)
{
	struct ht_admin *admin = calloc(1, sizeof(*admin));
	const union MHD_DaemonInfo *info = NULL;
	char text[HT_ADDR_TEXT];

	if (!admin) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	admin->loop = loop;
	admin->pages = pages;
	admin->ctx = ctx;
	admin->mhd = MHD_start_daemon(
		MHD_USE_EPOLL | (addr->ss.ss_family == AF_INET6 ? MHD_USE_IPv6 : 0), 0, NULL, NULL,
		on_request, admin, MHD_OPTION_SOCK_ADDR, (const struct sockaddr *)&addr->ss,
		MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
		TIMEOUT_S, MHD_OPTION_END);
	if (admin->mhd)
		info = MHD_get_daemon_info(admin->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	if (!info) {
		ht_err_set(err, HT_EIO, "admin address %s cannot be bound",
			   ht_addr_format(addr, text));
		if (admin->mhd)
			MHD_stop_daemon(admin->mhd);
		free(admin);
		return NULL;
	}
	ev_io_init(&admin->io, on_readable, info->epoll_fd, EV_READ);
	ev_timer_init(&admin->tick, on_tick, TICK_S, TICK_S);
	ev_prepare_init(&admin->prepare, on_prepare);
	admin->io.data = admin->tick.data = admin->prepare.data = admin;
	ev_io_start(loop, &admin->io);
	ev_timer_start(loop, &admin->tick);
	ev_prepare_start(loop, &admin->prepare);
	return admin;
}

void ht_admin_free(struct ht_admin *admin)
{
	if (!admin)
		return;
	ev_io_stop(admin->loop, &admin->io);
	ev_timer_stop(admin->loop, &admin->tick);
	ev_prepare_stop(admin->loop, &admin->prepare);
	MHD_stop_daemon(admin->mhd);
	free(admin);
}
