/* Internal to the configuration service. */
#ifndef HT_CORE_CONFIG_SERVICE_H
#define HT_CORE_CONFIG_SERVICE_H

#include "core/control.h"
#include "rules/rules.h"

/* Earlier target sets kept per service. */
#define HT_PREVIOUS_SETS 4
/* Deltas kept for replies to pulls; a peer that is further behind gets the full text. */
#define HT_CONFIG_DELTAS 8
/* Peers to which a new version is announced; others learn of it from these or from heartbeats. */
#define HT_ANNOUNCE_PEERS 4
/* A pull is repeated when no part of a reply has arrived for this time, in ms. */
#define HT_PULL_TIMEOUT_MS 300
/*
 * A starting instance waits this long, in ms, for announcements of more peers. Otherwise all that
 * start together would pull the full text, 2 MB at the size planned for two years, from the peer
 * first heard.
 */
#define HT_PULL_DELAY_MS 50
/* Text bytes per ConfigData message; frames are limited to 1 MiB. */
#define HT_DATA_PART_BYTES (256 * 1024)
/* Full texts of more parts are refused; 21,000 targets take about 2 MB. */
#define HT_DATA_PARTS_MAX 64

/* Copy of an earlier target set of a service. */
struct ht_previous_set {
	struct ht_service_conf service;
	struct ht_target_conf *targets;
	ht_ms replaced_at;
};

struct ht_config_delta {
	uint64_t from, to;
	char change_id[40];
	struct ht_rules_diff diff;
};

/* A full text that is being received in several messages. */
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
	struct ht_config_delta deltas[HT_CONFIG_DELTAS]; /* oldest first */
	size_t delta_count;
	uint64_t wanted_version, wanted_peer; /* newest one announced, and its last announcer */
	unsigned int tries;		      /* pulls sent for the wanted version */
	uint64_t logged_older_version;
	bool want_full_text; /* the last data received was rejected */
	ht_ms pull_until;
	struct ht_assembly assembly;
};

/** Puts a newer configuration into use. @source is its origin, for the log. */
void ht_config_adopt(struct ht_config_service *c, struct ht_config *cfg, const char *source);
/** Saves the target sets that @next replaces. */
void ht_config_save_target_sets(struct ht_config_service *c, const struct ht_config *next);
const struct ht_service_conf *ht_config_previous(const struct ht_config_service *c,
						 uint64_t service, unsigned int k);
void ht_config_free_target_sets(struct ht_config_service *c);
/** Saves the delta from the current version to @next for peers that pull. */
void ht_config_save_delta(struct ht_config_service *c, const struct ht_config *next);
void ht_config_free_deltas(struct ht_config_service *c);
void ht_config_free_assembly(struct ht_config_service *c);
/** Pulls the newest announced version from a peer that has it, unless a pull is pending. */
void ht_config_send_pull(struct ht_config_service *c);

#endif
