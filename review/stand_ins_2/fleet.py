"""Store, servers, clients and router processes of a small deployment, all on loopback.

The zones, the machines of each zone and the bounds are those of the site `vodni-red`.
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

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ["target/release/ragwortswitch", "router"]
ZONES = {
    "osijek-a": "slavonija",
    "beli-manastir": "baranja",
    "vukovar-a": "srijem",
    "osijek-b": "slavonija",
    "darda": "baranja",
    "vukovar-b": "srijem",
}
MACHINES = {
    "osijek-a": 2,
    "beli-manastir": 3,
    "vukovar-a": 2,
    "osijek-b": 2,
    "darda": 1,
    "vukovar-b": 1,
}
HOST = "water.example"
HEARTBEAT_S = 1.5
STABLE_WINDOW_S = 3.0


class Record:
    """The file in which a script writes what was sent, answered and run."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Message:
    """Head and body of an HTTP/1.1 message."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Reads a head; returns None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = text.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return Message(first, {name.strip().lower(): value.strip() for name, value in pairs})


async def read_body(reader, head, is_response=False):
    """Reads the body that follows a head."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if size == 0:
                return b"".join(parts)
    if "content-length" in head.headers:
        return await reader.readexactly(int(head.headers["content-length"]))
    return await reader.read() if is_response else b""


