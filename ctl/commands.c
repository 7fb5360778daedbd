/* The table of commands with their help texts, from which the manual page is made too. */
#include "ctl/ctl.h"

static const char check_help[] =
	"Prints every fault of FILE with line, column and a hint. With --platform the file\n"
	"is also checked against the accepted rules: an address may not go to another\n"
	"service in the change that takes it away, nor within 60 s after.\n"
	"\n"
	"Exit status: 0 no faults, 1 the platform was not read, 2 faults.\n"
	"\n"
	"Rules:\n"
	"  service NAME region REGION address IP:PORT [deadline MS] [affinity flow|request]  # "
	"...\n"
	"  target SERVICE NAME dc DC address IP:PORT [slots N] [connections N] [weight W]  # ...\n"
	"  share SERVICE DC WEIGHT  # ...\n"
	"  drain SERVICE TARGET  # ...\n"
	"  evacuate SERVICE DC  # ...\n"
	"\n"
	"One rule per line, in any order. The comment behind '#' says who asked for the rule\n"
	"and is required; blank lines and lines with only a comment are allowed. A service\n"
	"has deadline 5000 and affinity flow unless given, a target slots 3, connections 2000\n"
	"and weight 1. A share multiplies the weights of the service's targets in one data\n"
	"centre. With affinity request, idempotent requests of one flow may go to different\n"
	"targets.\n"
	"\n"
	"Examples:\n"
	"  hickoryctl check litoral.rules\n"
	"  hickoryctl --platform 127.0.0.1:7400 check litoral.rules\n";

static const char diff_help[] =
	"Prints removed (-) and added (+) lines from the accepted rules to FILE.\n"
	"\n"
	"Exit status: 0 done, 1 the platform was not read, 2 faults in FILE.\n"
	"\n"
	"Examples:\n"
	"  hickoryctl --platform 127.0.0.1:7400 diff litoral.rules\n";

static const char apply_help[] =
	"Checks FILE, writes it to the platform and prints the difference. The new version\n"
	"is above the platform's and above every version that instances report. When FILE\n"
	"starts with the line '# base version N', as printed by show, and a newer version\n"
	"was accepted since, the change is refused with the difference; after success that\n"
	"line is brought up to date. A lost answer is settled by reading back the change id.\n"
	"When a restored platform holds rules that cannot be read, --replace-damaged applies\n"
	"FILE all the same; addresses are then checked against running instances only.\n"
	"\n"
	"Exit status: 0 accepted or nothing to change, 1 failed and nothing changed,\n"
	"2 faults in FILE, 3 another change was accepted first, 4 outcome not known.\n"
	"\n"
	"Examples:\n"
	"  hickoryctl --platform 127.0.0.1:7400 show > litoral.rules\n"
	"  hickoryctl --platform 127.0.0.1:7400 apply litoral.rules\n";

static const char show_help[] =
	"Prints the accepted rules with their comments. The first line names the version;\n"
	"keep it in the file, so that apply sees when another change came in between.\n"
	"\n"
	"Exit status: 0 done, 1 the platform was not read or holds no rules.\n"
	"\n"
	"Examples:\n"
	"  hickoryctl --platform 127.0.0.1:7400 show > litoral.rules\n"
	"  hickoryctl --platform 127.0.0.1:7400 show --json\n";

static const char status_help[] =
	"Asks every instance of the platform's list, or those named by --admin when the\n"
	"platform is down.\n"
	"\n"
	"Exit status: 0 done, 1 no list of instances, 5 some instances were not reached,\n"
	"each is named.\n"
	"\n"
	"Examples:\n"
	"  hickoryctl --platform 127.0.0.1:7400 status\n"
	"  hickoryctl status --admin 127.0.0.1:7301 --admin 127.0.0.1:7302\n";

static const char drain_help[] =
	"Adds 'drain SERVICE TARGET' with the comment to the accepted rules, by the path of\n"
	"apply. The target gets no new work 3 s after its data centre knows the rule. When\n"
	"another change comes in between, the rule is added to that one instead.\n"
	"\n"
	"Exit status: as for apply.\n"
	"\n"
	"Examples:\n"
	"  hickoryctl -p 127.0.0.1:7400 drain almacen almacen-3 --comment 'Ines: new disk'\n";

static const char evacuate_help[] =
	"Adds 'evacuate SERVICE DC' with the comment to the accepted rules for each service\n"
	"that has a target in data centre DC, by the path of apply. These targets get no new\n"
	"work 3 s after their data centre knows the rules; what they have is finished. Targets\n"
	"that are added there later are evacuated, too, if their service has the rule.\n"
	"\n"
	"Exit status: as for apply.\n"
	"\n"
	"Examples:\n"
	"  hickoryctl -p 127.0.0.1:7400 evacuate salto --comment 'Ines: power work'\n"
	"  hickoryctl -p 127.0.0.1:7400 status\n"
	"  hickoryctl -p 127.0.0.1:7400 end-evacuation salto\n";

