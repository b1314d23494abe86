"""A small deployment on loopback addresses for the scripts of the second review:
daemons as processes, and stand-ins of the platform's store, the upstreams and the
clients, written by the users' pages."""
import asyncio
import base64
import ctypes
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
BINARY = ROOT / "target/pistachioweir"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HISTORY = 20.0  # Seconds that the store keeps of its history.
PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20  # At most, of one page of a range.
HEARTBEAT = 1.5
PROMISES = (408, 421, 429, 503)  # Not run, and never will be.
MORE_SETTINGS = {}  # Of all daemons of a case, in place of those of a usual machine.


class CannotRun(Exception):
    """The case couldn't be judged."""


class Record:
    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def add(self, *words):
        print(f"{time.monotonic() - self.began:8.3f}", *words, file=self.file, flush=True)

    def now(self):
        return time.monotonic() - self.began


def prepare_child():
    """The process ends with the script, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Store:
    """Linearizable reads and watches; what was acknowledged is never lost."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}  # By key: (bytes, created, revision).
        self.events = []  # (time, revision, event)
        self.dropped = 0  # The newest revision that history has lost.
        self.changed = asyncio.Event()
        self.answers = []  # (path, status, bytes)
        self.largest = 0

    def put(self, key, value):
        """Returns the revision; the change is acknowledged then."""
        self.revision += 1
        created = self.items[key][1] if key in self.items else self.revision
        data = value if isinstance(value, bytes) else json.dumps(
            value, separators=(",", ":")).encode()
        self.items[key] = (data, created, self.revision)
        self._tell(self._item(key))
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._tell({"key": key, "revision": self.revision, "removed": True})

    def _tell(self, event):
        self.events.append((time.monotonic(), self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        while self.events and time.monotonic() - self.events[0][0] > HISTORY:
            self.dropped = self.events.pop(0)[1]

    def _item(self, key):
        data, created, revision = self.items[key]
        return {"key": key, "value": base64.b64encode(data).decode(),
                "revision": revision, "created": created, "lease": 0}

    def _key(self, query):
        if query.get("key", "") not in self.items:
            return 404, {"store-revision": self.revision}
        return 200, {**self._item(query["key"]), "store-revision": self.revision}

    def _range(self, query):
        keys = sorted(k for k in self.items if k.startswith(query.get("prefix", ""))
                      and k > query.get("after", ""))
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            if page and size + len(self.items[key][0]) > PAGE_BYTES:
                break
            page.append(self._item(key))
            size += len(self.items[key][0])
        return 200, {"items": page, "has-more": len(keys) > len(page),
                     "store-revision": self.revision}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            self._expire()
            if after < self.dropped:
                return 410, {}
            events = [e for _, r, e in self.events
                      if r > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = urllib.parse.urlsplit(head.split(b" ", 2)[1].decode())
                query = dict(urllib.parse.parse_qsl(path.query))
                if path.path.endswith("kv-watch"):
                    status, body = await self._watch(query)
                elif path.path.endswith("kv-range"):
                    status, body = self._range(query)
                else:
                    status, body = self._key(query)
                text = json.dumps(body, separators=(",", ":")).encode()
                self.largest = max(self.largest, len(text))
                if len(text) > 1 << 20:
                    self.record.add("store", path.path.rsplit("/", 1)[1],
                                    query.get("after", "-"), "->", status, len(text), "bytes")
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def signature(request_id, body):
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:24]


async def read_message(reader):
    """Head line, headers by lower-case name, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Upstream:
    """Runs requests; `run` may be replaced by what a case needs."""

    def __init__(self, site, machine, number=1):
        self.site, self.machine = site, machine
        self.id = f"i-{machine.index}-{number}"
        self.service, self.zone, self.slots = machine.service, machine.zone, 40
        self.address = (machine.ip, site.ports["app"])
        self.running, self.writers, self.server = 0, set(), None
        self.work = lambda: random.uniform(0.02, 0.06)

    def entry(self, state="ready"):
        return {"address": "%s:%d" % self.address,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": state, "sequence": 1, "warmup-left": "0ms"}}

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address, backlog=512)

    def register(self, state="ready"):
        self.site.store.put(f"servers/{self.id}", self.entry(state))

    def end(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                if not await self.handle(method, path, headers, body, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, headers, body, writer):
        """False if the connection is to be closed."""
        request = headers.get("request-id", "")
        if headers.get("expected-instance") not in (None, self.id):
            await self.send(writer, 421, request, b"", f"Instance-Id: {self.id}\r\n")
            return True
        if self.running >= self.slots:
            await self.send(writer, 503, request, b"", "Not-Executed: 1\r\n")
            return True
        self.site.ran(self, request, method, path, headers, body)
        self.running += 1
        try:
            return await self.run(request, method, path, headers, body, writer)
        finally:
            self.running -= 1

    async def run(self, request, method, path, headers, body, writer):
        await asyncio.sleep(self.work())
        await self.answer(writer, request, f"{request}:{self.service}:{self.id}".encode())
        return True

    async def answer(self, writer, request, body):
        await self.send(writer, 200, request, body,
                        f"Response-Signature: {signature(request, body)}\r\n")

    async def send(self, writer, status, request, body, extra=""):
        writer.write(f"HTTP/1.1 {status} X\r\nRequest-Id: {request}\r\n{extra}"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()


class Machine:
    """One machine: its upstream, and the daemon beside it as a process."""

    def __init__(self, site, index, service, zone):
        self.site, self.index, self.service, self.zone = site, index, service, zone
        self.ip = f"127.{site.net}.{site.subnet}.{index}"
        self.name = f"sidecar-{zone}-{index}"
        self.process = None
        self.log = site.folder / f"{self.name}.log"
        self.settings = site.folder / f"{self.name}.json"
        self.more = dict(MORE_SETTINGS)
        self.upstream = Upstream(site, self)

    def write_settings(self):
        ports = self.site.ports
        self.settings.write_text(json.dumps({
            "vm": self.name, "service": self.service, "data_centre": self.zone,
            "caller": f"{self.ip}:{ports['caller']}", "peer": f"{self.ip}:{ports['peer']}",
            "ready": f"{self.ip}:{ports['ready']}", "admin": f"{self.ip}:{ports['admin']}",
            "target": f"{self.ip}:{ports['app']}",
            "platform": ["%s:%d" % self.site.store_address],
            "memory_mb": 260, "max_descriptors": 4100, "store_calls_per_second": 2000,
            "stop_timeout": "6s", "call_lineage": "request_id", "entrance": "cost",
            "repeat_budget": "shared", "repeat_ratio": 0.2, "repeat_reserve": 47,
            "repeat_window": "10s", **self.more}))

    async def start_daemon(self):
        self.write_settings()
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(BINARY), "serve", cwd=ROOT, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL, preexec_fn=prepare_child,
                env={"PATH": os.environ.get("PATH", ""),
                     "PISTACHIOWEIR_NODE_FILE": str(self.settings)})

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.site.ports["ready"])
            writer.write(b"GET /pistachioweir/readyz HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.transport.abort()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Connection:
    """A client's connection, kept for several requests."""

    def __init__(self, site, machine):
        self.site, self.machine = site, machine
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(
            self.machine.ip, self.site.ports["caller"]), 1)

    async def ask(self, method, host, path, request, deadline_ms, body=b"", more=""):
        """The answer; None if the connection ended without a whole one, or the
        client's time was over."""
        if self.writer is None:
            await self.open()
        length = f"Content-Length: {len(body)}\r\n" if body or method != "GET" else ""
        self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                          f"Request-Id: {request}\r\nDeadline-Ms: {deadline_ms}\r\n"
                          f"{more}{length}\r\n".encode() + body)
        try:
            line, headers, got = await asyncio.wait_for(
                read_message(self.reader), deadline_ms / 1000 + 0.5)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
            self.close()
            return None
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(line.split()[1]), headers, got)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.reader = self.writer = None


