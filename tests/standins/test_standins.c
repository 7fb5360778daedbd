/* Tests of the stand-ins, as far as the proofs rest on them: real programs on loopback. */
#include "standins/common/body.h"
#include "standins/common/msg.h"
#include "tests/http.h"

#include <arpa/inet.h>
#include <check.h>
#include <jansson.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

static char dir[] = "/tmp/ht-standins-XXXXXX";
static pid_t children[4];
static int child_count;

static struct sockaddr_in address(const char *ip, int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};

	inet_pton(AF_INET, ip, &sin.sin_addr);
	return sin;
}

static int bound(int type, const char *ip, int port)
{
	struct sockaddr_in sin = address(ip, port);
	int fd = socket(AF_INET, type, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

static int port_of(int fd)
{
	struct sockaddr_in sin = {.sin_port = 0};
	socklen_t len = sizeof(sin);

	getsockname(fd, (struct sockaddr *)&sin, &len);
	return ntohs(sin.sin_port);
}

/* A port that was free a moment ago. */
static int free_port(int type)
{
	int fd = bound(type, "127.0.0.1", 0), port = port_of(fd);

	close(fd);
	return port;
}

/* Starts the stand-in @name of the same build with the words of @args. */
static void start(const char *name, const char *args)
{
	char self[512], **argv;
	ssize_t n = readlink("/proc/self/exe", self, sizeof(self) - 1);
	char *base, *cmd;

	ck_assert_int_gt(n, 0);
	self[n] = '\0';
	base = g_path_get_dirname(self);
	cmd = g_strdup_printf("%s/../../standins/%s %s", base, name, args);
	argv = g_strsplit(cmd, " ", -1);
	children[child_count] = fork();
	if (children[child_count] == 0) {
		execv(argv[0], argv);
		_exit(127);
	}
	child_count++;
	g_strfreev(argv);
	g_free(cmd);
	g_free(base);
}

static void stop_children(void)
{
	while (child_count > 0) {
		kill(children[--child_count], SIGTERM);
		waitpid(children[child_count], NULL, 0);
	}
}

static int dial(int port)
{
	struct sockaddr_in sin = address("127.0.0.1", port);

	for (int i = 0; i < 200; i++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
			return fd;
		close(fd);
		usleep(20000);
	}
	ck_abort_msg("nothing listens on port %d", port);
	return -1;
}

static enum ht_http_outcome http(int port, const char *path, const char *body, GString *out)
{
	char host[32];

	snprintf(host, sizeof(host), "127.0.0.1:%d", port);
	return http_call(host, path, body, 5000, out).outcome;
}

static int start_platform(void)
{
	int port = free_port(SOCK_STREAM);
	char args[64];

	g_snprintf(args, sizeof(args), "127.0.0.1:%d", port);
	start("platform", args);
	close(dial(port));
	return port;
}

/* Guards against a "lost" answer whose write did not happen, which would prove nothing. */
START_TEST(lost_write_answer_takes_effect)
{
	GString *out = g_string_new(NULL);
	int port = start_platform();

	ck_assert_int_eq(http(port, "/knobs", "{\"lose_write_answers\":1}", out), HT_HTTP_ANSWERED);
	ck_assert_int_eq(http(port, "/v1/objects/config/head?if_version=0", "{}", out),
			 HT_HTTP_LOST);
	ck_assert_int_eq(http(port, "/v1/objects/config/head", NULL, out), HT_HTTP_ANSWERED);
	ck_assert_str_eq(out->str, "{\"version\":1,\"value\":{}}");
	ck_assert_int_eq(http(port, "/v1/objects/config/head?if_version=0", "7", out),
			 HT_HTTP_ANSWERED);
	ck_assert_str_eq(out->str, "{\"version\":1,\"value\":{}}");
	ck_assert_int_eq(http(port, "/v1/objects/config/head?if_version=1", "7", out),
			 HT_HTTP_ANSWERED);
	ck_assert_str_eq(out->str, "{\"version\":2}");
	g_string_free(out, TRUE);
}
END_TEST

static void send_request(int fd, uint8_t token, const char *host, const char *id)
{
	GByteArray *out = g_byte_array_new();
	char query[32];
	struct ht_si_msg m;

	g_snprintf(query, sizeof(query), "id=%s", id);
	ht_si_msg_init(&m, COAP_REQUEST_GET, &token, 1);
	ht_si_msg_opt_str(&m, COAP_OPTION_URI_HOST, host);
	ht_si_msg_opt_str(&m, COAP_OPTION_URI_PATH, "stock");
	ht_si_msg_opt_str(&m, COAP_OPTION_URI_QUERY, query);
	ht_si_msg_tcp(&m, out);
	ck_assert_int_eq(send(fd, out->data, out->len, 0), (ssize_t)out->len);
	ht_si_msg_clear(&m);
	g_byte_array_unref(out);
}

static bool read_all(int fd, uint8_t *buf, size_t len)
{
	return recv(fd, buf, len, MSG_WAITALL) == (ssize_t)len;
}

/* Reads messages until an answer comes; checks its token and body and returns its code. */
static unsigned read_answer(int fd, uint8_t token, const char *body)
{
	uint8_t buf[8192];
	size_t have, want;
	unsigned code = COAP_SIGNALING_CODE_CSM;
	const uint8_t *data = NULL;
	coap_pdu_t *pdu;

	while (code >= COAP_SIGNALING_CODE_CSM) {
		have = 1;
		ck_assert(read_all(fd, buf, 1));
		while ((want = ht_si_msg_tcp_len(buf, have)) == 0)
			ck_assert(read_all(fd, buf + have++, 1));
		ck_assert(read_all(fd, buf + have, want - have));
		pdu = ht_si_msg_parse(COAP_PROTO_TCP, buf, want);
		ck_assert_ptr_nonnull(pdu);
		code = coap_pdu_get_code(pdu);
		if (code < COAP_SIGNALING_CODE_CSM) {
			ck_assert_int_eq(coap_pdu_get_token(pdu).s[0], token);
			want = 0;
			coap_get_data(pdu, &want, &data);
			if (body)
				ck_assert(want == strlen(body) && !memcmp(data, body, want));
		}
		coap_delete_pdu(pdu);
	}
	return code;
}

/* Counts the lines of @file that have all of @a and @b. */
static int count_lines(const char *file, const char *a, const char *b)
{
	char *text = NULL, **lines;
	int n = 0;

	ck_assert(g_file_get_contents(file, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l; l++)
		n += strstr(*l, a) && strstr(*l, b);
	g_strfreev(lines);
	g_free(text);
	return n;
}

/* Guards against excess or misdirected work that leaves no trace in the journal. */
START_TEST(backend_journals_excess_and_foreign_requests)
{
	char args[256], journal[64];
	int port = free_port(SOCK_STREAM), fd;

	g_snprintf(journal, sizeof(journal), "%s/journal", dir);
	g_snprintf(args, sizeof(args),
		   "--listen 127.0.0.1:%d --service almacen --slots 1 --service-ms 300 "
		   "--journal %s",
		   port, journal);
	start("backend", args);
	fd = dial(port);
	send_request(fd, 1, "almacen", "a");
	send_request(fd, 2, "almacen", "b");
	send_request(fd, 3, "comptoir", "c");
	ck_assert_int_eq(read_answer(fd, 2, "overlimit"), HT_SI_CODE(5, 3));
	ck_assert_int_eq(read_answer(fd, 3, "service"), HT_SI_CODE(4, 4));
	ck_assert_int_eq(read_answer(fd, 1, "almacen stock a\n"), HT_SI_CODE(2, 5));
	kill(children[0], SIGUSR1);
	usleep(50000);
	send_request(fd, 4, "almacen", "d");
	ck_assert_int_eq(read_answer(fd, 4, "draining"), HT_SI_CODE(5, 3));
	ck_assert_int_eq(count_lines(journal, "\"start\"", "\"a\""), 1);
	ck_assert_int_eq(count_lines(journal, "\"finish\"", "\"a\""), 1);
	ck_assert_int_eq(count_lines(journal, "\"overlimit\"", "\"b\""), 1);
	ck_assert_int_eq(count_lines(journal, "\"refuse\"", "\"comptoir\""), 1);
	ck_assert_int_eq(count_lines(journal, "\"start\"", ""), 1);
	close(fd);
}
END_TEST

/* Waits for a datagram on one of @fds, sends it back and returns the index; -1 after 1 s. */
static int echo_one(const int fds[3], struct sockaddr_in *from)
{
	struct pollfd p[3];
	char buf[64];
	socklen_t len = sizeof(*from);
	ssize_t n;

	for (int i = 0; i < 3; i++)
		p[i] = (struct pollfd){.fd = fds[i], .events = POLLIN};
	if (poll(p, 3, 1000) <= 0)
		return -1;
	for (int i = 0; i < 3; i++) {
		if (!p[i].revents)
			continue;
		n = recvfrom(fds[i], buf, sizeof(buf), 0, (struct sockaddr *)from, &len);
		sendto(fds[i], buf, (size_t)n, 0, (struct sockaddr *)from, len);
		return i;
	}
	return -1;
}

static void publish(int platform)
{
	static const char list[] =
		"[{\"name\":\"a\",\"bind_ip\":\"127.0.0.11\",\"state\":\"live\"},"
		"{\"name\":\"b\",\"bind_ip\":\"127.0.0.12\",\"state\":\"live\"},"
		"{\"name\":\"c\",\"bind_ip\":\"127.0.0.13\",\"state\":\"leaving\"}]";
	GString *out = g_string_new(NULL);

	ck_assert_int_eq(http(platform, "/instances", list, out), HT_HTTP_ANSWERED);
	g_string_free(out, TRUE);
	usleep(500000);
}

/* Guards against a fabric that pins flows to instances, which would hide misplaced flows. */
START_TEST(fabric_spreads_one_flow_over_live_instances)
{
	static const char *const ips[] = {"127.0.0.11", "127.0.0.12", "127.0.0.13"};
	int platform = start_platform(), port = free_port(SOCK_DGRAM);
	int fds[3], got[3] = {0}, at, caller = bound(SOCK_DGRAM, "127.0.0.1", 0);
	struct sockaddr_in service = address("127.0.0.1", port), from = {.sin_port = 0},
			   first = from;
	socklen_t len = sizeof(from);
	char args[128], buf[8];

	for (int i = 0; i < 3; i++)
		fds[i] = bound(SOCK_DGRAM, ips[i], port);
	g_snprintf(args, sizeof(args), "--platform 127.0.0.1:%d --service 127.0.0.1:%d", platform,
		   port);
	start("fabric", args);
	publish(platform);
	for (int i = 0; i < 60; i++) {
		sendto(caller, "x", 1, 0, (struct sockaddr *)&service, sizeof(service));
		at = echo_one(fds, &from);
		ck_assert_int_ge(at, 0);
		got[at]++;
		if (!first.sin_port)
			first = from;
		ck_assert_int_eq(memcmp(&first, &from, sizeof(from)), 0);
		ck_assert_int_eq(
			recvfrom(caller, buf, sizeof(buf), 0, (struct sockaddr *)&from, &len), 1);
		ck_assert_int_eq(ntohs(from.sin_port), port);
	}
	ck_assert_int_gt(got[0], 10);
	ck_assert_int_gt(got[1], 10);
	ck_assert_int_eq(got[2], 0);
}
END_TEST

/* Answers one request of a caller with @body, or with the right one when it is NULL. */
static void answer_caller(int fd, const char *body)
{
	GByteArray *out = g_byte_array_new();
	struct sockaddr_in from;
	socklen_t len = sizeof(from);
	uint8_t buf[2048];
	ssize_t n = recvfrom(fd, buf, sizeof(buf), 0, (struct sockaddr *)&from, &len);
	coap_pdu_t *pdu = ht_si_msg_parse(COAP_PROTO_UDP, buf, (size_t)n);
	coap_bin_const_t token = coap_pdu_get_token(pdu);
	GString *right;
	struct ht_si_msg m;
	char id[64];

	ht_si_msg_query(pdu, "id", id, sizeof(id));
	right = ht_si_body("almacen", "stock", id);
	ht_si_msg_init(&m, HT_SI_CODE(2, 5), token.s, token.length);
	ht_si_msg_payload(&m, body ? body : right->str, strlen(body ? body : right->str));
	ht_si_msg_udp(&m, COAP_MESSAGE_NON, 1, out);
	sendto(fd, out->data, out->len, 0, (struct sockaddr *)&from, len);
	ht_si_msg_clear(&m);
	g_string_free(right, TRUE);
	g_byte_array_unref(out);
	coap_delete_pdu(pdu);
}

/* Guards against a caller that takes the answer of another request or service for its own. */
START_TEST(caller_tells_its_own_answer)
{
	int fd = bound(SOCK_DGRAM, "127.0.0.1", 0);
	char args[256], records[64];

	g_snprintf(records, sizeof(records), "%s/records", dir);
	g_snprintf(args, sizeof(args),
		   "--service almacen=127.0.0.1:%d --flows 1 --requests 3 --post-share 0 "
		   "--pattern-share 0 --cancel-share 0 --repeat-ms 20000 --records %s",
		   port_of(fd), records);
	start("caller", args);
	answer_caller(fd, NULL);
	answer_caller(fd, "almacen stock r-f0-999\n");
	answer_caller(fd, "taller-docs stock r-f0-2\n");
	ck_assert_int_eq(waitpid(children[0], NULL, 0), children[0]);
	child_count = 0;
	ck_assert_int_eq(count_lines(records, "\"r-f0-0\"", "\"body_ok\":true"), 1);
	ck_assert_int_eq(count_lines(records, "\"code\":205", "\"body_ok\":false"), 2);
	close(fd);
}
END_TEST

static void remove_dir(void)
{
	static const char *const names[] = {"journal", "records"};
	char path[64];

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_snprintf(path, sizeof(path), "%s/%s", dir, names[i]);
		unlink(path);
	}
	rmdir(dir);
}

int main(void)
{
	Suite *suite = suite_create("standins");
	TCase *tc = tcase_create("standins");
	SRunner *runner;
	int failed;

	if (!mkdtemp(dir))
		return EXIT_FAILURE;
	tcase_set_timeout(tc, 20);
	tcase_add_checked_fixture(tc, NULL, stop_children);
	tcase_add_test(tc, lost_write_answer_takes_effect);
	tcase_add_test(tc, backend_journals_excess_and_foreign_requests);
	tcase_add_test(tc, fabric_spreads_one_flow_over_live_instances);
	tcase_add_test(tc, caller_tells_its_own_answer);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	/* After a failed check the runner ends the test's process group, and so its programs. */
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	remove_dir();
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
