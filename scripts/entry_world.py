"""Stand-ins around hickorytrestle-entry on loopback: store, routers, targets and callers.

The store answers listings and watches of kinds of objects over HTTP. Packets have a head of 32 bytes
(see platform/packet.h); a target receives them behind 8 bytes with its number and answers the caller
directly.
"""

import collections
import concurrent.futures
import json
import os
import random
import select
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

HEAD = struct.Struct(">BBIIIH4s4sHHI")
SYN, ACK, FIN, RST = 128, 64, 8, 4
SERVICE_IP = "198.18.0.1"
# A caller gives a flow up after this time.
GIVE_UP_S = 2
# A turn of the loop that takes longer delays callers and targets alike.
STALL_S = 0.15
# Packets that are read from one socket in a turn of the loop.
READ_MAX = 16
# What a target without room answers, or sends with a reset. Answers of targets that have slots are
# longer, as errors are told from answers by their size.
TURNED_AWAY = b"full"
ANSWER_BYTES = 400
# Loopback addresses of one deployment; those that run at the same time need different ones.
NET = "127.0.0"


class Store:
    """The stand-in standins/metadata: objects by kind and name, and faults."""

    def __init__(self):
        program = os.path.join(os.environ.get("HT_BUILD", "build"), "standins", "metadata")
        self.process = subprocess.Popen([program], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.address = self.process.stdout.readline().decode().strip()

    def call(self, method, path, value=None):
        body = None if value is None else json.dumps(value).encode()
        request = urllib.request.Request("http://" + self.address + path, body, method=method)
        with urllib.request.urlopen(request, timeout=5) as rsp:
            rsp.read()

    def put(self, kind, name, spec):
        """Replaces an object, or deletes it when spec is None."""
        self.call("DELETE" if spec is None else "PUT", f"/-/objects/{kind}/{name}", spec)

    def set_fault(self, fault, on):
        """down: every read gets status 503; stale: cheap listings are answered from the past;
        compact: the history is dropped."""
        self.call("PUT" if on else "DELETE", "/control/" + fault, True if on else None)

    def come_back(self, lost):
        """Returns from a copy that lacks the last changes, @lost of them; an era begins."""
        self.call("PUT", "/control/return", lost)

    def reads(self):
        """Reads of objects so far."""
        with urllib.request.urlopen("http://" + self.address + "/control/reads",
                                    timeout=5) as rsp:
            return int(rsp.read())

    def names(self, kind):
        """Names of the objects of a kind; each page counts as a read."""
        found, after, more = set(), "", True
        while more:
            query = "?after=" + after if after else ""
            with urllib.request.urlopen(f"http://{self.address}/-/objects/{kind}{query}",
                                        timeout=5) as rsp:
                page = json.load(rsp)
            names = [item["meta"]["name"] for item in page["items"]]
            found.update(names)
            more = page["hasMore"] and names
            after = names[-1] if names else ""
        return found

    def set_page(self, size):
        """Objects of one page of a listing."""
        self.call("PUT", "/control/page", size)

    def stop(self):
        self.process.stdin.close()
        self.process.wait()
        self.process.stdout.close()


class Room:
    """Slots of a target, each of which runs a request for @work_s, and a queue before them."""

    def __init__(self, slots, queue, work_s):
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.clear()

    def clear(self):
        self.running = {}  # ends by request
        self.waiting = collections.deque()

    def full(self):
        return len(self.running) == self.slots and len(self.waiting) == self.queue

    def put(self, request, now):
        """Returns the requests that begin to run: this one, or none if it waits."""
        if len(self.running) == self.slots:
            self.waiting.append(request)
            return []
        self.running[request] = now + self.work_s
        return [request]

    def advance(self, now):
        """Returns the requests that are done, and those that begin to run, up to @now."""
        done, begun = [], []
        while self.running:
            request = min(self.running, key=self.running.get)
            end = self.running[request]
            if end > now:
                break
            del self.running[request]
            done.append(request)
            if self.waiting:
                begun += self.put(self.waiting.popleft(), end)
        return done, begun


class Target:
    """Answers each request with its service's name; knows its flows. One that has a room answers
    after a while, and turns away what is over, every other time by a reset."""

    def __init__(self, store, number, service, dc, packet_port, sock=None, room=None):
        """@sock is that of an earlier target whose address it takes over."""
        self.name = "i-%08x" % number
        self.number, self.service, self.dc = number, service, dc
        self.packet_port, self.store = packet_port, store
        self.sock = sock or socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        if not sock:
            self.sock.bind(("127.0.0.1", 0))
        self.born = 1700000000000
        self.sequence = 0
        self.dies_with_request = self.dead = False
        self.foreign = 0  # packets for another target
        self.foreign_opened_at = []  # opening ones among them
        self.swallowed = {}  # times of packets that had no effect here, by flow
        self.restarted_at = []
        self.lapsed_at = None
        self.flows = {}
        self.opened_at = []
        self.room = room
        self.held = {}  # times of the packets of requests that are not answered yet, by flow
        self.replies = {}  # functions that send what a request's flow was sent
        self.turned_away = 0
        self.ran = []  # (source port, port) of requests that began to run
        self.report("ready")

    def restart(self):
        """Another lifetime under the same name: it knows nothing of before."""
        self.born += 1000
        self.restarted_at.append(time.monotonic())
        self.lose()
        self.dead = False
        self.flows = {}
        self.report("ready")

    def report(self, state=None):
        """Writes its entry, in the state of its last report if none is given."""
        self.state = state or self.state
        self.lapsed_at = None
        self.sequence += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": "127.0.0.1:%d" % self.sock.getsockname()[1],
            "zone": self.dc, "configVersion": "v1", "state": self.state,
            "concurrency": self.room.slots if self.room else 3,
            "warmupLeftMs": 0, "sequence": self.sequence, "born": self.born})

    def lapse(self):
        """Its entry lapses."""
        self.lapsed_at = time.monotonic()
        self.store.put("servers", self.name, None)

    def take(self, key, answer, turn_away):
        """Runs a request now or later, or turns it away. A copy gets the same reply as the first."""
        now = time.monotonic()
        if key in self.held:
            self.held[key].append(now)
        elif key in self.replies:
            self.replies[key]()
        elif self.room.full():
            self.turned_away += 1
            self.replies[key] = turn_away
            turn_away()
        else:
            self.held[key] = [now]
            self.replies[key] = answer
            self.begin(self.room.put(key, now))

    def begin(self, keys):
        self.ran += [(sport, dport) for _, sport, _, dport in keys]

    def work(self, now):
        """Answers the requests that are done."""
        if self.dead:
            self.lose()
        elif self.room:
            done, begun = self.room.advance(now)
            self.begin(begun)
            for key in done:
                del self.held[key]
                self.replies[key]()

    def lose(self):
        """What it holds when it dies has had no effect."""
        for key, times in self.held.items():
            self.swallowed.setdefault(key[1], []).extend(times)
        self.held, self.replies = {}, {}
        if self.room:
            self.room.clear()

    def receive(self):
        data = self.sock.recv(2000, socket.MSG_DONTWAIT)
        flags, _, seq, ack, _, sport, src, dst, dport, length, echo = HEAD.unpack_from(data, 8)
        key = (src, sport, dst, dport)
        foreign = int.from_bytes(data[:8], "big") != self.number
        if self.dead or foreign:
            self.swallowed.setdefault(sport, []).append(time.monotonic())
        if self.dead:
            return
        if foreign:
            self.foreign += 1
            if flags & SYN:
                self.foreign_opened_at.append(time.monotonic())
            return

        def send(out_flags, out_seq, out_ack, payload=b""):
            self.sock.sendto(HEAD.pack(out_flags, 0, out_seq, out_ack, 0, dport, dst, src, sport,
                                       len(payload), echo) + payload,
                             (socket.inet_ntoa(src), self.packet_port))

        if flags & SYN:
            if key not in self.flows:
                self.flows[key] = random.getrandbits(31)
                self.opened_at.append(time.monotonic())
            send(SYN | ACK, self.flows[key], seq + 1)
        elif key not in self.flows:
            send(RST, ack, 0)
        elif length and self.dies_with_request:
            self.dead = True
        elif length:
            answer = self.service.encode()
            first, ended = self.flows[key] + 1, seq + length
            if not self.room:
                send(ACK | FIN, first, ended, answer)
                return
            flags = RST if self.turned_away % 2 else ACK | FIN
            self.work(time.monotonic())
            self.take(key, lambda: send(ACK | FIN, first, ended, answer.ljust(ANSWER_BYTES)),
                      lambda: send(flags, first, ended, TURNED_AWAY))


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def put_config(store, services, version, kind="safe", weights=None, terms=None):
    """Routes of SERVICE_IP: a service for each port, and the kind of its requests. @weights splits
    a port between services: {port: {service: weight}}. @terms gives further fields: {port:
    fields}."""
    def share(port, service):
        if port not in (weights or {}):
            return {"service": service}
        return {"backends": [{"service": s, "weight": w} for s, w in weights[port].items()]}

    store.put("config", "main", {
        "configVersion": version,
        "routes": [{"hostname": SERVICE_IP, "pathPrefix": "/%d/" % port, "routeType": kind,
                    "timeoutMs": 2000, "aimMs": 200, "priority": 2, **share(port, service),
                    **(terms or {}).get(port, {})}
                   for port, service in services.items()],
        "limits": {"idleTimeoutMs": 15000}})


