"""See claim.txt. Exits 1 if a machine in touch sent new flows to a draining target for longer than
drainMs after the store's acknowledgement."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lab as lab_module  # noqa: E402
from lab import BOUNDS, Instance, Target, now  # noqa: E402

DRAIN_S = BOUNDS["drainMs"] / 1000
STABILITY_S = 4.0
PORT = 8443
FREEZE_S = 3.5  # SYSTEM.md, node_freeze: 3.5 at most
WAKE_S = 1.55  # after the others' read
CUT_S = 5.5  # core_cut: 5.5


async def story(lab, trouble):
    zone = "a"
    seeds = [lab.seed(0), lab.seed(1)]
    # All alike; the first in the order of their names' hashes reads the store for the others.
    fronts = [Instance(lab, i, zone, seeds) for i in range(3)]
    targets = [Target(lab, 0x1a00 + k, "almacen", zone, "%s.%d" % (lab.net, 60 + k), 0.03)
               for k in range(4)]
    await lab.config(7, {PORT: ("almacen", "safe", 1)}, {"almacen": {}})
    for t in targets:
        await t.report()
    for f in fronts:
        await lab.start_instance(f, BOUNDS)
    await lab.wait_ready()
    load = asyncio.ensure_future(lab.client.load(PORT, 200, now() + 20))
    await asyncio.sleep(9)  # all in touch, none disturbed

    # The reader is the machine whose watches of the targets wait.
    recent = [c for c in lab.store.calls if c[0] > now() - 5 and c[2] == "servers"
              and int(c[3].get("waitMs", 0)) > 1]
    if not recent:
        raise RuntimeError("no machine watches the store")
    reader = next(f for f in fronts if f.name == recent[-1][1])
    others = [f for f in fronts if f is not reader]
    lab.record("reader is " + reader.name)

    # Its next watch begins: it has just proven its view.
    begun, polled = asyncio.Event(), asyncio.Event()

    def on_call(machine, kind, query):
        if kind != "servers":
            return
        if machine == reader.name and not begun.is_set():
            begun.set()
        elif machine != reader.name and begun.is_set() and not polled.is_set():
            polled.set()
            polled.at = now()
            lab.record("%s reads the targets" % machine)

    lab.store.on_call = on_call
    await asyncio.wait_for(begun.wait(), 6)
    await asyncio.sleep(0.1)
    frozen_at = now()
    # TROUBLE=cut and TROUBLE=freeze leave out the other disturbance.
    only = os.environ.get("TROUBLE")
    cut, freeze = trouble and only != "freeze", trouble and only != "cut"
    if cut:
        lab.store.cut.add(reader.name)
        lab.record("%s is partitioned from the store" % reader.name)
    if freeze:
        reader.signal(signal.SIGSTOP)
    if trouble:
        await asyncio.wait_for(polled.wait(), 4)
    else:
        await asyncio.sleep(1.9)
    await asyncio.sleep(0.06)

    victim = targets[0]
    acked = await victim.report("draining")
    lab.record("draining of %s acknowledged" % victim.name)
    late = []

    def on_opened(target, source, sport):
        inst = next(f for f in fronts if f.ip == source)
        after = now() - acked
        if target is victim and after > DRAIN_S:
            flow = lab.client.flows[sport]
            lab.record("flow %d, sent %.3f s and taken %.3f s after the acknowledgement, by %s "
                       "from %s" % (sport, flow.sent - acked, after, victim.name, inst.name))
            if inst in others:
                late.append(after)

    lab.on_opened = on_opened
    if freeze:
        await asyncio.sleep(max(0, min(frozen_at + FREEZE_S, polled.at + WAKE_S) - now()))
        reader.signal(signal.SIGCONT)
    if cut:
        await asyncio.sleep(max(0, frozen_at + CUT_S - now()))
        lab.store.cut.discard(reader.name)
        lab.record("the partition of %s has healed" % reader.name)
    await asyncio.sleep(max(0, acked + DRAIN_S + 2 - now()))
    await load
    lab.record("results %s" % lab.client.results)
    lab.record("late flows by machines in touch: %d" % len(late))
    for t in targets:
        for text in t.odd:
            lab.record("%s: %s" % (t.name, text))
    if lab.ended():
        raise RuntimeError("ended: %s" % lab.ended())
    if lab.client.results.get("answered", 0) < 1000:
        raise RuntimeError("too few requests answered")
    print("late flows to the draining target by machines in touch: %d" % len(late))
    return bool(late)


lab_module.play(HERE, story)
