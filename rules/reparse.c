/* Parsing of a text that differs from one already parsed in the rules of a few services. */
#include "rules/internal.h"

#include "base/hash.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* With more services than this in one change the whole text is parsed. */
#define SERVICES_MAX 64

struct reparse {
	const struct ht_config *old;
	json_t *touched; /* names of services with a changed rule */
	FILE *subset;	 /* their lines */
	bool ok;
};

/* Copies the word behind the first one, the service's name; false for lines without a rule. */
static bool service_word(const char *line, size_t len, char out[HT_NAME_MAX])
{
	size_t i = 0, start;

	while (i < len && (line[i] == ' ' || line[i] == '\t'))
		i++;
	while (i < len && line[i] != ' ' && line[i] != '\t' && line[i] != '#')
		i++;
	while (i < len && (line[i] == ' ' || line[i] == '\t'))
		i++;
	start = i;
	while (i < len && line[i] != ' ' && line[i] != '\t' && line[i] != '#')
		i++;
	if (i == start || i - start >= HT_NAME_MAX)
		return false;
	memcpy(out, line + start, i - start);
	out[i - start] = 0;
	return true;
}

/* False when a changed line is not readable as a rule of one service. */
static bool note_touched(struct reparse *r, char *const *entries, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct ht_rules_errors errors = {0};
		const char *text = ht_rules_diff_line(entries[i]);
		struct ht_rules_line line;
		char name[HT_NAME_MAX];
		bool ok = ht_rules_split(text, strlen(text), 1, &line, &errors);

		if (ok && line.count > 0)
			ok = line.count > 1 && ht_rules_name(&line, 1, "service", name, &errors) &&
			     json_object_set_new(r->touched, name, json_true()) == 0;
		ht_rules_errors_clear(&errors);
		if (!ok)
			return false;
	}
	return json_object_size(r->touched) <= SERVICES_MAX;
}

static void copy_touched(void *ctx, const char *text, size_t len, unsigned int number)
{
	struct reparse *r = ctx;
	char name[HT_NAME_MAX];

	(void)number;
	if (!service_word(text, len, name) || !json_object_get(r->touched, name))
		return;
	fwrite(text, 1, len, r->subset);
	fputc('\n', r->subset);
}

static struct ht_config *empty_config(void)
{
	struct ht_config *cfg = ht_config_new(0, "", NULL);

	if (cfg && ht_config_seal(cfg, NULL))
		return cfg;
	ht_config_put(cfg);
	return NULL;
}

/* Parses the lines of the touched services alone; NULL when they do not stand by themselves. */
static struct ht_config *parse_subset(struct reparse *r, const char *text, size_t len)
{
	struct ht_config *cfg;
	char *subset = NULL;
	size_t size = 0;

	if (json_object_size(r->touched) == 0)
		return empty_config();
	r->subset = open_memstream(&subset, &size);
	if (!r->subset)
		return NULL;
	ht_rules_each_line(text, len, copy_touched, r);
	fclose(r->subset);
	cfg = ht_rules_parse(subset, size, NULL);
	free(subset);
	return cfg;
}

static bool is_touched(const struct reparse *r, const struct ht_config *cfg, uint64_t service)
{
	const struct ht_service_conf *svc = ht_config_service(cfg, service);

	return !svc || json_object_get(r->touched, svc->name);
}

static bool same_address(const struct ht_addr *a, const struct ht_addr *b)
{
	return a->len == b->len && memcmp(&a->ss, &b->ss, a->len) == 0;
}

static bool address_is_free(const struct ht_config *cfg, const struct ht_service_conf *svc)
{
	char text[HT_ADDR_TEXT];

	for (size_t i = 0; i < cfg->service_count; i++)
		if (cfg->services[i].id != svc->id &&
		    same_address(&cfg->services[i].addr, &svc->addr))
			return false;
	return !ht_config_target(cfg, ht_hash_str(ht_addr_format(&svc->addr, text)));
}

/* Target addresses are compared with each other by sealing; the rest is here. */
static bool addresses_are_unique(const struct ht_config *cfg, const struct ht_config *subset)
{
	for (size_t i = 0; i < subset->service_count; i++)
		if (!address_is_free(cfg, &subset->services[i]))
			return false;
	for (size_t i = 0; i < cfg->service_count; i++)
		for (size_t k = 0; k < subset->target_count; k++)
			if (same_address(&cfg->services[i].addr, &subset->targets[k].addr))
				return false;
	return true;
}

static bool copy_all(struct ht_config *to, const struct reparse *r, const struct ht_config *from,
		     bool touched)
{
	for (size_t i = 0; i < from->service_count; i++) {
		const struct ht_service_conf *svc = &from->services[i];

		if (is_touched(r, from, svc->id) != touched)
			continue;
		if (!ht_config_add_service(to, svc))
			return false;
		for (size_t k = 0; k < svc->target_count; k++)
			if (!ht_config_copy_target(to, &svc->targets[k]))
				return false;
	}
	return true;
}

/* Joins the untouched services of the old configuration with the subset's. */
static struct ht_config *merge(const struct reparse *r, const struct ht_config *subset,
			       const char *text, size_t len)
{
	char *copy = ht_rules_terminated(text, len);
	struct ht_config *cfg = copy ? ht_config_new(0, "", copy) : NULL;

	free(copy);
	if (cfg && copy_all(cfg, r, r->old, false) && copy_all(cfg, r, subset, true) &&
	    ht_config_seal(cfg, NULL) && addresses_are_unique(cfg, subset)) {
		cfg->parsed = true;
		return cfg;
	}
	ht_config_put(cfg);
	return NULL;
}

static struct ht_config *reparse(const struct ht_config *old, const char *text, size_t len)
{
	struct reparse r = {.old = old, .touched = json_object()};
	struct ht_config *subset = NULL, *cfg = NULL;
	struct ht_rules_diff diff = {0};
	char *copy = strndup(text, len);

	if (r.touched && copy && strlen(copy) == len && ht_rules_diff(old->text, copy, &diff) &&
	    note_touched(&r, diff.removed, diff.removed_count) &&
	    note_touched(&r, diff.added, diff.added_count))
		subset = parse_subset(&r, text, len);
	if (subset)
		cfg = merge(&r, subset, text, len);
	ht_config_put(subset);
	ht_rules_diff_clear(&diff);
	json_decref(r.touched);
	free(copy);
	return cfg;
}

struct ht_config *ht_rules_reparse(const struct ht_config *old, const char *text, size_t len,
				   struct ht_rules_errors *errors)
{
	struct ht_config *cfg = old && old->parsed ? reparse(old, text, len) : NULL;

	if (!cfg)
		return ht_rules_parse(text, len, errors);
	if (errors)
		*errors = (struct ht_rules_errors){0};
	return cfg;
}
