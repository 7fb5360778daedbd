"""The manifest changes: a route goes to another service, whose name is long."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import world as w  # noqa: E402

OLD = "almacen"
NEW = "cooperativa-plumeros-del-litoral.almacen.existencias-y-envios.version-2"  # 71 characters


async def play():
    world = w.World(HERE, ["paysandu", "salto", "fray-bentos"])
    rec = world.record
    zones = ["paysandu", "salto", "fray-bentos"]
    try:
        await world.start()
        for i in range(3):
            await world.add_target(0x51000000 + i, OLD, zones[i])
        for i in range(3):
            await world.add_target(0x61000000 + i, NEW, zones[i])
        world.put_config(7, {8080: (OLD, "safe"), 8081: (OLD, "unsafe")}, [OLD])
        await asyncio.sleep(4)
        world.start_instances()
        await world.at(8)
        if not all(i.in_rotation for i in world.instances):
            return None
        world.tasks.append(asyncio.ensure_future(
            world.traffic(40, [(8080, "GET"), (8081, "POST")])))
        await world.at(14)
        changed = rec.now()
        if w.trouble():
            world.put_config(9, {8080: (NEW, "safe"), 8081: (NEW, "unsafe")}, [OLD, NEW])
        await world.at(26)
        for task in world.tasks:
            task.cancel()
        await asyncio.sleep(2.2)

        bound = changed + world.bounds["configApplyMs"] / 1000
        later = [r for r in world.requests.values() if r.sent_at > bound]
        wanted = NEW if w.trouble() else OLD
        wrong = [r for r in later if r.taken_by and r.taken_by.service != wanted]
        ran = [r for r in wrong if r.rid in world.runs]
        world.write_requests()
        rec.write("sent later than configApplyMs after the change: %d; run by the service of an "
                  "older version: %d (%d unsafe); run by the right one: %d" % (
                      len(later), len(ran), len([r for r in ran if r.method == "POST"]),
                      len([r for r in later if r.taken_by and r.taken_by.service == wanted])))
        rec.write("outcomes: %s" % world.summary(bound))
        if not later:
            return None
        rec.write("rule CONFIG: %s" % ("broken" if ran else "held"))
        return not ran
    finally:
        world.stop()


if __name__ == "__main__":
    sys.exit(w.run_case(play))
