"""The failure runs behind `make prove`: what each one does to a deployment under load."""

import signal
import subprocess
import time
from dataclasses import dataclass, field
from typing import Callable

from harness import BUILD, HarnessError, Target, die_with_parent, wall_ms, wait_until

CONFIG_LIMIT_S = 8
DRAIN_LIMIT_MS = 3000
# Longer than lease (2 s) and death margin (0.5 s), so that others take over meanwhile.
FREEZE_S = 5
# Detection (1.5 s) and one retry; a request that met the silence has its answer by then.
SILENT_LIMIT_MS = 3000

# A deflected flow may find the new target better; others have no reason to move.
MOVED_SHARE = 0.02

# Runs whose configuration changes are judged for config-monotonic.
CONFIG_RUNS = ("platform-outage", "lost-write", "operator-race", "older-state", "rolling")


def flow_of(request):
    return request.rsplit("-", 1)[0]


@dataclass
class Scenario:
    disturb: Callable
    requests: int = 500
    rate: int = 40
    service_ms: int = 60
    fabric: tuple = ()
    caller: tuple = ()
    target_options: list = field(default_factory=list)

    def prepare(self, dep):
        for target in dep.targets:
            target.options = list(self.target_options)


def busiest(dep):
    """The live instance that is home of most targets."""
    homes = dep.homes()
    count = {i.name: sum(i.name == row[0] for rows in homes.values() for row in rows)
             for i in dep.live()}
    return dep.find(max(count, key=count.get))


def planned(run, promise):
    """Judges a run with planned changes only: nothing may be lost or in doubt."""
    def after(ev):
        doubtful = [r for r in ev.doubtful() if not r["cancelled"]]
        run.check(promise, not ev.broken() and not doubtful,
                  f"{len(ev.broken())} broken, {len(doubtful)} in doubt: {doubtful[:2]}")
    return after


def kill_instance(dep, run):
    dep.kill_instance(busiest(dep))


def freeze_instance(dep, run):
    inst = busiest(dep)
    inst.process.signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    inst.process.signal(signal.SIGCONT)
    time.sleep(1)
    run.check(None, inst.process.alive(), f"{inst.name} ended after its freeze")


def apply_weight(dep, run, weight):
    """Applies a changed share and judges the 8 s; returns the exit status of hickoryctl."""
    dep.extra_rules = [f"share {dep.services[0]} {dep.dcs[0]} {weight}  # prove: changed share"]
    status, out = dep.apply(expect=(0, 1, 3, 4))
    if status == 0:
        try:
            dep.wait_config(CONFIG_LIMIT_S)
            run.check("config-monotonic", True)
        except HarnessError as e:
            run.check("config-monotonic", False, f"{e}: {dep.versions()}")
    return status, out


def platform_outage(dep, run):
    before = dep.versions()
    dep.knobs(down=True)
    time.sleep(1)
    status, out = dep.apply(expect=(0, 1, 3, 4))
    run.check(None, status in (1, 4), f"apply in an outage: exit status {status}: {out[-200:]}")
    time.sleep(4)
    run.check("config-monotonic", all(dep.versions().get(n, 0) >= v for n, v in before.items()),
              f"versions {before} became {dep.versions()}")
    dep.knobs(down=False)
    status, out = apply_weight(dep, run, 0.5)
    run.check(None, status == 0, f"apply after the outage: exit status {status}: {out[-200:]}")


def lost_write(dep, run):
    """Loses the answer to the part's write, then also the one to the head's write."""
    for lost in (1, 2):
        before = dep.head_version()
        dep.knobs(lose_write_answers=lost)
        status, out = apply_weight(dep, run, 0.5 * lost)
        after = dep.head_version()
        run.check(None, status in (0, 4), f"apply: exit status {status}: {out[-200:]}")
        run.check("config-monotonic", after == before + 1,
                  f"head went from {before} to {after} with {lost} lost answers")
        dep.knobs(lose_write_answers=0)
        if status == 4:
            dep.applied = time.monotonic()
            dep.wait_config(CONFIG_LIMIT_S)


