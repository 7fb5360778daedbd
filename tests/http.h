/* Makes a blocking HTTP call: a GET, or a PUT if @body is set. */
#ifndef TESTS_HTTP_H
#define TESTS_HTTP_H

#include "platform/http.h"

#include <check.h>
#include <ev.h>
#include <glib.h>

struct http_result {
	enum ht_http_outcome outcome;
	long status;
	GString *body; /* may be NULL */
};

static void http_done(void *ctx, const struct ht_http_reply *reply)
{
	struct http_result *res = ctx;

	res->outcome = reply->outcome;
	res->status = reply->status;
	if (res->body)
		g_string_append_len(res->body, reply->body, (gssize)reply->len);
}

static inline struct http_result http_call(const char *host, const char *path, const char *body,
					   ht_ms timeout, GString *out)
{
	struct http_result res = {.body = out};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct ht_http *http = ht_http_new(loop);
	char *url = g_strdup_printf("http://%s%s", host, path);

	if (out)
		g_string_truncate(out, 0);
	ck_assert_ptr_nonnull(ht_http_start(http, url, body, timeout, http_done, &res));
	ev_run(loop, 0);
	ht_http_free(http);
	ev_loop_destroy(loop);
	g_free(url);
	return res;
}

#endif