class Instance:
    """One process of the program under test."""

    def __init__(self, program, store_address, index, dc, ports, log=subprocess.DEVNULL,
                 net=NET, **settings):
        self.name = "entry-%d" % index
        self.ip = "%s.%d" % (net, 20 + index)
        self.packets, self.ready_port = (self.ip, ports[0]), ports[1]
        self.dir = tempfile.TemporaryDirectory()
        self.ready = False
        self.starts, self.killed_at, self.paused_at = [], [], []
        self.log = log
        self.settings = os.path.join(self.dir.name, "settings.json")
        self.command = [program, "--settings", self.settings]
        with open(self.settings, "w", encoding="utf-8") as f:
            json.dump({"instance": self.name, "data_centre": dc,
                       "packet_address": "%s:%d" % self.packets,
                       "ready_address": "%s:%d" % (self.ip, ports[1]),
                       "peer_address": "%s:%d" % (self.ip, ports[2]),
                       "store_address": store_address, "seeds": "%s.20:1" % net, **settings}, f)
        self.start()

    def start(self):
        self.ready = self.was_ready = self.paused = self.killed = False
        self.starts.append(time.monotonic())
        self.stop_asked = None
        self.process = subprocess.Popen(self.command, stdout=self.log, stderr=subprocess.DEVNULL)

    def poll(self):
        """What the routers see."""
        try:
            with urllib.request.urlopen("http://%s:%d/-/readiness" % (self.ip, self.ready_port),
                                        timeout=0.3) as rsp:
                self.ready = rsp.status == 200
        except (urllib.error.URLError, OSError):
            self.ready = False
        self.was_ready |= self.ready

    def state(self):
        """What becomes of a packet that is sent to it now."""
        if self.killed or self.process.poll() is not None:
            return "down"
        if self.paused:
            return "paused"
        return "serving" if self.was_ready else "starting"

    def signal(self, number):
        if self.process.poll() is None:
            if number == signal.SIGTERM and self.stop_asked is None:
                self.stop_asked = time.monotonic()
            if number == signal.SIGSTOP:
                self.paused_at.append(time.monotonic())
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.paused = number == signal.SIGSTOP
            if number == signal.SIGKILL:
                self.killed = True
                self.killed_at.append(time.monotonic())
            self.process.send_signal(number)

    def stop(self):
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.dir.cleanup()


