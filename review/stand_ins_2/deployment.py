"""Stand-ins for a small deployment on loopback: the platform's store, back ends and clients.

Only the Python standard library is used. Routers are started with the command of the deploy file.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
COMMAND = ["target/release/ragwortswitch", "router"]
ZONES = {"osijek-a": "slavonija", "beli-manastir": "baranja", "vukovar-a": "srijem",
         "osijek-b": "slavonija", "darda": "baranja", "vukovar-b": "srijem"}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes `record.txt`: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def read_head(reader):
    """Reads a message's head: the first line and the headers, with lower-case names."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's store: versioned objects, listings and watches."""

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def put(self, kind, name, spec, status=None):
        old = self.objects.get((kind, name))
        self.revision += 1
        created = old["metadata"]["created"] if old else self.revision
        meta = {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                "deleting": False}
        item = {"metadata": meta, "spec": spec, "status": status}
        self.objects[(kind, name)] = item
        await self.tell(kind, item, False)
        return item

    async def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            await self.tell(kind, item, True)
        return item

    async def tell(self, kind, item, deleted):
        self.events.append((self.revision, kind, {"deleted": deleted, "object": item}))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                self.calls += 1
                status, answer = await self.answer(line, body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = [unquote(p) for p in url.path.split("/") if p]
        kind, name = parts[2], (parts[3] if len(parts) > 3 else None)
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET" and name is None:
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "more": False, "as_of": self.revision}
        if method == "GET":
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if method == "POST":
            item = json.loads(body)
            name = item["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, await self.put(kind, name, item.get("spec"), item.get("status"))
        old = self.objects.get((kind, name))
        if old is None:
            return 404, {}
        if method == "DELETE":
            wanted = query.get("revision")
            if wanted and int(wanted) != old["metadata"]["revision"]:
                return 409, old
            return 200, await self.delete(kind, name)
        item = json.loads(body)
        wanted = (item.get("metadata") or {}).get("revision") or query.get("revision")
        if wanted and int(wanted) != old["metadata"]["revision"]:
            return 409, old
        if len(parts) > 4:
            return 200, await self.put(kind, name, old["spec"], item.get("status"))
        return 200, await self.put(kind, name, item.get("spec"), old["status"])

    async def watch(self, kind, since, wait_ms):
        def found():
            return [event for revision, k, event in self.events if k == kind and revision > since]

        async with self.changed:
            try:
                if not found() and wait_ms:
                    await asyncio.wait_for(self.changed.wait_for(found), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"events": found(), "as_of": self.revision}


class Backend:
    """A back end; `work` answers one request and may be replaced by a case."""

    def __init__(self, deployment, name, service, zone, slots=3, work=None, ip="127.0.0.1"):
        self.deployment, self.name, self.service, self.zone = deployment, name, service, zone
        self.slots, self.ip = slots, ip
        self.work = work or self.answer
        self.ran = []
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.register()

    async def register(self, state="ready", seq=1):
        self.born = getattr(self, "born", int(time.time() * 1000))
        spec = {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots}}
        status = {"state": state, "seq_no": seq, "cold_remaining_s": 0}
        await self.deployment.store.put("servers", self.name, spec, status)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                expected = headers.get("expect-instance")
                if expected and expected != self.name:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\n"
                                 b"Not-Run: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                 % (headers.get("request-id", "").encode(), self.name.encode()))
                    await writer.drain()
                    continue
                if not await self.work(self, line, headers, body, reader, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def record_run(self, line, headers, body):
        run = (headers.get("request-id"), line, body)
        self.ran.append(run)
        self.deployment.record.add(f"{self.name} runs {run[0]} {line!r} body of {len(body)} bytes")

    @staticmethod
    def head(headers, length, status=b"200 OK", more=b""):
        return (b"HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Stamp: 3e1b.07.5a2\r\n"
                b"Content-Length: %d\r\n%s\r\n"
                % (status, headers.get("request-id", "").encode(), length, more))

    @staticmethod
    async def answer(self, line, headers, body, reader, writer):
        self.record_run(line, headers, body)
        text = b"a body of %d bytes" % len(body)
        writer.write(self.head(headers, len(text)) + text)
        return True


class Router:
    """One entry VM, started with the command of the deploy file."""

    def __init__(self, deployment, number, zone):
        self.deployment, self.number, self.zone = deployment, number, zone
        self.ip = "127.0.%d.%d" % (20 + deployment.net, number + 1)
        self.name = f"front-{zone}-{number}"
        names = ["callers", "ready", "directory", "metrics", "peers"]
        self.ports = {name: free_port(self.ip) for name in names}
        self.callers = (self.ip, self.ports["callers"])
        self.process = None

    def at(self, name):
        return f"{self.ip}:{self.ports[name]}"

    def settings(self):
        seeds = [router.at("peers") for router in self.deployment.routers[:3]]
        return {"name": self.name, "zone": self.zone, "region": ZONES[self.zone], "zones": ZONES,
                **{name: self.at(name) for name in self.ports}, "seeds": seeds,
                "store": self.deployment.store.address, "cores": 1, "cpu_share": 0.2,
                "descriptors": 4100, "memory_mb": 260, "bootstrap": True, "grace_s": 6,
                "apply_s": 2, "drain_s": 2, "stable_s": 3, "evacuate_s": 5, "cold_factor": 1.5,
                "cold_burst": 5, "max_shift": 0.15}

    async def start(self):
        path = os.path.join(self.deployment.folder, f"{self.name}.jsonc")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "w")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["RAGWORTSWITCH_SETTINGS"] = path
        self.process = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log)

    async def wait_ready(self):
        for _ in range(100):
            try:
                head, _, _ = await ask((self.ip, self.ports["ready"]), b"GET /-/ready HTTP/1.1\r\n"
                                       b"Host: x\r\nConnection: close\r\n\r\n")
                if " 200 " in head + " ":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} isn't ready after 10 s")

    async def terminate(self, grace_s):
        """Stops the process as the platform does."""
        self.deployment.record.add(f"SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
            self.deployment.record.add(f"{self.name} has ended")
        except asyncio.TimeoutError:
            await self.stop()
            self.deployment.record.add(f"SIGKILL to {self.name}")

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


async def ask(address, request):
    """Sends a request over a new connection and reads its answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        head, headers = await asyncio.wait_for(read_head(reader), 20)
        body = await read_body(reader, headers)
        return head, headers, body
    finally:
        writer.close()


