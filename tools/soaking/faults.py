"""What goes wrong: a plan drawn from the seed, faults in series and overlapping."""
import asyncio
import collections
import random
import re
import signal
import time

from . import callers

# Names of the methods below; which of them comes next is drawn from the seed.
FAULT_KINDS = (
    "kill", "stop", "stops", "pause", "hup", "delay", "reset", "silence",
    "one_way", "refuse", "store_silent", "store_busy", "store_reset",
    "store_slow", "store_lossy", "store_history", "config", "configs", "crash",
    "drain", "lose_answers", "reuse", "poison")
# Only where they are named, so that seeds keep their meaning.
EXTRA_KINDS = ("kill_all", "poisons", "readers_pause", "readers_kill", "readers_stop",
               "readers_cut", "readers_silence", "readers_busy", "keys", "hot",
               "store_for_some", "store_for_none", "leave", "leave_at_return",
               "lapse", "limit", "limits", "say_leaving", "cut_kill", "reject_twice",
               "odd_entries")
# Where targets make calls.
NESTED_KINDS = ("reject_all", "kill_parent")
# Lines that name whom a daemon reports to.
REPORTS = re.compile(r"event=(?:quota|repeat)_reports .*\bto=\S+\.(\d+)\b")
# Of entries of another writer: characters that have a meaning in calls and lines.
ODD_NAMES = ("&after=", "&prefix=q", "#", "+", "%41", " ", "\n", "\r\nX: y")
ODD_ENTRIES = 600  # More than a page of the store.
REJECTED = 0.55  # Part of the requests, by all targets of a service.


