/* Tests of decoding the store's responses, with invalid objects that other writers may store. */
#include "platform/era.h"
#include "platform/store.h"
#include "tests/revision.h"
#include "tests/suite.h"

#include <stdio.h>
#include <string.h>

static struct ht_store_reply reply;

static void start(void)
{
	reply = (struct ht_store_reply){0};
}

static void stop(void)
{
	ht_store_reply_clear(&reply);
}

static bool decode(enum ht_store_kind kind, const char *text)
{
	ht_store_reply_clear(&reply);
	reply = (struct ht_store_reply){.watch = reply.watch};
	return ht_store_decode(kind, text, strlen(text), &reply);
}

static const char target[] =
	"{\"items\":[{\"meta\":{\"name\":\"i-7f3a91c2\",\"rev\":12},\"spec\":{%s}}],"
	"\"hasMore\":true,\"at\":530}";

/* Decodes a valid target after replacing @from by @to in its spec. */
static const struct ht_store_target *target_with(const char *from, const char *to)
{
	static const char whole[] =
		"\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"paysandu\","
		"\"configVersion\":\"v1\",\"concurrency\":3,\"state\":\"ready\","
		"\"warmupLeftMs\":250,\"sequence\":4,\"born\":1700000000123";
	char spec[512], text[1024];
	const char *at = strstr(whole, from);

	ck_assert_ptr_nonnull(at);
	snprintf(spec, sizeof(spec), "%.*s%s%s", (int)(at - whole), whole, to, at + strlen(from));
	snprintf(text, sizeof(text), target, spec);
	ck_assert(decode(HT_STORE_TARGETS, text));
	ck_assert_uint_eq(reply.target_count, 1);
	return &reply.targets[0];
}

START_TEST(decodes_a_target)
{
	const struct ht_store_target *t = target_with("", "");

	ck_assert(t->usable);
	ck_assert_str_eq(t->entry.name, "i-7f3a91c2");
	ck_assert_uint_eq(t->entry.id, 0x7f3a91c2);
	ck_assert_uint_eq(t->entry.at.ip, 0x0a800009);
	ck_assert_uint_eq(t->entry.at.port, 8080);
	ck_assert_str_eq(t->entry.service, "huvo11a");
	ck_assert_str_eq(t->entry.dc, "paysandu");
	ck_assert_uint_eq(t->entry.slots, 3);
	ck_assert_int_eq(t->entry.warmup, 250);
	ck_assert_int_eq(t->entry.started, 1700000000123);
	ck_assert_uint_eq(t->entry.revision.number, 12);
	ck_assert(!t->entry.draining);
	ck_assert_uint_eq(reply.revision.number, 530);
	ck_assert(reply.more);
	ck_assert_str_eq(reply.last, "i-7f3a91c2");
	ck_assert(target_with("\"ready\"", "\"draining\"")->entry.draining);
}
END_TEST

/* Guards against an entry of another writer that sends requests to a server that has not registered
 * (docs/incidents/incomplete-entries.md): each field that the platform names must be there. */
START_TEST(malformed_entry_is_unusable)
{
	static const char *const changes[][2] = {
		{"\"service\":\"huvo11a\",", ""},
		{"\"huvo11a\"", "7"},
		{"10.128.0.9:8080", "10.128.0.9"},
		{"10.128.0.9:8080", "host:1"},
		{"\"concurrency\":3", "\"concurrency\":0"},
		{"\"concurrency\":3", "\"concurrency\":\"3\""},
		{"\"ready\"", "\"resting\""},
		{"\"ready\"", "null"},
		{"\"warmupLeftMs\":250", "\"warmupLeftMs\":-1"},
		{"\"sequence\":4", "\"sequence\":{}"},
		{"1700000000123", "\"x\""},
		{"1700000000123", "-1"},
		{",\"born\":1700000000123", ""},
		{"\"configVersion\":\"v1\",", ""},
		{"\"v1\"", "[\"v1\"]"},
		{"\"warmupLeftMs\":250,", ""},
		{"\"sequence\":4,", ""},
		{"1700000000123", "1.5"},
		{"\"zone\":\"paysandu\",", ""},
	};

	for (size_t i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
		const struct ht_store_target *t = target_with(changes[i][0], changes[i][1]);

		ck_assert_msg(!t->usable, "%s", changes[i][1]);
		ck_assert_ptr_nonnull(t->unusable_reason);
		ck_assert_str_eq(t->entry.name, "i-7f3a91c2");
	}
}
END_TEST

