/* Spread of configurations (design, section 3.7). net_step() checks that no instance goes back to
 * an older version. */
#include "core/control.h"
#include "tests/control/net.h"

#define SPREAD_MS 8000

static struct net *start(uint64_t seed, int salto, int fray)
{
	static const char *const names[] = {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"};
	struct net *net = net_new(seed);

	for (int i = 0; i < salto + fray; i++)
		net_add(net, names[i], i < salto ? "salto" : "fray-bentos");
	net_publish_list(net);
	net_set_head(net, make_config(1, 6, "first"));
	for (int i = 0; i < salto + fray; i++)
		net_start(net, i);
	net_run(net, 6000);
	return net;
}

static uint64_t version_at(const struct net *net, int i)
{
	const struct ht_config *cfg = ht_core_config(net->nodes[i].core);

	return cfg ? cfg->version : 0;
}

/* Runs until all running nodes use @version; returns the time taken in ms, or -1. */
static int run_until_version(struct net *net, uint64_t version, int limit)
{
	for (int ms = 0; ms <= limit; ms++) {
		bool all = true;

		for (int i = 0; i < net->count; i++)
			all &= !net->nodes[i].core || version_at(net, i) == version;
		if (all)
			return ms;
		net_step(net);
	}
	return -1;
}

static bool is_relay(const struct node *n)
{
	return n->core && n->events[5] > n->events[6];
}

static int relays(const struct net *net)
{
	int n = 0;

	for (int i = 0; i < net->count; i++)
		n += is_relay(&net->nodes[i]);
	return n;
}

static unsigned int events(const struct net *net, int number)
{
	unsigned int n = 0;

	for (int i = 0; i < net->count; i++)
		n += net->nodes[i].events[number - 1000];
	return n;
}

/* Guards against a change that does not reach all instances of each data centre in time. */
START_TEST(change_spreads_in_time)
{
	struct net *net = start(1, 8, 3);

	ck_assert_int_eq(relays(net), 4);
	for (uint64_t v = 2; v < 8; v++) {
		char note[32];

		snprintf(note, sizeof(note), "change %d", (int)v);
		net_set_head(net, make_config(v, 6 + (int)(v % 2), note));
		ck_assert_int_ge(run_until_version(net, v, SPREAD_MS), 0);
	}
	ck_assert_uint_eq(events(net, HT_EV_CONFIG_REJECTED), 0);
	net_free(net);
}
END_TEST

/* Guards against a data centre that gets no more changes after its relays have died. */
START_TEST(relays_die)
{
	for (int proof = 0; proof < 2; proof++) {
		struct net *net = start(2, 6, 0);

		for (int i = 0; i < net->count; i++)
			if (is_relay(&net->nodes[i]))
				net_kill(net, i, proof);
		net_set_head(net, make_config(2, 6, "second"));
		ck_assert_int_ge(run_until_version(net, 2, SPREAD_MS), 0);
		ck_assert_int_eq(relays(net), 2);
		net_free(net);
	}
}
END_TEST

/* Guards against a platform outage that stops service or delays the next change. */
START_TEST(platform_outage)
{
	struct net *net = start(3, 3, 0);

	net->platform_down = true;
	net_run(net, 30000);
	ck_assert_int_eq(net_served(net), 6);
	net_set_head(net, make_config(2, 6, "second"));
	net_run(net, 5000);
	ck_assert_uint_eq(version_at(net, 0), 1);
	net->platform_down = false;
	ck_assert_int_ge(run_until_version(net, 2, SPREAD_MS), 0);
	net_free(net);
}
END_TEST

/* Guards against an old version from a restored store being used, or polled in a busy loop. */
START_TEST(platform_restored_with_an_older_version)
{
	struct net *net = start(4, 3, 0);
	unsigned int watches;

	net_set_head(net, make_config(5, 7, "fifth"));
	ck_assert_int_ge(run_until_version(net, 5, SPREAD_MS), 0);
	net_set_head(net, make_config(3, 6, "third"));
	watches = net->calls_by_kind[HT_PLATFORM_WATCH_HEAD];
	net_run(net, 10000);
	for (int i = 0; i < 3; i++)
		ck_assert_uint_eq(version_at(net, i), 5);
	ck_assert_uint_eq(events(net, HT_EV_CONFIG_OLDER_IGNORED), 2);
	ck_assert_uint_le(net->calls_by_kind[HT_PLATFORM_WATCH_HEAD] - watches, 4);
	net_set_head(net, make_config(6, 6, "sixth"));
	ck_assert_int_ge(run_until_version(net, 6, SPREAD_MS), 0);
	net_free(net);
}
END_TEST

/* Guards against an instance that cannot start during an outage, with short and long rules. */
START_TEST(new_instance_learns_from_peers)
{
	static const int sizes[] = {6, 4000};

	for (int k = 0; k < 2; k++) {
		struct net *net = start(5, 3, 0);

		net->load = k == 0;
		net_set_head(net, make_config(2, sizes[k], "second"));
		ck_assert_int_ge(run_until_version(net, 2, SPREAD_MS), 0);
		net->platform_down = true;
		net_add(net, "n", "salto");
		net_start(net, 3);
		ck_assert_int_ge(run_until_version(net, 2, 1000), 0);
		ck_assert_ptr_nonnull(ht_core_instance(net->nodes[3].core, ht_instance_id("a")));
		net_run(net, 5000);
		ck_assert_int_gt(net_owned(net, 3), 0);
		net_free(net);
	}
}
END_TEST

static unsigned int pulls[MAX_NODES], pulled[MAX_NODES]; /* pulls by sender and by receiver */

static void count_pulls(struct packet *p, const Ht__PeerMsg *msg)
{
	if (msg->kind_case != HT__PEER_MSG__KIND_CONFIG_PULL)
		return;
	pulls[p->from]++;
	pulled[p->to]++;
}

/* Delays each part of a text by 200 ms more than the previous one. */
static void slow_parts(struct packet *p, const Ht__PeerMsg *msg)
{
	count_pulls(p, msg);
	if (msg->kind_case == HT__PEER_MSG__KIND_CONFIG_DATA)
		p->due += 200 * ((ht_ms)msg->config_data->part + 1);
}

/* Guards against a second pull of a full text, which is then sent twice, while it is arriving. */
START_TEST(arriving_parts_postpone_the_next_pull)
{
	struct net *net = start(9, 3, 0);
	int ms;

	net->load = false;
	net_set_head(net, make_config(2, 8000, "second"));
	ck_assert_int_ge(run_until_version(net, 2, SPREAD_MS), 0);
	net->platform_down = true;
	net->on_send = slow_parts;
	net_add(net, "n", "salto");
	net_start(net, 3);
	ms = run_until_version(net, 2, 3000);
	ck_assert_int_gt(ms, 600); /* three parts or more */
	ck_assert_uint_eq(pulls[3], 1);
	net_free(net);
}
END_TEST

/* Guards against a pull that is never repeated, or only to the peer that does not reply. */
START_TEST(pull_without_answer_goes_to_another_peer)
{
	struct net *net = start(10, 4, 0);
	int asked = 0;

	net->load = false;
	net->platform_down = true;
	net->on_send = count_pulls;
	net_add(net, "n", "salto");
	net_start(net, 4);
	for (int ms = 0; ms < 1000 && pulls[4] == 0; ms++)
		net_step(net);
	while (!pulled[asked])
		asked++;
	net->nodes[asked].frozen = true;
	ck_assert_int_ge(run_until_version(net, 1, 1500), 0);
	ck_assert_uint_ge(pulls[4], 2);
	net_free(net);
}
END_TEST

/* Guards against one peer sending its full text to all instances that start together. */
START_TEST(starting_instances_pull_from_different_peers)
{
	static const char *const names[] = {"n", "o", "p", "q", "r", "s"};
	struct net *net = start(11, 6, 0);
	unsigned int most = 0;

	net->load = false;
	net->platform_down = true;
	net->on_send = count_pulls;
	for (int i = 6; i < 12; i++) {
		net_add(net, names[i - 6], "salto");
		net_start(net, i);
	}
	ck_assert_int_ge(run_until_version(net, 1, 1000), 0);
	for (int i = 0; i < 12; i++) {
		ck_assert_uint_eq(pulls[i], i < 6 ? 0 : 1);
		most = pulled[i] > most ? pulled[i] : most;
	}
	ck_assert_uint_le(most, 3);
	net_free(net);
}
END_TEST

/* Guards against sending the full rules for a change of one line. */
START_TEST(changes_travel_as_differences)
{
	struct net *net = start(6, 6, 0);
	uint64_t before = 0, after = 0, whole;

	net->load = false;
	net_set_head(net, make_config(2, 1000, "second"));
	ck_assert_int_ge(run_until_version(net, 2, SPREAD_MS), 0);
	net_run(net, 3000); /* let the claims of the new targets finish */
	for (int i = 0; i < 6; i++)
		before += ht_core_counters(net->nodes[i].core)->values[HT_C_control_bytes_sent];
	net_set_head(net, make_config(3, 1000, "third"));
	whole = strlen(net->head->text);
	ck_assert_int_ge(run_until_version(net, 3, SPREAD_MS), 0);
	for (int i = 0; i < 6; i++)
		after += ht_core_counters(net->nodes[i].core)->values[HT_C_control_bytes_sent];
	ck_assert_msg(after - before < whole / 10, "%d bytes for a text of %d",
		      (int)(after - before), (int)whole);
	net_free(net);
}
END_TEST

/* Guards against platform calls that grow with the number of instances or with time. */
START_TEST(platform_calls_are_few)
{
	struct net *net = start(7, 8, 0);
	unsigned int before[4];

	net->load = false;
	memcpy(before, net->calls_by_kind, sizeof(before));
	net_run(net, 60000);
	ck_assert_uint_eq(net->calls_by_kind[HT_PLATFORM_READ_HEAD], before[0]);
	ck_assert_uint_eq(net->calls_by_kind[HT_PLATFORM_WATCH_HEAD], before[1]);
	ck_assert_uint_le(net->calls_by_kind[HT_PLATFORM_READ_LIVE] - before[2], 2 * 31);
	ck_assert_uint_le(net->calls_by_kind[HT_PLATFORM_WRITE_STATUS] - before[3], 6);
	ck_assert_ptr_nonnull(strstr(net->last_status, "\"config_version\":1"));
	ck_assert_ptr_nonnull(strstr(net->last_status, "\"h\":1"));
	net_free(net);
}
END_TEST

/* Guards against ignoring the list of a store restored from an older copy, whose revisions are
 * lower. */
START_TEST(list_of_a_new_era_replaces_a_higher_revision)
{
	struct net *net = start(9, 8, 0);
	int left = 7;

	net->load = false;
	net->revision = 50;
	net_publish_list(net);
	net_run(net, 5000);
	net->era = 1;
	net->revision = 2;
	net->nodes[left].listed = false;
	net_kill(net, left, false);
	net_publish_list(net);
	net_run(net, 5000);
	for (int i = 0; i < left; i++) {
		struct ht_revision at = ht_membership_list_revision(net->nodes[i].members->ctx);

		ck_assert_uint_eq(at.era, 1);
		ck_assert_uint_eq(at.number, 3);
	}
	net_free(net);
}
END_TEST

static const struct ht_config_if *config_of(const struct net *net, int i)
{
	return ht_registry_find(ht_core_registry(net->nodes[i].core), "config");
}

/* Guards against losing flows that were placed by an earlier target set. */
START_TEST(earlier_target_sets_are_kept)
{
	struct net *net = start(8, 1, 0);
	const struct ht_config_if *c = config_of(net, 0);
	uint64_t service = ht_hash_str("almacen");

	net->load = false;
	ck_assert_ptr_null(c->previous_set(c->ctx, service, 0));
	for (uint64_t v = 2; v < 8; v++) {
		net_set_head(net, make_config(v, 6 + (int)v, "more"));
		ck_assert_int_ge(run_until_version(net, v, SPREAD_MS), 0);
	}
	for (unsigned int k = 0; k < 4; k++)
		ck_assert_uint_eq(c->previous_set(c->ctx, service, k)->target_count, 12 - k);
	ck_assert_ptr_null(c->previous_set(c->ctx, service, 4));
	/* A changed comment does not add a set, and a set in use again is no longer an earlier one.
	 */
	net_set_head(net, make_config(8, 13, "comment"));
	ck_assert_int_ge(run_until_version(net, 8, SPREAD_MS), 0);
	ck_assert_uint_eq(c->previous_set(c->ctx, service, 0)->target_count, 12);
	net_set_head(net, make_config(9, 12, "back"));
	ck_assert_int_ge(run_until_version(net, 9, SPREAD_MS), 0);
	ck_assert_uint_eq(c->previous_set(c->ctx, service, 0)->target_count, 13);
	ck_assert_uint_eq(c->previous_set(c->ctx, service, 1)->target_count, 11);
	net_run(net, 601000);
	ck_assert_ptr_null(c->previous_set(c->ctx, service, 0));
	net_free(net);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("config");
	TCase *tc = tcase_create("config");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, change_spreads_in_time);
	tcase_add_test(tc, relays_die);
	tcase_add_test(tc, platform_outage);
	tcase_add_test(tc, platform_restored_with_an_older_version);
	tcase_add_test(tc, new_instance_learns_from_peers);
	tcase_add_test(tc, arriving_parts_postpone_the_next_pull);
	tcase_add_test(tc, pull_without_answer_goes_to_another_peer);
	tcase_add_test(tc, starting_instances_pull_from_different_peers);
	tcase_add_test(tc, changes_travel_as_differences);
	tcase_add_test(tc, platform_calls_are_few);
	tcase_add_test(tc, list_of_a_new_era_replaces_a_higher_revision);
	tcase_add_test(tc, earlier_target_sets_are_kept);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
