"""Clients and targets that would take more memory than a daemon has, through daemons
as processes: python3 -m unittest soaking.memory_test, in tools. A daemon has to live,
stay below its memory and its descriptors, and answer an ordinary request beside them.
Nothing is judged by time, and no share of the crowd has to be served."""
import asyncio
import functools
import os
import unittest

from . import daemon, one_daemon

BODY = 8 << 20  # Largest body of a request.
CROWD = 24
SMALL = 60 << 10  # Of a body that is small to the daemon.
PIECE = 64 << 10


class SlowTarget:
    """Answers by the path: `large` with a large body, `endless` with one that has no
    end, `never` not at all, any other at once."""

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split(" ", 2)[1].split("/")[2]
                headers = dict(line.lower().split(": ", 1)
                               for line in head.split("\r\n")[1:] if line)
                left = int(headers.get("content-length", 0))
                while left > 0:
                    left -= len(await reader.read(min(left, PIECE)))
                if path == "never":
                    await asyncio.sleep(3600)
                if path == "endless":
                    writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
                    while True:
                        writer.write(b"x" * PIECE)
                        await writer.drain()
                body = b"x" * BODY if path == "large" else b"well"
                writer.write(one_daemon.answer(headers["request-id"], body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass  # The end of the test.
        finally:
            writer.transport.abort()


class CrowdTest(one_daemon.OneDaemonTest):
    """Callers ask a daemon that has no target beside it; what they send goes over a
    link to the daemon beside the target."""
    memory_mb = 96
    max_body_bytes = BODY
    max_descriptors = 1024

    def make_target(self):
        return SlowTarget()

    async def asyncSetUp(self):
        self.open = []
        self.tasks = []
        await super().asyncSetUp()
        self.beside = self.daemon
        self.daemon = daemon.Daemon(
            str(one_daemon.BINARY), self.folder, 2, self.network, "front", "a",
            one_daemon.PORTS, timed=False, proxied=False,
            more={"memory_mb": self.memory_mb, "max_descriptors": self.max_descriptors})
        self.servers.append(await asyncio.start_server(
            functools.partial(self.store.serve, index=2), *self.daemon.store))
        await self.daemon.start()
        await self.wait_until_served()

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.open:
            writer.transport.abort()
        await super().asyncTearDown()
        await self.beside.kill()

    async def begin(self, path, framing, *pieces, reads=True):
        """Sends a head and what may be sent of its body; stays open."""
        reader, writer = await asyncio.open_connection(*self.daemon.caller,
                                                       limit=PIECE if reads else 1)
        self.open.append(writer)
        self.asked += 1
        writer.write(f"POST /look/{path}/{self.asked} HTTP/1.1\r\nHost: a.example\r\n"
                     f"Request-Id: r-{self.asked}\r\nDeadline-Ms: 20000\r\n{framing}\r\n\r\n"
                     .encode())
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
        except ConnectionError:
            pass  # Refused, which is allowed.
        return reader

    def crowd(self, *arguments, **options):
        """So many at once, as long as the test lasts."""
        self.tasks += [asyncio.create_task(self.begin(*arguments, **options))
                       for _ in range(CROWD)]

    async def settle(self):
        """Until what the crowd sends has been taken or refused, at most some seconds."""
        await asyncio.wait(self.tasks, timeout=10)
        await asyncio.sleep(1)

    async def check_well(self):
        """Both daemons live within their limits, and an ordinary request is answered."""
        for _ in range(30):
            if await self.ask() == 200:
                break
        else:
            self.fail("no ordinary request was answered in 30 tries")
        for one in (self.daemon, self.beside):
            with self.subTest(daemon=one.index):
                self.assertIsNone(one.process.returncode)
                self.assertLess(self.peak_mb(one), self.memory_mb)
                self.assertLess(len(os.listdir(f"/proc/{one.process.pid}/fd")),
                                self.max_descriptors)


class Crowds(CrowdTest):
    # Guards against bodies that stop short of their announced end.
    async def test_unfinished_bodies_by_length(self):
        pieces = [b"x" * PIECE] * (BODY // PIECE - 1) + [b"x" * (PIECE - 1)]
        self.crowd("well", f"Content-Length: {BODY}", *pieces)
        await self.settle()
        await self.check_well()

    # Guards against bodies in chunks whose last one is missing.
    async def test_unfinished_bodies_in_chunks(self):
        chunk = b"%x\r\n" % PIECE + b"x" * PIECE + b"\r\n"
        self.crowd("well", "Transfer-Encoding: chunked", *[chunk] * (BODY // PIECE))
        await self.settle()
        await self.check_well()

    # Guards against a crowd that takes the room of ordinary small bodies.
    async def test_unfinished_small_bodies(self):
        for _ in range(self.max_descriptors * 3 // 8):
            await self.begin("well", f"Content-Length: {SMALL}", b"x" * (SMALL - 1))
        for _ in range(30):
            reader = await self.begin("well", "Content-Length: 1024", b"x" * 1024)
            if b" 200 " in await reader.readline():
                break
            await asyncio.sleep(0.5)
        else:
            self.fail("no request with a small body was answered in 30 tries")
        await self.check_well()

    # Guards against whole bodies that wait for a target.
    async def test_bodies_at_a_target_that_does_not_answer(self):
        self.crowd("never", f"Content-Length: {BODY}", *[b"x" * PIECE] * (BODY // PIECE))
        await self.settle()
        await self.check_well()

    # Guards against announced lengths above the limit.
    async def test_bodies_announced_above_the_limit(self):
        self.crowd("well", f"Content-Length: {25 * BODY}", *[b"x" * PIECE] * 160)
        await self.settle()
        await self.check_well()

    # Guards against bodies in chunks that go on above the limit.
    async def test_bodies_sent_above_the_limit(self):
        chunk = b"%x\r\n" % PIECE + b"x" * PIECE + b"\r\n"
        self.crowd("well", "Transfer-Encoding: chunked", *[chunk] * (2 * BODY // PIECE))
        await self.settle()
        await self.check_well()

    # Guards against answers that their callers don't read.
    async def test_answers_that_nobody_reads(self):
        self.crowd("large", "Content-Length: 0", reads=False)
        await self.settle()
        await asyncio.sleep(3)
        await self.check_well()

    # Guards against several answers of a target that have no end.
    async def test_answers_without_an_end(self):
        self.crowd("endless", "Content-Length: 0")
        await self.settle()
        await asyncio.sleep(3)
        await self.check_well()

    # Guards against connections that keep others out.
    async def test_connections_on_which_nothing_is_sent(self):
        for _ in range(self.max_descriptors * 3 // 4):
            try:
                _, writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.daemon.caller), 5)
            except (OSError, asyncio.TimeoutError):
                break
            self.open.append(writer)
        await self.check_well()


class LargestBody(CrowdTest):
    """A single request of the largest size, in calm."""
    memory_mb = 260
    max_body_bytes = 64 << 20

    async def check_served(self, framing, pieces):
        reader = await self.begin("well", framing, *pieces)
        self.assertIn(b" 200 ", await reader.readline())
        await self.check_well()

    # Guards against a link that ends since a large body waits on it.
    async def test_by_length(self):
        size = self.max_body_bytes
        await self.check_served(f"Content-Length: {size}", [b"x" * PIECE] * (size // PIECE))

    # As above, with a body whose length isn't known before.
    async def test_in_chunks(self):
        chunk = b"%x\r\n" % PIECE + b"x" * PIECE + b"\r\n"
        await self.check_served("Transfer-Encoding: chunked",
                                [chunk] * (self.max_body_bytes // PIECE) + [b"0\r\n\r\n"])


if __name__ == "__main__":
    unittest.main()
