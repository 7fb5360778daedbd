/* The page that explains a decision: its query, and what it says in each situation. */
#include "entry/explain.h"
#include "entry/metrics.h"
#include "tests/core/steering_world.h"
#include "tests/suite.h"

#define FLOW "from=100.64.0.1:1024&to=198.18.0.1:443"

static struct ht_entry_stats stats;
static struct ht_load *load;
static struct ht_http_answer answer;

static void start(void)
{
	struct ht_load_params lp;

	world_start();
	/* The page takes the time from the clock. */
	now = ht_now();
	ht_steering_free(st);
	ht_load_params_default(&lp);
	lp.dc = ht_load_key("here");
	load = ht_load_new(&lp);
	params.overload.load = load;
	ht_admission_params_default(&params.overload.admission);
	st = ht_steering_new(&params);
	ht_steering_set_view_complete(st, true);
	ht_entry_stats_init(&stats);
}

static void stop(void)
{
	free(answer.body);
	answer = (struct ht_http_answer){0};
	world_stop();
	ht_load_free(load);
}

static void ask(const char *path)
{
	const struct ht_metrics_params page = {.stats = &stats, .catalog = cat, .steering = st};

	free(answer.body);
	answer = (struct ht_http_answer){.status = "404 Not Found", .type = "text/plain"};
	ht_metrics_answer(&page, path, &answer);
}

/* Asserts that the page on @query succeeds and contains @text. */
static void says(const char *query, const char *text)
{
	char path[128];

	snprintf(path, sizeof(path), "/explain?%s", query);
	ask(path);
	ck_assert_str_eq(answer.status, "200 OK");
	if (!strstr(answer.body, text))
		ck_abort_msg("'%s' is not in\n%s", text, answer.body);
}

START_TEST(query_names_both_ends_in_either_order)
{
	struct ht_explain_query q;
	struct ht_err err;

	ck_assert(ht_explain_parse(&q, "to=198.18.0.1:443&from=100.64.0.1:65535", &err));
	ck_assert_uint_eq(q.from.ip, 0x64400001U);
	ck_assert_uint_eq(q.from.port, 65535);
	ck_assert_uint_eq(q.to.ip, 0xc6120001U);
	ck_assert_uint_eq(q.to.port, 443);
}
END_TEST

/* Guards against an explanation of a flow that was not asked for. */
START_TEST(malformed_queries_are_answered_with_the_reason)
{
	static const char *const faults[][2] = {
		{"", "from is missing"},
		{"?", "from is missing"},
		{"?from=1.2.3.4:5", "to is missing"},
		{"?to=1.2.3.4:5", "from is missing"},
		{"?from=1.2.3.4&to=1.2.3.4:5", "from: '1.2.3.4' is not IP:PORT"},
		{"?from=1.2.3.4:0&to=1.2.3.4:5", "from: '1.2.3.4:0' is not IP:PORT"},
		{"?from=1.2.3.4:65536&to=1.2.3.4:5", "from: '1.2.3.4:65536' is not IP:PORT"},
		{"?from=1.2.3.4:5&to=1.2.3:5", "to: "},
		{"?from=1.2.3.4:5&to=[::1]:5", "to: '[::1]:5' is not an IPv4 address"},
		{"?from=1.2.3.4:5&to=1.2.3.4:5&to=1.2.3.4:6", "'to' is given twice"},
		{"?from=1.2.3.4:5&to=1.2.3.4:5&copy=1", "'copy' is not known"},
		{"?from", "'from' has no value"},
		{"?from=&to=1.2.3.4:5", "from: '' is not IP:PORT"},
	};

	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		char path[128];

		snprintf(path, sizeof(path), "/explain%s", faults[i][0]);
		ask(path);
		ck_assert_str_eq(answer.status, "400 Bad Request");
		ck_assert_ptr_eq(strstr(answer.body, faults[i][1]), answer.body);
		ck_assert_ptr_nonnull(
			strstr(answer.body, "; expected /explain?from=IP:PORT&to=IP:PORT\n"));
	}
}
END_TEST

/* Guards against an answer to a path that only begins like the page. */
START_TEST(other_paths_are_not_found)
{
	ask("/explained?" FLOW);
	ck_assert_str_eq(answer.status, "404 Not Found");
	ck_assert_ptr_null(answer.body);
	ask("/explain/?" FLOW);
	ck_assert_str_eq(answer.status, "404 Not Found");
}
END_TEST

