#include "base/exposition.h"

/* Three labels of a histogram, the "le" label and the end of the list. */
#define LABELS_MAX 5

void ht_exposition_begin(FILE *out, const char *metric, const char *type, const char *help)
{
	fprintf(out, "# HELP %s %s\n# TYPE %s %s\n", metric, help, metric, type);
}

static void put_escaped(FILE *out, const char *text)
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
	const char *separator = "{";

	fprintf(out, "%s%s", metric, suffix);
	for (; labels && labels->name; labels++) {
		fprintf(out, "%s%s=\"", separator, labels->name);
		put_escaped(out, labels->value);
		fputc('"', out);
		separator = ",";
	}
	fprintf(out, "%s %.10g\n", separator[0] == ',' ? "}" : "", value);
}

void ht_exposition_histogram(FILE *out, const char *metric, const struct ht_label *labels,
			     const struct ht_histogram *h)
{
	struct ht_label with_le[LABELS_MAX] = {{0}};
	uint64_t cumulative = 0;
	char le[24];
	size_t n = 0;

	for (; labels && labels[n].name && n < LABELS_MAX - 2; n++)
		with_le[n] = labels[n];
	with_le[n] = (struct ht_label){.name = "le", .value = le};
	for (size_t i = 0; i < h->ranges->count; i++) {
		cumulative += h->counts[i];
		snprintf(le, sizeof(le), "%g", h->ranges->ends[i]);
		ht_exposition_sample(out, metric, "_bucket", with_le, (double)cumulative);
	}
	snprintf(le, sizeof(le), "+Inf");
	ht_exposition_sample(out, metric, "_bucket", with_le, (double)h->count);
	ht_exposition_sample(out, metric, "_sum", labels, h->sum);
	ht_exposition_sample(out, metric, "_count", labels, (double)h->count);
}