class Site:
    def __init__(self, folder, machines):
        self.case = folder
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net, self.subnet = 64 + os.getpid() % 128, random.randrange(1, 250)
        self.store_address = (f"127.{self.net}.{self.subnet}.250", 0)
        self.ports = self._free_ports(len(machines))
        self.store_address = (self.store_address[0], self.ports["store"])
        self.store = Store(self.record)
        self.machines = [Machine(self, i + 1, *each) for i, each in enumerate(machines)]
        self.runs = {}  # By request id: times and upstreams.
        self.store_server = None
        self.count = 0

    def _free_ports(self, machines):
        names = ("caller", "peer", "ready", "admin", "app", "store")
        ips = [f"127.{self.net}.{self.subnet}.{i + 1}" for i in range(machines)] + [
            self.store_address[0]]
        for _ in range(100):
            ports = random.sample(range(20000, 30000), len(names))
            held = []
            try:
                for ip in ips:
                    for port in ports:
                        one = socket.socket()
                        held.append(one)
                        one.bind((ip, port))
                return dict(zip(names, ports))
            except OSError:
                continue
            finally:
                for one in held:
                    one.close()
        raise CannotRun("no free ports")

    def ran(self, upstream, request, method, path, headers, body):
        self.runs.setdefault(request, []).append((self.record.now(), upstream.id))
        self.record.add("run", request, method, path, "at", upstream.id, upstream.service)

    def new_id(self):
        self.count += 1
        return f"{self.count:08x}{random.getrandbits(32):08x}"

    async def start(self, config):
        self.store_server = await asyncio.start_server(
            self.store.serve, *self.store_address, backlog=512)
        self.store.put("op/config", config)
        for machine in self.machines:
            await machine.upstream.start()
            machine.upstream.register()
        for machine in self.machines:
            await machine.start_daemon()
        end = time.monotonic() + 15
        while not all([await m.ready() for m in self.machines]):
            if time.monotonic() > end:
                raise CannotRun("the daemons don't get ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)
        self.record.add("ready", len(self.machines), "daemons")

    async def stop(self):
        for machine in self.machines:
            await machine.kill()


def config(version, routes, services, limits=None):
    columns = ["name", "host", "prefix", "kind", "timeout", "target-latency", "priority",
               "traffic-split", "max-attempts", "service"]
    return {"version": f"r{version}",
            "routes": {"columns": columns, "rows": routes},
            "services": {"columns": ["name", "health-check-path", "max-connections",
                                     "protocol", "tls"],
                         "rows": [[s, "/healthz", 358, "h1", False] for s in services]},
            "limits": limits or {"max-header-bytes": 16384, "max-body-bytes": 1048576,
                                 "header-timeout": "5s", "idle-timeout": "10s"}}


def route(name, host, prefix, kind, service, timeout="5s", aim="1500ms", priority=0):
    return [name, host, prefix, kind, timeout, aim, priority, None, 2, service]


def play(folder, machines, first_config, scenario):
    """Exits with 1 if `scenario` returns what breaks the rule, else 0, or 2."""
    async def whole():
        site = Site(pathlib.Path(folder).resolve().parent, machines)
        site.record.add("trouble", int(TROUBLE))
        try:
            await site.start(first_config)
            return await asyncio.wait_for(scenario(site), 90), site
        finally:
            await site.stop()

    try:
        broken, site = asyncio.run(whole())
    except Exception as error:  # Whatever it was, the rule wasn't judged.
        print("could not run:", repr(error))
        sys.exit(2)
    shutil.rmtree(site.folder, ignore_errors=True)
    for line in broken:
        site.record.add("BROKEN", line)
        print("broken:", line)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
