/* JSON forms of the objects config/head and config/parts/HASH. */
#include "base/hash.h"
#include "rules/internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

void ht_rules_head_clear(struct ht_rules_head *head)
{
	ht_rules_parts_clear(&head->parts);
	free(head->retired.items);
	*head = (struct ht_rules_head){0};
}

static json_t *parts_json(const struct ht_rules_parts *parts)
{
	json_t *list = json_array();

	for (size_t i = 0; i < parts->count; i++)
		json_array_append_new(list, json_pack("{ssss}", "service", parts->items[i].service,
						      "hash", parts->items[i].hash));
	return list;
}

static json_t *retired_json(const struct ht_rules_retired_list *retired)
{
	json_t *list = json_array();

	for (size_t i = 0; i < retired->count; i++) {
		const struct ht_rules_retired *r = &retired->items[i];

		json_array_append_new(list, json_pack("{sssssI}", "address", r->address, "service",
						      r->service, "ms", (json_int_t)r->at));
	}
	return list;
}

static json_t *recent_json(const struct ht_rules_head *head)
{
	json_t *list = json_array();

	for (size_t i = 0; i < head->recent_count; i++)
		json_array_append_new(list, json_string(head->recent[i]));
	return list;
}

char *ht_rules_head_format(const struct ht_rules_head *head)
{
	json_t *root = json_pack("{sI ss sI so so so}", "version", (json_int_t)head->version,
				 "change_id", head->change_id, "parent", (json_int_t)head->parent,
				 "parts", parts_json(&head->parts), "retired",
				 retired_json(&head->retired), "changes", recent_json(head));
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	return text;
}

/* Copies a string value that fits into @size bytes. */
static bool copy_string(const json_t *obj, const char *key, char *out, size_t size)
{
	const char *s = json_string_value(json_object_get(obj, key));

	if (!s || strlen(s) >= size)
		return false;
	memcpy(out, s, strlen(s) + 1);
	return true;
}

static bool copy_number(const json_t *obj, const char *key, uint64_t *out)
{
	const json_t *val = json_object_get(obj, key);

	if (!json_is_integer(val) || json_integer_value(val) < 0)
		return false;
	*out = (uint64_t)json_integer_value(val);
	return true;
}

static bool is_hash(const char *s)
{
	return strlen(s) == 16 && strspn(s, "0123456789abcdef") == 16;
}

static bool read_parts(const json_t *list, struct ht_rules_parts *parts)
{
	size_t n = json_array_size(list);

	if (!json_is_array(list))
		return false;
	parts->items = calloc(n + 1, sizeof(*parts->items));
	for (size_t i = 0; parts->items && i < n; i++) {
		struct ht_rules_part *part = &parts->items[i];
		const json_t *obj = json_array_get(list, i);

		if (!copy_string(obj, "service", part->service, sizeof(part->service)) ||
		    !copy_string(obj, "hash", part->hash, sizeof(part->hash)) ||
		    !is_hash(part->hash))
			return false;
		parts->count++;
	}
	return parts->items != NULL;
}

/* The list is optional: heads of earlier releases have none. */
static bool read_retired(const json_t *list, struct ht_rules_retired_list *retired)
{
	size_t n = json_array_size(list);

	retired->items = calloc(n + 1, sizeof(*retired->items));
	for (size_t i = 0; retired->items && i < n; i++) {
		struct ht_rules_retired *r = &retired->items[i];
		const json_t *obj = json_array_get(list, i);
		uint64_t at;

		if (!copy_string(obj, "address", r->address, sizeof(r->address)) ||
		    !copy_string(obj, "service", r->service, sizeof(r->service)) ||
		    !copy_number(obj, "ms", &at) || at > INT64_MAX / 2)
			return false;
		r->at = (ht_ms)at;
		retired->count++;
	}
	return retired->items != NULL;
}

/* Also optional; entries of another form are left out. */
static void read_recent(const json_t *list, struct ht_rules_head *head)
{
	for (size_t i = 0; i < json_array_size(list) && i < HT_RULES_RECENT; i++) {
		const char *id = json_string_value(json_array_get(list, i));

		if (id && strlen(id) < sizeof(head->recent[0]))
			memcpy(head->recent[head->recent_count++], id, strlen(id) + 1);
	}
}

bool ht_rules_head_parse(const char *json, size_t len, struct ht_rules_head *head,
			 struct ht_err *err)
{
	json_error_t jerr;
	json_t *root = json_loadb(json, len, 0, &jerr);
	bool ok;

	*head = (struct ht_rules_head){0};
	if (!root)
		return ht_err_set(err, HT_EINVAL, "config/head is not JSON: %s", jerr.text);
	ok = copy_number(root, "version", &head->version) &&
	     copy_number(root, "parent", &head->parent) &&
	     copy_string(root, "change_id", head->change_id, sizeof(head->change_id)) &&
	     read_parts(json_object_get(root, "parts"), &head->parts) &&
	     read_retired(json_object_get(root, "retired"), &head->retired);
	read_recent(json_object_get(root, "changes"), head);
	json_decref(root);
	if (ok)
		return true;
	ht_rules_head_clear(head);
	return ht_err_set(err, HT_EINVAL, "config/head does not have the expected form");
}

char *ht_rules_part_format(const struct ht_rules_part *part)
{
	json_t *root = json_pack("{ss}", "text", part->text);
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	return text;
}

bool ht_rules_part_parse(const char *json, size_t len, struct ht_rules_part *part,
			 struct ht_err *err)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	const char *text = json_string_value(json_object_get(root, "text"));
	char hash[HT_RULES_HASH_TEXT] = "";
	bool ok;

	if (text)
		snprintf(hash, sizeof(hash), "%016" PRIx64, ht_hash(text, strlen(text)));
	ok = text && strcmp(hash, part->hash) == 0;
	if (ok) {
		free(part->text);
		part->text = strdup(text);
		ok = part->text != NULL;
	}
	json_decref(root);
	return ok || ht_err_set(err, HT_EINVAL, "config/parts/%s: %s", part->hash,
				text ? "content has another hash" : "no text");
}
