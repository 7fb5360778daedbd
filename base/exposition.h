/* Metrics as text in the Prometheus exposition format, version 0.0.4. */
#ifndef HT_BASE_EXPOSITION_H
#define HT_BASE_EXPOSITION_H

#include "base/histogram.h"

#include <stdio.h>

/** Content type of the text. */
#define HT_EXPOSITION_TYPE "text/plain; version=0.0.4"

/** A label; the list of a sample ends with a name of NULL. Values are escaped. */
struct ht_label {
	const char *name, *value;
};

/** Begins the samples of one metric; @type is "counter", "gauge", "histogram" or "summary". */
void ht_exposition_begin(FILE *out, const char *metric, const char *type, const char *help);
/** One sample of @metric; @suffix such as "_sum" or "", @labels may be NULL. */
void ht_exposition_sample(FILE *out, const char *metric, const char *suffix,
			  const struct ht_label *labels, double value);
/** All samples of one histogram; at most three labels. */
void ht_exposition_histogram(FILE *out, const char *metric, const struct ht_label *labels,
			     const struct ht_histogram *h);

#endif
