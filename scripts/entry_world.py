"""Stand-ins around hickorytrestle-entry on loopback: store, routers, targets and callers.

The store answers listings and watches of kinds of objects over HTTP. Packets have a head of 32 bytes
(see platform/packet.h); a target receives them behind 8 bytes with its number and answers the caller
directly.
"""

import http.server
import json
import os
import random
import select
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.parse
import urllib.request

HEAD = struct.Struct(">BBIIIH4s4sHHI")
SYN, ACK, FIN, RST = 128, 64, 8, 4
SERVICE_IP = "198.18.0.1"
CALLER_IP = "127.0.0.9"


class Store:
    """Objects by kind and name, with revisions and a history of changes."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 10
        self.kinds = {"config": {}, "servers": {}}
        self.changes = []
        self.down = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                body = b"" if store.down else json.dumps(store.answer(self.path)).encode()
                self.send_response(503 if store.down else 200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                try:
                    self.wfile.write(body)
                except ConnectionError:
                    pass  # the instance that watched has ended

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """Replaces an object, or deletes it when spec is None."""
        with self.lock:
            self.revision += 1
            obj = {"meta": {"name": name, "rev": self.revision}, "spec": spec}
            self.changes.append((self.revision, kind, {"deleted": spec is None, "object": obj}))
            self.kinds[kind].pop(name, None)
            if spec is not None:
                self.kinds[kind][name] = obj
            self.lock.notify_all()

    def answer(self, path):
        url = urllib.parse.urlparse(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind = url.path.rsplit("/", 1)[1]
        with self.lock:
            if "watch" not in query:
                items = [self.kinds[kind][n] for n in sorted(self.kinds[kind])]
                return {"items": items, "hasMore": False, "at": self.revision}
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [c for r, k, c in self.changes if k == kind and r > int(query["watch"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "at": self.revision}
                self.lock.wait(left)

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


class Target:
    """Answers each request with its service's name; knows its flows."""

    def __init__(self, store, number, service, dc, packet_port):
        self.name = "i-%08x" % number
        self.number, self.service, self.dc = number, service, dc
        self.packet_port, self.store = packet_port, store
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.flows = {}
        self.opened_at = []
        self.foreign = 0
        self.dies_with_request = self.dead = False
        self.report("ready")

    def report(self, state):
        self.store.put("servers", self.name, {
            "service": self.service, "address": "127.0.0.1:%d" % self.sock.getsockname()[1],
            "zone": self.dc, "configVersion": "v1", "concurrency": 3, "state": state,
            "warmupLeftMs": 0, "sequence": 1, "born": 1700000000000})

    def lapse(self):
        """Its entry lapses."""
        self.store.put("servers", self.name, None)

    def receive(self):
        data = self.sock.recv(2000)
        if self.dead:
            return
        flags, _, seq, ack, _, sport, src, dst, dport, length, echo = HEAD.unpack_from(data, 8)
        if int.from_bytes(data[:8], "big") != self.number:
            self.foreign += 1
            return
        key = (src, sport, dst, dport)

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
            send(ACK | FIN, self.flows[key] + 1, seq + length, answer)


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def put_config(store, services, version):
    """Routes of SERVICE_IP: a service for each port."""
    store.put("config", "main", {
        "configVersion": version,
        "routes": [{"hostname": SERVICE_IP, "pathPrefix": "/%d/" % port, "routeType": "safe",
                    "timeoutMs": 2000, "aimMs": 200, "priority": 2, "service": service}
                   for port, service in services.items()],
        "limits": {"idleTimeoutMs": 15000}})