class Faults:
    def __init__(self, world, seed, kinds, gap):
        self.world = world
        self.kinds, self.gap = kinds, gap
        self.dice = random.Random(seed)
        self.tasks = set()
        self.log = []

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            kind = self.dice.choice(self.kinds)
            self.log.append((round(seconds - (end - loop.time()), 2), kind))
            task = asyncio.create_task(getattr(self, kind)(random.Random(self.dice.random())))
            self.tasks.add(task)
            await asyncio.sleep(self.dice.uniform(*self.gap))
        await asyncio.gather(*self.tasks)

    async def kill(self, dice, daemon=None):
        daemon = daemon or dice.choice(self.world.daemons)
        if daemon.stopping:
            return
        daemon.stopping = True
        await daemon.kill()
        await asyncio.sleep(dice.uniform(0.05, 1.0))
        await daemon.start()

    async def cut_kill(self, dice):
        """A daemon that doesn't watch the store is cut off from it, the entry of its target
        runs out, and it is killed while others still use that target."""
        watching = set(self.world.store.readers())
        chosen = [one for one in self.world.daemons
                  if one.index not in watching and not one.stopping and
                  self.world.targets[one.index - 1] not in self.world.busy_targets]
        if not chosen:
            return
        one = dice.choice(chosen)
        beside = self.world.targets[one.index - 1]
        self.world.busy_targets.add(beside)
        beside.history.end(time.monotonic())
        beside.registered_at = float("inf")  # Not to be counted on meanwhile.
        entry = beside.entry()
        await self.world.cut_from_store(one)
        await self._disturb_for(one, dice.uniform(3.0, 4.5))
        await self.world.store.remove("servers/" + beside.id)
        await self._disturb_for(one, dice.uniform(0.2, 1.0))
        await self.kill(dice, one)
        await self._disturb_for(one, dice.uniform(0.2, 1.0))
        await self.world.connect_to_store(one)
        await asyncio.sleep(dice.uniform(0.0, 1.5))
        await self.world.store.put("servers/" + beside.id, entry)
        beside.registered_at = time.monotonic()
        self.world.busy_targets.discard(beside)

    async def _disturb_for(self, one, seconds):
        """The daemon has no way to the store meanwhile."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            one.note_fault()
            one.store_way.disturb(time.monotonic())
            await asyncio.sleep(min(left, 0.2))

    async def odd_entries(self, dice):
        """Another writer leaves entries among those of the targets, for a while or for
        good."""
        name = dice.choice(ODD_NAMES)
        keys = [f"servers/0{name}{i:04}" for i in range(ODD_ENTRIES)]
        for key in keys:
            await self.world.store.put(key, {"note": "no target"})
        if dice.random() < 0.5:
            return
        await asyncio.sleep(dice.uniform(0.5, 4.0))
        for key in keys:
            await self.world.store.remove(key)

    async def kill_all(self, dice):
        """All daemons that run are killed at one moment, and are back within a second."""
        running = [one for one in self.world.daemons if not one.stopping]
        for daemon in running:
            daemon.stopping = True
        await asyncio.gather(*(daemon.kill() for daemon in running))

        async def back(daemon, after):
            await asyncio.sleep(after)
            await daemon.start()
        await asyncio.gather(*(back(daemon, dice.uniform(0.05, 1.0)) for daemon in running))

    async def stop(self, dice, daemon=None):
        daemon = daemon or dice.choice(self.world.daemons)
        if daemon.stopping:
            return
        await daemon.stop()
        await asyncio.sleep(dice.uniform(0.0, 0.5))
        await daemon.start()

    async def stops(self, dice):
        chosen = dice.sample(self.world.daemons, k=max(2, len(self.world.daemons) // 3))
        for daemon in chosen:
            self.tasks.add(asyncio.create_task(self.stop(dice, daemon)))
            await asyncio.sleep(dice.uniform(0.1, 1.0))

    async def pause(self, dice):
        daemon = dice.choice(self.world.daemons)
        if not daemon.stopping and daemon.awake.is_set():
            await daemon.pause(dice.uniform(0.2, 4.0))

    def _readers(self, dice):
        """Daemons that read the store for others: those of one data centre, or all."""
        reading = [self.world.daemons[i - 1] for i in self.world.store.readers()]
        zone = dice.choice([*self.world.zones, None])
        return [one for one in reading if zone in (None, one.zone)]

    def _gates(self, daemons):
        histories = [one.history for one in daemons]
        return [gate for gate in self.world.proxies if gate.behind in histories]

    async def readers_pause(self, dice):
        seconds = dice.uniform(1.0, 4.0)
        await asyncio.gather(*(one.pause(seconds) for one in self._readers(dice)
                               if not one.stopping and one.awake.is_set()))

    async def readers_kill(self, dice):
        async def kill(daemon):
            daemon.stopping = True
            await daemon.kill()
            await asyncio.sleep(0.5)
            await daemon.start()
        await asyncio.gather(*(kill(one) for one in self._readers(dice) if not one.stopping))

    async def readers_stop(self, dice):
        for daemon in self._readers(dice):
            self.tasks.add(asyncio.create_task(self.stop(dice, daemon)))
            await asyncio.sleep(dice.uniform(0.1, 1.0))

    async def readers_cut(self, dice):
        gates, side = self._gates(self._readers(dice)), dice.choice(["mute_in", "mute_out"])
        end = time.monotonic() + dice.uniform(1.0, 4.0)
        for gate in gates:
            setattr(gate, side, True)
        while (left := end - time.monotonic()) > 0:
            for gate in gates:
                self.world.disturb_links(gate)
            await asyncio.sleep(min(left, 0.2))
        for gate in gates:
            setattr(gate, side, False)
            self.world.disturb_links(gate)

    async def readers_silence(self, dice):
        for gate in self._gates(self._readers(dice)):
            gate.silence_all()
            self.world.disturb_links(gate)

    async def readers_busy(self, dice):
        """The store turns away just those that read it for others."""
        indices = {one.index for one in self._readers(dice)}
        self.world.store.turned_away |= indices
        self.world.disturb_links()
        await asyncio.sleep(dice.uniform(0.5, 5.0))
        self.world.store.turned_away -= indices

    async def keys(self, dice):
        """Keys are taken from organisations, and others given to them."""
        for _ in range(dice.randrange(1, 4)):
            await self.world.change_keys()
            await asyncio.sleep(dice.uniform(0.01, 1.0))

    async def hot(self, dice):
        """All callers act for one organisation."""
        self.world.organisations.hot = True
        await asyncio.sleep(dice.uniform(2.0, 7.0))
        self.world.organisations.hot = False

    async def store_for_some(self, dice):
        """The store turns a third of the daemons away, and keys go meanwhile."""
        chosen = dice.sample(self.world.daemons, k=max(1, len(self.world.daemons) // 3))
        indices = {one.index for one in chosen}
        self.world.store.turned_away |= indices
        self.world.disturb_links()
        await self._change_keys_and_wait(dice)
        self.world.store.turned_away -= indices

    async def store_for_none(self, dice):
        """The store turns all daemons away, and keys go meanwhile."""
        self.world.store.mode = "busy"
        self.world.disturb_links()
        await self._change_keys_and_wait(dice)
        self.world.store.mode = "up"
        self.world.disturb_links()

    async def _change_keys_and_wait(self, dice):
        await asyncio.sleep(dice.uniform(0.1, 2.0))
        await self.world.change_keys()
        await asyncio.sleep(dice.uniform(4.0, 8.0))

    async def hup(self, dice):
        for daemon in dice.sample(self.world.daemons, k=2):
            if not daemon.stopping:
                daemon.signal(signal.SIGHUP)

    async def _with_proxy(self, dice, name, value, calm):
        proxy = dice.choice(self.world.proxies)
        setattr(proxy, name, value)
        end = time.monotonic() + dice.uniform(0.3, 3.0)
        while (left := end - time.monotonic()) > 0:
            self.world.disturb_links(proxy)
            await asyncio.sleep(min(left, 0.2))
        setattr(proxy, name, calm)
        self.world.disturb_links(proxy)

    async def delay(self, dice):
        await self._with_proxy(dice, "delay", dice.uniform(0.02, 0.4), 0.0)

    async def refuse(self, dice):
        await self._with_proxy(dice, "refuse", True, False)

    async def one_way(self, dice):
        await self._with_proxy(dice, dice.choice(["mute_in", "mute_out"]), True, False)

    async def reset(self, dice):
        proxy = dice.choice(self.world.proxies)
        proxy.reset_all()
        self.world.disturb_links(proxy)

    async def silence(self, dice):
        proxy = dice.choice(self.world.proxies)
        proxy.silence_all()
        self.world.disturb_links(proxy)

    async def _with_store(self, dice, mode):
        self.world.store.mode = mode
        self.world.disturb_links()
        await asyncio.sleep(dice.uniform(0.5, 5.0))
        self.world.store.mode = "up"
        self.world.disturb_links()

    async def store_silent(self, dice):
        await self._with_store(dice, "silent")

    async def store_busy(self, dice):
        await self._with_store(dice, "busy")

    async def store_reset(self, dice):
        await self._with_store(dice, "reset")

    async def store_slow(self, dice):
        await self._with_store(dice, "slow")

    async def store_lossy(self, dice):
        await self._with_store(dice, "lossy")

    async def store_history(self, dice):
        self.world.store.forget_history()

    async def config(self, dice):
        await self.world.change_config()

    async def configs(self, dice):
        for _ in range(dice.randrange(2, 8)):
            await self.world.change_config()
            await asyncio.sleep(dice.uniform(0.01, 0.5))

    async def crash(self, dice):
        target = dice.choice(self.world.targets)
        if target in self.world.busy_targets:
            return
        self.world.busy_targets.add(target)
        old = target.id
        target.crash()
        await asyncio.sleep(dice.uniform(0.1, 2.0))
        await target.start()
        await self.world.register(target)
        await asyncio.sleep(2)
        await self.world.store.remove("servers/" + old)
        self.world.busy_targets.discard(target)

    async def drain(self, dice):
        target = dice.choice(self.world.targets)
        if target in self.world.busy_targets:
            return
        self.world.busy_targets.add(target)
        await self.world.register(target, "draining")
        await asyncio.sleep(4)
        await self.world.store.remove("servers/" + target.id)
        target.crash()
        await target.start()
        await self.world.register(target)
        self.world.busy_targets.discard(target)

    async def leave(self, dice, target=None):
        """A target leaves without a word: its entry vanishes while it serves on."""
        target = target or dice.choice(self.world.targets)
        if target in self.world.busy_targets:
            return
        self.world.busy_targets.add(target)
        target.history.end(time.monotonic())
        target.left_at = time.monotonic()
        target.leaves = True
        await self.world.store.remove("servers/" + target.id)
        self.world.leaving.note(target.id)
        await asyncio.sleep(dice.uniform(3.0, 6.0))
        target.crash()
        await target.start()
        await self.world.register(target)
        self.world.busy_targets.discard(target)

    async def limit(self, dice, target=None):
        """A target names a limit, which changes and ends."""
        target = target or dice.choice(self.world.targets)
        limits, start = self.world.limits, target.id
        if target.limit is not None:
            return
        limit = dice.choice([dice.uniform(1.0, 12.0), dice.uniform(0.2, 1.0)])
        for factor in dice.sample([1.0, 0.5, 1.0, 2.0], k=3):
            if target.id != start:
                return
            limit *= factor
            limits.name(target, limit)
            await asyncio.sleep(dice.uniform(2.0, 6.0))
        if target.id == start:
            limits.name(target, None)

    async def limits(self, dice):
        """Two targets of a service name limits, and daemons beside them are restarted."""
        service = dice.choice(self.world.services)
        of_service = [each for each in self.world.targets if each.home == service]
        chosen = dice.sample(of_service, k=min(2, len(of_service)))
        naming = [asyncio.create_task(self.limit(dice, each)) for each in chosen]
        await asyncio.sleep(dice.uniform(2.0, 8.0))
        await self.stop(dice, self.world.daemons[self.world.targets.index(chosen[0])])
        await asyncio.gather(*naming)

    async def say_leaving(self, dice):
        """A target says in its answers that it is leaving, and stays listed as ready; the
        daemon beside it may be restarted."""
        target = dice.choice(self.world.targets)
        if target in self.world.busy_targets:
            return
        self.world.busy_targets.add(target)
        target.history.end(time.monotonic())
        target.left_at = time.monotonic()
        target.leaves = target.says_leaving = True
        await asyncio.sleep(dice.uniform(0.5, 3.0))
        if dice.random() < 0.5:
            await self.kill(dice, self.world.daemons[self.world.targets.index(target)])
        await asyncio.sleep(dice.uniform(2.0, 5.0))
        old = target.id
        target.crash()
        await target.start()
        await self.world.register(target)
        await self.world.store.remove("servers/" + old)
        self.world.busy_targets.discard(target)

    async def lapse(self, dice):
        """The store is away for all for longer than entries last: those of live targets
        run out, and are back within two seconds of its return."""
        world = self.world
        lapsed = [each for each in world.targets
                  if each not in world.busy_targets and each.is_up()]
        world.busy_targets.update(lapsed)
        world.store.mode = dice.choice(["silent", "busy", "reset"])
        world.disturb_links()
        await asyncio.sleep(dice.uniform(3.2, 5.5))
        for each in lapsed:
            await world.store.remove("servers/" + each.id)
        world.store.mode = "up"
        world.disturb_links()

        async def back(each, after):
            await asyncio.sleep(after)
            await world.store.put("servers/" + each.id, each.entry())
        await asyncio.gather(*(back(each, dice.uniform(0.0, 1.8)) for each in lapsed))
        world.busy_targets.difference_update(lapsed)

    async def leave_at_return(self, dice):
        """The store turns a third of the daemons away, and about when it takes them
        back two targets leave, the first of them beside one of those."""
        chosen = dice.sample(self.world.daemons, k=max(1, len(self.world.daemons) // 3))
        indices = {one.index for one in chosen}
        beside = self.world.targets[chosen[0].index - 1]
        leaving = [asyncio.create_task(self._leave_in(dice, dice.uniform(2.8, 4.8), target))
                   for target in (beside, dice.choice(self.world.targets))]
        end = time.monotonic() + dice.uniform(3.0, 3.6)
        self.world.store.turned_away |= indices
        while (left := end - time.monotonic()) > 0:
            for one in chosen:
                one.note_fault()
                one.store_way.disturb(time.monotonic())
            await asyncio.sleep(min(left, 0.2))
        self.world.store.turned_away -= indices
        for one in chosen:
            one.store_way.disturb(time.monotonic())
        await asyncio.gather(*leaving)

    async def _leave_in(self, dice, seconds, target):
        await asyncio.sleep(seconds)
        await self.leave(dice, target)

    async def reuse(self, dice):
        """A target is gone, and its address belongs to another service."""
        target = dice.choice(self.world.targets)
        if target in self.world.busy_targets:
            return
        self.world.busy_targets.add(target)
        old, service = target.id, target.service
        target.crash()
        target.service = dice.choice([s for s in self.world.services if s != service])
        await target.start()
        await self.world.register(target)
        await asyncio.sleep(dice.uniform(1, 4))
        await self.world.store.remove("servers/" + old)
        old = target.id
        target.crash()
        target.service = service
        await target.start()
        await self.world.store.remove("servers/" + old)
        await self.world.register(target)
        self.world.busy_targets.discard(target)

    async def poison(self, dice):
        """One request that crashes targets comes again and again, anywhere."""
        kind, host = dice.choice(["look", "sign"]), dice.choice(self.world.hosts)
        path = f"/{kind}/poison-{dice.randrange(10**6)}"
        await self._ask_again(dice, kind, host, path, 25)

    async def poisons(self, dice):
        """Two such requests beside each other, for longer than they are refused."""
        kind, host = dice.choice(["look", "sign"]), dice.choice(self.world.hosts)
        await asyncio.gather(*(
            self._ask_again(random.Random(dice.random()), kind, host,
                            f"/{kind}/poison-{dice.randrange(10**6)}", 250)
            for _ in range(2)))

    async def _ask_again(self, dice, kind, host, path, times):
        for _ in range(times):
            daemon = dice.choice(self.world.daemons)
            caller = callers.Callers(daemon, self.world.ledger, dice, [host],
                                     self.world.service_of,
                                     organisations=self.world.organisations)
            try:
                reader, writer = await asyncio.open_connection(*daemon.caller)
            except OSError:
                continue
            await caller.ask(reader, writer, kind, host, leaves=False, path=path)
            writer.transport.abort()
            await asyncio.sleep(dice.uniform(0.1, 0.5))

    async def lose_answers(self, dice):
        target = dice.choice(self.world.targets)
        target.lose_answers = 0.3
        await asyncio.sleep(dice.uniform(0.5, 3.0))
        target.lose_answers = 0.0

    async def reject_twice(self, dice):
        """As reject_all, and half of the rejections come again later, ahead of the
        next answer on their connection."""
        service = dice.choice(self.world.services)
        rejecting = [each for each in self.world.targets if each.home == service]
        for each in rejecting:
            each.repeat = 0.5
        await self.reject_all(dice, service)
        for each in rejecting:
            each.repeat = 0.0

    async def reject_all(self, dice, service=None):
        """All targets of a service reject many requests without running them."""
        service = service or dice.choice(self.world.services)
        rejecting = [each for each in self.world.targets if each.home == service]
        for each in rejecting:
            each.history.end(time.monotonic())
            each.reject = REJECTED
        await asyncio.sleep(dice.uniform(2.0, 8.5))
        for each in rejecting:
            each.reject = 0.0

    async def kill_parent(self, dice):
        """The daemon that most others report to is killed; any, if none is."""
        parents = collections.Counter(
            found[-1] for one in self.world.daemons
            if (found := REPORTS.findall(one.log.read_text(errors="replace"))))
        index = int(max(parents, key=parents.get, default=0))
        await self.kill(dice, self.world.daemons[index - 1] if index else None)
