"""Organisations with API keys and quotas: who holds which key when, and what the
targets may have run for them."""
import collections
import time

WITHDRAWN_WITHIN = 5.0  # Seconds, as the daemons' settings say.
IN_FORCE_WITHIN = 2.5
WINDOW = 5.0  # Seconds of the quotas' bound.
OVERAGE, SLACK = 0.25, 20
RATE, BURST = 25, 25  # Of the organisation that has a limit.
LIMITED = "org-0"


class Organisations:
    def __init__(self, count, dice):
        self.dice = dice
        self.names = [f"org-{i}" for i in range(count)]
        self.numbers = 0
        self.held = {}  # By name: the keys that the newest configuration has.
        self.holder = {}  # By key: whose it is, or was.
        self.given = {}  # By key: when the store had taken it.
        self.withdrawn = {}  # Likewise.
        self.hot = False  # All callers act for the one with a limit.
        for name in self.names:
            self.held[name] = [self._new_key(name), self._new_key(name)]

    def _new_key(self, name):
        self.numbers += 1
        key = f"secret{self.dice.randrange(10**9)}x{self.numbers}"
        self.holder[key] = name
        return key

    def table(self):
        """For a configuration; None without organisations."""
        rows = [[name, keys, 0 if name == self.names[-1] else 1,
                 *((RATE, BURST) if name == LIMITED else (None, None))]
                for name, keys in self.held.items()]
        return {"columns": ["name", "api-keys", "priority", "rate-per-s", "burst"],
                "rows": rows} if self.names else None

    def change(self):
        """Takes a key from an organisation and gives it another one; the caller
        writes the configuration. Returns what to call once the store has it."""
        name = self.dice.choice(self.names)
        gone = self.held[name].pop(0)
        new = self._new_key(name)
        self.held[name].append(new)

        def taken():
            self.withdrawn[gone] = self.given[new] = time.monotonic()
        return taken

    def choose_key(self):
        """Mostly one that is held; at times one that was, or that nobody holds."""
        if not self.names:
            return None
        chance = self.dice.random()
        if chance < 0.02:
            return f"forged{self.dice.randrange(10**9)}"
        if chance < 0.15 and self.withdrawn:
            return self.dice.choice(list(self.withdrawn))
        return self.dice.choice(self.held[LIMITED if self.hot
                                          else self.dice.choice(self.names)])

    # Checks; each returns a line for each break.

    def breaks(self, told, runs, headers):
        asked = {t.request: t for t in told if t.key is not None}
        return (self._wrong_names(asked, headers) + self._run_too_late(asked, runs) +
                self._over_quota(asked, runs))

    def _wrong_names(self, asked, headers):
        found = []
        for request, (name, key) in headers.items():
            if request in asked and name != self.holder.get(asked[request].key):
                found.append(f"{request}: ran for {name}, not for the holder of its key")
            if key is not None:
                found.append(f"{request}: the target was shown a key")
        return found

    def _run_too_late(self, asked, runs):
        found = []
        for request in runs:
            one = asked.get(request)
            if one is None:
                continue
            if one.key not in self.holder:
                found.append(f"{request}: ran with a key that nobody ever held")
            late = one.sent_at - self.withdrawn.get(one.key, one.sent_at)
            if late > WITHDRAWN_WITHIN:
                found.append(f"{request}: ran with a key that was withdrawn {late:.2f} s before")
        return found

    def _over_quota(self, asked, runs):
        times = sorted(begun for request, ran in runs.items() for _, begun in ran[:1]
                       if request in asked and self.holder.get(asked[request].key) == LIMITED)
        allowed = (RATE * WINDOW + BURST) * (1 + OVERAGE) + SLACK
        window, worst = collections.deque(), 0
        for at in times:
            window.append(at)
            while at - window[0] >= WINDOW:
                window.popleft()
            worst = max(worst, len(window))
        return [f"{LIMITED}: {worst} requests ran in {WINDOW:.0f} s, {allowed:.0f} may"] \
            if worst > allowed else []

    def false_refusals(self, told):
        """Judged by time: a held key at a calm daemon is known there."""
        return [f"{t.request}: 401 at a calm daemon for a key that is held"
                for t in told if t.end == 401 and t.calm and t.key in self.holder
                and t.key not in self.withdrawn
                and t.sent_at - self.given.get(t.key, 0.0) > IN_FORCE_WITHIN]


def keys_in_logs(logs):
    return [f"{log.name}: a key stands in the log" for log in logs
            if log.exists() and b"secret" in log.read_bytes()]