class Instance:
    """One process of the program under test."""

    def __init__(self, program, store, index, dc, ports, seeds, log=subprocess.DEVNULL):
        self.name = "entry-%d" % index
        self.ip = "127.0.0.%d" % (20 + index)
        self.packets, self.ready_port = (self.ip, ports[0]), ports[1]
        self.dir = tempfile.TemporaryDirectory()
        self.ready = False
        path = os.path.join(self.dir.name, "settings.json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump({"instance": self.name, "data_centre": dc,
                       "packet_address": "%s:%d" % self.packets,
                       "ready_address": "%s:%d" % (self.ip, ports[1]),
                       "peer_address": "%s:%d" % (self.ip, ports[2]),
                       "store_address": store.address, "seeds": seeds}, f)
        self.process = subprocess.Popen([program, "--settings", path], stdout=log,
                                        stderr=subprocess.DEVNULL)

    def poll(self):
        """What the routers see."""
        try:
            with urllib.request.urlopen("http://%s:%d/-/readiness" % (self.ip, self.ready_port),
                                        timeout=0.3) as rsp:
                self.ready = rsp.status == 200
        except (urllib.error.URLError, OSError):
            self.ready = False

    def signal(self, number):
        if self.process.poll() is None:
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
        self.copies, self.open = 0, False
        self.started = self.sent_at = time.monotonic()


class Callers:
    """Callers and the routers before the instances, in one loop."""

    def __init__(self, instances, targets, packet_port, services):
        self.instances, self.targets, self.services = instances, targets, services
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((CALLER_IP, packet_port))
        self.flows = {}
        self.sent = self.answered = self.wrong = self.reset = self.lost = 0
        self.complaints = []  # what became of each flow that was not answered

    def route(self, flow):
        """The routers' hash over the instances that are in rotation."""
        ready = [i for i in self.instances if i.ready] or self.instances
        return ready[hash((flow.sport, flow.dport)) % len(ready)]

    def send(self, flow, flags, ack=0, payload=b""):
        pkt = HEAD.pack(flags, 0, flow.seq, ack, 0, flow.sport, socket.inet_aton(CALLER_IP),
                        socket.inet_aton(SERVICE_IP), flow.dport, len(payload), flow.echo)
        flow.sent_at = time.monotonic()
        self.sock.sendto(pkt + payload, self.route(flow).packets)

    def start(self, dport):
        self.sent += 1
        flow = Flow(1024 + self.sent, dport, self.services[dport])
        self.flows[flow.sport] = flow
        self.send(flow, SYN)

    def ask(self, flow):
        self.send(flow, ACK, flow.ack, b"GET")

    def receive(self):
        data = self.sock.recv(2000)
        flags, _, seq, _, _, _, _, _, sport, length, echo = HEAD.unpack_from(data)
        flow = self.flows.get(sport)
        if not flow:
            return
        if flags & RST:
            self.reset += 1
            self.complain(flow, "reset")
            del self.flows[sport]
        elif flags & SYN and not flow.open:
            flow.open, flow.echo, flow.ack = True, echo, seq + 1
            flow.seq += 1
            self.ask(flow)
        elif length:
            self.answered += 1
            self.wrong += data[HEAD.size:].decode() != flow.service
            flow.seq += 3
            self.send(flow, ACK | FIN, seq + length)
            del self.flows[sport]

    def complain(self, flow, what):
        self.complaints.append((f"{CALLER_IP}:{flow.sport}-{SERVICE_IP}:{flow.dport}", what))

    def repeat(self):
        """Sends again what has had no effect; gives a flow up after two seconds."""
        now = time.monotonic()
        for flow in list(self.flows.values()):
            if now - flow.started > 2:
                self.lost += 1
                self.complain(flow, "no answer" if flow.open else "not opened")
                del self.flows[flow.sport]
            elif flow.open and now - flow.sent_at > 0.2:
                self.ask(flow)
            elif not flow.open and now - flow.sent_at > 0.2 * (flow.copies + 1) and flow.copies < 2:
                flow.copies += 1
                self.send(flow, SYN, flow.copies)

    def run(self, seconds, rate):
        """Plays for a while; ends early only when a program fails."""
        end = time.monotonic() + seconds
        next_flow = next_poll = time.monotonic()
        socks = {t.sock: t for t in self.targets}
        while (now := time.monotonic()) < end:
            if rate and now >= next_flow:
                next_flow += 1 / rate
                self.start(random.choice(list(self.services)))
            if now >= next_poll:
                next_poll = now + 0.5
                for inst in self.instances:
                    inst.poll()
            self.repeat()
            for sock in select.select([self.sock, *socks], [], [], 0.005)[0]:
                if sock is self.sock:
                    self.receive()
                else:
                    socks[sock].receive()
