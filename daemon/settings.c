#include "daemon/settings.h"

#include "base/file.h"
#include "base/options.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define SETTINGS_MAX ((size_t)64 * 1024)
#define KEY_FILE_MAX 256

#define STRING(f, req, lo, hi, d, h)                                                               \
	{                                                                                          \
		.name = #f, .type = HT_OPT_STRING, .offset = offsetof(struct ht_settings, f),      \
		.required = (req), .min = (lo), .max = (hi), .def = (d), .help = (h)               \
	}
#define ADDRESS(f, h)                                                                              \
	{                                                                                          \
		.name = #f, .type = HT_OPT_ADDR, .offset = offsetof(struct ht_settings, f),        \
		.required = true, .help = (h)                                                      \
	}
#define INTEGER(f, lo, hi, d, h)                                                                   \
	{                                                                                          \
		.name = #f, .type = HT_OPT_INT, .offset = offsetof(struct ht_settings, f),         \
		.min = (lo), .max = (hi), .def = (d), .help = (h)                                  \
	}
#define NUMBER(f, lo, hi, d, h)                                                                    \
	{                                                                                          \
		.name = #f, .type = HT_OPT_DOUBLE, .offset = offsetof(struct ht_settings, f),      \
		.min = (lo), .max = (hi), .def = (d), .help = (h)                                  \
	}

static const struct ht_option table[] = {
	STRING(name, true, 1, HT_NAME_MAX - 1, NULL, "name of this instance"),
	STRING(data_centre, true, 1, HT_NAME_MAX - 1, NULL, "data centre of this instance"),
	STRING(region, true, 1, HT_NAME_MAX - 1, NULL, "region of this instance"),
	NUMBER(size, 0.1, 100, "1", "relative size of this instance"),
	ADDRESS(peer_address, "address for links between instances"),
	ADDRESS(admin_address, "address for operators"),
	ADDRESS(platform_address, "address of the platform"),
	STRING(key_file, true, 1, 4095, NULL, "file with the shared key"),
	STRING(bind_ip, false, 1, 45, NULL, "IP number to bind services at"),
	STRING(log_level, false, 1, 16, "notice", "error, warn, notice, info or debug"),
	INTEGER(heartbeat_min, 50, 60000, "500", "shortest heartbeat interval, ms"),
	INTEGER(heartbeat_per_peer, 0, 1000, "60", "heartbeat interval per instance, ms"),
	INTEGER(lease_min, 100, 600000, "2000", "shortest lease, ms"),
	INTEGER(death_margin, 0, 60000, "500", "silence after the lease until death, ms"),
	INTEGER(takeover_hold, 0, 60000, "2000", "wait after taking over from the dead, ms"),
	INTEGER(isolation, 100, 600000, "10000", "time without majority until isolated, ms"),
	INTEGER(claim_wait, 0, 10000, "200", "wait of an early packet for a claim, ms"),
	INTEGER(linger, 0, 60000, "3000", "forwarding after a planned stop, ms"),
	INTEGER(flow_idle, 1000, 86400000, "600000", "idle time until a flow is dropped, ms"),
	INTEGER(target_deadline, 10, 60000, "2000", "longest deadline given to a target, ms"),
	INTEGER(flow_table_max, 16, 16777216, "262144", "flows"),
	INTEGER(answer_cache_bytes, 0, 1073741824, "16777216", "bytes of kept answers"),
	INTEGER(queue_max, 0, 65536, "64", "queued requests per target"),
	NUMBER(retry_ratio, 0, 1, "0.1", "retries earned per first attempt"),
	NUMBER(retry_burst, 0, 1000, "10", "retries that can be saved up"),
	{.name = NULL},
};

static bool check_values(const struct ht_settings *set, const char *file, struct ht_err *err)
{
	uint8_t ip[16];

	if (ht_level_parse(set->log_level) < 0)
		return ht_err_set(err, HT_EINVAL,
				  "%s: key 'log_level': '%s' is not one of error, warn, notice, "
				  "info, debug",
				  file, set->log_level);
	if (set->bind_ip && inet_pton(AF_INET, set->bind_ip, ip) != 1 &&
	    inet_pton(AF_INET6, set->bind_ip, ip) != 1)
		return ht_err_set(err, HT_EINVAL, "%s: key 'bind_ip': '%s' is not an IP number",
				  file, set->bind_ip);
	return true;
}

