/*
 * Random failures with fixed seeds. At each millisecond the slot bound holds and no configuration
 * version decreases; after the failures all targets must be served again.
 */
#include "tests/control/net.h"

#define NODES_MAX 6
/* Sanitizers slow the test down several times, so it needs fewer steps to stay within its timeout.
 */
#ifdef __SANITIZE_ADDRESS__
#define STEPS 40
#else
#define STEPS 150
#endif

static int pick(struct net *net, int n)
{
	return (int)(net_random(net) % (uint64_t)n);
}

static void change_config(struct net *net)
{
	uint64_t version = ++net->top_version;

	/* One change in four is a restored older version. Rules depend only on the version. */
	if (pick(net, 4) == 0 && version > 4)
		version -= 3;
	net_set_head(net, make_config(version, 3 + (int)(ht_hash(&version, 8) % 3), "random"));
}

static void cut_some(struct net *net, bool cut)
{
	int a = pick(net, net->count), b = pick(net, net->count);

	if (a == b)
		return;
	if (pick(net, 2))
		net_cut_both(net, a, b, cut);
	else
		net_cut(net, a, b, cut);
}

static void kill_or_start(struct net *net, int i)
{
	if (net->nodes[i].core)
		net_kill(net, i, pick(net, 2));
	else
		net_start(net, i);
}

static void end_stopped(struct net *net)
{
	for (int i = 0; i < net->count; i++)
		if (net->nodes[i].core && net->nodes[i].stopped)
			net_kill(net, i, true);
}

static void step(struct net *net)
{
	int i = pick(net, net->count);
	struct node *n = &net->nodes[i];
	int action = pick(net, 10);

	end_stopped(net);
	if (net->trace)
		fprintf(stderr, "--- %lld: action %d on %s\n", (long long)net->now, action,
			n->name);
	switch (action) {
	case 0:
	case 1:
		cut_some(net, true);
		break;
	case 2:
	case 3:
		cut_some(net, false);
		break;
	case 4:
		kill_or_start(net, i);
		break;
	case 5:
		if (!n->core)
			net_start(net, i);
		break;
	case 6:
	case 7:
		if (n->core)
			net_freeze(net, i, !n->frozen);
		break;
	case 8:
		change_config(net);
		break;
	default:
		if (n->core && !n->frozen)
			ht_core_stop(n->core);
		break;
	}
	net_run(net, 1 + pick(net, pick(net, 4) ? 300 : 4000));
}

static void heal(struct net *net)
{
	for (int i = 0; i < net->count; i++) {
		for (int k = 0; k < net->count; k++)
			if (net->cut[i][k])
				net_cut(net, i, k, false);
		if (net->nodes[i].core && net->nodes[i].frozen)
			net_freeze(net, i, false);
	}
	net_run(net, 20000);
	end_stopped(net);
	for (int i = 0; i < net->count; i++)
		if (!net->nodes[i].core)
			net_start(net, i);
	net_run(net, 12000);
}

/* Checks that all nodes use one version and that each target has one owner with all slots. */
static void check_service(struct net *net)
{
	const struct ht_config *cfg = ht_core_config(net->nodes[0].core);

	for (int i = 0; i < net->count; i++) {
		ck_assert_uint_eq(net->nodes[i].last_version, cfg->version);
		ck_assert_str_eq(ht_core_config(net->nodes[i].core)->text, cfg->text);
	}
	ck_assert_int_eq(net_served(net), (int)cfg->target_count);
}

static void run(uint64_t seed, int steps)
{
	struct net *net = net_dc(seed, 2 + (int)(seed % (NODES_MAX - 1)));

	net->drop = seed % 2;
	for (int i = 0; i < steps; i++) {
		step(net);
		if (i % 50 == 49 || i == steps - 1) {
			heal(net);
			check_service(net);
		}
	}
	net_free(net);
}

/* Some of these once exceeded the slot bound or left a target unowned; the others are arbitrary. */
static const int seeds[] = {5, 15, 23, 29, 128, 148, 190, 239, 0, 1, 2, 3, 4, 6, 7, 8};

START_TEST(random_failures)
{
	run((uint64_t)seeds[_i] + 100, STEPS);
}
END_TEST

static int chosen;

START_TEST(chosen_seed)
{
	run((uint64_t)chosen + 100, STEPS);
}
END_TEST

/* With a seed as argument, runs only that seed, without forking. */
int main(int argc, char **argv)
{
	Suite *s = suite_create("random");
	TCase *tc = tcase_create("random");
	SRunner *sr = srunner_create(s);
	int failed;

	chosen = argc > 1 ? atoi(argv[1]) : 0;
	if (argc > 1)
		srunner_set_fork_status(sr, CK_NOFORK);
	tcase_set_timeout(tc, 100);
	if (argc > 1)
		tcase_add_test(tc, chosen_seed);
	else
		tcase_add_loop_test(tc, random_failures, 0, sizeof(seeds) / sizeof(seeds[0]));
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
