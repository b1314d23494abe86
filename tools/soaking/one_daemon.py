"""One daemon as a process between stand-ins of the store, a target and callers, for
tests by unittest. Nothing is judged by time."""
import asyncio
import functools
import os
import pathlib
import random
import tempfile
import unittest

from . import daemon, platform_store, target

BINARY = pathlib.Path(__file__).resolve().parents[2] / "build/default/pistachioweir"
PORTS = {"caller": 7101, "peer": 7102, "ready": 7103, "admin": 7104,
         "target": 7105, "store": 7106}


class PromptTarget:
    """Answers each request at once."""

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = dict(line.lower().split(": ", 1)
                               for line in head.split("\r\n")[1:] if line)
                await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(answer(headers["request-id"], b"well"))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass  # The end of the test.
        finally:
            writer.transport.abort()


def answer(request, body):
    """A complete answer of a target."""
    return (f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
            f"Response-Signature: {target.signature(request, body)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


class OneDaemonTest(unittest.IsolatedAsyncioTestCase):
    memory_mb = 260  # Of the daemon, by its settings.
    max_body_bytes = 1000000  # Of a request, by the configuration.

    def make_target(self):
        return PromptTarget()

    async def asyncSetUp(self):
        self.network = 64 + os.getpid() % 128
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.daemon = daemon.Daemon(str(BINARY), self.folder, 1, self.network, "registry",
                                    "a", PORTS, timed=False, proxied=False,
                                    more={"memory_mb": self.memory_mb})
        self.asked = 0
        self.store = platform_store.Store(random.Random(1))
        await self.store.put("op/config", {
            "version": "r1",
            "routes": {"columns": ["name", "host", "prefix", "kind", "timeout",
                                   "target-latency", "priority", "service",
                                   "max-attempts"],
                       "rows": [["look", "a.example", "/look/", "safe", "20s", "1s", 0,
                                 "registry", 1]]},
            "services": {"columns": ["name", "max-connections"], "rows": [["registry", 200]]},
            "limits": {"max-header-bytes": 8192, "max-body-bytes": self.max_body_bytes,
                       "header-timeout": "5s", "idle-timeout": "15s"}})
        address = (f"127.{self.network}.1.1", PORTS["target"])
        await self.store.put("servers/i-1", self.entry(*address))
        self.target = self.make_target()
        self.servers = [
            await asyncio.start_server(self.target.serve, *address),
            await asyncio.start_server(functools.partial(self.store.serve, index=1),
                                       *self.daemon.store)]
        await self.daemon.start()
        await self.wait_until_served()

    async def asyncTearDown(self):
        await self.daemon.kill()
        for server in self.servers:
            server.close()

    @staticmethod
    def entry(ip, port):
        """What a target writes of itself into the store."""
        return {"service": "registry", "address": f"{ip}:{port}",
                "info": {"service": "registry", "zone": "a", "version": "v1", "slots": 16},
                "status": {"state": "ready", "sequence": 1, "warmup-left": "0ms"}}

    async def wait_until_served(self):
        for _ in range(300):
            if await self.ask() == 200:
                return
            await asyncio.sleep(0.1)
        self.fail("the daemon doesn't serve")

    async def ask(self, path="/look/well/", deadline_ms=20000):
        """The status that a caller is told; nothing if its connection ends before."""
        try:
            reader, writer = await asyncio.open_connection(*self.daemon.caller)
        except OSError:
            return None
        self.asked += 1
        writer.write(f"GET {path}{self.asked} HTTP/1.1\r\nHost: a.example\r\n"
                     f"Request-Id: r-{self.asked}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n"
                     .encode())
        try:
            line = await asyncio.wait_for(reader.readline(), 60)
        except ConnectionError:
            return None
        finally:
            writer.transport.abort()
        return int(line.split()[1]) if line else None

    def peak_mb(self, one=None):
        """Of the memory of a daemon, this one if none is named, since it started."""
        pid = (one or self.daemon).process.pid
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024

    def check_alive(self):
        self.assertIsNone(self.daemon.process.returncode)
