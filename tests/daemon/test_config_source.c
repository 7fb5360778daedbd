/* Tests of the platform as the daemon reads it, when its store comes back from an older copy. */
#include "daemon/config_source.h"
#include "rules/rules.h"
#include "tests/platform/fake_platform.h"
#include "tests/suite.h"

#define RULES "service stock region r address 127.0.0.10:5683  # Rosa: stock\n"
#define HEAD "config/head"

static struct fake fake;
static struct ev_loop *loop;
static struct ht_config_source *src;
static struct ht_counters counters;
static struct ht_log logger;
static uint64_t version; /* of the last configuration delivered */
static struct ht_revision listed;
static int configs, lists, failures;

static void on_config(void *ctx, struct ht_config *cfg)
{
	(void)ctx;
	if (cfg)
		version = cfg->version;
	configs += cfg != NULL;
	failures += !cfg;
}

static void on_live(void *ctx, struct ht_revision revision, const struct ht_instance_info *list,
		    int count)
{
	(void)ctx;
	(void)list;
	if (count >= 0)
		listed = revision;
	lists += count >= 0;
	failures += count < 0;
}

static const struct ht_config_source_ops ops = {.config = on_config, .live = on_live};

/* Puts a head of @rules_version as version @object of its object. */
static void put_head(uint64_t rules_version, long object)
{
	struct ht_rules_head head = {.version = rules_version, .change_id = "c"};
	struct ht_err err;
	char name[80], *text, *part;

	ck_assert(ht_rules_parts_split(RULES, &head.parts, &err));
	text = ht_rules_head_format(&head);
	part = ht_rules_part_format(&head.parts.items[0]);
	snprintf(name, sizeof(name), "config/parts/%s", head.parts.items[0].hash);
	pthread_mutex_lock(&fake.lock);
	fake_put(&fake, name, json_loads(part, JSON_DECODE_ANY, NULL), 1);
	fake_put(&fake, HEAD, json_loads(text, JSON_DECODE_ANY, NULL), object);
	pthread_mutex_unlock(&fake.lock);
	free(part);
	free(text);
	ht_rules_head_clear(&head);
}

static void begin_era(int era, long revision)
{
	pthread_mutex_lock(&fake.lock);
	fake.era = era;
	fake.revision = revision;
	pthread_mutex_unlock(&fake.lock);
}

static void run_until(const int *count, int value)
{
	for (int i = 0; i < 2000 && *count < value; i++) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(1000);
	}
	ck_assert_int_ge(*count, value);
}

static void call(enum ht_platform_call kind, struct ht_revision known)
{
	ht_config_source_call(src, kind, known, NULL);
}

static void start(void)
{
	struct ht_err err;

	fake_start(&fake);
	loop = ev_loop_new(EVFLAG_AUTO);
	logger = (struct ht_log){.ring = ht_event_ring_new(16), .process = "test", .max = HT_ERROR};
	configs = lists = failures = 0;
	src = ht_config_source_new(&(struct ht_config_source_params){.loop = loop,
								     .ops = &ops,
								     .log = &logger,
								     .counters = &counters,
								     .platform = fake.addr,
								     .dc = "d"},
				   &err);
	ck_assert_ptr_nonnull(src);
	begin_era(1, 50);
	put_head(1000, 3);
	call(HT_PLATFORM_READ_HEAD, (struct ht_revision){0});
	call(HT_PLATFORM_READ_LIVE, (struct ht_revision){0});
	run_until(&configs, 1);
	run_until(&lists, 1);
}

static void stop(void)
{
	ht_config_source_free(src);
	ht_event_ring_free(logger.ring);
	ev_loop_destroy(loop);
	fake_stop(&fake);
}

/* Guards against a watch that waits for another number, while a new head bears the same one. */
START_TEST(head_of_a_new_era_is_read_though_its_number_is_the_same)
{
	call(HT_PLATFORM_WATCH_HEAD, (struct ht_revision){.number = 1000});
	begin_era(2, 7);
	put_head(2000, 3);
	call(HT_PLATFORM_READ_LIVE, (struct ht_revision){0});
	run_until(&configs, 2);
	ck_assert_uint_eq(version, 2000);
	run_until(&lists, 2);
	ck_assert_uint_eq(listed.era, 2);
	ck_assert_uint_eq(listed.number, 7);
}
END_TEST

START_TEST(answers_from_before_the_return_are_failures)
{
	begin_era(2, 7);
	call(HT_PLATFORM_READ_LIVE, listed);
	run_until(&lists, 2);
	begin_era(1, 51);
	call(HT_PLATFORM_READ_LIVE, (struct ht_revision){0});
	run_until(&failures, 1);
	ck_assert_int_eq(lists, 2);
	call(HT_PLATFORM_READ_HEAD, (struct ht_revision){0});
	run_until(&failures, 2);
	ck_assert_int_eq(configs, 1);
}
END_TEST

/* The core may have heard of the era from another instance: then an older list is late. */
START_TEST(era_that_the_core_knows_counts)
{
	call(HT_PLATFORM_READ_LIVE, (struct ht_revision){.era = 2, .number = 4});
	run_until(&failures, 1);
	begin_era(2, 5);
	call(HT_PLATFORM_READ_LIVE, (struct ht_revision){.era = 2, .number = 4});
	run_until(&lists, 2);
	ck_assert_uint_eq(listed.number, 5);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("config_source");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, head_of_a_new_era_is_read_though_its_number_is_the_same);
	tcase_add_test(tc, answers_from_before_the_return_are_failures);
	tcase_add_test(tc, era_that_the_core_knows_counts);
	return run_case("config_source", tc);
}
