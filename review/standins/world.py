"""Stand-ins for the platform, the databases and the callers of a small deployment.

One process plays the platform's store, its promotion service and the databases, as the users' pages
describe them, and starts the proxies as separate processes. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


taken_ports = set()


def free_port(kinds=(socket.SOCK_STREAM,), count=1):
    """Returns the first of `count` consecutive ports that are free for all socket kinds."""
    for _ in range(200):
        port = random.randint(20000, 29000)
        wanted = set(range(port, port + count))
        if wanted & taken_ports:
            continue
        held = []
        try:
            for offset in range(count):
                for kind in kinds:
                    sock = socket.socket(socket.AF_INET, kind)
                    held.append(sock)
                    sock.bind((HOST, port + offset))
            taken_ports.update(wanted)
            return port
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise RuntimeError("no free port")


# The platform's store and promotion service ------------------------------------------------------


class HttpServer:
    """A minimal HTTP/1.1 server with persistent connections."""

    def __init__(self):
        self.port = free_port()
        self.server = None

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                fields = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        fields[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                status, answer = await self.handle(method, target, fields, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, fields, body):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store: objects with revisions, conditional updates and watches."""

    latency = 0.004

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 100
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, kind, deleted, object)
        self.changed = asyncio.Condition()

    async def commit(self, kind, name, spec, finalizers=None, deleted=False):
        self.revision += 1
        key = (kind, name)
        old = self.objects.get(key)
        item = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": old["meta"]["created"] if old else self.revision,
                "finalizers": finalizers or [],
                "deleting": False,
            },
            "spec": spec,
            "status": old["status"] if old else None,
        }
        if deleted:
            self.objects.pop(key, None)
        else:
            self.objects[key] = item
        self.events.append((self.revision, kind, deleted, item))
        async with self.changed:
            self.changed.notify_all()
        return item

    async def handle(self, method, target, fields, body):
        await asyncio.sleep(self.latency)
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(part) for part in path.split("/") if part]
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return 404, {}
        kind = parts[2]
        name = parts[3] if len(parts) > 3 else None
        if method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            return 200, {
                "items": [self.objects[(kind, n)] for n in names],
                "more": False,
                "currentRev": self.revision,
            }
        if method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "DELETE":
            found = self.objects.get((kind, name))
            if not found:
                return 404, {}
            if "revision" in query and int(query["revision"]) != found["meta"]["revision"]:
                return 409, found
            await self.commit(kind, name, found["spec"], deleted=True)
            return 200, found
        content = json.loads(body)
        meta = content.get("meta", {})
        if method == "POST":
            name = meta["name"]
            found = self.objects.get((kind, name))
            if found:
                return 409, found
            return 200, await self.commit(kind, name, content.get("spec"))
        if method == "PUT" and name is not None:
            found = self.objects.get((kind, name))
            if not found:
                return 404, {}
            if "revision" in meta and meta["revision"] != found["meta"]["revision"]:
                return 409, found
            if found["spec"] == content.get("spec"):
                return 200, found
            return 200, await self.commit(kind, name, content.get("spec"))
        return 404, {}

    async def watch(self, kind, since, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"object": item, "deleted": deleted}
                      for revision, k, deleted, item in self.events
                      if revision > since and k == kind]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Promotions(HttpServer):
    """The platform's API through which a database is promoted."""

    def __init__(self, world):
        super().__init__()
        self.world = world
        self.tokens = []  # The fencing tokens, in the order of their arrival.

    async def handle(self, method, target, fields, body):
        if method != "POST" or target != "/promotion":
            return 404, {}
        order = json.loads(body)
        self.tokens.append(int(fields["fencing-token"]))
        self.world.record(f"promotion ordered of {order['id']} by {fields.get('duty-holder')} "
                          f"with token {fields.get('fencing-token')}")
        database = self.world.databases.get(order["id"])
        if not database or not database.is_running:
            return 409, {}
        if not self.world.leads(database):
            asyncio.get_running_loop().call_later(0.6, self.world.take_over, database)
        return 200, {}


