/* Private to the configuration service. */
#ifndef HT_CORE_CONFIG_SERVICE_H
#define HT_CORE_CONFIG_SERVICE_H

#include "core/control.h"
#include "rules/rules.h"

#define HT_PREVIOUS_SETS 4
/* Changes kept to answer pulls with differences; a peer further behind gets the whole text. */
#define HT_KEPT_CHANGES 8
/* Peers told of a new version at once; the others learn it from these or from heartbeats. */
#define HT_ANNOUNCE_PEERS 4
/* A pull is sent again when for this time, in ms, no part of an answer has come. */
#define HT_PULL_TIMEOUT_MS 300
/*
 * An instance that starts waits this long, in ms, for the announcements of more peers: the whole
 * text has 2 MB at the two-year size, and all that start with it would ask the first one heard.
 */
#define HT_PULL_GATHER_MS 50
/* Text bytes per ConfigData message; a frame holds 1 MiB. */
#define HT_DATA_PART_BYTES (256 * 1024)
/* Whole texts beyond this are refused: 21,000 targets take about 2 MB. */
#define HT_DATA_PARTS_MAX 64

/* A target set that a service had before the present one; a copy of its own. */
struct ht_previous_set {
	struct ht_service_conf service;
	struct ht_target_conf *targets;
	ht_ms replaced_at;
};

struct ht_kept_change {
	uint64_t from, to;
	char change_id[40];
	struct ht_rules_diff diff;
};

/* A whole text that comes in several messages. */
struct ht_assembly {
	uint64_t peer, version;
	uint32_t next, parts;
	char *text;
	size_t len;
};

struct ht_config_service {
	struct ht_env *env;
	struct ht_config_if iface;
	struct ht_tick_if tick;
	struct ht_membership *membership;
	struct ht_config *current;
	struct ht_previous_set *previous; /* newest first */
	size_t previous_count;
	struct ht_kept_change kept[HT_KEPT_CHANGES]; /* oldest first */
	size_t kept_count;
	uint64_t wanted_version, wanted_peer; /* newest announced, and who did so last */
	unsigned int tries;		      /* pulls of the wanted version so far */
	uint64_t older_logged;
	bool want_whole; /* the last difference did not fit */
	ht_ms pull_until;
	struct ht_assembly assembly;
};

/** Puts a newer configuration in force; @source names where it came from. */
void ht_config_adopt(struct ht_config_service *c, struct ht_config *cfg, const char *source);
/** Keeps the target sets that @next replaces. */
void ht_config_keep_sets(struct ht_config_service *c, const struct ht_config *next);
const struct ht_service_conf *ht_config_previous(const struct ht_config_service *c,
						 uint64_t service, unsigned int k);
void ht_config_free_sets(struct ht_config_service *c);
/** Keeps the difference from the version in force to @next for peers that pull. */
void ht_config_keep_change(struct ht_config_service *c, const struct ht_config *next);
void ht_config_free_changes(struct ht_config_service *c);
void ht_config_free_assembly(struct ht_config_service *c);
/** Sends a pull to a peer that has the newest known version, unless one is under way. */
void ht_config_send_pull(struct ht_config_service *c);

#endif
