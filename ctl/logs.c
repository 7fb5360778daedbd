#include "ctl/logs.h"

#include <errno.h>
#include <string.h>

/* Opening packets and their copies come first in a flow; the caller marks all later ones. */
#define STAGE_MARKED 100

/* Rounds in which stamps are moved after those of their causes. Each round carries a shift from one
 * instance to another; a flow crosses few. */
#define ROUNDS_MAX 16

void ht_log_lines_init(struct ht_log_lines *lines)
{
	*lines = (struct ht_log_lines){.list = g_ptr_array_new()};
}

void ht_log_lines_clear(struct ht_log_lines *lines)
{
	for (guint i = 0; i < lines->list->len; i++) {
		struct ht_log_line *line = g_ptr_array_index(lines->list, i);

		g_free(line->text);
		g_free(line->process);
		g_free(line->flow);
		g_free(line);
	}
	g_ptr_array_free(lines->list, TRUE);
}

/* Start of the value of @key, or NULL. */
static const char *find_field(const char *text, const char *key)
{
	size_t len = strlen(key);
	bool quoted = false;

	for (const char *p = text; *p; p++) {
		if (*p == '"')
			quoted = !quoted;
		if ((p == text || p[-1] == ' ') && !quoted && strncmp(p, key, len) == 0 &&
		    p[len] == '=')
			return p + len + 1;
	}
	return NULL;
}

char *ht_log_line_field(const char *text, const char *key)
{
	const char *value = find_field(text, key);

	if (!value)
		return NULL;
	if (*value == '"')
		return g_strndup(value + 1, strcspn(value + 1, "\""));
	return g_strndup(value, strcspn(value, " "));
}

static guint64 field_number(const char *text, const char *key)
{
	const char *value = find_field(text, key);

	return value ? g_ascii_strtoull(value, NULL, 10) : 0;
}

static bool read_stamp(const char *text, guint64 *stamp)
{
	char *value = ht_log_line_field(text, "time");
	GDateTime *time = value ? g_date_time_new_from_iso8601(value, NULL) : NULL;
	gint64 ms;

	g_free(value);
	if (!time || !find_field(text, "tick")) {
		if (time)
			g_date_time_unref(time);
		return false;
	}
	ms = g_date_time_to_unix(time) * 1000 + g_date_time_get_microsecond(time) / 1000;
	g_date_time_unref(time);
	*stamp = ((guint64)ms << 16) + field_number(text, "tick");
	return true;
}

static guint stage_of(const char *text)
{
	char *step = ht_log_line_field(text, "step");
	bool opening = find_field(text, "copy") && (!step || strcmp(step, "unanswered") == 0);

	g_free(step);
	return opening ? (guint)field_number(text, "copy") : STAGE_MARKED;
}

static struct ht_log_line *parse(const char *text)
{
	const char *start = strstr(text, "time=");
	struct ht_log_line *line;
	guint64 stamp;
	char *process;

	if (!start || !read_stamp(start, &stamp))
		return NULL;
	process = ht_log_line_field(start, "instance");
	if (!process)
		return NULL;
	line = g_new0(struct ht_log_line, 1);
	line->text = g_strchomp(g_strdup(start));
	line->process = process;
	line->flow = ht_log_line_field(start, "flow");
	line->stage = stage_of(start);
	line->stamp = stamp;
	line->at = stamp;
	return line;
}

void ht_log_lines_read(struct ht_log_lines *lines, FILE *in)
{
	char *text = NULL;
	size_t size = 0;

	while (getline(&text, &size, in) >= 0) {
		struct ht_log_line *line = parse(text);

		if (!line) {
			lines->ignored++;
			continue;
		}
		line->order = lines->list->len;
		g_ptr_array_add(lines->list, line);
	}
	free(text);
}

static int compare_order(const struct ht_log_line *x, const struct ht_log_line *y)
{
	return (x->order > y->order) - (x->order < y->order);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct ht_log_line *x = *(struct ht_log_line *const *)a;
	const struct ht_log_line *y = *(struct ht_log_line *const *)b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return compare_order(x, y);
}

static gint by_process(gconstpointer a, gconstpointer b)
{
	const struct ht_log_line *x = *(struct ht_log_line *const *)a;
	const struct ht_log_line *y = *(struct ht_log_line *const *)b;
	int c = strcmp(x->process, y->process);

	return c ? c : compare_order(x, y);
}

static gint by_flow(gconstpointer a, gconstpointer b)
{
	const struct ht_log_line *x = *(struct ht_log_line *const *)a;
	const struct ht_log_line *y = *(struct ht_log_line *const *)b;
	int c = strcmp(x->flow, y->flow);

	if (c)
		return c;
	return x->stage != y->stage ? (x->stage > y->stage) - (x->stage < y->stage) : by_time(a, b);
}

