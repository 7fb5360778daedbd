/* Tests of HTTP answers that come in parts: header fields are read whole. */
#include "platform/http.h"
#include "tests/suite.h"

#include <arpa/inet.h>
#include <ev.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CALL_MS 5000

struct answer {
	int fd;
	const char *text;
	size_t part; /* bytes sent at once */
};

struct seen {
	enum ht_http_outcome outcome;
	long status;
	ht_ms date;
	char field[80];
	bool done;
};

/* Takes one connection, and answers whatever is asked. */
static void *serve(void *arg)
{
	const struct answer *a = arg;
	int fd = accept(a->fd, NULL, NULL), on = 1;
	char request[1024];

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (read(fd, request, sizeof(request)) > 0) {
		for (size_t i = 0, len = strlen(a->text); i < len; i += a->part) {
			size_t n = len - i < a->part ? len - i : a->part;

			if (write(fd, a->text + i, n) < 0)
				break;
			usleep(500);
		}
	}
	close(fd);
	return NULL;
}

static void on_reply(void *ctx, const struct ht_http_reply *reply)
{
	struct seen *seen = ctx;

	seen->outcome = reply->outcome;
	seen->status = reply->status;
	seen->date = reply->date;
	snprintf(seen->field, sizeof(seen->field), "%s", reply->field ? reply->field : "(none)");
	seen->done = true;
}

static struct seen call(const char *text, size_t part)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct ht_http *http = ht_http_new(loop);
	struct answer answer = {.text = text, .part = part};
	struct seen seen = {.done = false};
	socklen_t len = sizeof(sin);
	pthread_t thread;
	char url[64];

	answer.fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(answer.fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(answer.fd, 1), 0);
	getsockname(answer.fd, (struct sockaddr *)&sin, &len);
	pthread_create(&thread, NULL, serve, &answer);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/x", ntohs(sin.sin_port));
	ht_http_ask_field(http, "store-era");
	ck_assert_ptr_nonnull(ht_http_start(http, url, NULL, CALL_MS, on_reply, &seen));
	while (!seen.done)
		ev_run(loop, EVRUN_ONCE);
	pthread_join(thread, NULL);
	close(answer.fd);
	ht_http_free(http);
	ev_loop_destroy(loop);
	return seen;
}

START_TEST(field_that_comes_in_parts_is_read_whole)
{
	static const char text[] = "HTTP/1.1 410 Gone\r\n"
				   "Date: Sun, 06 Nov 1994 08:49:37 GMT\r\n"
				   "X-Empty:\r\n"
				   "STORE-Era: 1234567\r\n"
				   "Content-Length: 2\r\n\r\n{}";

	for (size_t part = 1; part <= sizeof(text); part += part < 4 ? 1 : 23) {
		struct seen seen = call(text, part);

		ck_assert_int_eq(seen.outcome, HT_HTTP_ANSWERED);
		ck_assert_int_eq(seen.status, 410);
		ck_assert_str_eq(seen.field, "1234567");
		ck_assert_int_eq(seen.date, 784111777000);
	}
}
END_TEST

START_TEST(field_that_is_missing_or_too_long_is_none)
{
	char text[400];

	ck_assert_str_eq(
		call("HTTP/1.1 200 OK\r\nStore-Eras: 4\r\nContent-Length: 0\r\n\r\n", 100).field,
		"(none)");
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nStore-Era: %0100d\r\nContent-Length: 0\r\n\r\n", 4);
	ck_assert_str_eq(call(text, 7).field, "(none)");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("http");

	tcase_add_test(tc, field_that_comes_in_parts_is_read_whole);
	tcase_add_test(tc, field_that_is_missing_or_too_long_is_none);
	return run_case("http", tc);
}
