/* Spread of configurations among instances: differences of lines, or the whole text in parts. */
#include "base/hash.h"
#include "core/config_service.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void drop_change(struct ht_kept_change *k)
{
	ht_rules_diff_clear(&k->diff);
	*k = (struct ht_kept_change){0};
}

static size_t diff_bytes(const struct ht_rules_diff *d)
{
	size_t n = 0;

	for (size_t i = 0; i < d->removed_count; i++)
		n += strlen(d->removed[i]);
	for (size_t i = 0; i < d->added_count; i++)
		n += strlen(d->added[i]);
	return n;
}

void ht_config_keep_change(struct ht_config_service *c, const struct ht_config *next)
{
	struct ht_kept_change k = {.to = next->version};

	if (!c->current)
		return;
	k.from = c->current->version;
	snprintf(k.change_id, sizeof(k.change_id), "%s", next->change_id);
	if (!ht_rules_diff(c->current->text, next->text, &k.diff))
		return;
	/* A difference that fills a frame costs as much as the whole text. */
	if (diff_bytes(&k.diff) > HT_DATA_PART_BYTES) {
		drop_change(&k);
		return;
	}
	if (c->kept_count == HT_KEPT_CHANGES) {
		drop_change(&c->kept[0]);
		memmove(c->kept, c->kept + 1, (HT_KEPT_CHANGES - 1) * sizeof(c->kept[0]));
		c->kept_count--;
	}
	c->kept[c->kept_count++] = k;
}

void ht_config_free_changes(struct ht_config_service *c)
{
	for (size_t i = 0; i < c->kept_count; i++)
		drop_change(&c->kept[i]);
}

void ht_config_free_assembly(struct ht_config_service *c)
{
	free(c->assembly.text);
	c->assembly = (struct ht_assembly){0};
}

static void send_data(struct ht_config_service *c, uint64_t peer, Ht__ConfigData *data)
{
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;

	msg.kind_case = HT__PEER_MSG__KIND_CONFIG_DATA;
	msg.config_data = data;
	c->env->send(c->env, peer, &msg);
}

static void send_change(struct ht_config_service *c, uint64_t peer, struct ht_kept_change *k)
{
	Ht__ConfigData data = HT__CONFIG_DATA__INIT;

	data.from_version = k->from;
	data.version = k->to;
	data.change_id = k->change_id;
	data.removed = k->diff.removed;
	data.n_removed = k->diff.removed_count;
	data.added = k->diff.added;
	data.n_added = k->diff.added_count;
	data.text_hash = k->diff.text_hash;
	send_data(c, peer, &data);
}

static void send_whole(struct ht_config_service *c, uint64_t peer)
{
	const char *text = c->current->text;
	size_t len = strlen(text);
	uint32_t parts = (uint32_t)(len / HT_DATA_PART_BYTES + 1);
	char *buf = malloc(HT_DATA_PART_BYTES + 1);

	for (uint32_t i = 0; buf && i < parts; i++) {
		Ht__ConfigData data = HT__CONFIG_DATA__INIT;
		size_t at = (size_t)i * HT_DATA_PART_BYTES;
		size_t n = len - at < HT_DATA_PART_BYTES ? len - at : HT_DATA_PART_BYTES;

		memcpy(buf, text + at, n);
		buf[n] = 0;
		data.version = c->current->version;
		data.change_id = c->current->change_id;
		data.added = &buf;
		data.n_added = 1;
		data.text_hash = ht_hash(text, len);
		data.part = i;
		data.parts = parts;
		send_data(c, peer, &data);
	}
	free(buf);
}

void ht_config_service_pull(struct ht_config_service *c, uint64_t peer, const Ht__ConfigPull *msg)
{
	uint64_t at = msg->have_version;

	if (!c->current || at >= c->current->version)
		return;
	/* The kept changes form a chain up to the version in force, unless one was too large. */
	for (size_t i = 0; i < c->kept_count; i++) {
		if (c->kept[i].from != at)
			continue;
		at = c->kept[i].to;
	}
	if (at != c->current->version) {
		send_whole(c, peer);
		return;
	}
	at = msg->have_version;
	for (size_t i = 0; i < c->kept_count; i++) {
		if (c->kept[i].from != at)
			continue;
		send_change(c, peer, &c->kept[i]);
		at = c->kept[i].to;
	}
}

static void reject(struct ht_config_service *c, uint64_t peer, uint64_t version, const char *why)
{
	c->env->emit(c->env, HT_EV_CONFIG_REJECTED, 0, 0, 0, peer, "version=%llu reason=%.60s",
		     (unsigned long long)version, why);
	c->want_whole = true;
}

/* Parses @text (freed here) and puts it in force. */
static void adopt_text(struct ht_config_service *c, uint64_t peer, const Ht__ConfigData *msg,
		       char *text)
{
	struct ht_config *cfg = ht_rules_reparse(c->current, text, strlen(text), NULL);

	free(text);
	if (!cfg) {
		reject(c, peer, msg->version, "does not parse");
		return;
	}
	cfg->version = msg->version;
	snprintf(cfg->change_id, sizeof(cfg->change_id), "%s", msg->change_id);
	ht_config_adopt(c, cfg, "peer");
	ht_config_put(cfg);
}

static void take_change(struct ht_config_service *c, uint64_t peer, const Ht__ConfigData *msg)
{
	struct ht_rules_diff diff = {
		.removed = msg->removed,
		.removed_count = msg->n_removed,
		.added = msg->added,
		.added_count = msg->n_added,
		.text_hash = msg->text_hash,
	};
	struct ht_err err;
	char *text;

	if (!c->current || msg->from_version != c->current->version)
		return;
	text = ht_rules_patch(c->current->text, &diff, &err);
	if (!text)
		reject(c, peer, msg->version, err.text);
	else
		adopt_text(c, peer, msg, text);
}

static bool append_part(struct ht_assembly *a, const char *part)
{
	size_t n = strlen(part);
	char *text = realloc(a->text, a->len + n + 1);

	if (!text)
		return false;
	memcpy(text + a->len, part, n + 1);
	a->text = text;
	a->len += n;
	a->next++;
	return true;
}

static void take_whole(struct ht_config_service *c, uint64_t peer, const Ht__ConfigData *msg)
{
	struct ht_assembly *a = &c->assembly;
	char *text;

	if (msg->n_added != 1 || msg->parts > HT_DATA_PARTS_MAX)
		return;
	if (msg->part == 0) {
		ht_config_free_assembly(c);
		a->peer = peer;
		a->version = msg->version;
		a->parts = msg->parts;
	}
	if (a->peer != peer || a->version != msg->version || a->next != msg->part ||
	    !append_part(a, msg->added[0]))
		return;
	/* The rest is on its way; to pull again would make the peer send all of it twice. */
	c->pull_until = c->env->now + HT_PULL_TIMEOUT_MS;
	if (a->next < a->parts)
		return;
	text = a->text;
	a->text = NULL;
	if (ht_hash(text, a->len) == msg->text_hash) {
		adopt_text(c, peer, msg, text);
	} else {
		reject(c, peer, msg->version, "hash differs");
		free(text);
	}
	ht_config_free_assembly(c);
}

void ht_config_service_data(struct ht_config_service *c, uint64_t peer, const Ht__ConfigData *msg)
{
	if (c->current && msg->version <= c->current->version)
		return;
	if (msg->from_version == 0)
		take_whole(c, peer, msg);
	else
		take_change(c, peer, msg);
}
