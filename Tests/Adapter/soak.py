#!/usr/bin/env python3
"""Runs real proxies between stand-ins through random, overlapping disruptions.

Callers go on using their connections until these end. The checks at the end: no process ended by
itself, no write was acknowledged by a superseded primary, no acknowledged write was lost if the
service has a synchronous replica, fencing tokens only rose, and all callers are served again.

Usage: soak.py --daemon PROGRAM [--seeds FIRST-LAST] [--seconds S] [--parallel N] [--record FOLDER]
"""

import argparse
import asyncio
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "review/standins"))
import world as w

SETTLE_S = 4
# The users' limit for the time until callers are served again (recoverS).
RECOVER_S = 12
# Callers have to be served within this after the recovery; a busy machine needs more than an instant.
SERVED_WITHIN_S = 15
# The users don't count a sender that was frozen within this (thawSlackMs).
THAW_SLACK_S = 0.3
GRACE_S = 6
DRAIN_S = 8
# Of the disruptions of databases, those that are of the present primary in any case.
PRIMARY_SHARE = 0.5

ODD_ENTRIES = [
    "\udcff\udcfe",
    {"service": "service-1", "address": "127.0.0.1:99999", "zone": "zone-a", "version": "v1", "slots": 5,
     "state": "ready", "coldLeftMs": 0, "dbRole": "primary", "sequence": 1, "born": 1},
    {"service": "service-1", "address": "127.0.0.1:1", "zone": "zone-a", "version": "v1",
     "slots": 10 ** 400, "state": "ready", "coldLeftMs": 10 ** 30, "dbRole": "primary", "sequence": 1,
     "born": 10 ** 300},
    [[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]],
    None,
]


class Database(w.Database):
    """A database whose log has no gaps, whatever it missed."""

    def receive_log(self, primary, entry):
        if self.is_running and not self.is_deaf and not self.is_isolated and entry not in self.log[-5:]:
            self.log = primary.log[:primary.log.index(entry) + 1]


class World(w.World):
    """A service in which only the database that was promoted last has commits received."""

    def __init__(self, record, **options):
        super().__init__(record, **options)
        self.current = None  # The database that leads the newest term.

    def add_database(self, name, role, zone, **options):
        self.databases[name] = Database(self, name, role, zone, **options)
        if role == "primary":
            self.current = self.databases[name]
        return self.databases[name]

    async def replicate(self, primary, entry):
        await asyncio.sleep(0.001)
        while primary.is_running:
            if entry not in primary.log:
                raise ConnectionError  # Discarded when another database took over.
            received = 0
            for replica in self.databases.values():
                if replica is primary or primary is not self.current or primary.is_isolated:
                    continue
                replica.receive_log(primary, entry)
                received += entry in replica.log
            if received >= self.synchronous_replicas:
                return
            await asyncio.sleep(0.01)

    def take_over(self, database):
        super().take_over(database)
        if database.role == "primary" and database.is_running:
            self.current = database