class CuttablePath:
    """A network path to a server that can be cut for a while, with TCP's usual behaviour.

    What was sent on an open connection during a cut is retransmitted at doubling intervals, also
    after the sender closed the connection, but not after it reset it. The opening of a connection
    is retried after 1, 3 and 7 seconds.
    """

    first_retransmission = 0.2
    retransmissions = 8
    opening_retries = (1, 3, 7)

    def __init__(self, record, port):
        self.record = record
        self.target = port
        self.port = free_port()
        self.is_cut = False
        self.server = None

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def passes(self, waits):
        """Returns whether one of the packets sent after these waits gets through."""
        since = time.monotonic()
        for wait in waits:
            await asyncio.sleep(max(0, since + wait - time.monotonic()))
            if not self.is_cut:
                return True
        return False

    async def serve(self, reader, writer):
        sent = asyncio.Queue()  # What the client sent; None at its end.
        state = {"is_closed": False, "is_reset": False}
        collector = asyncio.ensure_future(self.collect(reader, sent, state))
        to_server = None
        back = None
        try:
            if self.is_cut:
                self.record("path: an opening packet is lost")
                # A client that closes a connection that isn't open yet has sent nothing.
                if not await self.passes(self.opening_retries) or state["is_closed"]:
                    return
            from_server, to_server = await asyncio.open_connection(HOST, self.target)
            back = asyncio.ensure_future(self.forward_back(from_server, writer))
            waits = [self.first_retransmission * (2 ** n - 1)
                     for n in range(1, self.retransmissions)]
            while (chunk := await sent.get()) is not None:
                if self.is_cut:
                    self.record(f"path: {len(chunk)} bytes are held up")
                    if not await self.passes(waits) or state["is_reset"]:
                        return
                    self.record(f"path: {len(chunk)} bytes are retransmitted")
                to_server.write(chunk)
                await to_server.drain()
            await asyncio.sleep(0.2)
        except (ConnectionError, OSError):
            pass
        finally:
            collector.cancel()
            if back:
                back.cancel()
            writer.close()
            if to_server:
                to_server.close()

    async def collect(self, reader, sent, state):
        try:
            while chunk := await reader.read(65536):
                sent.put_nowait(chunk)
        except (ConnectionError, OSError):
            state["is_reset"] = True
        state["is_closed"] = True
        sent.put_nowait(None)

    async def forward_back(self, from_server, writer):
        try:
            while chunk := await from_server.read(65536):
                writer.write(chunk)
        except (ConnectionError, OSError):
            pass


# Databases ---------------------------------------------------------------------------------------


