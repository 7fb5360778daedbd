#include "entry/settings.h"

#include "base/event.h"
#include "base/file.h"
#include "base/options.h"

#include <stdlib.h>
#include <string.h>

#define SETTINGS_MAX ((size_t)64 * 1024)

/* The value of a macro as text. */
#define TEXT_OF(x) #x
#define TEXT(x) TEXT_OF(x)

#define FIELD(f) .name = #f, .offset = offsetof(struct ht_entry_settings, f)

static const struct ht_option table[] = {
	{FIELD(instance), .type = HT_OPT_STRING, .required = true, .min = 1, .max = 63,
	 .help = "name of this instance"},
	{FIELD(data_centre), .type = HT_OPT_STRING, .required = true, .min = 1, .max = 63,
	 .help = "data centre of this instance"},
	{FIELD(packet_address), .type = HT_OPT_ADDR, .required = true,
	 .help = "UDP address for packets of callers"},
	{FIELD(ready_address), .type = HT_OPT_ADDR, .required = true,
	 .help = "TCP address for readiness checks of the routers"},
	{FIELD(store_address), .type = HT_OPT_ADDR, .required = true,
	 .help = "address of the platform's store"},
	{FIELD(peer_address), .type = HT_OPT_ADDR, .required = true,
	 .help = "UDP and TCP address for other instances"},
	{FIELD(seeds), .type = HT_OPT_STRING, .max = 1024, .def = "",
	 .help = "comma-separated addresses of a few instances"},
	{FIELD(core_share), .type = HT_OPT_DOUBLE, .min = 0.001, .max = 1024, .def = "1",
	 .help = "processor cores that this instance may use; larger instances read the store for "
		 "smaller ones"},
	{FIELD(metrics_address), .type = HT_OPT_ADDR,
	 .help = "TCP address for metrics in text format, path /metrics"},
	{FIELD(log_level), .type = HT_OPT_STRING, .min = 1, .max = 16, .def = "info",
	 .help = "error, warn, notice, info or debug"},
	{FIELD(log_lines), .type = HT_OPT_DOUBLE, .min = 1, .max = 100000, .def = "40",
	 .help = "log lines per second; info and debug may use half of them at most"},
	{FIELD(log_bytes), .type = HT_OPT_DOUBLE, .min = 100, .max = 1e8, .def = "16000",
	 .help = "log bytes per second"},
	{FIELD(log_event_lines), .type = HT_OPT_DOUBLE, .min = 1, .max = 100000, .def = "15",
	 .help = "log lines per second of one event number"},
	{FIELD(log_event_bytes), .type = HT_OPT_DOUBLE, .min = 100, .max = 1e8, .def = "6000",
	 .help = "log bytes per second of one event number"},
	{FIELD(log_sample), .type = HT_OPT_DOUBLE, .min = 0, .max = 1e9, .def = "64",
	 .help = "ordinary steps are logged for one flow in this many; 0 for none"},
	{FIELD(drain_bound), .type = HT_OPT_DOUBLE, .min = 2000, .max = 600000, .def = "3000",
	 .help = "time until a change of a target takes effect, ms"},
	{FIELD(config_bound), .type = HT_OPT_DOUBLE, .min = 2000, .max = 600000, .def = "3000",
	 .help = "time until an accepted configuration takes effect, ms"},
	{FIELD(evacuation_bound), .type = HT_OPT_DOUBLE, .max = 600000, .def = "0",
	 .help = "time until the evacuation of a data centre takes effect, ms; 0: none is read"},
	{FIELD(warmup_overage), .type = HT_OPT_DOUBLE, .max = 1000, .def = "1",
	 .help = "a cold target gets this multiple of the rate that its service states"},
	{FIELD(warmup_slack), .type = HT_OPT_DOUBLE, .max = 1000000, .def = "0",
	 .help = "requests per second that a cold target gets besides"},
	{FIELD(report_interval), .type = HT_OPT_DOUBLE, .min = 100, .max = 600000, .def = "1200",
	 .help = "interval at which targets write to the store, ms"},
	{FIELD(stop_grace_s), .type = HT_OPT_DOUBLE, .min = 1, .max = 3600, .def = "6",
	 .help = "time from the stop signal until the process is killed, s"},
	{FIELD(flow_max_s), .type = HT_OPT_DOUBLE, .min = 1, .max = 86400, .def = "60",
	 .help = "longest lifetime of a flow, s"},
	{FIELD(overload_control), .type = HT_OPT_BOOL, .def = "true",
	 .help = "exchange load with other instances, and admit new flows by a plan while capacity "
		 "is short"},
	{FIELD(admission_begin), .type = HT_OPT_DOUBLE, .min = 0.1, .max = 100,
	 .def = TEXT(HT_ADMISSION_BEGIN),
	 .help = "requests in flight per slot at which capacity is short"},
	{FIELD(admission_end), .type = HT_OPT_DOUBLE, .min = 0.1, .max = 100,
	 .def = TEXT(HT_ADMISSION_END),
	 .help = "requests in flight per slot below which capacity is not short any more; at most "
		 "admission_begin"},
	{FIELD(admission_shed), .type = HT_OPT_DOUBLE, .min = 0.001, .max = 1,
	 .def = TEXT(HT_ADMISSION_SHED),
	 .help = "share of responses that look like errors at which capacity is short"},
	{FIELD(admission_updates), .type = HT_OPT_INT, .min = 1, .max = 100,
	 .def = TEXT(HT_ADMISSION_UPDATES),
	 .help = "consecutive updates of the load before capacity counts as short or not any more"},
	{FIELD(admission_depth), .type = HT_OPT_DOUBLE, .min = 1, .max = 100,
	 .def = TEXT(HT_ADMISSION_DEPTH),
	 .help = "requests in flight per slot to aim for while capacity is short"},
	{FIELD(admission_horizon), .type = HT_OPT_DOUBLE, .min = 100, .max = 60000,
	 .def = TEXT(HT_ADMISSION_HORIZON_MS),
	 .help = "time in which a deviation from that is corrected, ms"},
	{FIELD(admission_turn), .type = HT_OPT_DOUBLE, .min = 100, .max = 600000,
	 .def = TEXT(HT_ADMISSION_TURN_MS),
	 .help = "time in which the admitted share moves through all callers, ms"},
	{.name = NULL},
};