class Soak:
    def __init__(self, seed, daemon, seconds, record):
        self.random = random.Random(seed)
        self.daemon = daemon
        self.seconds = seconds
        self.record = record
        self.problems = []
        self.world = World(record, synchronous_replicas=seed % 2)
        self.thawed_at = {}  # By name of the proxy.
        self.is_over = False
        # (time, term) of each change of the primary
        self.terms = []

    # Processes ---------------------------------------------------------------------------------

    async def start_process(self, proxy, first_start=False):
        path = self.world.folder / f"{proxy.name}.toml"
        path.write_text(proxy.settings(first_start), encoding="utf-8")
        with open(proxy.log_path, "a", encoding="utf-8") as log:
            proxy.process = await asyncio.create_subprocess_exec(
                str(self.daemon), "--config", str(path), stdout=log, stderr=log)
        self.record(f"proxy {proxy.name} started")

    async def watch_process(self, proxy):
        """Starts the process again when it ends, and reports an end that nobody asked for."""
        while True:
            proxy.asked_to_end = False
            code = await proxy.process.wait()
            if self.is_over:
                return
            if not proxy.asked_to_end:
                self.problems.append(f"{proxy.name} ended by itself with code {code}")
            await asyncio.sleep(0.3 + self.random.random())
            await self.start_process(proxy)

    async def end_process(self, proxy, number):
        proxy.asked_to_end = True
        process = proxy.process
        self.record(f"proxy {proxy.name} gets signal {number}")
        proxy.signal(number)
        if number != signal.SIGTERM:
            return
        try:
            await asyncio.wait_for(asyncio.shield(process.wait()), GRACE_S)
        except asyncio.TimeoutError:
            self.record(f"proxy {proxy.name} is killed after its grace")
            if process.returncode is None:
                process.kill()

    async def freeze(self, proxy):
        process = proxy.process
        if process.returncode is not None:
            return
        self.record(f"proxy {proxy.name} is frozen")
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 5))
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        self.thawed_at.setdefault(proxy.name, []).append(w.now())
        self.record(f"proxy {proxy.name} is thawed")

    async def disturb_processes(self):
        proxy = self.random.choice(self.world.proxies)
        kind = self.random.choice(["term", "kill", "hup", "freeze", "all"])
        if kind == "term":
            await self.end_process(proxy, signal.SIGTERM)
        elif kind == "kill":
            await self.end_process(proxy, signal.SIGKILL)
        elif kind == "hup":
            proxy.signal(signal.SIGHUP)
        elif kind == "freeze":
            await self.freeze(proxy)
        else:
            number = self.random.choice([signal.SIGTERM, signal.SIGKILL])
            await asyncio.gather(*(self.end_process(p, number) for p in self.world.proxies))

    # Databases ---------------------------------------------------------------------------------

    async def restart_database(self, database):
        """A database that crashed comes back with its log, or with that of the present primary."""
        present = self.world.current
        if present is not database:
            database.role = "replica"
            database.term = present.term
            database.log = list(present.log)
        database.is_running = True
        await database.start()
        await database.check_in()
        self.record(f"database {database.name} ({database.role}) is back")

    async def disturb_databases(self):
        database = self.random.choice(list(self.world.databases.values()))
        if self.random.random() < PRIMARY_SHARE:
            database = self.world.current
        kind = self.random.choice(["crash", "crash", "deaf", "cut", "cut", "busy", "drain"])
        self.record(f"database {database.name} ({database.role}): {kind}")
        span = self.random.uniform(0.5, 6)
        if kind == "crash" and database.is_running:
            database.crash()
            await asyncio.sleep(span)
            await self.restart_database(database)
        elif kind == "deaf":
            database.is_deaf = True
            await asyncio.sleep(span)
            database.is_deaf = False
        elif kind == "cut" and database.is_running:
            count = self.random.randint(1, len(self.world.proxies))
            database.cut_from(self.random.sample(self.world.proxies, count))
            self.record(f"database {database.name} is partitioned from {count} proxies")
            await asyncio.sleep(span)
            database.heal()
            self.record(f"the partition of {database.name} ends")
        elif kind == "drain" and database.is_running:
            database.state = "draining"
            await database.check_in()
            await asyncio.sleep(DRAIN_S)
            database.crash()
            await asyncio.sleep(span)
            database.state = "ready"
            await self.restart_database(database)
        elif kind == "busy":
            database.work_s = 0.06
            await asyncio.sleep(span)
            database.work_s = 0.004

    # Configuration, directory, platform ---------------------------------------------------------

    async def change_configuration(self, change=None):
        self.world.version += self.random.randint(1, 5)
        configuration = self.world.configuration()
        if change:
            change(configuration)
        await self.world.store.commit("config", "main", configuration)

    async def disturb_platform(self):
        kind = self.random.choice(["odd", "odd", "key", "route", "slow", "cut"])
        span = self.random.uniform(0.3, 4)
        self.record(f"platform: {kind}")
        if kind == "odd":
            await self.world.store.commit("servers", "i-other", self.random.choice(ODD_ENTRIES))
            await asyncio.sleep(span)
            await self.world.store.commit("servers", "i-other", None, deleted=True)
        elif kind == "key":
            await self.change_configuration(lambda c: c["tenants"][0].update(apiKeys=["key-2"]))
            await asyncio.sleep(span)
            await self.change_configuration()
        elif kind == "route":
            await self.change_configuration(lambda c: c["routes"].pop())
            await asyncio.sleep(span)
            await self.change_configuration()
        elif kind == "slow":
            self.world.store.latency = 0.4
            await asyncio.sleep(span)
            self.world.store.latency = w.Store.latency
        else:
            self.world.promotion_path.is_cut = True
            await asyncio.sleep(span)
            self.world.promotion_path.is_cut = False

    # The run -----------------------------------------------------------------------------------

    async def repeat(self, disturb, until):
        while w.now() < until:
            await asyncio.sleep(self.random.uniform(0.2, 3))
            await disturb()

    async def follow_terms(self):
        while True:
            term = self.world.current.term
            if not self.terms or self.terms[-1][1] != term:
                self.terms.append((w.now(), term))
            await asyncio.sleep(0.01)

    async def run(self):
        world = self.world
        for name, role, zone in (("i-a", "primary", "zone-a"), ("i-b", "replica", "zone-b"),
                                 ("i-c", "replica", "zone-c")):
            world.add_database(name, role, zone)
        w.Proxy.start = lambda proxy, first_start=True: self.start_process(proxy, first_start)
        await world.start()
        await world.wait_until_ready()
        watchers = [asyncio.ensure_future(self.watch_process(proxy)) for proxy in world.proxies]
        follower = asyncio.ensure_future(self.follow_terms())
        await asyncio.sleep(SETTLE_S)
        callers = [w.Repeater(world, proxy, f"w{n}", 0.05) for n, proxy in enumerate(world.proxies)]
        callers += [w.Repeater(world, proxy, f"r{n}", 0.05, "db-bounded", "READ")
                    for n, proxy in enumerate(world.proxies)]
        until = w.now() + self.seconds
        await asyncio.gather(self.repeat(self.disturb_processes, until),
                             self.repeat(self.disturb_databases, until),
                             self.repeat(self.disturb_platform, until))
        self.record("the disruptions end")
        await asyncio.sleep(RECOVER_S)
        await self.expect_service(callers)
        for caller in callers:
            caller.stop()
        self.is_over = True
        for task in watchers + [follower]:
            task.cancel()
        self.check(callers)

    async def expect_service(self, callers):
        since = w.now()
        unserved = callers
        while unserved and w.now() < since + SERVED_WITHIN_S:
            await asyncio.sleep(0.2)
            unserved = [c for c in unserved if not c.acknowledged or c.acknowledged[-1][0] < since]
        for caller in unserved:
            self.problems.append(f"caller {caller.name} is not served again")

    def check(self, callers):
        tokens = self.world.promotions.tokens
        for n, token in enumerate(tokens):
            if n and token < max(tokens[:n]):
                self.problems.append(f"fencing token {token} arrived after {max(tokens[:n])}")
        acknowledged = {identifier: at for caller in callers if caller.word == "WRITE"
                        for at, identifier in caller.acknowledged}
        thaws = [at for times in self.thawed_at.values() for at in times]
        for database in self.world.databases.values():
            for at, term, number, identifier in database.commits:
                newest = max(newer for since, newer in self.terms if since <= at)
                is_frozen = any(at - THAW_SLACK_S <= thaw <= at for thaw in thaws)
                if identifier in acknowledged and term < newest and not is_frozen:
                    self.problems.append(f"{identifier} was acknowledged as {term}.{number} of "
                                         f"{database.name} while term {newest} had begun")
        if not self.world.synchronous_replicas:
            return
        log = self.world.current.log
        held = {identifier for _, _, writes in log for identifier, _, _ in writes}
        lost = [identifier for identifier in acknowledged if identifier not in held]
        if lost:
            self.problems.append(f"{len(lost)} of {len(acknowledged)} acknowledged writes are lost, "
                                 f"the first is {lost[0]}")


