"""Figures computed from callers' records and back ends' journals (JSON lines)."""

import json
from collections import defaultdict

NOT_RUN_CODES = (503, 429)


def read_lines(path):
    """Lines of one file; a last line that was cut by a kill is left out."""
    rows = []
    try:
        with open(path, encoding="utf-8") as f:
            for line in f:
                if line.endswith("\n"):
                    rows.append(json.loads(line))
    except FileNotFoundError:
        pass
    return rows


def says_not_run(record):
    """A refusal counts as "not run" by its verdict, or by its code when it has none."""
    if record["verdict"] is not None:
        return record["verdict"] == "not-run"
    return record["code"] in NOT_RUN_CODES


class Evidence:
    """What one run left behind."""

    def __init__(self, records, journal, slots):
        self.records = records
        self.journal = journal
        self.slots = slots
        self.starts = defaultdict(list)
        for row in journal:
            if row["event"] == "start":
                self.starts[row["id"]].append(row)

    def sent(self):
        return len(self.records)

    def answered(self):
        return sum(r["code"] not in (0, 401) for r in self.records)

    def ran(self):
        return sum(r["code"] // 100 == 2 for r in self.records)

    def refused(self):
        return [r for r in self.records if r["code"] and says_not_run(r)]

    def doubtful(self):
        return [r for r in self.records if r["verdict"] == "may-have-run"]

    def foreign_answers(self):
        """Answers whose body belongs to another request or service."""
        return [r for r in self.records if not r["body_ok"] and not r["cut"]]

    def run_twice(self):
        """Postings with more than one start in the journals."""
        return [i for i, rows in self.starts.items()
                if len(rows) > 1 and rows[0]["method"] == "POST"]

    def dishonest(self):
        """Requests that were reported as not run, but have a start in a journal."""
        return [r for r in self.records if r["code"] and says_not_run(r) and r["id"] in self.starts]

    def cross_service(self):
        """Requests that reached a target of another service."""
        return [r for r in self.journal if r["reason"] == "service"
                or r["event"] == "start" and r["uri_host"] != r["service"]]

    def wrong(self):
        return (len(self.foreign_answers()) + len(self.run_twice()) + len(self.dishonest())
                + len(self.cross_service()))

    def broken(self):
        """Without a final answer (4.01 only asks for a repeat), or with a cut one."""
        return [r for r in self.records if r["code"] in (0, 401) or r["cut"]]

    def overlimit(self):
        return [r for r in self.journal
                if r["event"] == "overlimit" or r["in_flight"] > self.slots]

    def work_after(self, target, wall_ms):
        """New work that @target got after @wall_ms, also what it refused itself."""
        return [r for r in self.journal if r["target"] == target and r["ms"] > wall_ms
                and r["event"] in ("start", "refuse", "overlimit")]

    def flow_moves(self):
        """(flows seen, flows that were served by more than one target)."""
        targets = defaultdict(set)
        for request, rows in self.starts.items():
            flow = request.rsplit("-", 1)[0]
            targets[flow].update(row["target"] for row in rows)
        return len(targets), sum(len(t) > 1 for t in targets.values())

    def summary(self):
        flows, moved = self.flow_moves()
        codes = defaultdict(int)
        for r in self.records:
            codes[r["code"]] += 1
        return (f"sent={self.sent()} answered={self.answered()} ran={self.ran()} "
                f"not-run={len(self.refused())} may-have-run={len(self.doubtful())} "
                f"wrong={self.wrong()} broken={len(self.broken())} "
                f"overlimit={len(self.overlimit())} flows={flows} moved={moved} "
                f"codes={dict(sorted(codes.items()))}")

    def faults(self, limit=3):
        """A few records for each kind of fault, for a report."""
        kinds = {"foreign answer": self.foreign_answers(), "run twice": self.run_twice(),
                 "not run, but ran": self.dishonest(), "cross service": self.cross_service(),
                 "broken": self.broken(), "overlimit": self.overlimit()}
        return [f"{kind}: {json.dumps(row) if isinstance(row, dict) else row}"
                for kind, rows in kinds.items() for row in rows[:limit]]
