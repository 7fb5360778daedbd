#include "ctl/ctl.h"
#include "platform/http.h"

#include <ev.h>
#include <string.h>

/* What came of the request. */
struct call {
	struct ht_ctl *ctl;
	bool ended;
	int status;
};

/* An instance of an earlier version has no such page. */
static const char *refusal_of(const struct ht_http_reply *reply)
{
	if (reply->status == 404)
		return "this address serves no explanations\n";
	return reply->len ? reply->body : "no reason given\n";
}

static void on_answer(void *ctx, const struct ht_http_reply *reply)
{
	struct call *call = ctx;
	struct ht_ctl *ctl = call->ctl;

	call->ended = true;
	if (reply->outcome != HT_HTTP_ANSWERED) {
		call->status =
			ht_ctl_fail(ctl, HT_CTL_FAILED, "%s: %s", ctl->instance, reply->error);
	} else if (reply->status != 200) {
		const char *text = refusal_of(reply);

		call->status = ht_ctl_fail(ctl, reply->status == 400 ? HT_CTL_USAGE : HT_CTL_FAILED,
					   "%s: status %ld: %.*s", ctl->instance, reply->status,
					   (int)strcspn(text, "\n"), text);
	} else if (ctl->json) {
		ht_ctl_print_json(ctl, json_pack("{ss%}", "explanation", reply->body, reply->len));
	} else {
		fwrite(reply->body, 1, reply->len, ctl->out);
	}
}

static bool is_address(struct ht_ctl *ctl, const char *name, const char *text,
		       char out[HT_ADDR_TEXT])
{
	struct ht_addr addr;
	struct ht_err err;

	if (!ht_addr_parse(&addr, text, &err)) {
		ht_ctl_fail(ctl, HT_CTL_USAGE, "%s: %s", name, err.text);
		return false;
	}
	ht_addr_format(&addr, out);
	return true;
}

static int fetch(struct ht_ctl *ctl, const char *url)
{
	struct call call = {.ctl = ctl, .status = HT_CTL_DONE};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct ht_http *http = loop ? ht_http_new(loop) : NULL;

	if (http && ht_http_start(http, url, NULL, HT_CTL_INSTANCE_TIMEOUT, on_answer, &call))
		while (!call.ended)
			ev_run(loop, EVRUN_ONCE);
	else
		call.status = ht_ctl_fail(ctl, HT_CTL_FAILED, "out of memory");
	if (http)
		ht_http_free(http);
	if (loop)
		ev_loop_destroy(loop);
	return call.status;
}

int ht_ctl_explain(struct ht_ctl *ctl, char **argv)
{
	char instance[HT_ADDR_TEXT], from[HT_ADDR_TEXT], to[HT_ADDR_TEXT], url[256];

	if (!ctl->instance)
		return ht_ctl_fail(ctl, HT_CTL_USAGE, "explain needs --instance IP:PORT");
	if (!is_address(ctl, "--instance", ctl->instance, instance) ||
	    !is_address(ctl, "FROM", argv[0], from) || !is_address(ctl, "TO", argv[1], to))
		return HT_CTL_USAGE;
	snprintf(url, sizeof(url), "http://%s/explain?from=%s&to=%s", instance, from, to);
	return fetch(ctl, url);
}
