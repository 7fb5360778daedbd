"""Stand-ins for the cases 6 to 10: the platform's store, routers, targets and clients, on loopback.

They follow PROTOCOL.md. Everything runs in one asyncio loop; the instances under test are separate
processes, started with the command and the settings template of the deploy files.
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
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEAD = struct.Struct(">BBIIIH4s4sHHI")
SYN, ACK, FIN, RST = 128, 64, 8, 4
SUM_KEY = b"lab"
ROUTE_IP = "198.18.0.1"  # only a value in packets; nothing is sent there
# Bounds of the small deployments (SYSTEM.md), in the form of the settings in DEPLOY.md.
BOUNDS = {"drainMs": 3000, "configApplyMs": 3000, "graceS": 6, "flowMaxS": 60}


def now():
    return time.monotonic()


def packet(flags, seq, ack, src, sport, dst, dport, payload=b"", echo=0):
    body = struct.pack(">BIIH4s4sHH", flags & ~1, seq, ack, sport, src, dst, dport, len(payload))
    total = zlib.crc32(SUM_KEY + body + payload)
    return HEAD.pack(flags, 0, seq, ack, total, sport, src, dst, dport, len(payload),
                     echo) + payload


def sum_is_right(data):
    flags, _, seq, ack, total, sport, src, dst, dport, length, _ = HEAD.unpack_from(data)
    body = struct.pack(">BIIH4s4sHH", flags & ~1, seq, ack, sport, src, dst, dport, length)
    return total == zlib.crc32(SUM_KEY + body + data[HEAD.size:])


def render(text, values):
    """Fills in a settings template as DEPLOY.md says, as far as deploy/settings.tmpl needs it."""
    def look_up(name):
        found = values
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                return None
        return found

    def section(m):
        return m.group(2) if look_up(m.group(1)) not in (None, False) else ""

    def value(m):
        found = look_up(m.group(1))
        if m.group(2):
            return json.dumps(found)
        if isinstance(found, list):
            return ",".join(str(x) for x in found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.start, text))
        self.file.flush()


class Store:
    """Objects by kind and name, with watches. It listens once for each machine, so that a machine can
    be partitioned from it: then nothing that it sends is answered, and connections stay open."""

    def __init__(self):
        self.rev = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.cut = set()
        self.calls = []  # (time, machine, kind, query)
        self.on_call = None
        self.servers = []

    async def listen(self, machine, ip):
        async def serve(reader, writer):
            try:
                await self.serve(machine, reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, ip, 0)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()

    async def put(self, kind, name, spec):
        """Writes or, without a @spec, deletes an object. What it returns is the acknowledgement."""
        async with self.changed:
            self.rev += 1
            obj = {"meta": {"name": name, "rev": self.rev, "created": self.rev, "finalizers": [],
                            "deletionPending": False}, "spec": spec, "status": None}
            if spec is None:
                obj["spec"] = self.objects.pop((kind, name))["spec"]
            else:
                self.objects[(kind, name)] = obj
            self.history.append((self.rev, kind, {"object": obj, "deleted": spec is None}))
            self.changed.notify_all()
        return now()

    def events(self, kind, since):
        return [e for rev, k, e in self.history if k == kind and rev > since]

    async def watch(self, kind, since, wait):
        end = now() + wait
        async with self.changed:
            while not self.events(kind, since) and end > now():
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    break
            return {"events": self.events(kind, since), "at": self.rev}

    def list(self, kind, after):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        return {"items": [self.objects[(kind, n)] for n in names[:500]],
                "hasMore": len(names) > 500, "at": self.rev}

    async def held(self, machine):
        while machine in self.cut:
            await asyncio.sleep(0.01)

    async def serve(self, machine, reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if machine in self.cut:
                await asyncio.sleep(3600)  # it never arrives; the connection hangs
            url = urllib.parse.urlsplit(head.split(b" ")[1].decode())
            kind = url.path.split("/")[3]
            query = dict(urllib.parse.parse_qsl(url.query))
            self.calls.append((now(), machine, kind, query))
            if self.on_call:
                self.on_call(machine, kind, query)
            await asyncio.sleep(0.004)
            if "watch" in query:
                answer = await self.watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
            else:
                answer = self.list(kind, query.get("after", ""))
            body = json.dumps(answer).encode()
            if machine in self.cut:
                await asyncio.sleep(3600)  # lost
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()


class Target:
    """One target: `echo` form, a flow for each request, answers after @work_s."""

    def __init__(self, lab, number, service, zone, ip, work_s, slots=3, warmup_ms=0):
        self.lab, self.number, self.service, self.zone = lab, number, service, zone
        self.name = "i-%08x" % number
        self.work_s, self.slots, self.warmup_ms = work_s, slots, warmup_ms
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind((ip, 0))
        self.address = "%s:%d" % self.sock.getsockname()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.flows = {}  # key -> own seq
        self.opened = []  # (time, instance, client's time) of flows that it has taken
        self.ran = {}  # request -> times
        self.odd = []  # what no sound packet explains
        lab.loop.add_reader(self.sock, self.receive)

    async def report(self, state=None):
        self.state = state or self.state
        self.sequence += 1
        return await self.lab.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "configVersion": "v1", "concurrency": self.slots, "state": self.state,
            "warmupLeftMs": self.warmup_ms, "sequence": self.sequence, "born": self.born})

    def receive(self):
        while True:
            try:
                data, source = self.sock.recvfrom(2000)
            except BlockingIOError:
                return
            self.take(data, source)

    def take(self, data, source):
        intended, data = int.from_bytes(data[:8], "big"), data[8:]
        flags, _, seq, ack, _, sport, src, dst, dport, length, echo = HEAD.unpack_from(data)
        if intended not in (0, self.number):
            return
        if not sum_is_right(data):
            self.odd.append("packet changed on its way")
            return
        key = (src, sport, dst, dport)

        def send(out_flags, out_seq, out_ack, payload=b""):
            self.sock.sendto(packet(out_flags, out_seq, out_ack, dst, dport, src, sport, payload,
                                    echo), (socket.inet_ntoa(src), self.lab.packet_port))

        if flags & SYN:
            if key not in self.flows:
                self.flows[key] = random.getrandbits(31)
                self.opened.append((now(), source[0], self.lab.client.flow_sent(sport)))
                self.lab.on_opened(self, source[0], sport)
            send(SYN | ACK, self.flows[key], (seq + 1) & 0xffffffff)
        elif flags & RST:
            self.flows.pop(key, None)
        elif key not in self.flows:
            if not flags & FIN:
                send(RST, ack, 0)
        elif length:
            first = (self.flows[key] + 1) & 0xffffffff
            end = (seq + length) & 0xffffffff
            send(ACK, first, end)
            if key in self.ran:
                return
            self.ran[key] = now()
            self.lab.loop.call_later(self.work_s, send, ACK | FIN, first, end,
                                     self.service.encode().ljust(400))


class Instance:
    """A machine of class front with one process of the role `entry`."""

    def __init__(self, lab, index, zone, seeds, share=0.5):
        self.lab, self.index, self.zone = lab, index, zone
        self.name = "front-%s-%d" % (zone, index)
        self.ip = "%s.%d" % (lab.net, 20 + index)
        self.seeds, self.share = seeds, share
        self.dir = os.path.join(lab.tmp, self.name)
        os.mkdir(self.dir)
        self.ready, self.misses = False, 0
        self.process = None

    def write_settings(self):
        """What the platform does at every start, and whenever the settings change."""
        listen = {"datagramAddr": "%s:%d" % (self.ip, self.lab.packet_port),
                  "ready": "%s:%d" % (self.ip, self.lab.ready_port)}
        values = {"nodeId": self.name, "zone": self.zone, "ip": self.ip, "listen": listen,
                  "limits": {"cpuShare": self.share}, "heartbeatMs": 1200,
                  "bounds": self.bounds,
                  "internalPorts": [self.lab.peer_port, self.lab.peer_port + 9],
                  "platform": {"address": self.store}, "seeds": self.seeds}
        with open(os.path.join(ROOT, "deploy", "settings.tmpl"), encoding="utf-8") as f:
            text = render(f.read(), values)
        json.loads(text)
        path = os.path.join(self.dir, "settings.json")
        with open(path + ".new", "w", encoding="utf-8") as f:
            f.write(text)
        os.rename(path + ".new", path)
        return path

    async def start(self, bounds):
        self.bounds = bounds
        self.store = await self.lab.store.listen(self.name, self.lab.net + ".1")
        path = self.write_settings()
        program = os.path.join(ROOT, "target", "hickorytrestle-entry")
        with open(os.path.join(self.dir, "log"), "ab") as log:
            self.process = subprocess.Popen(
                [program], cwd=ROOT, stdout=log, stderr=log,
                env={"HICKORYTRESTLE_BOOT": path, "PATH": os.environ["PATH"]})
        self.lab.record("start %s pid %d" % (self.name, self.process.pid))

    def signal(self, number):
        self.lab.record("signal %s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    async def poll(self):
        """The routers: twice a second; out after two misses, in again after one answer."""
        while True:
            good = False
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self.ip, self.lab.ready_port), 0.4)
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 0.4)
                good = b" 200 " in line
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            self.misses = 0 if good else self.misses + 1
            before = self.ready
            self.ready = good or (self.ready and self.misses < 2)
            if self.ready != before:
                self.lab.record("rotation %s %s" % (self.name, "in" if self.ready else "out"))
            await asyncio.sleep(0.5)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Flow:
    def __init__(self, sport, port):
        self.sport, self.port = sport, port
        self.seq, self.ack, self.echo = random.getrandbits(31), 0, 0
        self.sent = now()
        self.outcome = None
        self.open = False
        self.done = asyncio.Event()
        self.through = []


class Client:
    """Requests with a flow each; copies and time limits as in PROTOCOL.md."""

    def __init__(self, lab, ip):
        self.lab, self.ip = lab, ip
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind((ip, lab.packet_port))
        self.flows = {}
        self.next_port = 1024
        self.results = {}
        lab.loop.add_reader(self.sock, self.receive)

    def flow_sent(self, sport):
        flow = self.flows.get(sport)
        return flow.sent if flow else None

    def send(self, flow, flags, payload=b"", ack=None):
        ready = [i for i in self.lab.instances if i.ready] or self.lab.instances
        inst = ready[zlib.crc32(b"%d %d" % (flow.sport, flow.port)) % len(ready)]
        flow.through.append((now(), inst))
        self.sock.sendto(packet(flags, flow.seq, flow.ack if ack is None else ack,
                                socket.inet_aton(self.ip), flow.sport,
                                socket.inet_aton(ROUTE_IP), flow.port, payload, flow.echo),
                         (inst.ip, self.lab.packet_port))

    def receive(self):
        while True:
            try:
                data, source = self.sock.recvfrom(2000)
            except BlockingIOError:
                return
            self.take(data, source)

    def take(self, data, source):
        flags, _, seq, _, _, _, _, _, sport, length, echo = HEAD.unpack_from(data)
        flow = self.flows.get(sport)
        if not flow or flow.outcome:
            return
        if flags & RST:
            flow.outcome = "reset by " + source[0]
        elif flags & SYN:
            if not flow.open:
                flow.open, flow.echo, flow.ack = True, echo, (seq + 1) & 0xffffffff
                flow.seq = (flow.seq + 1) & 0xffffffff
                self.send(flow, ACK, b"GET")
            return
        elif length:
            flow.ack = (seq + length) & 0xffffffff
            flow.echo = echo
            flow.seq = (flow.seq + 3) & 0xffffffff
            self.send(flow, ACK | FIN)
            flow.outcome = "answered " + data[HEAD.size:].decode().rstrip()
        else:
            flow.echo = echo
            return
        flow.done.set()

    async def request(self, port, limit=2.0):
        self.next_port = self.next_port + 1 if self.next_port < 65000 else 1025
        flow = self.flows[self.next_port] = Flow(self.next_port, port)
        copies = [0, 0.2, 0.6]
        resend, wait = 0.0, 0.2
        while not flow.outcome:
            age = now() - flow.sent
            if not flow.open and len(copies) < 4 and copies and age >= copies[0]:
                self.send(flow, SYN, ack=3 - len(copies))
                copies.pop(0)
            elif flow.open:
                if not resend:
                    resend = now() + wait
                elif now() >= resend:
                    self.send(flow, ACK, b"GET")
                    wait = min(wait * 2, 1.6)
                    resend = now() + wait
            if (not flow.open and age >= 1.4) or age >= limit:
                flow.outcome = "no answer" if flow.open else "not opened"
                break
            try:
                await asyncio.wait_for(flow.done.wait(), 0.02)
            except asyncio.TimeoutError:
                pass
        what = flow.outcome.split()[0]
        self.results[what] = self.results.get(what, 0) + 1
        return flow

    async def load(self, port, rate, until):
        tasks = []
        at = now()
        while at < until:
            tasks.append(asyncio.ensure_future(self.request(port)))
            at += 1 / rate
            await asyncio.sleep(max(0, at - now()))
        await asyncio.gather(*tasks)


class Lab:
    def __init__(self, case_dir):
        self.loop = asyncio.get_event_loop()
        self.tmp = tempfile.mkdtemp()
        self.record = Record(os.path.join(case_dir, "record.txt"))
        self.net = "127.%d.%d" % (10 + os.getpid() % 200, random.randrange(1, 250))
        self.packet_port, self.ready_port, self.peer_port = self.free_ports()
        self.store = Store()
        self.instances, self.targets = [], []
        self.client = Client(self, self.net + ".9")
        self.on_opened = lambda target, source, sport: None

    def free_ports(self):
        ports = []
        while len(ports) < 3:
            port = random.randrange(20000, 31000)
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as s:
                        s.bind((self.net + ".20", port))
                ports.append(port)
            except OSError:
                pass
        return ports

    def seed(self, index):
        return "%s.%d:%d" % (self.net, 20 + index, self.peer_port)

    async def config(self, version, routes, services):
        """@routes: {port: (service, kind, priority)}; @services: further fields by name."""
        t = await self.store.put("config", "main", {
            "configVersion": version,
            "routes": [{"name": "r-%d" % port, "hostname": ROUTE_IP, "pathPrefix": "/%d/" % port,
                        "routeType": kind, "timeoutMs": 2000, "aimMs": 200, "priority": priority,
                        "service": service, "maxAttempts": 2}
                       for port, (service, kind, priority) in routes.items()],
            "services": [{"name": name, "healthPath": "/health", "maxConns": 2000,
                          "protocol": "h1", "tls": False, **more}
                         for name, more in services.items()],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.record("manifest version %d acknowledged" % version)
        return t

    async def start_instance(self, inst, bounds):
        self.instances.append(inst)
        await inst.start(bounds)
        inst.polling = asyncio.ensure_future(inst.poll())

    async def wait_ready(self, limit=15):
        end = now() + limit
        while not all(i.ready for i in self.instances):
            if now() > end:
                raise RuntimeError("an instance is not ready")
            await asyncio.sleep(0.05)

    def ended(self):
        return [i.name for i in self.instances if i.process.poll() is not None]

    def stop(self):
        for inst in self.instances:
            inst.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.tmp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.tmp)


def play(case_dir, story):
    """Runs @story(lab, trouble) and exits: 1: the rule was broken, 0: it held, 2: it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(os.path.join(ROOT, "target", "hickorytrestle-entry"), os.X_OK):
        print("target/hickorytrestle-entry is missing: build it first")
        sys.exit(2)
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    lab = Lab(case_dir)
    try:
        broken = loop.run_until_complete(asyncio.wait_for(story(lab, trouble), 110))
        code = 1 if broken else 0
    except Exception as e:  # the case could not be played
        lab.record("not played: %r" % e)
        print("not played: %r" % e)
        code = 2
    finally:
        lab.stop()
    lab.record("exit %d" % code)
    os._exit(code)