class Database:
    """A database of one service, with a replicated log."""

    def __init__(self, world, name, role, zone, slots=5):
        self.world = world
        self.record = world.record
        self.name = name
        self.role = role
        self.zone = zone
        self.port = free_port()
        self.first_term = 3
        self.term = self.first_term
        self.commits = []  # (time, term, number, identifier) of commits as the primary
        self.log = []  # (term, number, [(statement id, item, data)])
        self.is_running = True
        self.is_deaf = False
        self.is_isolated = False  # From the other databases.
        self.unreachable_for = set()  # Names of proxies.
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.work_s = 0.004
        self.connections = {}  # Of each writer, the name of the proxy.
        self.server = None
        self.proofs = 0
        self.arrivals = []  # (time, identifier) of the statements of callers

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=2 ** 21)

    @property
    def mark(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (self.term, 0)

    def mark_text(self):
        return "%d.%d" % self.mark

    async def check_in(self):
        self.sequence += 1
        await self.world.store.commit("servers", self.name, {
            "service": self.world.service, "address": f"{HOST}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slot_count, "state": self.state, "coldLeftMs": 0,
            "dbRole": self.role, "sequence": self.sequence, "born": self.born})

    def crash(self):
        """Ends at once, as if the process had been killed."""
        self.record(f"database {self.name} ({self.role}, log {self.mark_text()}) crashes")
        self.is_running = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        asyncio.ensure_future(self.expire())

    async def expire(self):
        """Its entry is removed after three check-in intervals of silence."""
        await asyncio.sleep(3.6)
        if not self.is_running:
            entry = self.world.store.objects.get(("servers", self.name))
            await self.world.store.commit("servers", self.name, entry["spec"], deleted=True)

    def cut_from(self, proxies):
        """Partitions it from the other databases and from these proxies, with resets."""
        self.is_isolated = True
        self.unreachable_for = {proxy.name for proxy in proxies}
        for writer, name in list(self.connections.items()):
            if name in self.unreachable_for:
                writer.transport.abort()

    def heal(self):
        self.is_isolated = False
        self.unreachable_for = set()
        asyncio.ensure_future(self.step_down())

    async def step_down(self):
        """An old primary goes on until a second after it can reach the new one."""
        reached = 0
        while self.is_running and not self.is_isolated and reached < 10:
            await asyncio.sleep(0.1)
            newer = [d for d in self.world.databases.values()
                     if d.role == "primary" and d.term > self.term and d.is_running and not d.is_isolated]
            reached = reached + 1 if newer else 0
            if self.role != "primary":
                return
        if reached >= 10:
            self.record(f"database {self.name} becomes a replica")
            self.role, self.term, self.log = "replica", newer[0].term, list(newer[0].log)
            await self.check_in()

    def receive(self, entry):
        if self.is_running and not self.is_deaf and not self.is_isolated and entry not in self.log:
            self.log.append(entry)

    async def serve(self, reader, writer):
        name = self.world.proxy_at(writer.get_extra_info("peername")[1], self.port)
        if name in self.unreachable_for:
            writer.transport.abort()
            return
        self.connections[writer] = name
        try:
            await Connection(self, reader, writer).run()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()


class Connection:
    """One connection to a database."""

    def __init__(self, database, reader, writer):
        self.database = database
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self.reads_only = False
        self.writes = []
        self.prepared = {}

    def send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def ready(self):
        return f"READY {self.state} {self.database.mark_text()}"

    async def run(self):
        database = self.database
        world = database.world
        line = (await self.reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
        word, service, tenant, *expected = line.split(" ")
        if word != "CONNECT" or service != world.service or (expected and expected[0] != database.name):
            self.send(f"ERROR WRONGNODE {database.name}")
            return
        if len(database.connections) > world.maximum_connections:
            self.send("ERROR CONNLIMIT -")
            return
        await asyncio.sleep(0.012)
        self.send(self.ready())
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
            _, identifier, text = line.split(" ", 2)
            if identifier != "-":
                database.arrivals.append((now(), identifier))
            lines = await self.execute(identifier, text)
            if lines is not None:
                self.send(*lines, self.ready())
                await self.writer.drain()

    async def execute(self, identifier, text):
        database = self.database
        if text.startswith("WAITPOS "):
            _, wanted, text = text.split(" ", 2)
            term, number = wanted.split(".")
            if database.mark < (int(term), int(number)):
                return ["ERROR LAGGING -"]
        word, _, rest = text.partition(" ")
        if word in ("SET", "PREPARE", "DEALLOC", "RESET"):
            if word == "PREPARE":
                name, access, shape = rest.split(" ", 2)
                self.prepared[name] = (access, shape)
            elif word == "RESET":
                self.prepared = {}
            return ["COMPLETE -"]
        if word == "STATUS":
            # It takes a slot, and is refused if all are in use.
            if database.slots.locked():
                database.record(f"database {database.name} answers BUSY to STATUS")
                return ["ERROR BUSY -"]
            return [f"ROW {database.role} {database.term} {database.mark_text()} 0 0 0 "
                    f"{len(database.connections)}", "COMPLETE -"]
        if word == "BEGIN":
            if rest != "READ" and database.role != "primary":
                return [f"ERROR READONLY {database.name}"]
            self.state, self.reads_only, self.writes = "T", rest == "READ", []
            return ["COMPLETE -"]
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return ["COMPLETE -"]
        if word == "COMMIT":
            if self.state == "I":
                return ["ERROR MALFORMED -"]
            failed, self.state = self.state == "E", "I"
            writes, self.writes = self.writes, []
            if failed:
                return ["ERROR ABORTED -"]
            return await self.commit(identifier, writes)
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return ["ERROR NOSTMT -"]
            word = self.prepared[name][0]
        async with database.slots:
            await asyncio.sleep(database.work_s)
            if word == "READ":
                value = next((data for _, _, writes in reversed(database.log)
                              for _, item, data in writes if item == rest), "none")
                database.record(f"database {database.name} runs {identifier} {text}")
                return [f"ROW {value}", f"COMPLETE {self.proof()}"]
            if word != "WRITE":
                return ["ERROR MALFORMED -"]
            if database.role != "primary":
                self.state = "E" if self.state == "T" else "I"
                return [f"ERROR READONLY {database.name}"]
            item, _, data = rest.partition(" ")
            write = (identifier, item, data)
            database.record(f"database {database.name} runs {identifier} {text[:60]}")
            if self.state == "T":
                self.writes.append(write)
                return [f"COMPLETE {self.proof()}"]
        return await self.commit(identifier, [write])

    def proof(self):
        self.database.proofs += 1
        return f"{self.database.proofs:x}.{random.getrandbits(64):x}"

    async def commit(self, identifier, writes):
        database = self.database
        if not writes:
            return [f"COMPLETE {self.proof()}"]
        entry = (database.term, database.mark[1] + 1, writes)
        database.log.append(entry)
        database.commits.append((now(), entry[0], entry[1], identifier))
        await database.world.replicate(database, entry)
        if not database.is_running:
            raise ConnectionError
        database.record(f"database {database.name} commits {identifier} as {entry[0]}.{entry[1]}")
        return [f"COMPLETE {self.proof()}"]


# The deployment ----------------------------------------------------------------------------------


class Proxy:
    """A chervilpin-sessiond process, started with the command of the deploy file."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.callers = free_port()
        self.ready = free_port()
        self.metrics = free_port()
        # TCP and UDP for peers, and TCP for forwarded statements on the port after it.
        self.peers = free_port((socket.SOCK_STREAM, socket.SOCK_DGRAM), 2)
        self.process = None
        self.log_path = world.folder / f"{name}.log"

    def settings(self, first_start):
        return f"""[node]
name = "{self.name}"
data_centre = "{self.zone}"
first_start = {str(first_start).lower()}
cores = 0.25

[listen]
callers = "{HOST}:{self.callers}"
ready = "{HOST}:{self.ready}"
metrics = "{HOST}:{self.metrics}"
peers = "{HOST}:{self.peers}"

[store]
address = "{self.world.store.address}"

[promotion]
address = "{self.world.promotion_path.address}"

[limits]
stop_grace_s = 6

[regions]
{chr(10).join(f'"{zone}" = "region"' for zone in self.world.zones)}

[evacuations]
enabled = false
"""

    async def start(self, first_start=True):
        path = self.world.folder / f"{self.name}.toml"
        path.write_text(self.settings(first_start), encoding="utf-8")
        log = open(self.log_path, "a", encoding="utf-8")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / "target/bin/chervilpin-sessiond"), "--config", str(path), stdout=log, stderr=log)
        log.close()
        self.world.record(f"proxy {self.name} started")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class World:
    """A service of three databases behind three proxies, one of each in each zone."""

    def __init__(self, record, **options):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="chervilpin-review-"))
        self.service = "service-1"
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.maximum_connections = options.get("maximum_connections", 33)
        self.synchronous_replicas = options.get("synchronous_replicas", 0)
        self.transaction_idle_ms = options.get("transaction_idle_ms", 3000)
        self.limits = options.get("limits", {})
        self.proxies_per_zone = options.get("proxies_per_zone", 1)
        self.store = Store(record)
        self.promotions = Promotions(self)
        self.promotion_path = CuttablePath(record, self.promotions.port)
        self.databases = {}
        self.proxies = []
        self.version = 7

    def add_database(self, name, role, zone, **options):
        self.databases[name] = Database(self, name, role, zone, **options)
        return self.databases[name]

    def configuration(self):
        def route(name, host, kind, **extra):
            return {"name": name, "host": host, "pathPrefix": "/", "routeType": kind,
                    "timeoutMs": 1000, "targetLatencyMs": 400, "priority": 1,
                    "service": self.service, "maxAttempts": 2, "authExempt": False, **extra}

        return {
            "version": self.version,
            "routes": [
                route("r-primary", "db-primary", "primary"),
                route("r-bounded", "db-bounded", "bounded_staleness", maxStalenessMs=1500,
                      timeoutMs=3000, targetLatencyMs=800),
                route("r-own", "db-own", "read_own_writes", maxStalenessMs=2500),
            ],
            "services": [{"name": self.service, "healthPath": "/health",
                          "maxConns": self.maximum_connections, "protocol": "h1", "tls": False,
                          "syncReplicas": self.synchronous_replicas}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, "txIdleMs": self.transaction_idle_ms},
            "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1, "ratePerS": 500,
                         "burstSize": 500, **self.limits}],
        }

    async def start(self):
        await self.store.start()
        await self.promotions.start()
        await self.promotion_path.start()
        for database in self.databases.values():
            await database.start()
            await database.check_in()
        await self.store.commit("config", "main", self.configuration())
        for number, zone in enumerate(self.zones * self.proxies_per_zone):
            self.proxies.append(Proxy(self, f"front-{zone}-{number + 1}", zone))
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))

    def leader(self):
        """The proxy that leads the fleet, from its record in the store."""
        record = next((item["spec"] for (kind, name), item in self.store.objects.items()
                       if kind == "chervilpin-fleet" and name.startswith("leader")), "")
        return next((proxy for proxy in self.proxies if proxy.name in str(record)), None)

    def proxy_at(self, port, to_port):
        """The name of the proxy whose connection has this local port."""
        wanted = f":{port:04X}", f":{to_port:04X}"
        with open("/proc/net/tcp", encoding="ascii") as table:
            for line in table:
                fields = line.split()
                if fields[1].endswith(wanted[0]) and fields[2].endswith(wanted[1]):
                    link = f"socket:[{fields[9]}]"
                    break
            else:
                return None
        for proxy in self.proxies:
            folder = f"/proc/{proxy.process.pid}/fd" if proxy.process else ""
            try:
                if any(os.readlink(f"{folder}/{fd}") == link for fd in os.listdir(folder)):
                    return proxy.name
            except OSError:
                continue
        return None

    async def wait_until_ready(self, limit_s=20):
        deadline = time.monotonic() + limit_s
        for proxy in self.proxies:
            while not await proxy.is_ready():
                if time.monotonic() > deadline:
                    raise RuntimeError("a proxy did not become ready")
                await asyncio.sleep(0.1)

    async def replicate(self, primary, entry):
        """Returns once as many replicas have received the commit as the service asks for."""
        await asyncio.sleep(0.001)
        while True:
            received = 0
            for replica in self.databases.values():
                if replica is primary or replica.role != "replica":
                    continue
                replica.receive(entry)
                received += entry in replica.log
            if received >= self.synchronous_replicas or not primary.is_running:
                return
            await asyncio.sleep(0.01)

    def leads(self, database):
        """Whether it is the present primary: that of the newest term."""
        return database.role == "primary" and database.term == max(
            d.term for d in self.databases.values())

    def take_over(self, database):
        if not database.is_running or self.leads(database):
            return
        database.term = 1 + max(d.term for d in self.databases.values())
        for other in self.databases.values():
            if other is database or other.is_isolated:
                continue
            if other.role == "primary" and other.is_running:
                other.role = "replica"
            other.term = database.term
            other.log = list(database.log)
        database.role = "primary"
        self.record(f"database {database.name} leads term {database.term} with log "
                    f"{database.mark_text()}")
        for changed in self.databases.values():
            if changed.is_running:
                asyncio.ensure_future(changed.check_in())

    def stop(self):
        for proxy in self.proxies:
            proxy.signal(signal.SIGCONT)
            proxy.signal(signal.SIGKILL)
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Caller:
    """A caller's session."""

    writers = []

    def __init__(self, world, proxy, name):
        self.world = world
        self.proxy = proxy
        self.name = name
        self.count = 0
        self.reader = None
        self.writer = None
        self.last = None  # The last message that was received.

    async def connect(self, database="db-primary", key="key-1"):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.proxy.callers, limit=2 ** 21)
        Caller.writers.append(self.writer)
        self.writer.write(f"CONNECT {database} {key}\r\n".encode())
        return await self.line()

    async def line(self, limit_s=5):
        raw = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit_s)
        self.last = raw.decode().rstrip("\r\n")
        return self.last

    async def query(self, text, limit_s=5):
        """Returns the identifier, the rows, the final message and the state of the session."""
        self.count += 1
        identifier = f"{self.name}-{self.count}"
        self.world.record(f"caller sends {identifier} {text[:60]}")
        self.writer.write(f"QUERY {identifier} {text}\r\n".encode())
        rows = []
        final = None
        while True:
            line = await self.line(limit_s)
            if line.startswith("ROW "):
                rows.append(line[4:])
            elif line.startswith("READY "):
                self.world.record(f"caller gets {identifier} {final[:80]}, {line}")
                return identifier, rows, final, line.split(" ")[1]
            else:
                final = line

    def close(self):
        if self.writer:
            self.writer.close()


