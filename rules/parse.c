#include "rules/parser.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define WHO "say who asked for the rule and why, after '#'"

static bool fault_at(struct ht_rules_parser *p, unsigned int i, const char *hint, const char *text)
{
	const struct ht_rules_line *line = &p->line;
	unsigned int column = i < line->count ? line->words[i].column : line->end_column;

	return ht_rules_errors_add(p->errors, line->number, column, hint, "%s", text);
}

static struct ht_rules_reference *add_reference(struct ht_rules_parser *p,
						struct ht_rules_references *refs)
{
	struct ht_rules_reference *items = refs->items;
	struct ht_rules_reference *ref;

	if (!(refs->count & (refs->count - 1)))
		items = realloc(items, (refs->count ? refs->count * 2 : 1) * sizeof(*items));
	if (!items) {
		p->failed = true;
		return NULL;
	}
	refs->items = items;
	ref = &items[refs->count++];
	*ref = (struct ht_rules_reference){.line = p->line.number};
	return ref;
}

/* Claims a key of one kind; refuses one that an earlier line has. */
static bool claim(struct ht_rules_parser *p, unsigned int word, const char *kind, const char *key,
		  const char *what)
{
	char full[2 * HT_NAME_MAX + 32];
	json_t *line;

	snprintf(full, sizeof(full), "%s %s", kind, key);
	line = json_object_get(p->seen, full);
	if (line)
		return ht_rules_errors_add(p->errors, p->line.number, p->line.words[word].column,
					   "remove one of the two",
					   "%s is already used in line %lld", what,
					   (long long)json_integer_value(line));
	if (json_object_set_new(p->seen, full, json_integer(p->line.number)))
		p->failed = true;
	return true;
}

static bool claim_address(struct ht_rules_parser *p, unsigned int word, const struct ht_addr *addr)
{
	char text[HT_ADDR_TEXT], what[HT_ADDR_TEXT + 16];

	ht_addr_format(addr, text);
	snprintf(what, sizeof(what), "address %s", text);
	return claim(p, word, "address", text, what);
}

static bool claim_named(struct ht_rules_parser *p, unsigned int word, const char *kind,
			const char *service, const char *name)
{
	char key[2 * HT_NAME_MAX], what[2 * HT_NAME_MAX + 32];

	snprintf(key, sizeof(key), "%s/%s", service, name);
	snprintf(what, sizeof(what), "%s '%s' of service '%s'", kind, name, service);
	return claim(p, word, kind, key, what);
}

/* Checks that word @i is the keyword @word and that a value follows. */
static bool keyword(struct ht_rules_parser *p, unsigned int i, const char *word, const char *usage)
{
	char text[200];

	if (i + 1 < p->line.count && strcmp(p->line.words[i].text, word) == 0)
		return true;
	if (i < p->line.count && strcmp(p->line.words[i].text, word) == 0)
		snprintf(text, sizeof(text), "'%s' has no value", word);
	else
		snprintf(text, sizeof(text), "'%s' is missing here", word);
	return fault_at(p, i, usage, text);
}

/* Finds the keyword of an option at word @i; refuses unknown, repeated and valueless ones. */
static int option(struct ht_rules_parser *p, unsigned int i, const char *const *names,
		  unsigned int *used, const char *usage)
{
	const char *word = p->line.words[i].text;
	char text[200];

	for (int k = 0; names[k]; k++) {
		if (strcmp(word, names[k]) != 0)
			continue;
		if (*used & 1U << k)
			snprintf(text, sizeof(text), "'%.*s' is given twice", HT_NAME_MAX, word);
		else if (i + 1 >= p->line.count)
			snprintf(text, sizeof(text), "'%.*s' has no value", HT_NAME_MAX, word);
		else {
			*used |= 1U << k;
			return k;
		}
		fault_at(p, i, usage, text);
		return -1;
	}
	snprintf(text, sizeof(text), "unknown word '%.*s'", HT_NAME_MAX, word);
	fault_at(p, i, usage, text);
	return -1;
}

#define SERVICE_USAGE                                                                              \
	"service NAME region REGION address IP:PORT [deadline MS] [affinity flow|request] # who"

