/*
 * Fuzz target of the rules text. Input: two texts divided by a NUL byte. Checks that any text is
 * taken or refused without a fault, that parts of a good text keep its meaning, and that the
 * difference of the two texts restores the second from the first, and that parsing the change gives
 * what parsing the second text gives.
 */
#include "base/hash.h"
#include "rules/rules.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void require(bool ok)
{
	if (!ok)
		abort();
}

/* The hash over all target sets, independent of the order of lines. */
static uint64_t meaning(const struct ht_config *cfg)
{
	uint64_t h = cfg->target_count;

	for (size_t i = 0; i < cfg->service_count; i++)
		h = ht_hash_pair(h, cfg->services[i].target_set);
	return h;
}

static void check_parts(const struct ht_config *cfg)
{
	struct ht_rules_parts parts, again;
	struct ht_config *joined;
	char *text, *second;

	require(ht_rules_parts_split(cfg->text, &parts, NULL));
	text = ht_rules_parts_join(&parts);
	require(strlen(text) == strlen(cfg->text));
	joined = ht_rules_parse(text, strlen(text), NULL);
	require(joined && meaning(joined) == meaning(cfg));
	/* A text made of parts is in the kept form: splitting it changes nothing. */
	require(ht_rules_parts_split(text, &again, NULL));
	second = ht_rules_parts_join(&again);
	require(strcmp(text, second) == 0);
	ht_config_put(joined);
	ht_rules_parts_clear(&parts);
	ht_rules_parts_clear(&again);
	free(text);
	free(second);
}

static void check_change(const struct ht_config *from, const struct ht_config *to)
{
	struct ht_rules_retired_list none = {0}, gone;
	struct ht_rules_errors errors = {0};

	ht_rules_check_change(from, to->text, &none, 0, &errors);
	ht_rules_errors_clear(&errors);
	require(ht_rules_retire(from, to, &none, 0, &gone));
	free(gone.items);
	require(ht_rules_check_change(to, to->text, &none, 0, &errors));
}

/* Parsing the change gives what parsing the whole text gave. */
static void check_reparse(const struct ht_config *from, const char *to,
			  const struct ht_config *whole)
{
	struct ht_config *part = ht_rules_reparse(from, to, strlen(to), NULL);

	require((part != NULL) == (whole != NULL));
	if (part)
		require(meaning(part) == meaning(whole) && strcmp(part->text, whole->text) == 0);
	ht_config_put(part);
}

static void check_diff(const char *from, const char *to)
{
	struct ht_rules_diff diff;
	size_t len = strlen(to);
	char *text;

	require(ht_rules_diff(from, to, &diff));
	text = ht_rules_patch(from, &diff, NULL);
	require(text && strncmp(text, to, len) == 0 && strlen(text) <= len + 1);
	free(text);
	/* Applied to another text it is refused or gives the same. */
	text = ht_rules_patch(to, &diff, NULL);
	require(!text || strncmp(text, to, len) == 0);
	free(text);
	ht_rules_diff_clear(&diff);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *from = malloc(size + 1), *to;
	struct ht_rules_errors errors[2];
	struct ht_config *cfg[2];
	size_t first;

	memcpy(from, data, size);
	from[size] = 0;
	first = strlen(from);
	to = first < size ? from + first + 1 : from + size;
	cfg[0] = ht_rules_parse(from, first, &errors[0]);
	cfg[1] = ht_rules_parse(to, size - (size_t)(to - from), &errors[1]);
	for (int i = 0; i < 2; i++) {
		require((cfg[i] != NULL) == (errors[i].total == 0));
		if (cfg[i])
			check_parts(cfg[i]);
	}
	if (cfg[0] && cfg[1])
		check_change(cfg[0], cfg[1]);
	/* A NUL within the second text ends it for the functions that take strings. */
	if (cfg[0] && to + strlen(to) == from + size)
		check_reparse(cfg[0], to, cfg[1]);
	check_diff(from, to);
	for (int i = 0; i < 2; i++) {
		ht_config_put(cfg[i]);
		ht_rules_errors_clear(&errors[i]);
	}
	free(from);
	return 0;
}