def apply_both(dep, number):
    """Two operators apply different rules at the same time; exit statuses."""
    procs = []
    for who in (1, 2):
        dep.extra_rules = [f"share {dep.services[who - 1]} {dep.dcs[0]} {number}.{who}"
                           f"  # prove: operator {who}"]
        argv = [f"{BUILD}/hickoryctl", "--platform", dep.platform, "apply",
                dep.write_rules(f"rules-{who}")]
        procs.append(subprocess.Popen(argv, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
                                      preexec_fn=die_with_parent))
    return [p.wait(30) for p in procs]


def operator_race(dep, run):
    dep.knobs(delay_ms=50)
    for number in (1, 2, 3):
        before = dep.head_version()
        statuses = apply_both(dep, number)
        dep.applied = time.monotonic()
        after = dep.head_version()
        run.check("config-monotonic", after == before + statuses.count(0),
                  f"exit statuses {statuses}, head from {before} to {after}")
        run.check(None, 0 in statuses and set(statuses) <= {0, 3}, f"exit statuses {statuses}")
        dep.wait_config(CONFIG_LIMIT_S)
    dep.knobs(delay_ms=0)


def older_state(dep, run):
    """The platform is restored with an older head; nobody may go back."""
    old = dep.control("GET", "/v1/objects/config/head")[1]
    apply_weight(dep, run, 0.5)
    before = dep.versions()
    dep.control("PUT", "/force/config/head", old)
    time.sleep(3)
    run.check("config-monotonic", dep.versions() == before,
              f"versions {before} became {dep.versions()}")
    status, out = dep.apply(expect=(0, 1, 3, 4))
    run.check(None, status == 0, f"apply after the restore: exit status {status}: {out[-200:]}")
    newest = max(before.values())
    try:
        wait_until("a version above the one in force", CONFIG_LIMIT_S,
                   lambda: min(dep.versions().values()) > newest)
    except HarnessError as e:
        run.check("config-monotonic", False, f"{e}: was {newest}, now {dep.versions()}")


def silent_connections(dep, run):
    for number in (0, 4, 14):
        dep.targets[number].process.signal(signal.SIGUSR2)
        time.sleep(1.5)

    def after(ev):
        slow = [r for r in ev.records if r["method"] == "GET" and not r["cancelled"]
                and r["done_ms"] - r["sent_ms"] > SILENT_LIMIT_MS]
        run.check(None, not slow, f"{len(slow)} answers after more than 3 s: {slow[:2]}")
    return after


def kill_target(dep, run):
    target = dep.targets[1]
    target.process.signal(signal.SIGKILL)
    time.sleep(3)
    target.options += ["--cold-ms", "2000"]
    target.start(dep.service_ms)


def leaving_targets(dep, run):
    """One target leaves by its own signal, another by a rule."""
    signalled, ruled = dep.targets[0], dep.targets[6]
    signalled.process.signal(signal.SIGUSR1)
    known = {signalled: wall_ms()}
    time.sleep(1)
    dep.extra_rules = [f"drain {ruled.service} {ruled.name}  # prove: leaves for repair"]
    dep.apply()
    version = dep.head_version()
    wait_until("the drain is known", CONFIG_LIMIT_S,
               lambda: any((i.status() or {}).get("config_version", 0) >= version
                           for i in dep.live() if i.dc == ruled.dc), 0.05)
    known[ruled] = wall_ms()

    def after(ev):
        last = max((r["ms"] for r in ev.journal), default=0)
        for target, ms in known.items():
            late = ev.work_after(target.name, ms + DRAIN_LIMIT_MS)
            run.check("leaving-target-idle", not late and last > ms + DRAIN_LIMIT_MS,
                      f"{target.name}: {len(late)} new requests after 3 s: {late[:2]}")
        planned(run, "flows-survive")(ev)
    return after


def drain_data_centre(dep, run):
    """All targets of a data centre drain by rules of their own, and come back."""
    dep.extra_rules = [f"drain {t.service} {t.name}  # prove: power work"
                       for t in dep.targets if t.dc == dep.dcs[1]]
    dep.apply()
    dep.wait_config(CONFIG_LIMIT_S)
    time.sleep(DRAIN_LIMIT_MS / 1000 + 1)
    dep.extra_rules = []
    dep.apply()

    def after(ev):
        # Targets of the other data centres are free, so no request has to be refused.
        refused = [r for r in ev.refused() if not r["cancelled"]]
        run.check("flows-survive", not refused, f"{len(refused)} refused: {refused[:2]}")
        planned(run, "flows-survive")(ev)
    return after


