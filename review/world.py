"""Stand-ins for the cases of this review: store, targets, callers, routers and the platform's start
of the entry instances. Everything runs on loopback addresses, in one asyncio loop.

They do what the users' pages say (PROTOCOL.md, DEPLOY.md) and no more:
- the store lists by kind and name, page by page, and serves watches; a cheap read (serializable=1)
  may be answered from a state that is seconds old;
- targets register, report draining, answer opening packets, acknowledge data and answer the caller
  directly; a packet for another target is ignored, one of an unknown flow is answered by RST;
- callers send an opening packet up to three times (0, 200, 600 ms), give up after 1.4 s, and send
  data again after 200 ms, doubled up to 1.6 s;
- routers ask for readiness twice a second and spread packets by a hash (mod) over the instances in
  rotation.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse
import zlib

HEAD = struct.Struct(">BBIIIH4s4sHHI")
SYN, ACK, FIN, RST = 128, 64, 8, 4
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "stabilityMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "rollbackSlackMs": 250, "outerMs": 12000, "recoveryS": 12, "flowGraceMs": 2000,
          "flowMaxS": 60}
HEARTBEAT_MS = 1200
KEY = b"review"
TIME_LIMIT_S = 2.0


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt of a case, and the time line since its start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


# --- the platform's way of writing settings -------------------------------------------------------

def lookup(table, name):
    for part in name.split("."):
        if isinstance(table, list):
            table = table[int(part)] if int(part) < len(table) else None
        elif isinstance(table, dict):
            table = table.get(part)
        else:
            return None
    return table


def render(template, table):
    """The part of the platform's templates that deploy/settings.tmpl uses."""
    def section(match):
        return match.group(2) if lookup(table, match.group(1)) else ""

    def value(match):
        found = lookup(table, match.group(1))
        if match.group(2):
            return json.dumps(found)
        if found is None:
            return ""
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


# --- store ----------------------------------------------------------------------------------------

