/* End-to-end tests of the program on loopback, with a stand-in store and with targets and
 * callers of the test. */
#include "platform/packet.h"
#include "standins/common/metadata.h"
#include "tests/suite.h"

#include <arpa/inet.h>
#include <endian.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define INSTANCES 2
/* Timeout of waits; they end early on success. Generous because the machine may be busy. */
#define WAIT_MS 5000

struct instance {
	char dir[32], ip[16];
	pid_t pid;
	int packet_port, ready_port, peer_port, metrics_port;
};

static struct ht_si_metadata *store;
static struct instance inst[INSTANCES];
static int target_fd, caller_fd;
static const char *extra_settings = ""; /* appended to the settings file of the next launch */
static bool close_stdout;		/* the next launch starts with stdout closed */
static int stdout_fd = -1;		/* stdout of the next launch; -1: a log file */

static int bind_udp(const char *ip, int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	struct timeval tv = {.tv_sec = WAIT_MS / 1000};
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	inet_pton(AF_INET, ip, &sin.sin_addr);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	return fd;
}

static int port_of(int fd)
{
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	getsockname(fd, (struct sockaddr *)&sin, &len);
	return ntohs(sin.sin_port);
}

static int free_port(int type)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, type, 0), port;

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	port = port_of(fd);
	close(fd);
	return port;
}

static void put_target(const char *name, int port, const char *state)
{
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	ht_si_metadata_put(store, "servers", name,
			   json_pack("{sssssssssisssisisI}", "service", "stock", "address", address,
				     "zone", "north", "configVersion", "v1", "concurrency", 3,
				     "state", state, "warmupLeftMs", 0, "sequence", 1, "born",
				     (json_int_t)1700000000000));
}

static void put_config(int version)
{
	json_t *route = json_pack("{sssssssisisiss}", "hostname", "198.18.0.1", "pathPrefix",
				  "/443/", "routeType", "safe", "timeoutMs", 2000, "aimMs", 200,
				  "priority", 2, "service", "stock");

	ht_si_metadata_put(store, "config", "main",
			   json_pack("{sis[o]}", "configVersion", version, "routes", route));
}

static void write_settings(const struct instance *in, const char *store_addr, const char *seeds)
{
	char path[160];
	FILE *f;

	snprintf(path, sizeof(path), "%s/settings.json", in->dir);
	f = fopen(path, "w");
	fprintf(f,
		"{\"instance\":\"%s\",\"data_centre\":\"north\",\"packet_address\":\"%s:%d\","
		"\"ready_address\":\"%s:%d\",\"peer_address\":\"%s:%d\",\"store_address\":\"%s\","
		"\"metrics_address\":\"%s:%d\",\"seeds\":\"%s\",\"stop_grace_s\":4,"
		"\"log_sample\":1%s}",
		in->dir + 5, in->ip, in->packet_port, in->ip, in->ready_port, in->ip, in->peer_port,
		store_addr, in->ip, in->metrics_port, seeds, extra_settings);
	fclose(f);
}

/* Starts the program from the same build with the store at @store_addr. */
static void launch(struct instance *in, const char *store_addr, const char *seeds)
{
	char self[512], program[600], path[160];
	ssize_t n = readlink("/proc/self/exe", self, sizeof(self) - 1);

	self[n] = '\0';
	*strrchr(self, '/') = '\0';
	snprintf(program, sizeof(program), "%s/../../hickorytrestle-entry", self);
	write_settings(in, store_addr, seeds);
	snprintf(path, sizeof(path), "%s/settings.json.log", in->dir);
	in->pid = fork();
	if (in->pid == 0) {
		dup2(stdout_fd >= 0 ? stdout_fd
				    : open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600),
		     STDOUT_FILENO);
		snprintf(path + strlen(path) - 4, 5, "%s", "");
		if (close_stdout)
			close(STDOUT_FILENO);
		execl(program, program, "--settings", path, (char *)NULL);
		_exit(127);
	}
}

/* Sends a GET request for @path and reads the whole response into @buf; returns its status, or
 * 0. */