def evacuate(dep, run):
    """A data centre is emptied by hickoryctl and taken back; its targets idle in between."""
    dc = dep.dcs[1]
    dep.applied = time.monotonic()
    status, out = dep.ctl("evacuate", dc, "--comment", "prove: power work")
    run.check(None, status == 0, f"evacuate: exit status {status}: {out[-200:]}")
    dep.wait_config(CONFIG_LIMIT_S)
    known_ms = wall_ms()
    time.sleep(DRAIN_LIMIT_MS / 1000 + 1)
    back_ms = wall_ms()
    dep.applied = time.monotonic()
    status, out = dep.ctl("end-evacuation", dc)
    run.check(None, status == 0, f"end-evacuation: exit status {status}: {out[-200:]}")

    def after(ev):
        back = 0
        for target in [t for t in dep.targets if t.dc == dc]:
            work = ev.work_after(target.name, known_ms + DRAIN_LIMIT_MS)
            late = [r for r in work if r["ms"] < back_ms]
            back += len(work) - len(late)
            run.check("leaving-target-idle", not late,
                      f"{target.name}: {len(late)} new requests while evacuated: {late[:2]}")
        run.check(None, back, f"no target of {dc} is used again")
        planned(run, "flows-survive")(ev)
    return after


def new_target(dep, run):
    """A target joins; flows that were there before stay where they were."""
    first = dep.targets[0]
    joined = Target(dep, first.service, first.dc, 19, 2.0)
    before_ms = wall_ms()
    joined.start(dep.service_ms)
    dep.targets.append(joined)
    dep.apply()
    dep.wait_config(CONFIG_LIMIT_S)

    def after(ev):
        planned(run, "flows-survive")(ev)
        established = {flow_of(r["id"]) for r in ev.journal if r["ms"] < before_ms}
        moved = {flow_of(r["id"]) for r in ev.journal
                 if r["event"] == "start" and r["target"] == joined.name} & established
        run.check(None, len(moved) <= MOVED_SHARE * len(established),
                  f"{len(moved)} of {len(established)} established flows moved to {joined.name}")
    return after


def rolling_replacement(dep, run):
    for inst in [i for i in dep.instances if i.dc == dep.dcs[0]]:
        status = dep.stop_instance(inst)
        run.check("graceful-stop", status == 0, f"{inst.name}: exit status {status}")
        dep.restart_instance(inst)
        time.sleep(1)

    def after(ev):
        planned(run, "graceful-stop")(ev)
        planned(run, "flows-survive")(ev)
    return after


def kill_during_outage(dep, run):
    dep.knobs(down=True)
    inst = busiest(dep)
    inst.process.signal(signal.SIGKILL)
    inst.process.wait(5)
    time.sleep(5)
    dep.knobs(down=False)
    inst.state = "gone"
    dep.publish()


def freeze_and_silence(dep, run):
    inst = busiest(dep)
    inst.process.signal(signal.SIGSTOP)
    for target in dep.targets[:3]:
        target.process.signal(signal.SIGUSR2)
    time.sleep(FREEZE_S)
    inst.process.signal(signal.SIGCONT)


def nothing(dep, run):
    return None


SCENARIOS = {
    "late-answers": Scenario(nothing, fabric=("--loss", "0.02", "--reorder", "0.1"),
                             caller=("--pattern-share", "0.5", "--cancel-share", "0.05"),
                             target_options=["--late-share", "0.2", "--misleading"]),
    "overload": Scenario(nothing, requests=1200, rate=120, service_ms=200,
                         target_options=["--shed-share", "0.05"]),
    "kill-instance": Scenario(kill_instance),
    "freeze-instance": Scenario(freeze_instance),
    "platform-outage": Scenario(platform_outage),
    "lost-write": Scenario(lost_write),
    "operator-race": Scenario(operator_race),
    "older-state": Scenario(older_state),
    "silent-connection": Scenario(silent_connections),
    "kill-target": Scenario(kill_target),
    "leaving-target": Scenario(leaving_targets),
    "evacuate": Scenario(evacuate, requests=800),
    "drain-data-centre": Scenario(drain_data_centre, requests=800),
    "new-target": Scenario(new_target),
    "rolling": Scenario(rolling_replacement, requests=1200),
    "kill-during-outage": Scenario(kill_during_outage),
    "freeze-and-silence": Scenario(freeze_and_silence),
}