static bool service_options(struct ht_rules_parser *p, struct ht_service_conf *svc)
{
	static const char *const names[] = {"deadline", "affinity", NULL};
	unsigned int used = 0;
	bool ok = true;

	for (unsigned int i = 6; i < p->line.count; i += 2) {
		int k = option(p, i, names, &used, SERVICE_USAGE);

		if (k < 0)
			return false;
		if (k == 0)
			ok &= ht_rules_integer(&p->line, i + 1, "deadline", 10, 60000,
					       &svc->deadline, p->errors);
		else if (strcmp(p->line.words[i + 1].text, "request") == 0)
			svc->affinity = HT_AFFINITY_REQUEST;
		else if (strcmp(p->line.words[i + 1].text, "flow") != 0)
			ok = fault_at(p, i + 1, "affinity flow or affinity request",
				      "unknown affinity");
	}
	return ok;
}

static bool parse_service(struct ht_rules_parser *p)
{
	struct ht_service_conf svc = {.deadline = HT_RULES_DEADLINE};
	char what[HT_NAME_MAX + 16];
	bool ok;

	if (p->line.count < 2)
		return fault_at(p, 1, SERVICE_USAGE, "service name is missing");
	ok = ht_rules_name(&p->line, 1, "service", svc.name, p->errors);
	if (ok) {
		snprintf(what, sizeof(what), "service '%s'", svc.name);
		ok = claim(p, 1, "service", svc.name, what);
	}
	if (!keyword(p, 2, "region", SERVICE_USAGE) || !keyword(p, 4, "address", SERVICE_USAGE))
		return false;
	ok &= ht_rules_name(&p->line, 3, "region", svc.region, p->errors);
	ok &= ht_rules_address(&p->line, 5, &svc.addr, p->errors) && claim_address(p, 5, &svc.addr);
	ok &= service_options(p, &svc);
	if (ok && !ht_config_add_service(p->cfg, &svc))
		p->failed = true;
	return ok;
}

#define TARGET_USAGE                                                                               \
	"target SERVICE NAME dc DC address IP:PORT [slots N] [connections N] [weight W] # who"

static bool target_options(struct ht_rules_parser *p, struct ht_target_conf *t)
{
	static const char *const names[] = {"slots", "connections", "weight", NULL};
	int64_t slots = 3, connections = 2000;
	unsigned int used = 0;
	bool ok = true;

	for (unsigned int i = 7; i < p->line.count; i += 2) {
		int k = option(p, i, names, &used, TARGET_USAGE);

		if (k < 0)
			return false;
		if (k == 0)
			ok &= ht_rules_integer(&p->line, i + 1, "slots", 1, 1000, &slots,
					       p->errors);
		else if (k == 1)
			ok &= ht_rules_integer(&p->line, i + 1, "connections", 1, 1000000,
					       &connections, p->errors);
		else
			ok &= ht_rules_weight(&p->line, i + 1, 0.001, 1000, &t->weight, p->errors);
	}
	t->slots = (uint32_t)slots;
	t->connections = (uint32_t)connections;
	return ok;
}

/* Reads words 1 and 2 of a rule that refers to a service; @claimed is the kind to claim. */
static bool read_reference(struct ht_rules_parser *p, struct ht_rules_reference *ref,
			   const char *what, const char *claimed, const char *usage)
{
	bool ok;

	if (p->line.count < 3)
		return fault_at(p, p->line.count, usage, "words are missing");
	ref->line = p->line.number;
	ref->service_column = p->line.words[1].column;
	ref->name_column = p->line.words[2].column;
	ok = ht_rules_name(&p->line, 1, "service", ref->service, p->errors);
	ok &= ht_rules_name(&p->line, 2, what, ref->name, p->errors);
	return ok && claim_named(p, 2, claimed, ref->service, ref->name);
}

