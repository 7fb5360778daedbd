"""Tests of the figures behind demo and prove: each kind of fault must be seen."""

import os
import sys
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from evidence import Evidence  # noqa: E402


def record(**fields):
    row = {"id": "c1-f1-1", "path": "stock", "service": "almacen", "method": "GET", "sent_ms": 1,
           "done_ms": 2, "attempts": 1, "code": 205, "verdict": "ran", "body_ok": True,
           "cut": False, "cancelled": False, "cancel_code": 0, "max_age": 0, "tickets": 0}
    return {**row, **fields}


def line(**fields):
    row = {"ms": 1, "event": "start", "uri_host": "almacen", "service": "almacen", "method": "GET",
           "id": "c1-f1-1", "in_flight": 1, "target": "almacen-1", "code": 205, "reason": ""}
    return {**row, **fields}


def evidence(records=(), journal=()):
    return Evidence(list(records), list(journal), 3)


class Figures(unittest.TestCase):
    """Guards against a fault in a record or journal that leaves the figures at zero."""

    def test_good_run(self):
        ev = evidence([record()], [line(), line(event="finish", in_flight=0)])
        self.assertEqual((ev.sent(), ev.answered(), ev.wrong(), len(ev.broken())), (1, 1, 0, 0))

    def test_foreign_answer(self):
        self.assertEqual(evidence([record(body_ok=False)]).wrong(), 1)

    def test_posting_run_twice(self):
        twice = [line(method="POST"), line(method="POST", target="almacen-2")]
        self.assertEqual(evidence([record(method="POST")], twice).wrong(), 1)
        self.assertEqual(evidence([record()], [line(), line(target="almacen-2")]).wrong(), 0)

    def test_refusal_of_a_request_that_ran(self):
        refusal = record(code=503, verdict="not-run")
        self.assertEqual(evidence([refusal], [line()]).wrong(), 1)
        self.assertEqual(evidence([record(code=503, verdict=None)], [line()]).wrong(), 1)
        self.assertEqual(evidence([refusal], [line(event="refuse", reason="shed")]).wrong(), 0)
        self.assertEqual(evidence([record(code=504, verdict="may-have-run")], [line()]).wrong(), 0)

    def test_request_at_a_foreign_target(self):
        foreign = line(event="refuse", reason="service", uri_host="taller-docs")
        self.assertEqual(evidence([record()], [foreign]).wrong(), 1)

    def test_unanswered_and_cut(self):
        ev = evidence([record(code=0), record(code=401), record(cut=True, body_ok=False)])
        self.assertEqual((ev.answered(), ev.wrong(), len(ev.broken())), (1, 0, 3))

    def test_slots(self):
        self.assertEqual(len(evidence(journal=[line(in_flight=4)]).overlimit()), 1)
        self.assertEqual(len(evidence(journal=[line(event="overlimit")]).overlimit()), 1)

    def test_work_of_a_leaving_target(self):
        rows = [line(ms=10), line(ms=20, event="refuse", reason="draining"),
                line(ms=30, event="finish")]
        self.assertEqual(len(evidence(journal=rows).work_after("almacen-1", 15)), 1)


if __name__ == "__main__":
    unittest.main()
