"""The store comes back from an older copy, before real instances: what callers and the store see.

Each case is a deployment of its own that mostly waits: they are played side by side. HT_KEEP=1 keeps
the logs of the instances.
"""

import os
import shutil
import subprocess
import sys
import tempfile
import time
import unittest

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from entry_world import Callers, Instance, Store, Target, free_port, put_config  # noqa: E402

BUILD = os.path.join(ROOT, os.environ.get("HT_BUILD", "build"))
SERVICES = {443: "stock", 80: "patterns"}
# A service that comes with a configuration, and its only target.
ADDED = {**SERVICES, 8080: "plans"}
INSTANCES = 3
RATE = 40
START_LIMIT_S = 10
# Bounds of the platform: a configuration, or a drained target, holds after this time.
BOUND_S = 3
# A busy machine delays the stand-ins themselves.
SLACK_S = 0.5
# Entries of silent targets lapse after three intervals of their reports.
LAPSE_S = 3.6
# Calls in the ten seconds after a return. The reader lists each kind once, of PAGES pages, and then
# watches: a watch ends after half of the bound or with a change, which a target's pause follows. An
# instance whose own proof runs out in the outage reads once or twice a kind as well.
AFTER_S = 10
PAGES = 2
PAGE = 10
CHANGES = 4
CALLS_MAX = 2 * (PAGES + AFTER_S / (BOUND_S / 2) + CHANGES) + INSTANCES * 2 * 4


def fields(line):
    return dict(part.split("=", 1) for part in line.split() if "=" in part)


