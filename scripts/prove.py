#!/usr/bin/env python3
"""Failure runs with real processes, and the eight promises computed from them.

Prints one line for each run and one line `promise: NAME pass|fail|unproved` for each promise of
docs/design.md, section 1.2. Exit status 1 when a run or a promise fails.
"""

import argparse
import sys
import time
import traceback

import proofs
from harness import BRETAGNE, LITORAL, Deployment, HarnessError

PROMISES = ("flows-survive", "no-cross-service", "whole-answer", "honest-not-run", "at-most-once",
            "leaving-target-idle", "graceful-stop", "config-monotonic")


class Run:
    """One failure run: what it checked, and which promises it exercised."""

    def __init__(self, name):
        self.name = name
        self.checks = []  # (promise or None, ok, detail)
        self.error = None

    def check(self, promise, ok, detail=""):
        self.checks.append((promise, bool(ok), detail))

    def failed(self):
        return self.error is not None or any(not ok for _, ok, _ in self.checks)


def judge(run, dep, ev):
    """Checks that hold in each run, whatever failed in it."""
    posts = [r for r in ev.records if r["method"] == "POST"]
    repeated = [r for r in posts if r["attempts"] > 1 or r["verdict"] == "may-have-run"]
    large = [r for r in ev.records if r["code"] == 205 and r["path"] == "pattern"]

    run.check(None, ev.answered() == ev.sent() > 0, f"{ev.sent() - ev.answered()} unanswered")
    run.check(None, not ev.overlimit(), f"slots exceeded {len(ev.overlimit())} times")
    run.check(None, not dep.crashed(), f"processes ended: {dep.crashed()}")
    run.check("no-cross-service", not ev.cross_service(),
              f"{len(ev.cross_service())} requests at a foreign target")
    if large:
        cut = [r for r in ev.records if r["cut"]]
        run.check("whole-answer", not ev.foreign_answers() and not cut,
                  f"{len(ev.foreign_answers())} foreign and {len(cut)} cut answers")
    if ev.refused():
        run.check("honest-not-run", not ev.dishonest(),
                  f"{len(ev.dishonest())} of {len(ev.refused())} refused requests ran")
    if repeated:
        run.check("at-most-once", not ev.run_twice(),
                  f"{len(ev.run_twice())} of {len(posts)} postings ran twice")
    else:
        run.check(None, not ev.run_twice(), f"{len(ev.run_twice())} postings ran twice")
    if dep.monitor.rows:
        run.check("config-monotonic" if run.name in proofs.CONFIG_RUNS else None,
                  not dep.monitor.reverts(), f"reverts: {dep.monitor.reverts()[:3]}")
    if run.name in proofs.CONFIG_RUNS:
        proofs.planned(run, "flows-survive")(ev)


def execute(name, scenario, keep):
    run = Run(name)
    plan = BRETAGNE if list(proofs.SCENARIOS).index(name) % 2 else LITORAL
    began = time.monotonic()
    ev = None
    try:
        with Deployment(plan, service_ms=scenario.service_ms, keep=keep) as dep:
            scenario.prepare(dep)
            dep.start(scenario.fabric)
            dep.start_callers(scenario.requests, scenario.rate, extra=scenario.caller)
            time.sleep(1.5)
            after = scenario.disturb(dep, run)
            dep.wait_callers(40)
            ev = dep.evidence()
            judge(run, dep, ev)
            if after:
                after(ev)
    except HarnessError as e:
        run.error = str(e)
    except Exception:  # a fault of the harness must not hide the other runs
        run.error = traceback.format_exc()
    print(f"run: {name} {'fail' if run.failed() else 'ok'} {time.monotonic() - began:.0f} s "
          f"{ev.summary() if ev else ''}", flush=True)
    report(run, ev)
    return run


def report(run, ev):
    if run.error:
        print(f"  error: {run.error}")
    for promise, ok, detail in run.checks:
        if not ok:
            print(f"  fault: {promise or 'run'}: {detail}")
    if run.failed() and ev:
        for line in ev.faults():
            print(f"  record: {line}")
    sys.stdout.flush()


def verdict(promise, runs):
    results = [ok for run in runs for name, ok, _ in run.checks if name == promise]
    if not results:
        return "unproved"
    return "pass" if all(results) else "fail"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", action="append", choices=list(proofs.SCENARIOS))
    parser.add_argument("--keep", action="store_true", help="keep the files of the runs")
    args = parser.parse_args()
    runs = [execute(name, scenario, args.keep) for name, scenario in proofs.SCENARIOS.items()
            if not args.only or name in args.only]
    verdicts = {promise: verdict(promise, runs) for promise in PROMISES}
    for promise, result in verdicts.items():
        print(f"promise: {promise} {result}")
    return 1 if "fail" in verdicts.values() or any(run.failed() for run in runs) else 0


if __name__ == "__main__":
    sys.exit(main())