/* A name without a usable ID must not get one, as packets could then reach any target. */
START_TEST(name_without_numeric_id_is_unusable)
{
	ck_assert(decode(
		HT_STORE_TARGETS,
		"{\"items\":[{\"meta\":{\"name\":\"xyz\",\"rev\":1},\"spec\":{}},"
		"{\"meta\":{\"rev\":1}},{\"meta\":{\"name\":\"i-00112233445566778\",\"rev\":2},"
		"\"spec\":{}},7],\"at\":9}"));
	ck_assert_uint_eq(reply.target_count, 2);
	ck_assert(!reply.targets[0].usable && !reply.targets[1].usable);
	ck_assert_uint_eq(reply.malformed, 2);
}
END_TEST

START_TEST(listing_continues_after_unusable_name)
{
	char text[512], name[301];

	memset(name, 'f', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	snprintf(text, sizeof(text),
		 "{\"items\":[{\"meta\":{\"name\":\"%s\",\"rev\":1},\"spec\":{}}],"
		 "\"hasMore\":true,\"at\":9}",
		 name);
	ck_assert(decode(HT_STORE_TARGETS, text));
	ck_assert_uint_eq(reply.target_count, 1);
	ck_assert(!reply.targets[0].usable);
	ck_assert_str_eq(reply.last, name);
}
END_TEST

START_TEST(decodes_changes)
{
	reply.watch = true;
	ck_assert(decode(HT_STORE_TARGETS,
			 "{\"events\":[{\"deleted\":true,\"object\":{\"meta\":{\"name\":\"i-1\","
			 "\"rev\":77}}}],\"at\":80}"));
	ck_assert_uint_eq(reply.target_count, 1);
	ck_assert(reply.targets[0].deleted && !reply.targets[0].usable);
	ck_assert_uint_eq(reply.targets[0].entry.revision.number, 77);
}
END_TEST

START_TEST(decodes_routes)
{
	ck_assert(decode(
		HT_STORE_ROUTES,
		"{\"items\":[{\"meta\":{\"name\":\"other\",\"rev\":3},\"spec\":7},"
		"{\"meta\":{\"name\":\"main\",\"rev\":8},\"spec\":{\"configVersion\":7,\"routes\":["
		"{\"hostname\":\"198.18.0.1\",\"pathPrefix\":\"/8443/\",\"routeType\":\"safe\","
		"\"timeoutMs\":2000,\"aimMs\":200,\"priority\":2,\"service\":\"huvo11a\"},"
		"{\"hostname\":\"198.18.0.1\",\"pathPrefix\":\"/8080/\",\"routeType\":\"unsafe\","
		"\"timeoutMs\":2500,\"aimMs\":250,\"priority\":1,\"service\":\"huvo11a\"},"
		"{\"hostname\":\"198.18.0.1\",\"pathPrefix\":\"/80\",\"service\":\"huvo11a\"},"
		"{\"hostname\":\"x\",\"pathPrefix\":\"/80/\",\"service\":\"huvo11a\"},"
		"{\"hostname\":\"198.18.0.1\",\"pathPrefix\":\"/99999/\",\"service\":\"huvo11a\"}"
		"],\"limits\":{\"idleTimeoutMs\":15000}}}],\"at\":9}"));
	ck_assert(reply.has_routes);
	ck_assert_uint_eq(reply.routes.id.version, 7);
	ck_assert_uint_eq(reply.routes.id.revision.number, 8);
	ck_assert_uint_eq(reply.routes.count, 2);
	ck_assert_uint_eq(reply.unreadable_count, 3);
	ck_assert(reply.routes.incomplete);
	ck_assert_uint_eq(reply.routes.entries[0].at.ip, 0xc6120001);
	ck_assert_uint_eq(reply.routes.entries[0].at.port, 8443);
	ck_assert_uint_eq(reply.routes.entries[0].priority, 2);
	ck_assert_uint_eq(reply.routes.entries[1].priority, 1);
	ck_assert_str_eq(reply.routes.entries[1].service, "huvo11a");
	ck_assert(reply.routes.entries[0].idempotent);
	ck_assert(!reply.routes.entries[1].idempotent);
	ck_assert_uint_eq(reply.routes.entries[0].aim_ms, 200);
	ck_assert_uint_eq(reply.routes.entries[1].limit_ms, 2500);
}
END_TEST

/* Decodes a configuration of one route with @services as its services and @head as its address. */
static void decode_route(const char *head, const char *services)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "{\"items\":[{\"meta\":{\"name\":\"main\",\"rev\":8},\"spec\":{"
		 "\"configVersion\":7,\"routes\":[{\"name\":\"r-1\",%s,%s,\"routeType\":"
		 "\"safe\",\"priority\":2}]}}],\"at\":9}",
		 head, services);
	ck_assert(decode(HT_STORE_ROUTES, text));
}

