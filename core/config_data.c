/* Transfer of configurations between instances, as deltas of lines or as the full text in parts. */
#include "base/hash.h"
#include "core/config_service.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void clear_delta(struct ht_config_delta *k)
{
	ht_rules_diff_clear(&k->diff);
	*k = (struct ht_config_delta){0};
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

void ht_config_save_delta(struct ht_config_service *c, const struct ht_config *next)
{
	struct ht_config_delta k = {.to = next->version};

	if (!c->current)
		return;
	k.from = c->current->version;
	snprintf(k.change_id, sizeof(k.change_id), "%s", next->change_id);
	if (!ht_rules_diff(c->current->text, next->text, &k.diff))
		return;
	/* A delta that fills a message costs as much as the full text. */
	if (diff_bytes(&k.diff) > HT_DATA_PART_BYTES) {
		clear_delta(&k);
		return;
	}
	if (c->delta_count == HT_CONFIG_DELTAS) {
		clear_delta(&c->deltas[0]);
		memmove(c->deltas, c->deltas + 1, (HT_CONFIG_DELTAS - 1) * sizeof(c->deltas[0]));
		c->delta_count--;
	}
	c->deltas[c->delta_count++] = k;
}

void ht_config_free_deltas(struct ht_config_service *c)
{
	for (size_t i = 0; i < c->delta_count; i++)
		clear_delta(&c->deltas[i]);
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

static void send_delta(struct ht_config_service *c, uint64_t peer, struct ht_config_delta *k)
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

static void send_full_text(struct ht_config_service *c, uint64_t peer)
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
	/* The deltas form a chain up to the current version, unless one was too large to keep. */
	for (size_t i = 0; i < c->delta_count; i++) {
		if (c->deltas[i].from != at)
			continue;
		at = c->deltas[i].to;
	}
	if (at != c->current->version) {
		send_full_text(c, peer);
		return;
	}
	at = msg->have_version;
	for (size_t i = 0; i < c->delta_count; i++) {
		if (c->deltas[i].from != at)
			continue;
		send_delta(c, peer, &c->deltas[i]);
		at = c->deltas[i].to;
	}
}

static void reject(struct ht_config_service *c, uint64_t peer, uint64_t version, const char *why)
{
	c->env->emit(c->env, HT_EV_CONFIG_REJECTED, 0, 0, 0, peer, "version=%llu reason=%.60s",
		     (unsigned long long)version, why);
	c->want_full_text = true;
}

/* Parses @text, which is freed here, and puts it into use. */
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

static void apply_delta(struct ht_config_service *c, uint64_t peer, const Ht__ConfigData *msg)
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

static void receive_part(struct ht_config_service *c, uint64_t peer, const Ht__ConfigData *msg)
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
	/* The remaining parts follow; another pull would make the peer send the full text twice. */
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
		receive_part(c, peer, msg);
	else
		apply_delta(c, peer, msg);
}