class Flow:
    """One request of a caller on a flow of its own."""

    def __init__(self, sport, dport, service):
        self.sport, self.dport, self.service = sport, dport, service
        self.seq, self.ack, self.echo = random.getrandbits(31), 0, 0
        self.copies, self.open, self.answered = 0, False, False
        self.started = self.sent_at = time.monotonic()
        self.failed_at = None
        self.packets = []  # (time, instance, its state) of what the caller has sent


def read_waiting(receive):
    """Reads the packets that wait in a socket, so many at most that the others have their turn."""
    try:
        for _ in range(READ_MAX):
            receive()
    except BlockingIOError:
        pass  # all are read


class Callers:
    """Callers and the routers before the instances, in one loop."""

    def __init__(self, instances, targets, packet_port, services, net=NET):
        self.instances, self.targets, self.services = instances, targets, services
        self.ip = net + ".9"
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((self.ip, packet_port))
        self.flows = {}
        self.played = []  # all flows so far
        self.bursts = []  # see bursts.Burst
        self.allowed = {}  # services that a port has ever led to, where there are several
        self.sent = self.answered = self.wrong = self.reset = self.lost = 0
        self.turned_away = 0  # by targets without room
        self.told = 0  # open flows that an instance reset, as their target shows no life
        self.complaints = []  # what became of each flow that was not answered
        self.failed = []  # (flow, what, by): those flows, and whose reset ended them
        self.routers = concurrent.futures.ThreadPoolExecutor(len(instances))
        self.polls = {}
        self.stalls = []  # (start, end) of times in which the stand-ins themselves did not run

    def route(self, flow):
        """The routers' hash over the instances that are in rotation."""
        ready = [i for i in self.instances if i.ready] or self.instances
        return ready[hash((flow.sport, flow.dport)) % len(ready)]

    def send(self, flow, flags, ack=0, payload=b""):
        pkt = HEAD.pack(flags, 0, flow.seq, ack, 0, flow.sport, socket.inet_aton(self.ip),
                        socket.inet_aton(SERVICE_IP), flow.dport, len(payload), flow.echo)
        inst = self.route(flow)
        flow.sent_at = time.monotonic()
        flow.packets.append((flow.sent_at, inst, inst.state()))
        self.sock.sendto(pkt + payload, inst.packets)

    def start(self, dport):
        self.sent += 1
        flow = Flow(1024 + self.sent, dport, self.services[dport])
        self.flows[flow.sport] = flow
        self.played.append(flow)
        self.send(flow, SYN)

    def ask(self, flow):
        self.send(flow, ACK, flow.ack, b"GET")

    def services_of(self, port):
        """Services that requests to a port may reach."""
        return self.allowed.get(port, {self.services[port]})

    def end(self, flow, payload):
        """Counts what a flow was answered."""
        if payload == TURNED_AWAY:
            self.turned_away += 1
            self.complain(flow, "turned away")
        else:
            self.answered += 1
            flow.answered = True
            services = self.allowed.get(flow.dport, {flow.service})
            self.wrong += payload.decode().rstrip() not in services
        del self.flows[flow.sport]

    def receive(self):
        data, source = self.sock.recvfrom(2000, socket.MSG_DONTWAIT)
        flags, _, seq, _, _, _, _, _, sport, length, echo = HEAD.unpack_from(data)
        flow = self.flows.get(sport)
        if not flow:
            return
        if flags & RST and length:
            self.end(flow, data[HEAD.size:])
        elif flags & RST:
            self.reset += 1
            if source[0] in {i.ip for i in self.instances}:
                self.told += flow.open
            self.complain(flow, "reset", source[0])
            del self.flows[sport]
        elif flags & SYN and not flow.open:
            flow.open, flow.echo, flow.ack = True, echo, seq + 1
            flow.seq += 1
            self.ask(flow)
        elif length:
            flow.seq += 3
            self.send(flow, ACK | FIN, seq + length)
            self.end(flow, data[HEAD.size:])

    def poll_all(self):
        """The routers wait for each instance on their own."""
        for inst in self.instances:
            pending = self.polls.get(inst)
            if not pending or pending.done():
                self.polls[inst] = self.routers.submit(inst.poll)

    def complain(self, flow, what, by=None):
        flow.failed_at = time.monotonic()
        self.failed.append((flow, what, by))
        self.complaints.append((f"{self.ip}:{flow.sport}-{SERVICE_IP}:{flow.dport}", what))

    def repeat(self):
        """Sends again what has had no effect, and gives up what takes too long."""
        now = time.monotonic()
        for flow in list(self.flows.values()):
            if now - flow.started > GIVE_UP_S:
                self.lost += 1
                self.complain(flow, "no answer" if flow.open else "not opened")
                del self.flows[flow.sport]
            elif flow.open and now - flow.sent_at > 0.2:
                self.ask(flow)
            elif not flow.open and now - flow.sent_at > 0.2 * (flow.copies + 1) and flow.copies < 2:
                flow.copies += 1
                self.send(flow, SYN, flow.copies)

    def run(self, seconds, rate, step=None):
        """Plays for a while and calls @step now and then."""
        last = time.monotonic()
        end = last + seconds
        next_flow = next_poll = last
        while (now := time.monotonic()) < end:
            if now - last > STALL_S:
                self.stalls.append((last, now))
            last = now
            if rate and now >= next_flow:
                next_flow += 1 / rate
                self.start(random.choice(list(self.services)))
            for dport in [port for burst in self.bursts for port in burst.due(now)]:
                self.start(dport)
            if now >= next_poll:
                next_poll = now + 0.5
                self.poll_all()
            self.repeat()
            for target in self.targets:
                target.work(now)
            if step:
                step(now)
            # A target that takes over an address stands behind the earlier one in the list.
            socks = {t.sock: t for t in self.targets}
            for sock in select.select([self.sock, *socks], [], [], 0.005)[0]:
                read_waiting(self.receive if sock is self.sock else socks[sock].receive)