static int get(const struct instance *in, int port, const char *path, char *buf, size_t size)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0), status = 0;
	size_t len = 0;
	ssize_t n;

	inet_pton(AF_INET, in->ip, &sin.sin_addr);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
	    dprintf(fd, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path) > 0)
		while (len < size - 1 && (n = read(fd, buf + len, size - 1 - len)) > 0)
			len += (size_t)n;
	buf[len] = '\0';
	sscanf(buf, "HTTP/1.1 %d", &status);
	close(fd);
	return status;
}

/* Returns the status of the readiness endpoint, or 0. */
static int readiness(const struct instance *in)
{
	char buf[256];

	return get(in, in->ready_port, "/-/readiness", buf, sizeof(buf));
}

static void await_readiness(const struct instance *in, int status)
{
	for (int i = 0; i < WAIT_MS / 20 && readiness(in) != status; i++)
		usleep(20000);
	ck_assert_int_eq(readiness(in), status);
}

static void send_packet(const struct instance *in, uint8_t flags, uint16_t sport, uint32_t mark,
			uint16_t dport)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)in->packet_port)};
	uint8_t pkt[HT_PACKET_HEADER_LEN] = {flags, 0, 0x11, 0x22, 0x33, 0x44};
	uint32_t src = htonl(0x7f000009), dst = htonl(0xc6120001);

	sport = htons(sport);
	dport = htons(dport);
	mark = htonl(mark);
	memcpy(pkt + 14, &sport, 2);
	memcpy(pkt + 16, &src, 4);
	memcpy(pkt + 20, &dst, 4);
	memcpy(pkt + 24, &dport, 2);
	memcpy(pkt + 28, &mark, 4);
	inet_pton(AF_INET, in->ip, &sin.sin_addr);
	ck_assert_int_eq(
		sendto(caller_fd, pkt, sizeof(pkt), 0, (struct sockaddr *)&sin, sizeof(sin)),
		sizeof(pkt));
}

/* Waits for the first reset; flows are reset only after exact reads have confirmed the view. */
static void await_reset(const struct instance *in)
{
	struct pollfd fd = {.fd = caller_fd, .events = POLLIN};
	uint8_t buf[64];

	for (int i = 0; i < WAIT_MS / 100; i++) {
		send_packet(in, 128, (uint16_t)(6900 + i), 0, 9999);
		if (poll(&fd, 1, 100) > 0)
			break;
	}
	ck_assert_int_eq(recv(caller_fd, buf, sizeof(buf), 0), HT_PACKET_HEADER_LEN);
	while (poll(&fd, 1, 100) > 0)
		ck_assert_int_gt(recv(caller_fd, buf, sizeof(buf), 0), 0);
}

/* Receives one datagram at the target and checks its id prefix; returns the mark. */
static uint32_t receive_at_target(uint64_t id)
{
	uint8_t buf[1500];
	uint64_t prefix;
	uint32_t mark;

	ck_assert_int_eq(recv(target_fd, buf, sizeof(buf), 0),
			 HT_PACKET_TARGET_ID_LEN + HT_PACKET_HEADER_LEN);
	memcpy(&prefix, buf, sizeof(prefix));
	ck_assert_uint_eq(be64toh(prefix), id);
	memcpy(&mark, buf + HT_PACKET_TARGET_ID_LEN + 28, sizeof(mark));
	return ntohl(mark);
}

static void start(void)
{
	static const char *const ips[INSTANCES] = {"127.0.0.1", "127.0.0.2"};
	int packet_port = free_port(SOCK_DGRAM), peer_port = free_port(SOCK_STREAM);

	store = ht_si_metadata_new(0);
	ck_assert_ptr_nonnull(store);
	target_fd = bind_udp("127.0.0.1", 0);
	caller_fd = bind_udp("127.0.0.9", packet_port);
	put_config(1);
	put_target("i-7f3a91c2", port_of(target_fd), "ready");
	for (int i = 0; i < INSTANCES; i++) {
		snprintf(inst[i].dir, sizeof(inst[i].dir), "/tmp/ht-entry-XXXXXX");
		ck_assert_ptr_nonnull(mkdtemp(inst[i].dir));
		snprintf(inst[i].ip, sizeof(inst[i].ip), "%s", ips[i]);
		inst[i].packet_port = packet_port;
		inst[i].ready_port = free_port(SOCK_STREAM);
		inst[i].peer_port = peer_port;
		inst[i].metrics_port = free_port(SOCK_STREAM);
		inst[i].pid = 0;
	}
}

