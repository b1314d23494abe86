"""Stand-ins for the scripts under review/: the platform's store, upstreams beside
the daemons, clients on kept connections, and daemons as processes.

Each machine i has the address 127.N.1.i for its upstream and its daemon's port for
other daemons, and reaches the store at 127.N.3.i, which tells the store who calls.
"""
import asyncio
import base64
import ctypes
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BINARY = ROOT / "target" / "pistachioweir"
HEARTBEAT = 1.5  # Of upstreams, in seconds; `platform.heartbeat` of the pages.
HISTORY = 20.0  # `history` of the site: how long the store keeps its events.
RESTART_DELAY = 0.5  # Until an ended process is started again.
CONTACT = 3.0  # `contact` of the site.


def now():
    return time.monotonic()


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def add(self, *words):
        if self.file.closed:
            return
        self.file.write(f"{now() - self.start:9.4f} " +
                        " ".join(str(word) for word in words) + "\n")

    def close(self):
        self.file.close()


def signature(request, body):
    return hashlib.sha256(request.encode() + body).hexdigest()[:24]


async def read_message(reader):
    """Start line, headers and body; a body has a length, or is chunked."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Store:
    """The platform's store."""

    def __init__(self, record, address):
        self.record, self.address = record, address
        self.listeners = {}
        self.watched = {}  # By machine: when it last began a watch.
        self.revision, self.items, self.events = 1, {}, []
        self.compacted = 0  # Events up to this revision are gone.
        self.changed = asyncio.Event()
        self.way = {}
        self.open = {}  # Connections by machine.

    def put(self, key, value):
        self.revision += 1
        created = self.items[key][1] if key in self.items else self.revision
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.items[key] = (text, created, self.revision)
        self._tell(self._item(key))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._tell({"key": key, "revision": self.revision, "removed": True})

    def _forget(self):
        """Discards what is older than `history`."""
        while self.events and now() - self.events[0][0] > HISTORY:
            self.compacted = self.events.pop(0)[1]["revision"]

    def _tell(self, event):
        self.record.add("store", event["revision"], event["key"],
                        "removed" if event.get("removed") else "written")
        self.events.append((now(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    def _item(self, key):
        value, created, revision = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": 0}

    async def listen(self, machine):
        self.listeners[machine] = await asyncio.start_server(
            lambda r, w: self.serve(r, w, machine), *self.address(machine), backlog=512)

    async def cut(self, machine):
        """No way between the machine and the store: open connections are reset, new
        ones are refused."""
        self.record.add("store", "machine", machine, "is cut off")
        self.way[machine] = "cut"
        self.listeners[machine].close()
        for writer in list(self.open.get(machine, ())):
            writer.transport.abort()

    async def heal(self, machine):
        self.record.add("store", "machine", machine, "is back")
        self.way[machine] = "up"
        await self.listen(machine)

    def reaches(self, machine):
        return self.way.get(machine, "up") == "up"

    async def serve(self, reader, writer, machine):
        self.open.setdefault(machine, set()).add(writer)
        try:
            while True:
                start, _, _ = await read_message(reader)
                path = urllib.parse.urlsplit(start.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(path.query))
                status, body = await self._answer(path.path, query, machine)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n%s" % (status, len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open[machine].discard(writer)
            writer.close()

    async def _answer(self, path, query, machine):
        await asyncio.sleep(0.004)
        if path.endswith("kv-watch"):
            after = int(query["after"])
            self._forget()
            self.watched[machine] = now()
            if after < self.compacted:
                return 410, {}
            if self.revision <= after:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           int(query["wait-ms"]) / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, {"events": [e for _, e in self.events if e["revision"] > after],
                         "store-revision": self.revision}
        if path.endswith("kv-range"):
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("prefix", ""))
                          and k > query.get("after", ""))
            return 200, {"items": [self._item(k) for k in keys[:500]],
                         "has-more": len(keys) > 500, "store-revision": self.revision}
        key = query.get("key", "")
        if key not in self.items:
            return 404, {"store-revision": self.revision}
        return 200, {**self._item(key), "store-revision": self.revision}


class Upstream:
    """Runs requests, registers itself in the store while it reaches it, and is
    forgotten there after three heartbeats of silence."""

    def __init__(self, world, machine, service, zone, work=(0.05, 0.15), slots=43):
        self.world, self.machine, self.service, self.zone = world, machine, service, zone
        self.work, self.slots = work, slots
        self.address = (world.ip(machine), world.ports["app"])
        self.id, self.starts, self.state = "", 0, "ready"
        self.server, self.writers = None, set()
        self.last_beat, self.sequence, self.busy = 0.0, 0, 0
        self.reject = 0.0  # Part of the requests that it rejects unrun.
        self.extra = 0.0  # Part of its answers that it gives a second time, late.
        self.late = {}  # By connection: a second answer that is still to come.

    def entry(self):
        return {"address": "%s:%d" % self.address,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence,
                           "warmup-left": "0ms"}}

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.machine}-{self.starts}"
        self.server = await asyncio.start_server(self._serve, *self.address, backlog=512)

    async def register(self):
        """Writes the entry about every heartbeat, also where nothing else changes."""
        store = self.world.store
        while True:
            if store.reaches(self.machine):
                self.sequence += 1
                self.last_beat = now()
                store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(HEARTBEAT)

    async def expire(self):
        while True:
            if now() - self.last_beat > 3 * HEARTBEAT:
                self.world.store.remove(f"servers/{self.id}")
            await asyncio.sleep(0.05)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                if not await self._run(start, headers, body, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.late.pop(writer, None)
            self.writers.discard(writer)
            writer.close()

    async def _run(self, start, headers, body, reader, writer):
        record, request = self.world.record, headers.get("request-id", "")
        if writer in self.late:
            # Where the next response is expected.
            record.add("upstream", self.id, "answers again, to", self.late[writer][0])
            writer.write(self.late.pop(writer)[1])
            await writer.drain()
        if start.split(" ")[1] == "/healthz":
            self._send(writer, 200, request, b"", f"Instance-Id: {self.id}\r\n")
            return True
        if headers.get("expected-instance", self.id) != self.id:
            record.add("upstream", self.id, "rejects", request, "421")
            self._send(writer, 421, request, b"", f"Instance-Id: {self.id}\r\n")
            return True
        if self.busy >= self.slots or random.random() < self.reject:
            record.add("upstream", self.id, "rejects", request, "503")
            self._send(writer, 503, request, b"", "Not-Executed: 1\r\n")
            return True
        self.world.on_run(self, request, headers, start, body)
        record.add("upstream", self.id, "runs", request)
        self.busy += 1
        try:
            await asyncio.sleep(random.uniform(*self.work))
        finally:
            self.busy -= 1
        return await self.answer(request, writer)

    async def answer(self, request, writer):
        body = f"{request}:{self.id}:".encode() + b"x" * 400
        self.world.record.add("upstream", self.id, "answers", request)
        self._send(writer, 200, request, body,
                   f"Response-Signature: {signature(request, body)}\r\n"
                   "Keep-Alive: timeout=10\r\n")
        await writer.drain()
        return True

    def _send(self, writer, status, request, body, more):
        answer = (f"HTTP/1.1 {status} X\r\nRequest-Id: {request}\r\n{more}"
                  f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        writer.write(answer)
        if random.random() < self.extra:
            self.late[writer] = request, answer


def prepare():
    """In a daemon's process: it is killed when the script is."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Daemon:
    def __init__(self, world, machine, service, zone):
        self.world, self.machine = world, machine
        ip, ports = world.ip(machine), world.ports
        self.outbound = (ip, ports["outbound"])
        self.ready = (ip, ports["ready"])
        # As deploy/settings.json fills them in for a small deployment.
        self.settings = {
            "vm": f"sidecar-{zone}-{machine}", "service": service, "data_centre": zone,
            "caller": f"{ip}:{ports['outbound']}", "peer": f"{ip}:{ports['inbound']}",
            "ready": f"{ip}:{ports['ready']}", "admin": f"{ip}:{ports['admin']}",
            "target": f"{ip}:{ports['app']}",
            "platform": [f"127.{world.network}.3.{machine}:{ports['store']}"],
            "memory_mb": 260, "max_descriptors": 4100, "store_calls_per_second": 2000,
            "stop_timeout": "6s", "call_lineage": "request_id", "entrance": "cost",
            "repeat_budget": "shared", "repeat_ratio": 0.2, "repeat_reserve": 47,
            "repeat_window": "10s"}
        self.process, self.log = None, world.folder / f"daemon-{machine}.log"
        self.started, self.stopped_by_us = 0.0, False
        self.ends = []  # (when, exit status) of ends by itself.
        self.disturbed = -1e9  # When the script last disturbed this machine.

    def start(self):
        path = self.world.folder / f"settings-{self.machine}.json"
        path.write_text(json.dumps(self.settings))
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [str(BINARY), "serve", "--settings", str(path)], stdout=log,
                stderr=log, preexec_fn=prepare, cwd=ROOT)
        self.started, self.stopped_by_us = now(), False
        self.world.record.add("daemon", self.machine, "started")

    def signal(self, number):
        self.stopped_by_us = number in (signal.SIGKILL, signal.SIGTERM)
        self.disturbed = now()
        self.world.record.add("daemon", self.machine, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def keep(self):
        """The platform: a process that has ended is started again after a while."""
        while True:
            code = self.process.poll()
            if code is not None:
                if not self.stopped_by_us:
                    self.ends.append((now(), code))
                else:
                    self.disturbed = now()
                self.world.record.add(
                    "daemon", self.machine, "ended", code,
                    "as told" if self.stopped_by_us else "by itself")
                await asyncio.sleep(RESTART_DELAY)
                by_us = self.stopped_by_us
                self.start()
                if by_us:
                    self.disturbed = now()
            await asyncio.sleep(0.01)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /pistachioweir/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            start, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200" in start
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


class Sent:
    """One client attempt and what the client was told."""

    def __init__(self, request, machine, kind, kept):
        self.request, self.machine, self.kind, self.kept = request, machine, kind, kept
        self.sent, self.ended, self.told = now(), None, None  # told: a status or 'closed'.


class Clients:
    """Clients beside a daemon; each keeps its connection as long as it lasts."""

    def __init__(self, world, daemon, plan):
        self.world, self.daemon, self.plan = world, daemon, plan
        self.sound = True

    async def run(self, count):
        await asyncio.gather(*(self._client() for _ in range(count)))

    async def _client(self):
        while not self.world.over:
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.daemon.outbound), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            kept = False
            try:
                while not self.world.over:
                    sent = await self.ask(reader, writer, kept)
                    if not kept or sent.told == "closed":
                        kept = sent.told != "closed"
                    if not kept:
                        break
                    await asyncio.sleep(random.uniform(0, 0.05))
            finally:
                writer.transport.abort()

    async def ask(self, reader, writer, kept):
        kind, method, host, path, deadline = self.plan(self.daemon.machine)
        request = f"{random.getrandbits(64):016x}"
        sent = Sent(request, self.daemon.machine, kind, kept)
        self.world.sent[request] = sent
        body = b"b" * 600 if method != "GET" else b""
        self.world.record.add("client", self.daemon.machine, "sends", request, kind,
                              "kept" if kept else "new")
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        try:
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                          f"Request-Id: {request}\r\nDeadline-Ms: {int(deadline * 1000)}\r\n"
                          f"{length}\r\n").encode() + body)
            start, headers, answer = await asyncio.wait_for(
                read_message(reader), deadline + 1)
            sent.told = int(start.split(" ")[1])
            if sent.told == 200 and headers.get("response-signature") != signature(
                    request, answer):
                self.world.wrong.append(request)
        except asyncio.TimeoutError:
            sent.told = "late"
        except (asyncio.IncompleteReadError, ConnectionError):
            sent.told = "closed"
        sent.ended = now()
        self.world.record.add("client", self.daemon.machine, "told", request, sent.told)
        if sent.told == "late" or headers_close(sent, locals().get("headers")):
            raise ConnectionResetError
        return sent


def headers_close(sent, headers):
    return (sent.told != "closed" and headers is not None
            and headers.get("connection", "").lower() == "close")


class World:
    def __init__(self, case_folder, name):
        self.record = Record(Path(case_folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix=f"review-{name}-")
        self.folder = Path(self.temporary.name)
        self.network = self._free_network()
        self.ports = {"app": 8301, "inbound": 8300, "outbound": 8304, "ready": 8302,
                      "admin": 7620, "store": 8309}
        self.store = Store(self.record, lambda machine: (
            f"127.{self.network}.3.{machine}", self.ports["store"]))
        self.daemons, self.upstreams = {}, {}
        self.sent, self.runs, self.wrong = {}, {}, []
        self.over = False
        self.tasks = []

    @staticmethod
    def _free_network():
        """A second byte of loopback addresses on which nothing listens."""
        for _ in range(100):
            network = random.randrange(20, 250)
            try:
                for part in (1, 3):
                    with socket.socket() as probe:
                        probe.bind((f"127.{network}.{part}.1", 8309))
                return network
            except OSError:
                continue
        raise OSError("no free addresses")

    def ip(self, machine):
        return f"127.{self.network}.1.{machine}"

    def on_run(self, upstream, request, headers, start, body):
        self.runs.setdefault(request, []).append((now(), upstream))

    async def add(self, machine, service, zone, **more):
        await self.store.listen(machine)
        upstream = self.upstreams[machine] = Upstream(self, machine, service, zone, **more)
        await upstream.start()
        self.go(upstream.register())
        self.go(upstream.expire())
        self.daemons[machine] = Daemon(self, machine, service, zone)

    def go(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    async def start(self):
        for daemon in self.daemons.values():
            daemon.start()
            self.go(daemon.keep())
        for _ in range(100):
            if all([await d.is_ready() for d in self.daemons.values()]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        self.over = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for daemon in self.daemons.values():
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()

    def close(self):
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
            self.temporary._finalizer.detach()
        else:
            self.temporary.cleanup()


def config(version, routes, services, **limits):
    """routes: (name, host, prefix, kind, timeout, objective, priority, service)."""
    return {"version": f"r{version}",
            "routes": {"columns": ["name", "host", "prefix", "kind", "timeout",
                                   "target-latency", "priority", "traffic-split",
                                   "max-attempts", "service"],
                       "rows": [[n, h, p, k, t, o, r, None, 2, s]
                                for n, h, p, k, t, o, r, s in routes]},
            "services": {"columns": ["name", "health-check-path", "max-connections",
                                     "protocol", "tls"],
                         "rows": [[s, "/healthz", 358, "h1", False] for s in services]},
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                       "header-timeout": "3000ms", "idle-timeout": "15000ms", **limits}}


def main(case_folder, name, play):
    """Plays `play(world, trouble)`, which returns what broke the rule; exits with 0,
    1 or 2 as the issue says."""
    if not BINARY.exists():
        print("no", BINARY)
        raise SystemExit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        world = World(case_folder, name)
        try:
            return await asyncio.wait_for(play(world, trouble), 115)
        finally:
            await world.stop()
            world.close()

    try:
        broken = asyncio.run(whole())
    except Exception as error:  # pylint: disable=broad-except
        print("could not run:", repr(error))  # 1 stands for a broken rule alone.
        raise SystemExit(2)
    if broken is None:
        print("could not run")
        raise SystemExit(2)
    for line in broken:
        print("broken:", line)
    print("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
