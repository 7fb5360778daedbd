/* Tests of hickoryctl as several processes against the platform stand-in. */
#include "base/clock.h"
#include "ctl/ctl.h"
#include "tests/http.h"

#include <arpa/inet.h>
#include <check.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define SERVICE "service a region r address 127.0.1.1:1 # x\n"
#define OPERATORS 5

static char dir[] = "/tmp/ht-races-XXXXXX";
static char platform[32];
static pid_t child;

static int free_port(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, len), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	close(fd);
	return ntohs(sin.sin_port);
}

/* Returns true when the stand-in took the value. */
static bool put(const char *path, const char *body)
{
	struct http_result res = http_call(platform, path, body, 2000, NULL);

	return res.outcome == HT_HTTP_ANSWERED && res.status < 400;
}

/* Starts the stand-in of the same build. */
static void start(void)
{
	char self[512], *base, *program;
	ssize_t n = readlink("/proc/self/exe", self, sizeof(self) - 1);
	bool reached = false;

	ck_assert_int_gt(n, 0);
	self[n] = 0;
	base = g_path_get_dirname(self);
	program = g_strdup_printf("%s/../../standins/platform", base);
	snprintf(platform, sizeof(platform), "127.0.0.1:%d", free_port());
	ck_assert_ptr_nonnull(g_mkdtemp(dir));
	child = fork();
	if (child == 0) {
		execl(program, program, platform, (char *)NULL);
		_exit(127);
	}
	g_free(program);
	g_free(base);
	for (int i = 0; i < 200 && !reached; i++) {
		usleep(20000);
		reached = put("/knobs", "{}");
	}
	ck_assert(reached);
}

static void stop(void)
{
	char *command[OPERATORS];

	kill(child, SIGTERM);
	waitpid(child, NULL, 0);
	for (int i = 0; i < OPERATORS; i++) {
		command[i] = g_strdup_printf("%s/%d.rules", dir, i);
		g_unlink(command[i]);
		g_free(command[i]);
	}
	g_rmdir(dir);
}

/* Runs `hickoryctl apply` on the file of operator @i with output to nowhere. */
static int apply_file(int i)
{
	char file[64];
	char *argv[] = {"hickoryctl", "--platform", platform, "apply", file};
	FILE *null = fopen("/dev/null", "w");
	int status;

	snprintf(file, sizeof(file), "%s/%d.rules", dir, i);
	status = ht_ctl_main(5, argv, null, null);
	fclose(null);
	return status;
}

static void write_file(int i, long base, int run)
{
	char file[64], text[512];

	snprintf(file, sizeof(file), "%s/%d.rules", dir, i);
	snprintf(text, sizeof(text), "# base version %ld\n" SERVICE "# operator %d, run %d\n", base,
		 i, run);
	ck_assert(g_file_set_contents(file, text, -1, NULL));
}

static json_t *show(void)
{
	char *argv[] = {"hickoryctl", "--platform", platform, "show", "--json"}, *text = NULL;
	size_t len;
	FILE *out = open_memstream(&text, &len);
	json_t *root;

	ck_assert_int_eq(ht_ctl_main(5, argv, out, stderr), HT_CTL_DONE);
	fclose(out);
	root = json_loads(text, 0, NULL);
	free(text);
	return root;
}

/* Lets all operators apply at once; returns which one was accepted. */
static int race(int run)
{
	int statuses[OPERATORS], winner = -1;
	pid_t pids[OPERATORS];

	for (int i = 0; i < OPERATORS; i++) {
		write_file(i, run, run);
		pids[i] = fork();
		if (pids[i] == 0)
			_exit(apply_file(i));
	}
	for (int i = 0; i < OPERATORS; i++) {
		waitpid(pids[i], &statuses[i], 0);
		ck_assert(WIFEXITED(statuses[i]));
		statuses[i] = WEXITSTATUS(statuses[i]);
		ck_assert_msg(statuses[i] == HT_CTL_DONE || statuses[i] == HT_CTL_LOST,
			      "operator %d, run %d: status %d", i, run, statuses[i]);
		if (statuses[i] != HT_CTL_DONE)
			continue;
		ck_assert_msg(winner < 0, "run %d: two changes of one version accepted", run);
		winner = i;
	}
	return winner;
}

