"""Answers of targets of which a part never ends, through a daemon as a process:
python3 -m unittest soaking.endless_test, in tools. Nothing is judged by time."""
import asyncio
import collections
import unittest

from . import one_daemon, target

MOST_SENT = 96 << 20  # Bytes after which the target gives an answer up.
PIECE = 64 << 10
# Bytes that a daemon may have read, and the kernel taken for it, until it closes.
SMALL, BODY = 24 << 20, 64 << 20
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
# Parts without an end: what comes before them, what is repeated, bytes until the
# connection is closed, and how many such answers at once.
PARTS = {
    "header": (b"HTTP/1.1 200 OK\r\nX: ", b"y", SMALL, 8),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n", SMALL, 8),
    "chunk-size": (CHUNKED + b"\r\n", b"0", SMALL, 8),
    "chunk-extension": (CHUNKED + b"\r\n5;", b"x", SMALL, 8),
    "trailer": (CHUNKED + b"\r\n0\r\nX: ", b"y", SMALL, 8),
    "trailers": (CHUNKED + b"\r\n0\r\n", b"X: y\r\n", SMALL, 8),
    "announced": (b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", b"y", SMALL, 8),
    "chunks": (CHUNKED + b"\r\n", b"10\r\n0123456789abcdef\r\n", BODY, 1),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"y", BODY, 1),
}


class EndlessTarget:
    """Answers a request to /look/PART/N without an end, any other one at once."""

    def __init__(self):
        self.sent = collections.defaultdict(list)  # By part: bytes of each answer.

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
                part = lines[0].split("/")[2]
                if part in PARTS:
                    await self._send_without_end(part, writer)
                    return
                if part == "slow":
                    await self._send_slowly(writer)
                    return
                request = headers["request-id"]
                body = b"well"
                writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
                             f"Response-Signature: {target.signature(request, body)}\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass  # The end of the test.
        finally:
            writer.transport.abort()

    async def _send_without_end(self, part, writer):
        begin, repeated, _, _ = PARTS[part]
        piece = repeated * (PIECE // len(repeated))
        sent = 0
        try:
            writer.write(begin)
            while sent < MOST_SENT:
                writer.write(piece)
                sent += len(piece)
                await writer.drain()
        finally:
            self.sent[part].append(sent)

    @staticmethod
    async def _send_slowly(writer):
        writer.write(CHUNKED + b"\r\n5;")
        while True:
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(0.01)


class EndlessAnswers(one_daemon.OneDaemonTest):
    def make_target(self):
        return EndlessTarget()

    async def ask(self, part="well", deadline_ms=20000):
        """The status that a caller is told."""
        return await super().ask(f"/look/{part}/", deadline_ms)

    # Guards against a daemon that keeps, or goes on reading, what has no end.
    async def test_parts_without_an_end_are_refused(self):
        for part, (_, _, most_sent, count) in PARTS.items():
            with self.subTest(part=part):
                told = await asyncio.gather(*(self.ask(part) for _ in range(count)),
                                            *(self.ask("well") for _ in range(16)))
                # It may have run: 502, and not only at its deadline (504).
                self.assertEqual([502] * count, told[:count])
                self.assertEqual([200] * 16, told[count:])
                self.assertLess(self.peak_mb(), 0.9 * self.memory_mb)
                while len(self.target.sent[part]) < count:
                    await asyncio.sleep(0.01)
                self.assertLess(max(self.target.sent[part]), most_sent)

    # Guards against an answer that ends its request neither whole nor in time.
    async def test_bytes_that_come_slowly_end_at_the_deadline(self):
        told = await asyncio.gather(*(self.ask("slow", 1000) for _ in range(8)),
                                    *(self.ask("well") for _ in range(16)))
        self.assertEqual([504] * 8 + [200] * 16, told)


if __name__ == "__main__":
    unittest.main()
