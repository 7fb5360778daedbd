"""Bursts of requests in the soak: routes of two priorities, targets with few slots, the account.

Callers send a multiple of their rate for some seconds. What the targets cannot hold is turned away
by them, refused by instances, or opened by a later copy; nothing else may become of a request.
"""

import collections
import random

# Two routes to each service, which differ in priority, aim and kind.
SERVICES = {443: "stock", 80: "patterns", 8443: "stock", 8080: "patterns"}
URGENT = {"priority": 1, "aimMs": 100, "timeoutMs": 2000, "routeType": "unsafe"}
OTHER = {"priority": 3, "aimMs": 1000, "timeoutMs": 2000}
TERMS = {443: URGENT, 80: URGENT, 8443: OTHER, 8080: OTHER}
# One target answers 50 requests a second: all that callers ask for outside of bursts, if need be.
RATE = 40
SLOTS = 2
QUEUE = 8
WORK_S = 0.04
# Of the callers' rate. Five targets answer 250 requests a second.
FACTORS = (8, 12, 16)
SECONDS = (2, 4)
# After a burst the queues of targets empty in 0.2 s, and the measures against it end.
AFTERMATH_S = 3
# Of the opening packets of a flow these may be dropped for want of room; the next one is refused or
# forwarded.
DEFERRED_COPIES = 2
# Lines about flows would use up the budgets of the log, which shows the version in force.
LOG_SETTINGS = {"log_lines": 10000, "log_event_lines": 10000, "log_bytes": 1e7,
                "log_event_bytes": 1e7}
# A loop that stood still makes up for this time of a burst at most.
BACKLOG_S = 0.1


class Burst:
    """Requests at @rate to some ports from @start to @end, beside the usual ones."""

    def __init__(self, ports, rate, start, end):
        self.ports, self.rate = ports, rate
        self.start, self.end = start, end
        self.next = start

    def due(self, now):
        """Ports to which requests are due."""
        ports = []
        self.next = max(self.next, now - BACKLOG_S)
        while self.next <= min(now, self.end):
            self.next += 1 / self.rate
            ports.append(random.choice(self.ports))
        return ports


def choices():
    """Sets of ports that have a burst together: all, one service, or one priority of a service."""
    services = dict.fromkeys(SERVICES.values())
    return ([list(SERVICES)]
            + [[port for port in SERVICES if SERVICES[port] == s] for s in services]
            + [[port] for port in SERVICES])


def met(burst, services_of, port):
    """True if requests to @port compete with those of the burst. @services_of gives the services of
    a port."""
    return bool(services_of(port) & set().union(*map(services_of, burst.ports)))


def in_force(bursts, services_of, port, at):
    """True if a burst explains at @at that a request to @port is refused."""
    return any(b.start <= at <= b.end + AFTERMATH_S and met(b, services_of, port) for b in bursts)


def check_runs(targets, services_of, refused):
    """What is broken by requests that have run. @refused are the flows that were told that they
    have not."""
    runs = collections.Counter(sport for t in targets for sport, _ in t.ran)
    twice = sum(n > 1 for n in runs.values())
    astray = sum(t.service not in services_of(dport) for t in targets for _, dport in t.ran)
    untrue = sum(flow.sport in runs for flow in refused)
    return [text for n, text in ((twice, f"{twice} requests have run twice"),
                                 (astray, f"{astray} requests have run at another service"),
                                 (untrue, f"{untrue} refused requests have run")) if n]


def shares(bursts, services_of, flows, refused):
    """Requests by priority, as {priority: [answered, asked]}, while they competed: from the first
    one that was refused in a burst to the burst's end."""
    found = {}
    for burst in bursts:
        since = min((f.failed_at for f in refused if burst.start <= f.failed_at <= burst.end
                     and met(burst, services_of, f.dport)), default=burst.end)
        for flow in flows:
            if since <= flow.started < burst.end and met(burst, services_of, flow.dport):
                count = found.setdefault(TERMS[flow.dport]["priority"], [0, 0])
                count[0] += flow.answered
                count[1] += 1
    return found


def describe(bursts, found):
    """The part of the summary line."""
    def share(terms):
        answered, asked = found.get(terms["priority"], (0, 0))
        return f"{answered}/{asked}" + (f"={answered / asked:.3f}" if asked else "")

    return f"bursts={len(bursts)} urgent {share(URGENT)} others {share(OTHER)}"
