/* Settings of one instance: a JSON file, checked against one table. */
#ifndef HT_DAEMON_SETTINGS_H
#define HT_DAEMON_SETTINGS_H

#include "core/core.h"

#include <stdio.h>

#define HT_KEY_LEN 32 /* bytes of the key that the instances share */

struct ht_settings {
	char *name;
	char *data_centre;
	char *region;
	double size;
	struct ht_addr peer_address;
	struct ht_addr admin_address;
	struct ht_addr platform_address;
	char *key_file;
	char *bind_ip;
	char *log_level;
	int64_t heartbeat_min;
	int64_t heartbeat_per_peer;
	int64_t lease_min;
	int64_t death_margin;
	int64_t takeover_hold;
	int64_t isolation;
	int64_t claim_wait;
	int64_t linger;
	int64_t flow_idle;
	int64_t target_deadline;
	int64_t flow_table_max;
	int64_t answer_cache_bytes;
	int64_t queue_max;
	double retry_ratio;
	double retry_burst;
};

/** Reads settings from @text; the error names @file, the key and the allowed range. */
bool ht_settings_parse(struct ht_settings *set, const char *file, const char *text, size_t len,
		       struct ht_err *err);

/** Reads and checks the settings file at @path. */
bool ht_settings_load(struct ht_settings *set, const char *path, struct ht_err *err);
void ht_settings_clear(struct ht_settings *set);

/** Writes the keys of a settings file with their ranges and defaults, one per line. */
void ht_settings_describe(FILE *out);

/** Copies identity, intervals and limits into @params. */
void ht_settings_apply(const struct ht_settings *set, struct ht_core_params *params);

/**
 * Reads the shared key: 64 hexadecimal digits and an optional line end. Refuses a file that the
 * group or others may read.
 */
bool ht_key_load(uint8_t key[HT_KEY_LEN], const char *path, struct ht_err *err);

/** Reads the whole file at @path, at most @max bytes; the caller frees the result. */
char *ht_read_file(const char *path, size_t max, size_t *len, struct ht_err *err);

#endif
