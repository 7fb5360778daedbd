"""Tests of the soak's account of refused flows, on times of our own."""

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


if __name__ == "__main__":
    unittest.main()