static const char address[] = "\"hostname\":\"198.18.0.1\",\"pathPrefix\":\"/80/\"";

START_TEST(decodes_routes_with_shares)
{
	decode_route(address, "\"backends\":[{\"service\":\"a\",\"weight\":90},"
			      "{\"service\":\"b\",\"weight\":0.5},"
			      "{\"service\":\"c\",\"weight\":0}]");
	ck_assert_uint_eq(reply.unreadable_count, 0);
	ck_assert_uint_eq(reply.routes.entries[0].share_count, 3);
	ck_assert_str_eq(reply.routes.shares[1].service, "b");
	ck_assert_uint_eq(reply.routes.shares[0].weight, 180 * reply.routes.shares[1].weight);
	ck_assert_uint_eq(reply.routes.shares[2].weight, 0);
	decode_route(address, "\"service\":\"a\",\"backends\":[]");
	ck_assert_uint_eq(reply.routes.entries[0].share_count, 0);
	ck_assert_str_eq(reply.routes.entries[0].service, "a");
}
END_TEST

static void decode_service(const char *service)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "{\"items\":[{\"meta\":{\"name\":\"main\",\"rev\":8},\"spec\":{"
		 "\"configVersion\":7,\"routes\":[],\"services\":[%s]}}],\"at\":9}",
		 service);
	ck_assert(decode(HT_STORE_ROUTES, text));
}

START_TEST(decodes_limits_of_cold_targets)
{
	decode_service("{\"name\":\"a\",\"warmupS\":2.5,\"warmupPerS\":0.25},"
		       "{\"name\":\"b\",\"warmupS\":2,\"warmupPerS\":0.0},"
		       "{\"name\":\"c\"}");
	ck_assert_uint_eq(reply.routes.service_count, 1);
	ck_assert_str_eq(reply.routes.services[0].name, "a");
	ck_assert_uint_eq(reply.routes.services[0].warmup_rate, 250);
	ck_assert_int_eq(reply.routes.services[0].warmup, 2500);
	ck_assert(!reply.routes.services_unknown);
}
END_TEST

/* Guards against a route or service that is lost because a term of it has another form. */
START_TEST(terms_that_cannot_be_read_are_not_stated)
{
	decode_route(address, "\"service\":\"a\",\"aimMs\":\"200\",\"timeoutMs\":-1");
	ck_assert_uint_eq(reply.routes.count, 1);
	ck_assert_uint_eq(reply.routes.entries[0].aim_ms, 0);
	ck_assert_uint_eq(reply.routes.entries[0].limit_ms, 0);
	decode_service("{\"name\":\"a\",\"maxConns\":2000},"
		       "{\"name\":\"b\",\"maxConns\":\"many\"},"
		       "{\"name\":\"c\",\"maxConns\":null,\"warmupPerS\":2,\"warmupS\":1}");
	ck_assert_uint_eq(reply.routes.service_count, 2);
	ck_assert_uint_eq(reply.routes.services[0].flows_max, 2000);
	ck_assert_str_eq(reply.routes.services[1].name, "c");
	ck_assert_uint_eq(reply.routes.services[1].flows_max, 0);
}
END_TEST

START_TEST(limit_that_cannot_be_read_is_not_absent)
{
	static const char *const services[] = {
		"{\"name\":\"a\",\"warmupS\":2,\"warmupPerS\":\"5\"}",
		"{\"name\":\"a\",\"warmupS\":2,\"warmupPerS\":-1}",
		"{\"name\":\"a\",\"warmupS\":[],\"warmupPerS\":5}",
		"{\"name\":\"a\",\"warmupPerS\":5}",
	};

	for (size_t i = 0; i < sizeof(services) / sizeof(services[0]); i++) {
		decode_service(services[i]);
		ck_assert_uint_eq(reply.routes.service_count, 1);
		ck_assert(reply.routes.services[0].unreadable);
	}
	decode_route(address, "\"service\":\"a\"");
	ck_assert(reply.routes.services_unknown);
}
END_TEST

