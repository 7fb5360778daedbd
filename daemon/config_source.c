#include "daemon/config_source.h"

#include "platform/client.h"
#include "rules/rules.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEAD "config/head"
#define WATCH_MS 30000

/* Parts are read one after the other, so a large head does not use up the platform's rate. */
struct ht_config_source {
	struct ht_config_source_params p;
	struct ht_platform *platform;
	struct ht_platform_op *head_call; /* head or part, for a read or a watch */
	struct ht_platform_op *live_call;
	struct ht_platform_op *status_call;
	struct ht_rules_head head;   /* being completed */
	struct ht_rules_parts cache; /* parts of the last complete head */
	struct ht_config *last;	     /* made of the cached parts; NULL before the first */
	size_t next_part;
	uint64_t head_version;	   /* the platform's version of the object; 0: not read */
	uint64_t reported_version; /* of the object that the core got last */
	uint64_t known;		   /* the core's, for a watch */
	uint64_t era;		   /* the platform's newest; versions and revisions count in it */
	struct ht_revision live_known; /* of the list that the core has */
	bool watching;
	char *status_body;
	uint64_t status_version;
	bool status_repeated;
	struct ev_timer failed; /* reports failures from the loop */
	bool head_failed, live_failed;
};

static void on_head(void *ctx, const struct ht_platform_reply *reply);

static void forward_event(void *ctx, const struct ht_event *ev)
{
	struct ht_config_source *src = ctx;

	ht_log_add(src->p.log, ev);
}

/* The core may ask again at once, so a failure is reported only in the next round. */
static void fail(struct ht_config_source *src, bool *flag)
{
	ht_count(src->p.counters, HT_C_platform_errors, 1);
	*flag = true;
	ev_timer_start(src->p.loop, &src->failed);
}

static void on_failed(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct ht_config_source *src = w->data;
	bool head = src->head_failed, live = src->live_failed;

	(void)loop;
	(void)revents;
	src->head_failed = src->live_failed = false;
	if (head)
		src->p.ops->config(src->p.ctx, NULL);
	if (live)
		src->p.ops->live(src->p.ctx, (struct ht_revision){0}, NULL, -1);
}

static void refuse(struct ht_config_source *src, const char *reason)
{
	ht_log_event(src->p.log, HT_EV_CONFIG_REFUSED, 0, 0, "version=%" PRIu64 " reason=\"%s\"",
		     src->head.version, reason);
	/* Reported once: a watch then waits until the object changes. */
	src->reported_version = src->head_version;
	fail(src, &src->head_failed);
}

static void keep_parts(struct ht_config_source *src)
{
	ht_rules_parts_clear(&src->cache);
	src->cache = src->head.parts;
	memset(&src->head.parts, 0, sizeof(src->head.parts));
}

static void deliver(struct ht_config_source *src)
{
	struct ht_rules_errors errors = {0};
	char *text = ht_rules_parts_join(&src->head.parts);
	struct ht_config *cfg =
		text ? ht_rules_reparse(src->last, text, strlen(text), &errors) : NULL;

	free(text);
	if (cfg) {
		cfg->version = src->head.version;
		snprintf(cfg->change_id, sizeof(cfg->change_id), "%s", src->head.change_id);
		src->reported_version = src->head_version;
		keep_parts(src);
		ht_config_put(src->last);
		src->last = ht_config_get(cfg);
		src->p.ops->config(src->p.ctx, cfg);
		ht_config_put(cfg);
	} else {
		refuse(src, errors.count ? errors.items[0].text : "no text");
	}
	ht_rules_errors_clear(&errors);
}

static bool take_from_cache(const struct ht_config_source *src, struct ht_rules_part *part)
{
	for (size_t i = 0; i < src->cache.count; i++) {
		if (strcmp(src->cache.items[i].hash, part->hash) != 0)
			continue;
		part->text = strdup(src->cache.items[i].text);
		return part->text != NULL;
	}
	return false;
}

static void read_parts(struct ht_config_source *src);

static void on_part(void *ctx, const struct ht_platform_reply *reply)
{
	struct ht_config_source *src = ctx;
	struct ht_rules_part *part = &src->head.parts.items[src->next_part];
	struct ht_err err;

	src->head_call = NULL;
	if (reply->err.code != HT_OK) {
		fail(src, &src->head_failed);
		return;
	}
	if (!ht_rules_part_parse(reply->value, strlen(reply->value), part, &err)) {
		refuse(src, err.text);
		return;
	}
	src->next_part++;
	read_parts(src);
}