static bool check(const struct ht_entry_settings *set, const char *file, struct ht_err *err)
{
	if (ht_level_parse(set->log_level) < 0)
		return ht_err_set(err, HT_EINVAL, "%s: key 'log_level': '%s' is not a level", file,
				  set->log_level);
	if (set->admission_end > set->admission_begin)
		return ht_err_set(err, HT_EINVAL,
				  "%s: key 'admission_end': %g is above admission_begin, %g", file,
				  set->admission_end, set->admission_begin);
	return true;
}

bool ht_entry_settings_parse(struct ht_entry_settings *set, const char *file, const char *text,
			     size_t len, struct ht_err *err)
{
	*set = (struct ht_entry_settings){0};
	if (!ht_options_load(table, file, text, len, set, err))
		return false;
	if (check(set, file, err))
		return true;
	ht_entry_settings_clear(set);
	return false;
}

bool ht_entry_settings_load(struct ht_entry_settings *set, const char *path, struct ht_err *err)
{
	size_t len;
	char *text = ht_read_file(path, SETTINGS_MAX, &len, err);
	bool ok = text && ht_entry_settings_parse(set, path, text, len, err);

	free(text);
	return ok;
}

void ht_entry_settings_clear(struct ht_entry_settings *set)
{
	ht_options_clear(table, set);
}

struct ht_admission_params ht_entry_settings_admission(const struct ht_entry_settings *set)
{
	return (struct ht_admission_params){.begin = set->admission_begin,
					    .end = set->admission_end,
					    .shed = set->admission_shed,
					    .updates = (unsigned int)set->admission_updates,
					    .depth = set->admission_depth,
					    .horizon = (ht_ms)set->admission_horizon,
					    .turn = (ht_ms)set->admission_turn};
}

void ht_entry_settings_describe(FILE *out)
{
	ht_options_describe(table, out);
}
