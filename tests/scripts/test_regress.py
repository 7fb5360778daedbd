"""Tests of the regression run with a bench of our own that prints what it is told."""

import os
import stat
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

import regress  # noqa: E402 pylint: disable=wrong-import-position

SCORE = """day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 {own}/18   0.61  0.898  0.998   0.000  0.000  worst windows 0.99; prices 0.100
trouble-1               {own}/18   0.71  0.904  0.986   0.000  0.001  worst windows 0.83; prices 0.069
scale-1                 {own}/18   1.00  0.920  0.989   0.000  0.002  worst windows 0.89; prices 0.055
fresh-ec03              {own}/18   0.74  0.798  0.983   0.000  0.003  worst windows 0.85; prices 0.069
GATE {gate}
"""
HUNT = "{days} days on a-site, {broken} with a rule broken\n"

BENCH = """#!/bin/sh
echo "$@" >> {calls}
case $1 in
score) cat {score} ;;
hunt) cat {hunt} ;;
esac
"""


class Regress(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def write(self, name, text):
        with open(self.path(name), "w", encoding="utf-8") as f:
            f.write(text)

    def play(self, own=7, gate="passed", broken=0, options=()):
        self.write("score", SCORE.format(own=own, gate=gate))
        self.write("hunt", HUNT.format(days=40, broken=broken))
        self.write("bench", BENCH.format(calls=self.path("calls"), score=self.path("score"),
                                         hunt=self.path("hunt")))
        os.chmod(self.path("bench"), stat.S_IRWXU)
        return subprocess.run([sys.executable, os.path.join(ROOT, "scripts", "regress.py"), *options,
                               "--bench", self.path("bench"), "a-site.toml"], capture_output=True,
                              text=True, check=False)

    def calls(self):
        with open(self.path("calls"), encoding="utf-8") as f:
            return f.read().splitlines()

    def test_sums_up_the_standard_days_with_trouble(self):
        done = self.play()
        self.assertEqual(done.returncode, 0)
        self.assertIn("| a-site | passed | 0.912 | trouble-1 0.904 | 0.002 | 40 | 0 |", done.stdout)

    def test_small_sites_hunt_more_days_than_large_ones(self):
        self.play(own=59, options=["--hunt", "40", "--large-hunt", "8"])
        self.play(own=60, options=["--hunt", "40", "--large-hunt", "8"])
        hunts = [c.split()[3] for c in self.calls() if c.startswith("hunt")]
        self.assertEqual(hunts, ["40", "8"])

    def test_failed_gate_and_broken_rules_fail_the_run(self):
        self.assertEqual(self.play(gate="failed").returncode, 1)
        self.assertEqual(self.play(broken=1).returncode, 1)

    def test_unreadable_output_is_an_error(self):
        self.assertRaises(regress.Failed, regress.read_score, "no table\n")
        self.assertRaises(regress.Failed, regress.read_hunt, "stopped\n")


if __name__ == "__main__":
    unittest.main()