static void check_accepted(int run, int winner)
{
	char text[64];
	json_t *root = show();

	ck_assert_int_ge(winner, 0);
	snprintf(text, sizeof(text), "# operator %d, run %d\n", winner, run);
	ck_assert_int_eq(json_integer_value(json_object_get(root, "version")), run + 1);
	ck_assert_ptr_nonnull(strstr(json_string_value(json_object_get(root, "text")), text));
	json_decref(root);
}

static void first_rules(void)
{
	write_file(0, 0, 0);
	ck_assert_int_eq(apply_file(0), HT_CTL_DONE);
}

/* Guards against two operators who are both told that their change is in force. */
START_TEST(one_operator_wins_each_race)
{
	first_rules();
	for (int run = 1; run <= 10; run++)
		check_accepted(run, race(run));
}
END_TEST

/* Guards against a wrong verdict when answers to the writes of a race are lost. */
START_TEST(one_operator_wins_with_lost_answers)
{
	first_rules();
	for (int run = 1; run <= 10; run++) {
		char knobs[64];

		/* From only parts' writes up to all writes of the head. */
		snprintf(knobs, sizeof(knobs), "{\"lose_write_answers\":%d}", run);
		ck_assert(put("/knobs", knobs));
		check_accepted(run, race(run));
	}
}
END_TEST

/* Guards against failures of apply at a slow store. */
START_TEST(slow_platform)
{
	first_rules();
	ck_assert(put("/knobs", "{\"delay_ms\":700}"));
	write_file(0, 1, 1);
	ck_assert_int_eq(apply_file(0), HT_CTL_DONE);
	check_accepted(1, 0);
}
END_TEST

/* The stand-in publishes a list in its next round. */
static void wait_for_instance(void)
{
	struct ht_platform *client = ht_platform_new(NULL, platform, NULL, NULL, NULL);
	struct ht_platform_instance *list = NULL;
	int n = 0;

	for (int i = 0; i < 100 && n != 1; i++) {
		struct ht_platform_result res;

		usleep(10000);
		ck_assert(ht_platform_instances_wait(client, 2000, &res));
		n = ht_platform_instances_parse(res.value, &list, NULL);
		free(list);
		ht_platform_result_clear(&res);
	}
	ck_assert_int_eq(n, 1);
	ht_platform_free(client);
}

/* Guards against a store restored to a head without its parts, which no change could replace. */
START_TEST(restored_store)
{
	char *argv[] = {"hickoryctl", "--platform", platform, "apply", "--replace-damaged", NULL};
	/* The platform tells its time in whole seconds. */
	ht_ms began = ht_clock_wall() - 1000;
	char file[64];
	json_t *root;

	first_rules();
	ck_assert(put("/force/status/d",
		      "{\"version\":1,\"value\":{\"config_version\":40,\"instances\":{}}}"));
	ck_assert(put("/instances", "[{\"name\":\"p\",\"data_centre\":\"d\",\"peer_address\":"
				    "\"127.0.0.1:1\",\"admin_address\":\"127.0.0.1:1\","
				    "\"bind_ip\":\"127.0.0.1\",\"size\":1,\"state\":\"live\"}]"));
	wait_for_instance();
	ck_assert(put("/force/config/head",
		      "{\"version\":1,\"value\":{\"version\":1,\"change_id\":\"old\","
		      "\"parent\":0,\"parts\":[{\"service\":\"a\",\"hash\":"
		      "\"0123456789abcdef\"}]}}"));
	ck_assert_int_eq(apply_file(0), HT_CTL_FAILED);
	snprintf(file, sizeof(file), "%s/0.rules", dir);
	argv[5] = file;
	ck_assert_int_eq(ht_ctl_main(6, argv, stdout, stderr), HT_CTL_DONE);
	root = show();
	/* Nobody in the data centre could be asked, so only the wall clock is surely high enough.
	 */
	ck_assert_int_ge(json_integer_value(json_object_get(root, "version")), began);
	json_decref(root);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("races");
	TCase *tc = tcase_create("races");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, one_operator_wins_each_race);
	tcase_add_test(tc, one_operator_wins_with_lost_answers);
	tcase_add_test(tc, slow_platform);
	tcase_add_test(tc, restored_store);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