static bool parse_target(struct ht_rules_parser *p)
{
	struct ht_target_conf t = {.weight = 1};
	struct ht_rules_reference ref = {0}, *kept;
	bool ok = read_reference(p, &ref, "target", "target", TARGET_USAGE);

	if (p->line.count < 3 || !keyword(p, 3, "dc", TARGET_USAGE) ||
	    !keyword(p, 5, "address", TARGET_USAGE))
		return false;
	memcpy(t.name, ref.name, sizeof(t.name));
	ok &= ht_rules_name(&p->line, 4, "data centre", t.dc, p->errors);
	ok &= ht_rules_address(&p->line, 6, &t.addr, p->errors) && claim_address(p, 6, &t.addr);
	ok &= target_options(p, &t);
	if (!ok)
		return false;
	kept = add_reference(p, &p->targets);
	if (!kept || !ht_config_add_target(p->cfg, ref.service, &t)) {
		p->failed = true;
		return false;
	}
	*kept = ref;
	return true;
}

static bool parse_share(struct ht_rules_parser *p)
{
	static const char usage[] = "share SERVICE DC WEIGHT # who";
	struct ht_rules_reference ref = {0}, *kept;
	bool ok = read_reference(p, &ref, "data centre", "share", usage);

	if (p->line.count != 4)
		return fault_at(p, p->line.count < 4 ? p->line.count : 4, usage,
				"a share rule has 4 words");
	ok &= ht_rules_weight(&p->line, 3, 0, 1000, &ref.weight, p->errors);
	kept = ok ? add_reference(p, &p->shares) : NULL;
	if (kept)
		*kept = ref;
	return ok;
}

/* A rule of the form "KIND SERVICE NAME". */
static bool parse_pair(struct ht_rules_parser *p, const char *kind, const char *what,
		       struct ht_rules_references *refs, const char *usage)
{
	struct ht_rules_reference ref = {0}, *kept;
	bool ok = read_reference(p, &ref, what, kind, usage);

	if (p->line.count > 3)
		return ht_rules_errors_add(p->errors, p->line.number, p->line.words[3].column,
					   usage, "a rule of kind '%s' has 3 words", kind);
	kept = ok ? add_reference(p, refs) : NULL;
	if (kept)
		*kept = ref;
	return ok;
}

static bool parse_drain(struct ht_rules_parser *p)
{
	return parse_pair(p, "drain", "target", &p->drains, "drain SERVICE TARGET # who");
}

static bool parse_evacuate(struct ht_rules_parser *p)
{
	return parse_pair(p, "evacuate", "data centre", &p->evacuations,
			  "evacuate SERVICE DC # who");
}

static void parse_line(void *ctx, const char *text, size_t len, unsigned int number)
{
	static const struct {
		const char *word;
		bool (*parse)(struct ht_rules_parser *p);
	} kinds[] = {
		{"service", parse_service}, {"target", parse_target},	  {"share", parse_share},
		{"drain", parse_drain},	    {"evacuate", parse_evacuate},
	};
	struct ht_rules_parser *p = ctx;

	if (!ht_rules_split(text, len, number, &p->line, p->errors) || !p->line.count)
		return;
	if (!p->line.comment)
		fault_at(p, p->line.count, WHO, "rule without a comment");
	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if (strcmp(p->line.words[0].text, kinds[i].word) == 0) {
			kinds[i].parse(p);
			return;
		}
	}
	fault_at(p, 0, "a rule starts with service, target, share, drain or evacuate",
		 "unknown rule");
}

struct ht_config *ht_rules_parse(const char *text, size_t len, struct ht_rules_errors *errors)
{
	struct ht_rules_errors own = {0};
	struct ht_rules_parser p = {.errors = &own};
	char *copy = ht_rules_terminated(text, len);
	bool ok = false;

	p.cfg = ht_config_new(0, "", copy);
	p.seen = json_object();
	if (p.cfg && p.seen && copy) {
		ht_rules_each_line(text, len, parse_line, &p);
		ok = ht_rules_resolve(&p);
	} else {
		ht_rules_errors_add(&own, 0, 0, NULL, "out of memory");
	}
	ht_rules_errors_sort(&own);
	free(copy);
	json_decref(p.seen);
	free(p.targets.items);
	free(p.shares.items);
	free(p.drains.items);
	free(p.evacuations.items);
	if (!ok) {
		ht_config_put(p.cfg);
		p.cfg = NULL;
	}
	if (errors)
		*errors = own;
	else
		ht_rules_errors_clear(&own);
	return p.cfg;
}