/* One field mangled at a time: the route is never taken for absent. */
START_TEST(mangled_route_is_unreadable_and_not_absent)
{
	static const char *const services[] = {
		"\"service\":7",
		"\"service\":\"\"",
		"\"other\":1",
		"\"backends\":[]",
		"\"backends\":{}",
		"\"backends\":[7]",
		"\"backends\":[{\"weight\":1}]",
		"\"backends\":[{\"service\":\"a\"}]",
		"\"backends\":[{\"service\":\"a\",\"weight\":-1}]",
		"\"backends\":[{\"service\":\"a\",\"weight\":\"1\"}]",
		"\"backends\":[{\"service\":\"a\",\"weight\":1},{\"service\":[],\"weight\":1}]",
	};
	static const char *const heads[] = {
		"\"pathPrefix\":\"/80/\"",
		"\"hostname\":1,\"pathPrefix\":\"/80/\"",
		"\"hostname\":\"198.18.0.1\"",
		"\"hostname\":\"198.18.0.1\",\"pathPrefix\":\"/x/\"",
	};

	for (size_t i = 0; i < sizeof(services) / sizeof(services[0]); i++) {
		decode_route(address, services[i]);
		ck_assert_msg(reply.routes.count == 1 && reply.routes.entries[0].unreadable, "%s",
			      services[i]);
		ck_assert_uint_eq(reply.routes.entries[0].at.port, 80);
		ck_assert_uint_eq(reply.unreadable_count, 1);
		ck_assert_str_eq(reply.unreadable[0].name, "r-1");
		ck_assert_ptr_nonnull(reply.unreadable[0].reason);
	}
	for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		decode_route(heads[i], "\"service\":\"a\"");
		ck_assert_msg(!reply.routes.count && reply.routes.incomplete, "%s", heads[i]);
		ck_assert_uint_eq(reply.unreadable_count, 1);
	}
}
END_TEST

/* What the parser refuses, at the end of a nested value. */
static const char *const refused[] = {
	"\"a\\u0000b\"",
	"18446744073709551615",
	"-9223372036854775809",
	"1e999",
	"\"\\ud800\"",
	"\"\\udc00x\"",
	"\"\xff\xfe\"",
	"\"\x01\"",
	"\"\\x\"",
	"{\"k\\u0000\":[1,{}]}",
	"NaN",
	"01",
};

static void check_sound_neighbours(const char *bad)
{
	char text[8192];

	snprintf(text, sizeof(text),
		 "{\"items\":[{\"meta\":{\"name\":\"i-1\",\"rev\":1},\"spec\":{\"service\":\"a\","
		 "\"zone\":\"z\",\"address\":\"10.0.0.1:80\",\"concurrency\":3,\"state\":\"ready\","
		 "\"configVersion\":\"v1\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":5}},"
		 "{\"meta\":{\"name\":\"i-2\",\"rev\":2},\"spec\":{\"service\":[{\"x\":%s}]}},"
		 "{\"meta\":{\"name\":\"i-3\",\"rev\":3},\"spec\":{\"service\":\"c\","
		 "\"zone\":\"z\",\"address\":\"10.0.0.3:80\",\"concurrency\":3,\"state\":\"ready\","
		 "\"configVersion\":\"v1\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":5}}],\"at\":"
		 "9}",
		 bad);
	ck_assert_msg(decode(HT_STORE_TARGETS, text), "%s", bad);
	ck_assert_uint_eq(reply.target_count, 3);
	ck_assert(reply.targets[0].usable && reply.targets[2].usable);
	ck_assert(!reply.targets[1].usable);
	ck_assert_str_eq(reply.targets[1].entry.name, "i-2");
	ck_assert_str_eq(reply.targets[2].entry.service, "c");
	ck_assert_str_eq(reply.repaired_object, "i-2");
}

/* Guards against one entry of another writer that costs the whole listing, so that no instance has
 * a view (docs/incidents/unreadable-entries.md). */
START_TEST(unreadable_value_costs_its_entry_only)
{
	char deep[6002];

	for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++)
		check_sound_neighbours(refused[i]);
	memset(deep, '[', 3000);
	memset(deep + 3000, ']', 3000);
	deep[6000] = '\0';
	check_sound_neighbours(deep);
}
END_TEST

