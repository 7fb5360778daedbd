"""Tests of the comparison of revisions, on reports of our own."""

import os
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

import compare  # noqa: E402 pylint: disable=wrong-import-position

RUN = """day                  own/srv  score  worth served refused failed  weakest part
trouble-1             80/150   0.00  {worth}  0.986   0.000  0.001  worst windows 0.75; prices 0.032{broken}

how tries ended: 200: 900; 500: 12; 503: 30; cut, no answer: 7

service            servers arrivals  not run ran badly   again fell over  busiest/mean
stock                  120    40630        0         0       0         0          4.20
docs                    30     7309        0         0       0         0          1.56
"""
CASES = [("a/site.toml", "scale-1", "11"), ("a/site.toml", "scale-1", "12"), ("b/other.toml", "scale-1", "")]


def run(worth, broken=""):
    return compare.read_run(RUN.format(worth=worth, broken=broken))


class Compare(unittest.TestCase):
    def test_reads_a_run(self):
        self.assertEqual(run("0.916"), {"worth": 0.916, "failed": 0.001, "errors": 42, "busiest": 4.2,
                                        "broken": ""})
        self.assertEqual(run("0.916", "  BROKEN: EVAC 6933 (else 0.96)")["broken"], "EVAC 6933")
        self.assertIsNone(compare.read_run("the build failed\n"))

    def runs(self):
        runs = {("old", c): run("0.900") for c in CASES}
        runs.update({("new", CASES[0]): run("0.920"), ("new", CASES[1]): run("0.890"),
                     ("new", CASES[2]): None})
        return runs

    def test_compares_pairs_that_were_played(self):
        text = compare.report(self.runs(), CASES, ["old", "new"])
        self.assertIn("2 pairs, mean +0.0050", text)
        self.assertIn("worst -0.010 on site scale-1 12", text)
        self.assertIn("| other scale-1 own | 0.900 / 42 / 0.001 / 4.2 | not played |", text)

    def test_interval_holds_the_mean_and_repeats(self):
        values = [0.01, 0.02, 0.03, -0.01]
        low, high = compare.interval(values)
        self.assertTrue(low <= 0.0125 <= high)
        self.assertEqual((low, high), compare.interval(values))

    def test_writes_csv_and_svg(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "runs.csv")
            compare.write_csv(path, self.runs(), CASES, ["old", "new"])
            with open(path, encoding="utf-8") as f:
                self.assertEqual(len(f.read().splitlines()), 7)
            compare.write_svg(os.path.join(folder, "d.svg"), self.runs(), CASES, ["old", "new"])
            with open(os.path.join(folder, "d.svg"), encoding="utf-8") as f:
                self.assertEqual(f.read().count("<circle"), 2)


if __name__ == "__main__":
    unittest.main()
