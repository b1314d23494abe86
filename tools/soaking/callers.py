"""Callers beside a daemon. They keep using open connections until those end,
and remember what they were told of each request."""
import asyncio
import collections
import itertools
import random
import time
from dataclasses import dataclass, field

from . import target

TIMEOUT = 3.0  # Of all routes, in seconds.
ROOT_PART = 0.3  # Of the requests, where there are any: runs that make calls.


@dataclass
class Told:
    request: str
    kind: str
    daemon: int
    sent_at: float
    ended_at: float = 0.0
    service: str = ""
    # A status, "closed" (no answer, or half of one), "unread" (it was sent behind
    # a response that closed its connection) or "left" (by the caller).
    end: object = None
    turn_at: float = 0.0  # When the responses before it had come.
    reusable: bool = False  # The connection can carry another request.
    retry_after: bool = False
    poison: bool = False  # It crashes targets.
    key: str = None  # That it was sent with.
    during_stop: bool = False  # At its beginning or its end.
    limited: bool = False  # The answer names a limit of its target.
    leaving: bool = False  # The answer says that its target is leaving.
    calm: bool = False  # Nothing had disturbed the daemon when it ended.


@dataclass
class Ledger:
    """All that callers were told, and what was wrong with answers themselves."""
    told: list = field(default_factory=list)
    wrong: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)


class Callers:
    def __init__(self, daemon, ledger: Ledger, dice: random.Random, hosts, services,
                 alike=0.0, organisations=None, roots=()):
        self.daemon, self.ledger, self.dice = daemon, ledger, dice
        self.hosts = hosts  # To choose from.
        self.services = services  # By host.
        self.alike = alike  # The part of requests that are the same as others.
        self.organisations = organisations
        self.roots = roots  # Kinds whose runs make calls, at the first host.
        self.ended = False

    async def run(self, workers, pipelined=0, depth=1):
        """`pipelined` further workers have up to `depth` requests on a connection."""
        await asyncio.gather(*(self._work() for _ in range(workers)),
                             *(self._work_pipelined(depth) for _ in range(pipelined)))

    async def _connect(self):
        try:
            return await asyncio.wait_for(
                asyncio.open_connection(*self.daemon.caller), 1)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
            return None

    async def _work(self):
        while not self.ended:
            connection = await self._connect()
            if connection is None:
                continue
            reader, writer = connection
            try:
                while not self.ended:
                    told = await self.ask(reader, writer)
                    # As the stopping daemon asks: it is worked out for others.
                    await asyncio.sleep(0.1 if told.end in (429, 503)
                                        else self.dice.uniform(0.0, 0.15))
                    if not told.reusable:
                        break
            finally:
                writer.transport.abort()

    async def _work_pipelined(self, depth):
        while not self.ended:
            connection = await self._connect()
            if connection is None:
                continue
            reader, writer = connection
            waiting = collections.deque()
            try:
                await self._pipeline(reader, writer, waiting, depth)
            finally:
                self._end_pipeline(waiting)
                writer.transport.abort()

    async def _pipeline(self, reader, writer, waiting, depth):
        """Keeps up to `depth` requests behind one another until the connection ends.
        One that may run once is the last of them until it is answered."""
        while waiting or not self.ended:
            while (not self.ended and len(waiting) < depth
                   and not (waiting and waiting[-1].kind == "sign")):
                kind = "sign" if waiting and self.dice.random() < 0.1 else "look"
                waiting.append(self._send(writer, kind, self.dice.choice(self.hosts),
                                          verb="POST" if kind == "sign" else "GET"))
            told = waiting.popleft()
            told.turn_at = time.monotonic()
            if not await self._receive(told, reader, 5.0):
                for behind in waiting:
                    behind.end = "unread" if isinstance(told.end, int) else told.end
                return
            if told.end in (429, 503) or self.dice.random() < 0.3:
                await asyncio.sleep(0.1)

    def _end_pipeline(self, waiting):
        for told in waiting:
            told.end = told.end or "left"
            told.ended_at = time.monotonic()
            told.during_stop |= self.daemon.planned_stop

    async def ask(self, reader, writer, kind=None, host=None, leaves=True, path=None,
                  key=None, request=None, seconds=4.0):
        """One request, and what this caller was told of it."""
        if kind is None and self.roots and self.dice.random() < ROOT_PART:
            kind, host = self.dice.choice(self.roots), self.hosts[0]
        kind = kind or ("sign" if self.dice.random() < 0.4 else "look")
        host = host or self.dice.choice(self.hosts)
        told = self._send(writer, kind, host, path, key, request, seconds)
        patience = 0.05 if leaves and self.dice.random() < 0.03 else seconds + 1.0
        await self._receive(told, reader, patience)
        return told

    def _send(self, writer, kind, host, path=None, key=None, request=None, seconds=4.0,
              verb="POST"):
        number = next(self.ledger.numbers)
        request = request or f"r{self.daemon.index}-{number}"
        told = Told(request, kind, self.daemon.index, time.monotonic(),
                    service=self.services[host],
                    during_stop=self.daemon.planned_stop)
        self.ledger.told.append(told)
        told.poison = path is not None
        if key is None and self.organisations is not None:
            key = self.organisations.choose_key()
        told.key = key
        shown = "" if key is None else (
            f"Authorization: Token {key}\r\nTenant: somebody\r\n")
        body = b"b" * (self.dice.randrange(2000) if path is None else 10)
        body = body if verb == "POST" else b""
        if self.alike and path is None and self.dice.random() < self.alike:
            path, body = f"/{kind}/same", b""
        writer.write(
            f"{verb} {path or f'/{kind}/{number}'} HTTP/1.1\r\nHost: {host}\r\n"
            f"Request-Id: {request}\r\nDeadline-Ms: {int(seconds * 1000)}\r\n{shown}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return told

    async def _receive(self, told, reader, patience):
        """Whether the connection can carry another request."""
        try:
            told.reusable = await asyncio.wait_for(
                self._answer(told, reader), patience)
        except asyncio.TimeoutError:
            told.end = "left"
        except (asyncio.IncompleteReadError, ConnectionError):
            told.end = "closed"
        finally:
            told.ended_at = time.monotonic()
            told.during_stop |= self.daemon.planned_stop
            told.calm = self.daemon.undisturbed_for() > 4
        return told.reusable

    async def _answer(self, told, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {k.lower(): v for k, v in
                   (line.split(": ", 1) for line in lines[1:] if line)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        told.end = status
        told.limited = "server-limit" in headers
        told.leaving = "server-leaving" in headers
        told.retry_after = "retry-after" in headers
        if status == 200:
            self._check_success(told, headers, body)
        return headers.get("connection", "").lower() != "close"

    def _check_success(self, told, headers, body):
        expected = target.signature(told.request, body)
        if headers.get("response-signature") != expected:
            self.ledger.wrong.append(f"{told.request}: a success without its signature")
        if not body.startswith(told.request.encode() + b":"):
            self.ledger.wrong.append(f"{told.request}: the answer of another request")