static void read_parts(struct ht_config_source *src)
{
	char name[64];

	while (src->next_part < src->head.parts.count &&
	       take_from_cache(src, &src->head.parts.items[src->next_part]))
		src->next_part++;
	if (src->next_part == src->head.parts.count) {
		deliver(src);
		return;
	}
	snprintf(name, sizeof(name), "config/parts/%s", src->head.parts.items[src->next_part].hash);
	ht_count(src->p.counters, HT_C_platform_reads, 1);
	src->head_call = ht_platform_read(src->platform, name, HT_PLATFORM_TIMEOUT, on_part, src);
	if (!src->head_call)
		refuse(src, "bad name of a part");
}

static void read_head(struct ht_config_source *src)
{
	ht_count(src->p.counters, HT_C_platform_reads, 1);
	src->head_call = ht_platform_read(src->platform, HEAD, HT_PLATFORM_TIMEOUT, on_head, src);
	if (!src->head_call)
		fail(src, &src->head_failed);
}

static void watch_head(struct ht_config_source *src)
{
	ht_count(src->p.counters, HT_C_platform_watches, 1);
	src->head_call =
		ht_platform_watch(src->platform, HEAD, src->head_version, WATCH_MS, on_head, src);
	if (!src->head_call)
		fail(src, &src->head_failed);
}

static void cancel(struct ht_platform_op **call)
{
	if (*call)
		ht_platform_cancel(*call);
	*call = NULL;
}

static void read_live(struct ht_config_source *src, struct ht_revision known);

/*
 * The platform's store has come back from an older copy when a newer era is told: what was known of
 * versions there says nothing any more. False for an answer from before that.
 */
static bool take_era(struct ht_config_source *src, uint64_t era)
{
	if (era <= src->era)
		return era == src->era;
	ht_log_event(src->p.log, HT_EV_PLATFORM_ERA, 0, 0, "era=%" PRIu64 " before=%" PRIu64, era,
		     src->era);
	src->era = era;
	src->head_version = src->reported_version = src->status_version = 0;
	/* Watches wait for numbers of the era before. */
	if (src->head_call) {
		cancel(&src->head_call);
		read_head(src);
	}
	if (src->live_call) {
		cancel(&src->live_call);
		read_live(src, (struct ht_revision){0});
	}
	return true;
}

static void on_head(void *ctx, const struct ht_platform_reply *reply)
{
	struct ht_config_source *src = ctx;
	uint64_t era = src->era;
	struct ht_err err;

	src->head_call = NULL;
	if (reply->err.code != HT_OK || !take_era(src, reply->era)) {
		fail(src, &src->head_failed);
		return;
	}
	if (reply->unchanged) {
		/* The same version of another era is another head. */
		if (src->era == era)
			watch_head(src);
		else
			read_head(src);
		return;
	}
	src->head_version = reply->version;
	ht_rules_head_clear(&src->head);
	if (!ht_rules_head_parse(reply->value, strlen(reply->value), &src->head, &err)) {
		refuse(src, err.text);
		return;
	}
	/* An older head, after a restore, is reported once and then waited on. */
	if (src->watching &&
	    (src->head.version == src->known || src->head_version == src->reported_version)) {
		watch_head(src);
		return;
	}
	src->next_part = 0;
	read_parts(src);
}

static void copy_instance(struct ht_instance_info *to, const struct ht_platform_instance *from)
{
	snprintf(to->name, sizeof(to->name), "%s", from->name);
	snprintf(to->dc, sizeof(to->dc), "%s", from->dc);
	snprintf(to->peer_address, sizeof(to->peer_address), "%s", from->peer_address);
	snprintf(to->admin_address, sizeof(to->admin_address), "%s", from->admin_address);
	to->size = from->size;
	to->leaving = from->leaving;
}

static void on_live(void *ctx, const struct ht_platform_reply *reply);