static void stop(void)
{
	for (int i = 0; i < INSTANCES; i++) {
		char path[160];

		if (inst[i].pid) {
			kill(inst[i].pid, SIGKILL);
			waitpid(inst[i].pid, NULL, 0);
		}
		snprintf(path, sizeof(path), "%s/settings.json", inst[i].dir);
		unlink(path);
		snprintf(path, sizeof(path), "%s/settings.json.log", inst[i].dir);
		unlink(path);
		rmdir(inst[i].dir);
	}
	close(target_fd);
	close(caller_fd);
	ht_si_metadata_free(store);
}

START_TEST(forwards_by_store_contents_and_stops_gracefully)
{
	uint32_t mark;
	int status;

	launch(&inst[0], ht_si_metadata_address(store), "");
	await_readiness(&inst[0], 200);
	send_packet(&inst[0], 128, 4001, 0, 443);
	mark = receive_at_target(0x7f3a91c2);
	ck_assert_uint_ne(mark, 0);
	send_packet(&inst[0], 64, 4001, mark, 443);
	ck_assert_uint_eq(receive_at_target(0x7f3a91c2), mark);
	kill(inst[0].pid, SIGTERM);
	await_readiness(&inst[0], 503);
	/* Packets are still forwarded until the process exits. */
	send_packet(&inst[0], 64, 4001, mark, 443);
	ck_assert_uint_eq(receive_at_target(0x7f3a91c2), mark);
	ck_assert_int_eq(waitpid(inst[0].pid, &status, 0), inst[0].pid);
	inst[0].pid = 0;
	ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}
END_TEST

/* An instance that starts while the store is down must forward packets from a neighbour's
 * snapshot instead of dropping them until the store returns. */
START_TEST(starts_from_neighbour_snapshot_while_store_is_down)
{
	char seed[160];
	uint32_t mark;

	launch(&inst[0], ht_si_metadata_address(store), "");
	await_readiness(&inst[0], 200);
	send_packet(&inst[0], 128, 4002, 0, 443);
	mark = receive_at_target(0x7f3a91c2);
	ht_si_metadata_set(store, HT_SI_DOWN, true);
	snprintf(seed, sizeof(seed), "%s:1", inst[0].ip);
	launch(&inst[1], ht_si_metadata_address(store), seed);
	await_readiness(&inst[1], 200);
	send_packet(&inst[1], 64, 4002, mark, 443);
	ck_assert_uint_eq(receive_at_target(0x7f3a91c2), mark);
}
END_TEST

START_TEST(draining_target_gets_no_new_flow_and_unknown_route_is_reset)
{
	uint8_t buf[64];
	int second;

	launch(&inst[0], ht_si_metadata_address(store), "");
	await_readiness(&inst[0], 200);
	second = bind_udp("127.0.0.1", 0);
	put_target("i-11", port_of(second), "ready");
	put_target("i-7f3a91c2", port_of(target_fd), "draining");
	usleep(1500000);
	for (uint16_t i = 0; i < 10; i++) {
		send_packet(&inst[0], 128, (uint16_t)(5000 + i), 0, 443);
		ck_assert_int_gt(recv(second, buf, sizeof(buf), 0), 0);
	}
	send_packet(&inst[0], 128, 6000, 0, 9999);
	ck_assert_int_eq(recv(caller_fd, buf, sizeof(buf), 0), HT_PACKET_HEADER_LEN);
	ck_assert_uint_eq(buf[0], 4);
	close(second);
}
END_TEST

