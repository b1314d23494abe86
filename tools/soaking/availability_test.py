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
    def refusals(self, target, line):
        """Of one request, sent at 100 and refused at once, with this target and this line
        in the log of the daemon beside it."""
        log = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory())) / "log"
        log.write_text(line + "\n")
        daemon = SimpleNamespace(history=_ran("", 0), paused=History(), log=log)
        told = SimpleNamespace(request="r1-1", end=503, daemon=1, service="registry",
                               sent_at=100.0, ended_at=100.1)
        world = SimpleNamespace(targets=[target], daemons=[daemon],
                                ledger=SimpleNamespace(told=[told]))
        return avoidable_refusals(world, {"r1-1": "draining"})

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


if __name__ == "__main__":
    unittest.main()
