"""Starts a deployment of real processes on loopback and always ends what it started."""

import ctypes
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

from evidence import Evidence, read_lines

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, os.environ.get("HT_BUILD", "build"))
SLOTS = 3
# Speeds of targets and sizes of instances differ widely, as in both deployments.
SPEEDS = (1.0, 0.5, 2.0, 0.7, 1.4, 1.0, 0.6)
SIZES = (1.0, 2.0, 0.5)

LITORAL = {"region": "litoral", "dcs": ("paysandu", "salto", "fray-bentos"),
           "services": (("almacen", (5, 5, 4)), ("taller-docs", (2, 1, 1)))}
BRETAGNE = {"region": "bretagne", "dcs": ("atelier-nord", "atelier-sud", "magasin"),
            "services": (("comptoir", (5, 5, 4)), ("gabarits", (2, 1, 1)))}


class HarnessError(Exception):
    pass


def wall_ms():
    return int(time.time() * 1000)


def wait_until(what, limit_s, check, step_s=0.1):
    """Polls @check until it returns a true value; raises after @limit_s."""
    end = time.monotonic() + limit_s
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() > end:
            raise HarnessError(f"timeout after {limit_s} s: {what}")
        time.sleep(step_s)


def http(method, url, body=None, timeout=2.0):
    """Returns (status, JSON value); status 0 when there was no answer."""
    data = None if body is None else json.dumps(body).encode()
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        request = urllib.request.Request(url, method=method, data=data)
        with opener.open(request, timeout=timeout) as res:
            text = res.read()
            return res.status, json.loads(text) if text else None
    except urllib.error.HTTPError as e:
        return e.code, None
    except (OSError, ValueError, urllib.error.URLError):
        return 0, None


def die_with_parent():
    """PR_SET_PDEATHSIG: no child outlives a harness that was killed."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Process:
    """A child process with its log file."""

    def __init__(self, name, argv, log_dir):
        self.name = name
        self.argv = argv
        self.log = os.path.join(log_dir, f"{name}.log")
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(argv, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                          preexec_fn=die_with_parent)

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def alive(self):
        return self.popen.poll() is None

    def wait(self, limit_s):
        """Exit status, or None when it still runs after @limit_s."""
        try:
            return self.popen.wait(limit_s)
        except subprocess.TimeoutExpired:
            return None


class Instance:
    def __init__(self, dep, dc, number):
        self.dep, self.dc = dep, dc
        self.name = f"{dc}-{number}"
        self.ip = dep.ip(10 + dep.dcs.index(dc), number)
        self.size = SIZES[(number - 1) % len(SIZES)]
        self.state = "live"
        self.process = None

    def listing(self):
        return {"name": self.name, "data_centre": self.dc, "peer_address": f"{self.ip}:7000",
                "admin_address": f"{self.ip}:7001", "bind_ip": self.ip, "size": self.size,
                "state": self.state}

    def settings(self):
        return {"name": self.name, "data_centre": self.dc, "region": self.dep.region,
                "size": self.size, "peer_address": f"{self.ip}:7000",
                "admin_address": f"{self.ip}:7001", "platform_address": self.dep.platform,
                "key_file": self.dep.path("key"), "bind_ip": self.ip}

    def start(self):
        path = self.dep.path(f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(self.settings(), f)
        binary = os.path.join(BUILD, "hickorytrestled")
        self.process = self.dep.spawn(self.name, [binary, "--settings", path])

    def status(self, timeout=1.0):
        return http("GET", f"http://{self.ip}:7001/status", timeout=timeout)[1]


class Target:
    def __init__(self, dep, service, dc, number, speed):
        self.dep, self.service, self.dc = dep, service, dc
        self.name = f"{service}-{number}"
        self.ip = dep.ip(100 + dep.dcs.index(dc), 1 + number + 20 * dep.services.index(service))
        self.address = f"{self.ip}:5700"
        self.speed = speed
        self.seed = number
        self.options = []
        self.process = None

    def rule(self):
        return (f"target {self.service} {self.name} dc {self.dc} address {self.address}"
                f" weight {self.speed}  # harness: initial set")

    def start(self, service_ms):
        binary = os.path.join(BUILD, "standins", "backend")
        argv = [binary, "--listen", self.address, "--service", self.service, "--name", self.name,
                "--journal", self.dep.path(f"{self.name}.journal"), "--slots", str(SLOTS),
                "--service-ms", str(service_ms), "--speed", str(self.speed),
                "--seed", str(self.seed)] + self.options
        self.process = self.dep.spawn(self.name, argv)


class Monitor(threading.Thread):
    """Polls the instances' configuration versions, to find late ones and reverts."""

    def __init__(self, dep):
        super().__init__(daemon=True)
        self.dep = dep
        self.rows = []  # (monotonic s, name, incarnation, version)
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(0.25):
            for inst in list(self.dep.instances):
                status = inst.status(timeout=0.3) if inst.state == "live" else None
                if status:
                    self.rows.append((time.monotonic(), inst.name, status.get("incarnation"),
                                      int(status.get("config_version", 0))))

    def reverts(self):
        """Moments at which a process showed a lower version than before."""
        last, found = {}, []
        for row in self.rows:
            key, version = row[1:3], row[3]
            if version < last.get(key, 0):
                found.append(row)
            last[key] = version
        return found


