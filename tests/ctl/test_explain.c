/* The command "explain": what it asks an instance for, and what it makes of the answer. */
#include "ctl/ctl.h"
#include "tests/suite.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>

#define FROM "100.64.0.7:40001"
#define TO "198.18.0.1:443"

/* Stands in for the metrics address of an instance. */
static struct MHD_Daemon *daemon_;
static char address[32];
static unsigned int status;
static const char *body;
static char *from, *to, *path;
static char *out, *errors;

static char *argument(struct MHD_Connection *conn, const char *name)
{
	return g_strdup(MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name));
}

static enum MHD_Result respond(void *ctx, struct MHD_Connection *conn, const char *url,
			       const char *method, const char *version, const char *upload,
			       size_t *upload_len, void **state)
{
	struct MHD_Response *rsp;
	enum MHD_Result ret;

	(void)ctx, (void)method, (void)version, (void)upload, (void)upload_len, (void)state;
	path = g_strdup(url);
	from = argument(conn, "from");
	to = argument(conn, "to");
	rsp = MHD_create_response_from_buffer(strlen(body), (char *)body, MHD_RESPMEM_PERSISTENT);
	ret = MHD_queue_response(conn, status, rsp);
	MHD_destroy_response(rsp);
	return ret;
}

static void start(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	const union MHD_DaemonInfo *info;

	daemon_ = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, respond, NULL,
				   MHD_OPTION_SOCK_ADDR, &sin, MHD_OPTION_END);
	ck_assert_ptr_nonnull(daemon_);
	info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
	snprintf(address, sizeof(address), "127.0.0.1:%u", info->port);
	status = 200;
	body = "verdict: forward\n";
}

static void clear(void)
{
	g_clear_pointer(&from, g_free);
	g_clear_pointer(&to, g_free);
	g_clear_pointer(&path, g_free);
	g_clear_pointer(&out, free);
	g_clear_pointer(&errors, free);
}

static void stop(void)
{
	MHD_stop_daemon(daemon_);
	clear();
}

static int run(const char *instance, const char *src, const char *dst, const char *option)
{
	char *argv[] = {"hickoryctl", "explain",   "--instance",   (char *)instance,
			(char *)src,  (char *)dst, (char *)option, NULL};
	size_t len;
	FILE *o, *e;
	int ret;

	clear();
	o = open_memstream(&out, &len);
	e = open_memstream(&errors, &len);
	ret = ht_ctl_main(option ? 7 : 6, argv, o, e);
	fclose(o);
	fclose(e);
	return ret;
}

START_TEST(page_of_the_instance_is_printed)
{
	ck_assert_int_eq(run(address, FROM, TO, NULL), HT_CTL_DONE);
	ck_assert_str_eq(path, "/explain");
	ck_assert_str_eq(from, FROM);
	ck_assert_str_eq(to, TO);
	ck_assert_str_eq(out, "verdict: forward\n");
	ck_assert_str_eq(errors, "");
	ck_assert_int_eq(run(address, FROM, TO, "--json"), HT_CTL_DONE);
	ck_assert_str_eq(out, "{\n  \"explanation\": \"verdict: forward\\n\"\n}\n");
}
END_TEST

/* Guards against a request for something else than what the operator meant. */
START_TEST(bad_arguments_are_not_sent)
{
	char *none[] = {"hickoryctl", "explain", FROM, TO, NULL};

	ck_assert_int_eq(run(address, "100.64.0.7", TO, NULL), HT_CTL_USAGE);
	ck_assert_str_eq(errors, "hickoryctl: FROM: '100.64.0.7' is not IP:PORT\n");
	ck_assert_int_eq(run(address, FROM, TO "&from=1.2.3.4:5", NULL), HT_CTL_USAGE);
	ck_assert_int_eq(run("somewhere", FROM, TO, NULL), HT_CTL_USAGE);
	ck_assert_int_eq(ht_ctl_main(4, none, stdout, stderr), HT_CTL_USAGE);
	ck_assert_ptr_null(path);
}
END_TEST

START_TEST(failures_are_named)
{
	status = 400;
	body = "to is missing; expected X\n";
	ck_assert_int_eq(run(address, FROM, TO, NULL), HT_CTL_USAGE);
	ck_assert_ptr_nonnull(strstr(errors, ": status 400: to is missing; expected X\n"));
	ck_assert_str_eq(out, "");
	status = 404;
	body = "";
	ck_assert_int_eq(run(address, FROM, TO, NULL), HT_CTL_FAILED);
	ck_assert_ptr_nonnull(strstr(errors, "serves no explanations\n"));
	/* Nothing listens at the port of the discard service. */
	ck_assert_int_eq(run("127.0.0.1:9", FROM, TO, NULL), HT_CTL_FAILED);
	ck_assert_ptr_nonnull(strstr(errors, "hickoryctl: 127.0.0.1:9: "));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("ctl explain");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, page_of_the_instance_is_printed);
	tcase_add_test(tc, bad_arguments_are_not_sent);
	tcase_add_test(tc, failures_are_named);
	return run_case("ctl explain", tc);
}
