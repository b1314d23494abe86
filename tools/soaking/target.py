"""A stand-in of one target: runs requests for a while, records each run, and
dies, drains and loses answers when told to."""
import asyncio
import hashlib
import random
import time

from .availability import History


def signature(request_id: str, body: bytes) -> str:
    return hashlib.sha256(request_id.encode() + body).hexdigest()


class Target:
    def __init__(self, ip, port, service, zone, dice: random.Random, runs, on_poison,
                 shown, limits, nested=None):
        self.ip, self.port, self.service, self.zone = ip, port, service, zone
        self.dice = dice
        self.runs = runs  # By request id: list of (target id, when it began).
        self.shown = shown  # By request id: the organisation and the key it came with.
        self.limits = limits
        self.nested = nested  # What its runs call, or none.
        self.on_poison = on_poison  # Called with this target and the path.
        self.home = service  # Whose it is where its address isn't lent.
        self.history = History()  # Of its starts, as soon as all can know of one.
        self.slots = 8
        self.starts = 0
        self.id = ""
        self.left_at = None  # When it said that it leaves.
        self.leaves = False  # It ends its connections behind its answers.
        self.says_leaving = False  # And says so in them.
        self.limit = None  # Requests a second that it names in its answers.
        self.registered_at = 0.0
        self.lose_answers = 0.0
        self.reject = 0.0  # Part of the requests that it rejects unrun.
        self.repeat = 0.0  # Part of its rejections that it sends once more, late.
        self.running = 0
        self.server = None
        self.writers = set()

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.ip}:{self.port}",
                "info": {"service": self.service, "zone": self.zone,
                         "version": "v1", "slots": self.slots},
                "status": {"state": state, "sequence": 1, "warmup-left": "0ms"}}

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.ip.rsplit('.', 1)[1]}-{self.starts}"
        self.left_at = None
        self.leaves = self.says_leaving = False
        self.limit = None
        self.registered_at = float("inf")
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512)

    def says(self):
        """Header lines in which it says something about itself."""
        lines = "" if self.limit is None else f"Server-Limit: {self.limit:.3f}\r\n"
        return lines + ("Server-Leaving: 1\r\n" if self.says_leaving else "")

    def is_up(self):
        return self.server is not None and self.server.is_serving()

    def crash(self):
        self.history.end(time.monotonic())
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.running = 0

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        start = self.id
        late = []  # Rejections that come again ahead of the next answer.
        try:
            while start == self.id:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = dict(
                    line.split(": ", 1)
                    for line in head.decode().split("\r\n")[1:] if line)
                headers = {k.lower(): v for k, v in headers.items()}
                path = head.split(b" ", 2)[1].decode()
                await reader.readexactly(int(headers.get("content-length", 0)))
                await self._run(headers, path, writer, start, late)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass  # The end of the soak.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(self, headers, path, writer, start, late):
        request = headers["request-id"]
        if headers.get("expected-instance") not in (None, self.id):
            self._send(writer, 421, request, b"", "Not-Executed: 1\r\n")
            return
        if self.nested is not None:
            self.nested.arrived(self, request)
        copies = b"".join(late)
        late.clear()
        writer.write(copies)
        if self.running >= self.slots + 4 or (
                self.reject and self.dice.random() < self.reject):
            self.limits.arrived(self, request)
            self._send(writer, 503, request, b"", "Not-Executed: 1\r\n" + self.says())
            if self.repeat and self.dice.random() < self.repeat:
                late.append(self._bytes(503, request, b"", "Not-Executed: 1\r\n"))
            return
        self.limits.arrived(self, request)
        self.runs.setdefault(request, []).append((self.id, time.monotonic()))
        self.shown[request] = (headers.get("tenant"), headers.get("authorization"))
        if "poison" in path:
            asyncio.get_running_loop().create_task(self.on_poison(self, path))
            return
        self.running += 1
        began, well = time.monotonic(), True
        try:
            slow = path.endswith("/same")
            await asyncio.sleep(self.dice.uniform(*((1.0, 2.5) if slow else (0.01, 0.12))))
            if self.nested is not None and self.nested.makes_calls(path):
                left = int(headers["deadline-ms"]) / 1000 - (time.monotonic() - began)
                well = left > 0 and await self.nested.call_all(self, request, left)
        finally:
            self.running = max(0, self.running - 1)
        if start != self.id:
            return
        if not well:
            self._send(writer, 500, request, b"", self.says())
            return
        if self.dice.random() < self.lose_answers:
            writer.transport.abort()
            return
        body = (request + ":" + self.id + ":").encode() + b"x" * self.dice.randrange(3000)
        closing = "Connection: close\r\n" if self.leaves else ""
        self._send(writer, 200, request, body,
                   f"Response-Signature: {signature(request, body)}\r\n{closing}{self.says()}")
        await writer.drain()
        if closing:
            writer.close()

    def _send(self, writer, status, request, body, extra):
        writer.write(self._bytes(status, request, body, extra))

    @staticmethod
    def _bytes(status, request, body, extra):
        return (f"HTTP/1.1 {status} X\r\nRequest-Id: {request}\r\n{extra}"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