async def run_seed(arguments, seed):
    folder = arguments.record or tempfile.gettempdir()
    path = pathlib.Path(folder) / f"soak-{os.getpid()}-{seed}.txt"
    record = w.Record(path)
    soak = Soak(seed, arguments.daemon, arguments.seconds, record)
    try:
        await asyncio.wait_for(soak.run(), arguments.seconds + 90)
    except Exception as problem:  # the series could not be run to its end
        soak.problems.append(f"not run to its end: {problem!r}")
    finally:
        soak.is_over = True
        for writer in w.Caller.writers:
            writer.close()
        soak.world.stop()
        for proxy in soak.world.proxies:
            if proxy.process:
                await proxy.process.wait()
    for problem in soak.problems:
        print(f"seed {seed}: {problem}")
    print(f"seed {seed}: {'FAILED' if soak.problems else 'passed'}, terms {soak.terms[-1:]}, "
          f"orders {len(soak.world.promotions.tokens)}", flush=True)
    if not soak.problems and not arguments.record:
        path.unlink()
    elif soak.problems:
        print(f"seed {seed}: record in {path}")
    return 1 if soak.problems else 0


def run_seeds_in_processes(arguments, first, last):
    """Runs each seed in a process of its own, as many at a time as asked for."""
    waiting = list(range(first, last + 1))
    running = []
    failed = 0
    while waiting or running:
        while waiting and len(running) < arguments.parallel:
            command = [sys.executable, __file__, "--daemon", str(arguments.daemon), "--seeds",
                       str(waiting.pop(0)), "--seconds", str(arguments.seconds)]
            if arguments.record:
                command += ["--record", arguments.record]
            running.append(subprocess.Popen(command))
        process = running.pop(0)
        failed += process.wait() != 0
    print(f"{last - first + 1 - failed} passed, {failed} failed")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon", type=pathlib.Path, required=True)
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--parallel", type=int, default=3)
    parser.add_argument("--record", help="keep the records in this folder")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    if last:
        return run_seeds_in_processes(arguments, int(first), int(last))
    return asyncio.run(run_seed(arguments, int(first)))


if __name__ == "__main__":
    sys.exit(main())
