/* The table of commands with their help texts, from which the manual page is made too. */
#include "ctl/ctl.h"

const struct ht_ctl_command ht_ctl_commands[] = {
	{.name = "check",
	 .arguments = "FILE",
	 .summary = "Check a rules file without changing anything",
	 .description =
		 "Prints every fault of FILE with line, column and a hint. With --platform the "
		 "file "
		 "is\nalso checked against the accepted rules: an address may not go to another "
		 "service in the\nchange that takes it away, nor within 60 s after.\n\n"
		 "Exit status: 0 no faults, 1 the platform was not read, 2 faults.\n\n"
		 "Examples:\n"
		 "  hickoryctl check litoral.rules\n"
		 "  hickoryctl --platform 127.0.0.1:7400 check litoral.rules\n",
	 .options = "",
	 .min_args = 1,
	 .max_args = 1,
	 .run = ht_ctl_check},
	{.name = "diff",
	 .arguments = "FILE",
	 .summary = "Print what a rules file would change",
	 .description =
		 "Prints removed (-) and added (+) lines from the accepted rules to FILE.\n\n"
		 "Exit status: 0 done, 1 the platform was not read, 2 faults in FILE.\n\n"
		 "Examples:\n"
		 "  hickoryctl --platform 127.0.0.1:7400 diff litoral.rules\n",
	 .options = "",
	 .min_args = 1,
	 .max_args = 1,
	 .needs_platform = true,
	 .run = ht_ctl_diff},
	{.name = "apply",
	 .arguments = "FILE",
	 .summary = "Make a rules file the accepted configuration",
	 .description =
		 "Checks FILE, writes it to the platform and prints the difference. The new "
		 "version "
		 "is above\nthe platform's and above every version that instances report. When "
		 "FILE starts with the\nline '# base version N', as printed by show, and a newer "
		 "version was accepted since, the\nchange is refused with the difference; after "
		 "success that line is brought up to date.\nA lost answer is settled by reading "
		 "back the change id.\n\n"
		 "Exit status: 0 accepted or nothing to change, 1 failed and nothing changed, 2 "
		 "faults in\nFILE, 3 another change was accepted first, 4 outcome not known.\n\n"
		 "Examples:\n"
		 "  hickoryctl --platform 127.0.0.1:7400 show > litoral.rules\n"
		 "  hickoryctl --platform 127.0.0.1:7400 apply litoral.rules\n",
	 .options = " admin ",
	 .min_args = 1,
	 .max_args = 1,
	 .needs_platform = true,
	 .run = ht_ctl_apply},
	{.name = "show",
	 .arguments = "",
	 .summary = "Print the accepted rules",
	 .description = "Prints the accepted rules with their comments. The first line names the "
			"version; keep it\nin the file, so that apply sees when another change "
			"came in between.\n\n"
			"Exit status: 0 done, 1 the platform was not read or holds no rules.\n\n"
			"Examples:\n"
			"  hickoryctl --platform 127.0.0.1:7400 show > litoral.rules\n"
			"  hickoryctl --platform 127.0.0.1:7400 show --json\n",
	 .options = "",
	 .needs_platform = true,
	 .run = ht_ctl_show},
	{.name = "status",
	 .arguments = "",
	 .summary = "Print versions, targets and summed counters of all instances",
	 .description =
		 "Asks every instance of the platform's list, or those named by --admin when the "
		 "platform\nis down.\n\n"
		 "Exit status: 0 done, 1 no list of instances, 5 some instances were not reached, "
		 "each is\nnamed.\n\n"
		 "Examples:\n"
		 "  hickoryctl --platform 127.0.0.1:7400 status\n"
		 "  hickoryctl status --admin 127.0.0.1:7301 --admin 127.0.0.1:7302\n",
	 .options = " admin ",
	 .needs_platform = true,
	 .run = ht_ctl_status},
	{.name = "drain",
	 .arguments = "SERVICE TARGET",
	 .summary = "Add a drain rule for a target",
	 .description =
		 "Adds 'drain SERVICE TARGET' with the comment to the accepted rules, by the path "
		 "of "
		 "apply.\nThe target gets no new work 3 s after its data centre knows the rule. "
		 "When another change\ncomes in between, the rule is added to that one instead.\n\n"
		 "Exit status: as for apply.\n\n"
		 "Examples:\n"
		 "  hickoryctl --platform 127.0.0.1:7400 drain almacen a3 --comment 'Ines: new "
		 "disk'\n",
	 .options = " comment admin ",
	 .min_args = 2,
	 .max_args = 2,
	 .needs_platform = true,
	 .run = ht_ctl_drain},
	{.name = "timeline",
	 .arguments = "",
	 .summary = "Merge the newest events of all instances, causes before effects",
	 .description =
		 "Reads the event ring of every instance and orders the events by hybrid logical "
		 "clock.\nFilters are combined. docs/events.md explains the numbers.\n\n"
		 "Exit status: 0 done, 1 no list of instances, 2 bad filter, 5 some instances were "
		 "not\nreached, each is named.\n\n"
		 "Examples:\n"
		 "  hickoryctl --platform 127.0.0.1:7400 timeline\n"
		 "  hickoryctl --platform 127.0.0.1:7400 timeline --target 127.0.2.1:7001\n"
		 "  hickoryctl timeline --admin 127.0.0.1:7301 --number 1001\n",
	 .options = " admin flow request target instance number ",
	 .needs_platform = true,
	 .run = ht_ctl_timeline},
	{0},
};
