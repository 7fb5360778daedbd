/* Tests that the HTTP client reads header fields that arrive in several pieces. */
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

struct response {
	int fd;
	const char *text;
	size_t part; /* bytes per write */
};

struct result {
	enum ht_http_outcome outcome;
	long status;
	ht_ms date;
	char header_value[80];
	bool done;
};

/* Accepts one connection and sends the response to any request. */
static void *serve(void *arg)
{
	const struct response *r = arg;
	int fd = accept(r->fd, NULL, NULL), on = 1;
	char request[1024];

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (read(fd, request, sizeof(request)) > 0) {
		for (size_t i = 0, len = strlen(r->text); i < len; i += r->part) {
			size_t n = len - i < r->part ? len - i : r->part;

			if (write(fd, r->text + i, n) < 0)
				break;
			usleep(500);
		}
	}
	close(fd);
	return NULL;
}

static void on_reply(void *ctx, const struct ht_http_reply *reply)
{
	struct result *result = ctx;

	result->outcome = reply->outcome;
	result->status = reply->status;
	result->date = reply->date;
	snprintf(result->header_value, sizeof(result->header_value), "%s",
		 reply->header_value ? reply->header_value : "(none)");
	result->done = true;
}

static struct result call(const char *text, size_t part)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct ht_http *http = ht_http_new(loop);
	struct response response = {.text = text, .part = part};
	struct result result = {.done = false};
	socklen_t len = sizeof(sin);
	pthread_t thread;
	char url[64];

	response.fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(response.fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(response.fd, 1), 0);
	getsockname(response.fd, (struct sockaddr *)&sin, &len);
	pthread_create(&thread, NULL, serve, &response);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/x", ntohs(sin.sin_port));
	ht_http_capture_header(http, "store-era");
	ck_assert_ptr_nonnull(ht_http_start(http, url, NULL, CALL_MS, on_reply, &result));
	while (!result.done)
		ev_run(loop, EVRUN_ONCE);
	pthread_join(thread, NULL);
	close(response.fd);
	ht_http_free(http);
	ev_loop_destroy(loop);
	return result;
}

START_TEST(header_split_over_packets_is_read)
{
	static const char text[] = "HTTP/1.1 410 Gone\r\n"
				   "Date: Sun, 06 Nov 1994 08:49:37 GMT\r\n"
				   "X-Empty:\r\n"
				   "STORE-Era: 1234567\r\n"
				   "Content-Length: 2\r\n\r\n{}";

	for (size_t part = 1; part <= sizeof(text); part += part < 4 ? 1 : 23) {
		struct result result = call(text, part);

		ck_assert_int_eq(result.outcome, HT_HTTP_ANSWERED);
		ck_assert_int_eq(result.status, 410);
		ck_assert_str_eq(result.header_value, "1234567");
		ck_assert_int_eq(result.date, 784111777000);
	}
}
END_TEST

START_TEST(missing_or_long_header_is_null)
{
	char text[400];

	ck_assert_str_eq(call("HTTP/1.1 200 OK\r\nStore-Eras: 4\r\nContent-Length: 0\r\n\r\n", 100)
				 .header_value,
			 "(none)");
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nStore-Era: %0100d\r\nContent-Length: 0\r\n\r\n", 4);
	ck_assert_str_eq(call(text, 7).header_value, "(none)");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("http");

	tcase_add_test(tc, header_split_over_packets_is_read);
	tcase_add_test(tc, missing_or_long_header_is_null);
	return run_case("http", tc);
}
