"""A stand-in of the platform's store: one configuration, the registered targets,
reads and watches over HTTP, and the ways in which it fails."""
import asyncio
import base64
import json
import random
import time
import urllib.parse

HISTORY = 400  # Changes that are kept.
PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20  # At most, of one read; one item fits always.
WATCHES = 4.0  # Seconds; a daemon that watches has begun a watch so lately.


class Store:
    def __init__(self, dice: random.Random):
        self.dice = dice
        self.revision = 1
        self.items = {}  # By key: (value, created, revision).
        self.events = []
        self.changed = asyncio.Event()  # Set, and replaced, at each change.
        # up, silent (no answers), busy (503), reset, slow, lossy (some answers
        # are lost, and nothing more comes on their connections).
        self.mode = "up"
        self.turned_away = set()  # Indices of daemons that get 503.
        self.writers = {}  # By index of a daemon: its open connections.
        self.watched_at = {}  # By index of a daemon: when it last watched.

    async def put(self, key, value):
        await self.put_raw(key, json.dumps(value))

    async def put_raw(self, key, text):
        self.revision += 1
        created = self.items[key][1] if key in self.items else self.revision
        self.items[key] = (text, created, self.revision)
        self._tell(self._item(key))

    async def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._tell({"key": key, "revision": self.revision, "removed": True})

    def forget_history(self):
        self.events.clear()

    def _tell(self, event):
        self.events = (self.events + [event])[-HISTORY:]
        self.changed.set()
        self.changed = asyncio.Event()

    def _item(self, key):
        value, created, revision = self.items[key]
        return {"key": key, "revision": revision, "created": created, "lease": 0,
                "value": base64.b64encode(value.encode()).decode()}

    def _read(self, query):
        key = query.get("key", "")
        if key not in self.items:
            return 404, {"store-revision": self.revision}
        return 200, {**self._item(key), "store-revision": self.revision}

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
        after = int(query["after"])
        oldest = self.events[0]["revision"] if self.events else self.revision + 1
        if after + 1 < oldest and after < self.revision:
            return 410, {}
        if self.revision <= after:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       int(query["wait-ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        events = [e for e in self.events if e["revision"] > after]
        return 200, {"events": events, "store-revision": self.revision}

    def readers(self):
        """Indices of the daemons that watch."""
        now = time.monotonic()
        return sorted(i for i, at in self.watched_at.items() if now - at < WATCHES)

    def reset(self, index):
        """The connections of one daemon end."""
        for writer in list(self.writers.get(index, ())):
            writer.transport.abort()

    async def serve(self, reader, writer, index):
        self.writers.setdefault(index, set()).add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = urllib.parse.urlsplit(head.split(b" ", 2)[1].decode())
                query = dict(urllib.parse.parse_qsl(path.query))
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "slow":
                    await asyncio.sleep(0.3)
                status, body = 503, {}
                if self.mode != "busy" and index not in self.turned_away:
                    if path.path.endswith("kv-watch"):
                        self.watched_at[index] = time.monotonic()
                    status, body = await self._answer(path.path, query)
                    if index in self.turned_away:
                        status, body = 503, {}
                if self.mode == "silent" or (
                        self.mode == "lossy" and self.dice.random() < 0.3):
                    await asyncio.sleep(3600)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" %
                             (status, len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass  # The end of the soak.
        finally:
            self.writers[index].discard(writer)
            writer.close()

    async def _answer(self, path, query):
        if path.endswith("kv-watch"):
            return await self._watch(query)
        return self._range(query) if path.endswith("kv-range") else self._read(query)
