"""The promises of docs/PROMISES.md, checked on what callers were told and what
targets ran. Each check returns a line for each break."""
import collections

# Own words of the daemon that promise that nothing ran, now or later.
NOT_RUN = {401, 408, 421, 429, 503}
# A caller is answered this long behind its route's timeout at the latest.
HELD = 0.75
# All daemons refuse a request this long after it has crashed a third target.
QUARANTINED_WITHIN = 3.0


def at_most_once(told, runs):
    return [f"{t.request}: ran {len(runs[t.request])} times, {runs[t.request]}"
            for t in told if t.kind == "sign" and len(runs.get(t.request, [])) > 1]


def truthful(told, runs):
    return [f"{t.request}: told {t.end}, but ran {runs[t.request]}"
            for t in told if t.end in NOT_RUN and t.request in runs]


def nothing_unasked(told, runs):
    asked = {t.request for t in told}
    return [f"{request}: ran, but no caller sent it"
            for request in runs if request not in asked]


def answered_in_time(told, timeout):
    return [f"{t.request}: held {held:.2f} s at a calm daemon"
            for t in told if t.calm and t.end != "left"
            and (held := t.ended_at - max(t.sent_at, t.turn_at)) > timeout + HELD]


def nothing_unread_runs(told, runs):
    """Callers send a request again that was behind the last response of its
    connection."""
    return [f"{t.request}: behind the last response of its connection, but ran "
            f"{runs[t.request]}" for t in told if t.end == "unread" and t.request in runs]


def stops_cut_nothing(told, runs):
    """A planned stop ends no request that a target ran without its answer."""
    return [f"{t.request}: cut by a planned stop, though it ran {runs[t.request]}"
            for t in told if t.during_stop and t.end == "closed"
            and t.request in runs]


def quarantine(poison):
    """A request that crashes targets is refused soon after its third crash."""
    return [f"{path}: crashed a target {len(times)} times, {late} of them later than "
            f"{QUARANTINED_WITHIN} s after the third"
            for path, times in poison.items()
            if (late := sum(t > times[2] + QUARANTINED_WITHIN
                            for t in times[3:])) > 3]


def refusals_say_when(told):
    return [f"{t.request}: a {t.end} without a time to come back"
            for t in told if t.end in (429, 503) and not t.retry_after]


def summary(told):
    ends = collections.Counter(str(t.end) for t in told)
    return ", ".join(f"{end} {n}" for end, n in ends.most_common())