START_TEST(refusals_are_explained)
{
	says("from=100.64.0.1:1024&to=198.18.0.1:9999",
	     "verdict: reset reason=no-route: the configuration has no such address\n"
	     "route: not known\n");
	says(FLOW, "verdict: reset reason=no-target: no target can take a new flow\n"
		   "route: known priority=2 aim_ms=0 limit_ms=0\n"
		   "split: service=stock weight=1 targets=0 picked\n");
	ht_steering_set_view_complete(st, false);
	says(FLOW, "verdict: drop reason=no-view: ");
}
END_TEST

START_TEST(candidates_are_shown_with_their_cost_best_first)
{
	struct ht_target *slow, *near;

	put_target(0, "stock", "there");
	slow = put_target(1, "stock", "here");
	near = put_target(2, "stock", "here");
	slow->evidence.error_rate = 0.5;
	now = ht_now();
	ht_target_count_open(near, 1);
	says(FLOW, "verdict: forward reason=placed: a target takes the flow\ntarget: i-1002 mark=");
	ck_assert_ptr_nonnull(strstr(answer.body, "\ncapacity: not short\n"
						  "load: not known yet\n"
						  "candidates: 3 shown, 3 examined, 3 known\n"
						  "rule: the cheapest target is taken, "));
	ck_assert_ptr_nonnull(strstr(
		answer.body, "\n  i-1002 dc=here fit=usable cost=0.67 open=1 slots=3 chosen\n"
			     "  i-1000 dc=there fit=usable cost=1.33 open=0 slots=3 "
			     "remote=*4.00\n"
			     "  i-1001 dc=here fit=usable cost=1.67 open=0 slots=3 "
			     "errors=*5.00\n"));
	ht_target_count_open(near, -1);
}
END_TEST

START_TEST(plan_of_a_short_service_is_shown)
{
	struct ht_target *t = put_target(0, "stock", "here");
	struct ht_load_view view = {
		.count = 1,
		.dcs = {{.dc = ht_load_key("here"),
			 .instances = 9,
			 .service_count = 1,
			 .services = {{.service = t->service->key,
				       .place_count = 1,
				       .places = {{.dc = ht_load_key("here"), .open = 11}}}},
			 .target_count = 1,
			 .targets = {{.mark = t->marks[0].value, .open = 11, .flows = 7}}}}};

	put_target(1, "stock", "there");
	ht_load_set_view(load, &view, ht_now());
	t->service->plan = (struct ht_admission_plan){
		.short_of_room = true,
		.class_count = 2,
		.classes = {{.priority = 1}, {.priority = 2}},
		.admit = {1, 0},
		.dc_count = 2,
		.dcs = {ht_load_key("here"), ht_load_key("there")},
		.share = {0.75, 0.25},
	};
	says(FLOW, "verdict: reset reason=no-room: capacity is short and others go first\n");
	ck_assert_ptr_nonnull(strstr(answer.body, "\ncapacity: short\n"
						  "class: admitted=0.00, the rest is refused\n"
						  "share: dc=here of the admitted flows=0.75\n"
						  "share: dc=there of the admitted flows=0.25\n"
						  "load: source=shared age_ms="));
	ck_assert_ptr_nonnull(
		strstr(answer.body, "\nrule: a data centre is drawn by the shares, "));
	ck_assert_ptr_nonnull(strstr(answer.body,
				     "\n  i-1000 dc=here fit=usable cost=5.33 open=0 slots=3 "
				     "full=*16.00 dc_share=0.75 listed_open=11 listed_flows=7\n"));
	says("from=100.64.0.1:1024&to=198.18.0.1:444", "verdict: forward reason=placed: ");
	ck_assert_ptr_nonnull(strstr(answer.body, "class: admitted=1.00"));
}
END_TEST

/* Guards against a page that sends or counts something. */
START_TEST(page_changes_nothing)
{
	struct ht_target *t = put_target(0, "stock", "here");

	for (int i = 0; i < 20; i++)
		says(FLOW, "verdict: forward reason=placed: ");
	ck_assert_uint_eq(ht_steering_flow_count(st), 0);
	ck_assert_uint_eq(t->open + t->waiting + t->flows, 0);
	ck_assert_uint_eq(stats.decisions[HT_STEER_FORWARD][HT_STEER_PLACED], 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("explain");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, query_names_both_ends_in_either_order);
	tcase_add_test(tc, malformed_queries_are_answered_with_the_reason);
	tcase_add_test(tc, other_paths_are_not_found);
	tcase_add_test(tc, refusals_are_explained);
	tcase_add_test(tc, candidates_are_shown_with_their_cost_best_first);
	tcase_add_test(tc, plan_of_a_short_service_is_shown);
	tcase_add_test(tc, page_changes_nothing);
	return run_case("explain", tc);
}
