#include "entry/readiness.h"

#include "base/list.h"

#include <errno.h>
#include <ev.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Routers ask twice a second on one connection or a few; more are strangers. */
#define CONNECTIONS_MAX 16

static const char path[] = "/-/readiness";

struct ht_readiness {
	struct ev_loop *loop;
	int fd;
	ev_io io;
	struct ht_list connections; /* oldest first */
	unsigned int count;
	bool ready;
};

struct connection {
	struct ht_list node;
	struct ht_readiness *owner;
	int fd;
	ev_io io;
	http_parser parser;
	char url[64];
	size_t url_len;
	bool failed;
};

static void connection_free(struct connection *c)
{
	ev_io_stop(c->owner->loop, &c->io);
	ht_list_del(&c->node);
	c->owner->count--;
	close(c->fd);
	free(c);
}

static int on_begin(http_parser *parser)
{
	struct connection *c = parser->data;

	c->url_len = 0;
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct connection *c = parser->data;
	size_t room = sizeof(c->url) - 1 - c->url_len;

	if (len > room)
		len = room;
	memcpy(c->url + c->url_len, at, len);
	c->url_len += len;
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct connection *c = parser->data;
	const char *status = "404 Not Found";
	char text[96];
	int len;

	c->url[c->url_len] = '\0';
	if (strcmp(c->url, path) == 0)
		status = c->owner->ready ? "200 OK" : "503 Service Unavailable";
	len = snprintf(text, sizeof(text), "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status);
	c->failed = send(c->fd, text, (size_t)len, MSG_NOSIGNAL) != len ||
		    !http_should_keep_alive(parser);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_message_complete = on_complete,
};

static void on_request(struct ev_loop *loop, ev_io *io, int revents)
{
	struct connection *c = io->data;
	char buf[2048];
	ssize_t n = recv(c->fd, buf, sizeof(buf), 0);

	(void)loop;
	(void)revents;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0 ||
	    http_parser_execute(&c->parser, &parser_settings, buf, (size_t)n) != (size_t)n ||
	    c->failed)
		connection_free(c);
}

static void on_connection(struct ev_loop *loop, ev_io *io, int revents)
{
	struct ht_readiness *r = io->data;
	int fd = accept4(r->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct connection *c;

	(void)revents;
	if (fd < 0)
		return;
	if (r->count >= CONNECTIONS_MAX)
		connection_free(ht_container_of(r->connections.next, struct connection, node));
	c = calloc(1, sizeof(*c));
	if (!c) {
		close(fd);
		return;
	}
	c->owner = r;
	c->fd = fd;
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	ht_list_add_tail(&r->connections, &c->node);
	r->count++;
	ev_io_init(&c->io, on_request, fd, EV_READ);
	c->io.data = c;
	ev_io_start(loop, &c->io);
}

struct ht_readiness *ht_readiness_new(struct ev_loop *loop, const struct ht_addr *addr,
				      struct ht_err *err)
{
	static const int on = 1;
	struct ht_readiness *r = calloc(1, sizeof(*r));
	char text[HT_ADDR_TEXT];

	if (!r) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	r->loop = loop;
	ht_list_init(&r->connections);
	r->fd = socket(addr->ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (r->fd >= 0)
		setsockopt(r->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (r->fd < 0 || bind(r->fd, (const struct sockaddr *)&addr->ss, addr->len) != 0 ||
	    listen(r->fd, CONNECTIONS_MAX) != 0) {
		ht_err_set(err, HT_EIO, "readiness at %s: %s", ht_addr_format(addr, text),
			   strerror(errno));
		if (r->fd >= 0)
			close(r->fd);
		free(r);
		return NULL;
	}
	ev_io_init(&r->io, on_connection, r->fd, EV_READ);
	r->io.data = r;
	ev_io_start(loop, &r->io);
	return r;
}

void ht_readiness_free(struct ht_readiness *r)
{
	struct ht_list *pos, *tmp;

	if (!r)
		return;
	ht_list_for_each_safe (pos, tmp, &r->connections)
		connection_free(ht_container_of(pos, struct connection, node));
	ev_io_stop(r->loop, &r->io);
	close(r->fd);
	free(r);
}

void ht_readiness_set(struct ht_readiness *r, bool ready)
{
	r->ready = ready;
}
