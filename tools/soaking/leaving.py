"""Requests that reach a target long after it has left, from what targets ran."""
import time

from .availability import CONTACT

DRAIN = 2.0  # Seconds, as the platform's bound of that name.


class Leaving:
    def __init__(self, world):
        self.world = world
        self.since = {}  # By target id: when the store acknowledged it, while it was well.

    def note(self, target_id):
        """The store has just acknowledged that this target leaves."""
        now = time.monotonic()
        well = self.world.store_well_at
        if well is not None and well <= now - CONTACT:
            self.since[target_id] = now

    def late_by_answers(self):
        """Runs at targets whose leaving the same daemon had passed on in an answer, of
        requests sent later than DRAIN behind that. Only a restart or a pause of that
        daemon excuses it."""
        world = self.world
        passed_on = {}  # By target id and daemon.
        for told in world.ledger.told:
            for target_id, _ in world.runs.get(told.request, []) if told.leaving else []:
                key = target_id, told.daemon
                passed_on[key] = min(told.ended_at, passed_on.get(key, told.ended_at))
        found = []
        for told in world.ledger.told:
            for target_id, at in world.runs.get(told.request, []):
                since = passed_on.get((target_id, told.daemon), told.sent_at)
                sender = world.daemons[told.daemon - 1]
                if (told.sent_at - since > DRAIN and sender.history.ran(since, at) and
                        sender.paused.calm(since, at)):
                    found.append(f"{told.request}: reached {target_id}, sent "
                                 f"{(told.sent_at - since) * 1000:.0f} ms after daemon "
                                 f"{told.daemon} had passed on that it is leaving")
        return found

    def late(self):
        """Runs later than DRAIN behind that, sent and handed over by daemons in touch."""
        world = self.world
        found = []
        for told in world.ledger.told:
            for target_id, at in world.runs.get(told.request, []):
                after = at - self.since.get(target_id, at)
                if after <= DRAIN:
                    continue
                sender = world.daemons[told.daemon - 1]
                beside = world.daemons[int(target_id.split("-")[1]) - 1]
                if _in_touch(sender, at) and _in_touch(beside, at):
                    found.append(f"{told.request}: reached {target_id} {after * 1000:.0f} ms "
                                 f"after it had left, from daemon {sender.index} by way of "
                                 f"daemon {beside.index}")
        return found


def _in_touch(daemon, at):
    since = at - CONTACT
    return (daemon.history.ran(since, at) and daemon.history.calm(since, at) and
            daemon.paused.calm(since, at) and daemon.store_way.calm(since, at))
