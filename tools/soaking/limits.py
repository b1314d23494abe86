"""Requests that a target gets beyond the limit that it names in its answers."""
import bisect
import time

from .availability import CONTACT

WINDOW = 4.0  # Seconds; and the rest of the platform's bound.
TOLERANCE, MORE = 1.5, 5
TOLD = 0.5  # A daemon counts this long after it passed on an answer with a limit.


class Limits:
    def __init__(self, world):
        self.world = world
        self.named = {}  # By target id: (since when, limit or None), in order.
        self.arrivals = {}  # By target id: (when, request), in order.

    def name(self, target, limit):
        """The target names this limit from now on, or none."""
        target.limit = limit
        self.named.setdefault(target.id, []).append((time.monotonic(), limit))

    def arrived(self, target, request):
        self.arrivals.setdefault(target.id, []).append((time.monotonic(), request))

    def broken(self):
        """For each span in which a target named limits, the worst window, if it got more
        than the bound in it."""
        told = {each.request: each for each in self.world.ledger.told}
        since = self._passed_on(told)
        found = []
        for target_id, changes in self.named.items():
            counted = [(at, told[request].daemon)
                       for at, request in self.arrivals.get(target_id, [])
                       if request in told]
            for span in _spans(changes):
                worst = max(self._windows(target_id, span, counted, since), default=None)
                if worst is not None and worst[0] > 0:
                    _, got, allowed, end = worst
                    found.append(f"{target_id}: got {got} requests in {WINDOW} s from daemons "
                                 f"that it had told, allowed {allowed:.1f}, {end - span[0][0]:.2f} s "
                                 f"after it had named {span[0][1]:.2f} a second; then {span[1:]}")
        return found

    def _passed_on(self, told):
        """By target id and daemon: when it first passed on an answer with a limit."""
        since = {}
        for request, each in told.items():
            for target_id, _ in self.world.runs.get(request, []) if each.limited else []:
                key = target_id, each.daemon
                since[key] = min(each.ended_at, since.get(key, each.ended_at))
        return since

    def _windows(self, target_id, span, counted, since):
        begun, ended = span[0][0], span[-1][0]
        times = [at for at, _ in counted]
        for last, end in enumerate(times):
            if not begun + CONTACT <= end < ended:
                continue
            first = bisect.bisect_left(times, end - WINDOW)
            got = sum(self._counts(index, target_id, since, end)
                      for _, index in counted[first:last + 1])
            allowed = TOLERANCE * _allowance(span, end - WINDOW, end) + MORE
            yield got - allowed, got, allowed, end

    def _counts(self, index, target_id, since, end):
        """Not for a daemon that was restarted or paused, or whose links were harmed."""
        daemon = self.world.daemons[index - 1]
        begin = min(end - WINDOW - CONTACT, since.get((target_id, index), end))
        return (since.get((target_id, index), end) + TOLD <= end and
                daemon.history.ran(begin, end) and daemon.history.calm(begin, end) and
                daemon.paused.calm(begin, end))


def _spans(changes):
    """The times between which limits were named: [(since, limit), ..., (end, None)]."""
    spans, open_span = [], []
    for at, limit in changes:
        open_span.append((at, limit))
        if limit is None:
            spans.append(open_span)
            open_span = []
    if open_span:
        spans.append(open_span + [(float("inf"), None)])
    return [span for span in spans if len(span) > 1]


def _allowance(span, begin, end):
    """What the limits allow from `begin` to `end`; the first one counts before it, too."""
    total = max(0.0, span[0][0] - begin) * span[0][1]
    for (since, limit), (until, _) in zip(span, span[1:]):
        total += max(0.0, min(until, end) - max(since, begin)) * limit
    return total
