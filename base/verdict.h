/* Whether a target has processed a request. */
#ifndef HT_BASE_VERDICT_H
#define HT_BASE_VERDICT_H

enum ht_verdict {
	HT_NOT_RUN = 0,	     /**< proven: no target has started it */
	HT_MAY_HAVE_RUN = 1, /**< sent to a target, but no answer shows whether it ran */
	HT_RAN = 2,	     /**< a target answered it */
};

/** Returns "not-run", "may-have-run" or "ran". */
static inline const char *ht_verdict_name(enum ht_verdict v)
{
	switch (v) {
	case HT_NOT_RUN:
		return "not-run";
	case HT_MAY_HAVE_RUN:
		return "may-have-run";
	case HT_RAN:
		return "ran";
	}
	return "invalid";
}

#endif
