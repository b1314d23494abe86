"""Calls that targets make for requests that they run, through the daemons beside
them. Checks that repeats, with the calls that repeated runs make, stay within the
operator's limit, and that calls have the rank of the request at their root."""
import asyncio
import bisect
import collections
import random
import time

from . import callers, checks
from .availability import FIELD

ROOTS = {"tree": 0, "wide": 2}  # Kinds whose runs make calls, and their ranks.
LEAF, LEAF_RANK = "leaf", 1  # The calls' own; between those of the roots.
RANKS = {"look": 2, "sign": 0, LEAF: LEAF_RANK} | ROOTS
WINDOW = 10.0  # Seconds; `repeat_window` of the daemons, by default.
# How the daemon found the only possible parent of a call.
FOUND = {"request_id", "deadline"}


class Nested:
    def __init__(self, world):
        self.world = world
        self.ledger = callers.Ledger()  # Of the calls that targets make.
        self.arrivals = {}  # By service: (when, request), in order.

    def rows(self):
        """Routes of the roots, at one service, and of their calls, at all. A daemon takes
        calls for those of targets only if one service makes nearly all of them."""
        timeout = f"{int(callers.TIMEOUT * 1000)}ms"
        hosts, services = self.world.hosts, self.world.services
        rows = [[kind, hosts[0], f"/{kind}/", "safe", timeout, "1s", rank, services[0], 2]
                for kind, rank in ROOTS.items()]
        return rows + [[f"{LEAF}-{service}", host, f"/{LEAF}/", "safe", timeout, "1s",
                        LEAF_RANK, service, 2] for host, service in zip(hosts, services)]

    def arrived(self, target, request):
        self.arrivals.setdefault(target.service, []).append((time.monotonic(), request))

    def makes_calls(self, path):
        return path.split("/")[1] in ROOTS

    async def call_all(self, target, request, seconds):
        """One call to each service, with `seconds` left. Returns whether all went well."""
        daemon = self.world.daemons[self.world.targets.index(target)]
        caller = callers.Callers(daemon, self.ledger, random.Random(target.dice.random()),
                                 self.world.hosts, self.world.service_of)
        ends = await asyncio.gather(*(
            self._call(target, caller, host, f"{request}.{i}", seconds)
            for i, host in enumerate(self.world.hosts, 1)))
        return all(end == 200 for end in ends)

    async def _call(self, target, caller, host, request, seconds):
        try:
            reader, writer = await asyncio.open_connection(*caller.daemon.caller)
        except OSError:
            return "closed"
        target.writers.add(writer)  # It ends with the target.
        try:
            told = await caller.ask(reader, writer, LEAF, host, leaves=False,
                                    request=request, seconds=seconds)
            return told.end
        finally:
            target.writers.discard(writer)
            writer.transport.abort()

    def breaks(self):
        return (self.ledger.wrong + checks.truthful(self.asked_once(), self.world.runs) +
                self.over_budget() + self.wrong_ranks())

    def asked_once(self):
        """Calls whose id was used once: repeated runs use the same ids again, and which
        of the calls a run at a target belongs to isn't known."""
        times = self._times()
        return [told for told in self.ledger.told if times[told.request] == 1]

    def _times(self):
        return collections.Counter(told.request for told in self.ledger.told)

    def over_budget(self):
        """For each service, the worst window, if it holds more repeats than the
        operator's limit allows."""
        return [f"{service}: {repeats} repeats in the {WINDOW} s until {end:.2f}, "
                f"allowed {allowed:.1f}"
                for service, (over, repeats, allowed, end) in self._worst().items()
                if over > 0]

    def _worst(self):
        """By service with repeats: the window that ends with one and leaves least."""
        return {service: max(each) for service, each in self._all_windows().items()}

    def _all_windows(self):
        """By service with repeats: the windows that end with one."""
        settings = self.world.daemons[0].values
        windows = {service: list(_windows(arrivals, settings["repeat_ratio"],
                                          settings["repeat_reserve"]))
                   for service, arrivals in self.arrivals.items()}
        return {service: each for service, each in windows.items() if each}

    def wrong_ranks(self):
        """Requests with a more important rank than their route's, and calls without that
        of their root although the daemon beside the caller had found their parent."""
        if self.world.organisations.names:
            return []  # Ranks are by organisation, too.
        kinds = {told.request: told.kind for told in self.world.ledger.told}
        times = self._times()
        evidence, received = _read(one.log for one in self.world.daemons)
        found = []
        for request, rank in received:
            kind = kinds[request.split(".")[0]]
            how = set(evidence[request])
            if "." not in request:
                # The check at the end asks routes of its own, of the least important.
                least, most = RANKS.get(kind, 2), None
            elif len(evidence[request]) < times[request]:
                continue  # Not all of the runs' calls with this id are logged.
            elif how <= FOUND:
                least = most = RANKS[kind]
            elif how == {"none"}:
                least, most = LEAF_RANK, None
            else:
                continue  # By runs that differ in it, or by several parents.
            if rank < least or (most is not None and rank > most):
                found.append(f"{request}: came with rank {rank}, for a {kind}, "
                             f"parent found by {sorted(how)}")
        return found

    def summary(self):
        evidence, _ = _read(one.log for one in self.world.daemons)
        calls = [how for request, how in evidence.items() if "." in request]
        fullest = {service: max(windows, key=lambda window: window[1] / max(window[2], 1.0))
                   for service, windows in self._all_windows().items()}
        left = ", ".join(f"{service} {repeats} of {allowed:.0f}" for
                         service, (_, repeats, allowed, _) in fullest.items())
        return (f"{len(self.ledger.told)} calls of targets, parents found of "
                f"{sum(set(how) <= FOUND for how in calls)} of {len(calls)} that are logged; "
                f"repeats in the fullest windows: {left or 'none'}")


def _windows(arrivals, ratio, reserve):
    """For each repeat: by how much the window until it is over, and what that is from."""
    seen, firsts, repeats = set(), [], []
    for at, request in arrivals:
        (repeats if request in seen else firsts).append(at)
        seen.add(request)
    for last, end in enumerate(repeats):
        count = last + 1 - bisect.bisect_left(repeats, end - WINDOW)
        requests = bisect.bisect_right(firsts, end) - bisect.bisect_left(firsts, end - WINDOW)
        allowed = ratio * requests + reserve
        yield count - allowed, count, allowed, end


def _read(logs):
    """From the daemons' lines: by request, how its parent was found; and the ranks that
    requests came with at the targets' daemons."""
    evidence, received = collections.defaultdict(list), []
    for log in logs:
        for line in log.read_text(errors="replace").splitlines():
            if "event=routed" in line:
                fields = dict(FIELD.findall(line))
                evidence[fields.get("request")].append(fields.get("lineage"))
            elif "event=executor_received" in line:
                fields = dict(FIELD.findall(line))
                received.append((fields["request"], int(fields["rank"])))
    return evidence, received