START_TEST(unreadable_value_in_a_watch_costs_its_event_only)
{
	reply.watch = true;
	ck_assert(decode(HT_STORE_TARGETS,
			 "{\"events\":[{\"deleted\":false,\"object\":{\"meta\":{\"name\":"
			 "\"i-1\",\"rev\":1},\"spec\":{\"zone\":\"\\u0000\"}}},"
			 "{\"deleted\":true,\"object\":{\"meta\":{\"name\":\"i-2\",\"rev\":2},"
			 "\"spec\":7}}],\"at\":9}"));
	ck_assert_uint_eq(reply.target_count, 2);
	ck_assert(!reply.targets[0].usable && !reply.targets[0].deleted);
	ck_assert(reply.targets[1].deleted);
	ck_assert_str_eq(reply.repaired_object, "i-1");
	ck_assert_str_eq(reply.repair.field, "zone");
	ck_assert_uint_eq(reply.repair.count, 1);
}
END_TEST

/* A value that is not read changes nothing, and one that is costs its route only. */
START_TEST(unreadable_value_in_the_configuration)
{
	for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++) {
		char text[1024];

		snprintf(text, sizeof(text),
			 "{\"items\":[{\"meta\":{\"name\":\"main\",\"rev\":4},\"spec\":{"
			 "\"configVersion\":7,\"limits\":{\"maxBodyBytes\":%s},\"services\":[],"
			 "\"routes\":[{\"name\":\"r-1\",\"hostname\":\"198.18.0.1\","
			 "\"pathPrefix\":\"/80/\",\"service\":%s},{\"name\":\"r-2\","
			 "\"hostname\":\"198.18.0.1\",\"pathPrefix\":\"/81/\","
			 "\"service\":\"b\"}]}}],\"at\":9}",
			 refused[i], refused[i]);
		ck_assert_msg(decode(HT_STORE_ROUTES, text), "%s", refused[i]);
		ck_assert_uint_eq(reply.routes.count, 2);
		ck_assert(reply.routes.entries[0].unreadable);
		ck_assert_str_eq(reply.routes.entries[1].service, "b");
		ck_assert_str_eq(reply.repair.field, "maxBodyBytes");
		ck_assert_str_eq(reply.repaired_object, "main");
	}
}
END_TEST

START_TEST(broken_answers_are_failures)
{
	static const char *const texts[] = {
		"",
		"<html>\"no\"</html>",
		"{\"items\":[],\"at\":9",
		"{\"items\":[\"\\u0000",
		"{\"items\":[{}]]",
		"{\"items\":[]} {}",
	};

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		ck_assert_msg(!decode(HT_STORE_TARGETS, texts[i]), "%s", texts[i]);
}
END_TEST

#define LONG "cooperativa-plumeros-del-litoral.almacen.existencias-y-envios.version-2"

/* Guards against a route that keeps its former service, and targets that are left out, because a
 * name has 64 bytes or more (docs/incidents/long-names.md). */
START_TEST(names_of_any_length_are_read)
{
	const struct ht_store_target *t = target_with("huvo11a", LONG);

	ck_assert(t->usable);
	ck_assert_str_eq(t->entry.service, LONG);
	t = target_with("paysandu", LONG);
	ck_assert(t->usable);
	ck_assert_str_eq(t->entry.dc, LONG);
	decode_route(address, "\"service\":\"" LONG "\"");
	ck_assert(!reply.routes.entries[0].unreadable);
	ck_assert_str_eq(reply.routes.entries[0].service, LONG);
	decode_route(address, "\"backends\":[{\"service\":\"" LONG "\",\"weight\":1},"
			      "{\"service\":\"a\",\"weight\":2}]");
	ck_assert(!reply.routes.entries[0].unreadable);
	ck_assert_str_eq(reply.routes.shares[0].service, LONG);
	ck_assert(decode(HT_STORE_EVACUATIONS, "{\"items\":[{\"meta\":{\"name\":\"" LONG
					       "\",\"rev\":5},\"spec\":{}}],\"at\":9}"));
	ck_assert_uint_eq(reply.evacuation_count, 1);
	ck_assert_str_eq(reply.evacuations[0].dc, LONG);
}
END_TEST

