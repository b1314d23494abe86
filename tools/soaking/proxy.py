"""A proxy on loopback between two daemons. Delays, resets, cuts one way or
silences what passes."""
import asyncio


class Proxy:
    def __init__(self, listen, connect, behind):
        self.listen, self.connect = listen, connect
        self.behind = behind  # The history of the daemon behind it.
        self.delay = 0.0
        # Bytes towards the daemon behind the proxy, and back, are swallowed.
        self.mute_in = self.mute_out = False
        self.refuse = False
        self.pairs = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.listen, backlog=512)

    def reset_all(self):
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()

    def silence_all(self):
        """What is open goes silent for good; new connections work."""
        for pair in self.pairs:
            pair.silent = True

    async def _serve(self, reader, writer):
        if self.refuse:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.connect)
        except (OSError, asyncio.CancelledError):  # Not to be had; the soak ends.
            writer.transport.abort()
            return
        pair = Pair((writer, up_writer))
        self.pairs.add(pair)
        await asyncio.gather(
            self._pump(pair, reader, up_writer, lambda: self.mute_in),
            self._pump(pair, up_reader, writer, lambda: self.mute_out))
        self.pairs.discard(pair)

    async def _pump(self, pair, reader, writer, muted):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if not pair.silent and not muted():
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # An end that the other side hears of, or that of the soak.
        finally:
            for each in pair:
                each.transport.abort()


class Pair(tuple):
    silent = False
