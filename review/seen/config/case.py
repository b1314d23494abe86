"""Configurations of some hundred kilobytes come in quick succession."""
import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))
import standins  # noqa: E402
from standins import Clients, now  # noqa: E402

MACHINES = {1: "old", 2: "old", 3: "old", 4: "new", 5: "new", 6: "new"}
ROUTES = 10000  # Besides the one that is used.
GAP, FOR = 0.08, 2.0  # config_storm of the site: how route.
CONFIG_APPLY = 2.0
WATCHED = 30.0  # Seconds behind the last configuration.


def plan(_machine):
    return "non_idempotent", "POST", "used.example", "/used/x/", 5.0


def version(number, service):
    routes = [("r-used", "used.example", "/used/", "non_idempotent", "2000ms", "1500ms", 0,
               service)]
    routes += [(f"r-{i:07d}", f"host{i:05d}.example", f"/prefix{i:05d}/", "safe", "1000ms",
                "1500ms", 2, "old") for i in range(ROUTES)]
    return standins.config(number, routes, ["old", "new"])


def encode(configuration):
    return json.dumps(configuration).encode()


async def play(world, trouble):
    for machine, service in MACHINES.items():
        await world.add(machine, service, "za")
    world.store.put("op/config", version(1, "old"))
    print(len(world.store.items["op/config"][0]), "bytes of configuration")
    if not await world.start():
        return None
    for daemon in world.daemons.values():
        world.go(Clients(world, daemon, plan).run(2))
    await asyncio.sleep(6)
    # Made beforehand, so that they are written at their times.
    numbers = range(3, 3 + 2 * round(FOR / GAP), 2) if trouble else []
    changes = [encode(version(number, "old")) for number in numbers]
    last = encode(version(101, "new"))
    begun = now()
    for i, change in enumerate(changes):
        await asyncio.sleep(max(0.0, begun + i * GAP - now()))
        world.store.put("op/config", change)
    await asyncio.sleep(GAP)
    world.store.put("op/config", last)
    acknowledged = now()
    await asyncio.sleep(WATCHED)
    return judge(world, acknowledged)


def judge(world, acknowledged):
    """CONFIG: sent later than config-apply after the acknowledgement, run by the old
    service. No machine and no link was disturbed, and the store was well."""
    late = {}
    last = 0.0
    for request, runs in world.runs.items():
        sent = world.sent[request]
        if (sent.sent - acknowledged > CONFIG_APPLY
                and any(upstream.service == "old" for _, upstream in runs)):
            late.setdefault(sent.machine, []).append(request)
            last = max(last, sent.sent - acknowledged)
    answered = sum(sent.told == 200 for sent in world.sent.values())
    print(f"{len(world.sent)} requests sent, {answered} served")
    for daemon in world.daemons.values():
        print(daemon.machine, daemon.ends)
    return [f"CONFIG: {len(each)} requests of machine {machine} run by the old service"
            for machine, each in late.items()] + (
                [f"the last of them sent {last:.1f} s after the acknowledgement"]
                if late else [])


if __name__ == "__main__":
    standins.main(Path(__file__).resolve().parent, "config", play)
