/* Log lines of instances, read from files and put into an order that respects cause. */
#ifndef HT_CTL_LOGS_H
#define HT_CTL_LOGS_H

#include "ctl/ctl.h"

/** One line; its text belongs to the list. */
struct ht_log_line {
	char *text; /**< from "time=" on, without an end */
	char *process;
	char *flow;    /**< NULL for a line about no flow */
	guint stage;   /**< step of the flow, as far as the line tells */
	guint64 stamp; /**< logical clock */
	guint64 at;    /**< the same, moved after the stamps of its causes */
	guint order;   /**< in its input */
};

struct ht_log_lines {
	GPtrArray *list; /**< of struct ht_log_line */
	guint ignored;	 /**< lines without the form of a log line */
};

void ht_log_lines_init(struct ht_log_lines *lines);
void ht_log_lines_clear(struct ht_log_lines *lines);

/** Adds the lines of @in. What precedes "time=" in a line is skipped. */
void ht_log_lines_read(struct ht_log_lines *lines, FILE *in);

/**
 * Orders by logical clock. Lines of one instance keep their order; packets of a flow come in the
 * order in which its caller sent them, also where the clocks of two instances say otherwise.
 */
void ht_log_lines_sort(struct ht_log_lines *lines);

/** Value of field @key, or NULL; to be freed with g_free(). */
char *ht_log_line_field(const char *text, const char *key);

/** Prints the lines of the files in @ctl->log that pass its filters. */
int ht_ctl_log_timeline(struct ht_ctl *ctl);

#endif
