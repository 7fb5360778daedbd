/* Settings of hickorytrestle-entry: a JSON file generated from deploy/settings.tmpl. */
#ifndef HT_ENTRY_SETTINGS_H
#define HT_ENTRY_SETTINGS_H

#include "base/addr.h"
#include "base/clock.h"
#include "core/admission.h"

#include <stdio.h>

struct ht_entry_settings {
	char *instance;
	char *data_centre;
	struct ht_addr packet_address; /**< UDP: routers, targets and callers */
	struct ht_addr ready_address;  /**< TCP: readiness checks of the routers */
	struct ht_addr store_address;
	struct ht_addr peer_address; /**< UDP and TCP: other instances */
	char *seeds;	   /**< "IP:PORT,..." of a few instances; the own peer port is used */
	double core_share; /**< processor cores that this instance may use */
	struct ht_addr metrics_address; /**< TCP; optional, no metrics are served without it */
	char *log_level;
	double log_lines, log_bytes;		 /**< per second, over all events */
	double log_event_lines, log_event_bytes; /**< per second, for each event number */
	double log_sample;  /**< ordinary steps are logged for one flow in this many; 0: for none */
	double drain_bound; /**< ms until an accepted change of a target takes effect here */
	double config_bound;	 /**< ms until an accepted configuration takes effect here */
	double evacuation_bound; /**< ms until an accepted evacuation takes effect here; 0: not read
				  */
	double warmup_overage;	 /**< multiple of its stated rate that a cold target gets... */
	double warmup_slack;	 /**< ...and requests per second besides */
	double report_interval;	 /**< ms between two reports of a target to the store */
	double stop_grace_s;	 /**< s from the stop signal until the process is killed */
	double flow_max_s;	 /**< s; older flows may be dropped */
	bool overload_control;	 /**< load is exchanged and plans are made */
	/* Parameters of the plans, see struct ht_admission_params. */
	double admission_begin, admission_end; /**< requests in flight per slot */
	double admission_shed;		       /**< share of responses */
	int64_t admission_updates;
	double admission_depth;	  /**< requests in flight per slot */
	double admission_horizon; /**< ms */
	double admission_turn;	  /**< ms */
};

/**
 * Parses and checks @text; errors name @file. The settings are to be cleared only after success.
 */
bool ht_entry_settings_parse(struct ht_entry_settings *set, const char *file, const char *text,
			     size_t len, struct ht_err *err);
bool ht_entry_settings_load(struct ht_entry_settings *set, const char *path, struct ht_err *err);
void ht_entry_settings_clear(struct ht_entry_settings *set);
/** Parameters of the plans by the settings. */
struct ht_admission_params ht_entry_settings_admission(const struct ht_entry_settings *set);
void ht_entry_settings_describe(FILE *out);

#endif