static const char end_evacuation_help[] =
	"Removes the rules that evacuate data centre DC from the accepted rules, by the path of\n"
	"apply. Targets that have a drain rule of their own go on draining.\n"
	"\n"
	"Exit status: as for apply.\n"
	"\n"
	"Examples:\n"
	"  hickoryctl -p 127.0.0.1:7400 end-evacuation salto\n";

static const char timeline_help[] =
	"Reads the event ring of every instance and orders the events by hybrid logical\n"
	"clock. Filters are combined. docs/events.md explains the numbers.\n"
	"\n"
	"With --log the events are read from log lines of hickorytrestle-entry instead.\n"
	"Lines of one instance keep their order, and packets of a flow come in the order\n"
	"in which the caller sent them, whatever the clocks of the instances say.\n"
	"\n"
	"Exit status: 0 done, 1 no list of instances, 2 bad filter or file, 5 some instances were\n"
	"not reached, each is named.\n"
	"\n"
	"Examples:\n"
	"  hickoryctl --platform 127.0.0.1:7400 timeline\n"
	"  hickoryctl --platform 127.0.0.1:7400 timeline --target 127.0.2.1:7001\n"
	"  hickoryctl timeline --admin 127.0.0.1:7301 --number 1001\n"
	"  hickoryctl timeline --log a.log --log b.log \\\n"
	"      --flow 100.64.0.7:40001-198.18.0.1:443\n";

static const char explain_help[] =
	"Prints where an instance of hickorytrestle-entry would send a new flow from the\n"
	"caller's address FROM to the address TO now, and why: the route and its terms, the\n"
	"service picked by a split, whether capacity is short, the verdict, and the best\n"
	"targets with their costs. Nothing is sent or changed. --instance names the instance\n"
	"by its metrics_address and is required. Instances differ in what they know, so ask\n"
	"the one that the packets pass. Another flow may be decided otherwise: splits and\n"
	"turns go by the caller's address, and equal targets are chosen by chance.\n"
	"\n"
	"Exit status: 0 done, 1 the instance did not answer, 2 bad address.\n"
	"\n"
	"Examples:\n"
	"  hickoryctl explain --instance 127.0.0.1:9100 100.64.0.7:40001 198.18.0.1:443\n";

const struct ht_ctl_command ht_ctl_commands[] = {
	{.name = "check",
	 .arguments = "FILE",
	 .summary = "Check a rules file without changing anything",
	 .description = check_help,
	 .options = "",
	 .min_args = 1,
	 .max_args = 1,
	 .run = ht_ctl_check},
	{.name = "diff",
	 .arguments = "FILE",
	 .summary = "Print what a rules file would change",
	 .description = diff_help,
	 .options = "",
	 .min_args = 1,
	 .max_args = 1,
	 .needs_platform = true,
	 .run = ht_ctl_diff},
	{.name = "apply",
	 .arguments = "FILE",
	 .summary = "Make a rules file the accepted configuration",
	 .description = apply_help,
	 .options = " admin replace-damaged ",
	 .min_args = 1,
	 .max_args = 1,
	 .needs_platform = true,
	 .run = ht_ctl_apply},
	{.name = "show",
	 .arguments = "",
	 .summary = "Print the accepted rules",
	 .description = show_help,
	 .options = "",
	 .needs_platform = true,
	 .run = ht_ctl_show},
	{.name = "status",
	 .arguments = "",
	 .summary = "Print versions, targets and summed counters of all instances",
	 .description = status_help,
	 .options = " admin ",
	 .needs_platform = true,
	 .run = ht_ctl_status},
	{.name = "drain",
	 .arguments = "SERVICE TARGET",
	 .summary = "Add a drain rule for a target",
	 .description = drain_help,
	 .options = " comment admin ",
	 .min_args = 2,
	 .max_args = 2,
	 .needs_platform = true,
	 .run = ht_ctl_drain},
	{.name = "evacuate",
	 .arguments = "DC",
	 .summary = "Add rules that empty a data centre",
	 .description = evacuate_help,
	 .options = " comment admin ",
	 .min_args = 1,
	 .max_args = 1,
	 .needs_platform = true,
	 .run = ht_ctl_evacuate},
	{.name = "end-evacuation",
	 .arguments = "DC",
	 .summary = "Remove the rules that empty a data centre",
	 .description = end_evacuation_help,
	 .options = " admin ",
	 .min_args = 1,
	 .max_args = 1,
	 .needs_platform = true,
	 .run = ht_ctl_end_evacuation},
	{.name = "timeline",
	 .arguments = "",
	 .summary = "Merge the newest events of all instances, causes before effects",
	 .description = timeline_help,
	 .options = " admin log flow request target instance number ",
	 .needs_platform = true,
	 .run = ht_ctl_timeline},
	{.name = "explain",
	 .arguments = "FROM TO",
	 .summary = "Print where an instance would send a new flow now, and why",
	 .description = explain_help,
	 .options = " instance ",
	 .min_args = 2,
	 .max_args = 2,
	 .run = ht_ctl_explain},
	{0},
};