static bool move_after(struct ht_log_line *line, guint64 at)
{
	if (line->at > at)
		return false;
	line->at = at + 1;
	return true;
}

/* Lines of one instance were written one after the other, whatever its clock did. */
static bool order_process(const GPtrArray *list)
{
	bool moved = false;

	for (guint i = 1; i < list->len; i++) {
		const struct ht_log_line *before = g_ptr_array_index(list, i - 1);
		struct ht_log_line *line = g_ptr_array_index(list, i);

		if (strcmp(before->process, line->process) == 0)
			moved |= move_after(line, before->at);
	}
	return moved;
}

/* Lines of one flow at a later stage come after all of earlier stages. */
static bool order_flows(const GPtrArray *list)
{
	guint64 earlier = 0, latest = 0; /* of earlier stages, and so far */
	const struct ht_log_line *before = NULL;
	bool moved = false;

	for (guint i = 0; i < list->len; i++) {
		struct ht_log_line *line = g_ptr_array_index(list, i);

		if (!before || strcmp(before->flow, line->flow) != 0)
			earlier = latest = 0;
		else if (before->stage != line->stage)
			earlier = latest;
		if (earlier)
			moved |= move_after(line, earlier);
		if (line->at > latest)
			latest = line->at;
		before = line;
	}
	return moved;
}

static GPtrArray *lines_of_flows(const GPtrArray *list)
{
	GPtrArray *flows = g_ptr_array_new();

	for (guint i = 0; i < list->len; i++) {
		struct ht_log_line *line = g_ptr_array_index(list, i);

		if (line->flow)
			g_ptr_array_add(flows, line);
	}
	g_ptr_array_sort(flows, by_flow);
	return flows;
}

void ht_log_lines_sort(struct ht_log_lines *lines)
{
	GPtrArray *flows = lines_of_flows(lines->list);

	g_ptr_array_sort(lines->list, by_process);
	for (int i = 0; i < ROUNDS_MAX; i++) {
		bool moved = order_process(lines->list);

		if (!order_flows(flows) && !moved)
			break;
	}
	g_ptr_array_free(flows, TRUE);
	g_ptr_array_sort(lines->list, by_time);
}

static bool has_value(const char *text, const char *key, const char *want)
{
	char *value;
	bool same;

	if (!want)
		return true;
	value = ht_log_line_field(text, key);
	same = value && strcmp(value, want) == 0;
	g_free(value);
	return same;
}

static bool passes(const struct ht_ctl *ctl, const char *text)
{
	if (ctl->number && field_number(text, "event") != (guint64)ctl->number)
		return false;
	return has_value(text, "flow", ctl->flow) && has_value(text, "target", ctl->target) &&
	       has_value(text, "instance", ctl->instance);
}

/* All fields of a line as strings. */
static json_t *to_json(const char *text)
{
	json_t *fields = json_object();

	while (*text) {
		size_t key_len = strcspn(text, "= "), len;
		const char *value = text + key_len + 1;

		if (text[key_len] != '=') {
			text += key_len + (text[key_len] != '\0');
			continue;
		}
		if (*value == '"') {
			value++;
			len = strcspn(value, "\"");
		} else {
			len = strcspn(value, " ");
		}
		json_object_setn_new_nocheck(fields, text, key_len, json_stringn(value, len));
		text = value + len;
		text += *text == '"';
		text += *text == ' ';
	}
	return fields;
}

static void print(struct ht_ctl *ctl, const struct ht_log_lines *lines)
{
	json_t *list = json_array();

	for (guint i = 0; i < lines->list->len; i++) {
		const struct ht_log_line *line = g_ptr_array_index(lines->list, i);

		if (!passes(ctl, line->text))
			continue;
		if (ctl->json)
			json_array_append_new(list, to_json(line->text));
		else
			fprintf(ctl->out, "%s\n", line->text);
	}
	if (ctl->json)
		ht_ctl_print_json(
			ctl, json_pack("{sOsi}", "lines", list, "ignored", (int)lines->ignored));
	json_decref(list);
}

int ht_ctl_log_timeline(struct ht_ctl *ctl)
{
	int status = HT_CTL_DONE;
	struct ht_log_lines lines;

	ht_log_lines_init(&lines);
	for (char **name = ctl->log; *name && status == HT_CTL_DONE; name++) {
		FILE *in = strcmp(*name, "-") == 0 ? stdin : fopen(*name, "r");

		if (!in) {
			status = ht_ctl_fail(ctl, HT_CTL_USAGE, "--log %s: %s", *name,
					     strerror(errno));
			break;
		}
		ht_log_lines_read(&lines, in);
		if (in != stdin)
			fclose(in);
	}
	if (status == HT_CTL_DONE) {
		ht_log_lines_sort(&lines);
		print(ctl, &lines);
	}
	ht_log_lines_clear(&lines);
	return status;
}