class Returns(unittest.TestCase):
    def setUp(self):
        case = sorted(unittest.TestLoader().getTestCaseNames(Returns)).index(self._testMethodName)
        self.net = "127.0.%d" % (10 + case)
        self.folder = tempfile.mkdtemp(prefix="ht-returns-")
        if not os.environ.get("HT_KEEP"):
            self.addCleanup(shutil.rmtree, self.folder)
        self.ports = [free_port(), free_port(), free_port()]
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.store.set_page(PAGE)
        put_config(self.store, SERVICES, 3)
        self.targets = [Target(self.store, 0x1000 + i, service, "north", self.ports[0])
                        for i, service in enumerate(["stock"] * 6 + ["patterns"] * 4)]
        self.logs = [open(os.path.join(self.folder, f"entry-{i}.log"), "wb")
                     for i in range(INSTANCES)]
        self.instances = [self.start(i) for i in range(INSTANCES)]
        self.callers = Callers(self.instances, self.targets, self.ports[0], dict(SERVICES),
                               self.net)
        self.addCleanup(self.stop)
        for _ in range(START_LIMIT_S * 2):
            self.callers.run(0.5, 0)
            if all(i.ready for i in self.instances):
                break
        self.run_for(2)

    def start(self, i):
        return Instance(os.path.join(BUILD, "hickorytrestle-entry"), self.store.address, i,
                        "north", self.ports, self.logs[i], self.net)

    def stop(self):
        for inst in self.instances:
            inst.stop()
        for log in self.logs:
            log.close()

    def run_for(self, seconds):
        self.callers.run(seconds, RATE)

    def add_target(self, number, service):
        self.targets.append(Target(self.store, number, service, "north", self.ports[0]))
        return self.targets[-1]

    def come_back(self, lost, away=0.8):
        self.store.set_fault("down", True)
        self.run_for(away)
        self.store.come_back(lost)
        self.store.set_fault("down", False)

    def events(self, name, since_start=None):
        """Of all instances, or of one since its last start."""
        found = []
        for i in range(INSTANCES) if since_start is None else [since_start]:
            with open(os.path.join(self.folder, f"entry-{i}.log"), encoding="ascii") as f:
                for line in map(fields, f):
                    if since_start is not None and line.get("name") == "ENTRY_STARTED":
                        found = []
                    elif line.get("name") == name:
                        found.append(line)
        return found

    def assert_served(self):
        self.callers.run(2.5, 0)
        self.assertEqual((self.callers.lost, self.callers.reset, self.callers.wrong), (0, 0, 0),
                         self.callers.complaints)

    def test_what_the_copy_lacks_stays_in_use_until_it_is_written_again(self):
        left, drains = self.targets[0], self.targets[1]
        # The copy is of now: the next five changes are lost.
        came = self.add_target(0x2000, "plans")
        put_config(self.store, ADDED, 5)
        left.report("draining")
        self.run_for(BOUND_S)
        left.lapse()
        self.add_target(0x2001, "patterns")
        self.run_for(2)
        self.callers.services.update(ADDED)
        before = self.store.reads()
        self.come_back(5)
        returned = time.monotonic()
        self.run_for(1)
        put_config(self.store, ADDED, 5)
        for target in self.targets:
            if target is not left:
                target.report()
        self.run_for(1)
        drains.report("draining")
        drained = time.monotonic()
        self.run_for(LAPSE_S - 2)
        left.lapse()
        self.run_for(AFTER_S - LAPSE_S)
        self.assertLess(self.store.reads() - before, CALLS_MAX)
        self.assertFalse([t for t in left.opened_at if t > returned], "one that had left")
        self.assertFalse([t for t in drains.opened_at if t > drained + BOUND_S + SLACK_S])
        self.assertTrue([t for t in came.opened_at if t > returned + BOUND_S])
        self.assert_served()
        # Each instance tells of it once, and none takes the configuration back.
        self.assertEqual([e["era"] for e in self.events("STORE_ERA")], ["2"] * INSTANCES)
        self.assertEqual(len(self.events("STORE_ERA_KNOWN")), INSTANCES)
        self.assertEqual({e["version"] for e in self.events("ROUTES_IN_FORCE")}, {"3", "5"})

    def test_new_changes_hold_in_time_though_their_revisions_are_low(self):
        for _ in range(30):
            self.targets[0].born += 1
            self.targets[0].report()
        self.run_for(2)
        self.come_back(30)
        self.targets[0].report()
        self.run_for(1)
        before = self.store.reads()
        came = self.add_target(0x2000, "plans")
        put_config(self.store, ADDED, 7)
        self.targets[1].report("draining")
        changed = time.monotonic()
        self.run_for(BOUND_S + SLACK_S)
        self.callers.services.update(ADDED)
        self.run_for(AFTER_S - BOUND_S - SLACK_S)
        self.assertLess(self.store.reads() - before, CALLS_MAX)
        self.assertFalse([t for t in self.targets[1].opened_at
                          if t > changed + BOUND_S + SLACK_S])
        self.assertTrue(came.opened_at)
        self.assert_served()

    def test_two_returns_in_a_row_and_answers_from_before_them(self):
        self.add_target(0x2000, "stock")
        self.run_for(2)
        self.come_back(1)
        self.run_for(0.5)
        self.store.set_fault("late", True)
        self.come_back(1, away=0.3)
        for target in self.targets:
            target.report()
        came = self.add_target(0x2001, "plans")
        self.run_for(3)
        self.store.set_fault("late", False)
        put_config(self.store, ADDED, 9)
        self.run_for(BOUND_S + SLACK_S)
        self.callers.services.update(ADDED)
        self.run_for(2)
        self.assertTrue(came.opened_at)
        self.assert_served()
        self.assertTrue(self.events("STORE_LATE_ERA"))

    def test_an_instance_that_starts_just_then_uses_nothing_that_had_left(self):
        left = self.targets[0]
        left.report("draining")
        self.run_for(BOUND_S)
        left.lapse()
        self.run_for(2)
        self.instances[2].stop()
        self.come_back(2)
        self.instances[2] = self.start(2)
        returned = time.monotonic()
        self.run_for(LAPSE_S)
        left.lapse()
        self.run_for(2)
        self.assertFalse([t for t in left.opened_at if t > returned])
        # Low load may leave it out by chance: it must not be in service at all.
        self.assertEqual([e for e in self.events("TARGET_CHANGED", since_start=2)
                          if e["target"] == left.name], [])
        self.callers.run(2.5, 0)
        # The process that was killed took the flows with it that waited in its socket.
        self.assertEqual((self.callers.reset, self.callers.wrong), (0, 0))


def main():
    if len(sys.argv) > 1:
        unittest.main(warnings="ignore")
    names = unittest.TestLoader().getTestCaseNames(Returns)
    cases = [subprocess.Popen([sys.executable, __file__, f"Returns.{name}"]) for name in names]
    return max([case.wait() for case in cases])


if __name__ == "__main__":
    sys.exit(main())
