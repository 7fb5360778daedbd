"""All instances are killed while a target drains; the cheap pages of the first listing afterwards
are of different ages."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import world as w  # noqa: E402

PAGE = 50  # objects of a page, as in the site files
BEHIND_S = 3  # age of an old cheap read


async def play():
    world = w.World(HERE, ["paysandu", "salto", "fray-bentos"], page=PAGE)
    rec = world.record
    zones = ["paysandu", "salto", "fray-bentos"]
    # Cheap reads are answered by one of two copies: a current one, and one that is 3 s behind.
    # COPIES=random: each call by either; otherwise the first page of a listing by the current one
    # and later ones by the other, so that the case repeats.
    if os.environ.get("COPIES") == "random":
        world.store.staleness = lambda kind, after: random.choice((0, BEHIND_S))
    else:
        world.store.staleness = lambda kind, after: BEHIND_S if after else 0
    try:
        await world.start()
        for i in range(54):
            await world.add_target(0x41000000 + i, "taller-docs", zones[i % 3])
        targets = [await world.add_target(0x51000000 + i, "almacen", zones[i % 3], work_s=0.4)
                   for i in range(6)]
        world.put_config(7, {8080: ("almacen", "safe"), 8081: ("almacen", "unsafe")},
                         ["almacen", "taller-docs"])
        await asyncio.sleep(4)
        world.start_instances()
        await world.at(8)
        if not all(i.in_rotation for i in world.instances):
            return None
        world.tasks.append(asyncio.ensure_future(
            world.traffic(32, [(8080, "GET"), (8081, "POST")])))
        await world.at(14)
        leaving = targets[0]
        leaving.drain()
        await world.at(15.5)
        if w.trouble():
            for inst in world.instances:
                inst.kill()
            await world.at(16.4)
            for inst in world.instances:
                inst.start()
        back = rec.now()
        await world.at(28)  # it serves on for drainMs and many seconds
        leaving.leave()
        await world.at(31)
        for task in world.tasks:
            task.cancel()
        await asyncio.sleep(2.2)

        bound = max(leaving.drained_at + world.bounds["drainMs"] / 1000,
                    back + world.bounds["stabilityMs"] / 1000)
        late = [r for r in world.requests.values()
                if r.taken_by is leaving and r.sent_at > bound + 0.1]
        lost = [r for r in late if r.outcome != "200"]
        world.write_requests()
        rec.write("instances in touch and bound of draining over at %.3f" % bound)
        rec.write("later than that: %d requests opened at the draining target, until %.3f; %d of "
                  "them never answered (%d unsafe)" % (
                      len(late), max([r.taken_at for r in late], default=0), len(lost),
                      len([r for r in lost if r.method == "POST"])))
        rec.write("outcomes before the bound: %s, after it: %s"
                  % (world.summary(0, bound), world.summary(bound)))
        if not world.summary(bound).get("200"):
            return None
        rec.write("rule DRAIN: %s" % ("broken" if late else "held"))
        return not late
    finally:
        world.stop()


if __name__ == "__main__":
    sys.exit(w.run_case(play))