bool ht_settings_parse(struct ht_settings *set, const char *file, const char *text, size_t len,
		       struct ht_err *err)
{
	memset(set, 0, sizeof(*set));
	if (!ht_options_load(table, file, text, len, set, err))
		return false;
	if (check_values(set, file, err))
		return true;
	ht_settings_clear(set);
	return false;
}

void ht_settings_describe(FILE *out)
{
	ht_options_describe(table, out);
}

void ht_settings_clear(struct ht_settings *set)
{
	ht_options_clear(table, set);
}

bool ht_settings_load(struct ht_settings *set, const char *path, struct ht_err *err)
{
	size_t len;
	char *text = ht_read_file(path, SETTINGS_MAX, &len, err);
	bool ok;

	if (!text)
		return false;
	ok = ht_settings_parse(set, path, text, len, err);
	free(text);
	return ok;
}

static bool decode_key(uint8_t key[HT_KEY_LEN], const char *path, const char *text, size_t len,
		       struct ht_err *err)
{
	size_t bin_len = 0;
	const char *end = NULL;

	if (len && text[len - 1] == '\n')
		len--;
	if (len == (size_t)HT_KEY_LEN * 2 &&
	    sodium_hex2bin(key, HT_KEY_LEN, text, len, NULL, &bin_len, &end) == 0 &&
	    bin_len == HT_KEY_LEN && end == text + len)
		return true;
	return ht_err_set(err, HT_EINVAL, "%s: not %d hexadecimal digits", path, HT_KEY_LEN * 2);
}

bool ht_key_load(uint8_t key[HT_KEY_LEN], const char *path, struct ht_err *err)
{
	FILE *f = fopen(path, "re");
	struct stat st;
	char *text = NULL;
	size_t len = 0;
	bool ok = false;

	if (!f)
		return ht_err_set(err, HT_EIO, "%s: %s", path, strerror(errno));
	if (fstat(fileno(f), &st) != 0)
		ht_err_set(err, HT_EIO, "%s: %s", path, strerror(errno));
	else if (st.st_mode & (S_IRWXG | S_IRWXO))
		ht_err_set(err, HT_EINVAL, "%s: mode %03o lets group or others in; use 600", path,
			   (unsigned int)st.st_mode & 0777);
	else
		text = ht_read_stream(f, path, KEY_FILE_MAX, &len, err);
	fclose(f);
	if (text) {
		ok = decode_key(key, path, text, len, err);
		sodium_memzero(text, len);
		free(text);
	}
	return ok;
}

void ht_settings_apply(const struct ht_settings *set, struct ht_core_params *params)
{
	snprintf(params->self.name, sizeof(params->self.name), "%s", set->name);
	snprintf(params->self.dc, sizeof(params->self.dc), "%s", set->data_centre);
	ht_addr_format(&set->peer_address, params->self.peer_address);
	ht_addr_format(&set->admin_address, params->self.admin_address);
	params->self.size = set->size;
	params->heartbeat_min = set->heartbeat_min;
	params->heartbeat_per_peer = set->heartbeat_per_peer;
	params->lease_min = set->lease_min;
	params->death_margin = set->death_margin;
	params->takeover_hold = set->takeover_hold;
	params->isolation = set->isolation;
	params->claim_wait = set->claim_wait;
	params->linger = set->linger;
	params->flow_idle = set->flow_idle;
	params->target_deadline = set->target_deadline;
	params->flow_table_max = (size_t)set->flow_table_max;
	params->answer_cache_bytes = (size_t)set->answer_cache_bytes;
	params->queue_max = (uint32_t)set->queue_max;
	params->retry_ratio = set->retry_ratio;
	params->retry_burst = set->retry_burst;
}
