"""Tests of the soak's account of what was not answered, on times of our own."""

import os
import sys
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

import soak  # noqa: E402 pylint: disable=wrong-import-position

NOW = 100.0


class Stub:
    def __init__(self, **fields):
        self.__dict__.update(fields)


def target(dc, service="stock", comes_at=0.0, leaves_at=None, lapsed_at=None):
    return Stub(dc=dc, service=service, comes_at=comes_at, leaves_at=leaves_at, lapsed_at=lapsed_at)


def refused(targets, evacuations, allowed=None):
    """True if the account explains that a flow to the service stock was refused at NOW."""
    plan = object.__new__(soak.Soak)
    plan.targets, plan.evacuations = targets, evacuations
    plan.callers = Stub(allowed=allowed or {})
    return plan.none_usable(Stub(dport=443, service="stock", failed_at=NOW))


class RefusedFlows(unittest.TestCase):
    def test_last_targets_leave_while_the_others_are_evacuated(self):
        targets = [target("north", leaves_at=NOW - 2), target("south")]
        self.assertTrue(refused(targets, [("south", NOW - 3, NOW + 1)]))

    def test_a_usable_target_explains_nothing(self):
        self.assertFalse(refused([target("north"), target("south")],
                                 [("south", NOW - 3, NOW + 1)]))
        self.assertFalse(refused([target("north", leaves_at=NOW - 2), target("south")], []))

    def test_a_change_beyond_the_bound_explains_nothing(self):
        targets = [target("north", leaves_at=NOW - 20), target("south")]
        self.assertFalse(refused(targets, [("south", NOW - 19, NOW - 9)]))

    def test_a_target_that_came_too_early_to_be_unknown(self):
        gone = target("north", lapsed_at=NOW - 6)
        self.assertTrue(refused([gone, target("north", comes_at=NOW - 1)], []))
        self.assertFalse(refused([gone, target("north", comes_at=NOW - 5)], []))

    def test_services_that_share_a_port_serve_for_each_other(self):
        targets = [target("north", leaves_at=NOW - 20), target("north", service="patterns")]
        self.assertTrue(refused(targets, []))
        self.assertFalse(refused(targets, [], {443: {"stock", "patterns"}}))


def instance(killed_at=(), paused_at=()):
    return Stub(name="entry-2", ip="127.0.0.22", killed_at=killed_at, paused_at=paused_at,
                starts=[NOW - 50])


def account(flow, what="not opened"):
    """The plan's problems and notes when this flow is the only one that was not answered."""
    plan = object.__new__(soak.Soak)
    plan.problems, plan.instances = [], [packet[1] for packet in flow.packets]
    plan.outages, plan.absences, plan.store_faults, plan.evacuations = [], [], [], []
    plan.notes = []
    plan.callers = Stub(targets=[], stalls=[], allowed={}, failed=[(flow, what, None)])
    plan.account()
    return plan.problems, plan.notes


def unopened(inst, states):
    """A flow whose opening packet is sent at NOW and 0.21 and 0.61 s later."""
    times = (NOW, NOW + 0.21, NOW + 0.61)
    return Stub(sport=1362, service="patterns", dport=80, started=NOW, open=False,
                failed_at=NOW + soak.GIVE_UP_S,
                packets=[(t, inst, state) for t, state in zip(times, states)])


class SignalsInTransit(unittest.TestCase):
    """A packet that was sent, but not read when its instance was paused or killed."""

    def test_a_pause_within_the_transit_time_is_a_cause(self):
        # Seed 10204 broke with these times: the packet waited in the socket of a paused instance.
        inst = instance(paused_at=[NOW + 0.0004])
        problems, notes = account(unopened(inst, ("serving", "paused", "paused")))
        self.assertEqual(problems, [])
        self.assertEqual(notes, ["1362-patterns not opened: sent 0.4 ms before entry-2 was paused"])

    def test_a_pause_has_the_bound_of_a_kill(self):
        for late, explained in ((soak.TRANSIT_S - 0.01, True), (soak.TRANSIT_S + 0.01, False)):
            at = [NOW + late]
            for inst, later in ((instance(killed_at=at), "down"), (instance(paused_at=at), "paused")):
                problems, _ = account(unopened(inst, ("serving", later, later)))
                self.assertEqual(problems == [], explained, (later, late))

    def test_a_pause_before_the_packet_explains_nothing(self):
        inst = instance(paused_at=[NOW - 1])
        problems, notes = account(unopened(inst, ("serving", "paused", "paused")))
        self.assertEqual(len(problems), 1)
        self.assertEqual(notes, [])


if __name__ == "__main__":
    unittest.main()
