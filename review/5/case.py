"""A key is taken away and given back; its transactions are refused after it is in force again."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import world as w

GAP_S = 0.33
REVERT_SLACK_S = 0.25
WORK_MS = 55
PAUSE_S = 0.12
STATEMENTS = 12


async def transaction(world, caller, refusals):
    """A transaction of twelve statements with pauses; notes when a refused one was sent."""
    await caller.query("BEGIN")
    sent_at = w.now()
    try:
        for number in range(STATEMENTS - 1):
            sent_at = w.now()
            _, _, final, _ = await caller.query(f"WRITE item-{number} data")
            if final.startswith("ERROR"):
                refusals.append((sent_at, final))
                return
            await asyncio.sleep(PAUSE_S)
        await caller.query("COMMIT")
    except (OSError, asyncio.IncompleteReadError):
        # The error that came before the end of the connection is the answer.
        world.record(f"caller {caller.name} lost its connection after {caller.last}")
        refusals.append((sent_at, caller.last))


async def scenario(record, has_trouble, holder):
    world = w.World(record, limits={"apiKeys": ["key-1", "key-2"]})
    holder.append(world)
    for name, role, zone in (("i-a", "primary", "zone-a"), ("i-b", "replica", "zone-b"),
                             ("i-c", "replica", "zone-c")):
        world.add_database(name, role, zone).work_s = WORK_MS / 1000
    await world.start()
    await world.wait_until_ready()
    await asyncio.sleep(4)
    proxy = world.proxies[0]
    callers = [w.Caller(world, proxy, f"t{n}") for n in range(6)]
    for caller in callers:
        await caller.connect("db-primary", "key-1")
        await caller.query("READ item")
    refusals = []
    tasks = [asyncio.ensure_future(transaction(world, caller, refusals)) for caller in callers]
    await asyncio.sleep(0.2)
    seen_at = None
    if has_trouble:
        # The second version also adds a key, whose use shows that it is in force.
        for keys in (["key-2"], ["key-1", "key-2", "key-3"]):
            world.version += 3
            world.limits = {"apiKeys": keys}
            await world.store.commit("config", "main", world.configuration())
            record(f"version {world.version} is acknowledged, keys {keys}")
            await asyncio.sleep(GAP_S)
    probe_key = "key-3" if has_trouble else "key-1"
    for _ in range(10):
        probe = w.Caller(world, proxy, "probe")
        if (await probe.connect("db-primary", probe_key)).startswith("READY"):
            _, _, final, _ = await probe.query("READ item")
            if final.startswith("COMPLETE"):
                seen_at = w.now()
                record(f"a database has run a statement with {probe_key}")
                break
        await asyncio.sleep(0.1)
    if seen_at is None:
        raise RuntimeError("the newest version did not come into force")
    await asyncio.gather(*tasks)
    late = [(at, final) for at, final in refusals if at > seen_at + REVERT_SLACK_S]
    for at, final in refusals:
        record(f"refused: sent {at - seen_at:.3f} s after that, {final}")
    print(f"refused though the key is there: {len(refusals)}, of them sent too late for that: {len(late)}")
    return 1 if late else 0


w.main(scenario, __file__)