class Repeater:
    """A caller that goes on writing or reading, and connects again when its connection ends."""

    def __init__(self, world, proxy, name, pause_s=0.1, database="db-primary", word="WRITE"):
        self.world = world
        self.proxy = proxy
        self.name = name
        self.pause_s = pause_s
        self.database = database
        self.word = word
        self.sent = []  # Times.
        self.acknowledged = []  # (time, identifier)
        self.count = 0
        self.task = asyncio.ensure_future(self.run())

    async def run(self):
        session = 0
        while True:
            session += 1
            caller = Caller(self.world, self.proxy, f"{self.name}.{session}")
            try:
                await caller.connect(self.database)
                while True:
                    self.count += 1
                    self.sent.append(now())
                    text = f"{self.word} {self.name}-{self.count}"
                    if self.word == "WRITE":
                        text += f" data-{self.count}"
                    identifier, _, final, _ = await caller.query(text)
                    if final.startswith("COMPLETE"):
                        self.acknowledged.append((now(), identifier))
                    await asyncio.sleep(self.pause_s)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                self.world.record(f"caller {self.name} lost its connection")
            finally:
                caller.close()
            await asyncio.sleep(self.pause_s)

    def stop(self):
        self.task.cancel()


def main(scenario, folder):
    """Runs the scenario; exits with its result: 1 if the rule was broken, 0 if it held, 2 if not run."""
    folder = pathlib.Path(folder).resolve().parent
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world_holder = []
        try:
            return await asyncio.wait_for(scenario(record, has_trouble, world_holder), 110)
        finally:
            for writer in Caller.writers:
                writer.close()
            for world in world_holder:
                world.stop()
                for proxy in world.proxies:
                    if proxy.process:
                        await proxy.process.wait()

    try:
        result = asyncio.run(run())
    except Exception as problem:  # the case could not run
        record(f"not run: {problem!r}")
        print(f"not run: {problem!r}")
        result = 2
    record(f"result {result}")
    raise SystemExit(result)