/* Logs and metrics identify a flow by its addresses and must not contain payload bytes. */
START_TEST(logs_and_metrics_identify_flows_without_payload)
{
	static const char secret[] = "PAYLOAD-7d1f";
	static char text[1 << 16];
	struct sockaddr_in sin = {.sin_family = AF_INET};
	uint8_t pkt[HT_PACKET_HEADER_LEN + sizeof(secret)] = {64};
	uint32_t mark, src = htonl(0x7f000009), dst = htonl(0xc6120001);
	uint16_t sport = htons(4003), dport = htons(443), len = htons(sizeof(secret));
	char path[160];
	size_t n;
	FILE *f;

	launch(&inst[0], ht_si_metadata_address(store), "");
	await_readiness(&inst[0], 200);
	send_packet(&inst[0], 128, 4003, 0, 443);
	mark = receive_at_target(0x7f3a91c2);
	mark = htonl(mark);
	memcpy(pkt + 14, &sport, 2);
	memcpy(pkt + 16, &src, 4);
	memcpy(pkt + 20, &dst, 4);
	memcpy(pkt + 24, &dport, 2);
	memcpy(pkt + 26, &len, 2);
	memcpy(pkt + 28, &mark, 4);
	memcpy(pkt + HT_PACKET_HEADER_LEN, secret, sizeof(secret));
	sin.sin_port = htons((uint16_t)inst[0].packet_port);
	inet_pton(AF_INET, inst[0].ip, &sin.sin_addr);
	for (int i = 0; i < 2; i++) {
		uint8_t buf[1500];

		/* Callers retransmit after 200 ms; an earlier copy does not count as a
		 * retransmission. */
		usleep(200000);
		ck_assert_int_eq(sendto(caller_fd, pkt, sizeof(pkt), 0, (struct sockaddr *)&sin,
					sizeof(sin)),
				 sizeof(pkt));
		ck_assert_int_eq(recv(target_fd, buf, sizeof(buf), 0),
				 HT_PACKET_TARGET_ID_LEN + (ssize_t)sizeof(pkt));
	}
	ck_assert_int_eq(get(&inst[0], inst[0].metrics_port, "/metrics", text, sizeof(text)), 200);
	ck_assert_ptr_nonnull(
		strstr(text, "\nhickorytrestle_flow_events_total{event=\"repeated\"} 1\n"));
	ck_assert_ptr_null(strstr(text, "PAYLOAD"));
	ck_assert_int_eq(get(&inst[0], inst[0].metrics_port, "/other", text, sizeof(text)), 404);
	snprintf(path, sizeof(path), "%s/settings.json.log", inst[0].dir);
	f = fopen(path, "r");
	n = fread(text, 1, sizeof(text) - 1, f);
	fclose(f);
	text[n] = '\0';
	ck_assert_ptr_nonnull(strstr(text, "name=FLOW_PLACED flow=127.0.0.9:4003-198.18.0.1:443 "));
	ck_assert_ptr_nonnull(
		strstr(text, "name=FLOW_REPEATED flow=127.0.0.9:4003-198.18.0.1:443 "));
	ck_assert_ptr_null(strstr(text, "PAYLOAD"));
}
END_TEST

/* Guards against a page that is not served, or that sends the flow that it explains. */
START_TEST(explains_a_flow_without_sending_it)
{
	static char text[1 << 16];
	uint8_t buf[64];

	launch(&inst[0], ht_si_metadata_address(store), "");
	await_readiness(&inst[0], 200);
	ck_assert_int_eq(get(&inst[0], inst[0].metrics_port,
			     "/explain?from=127.0.0.9:4001&to=198.18.0.1:443", text, sizeof(text)),
			 200);
	ck_assert_ptr_nonnull(strstr(text, "\nverdict: forward reason=placed: "));
	ck_assert_ptr_nonnull(strstr(text, "\ntarget: i-7f3a91c2 mark="));
	ck_assert_ptr_nonnull(strstr(text, "\nroute: known priority=2 aim_ms=200 limit_ms=2000\n"));
	ck_assert_int_eq(recv(target_fd, buf, sizeof(buf), MSG_DONTWAIT), -1);
	ck_assert_int_eq(get(&inst[0], inst[0].metrics_port, "/explain?from=127.0.0.9:4001", text,
			     sizeof(text)),
			 400);
	ck_assert_ptr_nonnull(strstr(text, "\r\n\r\nto is missing; "));
	ck_assert_int_eq(get(&inst[0], inst[0].metrics_port, "/metrics", text, sizeof(text)), 200);
	ck_assert_ptr_nonnull(strstr(text, "\nhickorytrestle_flows 0\n"));
	ck_assert_ptr_null(strstr(text, "decisions_total{"));
}
END_TEST

