"""Upstreams reject a part of their requests, and give some answers a second time,
late, where the next response on the connection is expected."""
import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins  # noqa: E402
from standins import Clients  # noqa: E402

MACHINES = {1: ("rozliczenia", "waw-a"), 2: ("rozliczenia", "waw-b"),
            3: ("rozliczenia", "lodz-c"), 4: ("umowy", "waw-a"), 5: ("umowy", "waw-b"),
            6: ("umowy", "lodz-c")}
# srv_grey of the site: shed all, x 0.55, for_s 8.5.
REJECT = 0.55
# garble of the site: extra late, share 0.6, x 0.03, for_s 5.0. Two of three upstreams of
# each service.
EXTRA, FAULTY, FOR = 0.03, (1, 2, 4, 5), 5.0
ROUNDS, PAUSE = 15, 1.5
NOT_RUN = (408, 421, 429, 503)  # The statuses that promise that.


def plan(_machine):
    if random.random() < 0.5:
        return "non_idempotent", "PUT", "invoice.example", "/invoice/x/", 1.2
    return "non_idempotent", "POST", "sign.example", "/sign/x/", 5.0


async def play(world, trouble):
    for machine, (service, zone) in MACHINES.items():
        await world.add(machine, service, zone, work=(0.05, 0.2))
    world.store.put("op/config", standins.config(
        1, [("r-invoice", "invoice.example", "/invoice/", "non_idempotent", "1200ms",
             "300ms", 0, "rozliczenia"),
            ("r-sign", "sign.example", "/sign/", "non_idempotent", "1200ms", "1500ms", 0,
             "umowy")], ["rozliczenia", "umowy"]))
    if not await world.start():
        return None
    for daemon in world.daemons.values():
        world.go(Clients(world, daemon, plan).run(3))
    await asyncio.sleep(5)
    for _ in range(ROUNDS):
        if trouble:
            set_trouble(world, REJECT, EXTRA)
        await asyncio.sleep(FOR)
        set_trouble(world, 0.0, 0.0)
        await asyncio.sleep(PAUSE)
    return judge(world)


def set_trouble(world, reject, extra):
    world.record.add("upstreams reject", reject, "and answer again", extra)
    for machine, upstream in world.upstreams.items():
        upstream.reject = reject
        upstream.extra = extra if machine in FAULTY else 0.0


def judge(world):
    broken = []
    for request, runs in world.runs.items():
        told = world.sent[request].told
        if len(runs) > 1:
            broken.append(f"TWICE: {request} ran at " +
                          " and ".join(upstream.id for _, upstream in runs) +
                          f", the client was told {told}")
        elif told in NOT_RUN:
            broken.append(f"REFUSED: {request} ran at {runs[0][1].id}, the client was "
                          f"told {told}")
    if world.wrong:
        broken.append(f"MIXED: {len(world.wrong)} successes without their signatures")
    for line in broken:
        world.record.add("verdict", line)
    answered = sum(sent.told == 200 for sent in world.sent.values())
    print(f"{len(world.sent)} requests sent, {answered} served")
    return broken


if __name__ == "__main__":
    standins.main(Path(__file__).resolve().parent, "1", play)
