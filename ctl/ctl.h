/* hickoryctl: the operators' command. */
#ifndef HT_CTL_CTL_H
#define HT_CTL_CTL_H

#include "platform/client.h"
#include "rules/rules.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

/** Exit statuses. */
enum ht_ctl_exit {
	HT_CTL_DONE = 0,
	HT_CTL_FAILED = 1,
	HT_CTL_USAGE = 2,   /**< bad usage or bad input */
	HT_CTL_LOST = 3,    /**< lost a race; nothing was changed */
	HT_CTL_UNKNOWN = 4, /**< outcome not known after reading back */
	HT_CTL_PARTIAL = 5, /**< some processes not reached */
};

/** One run of the command: its options and where it writes. */
struct ht_ctl {
	FILE *out;
	FILE *err;
	struct ht_platform *client; /**< NULL without --platform */
	char *platform;
	gboolean json;
	gboolean help;
	gboolean version;
	gboolean replace_damaged; /**< take unreadable accepted rules for none */
	char **admin;		  /**< admin addresses named instead of the platform's list */
	char **log;		  /**< files with log lines, "-" for standard input */
	char *comment;
	char *flow;
	char *request;
	char *target;
	char *instance;
	int number;
};

/** Time limit of a platform call, in ms; a slow store is waited for rather than reported as a
 * failure. */
#define HT_CTL_PLATFORM_TIMEOUT 10000

/** Time limit of a call to one instance, in ms. */
#define HT_CTL_INSTANCE_TIMEOUT 2000

/** Runs the command line and returns the exit status. */
int ht_ctl_main(int argc, char **argv, FILE *out, FILE *err);

/** A command; @run gets the arguments behind its name. */
struct ht_ctl_command {
	const char *name;
	const char *arguments;
	const char *summary;
	const char *description; /**< what it does, exit statuses, examples */
	const char *options;	 /**< names of its own options, each between blanks */
	int min_args, max_args;
	bool needs_platform;
	int (*run)(struct ht_ctl *ctl, char **argv);
};

/** All commands; the last row has no name. */
extern const struct ht_ctl_command ht_ctl_commands[];

int ht_ctl_check(struct ht_ctl *ctl, char **argv);
int ht_ctl_diff(struct ht_ctl *ctl, char **argv);
int ht_ctl_apply(struct ht_ctl *ctl, char **argv);
int ht_ctl_show(struct ht_ctl *ctl, char **argv);
int ht_ctl_status(struct ht_ctl *ctl, char **argv);
int ht_ctl_drain(struct ht_ctl *ctl, char **argv);
int ht_ctl_evacuate(struct ht_ctl *ctl, char **argv);
int ht_ctl_end_evacuation(struct ht_ctl *ctl, char **argv);
int ht_ctl_timeline(struct ht_ctl *ctl, char **argv);
int ht_ctl_explain(struct ht_ctl *ctl, char **argv);

/** Prints "hickoryctl: MESSAGE" to the error stream and returns @status. */
int ht_ctl_fail(struct ht_ctl *ctl, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** Logs a numbered event to standard error. */
void ht_ctl_event(enum ht_event_number number, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Prints @root as JSON and releases it. */
void ht_ctl_print_json(struct ht_ctl *ctl, json_t *root);

#endif