class Deployment:
    """The store, the routers and the back ends of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        # Each case uses loopback addresses of its own for the machines.
        self.net = random.randrange(200)
        self.store = Store()
        self.routers, self.backends = [], []

    async def start(self, zones, backends, routes, services):
        if not os.path.exists(os.path.join(ROOT, COMMAND[0])):
            raise CannotRun("the program isn't built")
        await self.store.start()
        await self.configure("00000007", routes, services)
        for backend in backends:
            self.backends.append(backend)
            await backend.start()
        self.routers = [Router(self, i, zone) for i, zone in enumerate(zones)]
        for router in self.routers:
            await router.start()
        for router in self.routers:
            await router.wait_ready()
        # The machines are in touch after `stable_window_s`, and the fleet knows its members.
        await asyncio.sleep(4)

    async def configure(self, version, routes, services):
        limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3,
                  "idle_timeout_s": 15}
        spec = {"version": version, "routes": routes, "limits": limits,
                "services": [{"name": name, "health_path": "/health", "max_conns": 390,
                              "protocol": "h1", "tls": False, "cold_start_s": 3.0,
                              "cold_per_s": 2.8} for name in services]}
        await self.store.put("config", "main", spec)

    async def stop(self):
        for router in self.routers:
            await router.stop()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout_s=6, attempts=2, **more):
    return {"name": name, "host": "jepu9.example", "path_prefix": prefix, "kind": kind,
            "timeout_s": timeout_s, "target_latency_s": 1.5, "priority": 1, "service": service,
            "attempts": attempts, "sticky": False, "home_regions": [], **more}


def request_id():
    return "%016x" % random.getrandbits(64)


def run(case):
    """Plays a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        deployment = Deployment(folder)
        try:
            return await asyncio.wait_for(case(deployment, trouble), 110)
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(play())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"couldn't run: {error!r}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
