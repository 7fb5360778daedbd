#!/usr/bin/env python3
"""Plays the same days and seeds with two revisions or more and compares them in pairs.

    scripts/compare.py --bench PROGRAM --revisions OLD,NEW,... [--days NAME,...] [--seeds N,...] [--out FOLDER] SITE...

Each revision is built in a clone of its own, and all play a day at the same time. Processor time is
not counted unless --cpu is given, so that runs repeat. Prints each pair of OLD and NEW, the mean
difference with a bootstrap interval, the worst pair, and what became of the requests; --out also gets
the runs as CSV and the differences as SVG. Entries of the bench's journal are copied into this
checkout. The exit status is 1 when a rule was broken or a pair could not be played.
"""

import argparse
import concurrent.futures
import csv
import os
import random
import re
import shutil
import statistics
import subprocess
import sys
import tempfile

from regress import DAY, ROOT

BOOTSTRAPS = 2000
INTERVAL = 0.95
RUN_LIMIT_S = 900
BROKEN = re.compile(r"BROKEN: (.*?)(?: \(else|$)", re.M)
ENDS = re.compile(r"^how tries ended: (.*)$", re.M)
BUSIEST = re.compile(r"^(\S+) +(?:\d+ +)+\d+ +(\d+\.\d+)$", re.M)
PLOT = {"width": 640, "row": 18, "left": 300, "range": 0.1}


def read_run(text):
    """Figures of one day from the bench's report, or None if there are none."""
    row = DAY.search(text)
    if not row:
        return None
    ends = dict(e.rsplit(": ", 1) for e in ENDS.search(text)[1].split("; ")) if ENDS.search(text) else {}
    return {"worth": float(row["worth"]), "failed": float(row["failed"]),
            "errors": sum(int(n) for what, n in ends.items() if what.startswith("5")),
            "busiest": max((float(m[2]) for m in BUSIEST.finditer(text)), default=0),
            "broken": "; ".join(BROKEN.findall(text))}


def play(bench, clone, case, cpu):
    site, day, seed = case
    command = [bench, "run", site, day, "--jobs", "1", "--why", "comparison of revisions"]
    command += ["--seed", seed] if seed else []
    command += [] if cpu else ["--no-cpu"]
    done = subprocess.run(command, cwd=clone, text=True, check=False, stdout=subprocess.PIPE,
                          stderr=subprocess.STDOUT, timeout=RUN_LIMIT_S)
    return read_run(done.stdout)


def interval(differences):
    """Bootstrap interval of the mean; the fixed seed makes it repeat."""
    rng = random.Random(1)
    means = sorted(statistics.fmean(rng.choices(differences, k=len(differences)))
                   for _ in range(BOOTSTRAPS))
    cut = int(BOOTSTRAPS * (1 - INTERVAL) / 2)
    return means[cut], means[-cut - 1]


def label(case):
    site, day, seed = case
    return " ".join([os.path.splitext(os.path.basename(site))[0],
                     os.path.splitext(os.path.basename(day))[0], seed or "own"])


def differences(runs, cases, old, new):
    """(case, difference of worth) of the pairs that were played."""
    return [(c, runs[new, c]["worth"] - runs[old, c]["worth"]) for c in cases
            if runs[old, c] and runs[new, c]]


def report(runs, cases, revisions):
    lines = ["| day | " + " | ".join(revisions) + " |", "|---" * (len(revisions) + 1) + "|"]
    for case in cases:
        cells = []
        for rev in revisions:
            r = runs[rev, case]
            cells.append(f"{r['worth']:.3f} / {r['errors']} / {r['failed']:.3f} / {r['busiest']:.1f}"
                         + (f" BROKEN {r['broken']}" if r["broken"] else "") if r else "not played")
        lines.append(f"| {label(case)} | " + " | ".join(cells) + " |")
    lines.append("(worth / answers of 5xx / failed / busiest target to the mean)")
    for new in revisions[1:]:
        pairs = differences(runs, cases, revisions[0], new)
        if not pairs:
            continue
        low, high = interval([d for _, d in pairs])
        worst = min(pairs, key=lambda p: p[1])
        lines.append(f"{new} against {revisions[0]}: {len(pairs)} pairs, mean "
                     f"{statistics.fmean(d for _, d in pairs):+.4f} "
                     f"({100 * INTERVAL:.0f} %: {low:+.4f} to {high:+.4f}), "
                     f"worst {worst[1]:+.3f} on {label(worst[0])}")
    return "\n".join(lines)


