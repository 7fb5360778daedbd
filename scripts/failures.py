#!/usr/bin/env python3
"""Plays one failed request on loopback and leaves the log of each instance in a folder.

    scripts/failures.py target-dies|no-target|store-outage FOLDER

Two instances run before stand-ins of store, targets and callers (entry_world.py). At the end the
caller's complaint is printed: the flow by its addresses, and what the caller saw. docs/OPERATIONS.md
shows how to get from there to the cause. Exit status 1 when no request failed as it should.
"""

import os
import random
import sys

from entry_world import Callers, Instance, Store, Target, free_port, put_config

SERVICES = {443: "stock", 80: "patterns"}
INSTANCES = 2
RATE = 40
# Longer than the bound on a view's age and one watch that was under way together.
OUTAGE_S = 6
# Instances are ready well within this time; a busy machine may take longer.
START_LIMIT_S = 10


class Failure:
    """A deployment that serves, to which something happens."""

    def __init__(self, folder):
        os.makedirs(folder, exist_ok=True)
        program = os.path.join(os.environ.get("HT_BUILD", "build"), "hickorytrestle-entry")
        ports = [free_port(), free_port(), free_port()]
        self.store = Store()
        put_config(self.store, SERVICES, 3, "unsafe")
        self.targets = [Target(self.store, 0x1000 + i, service, "north", ports[0])
                        for i, service in enumerate(["stock"] * 3 + ["patterns"] * 2)]
        self.logs = [open(os.path.join(folder, f"entry-{i}.log"), "wb")
                     for i in range(INSTANCES)]
        self.instances = [Instance(program, self.store.address, i, "north", ports, self.logs[i])
                          for i in range(INSTANCES)]
        self.callers = Callers(self.instances, self.targets, ports[0], SERVICES)

    def serve(self):
        for _ in range(START_LIMIT_S * 2):
            self.callers.run(0.5, 0)
            if all(i.ready for i in self.instances):
                self.callers.run(1, RATE)
                self.callers.complaints.clear()
                return True
        return False

    def stop(self):
        for inst in self.instances:
            inst.stop()
        for log in self.logs:
            log.close()
        self.store.stop()


def target_dies(f):
    """The target of the next request dies with it; its entry lapses later."""
    stock = f.targets[:3]

    def one_dies(_now):
        if any(t.dead for t in stock):
            for t in stock:
                t.dies_with_request = False

    for t in stock:
        t.dies_with_request = True
    f.callers.run(1, RATE, one_dies)
    f.callers.run(2.5, 0)
    for t in stock:
        if t.dead:
            t.lapse()
    f.callers.run(1.5, 0)
    return "no answer"


def no_target(f):
    """All targets of a service leave."""
    for target in f.targets[3:]:
        target.report("draining")
    f.callers.run(3.5, 0)
    f.callers.run(0.5, RATE)
    return "reset"


def store_outage(f):
    """The targets of a service die while the store gives no answers: their entries stay in view."""
    f.store.set_fault("down", True)
    for target in f.targets[3:]:
        target.dead = True
    f.callers.run(OUTAGE_S, 0)
    f.callers.run(0.5, RATE)
    f.callers.run(2.5, 0)
    return "not opened"


FAILURES = {"target-dies": target_dies, "no-target": no_target, "store-outage": store_outage}


def main():
    if len(sys.argv) != 3 or sys.argv[1] not in FAILURES:
        print(__doc__, file=sys.stderr)
        return 2
    random.seed(20261204)
    failure = Failure(sys.argv[2])
    try:
        if not failure.serve():
            print("failures: the instances did not serve")
            return 1
        seen = FAILURES[sys.argv[1]](failure)
    finally:
        failure.stop()
    for flow, what in failure.callers.complaints:
        if what == seen:
            print(f"caller: {flow}: {what}")
            return 0
    print(f"failures: no request failed with '{seen}'")
    return 1


if __name__ == "__main__":
    sys.exit(main())