def to_bytes(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: objects by kind and name, with lists and watches."""

    REASONS = {200: "OK", 404: "Not Found", 409: "Conflict"}

    def __init__(self):
        self.revision, self.objects, self.events = 1, {}, []
        self.changed = asyncio.Condition()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec, status=None):
        async with self.changed:
            self.revision += 1
            old = self.objects.get((kind, name))
            metadata = {
                "name": name,
                "revision": self.revision,
                "created": old["metadata"]["created"] if old else self.revision,
                "finalizers": [],
                "deleting": False,
            }
            stored = {"metadata": metadata, "spec": spec, "status": status}
            self.objects[kind, name] = stored
            self.events.append((self.revision, kind, {"object": stored, "deleted": False}))
            self.changed.notify_all()
            return stored

    async def delete(self, kind, name):
        async with self.changed:
            stored = self.objects.pop((kind, name), None)
            if stored is not None:
                self.revision += 1
                self.events.append((self.revision, kind, {"object": stored, "deleted": True}))
                self.changed.notify_all()
            return stored

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                head.body = await read_body(reader, head)
                status, value = await self.answer(head)
                body = json.dumps(value).encode()
                first = f"HTTP/1.1 {status} {self.REASONS[status]}"
                writer.write(to_bytes(first, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, head):
        method, target, _ = head.first.split(" ")
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        body = json.loads(head.body) if head.body else {}
        if method == "GET" and name:
            stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if method == "GET" and "watch" in query:
            return 200, await self.watch(kind, int(query["watch"]), query.get("wait_ms", "0"))
        if method == "GET":
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            items = [self.objects[kind, name] for name in names]
            return 200, {"items": items, "more": False, "as_of": self.revision}
        if method == "DELETE":
            stored = await self.delete(kind, name)
            return (200, stored) if stored else (404, {})
        name = name or body["metadata"]["name"]
        stored = self.objects.get((kind, name))
        if method == "POST" and stored:
            return 409, stored
        if method == "PUT":
            if not stored:
                return 404, {}
            wanted = body["metadata"].get("revision")
            if wanted is not None and wanted != stored["metadata"]["revision"]:
                return 409, stored
        return 200, await self.put(kind, name, body["spec"])

    async def watch(self, kind, revision, wait_ms):
        def news():
            return [event for at, k, event in self.events if k == kind and at > revision]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(news), int(wait_ms) / 1000)
            except asyncio.TimeoutError:
                pass
            return {"events": news(), "as_of": self.revision}


class Server:
    """A sound server (backend) that registers itself and reports its state.

    `run` is called for each request that may run; it returns the headers to add to the answer.
    """

    def __init__(self, store, record, name, zone, service="calendar", slots=3, work_s=0.05):
        self.store, self.record, self.name, self.zone = store, record, name, zone
        self.service, self.slots, self.work_s = service, slots, work_s
        self.port, self.incarnation, self.running = 0, 0, 0
        self.server, self.writers, self.beats, self.held = None, set(), None, []
        self.run, self.arrive = self.run_request, lambda request_id: None

    async def start(self, ip):
        self.ip, self.incarnation, self.running = ip, self.incarnation + 1, 0
        self.server = await asyncio.start_server(
            self.serve, ip, self.port, reuse_address=True, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = time.time_ns() // 1_000_000
        self.beats = asyncio.create_task(self.report())

    async def report(self):
        sequence = 0
        while True:
            sequence += 1
            info = {"service": self.service, "version": "v1", "zone": self.zone}
            info["slots"] = self.slots
            spec = {"address": f"{self.ip}:{self.port}", "info": info, "born": self.born}
            status = {"state": "ready", "seq_no": sequence, "cold_remaining_s": 0}
            old = self.store.objects.get(("servers", self.name))
            # A report in which only the number changes is no change.
            if sequence == 1 or old is None or old["spec"] != spec:
                await self.store.put("servers", self.name, spec, status)
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self, back_s):
        """Ends the process of the server: all connections are reset, and its port refuses."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        self.beats.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().create_task(self.come_back(back_s))

    def go_dark(self):
        """Loses power: nothing answers at the address, and connection attempts hang."""
        self.server.close()
        self.server = None
        self.beats.cancel()
        # The kernel drops the opening packets to a socket whose queue is full.
        dark = socket.socket()
        dark.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        dark.bind((self.ip, self.port))
        dark.listen(0)
        self.held = [dark]
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.ip, self.port))
            self.held.append(filler)

    async def come_back(self, back_s):
        await asyncio.sleep(back_s)
        await self.start(self.ip)

    async def run_request(self, head):
        await asyncio.sleep(self.work_s)
        return {}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                request_id = head.headers.get("request-id", "")
                echo = {"Request-Id": request_id}
                if head.headers.get("expect-instance", self.name) != self.name:
                    await read_body(reader, head)
                    echo["Instance-Id"] = self.name
                    writer.write(to_bytes("HTTP/1.1 421 Misdirected Request", echo))
                    continue
                self.running += 1
                self.arrive(request_id)
                self.record.write(f"server {self.name} begins {request_id} {head.first}")
                try:
                    head.body = await read_body(reader, head)
                    echo.update(await self.run(head))
                finally:
                    self.running -= 1
                echo["Response-Stamp"] = f"3e1b.{request_id}"
                echo["Server-Load"] = f"{self.running},0,{self.slots},100"
                self.record.write(f"server {self.name} answers {request_id}")
                writer.write(to_bytes("HTTP/1.1 200 OK", echo, f"body of {request_id}".encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Machine:
    """A router process with its settings, as the template of the deploy file is filled in."""

    def __init__(self, folder, number, name, zone, store):
        self.name, self.zone, self.store, self.folder = name, zone, store, folder
        self.ip = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}.{number + 1}"
        self.ports = {
            role: free_port(self.ip)
            for role in ("callers", "ready", "directory", "metrics", "peers")
        }
        self.file = folder / f"{name}.jsonc"
        self.process = None

    def address(self, role):
        return f"{self.ip}:{self.ports[role]}"

    async def start(self, seeds, bootstrap):
        settings = {"name": self.name, "zone": self.zone, "region": ZONES[self.zone]}
        settings.update({"zones": ZONES, "seeds": seeds, "store": self.store})
        settings.update({role: self.address(role) for role in self.ports})
        settings.update({"cores": 1, "cpu_share": 0.2, "descriptors": 4100, "memory_mb": 260})
        settings.update({"bootstrap": bootstrap, "grace_s": 6, "apply_s": 2, "drain_s": 2})
        settings.update({"stable_s": STABLE_WINDOW_S, "evacuate_s": 5, "cold_factor": 1.5})
        settings.update({"cold_burst": 5, "max_shift": 0.15})
        self.file.write_text(json.dumps(settings), encoding="utf-8")
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *PROGRAM,
                cwd=ROOT,
                env={**os.environ, "RAGWORTSWITCH_SETTINGS": str(self.file)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        try:
            answer = await call(self.ip, self.ports["ready"], "GET /-/ready HTTP/1.1", {}, 1)
        except (OSError, EOFError, asyncio.TimeoutError):
            return False
        return answer.status == 200


async def call(ip, port, first, headers, wait_s, body=b""):
    """Sends a request on a new connection and returns the whole answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(to_bytes(first, {"Host": HOST, **headers}, body))
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                raise EOFError("closed without an answer")
            answer.body = await read_body(reader, answer, is_response=True)
            return answer
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), wait_s)


class Deployment:
    """Machines, store and servers; everything ends with the context."""

    def __init__(self, folder, routes):
        self.record, self.routes = Record(folder), routes
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.machines, self.servers, self.sent = [], [], 0

    async def __aenter__(self):
        self.store = Store()
        await self.store.start("127.0.0.1")
        services = sorted({route["service"] for route in self.routes})
        rules = {"health_path": "/health", "max_conns": 390, "protocol": "h1", "tls": False}
        rules.update({"cold_start_s": 3.0, "cold_per_s": 2.8})
        limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864}
        limits.update({"header_timeout_s": 3, "idle_timeout_s": 15})
        spec = {"version": "00000007", "routes": self.routes, "limits": limits}
        spec["services"] = [{"name": name, **rules} for name in services]
        await self.store.put("config", "main", spec)
        return self

    async def add_server(self, name, zone, **options):
        server = Server(self.store, self.record, name, zone, **options)
        await server.start(f"127.{random.randrange(20, 250)}.0.{len(self.servers) + 1}")
        self.servers.append(server)
        return server

    async def start_machines(self, zones=None):
        for zone, count in (zones or MACHINES).items():
            for number in range(count):
                name = f"front-{zone}-{number + 1}"
                store = self.store.address
                self.machines.append(
                    Machine(self.folder, len(self.machines), name, zone, store)
                )
        seeds = [machine.address("peers") for machine in self.machines[:3]]
        await asyncio.gather(*(machine.start(seeds, True) for machine in self.machines))
        deadline = time.monotonic() + 15
        while not all([await machine.is_ready() for machine in self.machines]):
            if time.monotonic() > deadline:
                raise RuntimeError("the machines aren't ready")
            await asyncio.sleep(0.2)
        # The machines learn of each other, and are in touch.
        await asyncio.sleep(8.0)

    async def send(self, machine, path, method="GET", deadline_s=3.0, body=b"", tag=""):
        """Sends a request of a client; returns the status, or 0 without a complete answer."""
        self.sent += 1
        request_id = f"{self.sent:06x}{random.randrange(1 << 40):010x}"
        headers = {"Request-Id": request_id, "Deadline-Ms": int(deadline_s * 1000)}
        self.record.write(f"client sends {request_id} {method} {path} to {machine.name} {tag}")
        first = f"{method} {path} HTTP/1.1"
        try:
            answer = await call(
                machine.ip, machine.ports["callers"], first, headers, deadline_s, body
            )
            status = answer.status
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status = 0
        self.record.write(f"client gets {status} for {request_id}")
        return request_id, status

    async def __aexit__(self, *error):
        await asyncio.gather(*(machine.end() for machine in self.machines))
        for server in self.servers:
            server.beats.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


def upload_route(service="archive", timeout_s=4.0):
    route = safe_route(service, timeout_s=timeout_s)
    route.update({"kind": "upload", "target_latency_s": 0.5, "priority": 1})
    return route


def safe_route(service="calendar", attempts=2, timeout_s=1.5):
    route = {"name": f"r-{service}", "host": HOST, "path_prefix": f"/{service}/"}
    route.update({"kind": "safe", "timeout_s": timeout_s, "target_latency_s": 0.4})
    route.update({"priority": 2, "service": service, "attempts": attempts})
    route.update({"sticky": False, "home_regions": []})
    return route


def run(check):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    try:
        broken = asyncio.run(asyncio.wait_for(check(), 115))
    except Exception as error:  # noqa: BLE001
        print(f"the case couldn't run: {error!r}")
        raise SystemExit(2) from error
    raise SystemExit(1 if broken else 0)
