"""Who was well when, and the requests that were refused although they need not
have been.

A daemon that runs can place a request as long as one target of the service has
been well for a while, with the daemon beside it and the way to that one. Stops,
starts and outages of the store take nothing of that away. The bounds are those
of the aim: a planned stop interrupts nothing, a start is over within a second,
and what has been well for CONTACT is known to everybody."""
import collections
import re
from dataclasses import dataclass, field

CONTACT = 3.0  # Seconds, as the platform's bound of that name.
BEGINS = 1.0  # What a daemon may take from its start until it serves.
ENDS = 1.0  # And at its end.
# A stopping daemon takes what is sent until then, and ends what is open at SERVES:
# src/forward/stop_plan.h. Seconds from the signal.
TAKES_ALL = 2.5
SERVES = 5.6
# Between what a caller and its daemon take for the beginning of a request, at most, in
# runs that can be judged.
CLOCKS_APART = 0.2
# What refuses a request for want of a view or a target, or because of a stop.
# Refusals by overload have other words.
AVOIDABLE = {"not_ready", "no_target", "draining"}

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


@dataclass
class History:
    """Of a daemon or a target: from when to when it ran, and what disturbed it."""
    spans: list = field(default_factory=list)  # [began, ended or None, id]
    disturbances: list = field(default_factory=list)
    stops: list = field(default_factory=list)  # When it heard of planned ones.

    def begin(self, now, start_id=""):
        """`start_id`: of this start; a target has another one after each."""
        self.spans.append([now, None, start_id])

    def end(self, now):
        if self.spans and self.spans[-1][1] is None:
            self.spans[-1][1] = now

    def disturb(self, now):
        self.disturbances.append(now)

    def id_of(self, since, until):
        """The id of the start that ran all this time, or None."""
        return next((start_id for began, ended, start_id in self.spans
                     if began <= since and (ended is None or ended >= until)), None)

    def ran(self, since, until):
        return self.id_of(since, until) is not None

    def calm(self, since, until):
        return not any(since <= at <= until for at in self.disturbances)


def refusals(logs):
    """By request: why its daemon refused it, from the daemons' lines."""
    why = {}
    for log in logs:
        for line in log.read_text(errors="replace").splitlines():
            if "event=refused_at_entrance" not in line and (
                    "event=answered" not in line or "outcome=not_executed" not in line):
                continue
            fields = dict(FIELD.findall(line))
            why[fields.get("request")] = fields.get("why")
    return why


def too_long_for_stops(logs):
    """By request: where stopping daemons refused it since its bound lay behind their end,
    by their own figures: the targets beside them, and "" for its own daemon."""
    found = collections.defaultdict(set)
    for log in logs:
        for line in log.read_text(errors="replace").splitlines():
            if "event=too_long_for_stop" in line:
                fields = dict(FIELD.findall(line))
                if int(fields["left_ms"]) >= int(fields["stop_left_ms"]):
                    found[fields.get("request")].add(fields.get("target", ""))
    return found


def may_outlive_stop(told, history, timeout):
    """Whether the bound of a request lay behind the end of the daemon that refused it, and
    it was refused late in its stop."""
    return any(stop + TAKES_ALL <= told.ended_at <= stop + SERVES + ENDS and
               told.sent_at + timeout + CLOCKS_APART > stop + SERVES
               for stop in history.stops)


def at_their_limits(logs):
    """By request: the targets that had used up the limits that they name, and so
    could not take it."""
    full = collections.defaultdict(set)
    for log in logs:
        for line in log.read_text(errors="replace").splitlines():
            if "event=rate_limited" in line:
                fields = dict(FIELD.findall(line))
                full[fields.get("request")].add(fields.get("target"))
    return full


def _well_id(pair, told):
    """The id that the target had for the request, if the target, its daemon and the way
    there were well for it and long enough before it; else None. By the time of the check
    the target may have started again under another id."""
    each, daemon = pair
    since, until = told.sent_at - CONTACT, told.ended_at
    way_is_well = (daemon.history.ran(since, until + ENDS) and
                   daemon.history.calm(since, until))
    return each.history.id_of(since, until) if way_is_well else None


def avoidable_refusals(world, why, timeout):
    """Requests refused for want of a view, a target or by a stop, with a target of
    their service well. `why` is that of refusals(), `timeout` that of all routes.

    A request that a stopping daemon may have to break off is refused: "LOST. After a
    SIGTERM it is the same if you break off a request at which its upstream is at work".
    That counts as unavoidable if the daemon's log and the time of its signal agree on it."""
    full = at_their_limits(one.log for one in world.daemons)
    too_long = too_long_for_stops(one.log for one in world.daemons)
    pairs = list(zip(world.targets, world.daemons))
    found = []
    for told in world.ledger.told:
        if told.end != 503 or why.get(told.request) not in AVOIDABLE:
            continue
        at = world.daemons[told.daemon - 1]
        begun = told.sent_at - BEGINS
        if not at.history.ran(begun, told.ended_at) or not at.paused.calm(
                begun, told.ended_at):
            continue
        refused_at = too_long[told.request]
        if "" in refused_at and may_outlive_stop(told, at.history, timeout):
            continue
        ids = [(_well_id(pair, told), pair[1]) for pair in pairs
               if pair[0].home == told.service]
        well = [each for each, daemon in ids
                if each is not None and each not in full[told.request] and
                not (each in refused_at and
                     may_outlive_stop(told, daemon.history, timeout))]
        if well:
            found.append(f"{told.request}: refused as {why[told.request]} by daemon "
                         f"{told.daemon}, with {', '.join(well)} well")
    return found


def wrong_suspects(world, why):
    """Requests refused for crashing targets, although none like them ever did."""
    return [f"{told.request}: refused as quarantined by daemon {told.daemon}, "
            f"though it crashes nothing"
            for told in world.ledger.told
            if not told.poison and why.get(told.request) == "quarantined"]


def summary(found):
    """Counts by reason of the lines of avoidable_refusals()."""
    why = collections.Counter(line.split(" refused as ", 1)[1].split(" ", 1)[0]
                              for line in found if " refused as " in line)
    return ", ".join(f"{each} {n}" for each, n in why.most_common()) or "none"
