"""An order to promote is given up, and reaches the platform after a later one."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import world as w

CUT_S = 4


def primary_of(world):
    return next(d for d in world.databases.values() if d.role == "primary" and d.is_running)


async def release_primary(world, new_name):
    """Replaces the primary: a new database starts first, then the old one drains."""
    old = primary_of(world)
    new = world.add_database(new_name, "replica", old.zone)
    new.term, new.log = old.term, list(old.log)
    await new.start()
    await new.check_in()
    await asyncio.sleep(0.5)
    old.state = "draining"
    await old.check_in()
    world.record(f"the primary {old.name} is draining")
    return old


async def scenario(record, has_trouble, holder):
    world = w.World(record)
    holder.append(world)
    for name, role, zone in (("i-a", "primary", "zone-a"), ("i-b", "replica", "zone-b"),
                             ("i-c", "replica", "zone-c")):
        world.add_database(name, role, zone)
    await world.start()
    await world.wait_until_ready()
    await asyncio.sleep(4)
    writers = [w.Repeater(world, proxy, f"w{n}", 0.2) for n, proxy in enumerate(world.proxies)]
    await asyncio.sleep(2)
    if not all(writer.acknowledged for writer in writers):
        raise RuntimeError("no write was served before the disruption")

    old = await release_primary(world, "i-d")
    await asyncio.sleep(7.5)
    old.crash()
    record(f"{old.name} has drained and ends")
    if len(world.promotions.tokens) != 1:
        raise RuntimeError("the first planned replacement was not done with one order")
    await asyncio.sleep(6)
    await release_primary(world, "i-e")
    if has_trouble:
        world.promotion_path.is_cut = True
        record("the platform's promotion service is cut off")
        await asyncio.sleep(CUT_S)
        world.promotion_path.is_cut = False
        record("the cut ends")
    await asyncio.sleep(12)
    for writer in writers:
        writer.stop()
    tokens = world.promotions.tokens
    lower = [token for n, token in enumerate(tokens) if n and token < max(tokens[:n])]
    record(f"tokens in the order of their arrival: {tokens}; lower than one seen before: {lower}")
    print(f"tokens in the order of their arrival: {tokens}; lower than one seen before: {lower}")
    return 1 if lower else 0


w.main(scenario, __file__)
