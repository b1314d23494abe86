"""Entries of another writer among those of the targets, which stand there when a
daemon starts: python3 -m unittest soaking.odd_entries_test, in tools."""
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


if __name__ == "__main__":
    unittest.main()
