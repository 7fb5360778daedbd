#include "base/options.h"

#include "base/addr.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

static const char *const type_names[] = {
	[HT_OPT_INT] = "a whole number",	[HT_OPT_DOUBLE] = "a number",
	[HT_OPT_BOOL] = "true or false",	[HT_OPT_STRING] = "a string",
	[HT_OPT_ADDR] = "a string \"IP:PORT\"",
};

static bool has_type(const json_t *val, enum ht_option_type type)
{
	switch (type) {
	case HT_OPT_INT:
		return json_is_integer(val);
	case HT_OPT_DOUBLE:
		return json_is_number(val);
	case HT_OPT_BOOL:
		return json_is_boolean(val);
	case HT_OPT_STRING:
	case HT_OPT_ADDR:
		return json_is_string(val);
	}
	return false;
}

static bool in_range(const struct ht_option *opt, double v, struct ht_err *err)
{
	if (v >= opt->min && v <= opt->max)
		return true;
	return ht_err_set(err, HT_EINVAL, "key '%s': %g is outside %g to %g", opt->name, v,
			  opt->min, opt->max);
}

static bool store_string(const struct ht_option *opt, const char *s, char **field,
			 struct ht_err *err)
{
	double len = (double)strlen(s);

	if (len < opt->min || len > opt->max)
		return ht_err_set(err, HT_EINVAL, "key '%s': length %g is outside %g to %g",
				  opt->name, len, opt->min, opt->max);
	*field = strdup(s);
	return *field || ht_err_set(err, HT_ENOMEM, "key '%s': out of memory", opt->name);
}

static bool store(const struct ht_option *opt, const json_t *val, void *out, struct ht_err *err)
{
	void *field = (char *)out + opt->offset;

	if (!has_type(val, opt->type))
		return ht_err_set(err, HT_EINVAL, "key '%s': expected %s", opt->name,
				  type_names[opt->type]);
	switch (opt->type) {
	case HT_OPT_INT:
		*(int64_t *)field = json_integer_value(val);
		return in_range(opt, (double)json_integer_value(val), err);
	case HT_OPT_DOUBLE:
		*(double *)field = json_number_value(val);
		return in_range(opt, json_number_value(val), err);
	case HT_OPT_BOOL:
		*(bool *)field = json_is_true(val);
		return true;
	case HT_OPT_STRING:
		return store_string(opt, json_string_value(val), field, err);
	case HT_OPT_ADDR:
		if (ht_addr_parse(field, json_string_value(val), err))
			return true;
		return ht_err_prefix(err, "key '%s'", opt->name);
	}
	return false;
}

static json_t *default_value(const struct ht_option *opt)
{
	switch (opt->type) {
	case HT_OPT_INT:
		return json_integer(strtoll(opt->def, NULL, 10));
	case HT_OPT_DOUBLE:
		return json_real(strtod(opt->def, NULL));
	case HT_OPT_BOOL:
		return json_boolean(strcmp(opt->def, "true") == 0);
	case HT_OPT_STRING:
	case HT_OPT_ADDR:
		return json_string(opt->def);
	}
	return NULL;
}

static bool store_default(const struct ht_option *opt, void *out, struct ht_err *err)
{
	json_t *val;
	bool ok;

	if (opt->required)
		return ht_err_set(err, HT_EINVAL, "key '%s' is missing (%s)", opt->name, opt->help);
	if (!opt->def)
		return true;
	val = default_value(opt);
	ok = store(opt, val, out, err);
	json_decref(val);
	return ok;
}

static const struct ht_option *find(const struct ht_option *table, const char *name)
{
	for (const struct ht_option *opt = table; opt->name; opt++)
		if (strcmp(opt->name, name) == 0)
			return opt;
	return NULL;
}

static bool store_all(const struct ht_option *table, json_t *root, void *out, struct ht_err *err)
{
	const char *key;
	json_t *val;

	json_object_foreach(root, key, val)
	{
		if (!find(table, key))
			return ht_err_set(err, HT_EINVAL, "unknown key '%s'", key);
	}
	for (const struct ht_option *opt = table; opt->name; opt++) {
		val = json_object_get(root, opt->name);
		if (val ? !store(opt, val, out, err) : !store_default(opt, out, err))
			return false;
	}
	return true;
}

bool ht_options_load(const struct ht_option *table, const char *file, const char *text, size_t len,
		     void *out, struct ht_err *err)
{
	json_error_t jerr;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &jerr);
	bool ok;

	if (!root)
		return ht_err_set(err, HT_EINVAL, "%s:%d:%d: %s", file, jerr.line, jerr.column,
				  jerr.text);
	if (json_is_object(root))
		ok = store_all(table, root, out, err);
	else
		ok = ht_err_set(err, HT_EINVAL, "not a JSON object");
	json_decref(root);
	if (!ok) {
		ht_err_prefix(err, "%s", file);
		ht_options_clear(table, out);
	}
	return ok;
}

void ht_options_describe(const struct ht_option *table, FILE *out)
{
	for (const struct ht_option *opt = table; opt->name; opt++) {
		fprintf(out, "  %-20s %s: %s", opt->name, opt->help, type_names[opt->type]);
		if (opt->type == HT_OPT_INT || opt->type == HT_OPT_DOUBLE)
			fprintf(out, " from %.15g to %.15g", opt->min, opt->max);
		if (opt->required)
			fputs(", required", out);
		if (opt->def)
			fprintf(out, ", default %s", opt->def);
		fputc('\n', out);
	}
}

void ht_options_clear(const struct ht_option *table, void *out)
{
	for (const struct ht_option *opt = table; opt->name; opt++) {
		char **field = (char **)((char *)out + opt->offset);

		if (opt->type != HT_OPT_STRING)
			continue;
		free(*field);
		*field = NULL;
	}
}
