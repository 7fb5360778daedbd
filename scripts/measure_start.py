#!/usr/bin/env python3
"""Time, processor time and store calls of an instance from its start to its first packet."""

import os
import re
import socket
import sys
import time
import urllib.request

from entry_world import HEAD, SERVICE_IP, SYN, Instance, Store, free_port, put_config

SERVICES = {443: "stock"}
TARGETS = (150, 3000)
# Objects that the real store gives on one page.
PAGE = 500
TURNS = 5
LIMIT_S = 10


def cpu_ms(inst):
    """Processor time of the process so far."""
    with open(f"/proc/{inst.process.pid}/schedstat", encoding="ascii") as f:
        return int(f.read().split()[0]) / 1e6


def store_calls(inst, port):
    with urllib.request.urlopen(f"http://{inst.ip}:{port}/metrics", timeout=2) as rsp:
        text = rsp.read().decode()
    return sum(int(n) for n in re.findall(r"store_call_seconds_count\{[^}]*\} (\d+)", text))


def first_packet(inst, caller, target):
    """Sends opening packets until one reaches a target; returns when."""
    end = time.monotonic() + LIMIT_S
    sport = 1024
    while time.monotonic() < end:
        sport += 1
        packet = HEAD.pack(SYN, 0, 1, 0, 0, sport, socket.inet_aton("127.0.0.9"),
                           socket.inet_aton(SERVICE_IP), 443, 0, 0)
        caller.sendto(packet, inst.packets)
        try:
            target.recv(2000)
            return time.monotonic()
        except TimeoutError:
            pass
    raise TimeoutError("no packet has reached a target")


def drain(target):
    """Forgets packets of the turn before."""
    try:
        while True:
            target.recv(2000)
    except TimeoutError:
        pass


def measure(program, count):
    store = Store()
    store.set_page(PAGE)
    put_config(store, SERVICES, 3)
    target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    target.bind(("127.0.0.1", 0))
    target.settimeout(0.002)
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for i in range(count):
        store.put("servers", "i-%08x" % (0x1000 + i), {
            "service": "stock", "address": "127.0.0.1:%d" % target.getsockname()[1],
            "zone": "north", "configVersion": "v1", "concurrency": 3, "state": "ready",
            "warmupLeftMs": 0, "sequence": 1, "born": 1700000000000})
    best = None
    for _ in range(TURNS):
        drain(target)
        metrics = free_port()
        start = time.monotonic()
        inst = Instance(program, store.address, 0, "north",
                        [free_port(), free_port(), free_port()],
                        metrics_address="127.0.0.20:%d" % metrics)
        try:
            took = (first_packet(inst, caller, target) - start) * 1000
            row = took, cpu_ms(inst), store_calls(inst, metrics)
        finally:
            inst.stop()
        best = min(best, row) if best else row
    store.stop()
    return best


def main():
    program = os.path.join(os.environ.get("HT_BUILD", "build"), "hickorytrestle-entry")
    for count in TARGETS:
        took, cpu, calls = measure(program, count)
        print(f"start with {count} targets: first packet after {took:.1f} ms, {cpu:.1f} ms of "
              f"processor time, {calls} store calls (best of {TURNS})")
    return 0


if __name__ == "__main__":
    sys.exit(main())
