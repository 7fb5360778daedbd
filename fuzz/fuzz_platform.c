/* What the platform sends: the first byte chooses packets, listings, changes, eras, settings or an
 * entry among sound ones. */
#include "entry/settings.h"
#include "platform/era.h"
#include "platform/packet.h"
#include "platform/store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void packet(const uint8_t *data, size_t len)
{
	uint8_t out[HT_PACKET_HEADER_LEN];
	struct ht_packet pkt;

	if (!ht_packet_decode(&pkt, data, len))
		return;
	if (pkt.length != len - HT_PACKET_HEADER_LEN)
		__builtin_trap();
	ht_packet_reset(out, &pkt);
}

/* A route that cannot be read must leave a trace, so that it is not taken for absent. */
static void check_unreadable(const struct ht_store_reply *reply)
{
	size_t named = 0;

	for (size_t i = 0; i < reply->routes.count; i++)
		named += reply->routes.entries[i].unreadable;
	if (reply->unreadable_count > named && !reply->routes.incomplete)
		__builtin_trap();
}

static void answer(enum ht_store_kind kind, bool watch, const char *text, size_t len)
{
	struct ht_store_reply reply = {.watch = watch};
	struct ht_catalog *cat = ht_catalog_new("here");

	if (ht_store_decode(kind, text, len, &reply)) {
		for (size_t i = 0; i < reply.target_count; i++)
			if (reply.targets[i].usable)
				ht_catalog_put_target(cat, &reply.targets[i].entry,
						      HT_CATALOG_STORE, 0);
		for (size_t i = 0; i < reply.evacuation_count; i++)
			ht_catalog_put_evacuation(cat, reply.evacuations[i].dc,
						  !reply.evacuations[i].deleted,
						  reply.evacuations[i].revision, 0);
		check_unreadable(&reply);
		if (reply.has_routes)
			ht_catalog_set_routes(cat, &reply.routes);
	}
	ht_store_reply_clear(&reply);
	ht_catalog_free(cat);
}

/* Any text of the header field is one number, or none. */
static void era(const char *text, size_t len)
{
	char *field = strndup(text, len);
	uint64_t number = 1;
	bool ok;

	if (!field)
		return;
	ok = ht_platform_parse_era(field, &number);
	if (number > INT64_MAX || (!ok && number))
		__builtin_trap();
	free(field);
}

#define SOUND_ENTRY                                                                                \
	"{\"meta\":{\"name\":\"i-%d\",\"rev\":%d},\"spec\":{\"service\":\"a\",\"zone\":\"z\","     \
	"\"address\":\"10.0.0.1:80\",\"configVersion\":\"v\",\"concurrency\":3,\"state\":"         \
	"\"ready\","                                                                               \
	"\"warmupLeftMs\":0,\"sequence\":1,\"born\":5}}"

/* A text with any bytes in one entry: those around it must be read. */
static void odd_entry(const uint8_t *data, size_t len)
{
	struct ht_store_reply reply = {0};
	char *text = NULL;
	size_t size;
	FILE *out = open_memstream(&text, &size);

	if (!out)
		return;
	fprintf(out,
		"{\"items\":[" SOUND_ENTRY
		",{\"meta\":{\"name\":\"i-2\",\"rev\":2},\"spec\":{\"x\":\"",
		1, 1);
	for (size_t i = 0; i < len; i++) {
		if (data[i] == '\\' && i + 1 < len)
			fputc(data[i++], out);
		if (data[i] != '"' && data[i] != '\\')
			fputc(data[i], out);
		else
			fputc('n', out);
	}
	fprintf(out, "\"}}," SOUND_ENTRY "],\"at\":9}", 3, 3);
	fclose(out);
	if (!ht_store_decode(HT_STORE_TARGETS, text, size, &reply) || reply.target_count != 3 ||
	    !reply.targets[0].usable || reply.targets[1].usable || !reply.targets[2].usable)
		__builtin_trap();
	ht_store_reply_clear(&reply);
	free(text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct ht_entry_settings set;
	struct ht_err err;

	if (!size)
		return 0;
	switch (data[0] % 9) {
	case 0:
		packet(data + 1, size - 1);
		break;
	case 1:
		answer(HT_STORE_TARGETS, false, (const char *)data + 1, size - 1);
		break;
	case 2:
		answer(HT_STORE_TARGETS, true, (const char *)data + 1, size - 1);
		break;
	case 3:
		answer(HT_STORE_ROUTES, false, (const char *)data + 1, size - 1);
		break;
	case 4:
		era((const char *)data + 1, size - 1);
		break;
	case 6:
		answer(HT_STORE_EVACUATIONS, false, (const char *)data + 1, size - 1);
		break;
	case 8:
		odd_entry(data + 1, size - 1);
		break;
	case 7:
		answer(HT_STORE_EVACUATIONS, true, (const char *)data + 1, size - 1);
		break;
	default:
		if (ht_entry_settings_parse(&set, "fuzz", (const char *)data + 1, size - 1, &err))
			ht_entry_settings_clear(&set);
	}
	return 0;
}
