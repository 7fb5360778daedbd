#!/usr/bin/env python3
"""Plays deployments of the users' platform on their bench and sums up what they score.

    scripts/regress.py --bench PROGRAM [--hunt DAYS] [--large-hunt DAYS] [--jobs N] [--why TEXT] SITE...

The bench may also be named by HT_BENCH. For each site file its standard days are scored and DAYS days
are hunted; sites of 60 machines or more hunt the number of --large-hunt. One site is played at a time,
in the checkout of this script. The exit status is 1 when a gate has failed or a rule was broken.
"""

import argparse
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Machines from which on a site hunts fewer days: one of them takes minutes.
LARGE_MACHINES = 60

DAY = re.compile(
    r"^(?P<name>\S.*?)\s+(?P<own>\d+)/(?P<servers>\d+)\s+(?P<score>\d\.\d+)\s+(?P<worth>-?\d\.\d+)"
    r"\s+(?P<served>\d\.\d+)\s+(?P<refused>\d\.\d+)\s+(?P<failed>\d\.\d+)\s", re.M)
HUNTED = re.compile(r"^(?P<days>\d+) days on \S+, (?P<broken>\d+) with a rule broken$", re.M)
TROUBLE = re.compile(r"^(trouble|scale)-\d+$")


class Failed(Exception):
    """The bench did not say what was asked."""


def days(text):
    """Rows of the table in a score: name, machines and figures of each day."""
    return [{"name": m["name"], "own": int(m["own"]), "worth": float(m["worth"]),
             "failed": float(m["failed"])} for m in DAY.finditer(text)]


def read_score(text):
    """Sums a score up: gate, mean worth of the standard days with trouble, and the weakest of them."""
    rows = days(text)
    trouble = [d for d in rows if TROUBLE.match(d["name"])]
    gate = re.search(r"^GATE (passed|failed)$", text, re.M)
    if not trouble or not gate:
        raise Failed("no table of days, or no gate:\n" + text[-2000:])
    weakest = min(trouble, key=lambda d: d["worth"])
    return {"gate": gate[1], "mean": sum(d["worth"] for d in trouble) / len(trouble),
            "weakest": f"{weakest['name']} {weakest['worth']:.3f}",
            "failed": max(d["failed"] for d in trouble), "own": max(d["own"] for d in rows)}


def read_hunt(text):
    """Days hunted, and how many of them broke a rule."""
    m = HUNTED.search(text)
    if not m:
        raise Failed("no sum of the hunt:\n" + text[-2000:])
    return int(m["days"]), int(m["broken"])


def run(bench, verb, site, options):
    done = subprocess.run([bench, verb, site, *options], cwd=ROOT, text=True, check=False,
                          stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
    print(done.stdout, flush=True)
    return done.stdout


def play(args, site):
    options = ["--jobs", str(args.jobs), "--why", args.why]
    row = read_score(run(args.bench, "score", site, options))
    row["site"] = os.path.splitext(os.path.basename(site))[0]
    number = args.large_hunt if row["own"] >= LARGE_MACHINES else args.hunt
    row["hunted"], row["broken"] = 0, 0
    if number:
        row["hunted"], row["broken"] = read_hunt(
            run(args.bench, "hunt", site, ["--days", str(number), *options]))
    return row


def table(rows):
    lines = ["| site | gate | mean worth, days with trouble | weakest | most failed | hunted | broken |",
             "|---|---|---|---|---|---|---|"]
    for r in rows:
        lines.append(f"| {r['site']} | {r['gate']} | {r['mean']:.3f} | {r['weakest']} | {r['failed']:.3f} | "
                     f"{r['hunted']} | {r['broken']} |")
    return "\n".join(lines)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--bench", default=os.environ.get("HT_BENCH"), help="the bench's program (HT_BENCH)")
    parser.add_argument("--hunt", type=int, default=40, help="days to hunt on each site (40)")
    parser.add_argument("--large-hunt", type=int, default=8,
                        help=f"the same on sites of {LARGE_MACHINES} machines or more (8)")
    parser.add_argument("--jobs", type=int, default=3, help="cores to use (3)")
    parser.add_argument("--why", default="regression run", help="a line for the journal")
    parser.add_argument("sites", nargs="+", metavar="SITE", help="site files")
    args = parser.parse_args()
    if not args.bench:
        parser.error("name the bench by --bench or HT_BENCH")
    rows = [play(args, site) for site in args.sites]
    print(table(rows))
    return int(any(r["gate"] != "passed" or r["broken"] for r in rows))


if __name__ == "__main__":
    sys.exit(main())
