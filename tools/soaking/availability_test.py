"""Which refusals count as avoidable: python3 -m unittest soaking.availability_test, in tools."""
import pathlib
import tempfile
import unittest
from types import SimpleNamespace

from .availability import History, avoidable_refusals


def _ran(start_id, began, ended=None):
    history = History()
    history.begin(began, start_id)
    if ended is not None:
        history.end(ended)
    return history


class AvoidableRefusals(unittest.TestCase):
    def refusals(self, target, line, stop=None):
        """Of one request, sent at 100 and refused at once, with this target and this line
        in the log of the daemon beside it, which was asked to stop at `stop`."""
        log = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory())) / "log"
        log.write_text(line + "\n")
        daemon = SimpleNamespace(history=_ran("", 0), paused=History(), log=log)
        daemon.history.stops += [] if stop is None else [stop]
        told = SimpleNamespace(request="r1-1", end=503, daemon=1, service="registry",
                               sent_at=100.0, ended_at=100.1)
        world = SimpleNamespace(targets=[target], daemons=[daemon],
                                ledger=SimpleNamespace(told=[told]))
        return avoidable_refusals(world, {"r1-1": "draining"}, timeout=3.0)

    # Such refusals were named as avoidable as soon as that target had started again
    # under another id (soak 49001).
    def test_a_target_at_its_limit_that_starts_again_later_could_not_take_it(self):
        history = _ran("i-1-1", 0, 110)
        history.begin(115, "i-1-2")
        target = SimpleNamespace(id="i-1-2", home="registry", history=history)
        self.assertEqual([], self.refusals(
            target, "event=rate_limited target=i-1-1 request=r1-1"))

    def test_a_well_target_that_did_not_refuse_it_counts(self):
        target = SimpleNamespace(id="i-1-1", home="registry", history=_ran("i-1-1", 0))
        found = self.refusals(target, "event=rate_limited target=i-1-1 request=r1-2")
        self.assertEqual(["r1-1: refused as draining by daemon 1, with i-1-1 well"], found)

    def test_a_target_that_was_not_yet_known_does_not_count(self):
        target = SimpleNamespace(id="i-1-1", home="registry", history=_ran("i-1-1", 99))
        self.assertEqual([], self.refusals(target, ""))

    # What is refused late in a stop since it might outlive the daemon is excused only if
    # the daemon's figures and the time of the signal both say so.
    def test_a_request_that_may_outlive_a_stop_does_not_count(self):
        target = SimpleNamespace(id="i-1-1", home="registry", history=_ran("i-1-1", 0))
        line = "event=too_long_for_stop left_ms=3000 stop_left_ms=2900 request=r1-1"
        in_time = "event=too_long_for_stop left_ms=2800 stop_left_ms=2900 request=r1-1"
        self.assertEqual([], self.refusals(target, line, stop=97.0))
        for refused in (self.refusals(target, line), self.refusals(target, "", stop=97.0),
                        self.refusals(target, in_time, stop=97.0),
                        self.refusals(target, line, stop=98.0),
                        self.refusals(target, line, stop=90.0)):
            self.assertEqual(1, len(refused))

    # The same beside the target, which counts as well before.
    def test_a_target_whose_daemon_would_end_before_it_does_not_count(self):
        target = SimpleNamespace(id="i-1-1", home="registry", history=_ran("i-1-1", 0))
        line = ("event=too_long_for_stop target={} left_ms=3000 stop_left_ms=2900 "
                "request=r1-1")
        self.assertEqual([], self.refusals(target, line.format("i-1-1"), stop=97.0))
        self.assertEqual(1, len(self.refusals(target, line.format("i-2-1"), stop=97.0)))
        self.assertEqual(1, len(self.refusals(target, line.format("i-1-1"), stop=99.0)))


if __name__ == "__main__":
    unittest.main()