/* A full log pipe must not block the instance: lines are dropped and counted. */
START_TEST(keeps_serving_when_log_is_not_read)
{
	static char text[1 << 16];
	uint8_t buf[64];
	const char *lost;
	int log_pipe[2];

	ck_assert_int_eq(pipe2(log_pipe, O_CLOEXEC), 0);
	stdout_fd = log_pipe[1];
	extra_settings = ",\"log_lines\":100000,\"log_event_lines\":100000,"
			 "\"log_bytes\":100000000,\"log_event_bytes\":100000000";
	launch(&inst[0], ht_si_metadata_address(store), "");
	stdout_fd = -1;
	extra_settings = "";
	await_readiness(&inst[0], 200);
	await_reset(&inst[0]);
	for (uint16_t i = 0; i < 1500; i++) {
		send_packet(&inst[0], 128, (uint16_t)(7000 + i), 0, 9999);
		ck_assert_int_eq(recv(caller_fd, buf, sizeof(buf), 0), HT_PACKET_HEADER_LEN);
	}
	ck_assert_int_eq(get(&inst[0], inst[0].metrics_port, "/metrics", text, sizeof(text)), 200);
	lost = strstr(text, "hickorytrestle_log_lines_total{outcome=\"unwritten\"} ");
	ck_assert_ptr_nonnull(lost);
	ck_assert_int_gt(atoi(strchr(lost, ' ')), 0);
	close(log_pipe[0]);
	close(log_pipe[1]);
}
END_TEST

/* Without a replacement for a closed stdout, a socket gets its descriptor number and log lines
 * are written to it. */
START_TEST(closed_stdout_is_replaced_by_dev_null)
{
	char link[64], file[64] = "";

	stdout_fd = open("/dev/null", O_WRONLY | O_CLOEXEC);
	close_stdout = true;
	launch(&inst[0], ht_si_metadata_address(store), "");
	close(stdout_fd);
	stdout_fd = -1;
	close_stdout = false;
	await_readiness(&inst[0], 200);
	snprintf(link, sizeof(link), "/proc/%d/fd/%d", inst[0].pid, STDOUT_FILENO);
	ck_assert_int_gt(readlink(link, file, sizeof(file) - 1), 0);
	ck_assert_str_eq(file, "/dev/null");
}
END_TEST

static void await_metric(const struct instance *in, const char *sample)
{
	static char text[1 << 16];

	for (int i = 0; i < WAIT_MS / 20; i++) {
		ck_assert_int_eq(get(in, in->metrics_port, "/metrics", text, sizeof(text)), 200);
		if (strstr(text, sample))
			return;
		usleep(20000);
	}
	ck_abort_msg("no sample %s", sample + 1);
}

static void reload_with(const struct instance *in, const char *extra)
{
	extra_settings = extra;
	write_settings(in, ht_si_metadata_address(store), "");
	extra_settings = "";
	kill(in->pid, SIGHUP);
}

/* Guards against a change of overload control that needs a restart, and against a fault when its
 * state is freed and made again while packets arrive. */
START_TEST(overload_control_is_switched_by_a_reload)
{
	launch(&inst[0], ht_si_metadata_address(store), "");
	await_readiness(&inst[0], 200);
	await_metric(&inst[0], "\nhickorytrestle_overload_control 1\n");
	reload_with(&inst[0], ",\"overload_control\":false");
	await_metric(&inst[0], "\nhickorytrestle_overload_control 0\n");
	send_packet(&inst[0], 128, 4005, 0, 443);
	receive_at_target(0x7f3a91c2);
	reload_with(&inst[0], ",\"admission_depth\":4");
	await_metric(&inst[0], "\nhickorytrestle_overload_control 1\n");
	send_packet(&inst[0], 128, 4006, 0, 443);
	receive_at_target(0x7f3a91c2);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("entry");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, forwards_by_store_contents_and_stops_gracefully);
	tcase_add_test(tc, starts_from_neighbour_snapshot_while_store_is_down);
	tcase_add_test(tc, draining_target_gets_no_new_flow_and_unknown_route_is_reset);
	tcase_add_test(tc, logs_and_metrics_identify_flows_without_payload);
	tcase_add_test(tc, explains_a_flow_without_sending_it);
	tcase_add_test(tc, keeps_serving_when_log_is_not_read);
	tcase_add_test(tc, closed_stdout_is_replaced_by_dev_null);
	tcase_add_test(tc, overload_control_is_switched_by_a_reload);
	return run_case("entry", tc);
}
