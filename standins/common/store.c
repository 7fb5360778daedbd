#include "standins/common/store.h"

#include <string.h>

static void free_object(void *ptr)
{
	struct ht_si_object *obj = ptr;

	json_decref(obj->value);
	g_free(obj);
}

void ht_si_store_init(struct ht_si_store *st)
{
	*st = (struct ht_si_store){.revision = 1};
	st->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
	st->instances = json_array();
	st->calls = json_object();
}

void ht_si_store_clear(struct ht_si_store *st)
{
	g_hash_table_destroy(st->objects);
	json_decref(st->instances);
	json_decref(st->calls);
}

struct ht_si_object *ht_si_store_get(struct ht_si_store *st, const char *name)
{
	return g_hash_table_lookup(st->objects, name);
}

static struct ht_si_object *set_object(struct ht_si_store *st, const char *name, int64_t version,
				       json_t *value)
{
	struct ht_si_object *obj = ht_si_store_get(st, name);

	if (!obj) {
		obj = g_new0(struct ht_si_object, 1);
		g_hash_table_insert(st->objects, g_strdup(name), obj);
	}
	json_decref(obj->value);
	obj->version = version;
	obj->value = value;
	return obj;
}

struct ht_si_object *ht_si_store_put(struct ht_si_store *st, const char *name, int64_t if_version,
				     json_t *value, bool *done)
{
	struct ht_si_object *obj = ht_si_store_get(st, name);

	*done = if_version == (obj ? obj->version : 0);
	if (*done)
		return set_object(st, name, if_version + 1, value);
	json_decref(value);
	return obj;
}

void ht_si_store_force(struct ht_si_store *st, const char *name, int64_t version, json_t *value)
{
	set_object(st, name, version, value);
}

void ht_si_store_publish(struct ht_si_store *st, json_t *instances)
{
	json_decref(st->instances);
	st->instances = instances;
	st->revision++;
}

bool ht_si_store_knobs(struct ht_si_store *st, json_t *knobs)
{
	const char *key;
	json_t *val;

	json_object_foreach(knobs, key, val)
	{
		if (strcmp(key, "down") == 0 && json_is_boolean(val))
			st->down = json_is_true(val);
		else if (strcmp(key, "delay_ms") == 0 && json_is_integer(val))
			st->delay_ms = json_integer_value(val);
		else if (strcmp(key, "lose_write_answers") == 0 && json_is_integer(val))
			st->lose_write_answers = json_integer_value(val);
		else if (strcmp(key, "list_lag_ms") == 0 && json_is_integer(val))
			st->list_lag_ms = json_integer_value(val);
		else
			return false;
	}
	return json_is_object(knobs);
}

void ht_si_store_count(struct ht_si_store *st, const char *kind, const char *path)
{
	char *key = g_strdup_printf("%s %s", kind, path);
	json_int_t n = json_integer_value(json_object_get(st->calls, key));

	json_object_set_new(st->calls, key, json_integer(n + 1));
	g_free(key);
}
