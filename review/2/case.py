"""A machine is cut off from the store, and its daemon is killed and started again
while other daemons keep its upstream in use."""
import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins  # noqa: E402
from standins import CONTACT, Clients, now  # noqa: E402

MACHINES = {1: "atlas", 2: "atlas", 3: "atlas",
            4: "umowy", 5: "umowy", 6: "umowy"}
CUT = (1, 2, 3)  # One of these is cut off from the store, one that doesn't watch it.
CUT_FOR = 5.5  # core_cut of the site: count 1, for_s 5.5, how refuse.
KILL_AFTER = 4.8  # From the start of the cut; node_kill, one process.


def plan(_machine):
    if random.random() < 0.4:
        return "safe", "GET", "look.example", "/look/x/", 6.0
    return "non_idempotent", "POST", "sign.example", "/sign/x/", 6.0


async def play(world, trouble):
    for machine, service in MACHINES.items():
        await world.add(machine, service, "waw-a")
    world.store.put("op/config", standins.config(
        1, [("r-look", "look.example", "/look/", "safe", "4000ms", "1500ms", 2, "atlas"),
            ("r-sign", "sign.example", "/sign/", "non_idempotent", "4000ms", "1500ms", 0,
             "umowy")], ["atlas", "umowy"]))
    if not await world.start():
        return None
    for daemon in world.daemons.values():
        world.go(Clients(world, daemon, plan).run(6))
    await asyncio.sleep(6)
    machine = max(CUT, key=lambda each: now() - world.store.watched.get(each, 0))
    cut = world.daemons[machine]
    if trouble:
        await world.store.cut(machine)
        cut.disturbed = now()
        await asyncio.sleep(KILL_AFTER)
        cut.signal(signal.SIGKILL)
        await asyncio.sleep(CUT_FOR - KILL_AFTER)
        await world.store.heal(machine)
        cut.disturbed = now()
    else:
        await asyncio.sleep(CUT_FOR)
    await asyncio.sleep(6)
    return judge(world)


def judge(world):
    """LOST: more than three requests from kept connections at machines in touch were
    passed on to sound upstreams, and their connections closed without an answer. All
    upstreams are sound here; a process that ends by itself counts as running."""
    lost = {}
    for sent in world.sent.values():
        daemon = world.daemons[sent.machine]
        in_touch = sent.ended is not None and abs(sent.ended - daemon.disturbed) > CONTACT
        if (sent.told == "closed" and sent.kept and in_touch
                and sent.request in world.runs):
            lost.setdefault(sent.machine, []).append(sent.request)
    broken = []
    for machine, daemon in world.daemons.items():
        for at, code in daemon.ends:
            line = f"daemon {machine} ended by itself with {code}"
            world.record.add("verdict", line)
            print(line)
    if sum(map(len, lost.values())) > 3:
        broken.append("LOST: " + ", ".join(
            f"{len(each)} at machine {machine}" for machine, each in lost.items()))
    if world.wrong:
        broken.append(f"MIXED: {len(world.wrong)} successes without their signatures")
    answered = sum(sent.told == 200 for sent in world.sent.values())
    print(f"{len(world.sent)} requests sent, {answered} served")
    return broken


if __name__ == "__main__":
    standins.main(Path(__file__).resolve().parent, "2", play)