START_TEST(decodes_evacuations)
{
	ck_assert(decode(HT_STORE_EVACUATIONS,
			 "{\"items\":[{\"meta\":{\"name\":\"salto\",\"rev\":5},\"spec\":{}},"
			 "{\"meta\":{\"name\":\"x\"}},{\"meta\":{\"name\":\"paysandu\",\"rev\":6},"
			 "\"spec\":7}],\"at\":9}"));
	ck_assert_uint_eq(reply.evacuation_count, 2);
	ck_assert_uint_eq(reply.malformed, 1);
	ck_assert_str_eq(reply.evacuations[1].dc, "paysandu");
	ck_assert_uint_eq(reply.evacuations[0].revision.number, 5);
	reply.watch = true;
	ck_assert(decode(HT_STORE_EVACUATIONS,
			 "{\"events\":[{\"deleted\":true,\"object\":{\"meta\":{\"name\":\"salto\","
			 "\"rev\":8}}}],\"at\":9}"));
	ck_assert(reply.evacuations[0].deleted);
}
END_TEST

/* A malformed route of another writer must not precede all others. */
START_TEST(route_without_valid_priority_comes_last)
{
	ck_assert(decode(
		HT_STORE_ROUTES,
		"{\"items\":[{\"meta\":{\"name\":\"main\",\"rev\":8},\"spec\":{\"configVersion\":"
		"7,\"routes\":[{\"hostname\":\"198.18.0.1\",\"pathPrefix\":\"/80/\",\"service\":"
		"\"a\",\"priority\":\"high\"}]}}],\"at\":9}"));
	ck_assert_uint_eq(reply.routes.count, 1);
	ck_assert_uint_eq(reply.routes.entries[0].priority, INT32_MAX);
}
END_TEST

START_TEST(rejects_malformed_responses)
{
	static const char *const texts[] = {"",
					    "[]",
					    "{}",
					    "{\"items\":7,\"at\":1}",
					    "{\"items\":[]}",
					    "{\"items\":[],\"at\":-1}",
					    "\xff\xfe"};

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		ck_assert(!decode(HT_STORE_TARGETS, texts[i]));
		ck_assert_int_ne(reply.err.code, HT_OK);
	}
	ck_assert(!decode(HT_STORE_ROUTES, "{\"items\":[{\"meta\":{\"name\":\"main\",\"rev\":8},"
					   "\"spec\":[]}],\"at\":9}"));
}
END_TEST

START_TEST(parses_era_header)
{
	static const char *const bad[] = {
		"", "x", "-1", "1x", "1 2", "99999999999999999999", "9223372036854775808"};
	static const char empty[] = "{\"items\":[],\"at\":9}";
	uint64_t era;

	ck_assert(ht_platform_parse_era("7", &era));
	ck_assert_uint_eq(era, 7);
	ck_assert(ht_platform_parse_era("8 ", &reply.revision.era));
	ck_assert(ht_store_decode(HT_STORE_TARGETS, empty, strlen(empty), &reply));
	ck_assert(ht_revision_equal(reply.revision, rev_of(8, 9)));
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_msg(!ht_platform_parse_era(bad[i], &era), "%s", bad[i]);
	/* A store that sends no era header has the single era 0. */
	ck_assert(ht_platform_parse_era(NULL, &era));
	ck_assert_uint_eq(era, 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("store");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, decodes_a_target);
	tcase_add_test(tc, malformed_entry_is_unusable);
	tcase_add_test(tc, name_without_numeric_id_is_unusable);
	tcase_add_test(tc, listing_continues_after_unusable_name);
	tcase_add_test(tc, decodes_changes);
	tcase_add_test(tc, decodes_routes);
	tcase_add_test(tc, decodes_routes_with_shares);
	tcase_add_test(tc, decodes_limits_of_cold_targets);
	tcase_add_test(tc, terms_that_cannot_be_read_are_not_stated);
	tcase_add_test(tc, limit_that_cannot_be_read_is_not_absent);
	tcase_add_test(tc, mangled_route_is_unreadable_and_not_absent);
	tcase_add_test(tc, unreadable_value_costs_its_entry_only);
	tcase_add_test(tc, unreadable_value_in_a_watch_costs_its_event_only);
	tcase_add_test(tc, unreadable_value_in_the_configuration);
	tcase_add_test(tc, broken_answers_are_failures);
	tcase_add_test(tc, names_of_any_length_are_read);
	tcase_add_test(tc, decodes_evacuations);
	tcase_add_test(tc, route_without_valid_priority_comes_last);
	tcase_add_test(tc, rejects_malformed_responses);
	tcase_add_test(tc, parses_era_header);
	return run_case("store", tc);
}
