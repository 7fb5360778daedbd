"""The ways of docs/OPERATIONS.md, walked with the built programs: from a complaint to its cause."""

import os
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
BUILD = os.path.join(ROOT, os.environ.get("HT_BUILD", "build"))


def fields(line):
    return dict(part.split("=", 1) for part in line.split() if "=" in part)


class Operations(unittest.TestCase):
    def play(self, name):
        """Plays a failure; returns the flow that the caller complains of."""
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        env = dict(os.environ, HT_BUILD=BUILD, PYTHONDONTWRITEBYTECODE="1")
        done = subprocess.run([sys.executable, os.path.join(ROOT, "scripts", "failures.py"), name,
                               self.folder.name], env=env, stdout=subprocess.PIPE, text=True,
                              timeout=60)
        self.assertEqual(done.returncode, 0, done.stdout)
        return done.stdout.split()[1].rstrip(":")

    def timeline(self, *options):
        logs = [f"--log={os.path.join(self.folder.name, f)}"
                for f in sorted(os.listdir(self.folder.name))]
        done = subprocess.run([os.path.join(BUILD, "hickoryctl"), "timeline", *logs, *options],
                              stdout=subprocess.PIPE, text=True, timeout=20)
        self.assertEqual(done.returncode, 0)
        return [fields(line) for line in done.stdout.splitlines()]

    def first(self, lines, name):
        found = [line for line in lines if line["name"] == name]
        self.assertTrue(found, f"no {name} in {[line['name'] for line in lines]}")
        return found[0]

    def test_target_died_with_the_answer(self):
        flow = self.play("target-dies")
        repeated = self.first(self.timeline("--flow", flow), "FLOW_REPEATED")
        target = self.timeline("--target", repeated["target"])
        self.assertEqual(self.first(target, "TARGET_DOUBTED")["cause"], "silent")
        self.assertLess(target.index(self.first(target, "TARGET_DOUBTED")),
                        target.index(self.first(target, "TARGET_GONE")))

    def test_refused_for_want_of_targets(self):
        flow = self.play("no-target")
        reset = self.first(self.timeline("--flow", flow), "FLOW_RESET")
        self.assertEqual((reset["reason"], reset["service"], reset["targets"]),
                         ("no-target", "patterns", "0"))
        changes = self.timeline("--number", "6030")
        left = {line["target"] for line in changes
                if line["service"] == "patterns" and line["state"] == "draining"}
        self.assertEqual(len(left), 2)

    def test_stale_view_during_a_store_outage(self):
        flow = self.play("store-outage")
        lines = self.timeline("--flow", flow)
        unanswered = self.first(lines, "FLOW_UNANSWERED")
        self.assertGreater(int(unanswered["targets_age_ms"]), 3000)
        self.assertLess(lines.index(unanswered),
                        lines.index(self.first(lines, "FLOW_REPLACED")))
        lost = self.timeline("--instance", unanswered["instance"], "--number", "6010")
        self.assertEqual({line["kind"] for line in lost}, {"routes", "targets"})


if __name__ == "__main__":
    unittest.main()