def write_csv(path, runs, cases, revisions):
    with open(path, "w", newline="", encoding="utf-8") as f:
        out = csv.writer(f)
        out.writerow(["revision", "site", "day", "seed", "worth", "errors", "failed", "busiest", "broken"])
        for rev in revisions:
            for case in cases:
                r = runs[rev, case] or {}
                out.writerow([rev, *case, *(r.get(k, "") for k in
                                            ("worth", "errors", "failed", "busiest", "broken"))])


def write_svg(path, runs, cases, revisions):
    """A dot for each pair: its difference of worth."""
    rows = [(f"{label(c)} {new}", d) for new in revisions[1:]
            for c, d in differences(runs, cases, revisions[0], new)]
    middle = PLOT["left"] + (PLOT["width"] - PLOT["left"]) / 2
    scale = (PLOT["width"] - PLOT["left"]) / 2 / PLOT["range"]
    height = PLOT["row"] * (len(rows) + 1)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{PLOT["width"]}" height="{height}" '
             'font-family="sans-serif" font-size="11">',
             f'<line x1="{middle}" y1="0" x2="{middle}" y2="{height}" stroke="grey"/>']
    for i, (name, d) in enumerate(rows):
        y = PLOT["row"] * (i + 1)
        x = middle + max(-PLOT["range"], min(PLOT["range"], d)) * scale
        parts.append(f'<text x="4" y="{y}">{name} {d:+.3f}</text><circle cx="{x:.1f}" cy="{y - 4}" r="4"/>')
    with open(path, "w", encoding="utf-8") as f:
        f.write("\n".join(parts + ["</svg>\n"]))


def clone_of(folder, rev):
    path = os.path.join(folder, re.sub(r"\W", "_", rev))
    subprocess.run(["git", "clone", "-q", ROOT, path], check=True)
    subprocess.run(["git", "checkout", "-q", rev], cwd=path, check=True)
    return path


def keep_journal(clone):
    if os.path.isdir(os.path.join(clone, "journal")):
        shutil.copytree(os.path.join(clone, "journal"), os.path.join(ROOT, "journal"), dirs_exist_ok=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--bench", default=os.environ.get("HT_BENCH"), help="the bench's program (HT_BENCH)")
    parser.add_argument("--days", default="trouble-1,scale-1", help="names or files of days, by commas")
    parser.add_argument("--seeds", default="", help="seeds by commas; none: each day's own")
    parser.add_argument("--cpu", action="store_true", help="count processor time")
    parser.add_argument("--out", help="folder for runs.csv and differences.svg")
    parser.add_argument("--revisions", required=True, help="OLD,NEW,...")
    parser.add_argument("sites", nargs="+", metavar="SITE", help="site files")
    args = parser.parse_args()
    if not args.bench:
        parser.error("name the bench by --bench or HT_BENCH")
    revisions = args.revisions.split(",")
    cases = [(site, day, seed) for site in args.sites for day in args.days.split(",")
             for seed in args.seeds.split(",")]
    with tempfile.TemporaryDirectory(prefix="ht-compare-") as folder:
        clones = {rev: clone_of(folder, rev) for rev in revisions}
        with concurrent.futures.ThreadPoolExecutor(len(revisions)) as pool:
            rows = pool.map(lambda rev: [play(args.bench, clones[rev], c, args.cpu) for c in cases], revisions)
            runs = {(rev, c): r for rev, got in zip(revisions, rows) for c, r in zip(cases, got)}
        for clone in clones.values():
            keep_journal(clone)
    print(report(runs, cases, revisions))
    if args.out:
        os.makedirs(args.out, exist_ok=True)
        write_csv(os.path.join(args.out, "runs.csv"), runs, cases, revisions)
        write_svg(os.path.join(args.out, "differences.svg"), runs, cases, revisions)
    return int(any(not r or r["broken"] for r in runs.values()))


if __name__ == "__main__":
    sys.exit(main())
