#!/usr/bin/env python3
"""One deployment end to end: a planned stop, a leaving target and a new configuration under load.

Exit status 1 when a figure is not as it should be.
"""

import argparse
import signal
import sys
import time

from harness import BRETAGNE, LITORAL, Deployment, HarnessError, wall_ms

REQUESTS = 700  # for each of two callers
RATE = 50
DRAIN_LIMIT_MS = 3000
CONFIG_LIMIT_S = 8
# The load is light, so refusals are rare; with more of them the run would show little.
RAN_SHARE = 0.95


def change_under_load(dep, say):
    """Runs the three planned changes; returns (problems, drained target, wall ms of its drain)."""
    problems = []
    time.sleep(2)
    inst = dep.instances[1]
    status = dep.stop_instance(inst)
    say(f"{inst.name} stopped with exit status {status}")
    if status != 0:
        problems.append(f"planned stop of {inst.name}: exit status {status}")
    target = dep.targets[2]
    target.process.signal(signal.SIGUSR1)
    drained_ms = wall_ms()
    say(f"{target.name} drains")
    dep.extra_rules.append(f"share {dep.services[0]} {dep.dcs[2]} 0.5  # demo: less for one site")
    dep.apply()
    try:
        took = dep.wait_config(CONFIG_LIMIT_S)
        say(f"configuration {dep.head_version()} in force everywhere after {took:.1f} s")
    except HarnessError as e:
        problems.append(str(e))
    return problems, target, drained_ms


def judge(dep, ev, target, drained_ms):
    problems = []
    late = ev.work_after(target.name, drained_ms + DRAIN_LIMIT_MS)
    if late:
        problems.append(f"{target.name} got {len(late)} new requests later than 3 s after its "
                        f"drain, first {late[0]}")
    if ev.overlimit():
        problems.append(f"slots exceeded {len(ev.overlimit())} times")
    if ev.sent() < 1000:
        problems.append(f"only {ev.sent()} requests sent")
    if ev.ran() < RAN_SHARE * ev.sent():
        problems.append(f"only {ev.ran()} of {ev.sent()} requests ran")
    if max((r["ms"] for r in ev.journal), default=0) < drained_ms + DRAIN_LIMIT_MS:
        problems.append("the load ended before the drain could be judged")
    if ev.answered() != ev.sent() or ev.wrong() or ev.broken():
        problems.append("requests were lost, wrong or broken")
    if dep.monitor.reverts():
        problems.append(f"configuration reverted: {dep.monitor.reverts()[0]}")
    return problems + [f"process ended: {c}" for c in dep.crashed()]


def run(plan, keep):
    began = time.monotonic()

    def say(text):
        print(f"demo: {time.monotonic() - began:5.1f} s  {text}", flush=True)

    with Deployment(plan, keep=keep) as dep:
        say("starting platform, 9 instances, fabric and 18 targets")
        dep.start()
        say("all targets have a home; callers start")
        dep.start_callers(REQUESTS, RATE)
        problems, target, drained_ms = change_under_load(dep, say)
        dep.wait_callers(35)
        ev = dep.evidence()
        problems += judge(dep, ev, target, drained_ms)
        say(ev.summary())
        for line in problems + ev.faults():
            say(f"fault: {line}")
    print(f"demo: sent={ev.sent()} answered={ev.answered()} wrong={ev.wrong()} "
          f"broken={len(ev.broken())}")
    return 1 if problems else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=("litoral", "bretagne"), default="litoral")
    parser.add_argument("--keep", action="store_true", help="keep the files of the run")
    args = parser.parse_args()
    try:
        return run(BRETAGNE if args.deployment == "bretagne" else LITORAL, args.keep)
    except HarnessError as e:
        print(f"demo: {e}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
