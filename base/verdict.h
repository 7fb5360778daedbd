/* Whether a request may have run at a target. */
#ifndef HT_BASE_VERDICT_H
#define HT_BASE_VERDICT_H

enum ht_verdict {
	HT_NOT_RUN = 0,	     /**< provably never started at any target */
	HT_MAY_HAVE_RUN = 1, /**< sent, and no answer proves either outcome */
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
