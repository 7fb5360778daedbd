/* An accepted configuration: services and targets, with the rule text they came from. */
#ifndef HT_RULES_CONFIG_H
#define HT_RULES_CONFIG_H

#include "base/addr.h"
#include "base/clock.h"
#include "base/ref.h"

#include <stddef.h>
#include <stdint.h>

#define HT_NAME_MAX 64 /* bytes of a service, target, region, data centre or instance name */

/** What stays together: a whole flow, or only each request (idempotent ones may move). */
enum ht_affinity {
	HT_AFFINITY_FLOW,
	HT_AFFINITY_REQUEST
};

struct ht_target_conf {
	uint64_t id; /**< hash of the address text: one home sees all uses of an address */
	uint64_t service;
	char name[HT_NAME_MAX];
	char dc[HT_NAME_MAX];
	struct ht_addr addr;
	uint32_t slots;
	uint32_t connections;
	double weight; /**< share of the service's flows, data centre share included */
	bool draining;
};

struct ht_service_conf {
	uint64_t id; /**< hash of the name */
	char name[HT_NAME_MAX];
	char region[HT_NAME_MAX];
	struct ht_addr addr; /**< the address that callers use */
	ht_ms deadline;	     /**< for requests that carry none */
	enum ht_affinity affinity;
	uint64_t target_set; /**< hash over ids and weights; equal sets give equal rows */
	const struct ht_target_conf *targets;
	size_t target_count;
};

/** Immutable once sealed; shared by reference count. */
struct ht_config {
	struct ht_ref ref;
	uint64_t version;
	char change_id[40];
	char *text;			  /**< the rules, with comments */
	bool parsed;			  /**< made of @text by the parser */
	struct ht_service_conf *services; /**< sorted by id */
	size_t service_count;
	struct ht_target_conf *targets; /**< grouped by service, sorted by service and id */
	size_t target_count;
	const struct ht_target_conf **by_id; /**< targets sorted by id */
};

/** Creates an empty configuration; @text is copied and may be NULL. */
struct ht_config *ht_config_new(uint64_t version, const char *change_id, const char *text);

/** Adds copies; ids are computed from the name and the address. False when out of memory. */
bool ht_config_add_service(struct ht_config *cfg, const struct ht_service_conf *svc);
bool ht_config_add_target(struct ht_config *cfg, const char *service,
			  const struct ht_target_conf *target);

/** Sorts, links targets to services and computes target_set. Call once, before any look-up. */
bool ht_config_seal(struct ht_config *cfg, struct ht_err *err);

const struct ht_service_conf *ht_config_service(const struct ht_config *cfg, uint64_t id);
const struct ht_target_conf *ht_config_target(const struct ht_config *cfg, uint64_t id);

static inline struct ht_config *ht_config_get(struct ht_config *cfg)
{
	ht_ref_get(&cfg->ref);
	return cfg;
}

/** Drops a reference; NULL is allowed. */
void ht_config_put(struct ht_config *cfg);

#endif
