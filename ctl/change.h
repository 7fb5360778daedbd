/* A change of the accepted configuration, from the check to its settled outcome. */
#ifndef HT_CTL_CHANGE_H
#define HT_CTL_CHANGE_H

#include "ctl/accepted.h"

struct ht_ctl_change {
	const char *source;  /**< name for messages: the file, or "rules" */
	const char *checked; /**< text as in the file, for places in messages */
	char *text;	     /**< rules to accept, without the base line; owned */
	bool silent_loss;    /**< print nothing when the race is lost: the caller tries again */
	uint64_t base;	     /**< version that the text was edited from; 0 when not known */
	uint64_t version;    /**< of the change */
	char change_id[40];
	struct ht_rules_head head; /**< that the change writes; its parts have texts */
	struct ht_rules_diff diff; /**< to the accepted rules */
};

/** Takes a rules text of an operator; a base line at its start becomes @base. */
void ht_ctl_change_init(struct ht_ctl_change *c, const char *source, const char *text);
void ht_ctl_change_clear(struct ht_ctl_change *c);

/**
 * Checks the text and makes it the accepted configuration. Returns an exit status and prints the
 * result; @c keeps version, change id and difference.
 */
int ht_ctl_change_run(struct ht_ctl *ctl, struct ht_ctl_change *c);

/** First line of a text that `show` prints and `apply` reads: "# base version N". */
#define HT_CTL_BASE_LINE "# base version "

/** Prints the faults of a text in the chosen form; returns HT_CTL_USAGE. */
int ht_ctl_print_faults(struct ht_ctl *ctl, const char *source,
			const struct ht_rules_errors *errors);

/** A difference as JSON: {"removed":[LINE],"added":[LINE]}. */
json_t *ht_ctl_diff_json(const struct ht_rules_diff *diff);

#endif
