"""Whether each configuration is in force in time at every daemon in touch, also
while the daemons that read the store for all are frozen, cut off or turned away."""
import asyncio
import re
import time

from .availability import CONTACT

BOUND = 2.0  # Seconds from the store's answer, as the platform's bound of that name.
VERSION = re.compile(rb"^pistachioweir_forward_config_version (\d+)", re.M)


class InForce:
    def __init__(self, world):
        self.world = world
        self.tasks = set()
        self.found = []
        self.judged = 0  # Daemons and configurations.

    def begin(self, version):
        """The store has just taken this version."""
        task = asyncio.create_task(self._judge(version, time.monotonic()))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _judge(self, version, acked):
        await asyncio.sleep(BOUND)
        if self.world.store_well_at is None or self.world.store_well_at > acked - CONTACT:
            return
        await asyncio.gather(*(self._judge_at(one, version, acked)
                               for one in self.world.daemons))

    async def _judge_at(self, one, version, acked):
        got = await _version(one)
        now = time.monotonic()
        since = acked - CONTACT
        if got is None or not one.history.ran(since, now) or not (
                one.history.calm(since, now) and one.paused.calm(since, now)):
            return
        self.judged += 1
        if got < version:
            self.found.append(f"configuration {version}: not in force at daemon {one.index} "
                              f"{now - acked:.2f} s after it was acknowledged, but {got}")


async def _version(one):
    """The configuration that the daemon says is in force; None if it says nothing."""
    try:
        reader, writer = await asyncio.open_connection(*one.admin)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        page = await asyncio.wait_for(reader.read(), 1)
        writer.close()
    except (OSError, asyncio.TimeoutError):
        return None
    found = VERSION.search(page)
    return int(found.group(1)) if found else 0