static void read_live(struct ht_config_source *src, struct ht_revision known)
{
	src->live_known = known;
	/* Other instances may have told the core of a newer era. */
	if (known.era > src->era)
		take_era(src, known.era);
	if (known.number && known.era == src->era) {
		ht_count(src->p.counters, HT_C_platform_watches, 1);
		src->live_call = ht_platform_watch_instances(src->platform, known.number, WATCH_MS,
							     on_live, src);
	} else {
		ht_count(src->p.counters, HT_C_platform_reads, 1);
		src->live_call =
			ht_platform_instances(src->platform, HT_PLATFORM_TIMEOUT, on_live, src);
	}
	if (!src->live_call)
		fail(src, &src->live_failed);
}

static void on_live(void *ctx, const struct ht_platform_reply *reply)
{
	struct ht_config_source *src = ctx;
	struct ht_platform_instance *list = NULL;
	struct ht_instance_info *infos;
	int count = -1;

	src->live_call = NULL;
	if (reply->err.code == HT_OK && !take_era(src, reply->era)) {
		fail(src, &src->live_failed);
		return;
	}
	if (reply->unchanged) {
		read_live(src, src->live_known);
		return;
	}
	if (reply->err.code == HT_OK)
		count = ht_platform_instances_parse(reply->value, &list, NULL);
	infos = count < 0 ? NULL : calloc((size_t)count + 1, sizeof(*infos));
	if (!infos) {
		free(list);
		fail(src, &src->live_failed);
		return;
	}
	for (int i = 0; i < count; i++)
		copy_instance(&infos[i], &list[i]);
	src->p.ops->live(src->p.ctx, (struct ht_revision){reply->era, reply->version}, infos,
			 count);
	free(infos);
	free(list);
}

static void write_status(struct ht_config_source *src);

static void on_status(void *ctx, const struct ht_platform_reply *reply)
{
	struct ht_config_source *src = ctx;

	src->status_call = NULL;
	if (reply->err.code == HT_OK || reply->err.code == HT_ECONFLICT)
		src->status_version = reply->version;
	/* The other relay, or this one before an answer was lost, wrote meanwhile. */
	if (reply->err.code == HT_ECONFLICT && !src->status_repeated) {
		src->status_repeated = true;
		write_status(src);
		return;
	}
	if (reply->err.code != HT_OK)
		ht_count(src->p.counters, HT_C_platform_errors, 1);
}

static void write_status(struct ht_config_source *src)
{
	char name[HT_NAME_MAX + 8];

	snprintf(name, sizeof(name), "status/%s", src->p.dc);
	ht_count(src->p.counters, HT_C_platform_writes, 1);
	src->status_call = ht_platform_write(src->platform, name, src->status_version,
					     src->status_body, HT_PLATFORM_TIMEOUT, on_status, src);
}

static void start_head(struct ht_config_source *src, bool watching, uint64_t known)
{
	cancel(&src->head_call);
	src->watching = watching;
	src->known = known;
	if (watching && src->head_version && src->head_version == src->reported_version)
		watch_head(src);
	else
		read_head(src);
}

void ht_config_source_call(struct ht_config_source *src, enum ht_platform_call call,
			   struct ht_revision known, const char *body)
{
	switch (call) {
	case HT_PLATFORM_READ_HEAD:
		start_head(src, false, known.number);
		break;
	case HT_PLATFORM_WATCH_HEAD:
		start_head(src, true, known.number);
		break;
	case HT_PLATFORM_READ_LIVE:
		cancel(&src->live_call);
		read_live(src, known);
		break;
	case HT_PLATFORM_WRITE_STATUS:
		cancel(&src->status_call);
		free(src->status_body);
		src->status_body = strdup(body ? body : "{}");
		src->status_repeated = false;
		write_status(src);
		break;
	}
}

struct ht_config_source *ht_config_source_new(const struct ht_config_source_params *params,
					      struct ht_err *err)
{
	struct ht_config_source *src = calloc(1, sizeof(*src));

	if (!src) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	src->p = *params;
	src->platform = ht_platform_new(params->loop, params->platform, forward_event, src, err);
	src->p.platform = NULL;
	if (!src->platform) {
		free(src);
		return NULL;
	}
	ev_timer_init(&src->failed, on_failed, 0, 0);
	src->failed.data = src;
	return src;
}

void ht_config_source_free(struct ht_config_source *src)
{
	if (!src)
		return;
	ev_timer_stop(src->p.loop, &src->failed);
	ht_platform_free(src->platform);
	ht_rules_head_clear(&src->head);
	ht_rules_parts_clear(&src->cache);
	ht_config_put(src->last);
	free(src->status_body);
	free(src);
}
