/* The page that says where this instance would send a new flow now, and why. */
#ifndef HT_ENTRY_EXPLAIN_H
#define HT_ENTRY_EXPLAIN_H

#include "base/err.h"
#include "core/explain.h"

#include <stdio.h>

/** Path of the page at the metrics address; the query names the flow. */
#define HT_EXPLAIN_PATH "/explain"

/** Addresses of a flow. */
struct ht_explain_query {
	struct ht_endpoint from, to;
};

/**
 * Reads "from=IP:PORT&to=IP:PORT", in either order, with IPv4 addresses. Returns false with @err
 * (HT_EINVAL) set otherwise.
 */
bool ht_explain_parse(struct ht_explain_query *query, const char *text, struct ht_err *err);

/** Writes the explanation of the decision on a new flow as plain text. Changes nothing. */
void ht_explain_write(const struct ht_steering *st, const struct ht_explain_query *query, FILE *out,
		      ht_ms now);

#endif
