"""Entries of another writer among those of the targets, which stand there when a
daemon starts: python3 -m unittest soaking.odd_entries_test, in tools."""
import json
import unittest

from . import one_daemon

ENTRIES = 1200  # More than two pages of the store.
MAX_MB = 64  # Of the daemon; it takes some 16 when all is well.
NAMES = ("&after=", "&prefix=q", "&", "#", "+", "%", "%41", " ", "\n", "\r\nX: y", "\0",
         "\x7f", "\u00e9", "?", "=", "/", '"', "\\")


class OddEntries(one_daemon.OneDaemonTest):
    async def check_served_beside(self, entries):
        """A daemon that starts while these entries stand serves its callers."""
        await self.daemon.kill()
        for key, value in entries.items():
            await self.store.put(key, value)
        await self.daemon.start()
        try:
            await self.wait_until_served()
            self.check_alive()
            self.assertEqual([200] * 16, [await self.ask() for _ in range(16)])
            self.assertLess(self.peak_mb(), MAX_MB)
        finally:
            for key in entries:
                await self.store.remove(key)

    # Guards against a start that never ends since a name in the store is taken for
    # a part of a call.
    async def test_names_that_have_a_meaning_in_a_call(self):
        for name in NAMES:
            with self.subTest(name=name):
                await self.check_served_beside(
                    {f"servers/0{name}{i:04}": {"note": "no target"} for i in range(ENTRIES)})

    # Guards against requests that are sent to what another writer calls a target.
    async def test_names_of_no_target_with_values_of_one(self):
        nobody = self.entry(f"127.{self.network}.9.9", 9)
        for name in NAMES:
            with self.subTest(name=name):
                await self.check_served_beside(
                    {f"servers/0{name}{i}": nobody for i in range(20)})

    # Guards against a daemon that ends, or stops reading, at one value.
    async def test_values_of_any_shape(self):
        well = self.entry(f"127.{self.network}.1.1", one_daemon.PORTS["target"])
        nested = json.loads("[" * 900 + "]" * 900)
        odd = {
            "nested": nested, "nested-info": well | {"info": nested}, "text": "x",
            "number": 10 ** 40, "nothing": None, "list": [],
            "slots": well | {"info": well["info"] | {"slots": 10 ** 40}},
            "slots-below": well | {"info": well["info"] | {"slots": -1}},
            "slots-part": well | {"info": well["info"] | {"slots": 0.5}},
            "born": well | {"born": 1e300}, "born-text": well | {"born": "soon"},
            "port": well | {"address": "10.0.0.1:70000"},
            "port-below": well | {"address": "10.0.0.1:-1"},
            "ip": well | {"address": "999.0.0.1:80"},
            "warmup": well | {"status": well["status"] | {"warmup-left": "9" * 40 + "s"}},
            "state": well | {"status": well["status"] | {"state": ["ready"]}},
            "zone": well | {"info": well["info"] | {"zone": {"a": 1}}},
            "large": {"note": "x" * 900_000}}
        await self.check_served_beside(
            {f"servers/0-{name}": value for name, value in odd.items()})
        await self.check_served_beside(
            {f"servers/0-{i}": odd["large"] for i in range(60)})

    # As above, with bytes that are no JSON.
    async def test_values_that_cannot_be_read(self):
        raw = {"deep": "[" * 100_000, "deep-objects": '{"a":' * 3000, "open": '{"info":',
               "twice": '{"info":1,"info":2}', "float": '{"info":1e999999}',
               "zero": "\0", "control": '{"info":"\u0001"}'}
        for name, value in raw.items():
            await self.store.put_raw(f"servers/0-{name}", value)
        await self.check_served_beside({"servers/0": {}})


if __name__ == "__main__":
    unittest.main()
