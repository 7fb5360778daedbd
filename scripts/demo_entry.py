#!/usr/bin/env python3
"""The path on the users' platform end to end: one instance killed, one stopped, one target drained.

Exit status 1 when a figure is not as it should be.
"""

import os
import random
import signal
import sys
import time

from entry_world import Callers, Instance, Store, Target, free_port, put_config

SERVICES = {443: "stock", 80: "patterns"}
INSTANCES = 4
RATE = 100
DRAIN_LIMIT_S = 3
# Routers need up to a second to notice a killed instance: what it gets until then is lost.
KILL_LOSS = RATE


def judge(callers, targets, drained, drained_at):
    problems = []
    late = [t for t in drained.opened_at if t > drained_at + DRAIN_LIMIT_S]
    if late:
        problems.append(f"{len(late)} new flows at a leaving target")
    if callers.wrong or any(t.foreign for t in targets):
        problems.append("packets or answers of another service or target")
    if callers.reset:
        problems.append(f"{callers.reset} flows were reset")
    if callers.lost > KILL_LOSS:
        problems.append(f"{callers.lost} flows were lost")
    if callers.answered + callers.lost + callers.reset + len(callers.flows) != callers.sent:
        problems.append("the count of flows does not add up")
    return problems


def main():
    random.seed(20261204)
    program = os.path.join(os.environ.get("HT_BUILD", "build"), "hickorytrestle-entry")
    ports = [free_port(), free_port(), free_port()]
    store = Store()
    put_config(store, SERVICES, 3)
    targets = [Target(store, 0x1000 + i, service, "north", ports[0])
               for i, service in enumerate(["stock"] * 4 + ["patterns"] * 2)]
    instances = [Instance(program, store.address, i, "north", ports)
                 for i in range(INSTANCES)]
    callers = Callers(instances, targets, ports[0], SERVICES)
    try:
        callers.run(2, 0)
        if not all(i.ready for i in instances):
            print("demo-entry: an instance did not start")
            return 1
        callers.run(3, RATE)
        print("demo-entry: entry-1 is killed")
        instances[1].signal(signal.SIGKILL)
        callers.run(3, RATE)
        print("demo-entry: entry-2 stops,", targets[0].name, "leaves")
        instances[2].signal(signal.SIGTERM)
        targets[0].report("draining")
        drained_at = time.monotonic()
        callers.run(6, RATE)
        callers.run(2, 0)
        problems = judge(callers, targets, targets[0], drained_at)
        print(f"demo-entry: sent={callers.sent} answered={callers.answered} lost={callers.lost} "
              f"wrong={callers.wrong} reset={callers.reset}")
    finally:
        for inst in instances:
            inst.stop()
        store.stop()
    for problem in problems:
        print("demo-entry:", problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