class Deployment:
    """One platform, a fabric, instances, targets and callers under one temporary directory."""

    def __init__(self, plan=LITORAL, per_dc=3, service_ms=60, keep=False):
        self.region, self.dcs = plan["region"], plan["dcs"]
        self.services = [name for name, _ in plan["services"]]
        self.keep = keep
        self.dir = tempfile.mkdtemp(prefix="hickorytrestle-")
        self.processes = []
        self.callers = []
        self.guard, self.net = self.pick_net()
        self.platform = f"{self.ip(0, 2)}:8080"
        self.service_ms = service_ms
        self.instances = [Instance(self, dc, n) for dc in self.dcs for n in range(1, per_dc + 1)]
        self.targets = self.plan_targets(plan)
        self.extra_rules = []
        self.applied = 0
        self.monitor = Monitor(self)

    def pick_net(self):
        """Takes a /16 of loopback for itself, so that runs can go on side by side."""
        for _ in range(100):
            net = 20 + secrets.randbelow(170)
            guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                guard.bind((f"127.{net}.0.1", 7999))
                return guard, net
            except OSError:
                guard.close()
        raise HarnessError("no free loopback network")

    def plan_targets(self, plan):
        targets = []
        for service, counts in plan["services"]:
            number = 0
            for dc, count in zip(self.dcs, counts):
                for _ in range(count):
                    number += 1
                    speed = SPEEDS[(number - 1) % len(SPEEDS)]
                    targets.append(Target(self, service, dc, number, speed))
        return targets

    def ip(self, third, fourth):
        return f"127.{self.net}.{third}.{fourth}"

    def path(self, name):
        return os.path.join(self.dir, name)

    def service_address(self, service):
        number = self.services.index(service)
        return f"{self.ip(200, 1 + number)}:{5683 + number}"

    def spawn(self, name, argv):
        process = Process(name, argv, self.dir)
        self.processes.append(process)
        return process

    # Life cycle

    def __enter__(self):
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
        return self

    def __exit__(self, kind, *_):
        self.monitor.stopping.set()
        # A planned stop of all instances at once is no subject of a run, and takes seconds.
        for process in self.processes:
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.wait(5)
        self.guard.close()
        if self.keep:
            print(f"kept {self.dir}", file=sys.stderr)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    def start(self, fabric_options=()):
        with open(os.open(self.path("key"), os.O_CREAT | os.O_WRONLY, 0o600), "w") as f:
            f.write(secrets.token_hex(32))
        self.spawn("platform", [os.path.join(BUILD, "standins", "platform"), self.platform])
        wait_until("platform", 5, lambda: self.control("GET", "/calls")[0] == 200)
        self.publish()
        for target in self.targets:
            target.start(self.service_ms)
        for inst in self.instances:
            inst.start()
        argv = [os.path.join(BUILD, "standins", "fabric"), "--platform", self.platform]
        for service in self.services:
            argv += ["--service", self.service_address(service)]
        self.spawn("fabric", argv + list(fabric_options))
        wait_until("status of all instances", 10, lambda: all(i.status() for i in self.instances))
        self.apply()
        self.wait_config(15)
        self.wait_targets(15)
        self.monitor.start()

    # Platform

    def control(self, method, path, body=None):
        return http(method, f"http://{self.platform}{path}", body)

    def knobs(self, **knobs):
        if self.control("PUT", "/knobs", knobs)[0] != 200:
            raise HarnessError(f"knobs {knobs} refused")

    def publish(self):
        """Writes the list of instances, as the platform does when it replaces them."""
        self.control("PUT", "/instances", [i.listing() for i in self.instances
                                           if i.state != "gone"])

    # Operators

    def rules(self):
        lines = [f"service {s} region {self.region} address {self.service_address(s)}"
                 "  # harness: initial set" for s in self.services]
        return "\n".join(lines + [t.rule() for t in self.targets] + self.extra_rules) + "\n"

    def ctl(self, *args, timeout=30):
        """Runs hickoryctl; returns (exit status, output)."""
        argv = [os.path.join(BUILD, "hickoryctl"), "--platform", self.platform, *args]
        done = subprocess.run(argv, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
                              timeout=timeout, check=False, preexec_fn=die_with_parent)
        return done.returncode, done.stdout

    def write_rules(self, name="rules", text=None):
        path = self.path(name)
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.rules() if text is None else text)
        return path

    def apply(self, expect=(0,)):
        self.applied = time.monotonic()
        status, out = self.ctl("apply", self.write_rules())
        if status not in expect:
            raise HarnessError(f"hickoryctl apply: exit status {status}: {out.strip()[-600:]}")
        return status, out

    def head_version(self):
        status, head = self.control("GET", "/v1/objects/config/head")
        return int(head["value"]["version"]) if status == 200 else 0

    def live(self):
        return [i for i in self.instances if i.state == "live" and i.process.alive()]

    def versions(self):
        return {i.name: int((i.status() or {}).get("config_version", 0)) for i in self.live()}

    def wait_config(self, limit_s=8, version=None):
        """Waits until the head's version is in force at every live instance; returns seconds."""
        version = version or self.head_version()
        wait_until(f"configuration {version} everywhere", limit_s,
                   lambda: all(v >= version for v in self.versions().values()))
        return time.monotonic() - self.applied

    def homes(self):
        """Target name to the instances that hold connections to it: (name, state, slots)."""
        homes = {}
        for inst in self.live():
            for row in (inst.status() or {}).get("targets", []):
                homes.setdefault(row["name"], []).append((inst.name, row["state"],
                                                           row["slots"]))
        return homes

    def wait_targets(self, limit_s):
        names = {t.name for t in self.targets}

        def all_up():
            homes = self.homes()
            # A new home has no slots until its takeover hold has passed.
            return names <= {n for n, rows in homes.items()
                             if any(state == "up" and slots for _, state, slots in rows)}
        try:
            wait_until("all targets up at a home", limit_s, all_up, 0.3)
        except HarnessError as e:
            homes = self.homes()
            states = {n: homes.get(n) for n in sorted(names)}
            raise HarnessError(f"{e}; homes: {json.dumps(states)}") from None

    # Instances and targets

    def find(self, name):
        return next(x for x in self.instances + self.targets if x.name == name)

    def stop_instance(self, inst, limit_s=20):
        """Planned stop: listed as leaving, SIGTERM, removed after its exit. Exit status."""
        inst.state = "leaving"
        self.publish()
        inst.process.signal(signal.SIGTERM)
        status = inst.process.wait(limit_s)
        inst.state = "gone"
        self.publish()
        return status

    def kill_instance(self, inst, list_lag_s=1.0):
        """Crash; the platform notices it after a while."""
        inst.process.signal(signal.SIGKILL)
        inst.process.wait(5)
        time.sleep(list_lag_s)
        inst.state = "gone"
        self.publish()

    def restart_instance(self, inst):
        inst.start()
        wait_until(f"status of {inst.name}", 10, inst.status)
        inst.state = "live"
        self.publish()

    # Callers

    def start_callers(self, requests=600, rate=75, processes=2, extra=()):
        """Starts @processes callers over all services; counts are for each of them."""
        for _ in range(processes):
            number = len(self.callers) + 1
            argv = [os.path.join(BUILD, "standins", "caller"), "--prefix", f"c{number}",
                    "--records", self.path(f"c{number}.records"), "--requests", str(requests),
                    "--rate", str(rate), "--seed", str(number), "--flows", "40"]
            for service in self.services:
                argv += ["--service", f"{service}={self.service_address(service)}"]
            self.callers.append(self.spawn(f"caller-{number}", argv + list(extra)))

    def wait_callers(self, limit_s):
        end = time.monotonic() + limit_s
        for caller in self.callers:
            if caller.wait(max(end - time.monotonic(), 0.1)) is None:
                raise HarnessError(f"{caller.name} still runs after {limit_s} s")

    def evidence(self):
        records, journal = [], []
        for number in range(1, len(self.callers) + 1):
            records += read_lines(self.path(f"c{number}.records"))
        for target in self.targets:
            journal += read_lines(self.path(f"{target.name}.journal"))
        return Evidence(records, journal, SLOTS)

    def crashed(self):
        """Processes that ended by themselves with a fault, with the end of their logs."""
        own = (0, -signal.SIGKILL, -signal.SIGTERM)
        return [f"{p.name}: exit status {p.popen.returncode}: {self.log_tail(p)}"
                for p in self.processes
                if p.popen.poll() is not None and p.popen.returncode not in own]

    def log_tail(self, process, lines=12):
        with open(process.log, encoding="utf-8", errors="replace") as f:
            return f.read().splitlines()[-lines:]
