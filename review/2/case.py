"""A commit that a replica has received is acknowledged, and then a replica without it is promoted."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import world as w

# The load of the second deployment's sheet on one of its three services: reads a second and the
# milliseconds of each, on databases with two slots; and the burst of its site file, for three seconds.
READS_PER_S = 18 + 74
READ_MS = (18 * 22 + 74 * 14) / READS_PER_S
BURST = 1.7
BURST_S = 3
BEFORE_CRASH_S = 1.9
READERS = 42
SETTLE_S = 4


async def scenario(record, has_trouble, holder):
    world = w.World(record, synchronous_replicas=1)
    holder.append(world)
    primary = world.add_database("i-a", "primary", "zone-a", slots=2)
    ahead = world.add_database("i-b", "replica", "zone-b", slots=2)
    behind = world.add_database("i-c", "replica", "zone-c", slots=2)
    for database in world.databases.values():
        database.work_s = READ_MS / 1000
    await world.start()
    await world.wait_until_ready()
    await asyncio.sleep(SETTLE_S)

    writers = [w.Repeater(world, proxy, f"w{n}") for n, proxy in enumerate(world.proxies)]
    pause_s = READERS / READS_PER_S - READ_MS / 1000

    def start_readers(numbers):
        return [w.Repeater(world, world.proxies[n % 3], f"r{n}", pause_s, "db-own", "READ")
                for n in numbers]

    readers = start_readers(range(READERS))
    await asyncio.sleep(2)
    if not all(writer.acknowledged for writer in writers):
        raise RuntimeError("no write was served before the disruption")
    if has_trouble:
        behind.is_deaf = True
        record("database i-c receives nothing from now on")
        await asyncio.sleep(1)
        burst = start_readers(range(READERS, round(READERS * BURST)))
        record("a burst of reads begins")
        await asyncio.sleep(BEFORE_CRASH_S)
        primary.crash()
        await asyncio.sleep(BURST_S - BEFORE_CRASH_S)
        for caller in burst:
            caller.stop()
        record("the burst ends")
    for _ in range(20):
        if any(d.role == "primary" and d is not primary for d in world.databases.values()):
            break
        await asyncio.sleep(0.1)
    behind.is_deaf = False
    record("database i-c receives again")
    for caller in writers + readers:
        caller.stop()
    leaders = [d for d in world.databases.values() if d.role == "primary" and d.is_running]
    if not leaders:
        record("no database was promoted")
        return 0
    acknowledged = [identifier for writer in writers for _, identifier in writer.acknowledged]
    held = {identifier for _, _, writes in leaders[0].log for identifier, _, _ in writes}
    lost = [identifier for identifier in acknowledged if identifier not in held]
    record(f"{ahead.name} has the log {ahead.mark_text()}")
    record(f"acknowledged {len(acknowledged)}, of them not in the log of {leaders[0].name}: "
           f"{len(lost)} ({' '.join(lost) or 'none'})")
    print(f"acknowledged commits: {len(acknowledged)}, lost: {len(lost)}")
    return 1 if lost else 0


w.main(scenario, __file__)
