/* Writes metrics in the Prometheus text exposition format, version 0.0.4. */
#ifndef HT_BASE_EXPOSITION_H
#define HT_BASE_EXPOSITION_H

#include "base/histogram.h"

#include <stdio.h>

/** HTTP content type of the format. */
#define HT_EXPOSITION_TYPE "text/plain; version=0.0.4"

/** A label. Lists of labels end with a NULL name. Values are escaped when they are written. */
struct ht_label {
	const char *name, *value;
};

/** Writes the HELP and TYPE lines; @type is "counter", "gauge", "histogram" or "summary". */
void ht_exposition_begin(FILE *out, const char *metric, const char *type, const char *help);
/** Writes one sample of @metric. @suffix is "" or, for example, "_sum"; @labels may be NULL. */
void ht_exposition_sample(FILE *out, const char *metric, const char *suffix,
			  const struct ht_label *labels, double value);
/** Writes all samples of one histogram. Only the first three labels are used. */
void ht_exposition_histogram(FILE *out, const char *metric, const struct ht_label *labels,
			     const struct ht_histogram *h);

#endif