class Store:
    """Objects by kind and name, with one revision counter. A spec is kept as JSON text."""

    def __init__(self, record, page=500, latency_s=0.004):
        self.record, self.page, self.latency = record, page, latency_s
        self.revision = 100
        self.objects = {}
        self.log = []  # (time, revision, kind, name, deleted, object text)
        self.changed = asyncio.Event()
        self.staleness = lambda kind, after: 0.0  # of a cheap read, in seconds
        self.refuses = lambda kind, label: False
        self.reads = 0
        self.servers = []

    async def start(self, ip):
        self.address = await self.listen(ip, "all")

    async def listen(self, ip, label):
        """Another address of the store; refuses() gets its label."""
        server = await asyncio.start_server(lambda r, wr: self.serve(r, wr, label), ip, 0)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def put(self, kind, name, spec):
        """Writes an object, or deletes it when spec is None; returns at the acknowledgement."""
        text = spec if spec is None or isinstance(spec, str) else json.dumps(spec)
        old = self.objects.get((kind, name))
        if text is None and old is None:
            return
        if text is not None and old is not None and self.same(old[1], text):
            return
        self.revision += 1
        shown = text if text is not None else old[1]
        obj = ('{"meta":{"name":%s,"rev":%d,"created":%d,"finalizers":[],"deletionPending":false},'
               '"spec":%s,"status":null}' % (json.dumps(name), self.revision, self.revision, shown))
        if text is None:
            del self.objects[kind, name]
        else:
            self.objects[kind, name] = (obj, text)
        self.log.append((time.monotonic(), self.revision, kind, name, text is None, obj))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    @staticmethod
    def same(old, new):
        """An entry changes when more than its sequence does."""
        cut = re.compile(r'"sequence": ?\d+')
        return cut.sub("", old) == cut.sub("", new)

    def state(self, age):
        """Objects and revision as they were @age seconds ago."""
        if not age:
            return {k: v[0] for k, v in self.objects.items()}, self.revision
        limit, objects, revision = time.monotonic() - age, {}, 100
        for at, rev, kind, name, deleted, obj in self.log:
            if at > limit:
                break
            revision = rev
            if deleted:
                objects.pop((kind, name), None)
            else:
                objects[kind, name] = obj
        return objects, revision

    def listing(self, kind, query):
        after = query.get("after", "")
        age = self.staleness(kind, after) if query.get("serializable") == "1" else 0
        objects, revision = self.state(age)
        names = sorted(n for k, n in objects if k == kind and n > after)
        items = ",".join(objects[kind, n] for n in names[:self.page])
        more = "true" if len(names) > self.page else "false"
        self.record.write("store: list %s after=%s cheap=%s -> %d items as of revision %d (now %d)"
                          % (kind, after, query.get("serializable", "0"), len(names[:self.page]),
                             revision, self.revision))
        return '{"items":[%s],"hasMore":%s,"at":%d}' % (items, more, revision)

    async def watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [e for e in self.log if e[1] > since and e[2] == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return '{"events":[%s],"at":%d}' % (",".join(
                    '{"object":%s,"deleted":%s}' % (e[5], "true" if e[4] else "false")
                    for e in events), self.revision)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def answer(self, path, label):
        url = urllib.parse.urlsplit(path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        words = url.path.split("/")
        self.reads += 1
        if words[:3] != ["", "-", "objects"] or len(words) != 4:
            return 404, "{}"
        if self.refuses(words[3], label):
            return 503, "{}"
        await asyncio.sleep(self.latency)
        if "watch" in query:
            return 200, await self.watch(words[3], query)
        return 200, self.listing(words[3], query)

    async def serve(self, reader, writer, label):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                status, body = await self.answer(head.split(" ")[1], label)
                data = body.encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


# --- packets --------------------------------------------------------------------------------------

def seal(flags, seq, ack, sport, src, dst, dport, data):
    text = struct.pack(">BIIH4s4sHH", flags, seq, ack, sport, src, dst, dport, len(data)) + data
    return zlib.crc32(KEY + text)


def pack(flags, seq, ack, sport, src, dst, dport, echo, data=b""):
    seq, ack = seq & 0xffffffff, ack & 0xffffffff
    return HEAD.pack(flags, 0, seq, ack, seal(flags, seq, ack, sport, src, dst, dport, data), sport,
                     src, dst, dport, len(data), echo) + data


class Packet:
    def __init__(self, raw):
        (self.flags, _, self.seq, self.ack, self.sum, self.sport, self.src, self.dst, self.dport,
         self.length, self.echo) = HEAD.unpack_from(raw)
        self.data = raw[HEAD.size:]
        self.whole = self.sum == seal(self.flags, self.seq, self.ack, self.sport, self.src,
                                      self.dst, self.dport, self.data)


def after(a, b):
    return ((a - b) & 0xffffffff) < 0x80000000


class Target(asyncio.DatagramProtocol):
    """A target: one lifetime under one id at one address."""

    def __init__(self, world, number, service, zone, work_s=0.05, slots=3):
        self.world, self.number, self.service, self.zone = world, number, service, zone
        self.id = "i-%08x" % number
        self.work, self.slots = work_s, slots
        self.flows, self.opened, self.ran = {}, [], []
        self.state, self.sequence, self.alive = "ready", 0, True
        self.born = int(time.time() * 1000)
        self.running, self.waiting = 0, []
        self.forged = 0
        self.beats = None

    async def listen(self, ip):
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(ip, 0))
        self.address = "%s:%d" % self.transport.get_extra_info("sockname")[:2]

    async def start(self, ip):
        await self.listen(ip)
        self.report()
        self.beats = asyncio.ensure_future(self.beat())

    def report(self):
        self.sequence += 1
        self.world.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "configVersion": "v1", "concurrency": self.slots, "state": self.state,
            "warmupLeftMs": 0, "sequence": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            self.report()

    def drain(self):
        """Reports draining; the store accepts it before this returns."""
        self.state = "draining"
        self.report()
        self.drained_at = self.world.record.now()
        self.world.record.write("target %s: draining, accepted by the store" % self.id)

    def leave(self):
        """Ends, after its time of draining: its entry is removed, its flows are gone."""
        self.alive = False
        self.beats.cancel()
        self.world.store.put("servers", self.id, None)
        self.transport.close()
        self.world.record.write("target %s: left, %d flows in work" % (self.id, self.running))

    def send(self, flow, flags, seq, ack, data=b""):
        src, sport, dst, dport = flow["key"]
        if self.alive:
            self.transport.sendto(pack(flags, seq, ack, dport, dst, src, sport, flow["echo"], data),
                                  (socket.inet_ntoa(src), self.world.packet_port))

    def datagram_received(self, raw, _addr):
        if not self.alive or int.from_bytes(raw[:8], "big") not in (0, self.number):
            return
        p = Packet(raw[8:])
        if not p.whole:
            self.forged += 1
            return
        key = (p.src, p.sport, p.dst, p.dport)
        flow = self.flows.get(key)
        if p.flags & SYN:
            if not flow or flow["peer"] != p.seq:
                flow = self.flows[key] = {
                    "key": key, "peer": p.seq, "seq": random.getrandbits(32), "next": p.seq + 1,
                    "open": False, "answer": None, "echo": p.echo, "at": self.world.record.now()}
            flow["echo"] = p.echo
            self.send(flow, SYN | ACK, flow["seq"], p.seq + 1)
            return
        if not flow or p.ack == flow["seq"] or (not flow["open"] and p.ack != (
                flow["seq"] + 1) & 0xffffffff):
            if not p.flags & RST:
                self.send({"key": key, "echo": p.echo}, RST, p.ack, 0)
            return
        flow["echo"] = p.echo
        if p.flags & RST:
            del self.flows[key]
            return
        if not flow["open"]:
            flow["open"] = True
            self.opened.append((self.world.record.now(), p.sport))
            self.world.on_open(self, p.sport)
        if p.data and p.seq == flow["next"] & 0xffffffff:
            flow["next"] += len(p.data)
            self.request(flow, p.data)
        if p.data:
            self.send(flow, ACK, flow["seq"] + 1, flow["next"])
            if flow["answer"] is not None:
                self.answer(flow)
        if p.flags & FIN:
            self.send(flow, ACK, flow["seq"] + 2 + len(flow["answer"] or b""), p.seq + 1)
            flow["done"] = True

    def request(self, flow, data):
        rid = data.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
        self.waiting.append((flow, rid))
        self.next_run()

    def next_run(self):
        while self.waiting and self.running < self.slots:
            flow, rid = self.waiting.pop(0)
            self.running += 1
            self.ran.append((self.world.record.now(), rid))
            self.world.on_run(self, rid)
            asyncio.get_running_loop().call_later(self.work, self.finish, flow, rid)

    def finish(self, flow, rid):
        self.running -= 1
        if not self.alive:
            return
        body = ("%s %s" % (self.service, rid)).encode()
        flow["answer"] = (b"HTTP/1.1 200 OK\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n"
                          % (self.id.encode(), len(body))) + body
        self.answer(flow)
        self.next_run()

    def answer(self, flow, attempt=0):
        """Sends the answer, again after 200 ms, doubled up to 1.6 s, 8 times at most."""
        if not self.alive or flow.get("done") or attempt > 8:
            return
        self.send(flow, ACK | FIN, flow["seq"] + 1, flow["next"], flow["answer"])
        if attempt or not flow.get("timed"):
            flow["timed"] = True
            asyncio.get_running_loop().call_later(min(0.2 * 2 ** attempt, 1.6), self.answer, flow,
                                                  attempt + 1)


# --- callers and routers --------------------------------------------------------------------------

class Request:
    """One attempt of a caller, on a flow of its own."""

    def __init__(self, world, sport, dport, method):
        self.world, self.sport, self.dport, self.method = world, sport, dport, method
        self.rid = "r%d" % sport
        self.seq, self.ack, self.echo = random.getrandbits(32), 0, 0
        self.sent_at = world.record.now()
        self.opened = self.done = False
        self.outcome = None
        self.taken_by = None
        self.via = []

    def send(self, flags, ack, data=b""):
        w = self.world
        inst = w.route(self)
        if inst is None:
            return
        if not self.via or self.via[-1] != inst.name:
            self.via.append(inst.name)
        w.callers.sendto(pack(flags, self.seq, ack, self.sport, w.client_ip, w.service_ip,
                              self.dport, self.echo, data), inst.packets)

    def start(self):
        loop = asyncio.get_running_loop()
        self.send(SYN, 0)
        loop.call_later(0.2, self.copy, 1)
        loop.call_later(0.6, self.copy, 2)
        loop.call_later(1.4, self.not_opened)
        loop.call_later(TIME_LIMIT_S, self.end, "time limit")

    def copy(self, number):
        if not self.opened and not self.done:
            self.send(SYN, number)

    def not_opened(self):
        if not self.opened:
            self.end("not opened")

    def ask(self, attempt=0):
        if self.done or attempt > 8 or self.acked:
            return
        self.send(ACK, self.ack, self.text)
        asyncio.get_running_loop().call_later(min(0.2 * 2 ** attempt, 1.6), self.ask, attempt + 1)

    def receive(self, p):
        if self.done:
            return
        if p.flags & RST:
            if self.opened and p.sum == 0 and ((p.seq - self.ack + 76800) & 0xffffffff) > 153600:
                return
            self.end("reset" if p.sum == 0 else "reset by target")
        elif p.flags & SYN and not self.opened:
            self.opened, self.acked = True, False
            self.echo, self.ack = p.echo, (p.seq + 1) & 0xffffffff
            self.seq = (self.seq + 1) & 0xffffffff
            self.text = ("%s / HTTP/1.1\r\nRequest-Id: %s\r\n\r\n" % (self.method,
                                                                      self.rid)).encode()
            self.ask()
        elif self.opened and not p.flags & SYN:
            if p.ack == (self.seq + len(self.text)) & 0xffffffff:
                self.acked = True
            if p.data and p.seq == self.ack:
                self.echo = p.echo
                self.seq = (self.seq + len(self.text)) & 0xffffffff
                body = p.data.split(b"\r\n\r\n")[1].decode()
                self.service = body.split(" ")[0]
                self.send(ACK | FIN, self.ack + len(p.data) + 1)
                self.end("200" if body.split(" ")[1] == self.rid else "wrong answer")

    def end(self, outcome):
        if self.done:
            return
        self.done, self.outcome = True, outcome
        self.ended_at = self.world.record.now()


class Callers(asyncio.DatagramProtocol):
    def __init__(self, world):
        self.world = world

    def datagram_received(self, raw, addr):
        p = Packet(raw)
        request = self.world.requests.get(p.dport)
        if not request:
            return
        if p.whole or (p.flags & RST and p.sum == 0 and not p.data):
            request.receive(p)
        else:
            self.world.forged += 1


class Instance:
    """One entry machine. The platform starts its program as the deploy file says."""

    def __init__(self, world, index, zone):
        self.world, self.index, self.zone = world, index, zone
        self.name = "front-%s-%d" % (zone, index)
        self.ip = world.net + ".1.%d" % (10 + index)
        self.packets = (self.ip, world.packet_port)
        self.misses, self.in_rotation = 2, False
        self.process = None
        self.started_at = None
        self.path = os.path.join(world.dir, self.name + ".json")
        self.log = open(os.path.join(world.dir, self.name + ".log"), "wb")

    def settings(self):
        w = self.world
        return {
            "nodeId": self.name, "role": "entry", "machineClass": "front",
            "serves": ["front", "control"], "ip": self.ip, "zone": self.zone, "region": "litoral",
            "listen": {"datagramAddr": "%s:%d" % self.packets,
                       "ready": "%s:%d" % (self.ip, w.ready_port),
                       "control": "%s:%d" % (self.ip, w.control_port)},
            "internalPorts": [w.internal_port, w.internal_port + 15],
            "seeds": ["%s.1.%d:%d" % (w.net, 10 + i, w.control_port) for i in range(3)],
            "bootstrap": False, "heartbeatMs": HEARTBEAT_MS,
            "limits": {"cpuShare": 0.055, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100},
            "bounds": w.bounds, "hashAlgo": "mod", "reachMode": "echo",
            "platform": {"address": w.store_address(self), "reachMode": "objects",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576}}

    def start(self):
        with open(os.path.join(ROOT, "deploy", "settings.tmpl"), encoding="utf-8") as f:
            text = render(f.read(), self.settings())
        json.loads(text)
        with open(self.path, "w", encoding="utf-8") as f:
            f.write(text)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["HICKORYTRESTLE_BOOT"] = self.path
        self.process = subprocess.Popen(["target/hickorytrestle-entry"], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=subprocess.STDOUT)
        self.started_at = self.world.record.now()
        self.misses, self.in_rotation = 2, False
        self.world.record.write("%s: started" % self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record.write("%s: %s" % (self.name, signal.Signals(number).name))

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def ask(self):
        """GET /-/readiness, as the routers do it; True for 200."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.world.ready_port), 0.4)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def poll(self):
        while True:
            self.misses = 0 if await self.ask() else self.misses + 1
            rotation = self.misses == 0 or (self.in_rotation and self.misses < 2)
            if rotation != self.in_rotation:
                self.world.record.write("%s: %s" % (self.name, "in rotation" if rotation else
                                                    "out of rotation"))
            self.in_rotation = rotation
            await asyncio.sleep(0.5)


class World:
    def __init__(self, folder, zones, page=500, bounds=None):
        self.record = Record(folder)
        self.net = "127.%d" % random.randint(40, 120)
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.bounds = bounds or BOUNDS
        self.packet_port, self.ready_port, self.control_port = self.free_ports(3)
        self.internal_port = random.randint(20000, 28000)
        self.client_ip = socket.inet_aton(self.net + ".9.9")
        self.service_ip = socket.inet_aton(self.net + ".200.1")
        self.store = Store(self.record, page)
        self.instances = [Instance(self, i, z) for i, z in enumerate(zones)]
        self.targets, self.requests, self.tasks = [], {}, []
        self.next_port, self.forged = 1024, 0
        self.runs = {}
        self.store_address = lambda inst: self.store.address

    @staticmethod
    def free_ports(count):
        socks = [socket.socket() for _ in range(count)]
        for s in socks:
            s.bind(("127.0.0.1", 0))
        ports = [s.getsockname()[1] for s in socks]
        for s in socks:
            s.close()
        return ports

    async def start(self):
        await self.store.start(self.net + ".3.1")
        self.callers, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Callers(self), local_addr=(self.net + ".9.9", self.packet_port))

    async def add_target(self, number, service, zone, **options):
        t = Target(self, number, service, zone, **options)
        await t.start(self.net + ".2.%d" % (1 + len(self.targets) % 250))
        self.targets.append(t)
        return t

    def put_config(self, version, routes, services):
        """@routes: {port: (service, kind)}"""
        self.store.put("config", "main", {
            "configVersion": version,
            "routes": [{"name": "r-%d" % port, "hostname": socket.inet_ntoa(self.service_ip),
                        "pathPrefix": "/%d/" % port, "routeType": kind, "timeoutMs": 2000,
                        "aimMs": 200, "priority": 2, "service": service, "maxAttempts": 2}
                       for port, (service, kind) in routes.items()],
            "services": [{"name": s, "healthPath": "/health", "maxConns": 2000, "protocol": "h1",
                          "tls": False} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.record.write("config: version %d accepted, %d routes" % (version, len(routes)))

    def start_instances(self):
        for inst in self.instances:
            inst.start()
            self.tasks.append(asyncio.ensure_future(inst.poll()))

    def route(self, request):
        ready = [i for i in self.instances if i.in_rotation]
        if len(ready) * 2 < len(self.instances):
            ready = self.instances
        return ready[zlib.crc32(b"%d %d" % (request.sport, request.dport)) % len(ready)]

    def on_open(self, target, sport):
        request = self.requests.get(sport)
        if request:
            request.taken_by = target
            request.taken_at = self.record.now()

    def on_run(self, target, rid):
        self.runs.setdefault(rid, []).append(target.id)

    async def traffic(self, per_s, ports, until=None):
        """Starts requests evenly; @ports: list of (port, method)."""
        turn = 0
        due = time.monotonic()
        while until is None or self.record.now() < until:
            port, method = ports[turn % len(ports)]
            turn += 1
            self.next_port += 1
            request = Request(self, self.next_port, port, method)
            self.requests[request.sport] = request
            request.start()
            due += 1 / per_s
            await asyncio.sleep(max(0, due - time.monotonic()))

    async def at(self, second):
        await asyncio.sleep(max(0, second - self.record.now()))

    def summary(self, since=0, until=1e9):
        counts = {}
        for r in self.requests.values():
            if since <= r.sent_at < until and r.done:
                counts[r.outcome] = counts.get(r.outcome, 0) + 1
        return counts

    def write_requests(self):
        for r in sorted(self.requests.values(), key=lambda r: r.sent_at):
            self.record.write("request %s sent=%.3f via=%s outcome=%s taken_by=%s ran=%s" % (
                r.rid, r.sent_at, ",".join(r.via), r.outcome,
                r.taken_by.id + " at=%.3f" % r.taken_at if r.taken_by else "-",
                ",".join(self.runs.get(r.rid, [])) or "-"))

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for server in self.store.servers:
            server.close()
        for inst in self.instances:
            if inst.process and inst.process.poll() is None:
                inst.process.kill()
            if inst.process:
                inst.process.wait()
            inst.log.close()
        for t in self.targets:
            if t.alive:
                if t.beats:
                    t.beats.cancel()
                t.transport.close()
        if os.environ.get("KEEP_LOGS"):
            for inst in self.instances:
                shutil.copy(inst.log.name, os.environ["KEEP_LOGS"])
        shutil.rmtree(self.dir, ignore_errors=True)


def run_case(play):
    """@play: coroutine that returns True if the rule held, False if not, None if it couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(play())
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        return 2
    if held is None:
        return 2
    return 0 if held else 1
