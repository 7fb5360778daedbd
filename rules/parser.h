/* State of one run of the parser, shared by its two modules. */
#ifndef HT_RULES_PARSER_H
#define HT_RULES_PARSER_H

#include "rules/internal.h"

#include <jansson.h>

/* A rule that refers to a service; read once all services are known. */
struct ht_rules_reference {
	unsigned int line;
	unsigned int service_column;
	unsigned int name_column;
	char service[HT_NAME_MAX];
	char name[HT_NAME_MAX]; /* of a target, or of a data centre */
	double weight;
};

struct ht_rules_references {
	struct ht_rules_reference *items;
	size_t count;
};

struct ht_rules_parser {
	struct ht_config *cfg;
	struct ht_rules_errors *errors;
	struct ht_rules_line line;
	struct ht_rules_references targets; /* targets[i] belongs to cfg->targets[i] */
	struct ht_rules_references shares;
	struct ht_rules_references drains;
	struct ht_rules_references evacuations;
	const struct ht_rules_reference **by_service; /* targets, sorted by service name */
	json_t *seen; /* "kind key" to the line that used it first */
	bool failed;  /* out of memory */
};

/** Resolves references between rules, seals the configuration; false when there is any fault. */
bool ht_rules_resolve(struct ht_rules_parser *p);

#endif
