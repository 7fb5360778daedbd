#include "base/exposition.h"

/* Labels of a histogram, its "le" and the end of the list. */
#define LABELS_MAX 5

void ht_exposition_begin(FILE *out, const char *metric, const char *type, const char *help)
{
	fprintf(out, "# HELP %s %s\n# TYPE %s %s\n", metric, help, metric, type);
}

static void put_value(FILE *out, const char *text)
{
	for (; *text; text++) {
		if (*text == '\n') {
			fputs("\\n", out);
			continue;
		}
		if (*text == '"' || *text == '\\')
			fputc('\\', out);
		fputc(*text, out);
	}
}

void ht_exposition_sample(FILE *out, const char *metric, const char *suffix,
			  const struct ht_label *labels, double value)
{
	const char *before = "{";

	fprintf(out, "%s%s", metric, suffix);
	for (; labels && labels->name; labels++) {
		fprintf(out, "%s%s=\"", before, labels->name);
		put_value(out, labels->value);
		fputc('"', out);
		before = ",";
	}
	fprintf(out, "%s %.10g\n", before[0] == ',' ? "}" : "", value);
}

void ht_exposition_histogram(FILE *out, const char *metric, const struct ht_label *labels,
			     const struct ht_histogram *h)
{
	struct ht_label with_end[LABELS_MAX] = {{0}};
	uint64_t below = 0;
	char end[24];
	size_t n = 0;

	for (; labels && labels[n].name && n < LABELS_MAX - 2; n++)
		with_end[n] = labels[n];
	with_end[n] = (struct ht_label){.name = "le", .value = end};
	for (size_t i = 0; i < h->ranges->count; i++) {
		below += h->counts[i];
		snprintf(end, sizeof(end), "%g", h->ranges->ends[i]);
		ht_exposition_sample(out, metric, "_bucket", with_end, (double)below);
	}
	snprintf(end, sizeof(end), "+Inf");
	ht_exposition_sample(out, metric, "_bucket", with_end, (double)h->count);
	ht_exposition_sample(out, metric, "_sum", labels, h->sum);
	ht_exposition_sample(out, metric, "_count", labels, (double)h->count);
}
