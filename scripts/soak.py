#!/usr/bin/env python3
"""Random faults on the real programs, from outside; the promises are checked while they run.

    scripts/soak.py [--seconds N] [--keep FOLDER] SEED...

Each seed is one plan: instances are killed, paused, stopped and started by signals; the store is
down, slow, silent, cut one way, compacted, answers from the past or comes back from an older copy;
targets crash, restart, leave, come, and take over addresses; the configuration changes; callers
send more than the targets can hold. Faults come in series and overlap. After them the deployment is
left alone and must serve everything; before, each request that was not answered names the fault
that it met. Exit status 1 when a promise is broken; the logs of that seed are then kept, and the
seed belongs into tests/soak/seeds.txt with its cause.
"""

import argparse
import collections
import os
import random
import shutil
import signal
import sys
import tempfile
import time

import bursts
from entry_world import (GIVE_UP_S, Callers, Instance, Room, Store, Target, free_port,
                         put_config)
from store_proxy import StoreProxy

SERVICES = {443: "stock", 80: "patterns"}
INSTANCES = 4
TARGETS = 5  # of each service
PAGE = 4  # objects of one page of a listing
RATE = 80
START_LIMIT_S = 15
# Faults after a fault's end: what it has caused may still be seen for this long. The longest part is
# a doubt about a target, 8 s at most.
AFTERMATH_S = 8
# A leaving target gets no new flow after this time, from when the store has accepted it; neither
# do the targets of an evacuated data centre.
DRAIN_BOUND_S = 3
EVACUATION_BOUND_S = 3
# Seeds from this one on also play evacuations of a second data centre, and weights of services.
SPLIT_SEEDS = 10000
# These seeds also play bursts, with the routes, targets and rate of bursts.py.
BURST_SEEDS = range(20000, 30000)
# A busy machine delays the stand-ins themselves.
SLACK_S = 0.5
# A packet reaches its target within this time, or is lost with the instance that has it, or waits
# in the socket of an instance that is paused before it has read the packet.
TRANSIT_S = 0.3
# An instance that can read the store, or hear from a neighbour, is ready in this time; one whose
# reads have failed repeats them each second, and the routers ask twice a second.
START_S = 1.5
RETRY_S = 1.5
# The instance that reads for the others pauses 0.7 s between two watches of targets.
READ_S = 1
# Changes that the copy lacks at most from which the store comes back, the time in which targets
# report, and the time after which the entry of a silent one lapses.
LOST_MAX = 15
REPORT_S = 1.2
LAPSE_S = 3.6
# Calls to the store: an instance repeats a read of a kind each second when it fails, and the one that
# reads for others watches a kind once in 0.7 s; in a listing there are the pages of each kind and
# a read that confirms it.
KINDS_READ = 3
CALLS_PER_S = INSTANCES * KINDS_READ * 2
CALLS_PER_LISTING = 2 * (TARGETS * 2 // PAGE + KINDS_READ)
# Time without faults at the end; in its last part every request must be answered.
CALM_S = 11
SERVED_S = 3
STOP_GRACE_S = 6
READY_POLLS = 10
PAUSE_MAX_S = 3
# Traces that are printed for a seed; a pause in a burst meets hundreds of packets.
NOTES_MAX = 10


class Soak:
    def __init__(self, seed, seconds, folder):
        self.random = random.Random(seed)
        self.seconds, self.folder = seconds, folder
        self.problems = []
        self.notes = []  # traces of failures that have a cause
        self.faults = []  # of the network, the store and instances: (start, end)
        self.returned_at = []  # the store, from older copies
        self.listings = 0  # that are expected for faults of the store
        self.store_faults = []  # those among them that keep instances from reading
        self.outages = []  # (start, end) of times in which no instance can read the store
        self.absences = []  # (start, end, service) of services without a target in the store
        self.pending = []  # (time, function) that undo faults, sorted when run
        self.number = 0x1000
        self.version = 3
        net = "127.%d.%d" % (1 + seed % 100, 1 + seed // 100 % 200)
        program = os.path.join(os.environ.get("HT_BUILD", "build"), "hickorytrestle-entry")
        ports = [free_port(), free_port(), free_port()]
        self.port = ports[0]
        self.store = Store()
        self.store.set_page(PAGE)
        self.bursting = seed in BURST_SEEDS
        self.services = bursts.SERVICES if self.bursting else SERVICES
        self.rate = bursts.RATE if self.bursting else RATE
        self.weights = {}
        self.configure_again()
        self.dcs = ("north", "south") if seed >= SPLIT_SEEDS else ("north",)
        self.targets = []
        self.died = False  # a target has, at some time
        for service in self.names():
            for _ in range(TARGETS):
                self.add_target(service)
        self.evacuations = []  # (data centre, start, end)
        self.kinds = self.kinds_of(seed)
        self.proxies = [StoreProxy(self.store.address) for _ in range(INSTANCES)]
        self.logs = [open(os.path.join(folder, f"entry-{i}.log"), "ab") for i in range(INSTANCES)]
        self.instances = [Instance(program, self.proxies[i].address, i, "north", ports,
                                   self.logs[i], net,
                                   evacuation_bound=EVACUATION_BOUND_S * 1000,
                                   **(bursts.LOG_SETTINGS if self.bursting else {}))
                          for i in range(INSTANCES)]
        self.callers = Callers(self.instances, self.targets, self.port, self.services, net)

    @classmethod
    def kinds_of(cls, seed):
        """Faults that a seed plays, with their weights."""
        return (cls.KINDS + (cls.SPLIT_KINDS if seed >= SPLIT_SEEDS else ())
                + (cls.BURST_KINDS if seed in BURST_SEEDS else ()))

    def names(self):
        """Names of the services."""
        return list(dict.fromkeys(self.services.values()))

    # What happens.

    def add_target(self, service, sock=None):
        self.number += 1
        dc = self.dcs[self.number % len(self.dcs)]
        room = Room(bursts.SLOTS, bursts.QUEUE, bursts.WORK_S) if self.bursting else None
        target = Target(self.store, self.number, service, dc, self.port, sock, room)
        target.comes_at = time.monotonic()
        target.leaves_at = None
        self.targets.append(target)
        return target

    def live(self, service):
        return [t for t in self.targets
                if t.service == service and not t.dead and not t.leaves_at]

    def fault(self, seconds):
        """Notes a fault of the network, the store or an instance that lasts from now on."""
        now = time.monotonic()
        self.faults.append((now, now + seconds))
        return now + seconds

    def store_fault(self, seconds):
        end = self.fault(seconds)
        self.store_faults.append(self.faults[-1])
        return end

    def outage(self, seconds):
        end = self.store_fault(seconds)
        self.outages.append(self.faults[-1])
        return end

    def later(self, at, function, *args):
        self.pending.append((at, function, args))

    def some_target(self):
        """One whose service can spare it, or None."""
        service = self.random.choice(self.names())
        live = self.live(service)
        return self.random.choice(live) if len(live) > 2 else None

    def crash(self):
        target = self.some_target()
        if target:
            target.dead = self.died = True
            now = time.monotonic()
            if self.random.random() < 0.5:
                self.later(now + self.random.uniform(0.3, 1.5), target.restart)
            else:
                self.later(now + 3.6, target.lapse)
                self.later(now + 4, self.replace, target)

    def replace(self, target):
        """Another target of any service takes over its address."""
        self.add_target(self.random.choice(self.names()), target.sock)

    def leave(self):
        target = self.some_target()
        if target:
            target.leaves_at = time.monotonic()
            target.report("draining")
            end = target.leaves_at + DRAIN_BOUND_S + 1 + self.random.random()
            self.later(end, self.end, target)

    def end(self, target):
        target.dead = self.died = True
        target.lapse()
        if self.random.random() < 0.5:
            self.later(time.monotonic() + 2, self.replace, target)

    def come(self):
        self.add_target(self.random.choice(self.names()))

    def configure(self):
        self.version += 1
        self.configure_again()

    def weigh(self):
        """Splits the flows of a port between both services."""
        port = self.random.choice(list(self.services))
        self.callers.allowed[port] = set(self.names())
        self.weights[port] = {s: self.random.choice((1, 3, 90)) for s in self.names()}
        self.configure()

    def evacuate(self):
        """One data centre at a time, so that the other one can serve."""
        now = time.monotonic()
        if self.evacuations and now < self.evacuations[-1][2]:
            return
        dc = self.random.choice(self.dcs)
        end = now + self.random.uniform(1, 6)
        self.store.put("evacuations", dc, {})
        self.evacuations.append((dc, time.monotonic(), end))
        self.later(end, self.store.put, "evacuations", dc, None)

    def burst(self):
        """One at a time, so that each has its own account."""
        now = time.monotonic()
        if self.callers.bursts and now < self.callers.bursts[-1].end + bursts.AFTERMATH_S:
            return
        ports, factor = self.random.choice(bursts.choices()), self.random.choice(bursts.FACTORS)
        end = now + self.random.uniform(*bursts.SECONDS)
        self.callers.bursts.append(bursts.Burst(ports, factor * self.rate, now, end))

    def signal_for(self, number, undo, low, high):
        inst = self.random.choice(self.instances)
        end = self.fault(self.random.uniform(low, high))
        inst.signal(number)
        self.later(end, undo, inst)

    def kill(self):
        self.signal_for(signal.SIGKILL, self.start_again, 0.3, 1.5)

    def stop(self):
        self.signal_for(signal.SIGTERM, self.start_again, STOP_GRACE_S, STOP_GRACE_S + 1)

    def pause(self):
        self.signal_for(signal.SIGSTOP, lambda inst: inst.signal(signal.SIGCONT),
                        0.3, PAUSE_MAX_S)

    def kill_all(self):
        end = self.fault(0.5)
        for inst in self.instances:
            inst.signal(signal.SIGKILL)
            self.later(end, self.start_again, inst)

    def start_again(self, inst):
        if inst.process.poll() is None:
            self.check_stopping(inst)
            return
        inst.process.wait()
        inst.start()

    def proxy_fault(self):
        mode = self.random.choice(("delay", "silent", "answers-lost", "refuse"))
        some = self.random.sample(self.proxies, self.random.randint(1, INSTANCES))
        end = self.store_fault(self.random.uniform(0.5, 5))
        for proxy in some:
            proxy.set_mode(mode)
            self.later(end, proxy.set_mode, "pass")

    def connections_reset(self):
        self.fault(0.1)
        for proxy in self.proxies:
            proxy.reset_all()

    def store_down(self):
        end = self.outage(self.random.uniform(0.5, 5))
        self.store.set_fault("down", True)
        self.later(end, self.store_up)

    def store_up(self):
        """Ends all outages, those included that were to last longer."""
        now = time.monotonic()
        self.outages = [(start, min(end, now)) for start, end in self.outages]
        self.store.set_fault("down", False)

    def store_stale(self):
        end = self.fault(self.random.uniform(0.5, 4))
        self.store.set_fault("stale", True)
        self.later(end, self.store.set_fault, "stale", False)

    def store_compacts(self):
        self.fault(0.1)
        self.listings += INSTANCES
        self.store.set_fault("compact", True)

    def store_returns(self):
        """Away for a moment, then back from an older copy; what was written is written again."""
        end = self.outage(self.random.uniform(0.2, 1.5))
        self.store.set_fault("down", True)
        self.later(end, self.come_back, self.random.randint(1, LOST_MAX))

    def come_back(self, lost):
        now = time.monotonic()
        self.returned_at.append(now)
        self.listings += INSTANCES
        self.store.come_back(lost)
        self.store_up()
        self.later(now + self.random.uniform(0, 1), self.configure_again)
        if self.evacuations:
            self.later(now + self.random.uniform(0, 1), self.evacuate_again)
        reports = {target: now + self.random.uniform(0, REPORT_S) for target in self.targets}
        for target, at in reports.items():
            self.later(at, self.report_again, target)
        self.note_absences(now, reports)

    def note_absences(self, now, reports):
        """Services of which the copy has no live target, until one of them reports."""
        present = self.store.names("servers")
        for service in self.names():
            live = self.live(service)
            if live and not any(t.name in present for t in live):
                self.absences.append((now, min(reports[t] for t in live), service))

    def evacuate_again(self):
        last, _, end = self.evacuations[-1]
        for dc in self.dcs:
            wanted = dc == last and time.monotonic() < end
            self.store.put("evacuations", dc, {} if wanted else None)

    def configure_again(self):
        put_config(self.store, self.services, self.version, weights=self.weights,
                   terms=bursts.TERMS if self.bursting else None)

    def report_again(self, target):
        """Only a live target reports; the entry of another one lapses."""
        if target.dead:
            self.later(time.monotonic() + LAPSE_S - REPORT_S, self.lapse_if_dead, target)
        else:
            target.report()

    def lapse_if_dead(self, target):
        if target.dead:
            target.lapse()

    KINDS = ((crash, 4), (leave, 4), (come, 2), (configure, 3), (kill, 3), (stop, 2), (pause, 2),
             (kill_all, 1), (proxy_fault, 3), (connections_reset, 1), (store_down, 2),
             (store_stale, 1), (store_compacts, 1), (store_returns, 2))
    SPLIT_KINDS = ((evacuate, 6), (weigh, 3))
    BURST_KINDS = ((burst, 12),)

    # What is promised.

    def disturbed(self, start, end):
        return any(a < end and start < b + AFTERMATH_S for a, b in self.faults)

    def check_bound(self, what, since, flows):
        """A change holds in time where instances and store were undisturbed."""
        late = [t for t in flows if t > since + DRAIN_BOUND_S + SLACK_S]
        if late and not self.disturbed(since, late[0]):
            self.problems.append(f"{what}: {len(late)} new flows, the first "
                                 f"{late[0] - since:.1f} s later")

    def check_evacuation(self, dc, start, end):
        late = sorted(t for target in self.targets if target.dc == dc for t in target.opened_at
                      if start + EVACUATION_BOUND_S + SLACK_S < t < end)
        if late and not self.disturbed(start, late[0]):
            self.problems.append(f"{dc} was evacuated: {len(late)} new flows, the first "
                                 f"{late[0] - start:.1f} s later")

    def check_returned(self, target, at):
        """What had left in time before a return is not used again, but by one that starts then."""
        left = target.leaves_at and target.leaves_at + DRAIN_BOUND_S + SLACK_S
        started = any(at - START_S < t < at + LAPSE_S for i in self.instances for t in i.starts)
        if not left or left > at or started or self.disturbed(target.leaves_at, left):
            return
        late = [t for t in target.opened_at if at < t < at + LAPSE_S]
        if late:
            self.problems.append(f"{target.name} had left: {len(late)} new flows since the store "
                                 f"came back, the first {late[0] - at:.1f} s after")

    def check_calls(self):
        starts = sum(len(i.starts) for i in self.instances)
        allowed = ((time.monotonic() - self.began) * CALLS_PER_S
                   + (starts + self.listings) * CALLS_PER_LISTING)
        if self.store.reads() > allowed:
            self.problems.append(f"{self.store.reads()} calls to the store, {allowed:.0f} allowed")

    def check_stopping(self, inst):
        """A stop that was asked for ends within its grace time, unless the process was paused."""
        asked = inst.stop_asked
        if asked is None or any(t > max(asked - PAUSE_MAX_S, inst.starts[-1])
                                for t in inst.paused_at):
            return
        if time.monotonic() - asked > STOP_GRACE_S:
            self.problems.append(f"{inst.name} still runs after its grace time")

    def check_logs(self):
        for inst in self.instances:
            version = 0
            with open(os.path.join(self.folder, inst.name + ".log"), encoding="ascii") as f:
                for line in f:
                    got = dict(p.split("=", 1) for p in line.split() if "=" in p)
                    if got["name"] == "ENTRY_STARTED":
                        version = 0
                    elif got["name"] == "ROUTES_IN_FORCE":
                        if int(got["version"]) < version:
                            self.problems.append(f"{inst.name} took version {version} back")
                        version = int(got["version"])
                    elif got["level"] == "error":
                        self.problems.append(f"{inst.name} logged {got['name']}")
            if version != self.version:
                self.problems.append(f"{inst.name} has version {version}, not {self.version}")

    def usable(self, target, at):
        """By the content of the store, the target may get a new flow."""
        left = [t for t in (target.leaves_at, target.lapsed_at) if t]
        return (target.comes_at <= at and all(at < t for t in left)
                and not any(dc == target.dc and start <= at < end
                            for dc, start, end in self.evacuations))

    def none_usable(self, flow):
        """The store has had no target for the flow at some time within the bound of a view."""
        services = self.callers.allowed.get(flow.dport, {flow.service})
        targets = [t for t in self.targets if t.service in services]
        since = flow.failed_at - EVACUATION_BOUND_S - SLACK_S
        changes = [t for target in targets for t in (target.leaves_at, target.lapsed_at) if t]
        changes += [start for _, start, _ in self.evacuations]
        moments = [since] + [t for t in changes if since < t <= flow.failed_at]
        return any(not any(self.usable(t, at) for t in targets) for at in moments)

    def was_refused(self, flow, what, by):
        """An instance has reset the flow before it was open."""
        return what == "reset" and not flow.open and by in {i.ip for i in self.instances}

    def burst_explains(self, flow, at):
        """A burst explains that a packet of the flow was dropped, or the flow refused, at @at."""
        return bursts.in_force(self.callers.bursts, self.callers.services_of, flow.dport, at)

    def refused(self):
        """Flows that were told that their request has not run."""
        return [flow for flow, what, by in self.callers.failed
                if what == "turned away" or self.was_refused(flow, what, by)]

    def check_end(self):
        if self.callers.wrong:
            self.problems.append(f"{self.callers.wrong} answers of another service")
        self.problems += bursts.check_runs(self.callers.targets, self.callers.services_of,
                                           self.refused())
        refused = sum(self.was_refused(flow, what, by) and not self.none_usable(flow)
                      and not self.burst_explains(flow, flow.failed_at)
                      for flow, what, by in self.callers.failed)
        if refused:
            self.problems.append(f"{refused} flows refused while targets were there")
        if self.callers.told and not self.died:
            self.problems.append(f"{self.callers.told} open flows reset though no target had died")
        self.check_calls()
        for evacuation in self.evacuations:
            self.check_evacuation(*evacuation)
        for target in self.targets:
            for at in self.returned_at:
                self.check_returned(target, at)
            if target.leaves_at:
                self.check_bound(f"{target.name} left", target.leaves_at, target.opened_at)
            self.check_bound(f"{target.name} took over an address", target.comes_at,
                             target.foreign_opened_at)
        for inst in self.instances:
            for _ in range(READY_POLLS):
                inst.poll()
                if inst.ready:
                    break
                time.sleep(0.2)
            if not inst.ready:
                self.problems.append(f"{inst.name} is not ready at the end")
            elif inst.process.poll() is not None:
                self.problems.append(f"{inst.name} has ended by itself")
            self.check_stopping(inst)

    # What was not answered. Each failure names the fault that was in force for it.

    def start_cause(self, inst, at):
        """An instance needs the store, or a neighbour that has a view, to begin."""
        start = max((t for t in inst.starts if t <= at), default=at)
        if at - start < START_S:
            return "instance starting"
        if any(a < at and start < b + RETRY_S for a, b in self.store_faults):
            return "instance starts without the store"
        return None

    def readable_from(self, since, service):
        """When the store could first be read, for long enough, with a target of the service."""
        blocked = sorted(self.outages + [(a, b) for a, b, s in self.absences if s == service])
        for start, end in blocked:
            if start < since + READ_S and since < end:
                since = end
        return since

    def targets_unknown(self, at, service):
        """No instance has been able to learn of a target of the service since its start."""
        starts = [max((t for t in inst.starts if t <= at), default=at) for inst in self.instances]
        return at < min(self.readable_from(t, service) for t in starts) + RETRY_S

    def pause_after(self, inst, at):
        """How long after @at the instance was paused, if that was within the transit time."""
        return min((t - at for t in inst.paused_at if at <= t <= at + TRANSIT_S), default=None)

    def note_pauses(self, flow, what):
        """Records how long before a pause the packets of a flow were sent that may have waited."""
        for at, inst, state in flow.packets:
            if self.packet_cause(flow, (at, inst, state)) == "instance paused in transit":
                self.notes.append(f"{flow.sport}-{flow.service} {what}: sent "
                                  f"{self.pause_after(inst, at) * 1000:.1f} ms before "
                                  f"{inst.name} was paused")

    def packet_cause(self, flow, sent):
        """Why a packet of a flow had no effect, or None."""
        at, inst, state = sent
        if state == "starting":
            return self.start_cause(inst, at)
        if state != "serving":
            return f"instance {state}"
        if any(at <= killed <= at + TRANSIT_S for killed in inst.killed_at):
            return "instance killed"
        if any(at <= t <= at + TRANSIT_S for target in self.callers.targets
               for t in target.swallowed.get(flow.sport, ())):
            return "target dead"
        if any(start < at + TRANSIT_S and at < end for start, end in self.callers.stalls):
            return "stand-ins stalled"
        if self.targets_unknown(at, flow.service):
            return "targets unknown to all"
        if (self.burst_explains(flow, at)
                and sent in flow.packets[:min(flow.copies + 1, bursts.DEFERRED_COPIES)]):
            return "deferred in a burst"
        if self.pause_after(inst, at) is not None:
            return "instance paused in transit"
        return None

    def target_restarted(self, flow):
        return any(flow.started <= t for target in self.callers.targets
                   for t in target.restarted_at)

    def failure_causes(self, flow, what, by):
        """The causes of a failure; a None among them is not explained."""
        if what == "turned away":
            explained = self.burst_explains(flow, flow.failed_at)
            return {"turned away in a burst" if explained else None}
        from_instance = by in {i.ip for i in self.instances}
        if what == "reset" and not from_instance and self.target_restarted(flow):
            return {"target restarted"}
        if self.was_refused(flow, what, by) and self.none_usable(flow):
            return {"no target allowed"}
        if self.was_refused(flow, what, by) and self.burst_explains(flow, flow.failed_at):
            return {"refused in a burst"}
        if what == "reset" and from_instance:
            # The last packet was answered by the reset, which tells that the target is dead.
            causes = {self.packet_cause(flow, sent) for sent in flow.packets[:-1]}
            return causes if "target dead" in causes else causes | {None}
        # The last packet of an open flow may be answered just when its caller gives up.
        given_up = flow.started + GIVE_UP_S - TRANSIT_S
        return {self.packet_cause(flow, sent) for sent in flow.packets if sent[0] < given_up}

    def account(self):
        """Counts the causes of what was not answered; a failure without one breaks the run."""
        self.causes = collections.Counter()
        for flow, what, by in self.callers.failed:
            causes = self.failure_causes(flow, what, by)
            self.causes["+".join(sorted(str(c) for c in causes))] += 1
            if "instance paused in transit" in causes:
                self.note_pauses(flow, what)
            if None in causes:
                steps = ", ".join("%.2f %s %s" % (at - flow.started, inst.name,
                                                  self.packet_cause(flow, (at, inst, state)))
                                  for at, inst, state in flow.packets)
                self.problems.append(f"{flow.sport}-{flow.service} {what} without a cause: {steps}")

    def describe_bursts(self):
        """What was turned away and answered in bursts, for the summary line."""
        if not self.bursting:
            return ""
        c = self.callers
        found = bursts.shares(c.bursts, c.services_of, c.played, self.refused())
        return f"turned-away={c.turned_away} {bursts.describe(c.bursts, found)} "

    # The run.

    def step(self, now):
        due = [p for p in self.pending if p[0] <= now]
        self.pending = [p for p in self.pending if p[0] > now]
        for _, function, args in sorted(due, key=lambda p: p[0]):
            function(*args)
        if now >= self.next_fault and now < self.last_fault:
            kinds, weights = zip(*self.kinds)
            self.random.choices(kinds, weights)[0](self)
            # Now and then the next one follows at once.
            self.next_fault = now + self.random.choice((0, 0.2, 0.5, 1, 1.5))

    def run(self):
        for _ in range(START_LIMIT_S * 2):
            self.callers.run(0.5, 0)
            if all(i.ready for i in self.instances):
                break
        now = self.began = time.monotonic()
        self.next_fault, self.last_fault = now + 1, now + self.seconds
        self.callers.run(self.seconds + CALM_S - SERVED_S, self.rate, self.step)
        before = len(self.callers.failed)
        self.callers.run(SERVED_S, self.rate, self.step)
        started = self.callers.sent
        self.callers.run(2.5, 0)
        failed = len(self.callers.failed) - before
        if failed:
            self.problems.append(f"{failed} requests failed at the end, without a fault")
        if started != self.callers.sent or not self.callers.answered:
            self.problems.append("no requests were played")
        self.check_end()

    def close(self):
        for inst in self.instances:
            inst.signal(signal.SIGCONT)
            inst.stop()
        for log in self.logs:
            log.close()
        for proxy in self.proxies:
            proxy.stop()
        self.store.stop()


def play(seed, seconds, keep):
    folder = tempfile.mkdtemp(prefix="ht-soak-")
    soak = Soak(seed, seconds, folder)
    try:
        soak.run()
    finally:
        soak.close()
    soak.check_logs()
    soak.account()
    c = soak.callers
    print(f"soak: seed={seed} sent={c.sent} answered={c.answered} lost={c.lost} reset={c.reset} "
          f"faults={len(soak.faults)} targets={len(soak.targets)} {soak.describe_bursts()}"
          f"{'BROKEN' if soak.problems else 'kept'}", flush=True)
    if soak.causes:
        print(f"soak: seed={seed} not answered: "
              + ", ".join(f"{cause} {n}" for cause, n in soak.causes.most_common()))
    for note in soak.notes[:NOTES_MAX]:
        print(f"soak: seed={seed} trace: {note}")
    if len(soak.notes) > NOTES_MAX:
        print(f"soak: seed={seed} trace: {len(soak.notes) - NOTES_MAX} more")
    for problem in soak.problems:
        print(f"soak: seed={seed}: {problem}")
    if soak.problems and keep:
        shutil.move(folder, os.path.join(keep, f"soak-{seed}"))
    else:
        shutil.rmtree(folder)
    return not soak.problems


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("--seconds", type=float, default=12, help="time with faults")
    parser.add_argument("--keep", help="folder for the logs of seeds that break a promise")
    parser.add_argument("seeds", type=int, nargs="+")
    args = parser.parse_args()
    kept = [play(seed, args.seconds, args.keep) for seed in args.seeds]
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
