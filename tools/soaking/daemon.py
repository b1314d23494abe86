"""One real daemon as a process of its own, with its settings and its log."""
import asyncio
import ctypes
import json
import signal
import time

from .availability import History

PR_SET_PDEATHSIG = 1  # Of prctl(2).
STOP_TIMEOUT = 6.0  # Seconds, as the settings say; then it would be killed.
HANG = 60.0  # Seconds; only ends a run that hangs, where time isn't judged.


def prepare():
    """In the new process: it is killed when the soak is, however that ends. A stop
    that comes while it is being loaded waits until it can be handled; a daemon
    that doesn't release its signals never ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    signal.pthread_sigmask(signal.SIG_BLOCK,
                           {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


class Daemon:
    def __init__(self, binary, folder, index, network, service, zone, ports, timed,
                 proxied=True, more=None):
        self.binary, self.index, self.zone = binary, index, zone
        self.longest_stop = STOP_TIMEOUT + 1 if timed else HANG
        self.ip = f"127.{network}.0.{index}"
        self.caller = (self.ip, ports["caller"])
        self.admin = (self.ip, ports["admin"])
        # The store tells daemons apart by the address that they call.
        self.store = (f"127.{network}.3.{index}", ports["store"])
        # Without a proxy in front, where other daemons look for it.
        self.peer = (self.ip if proxied else f"127.{network}.1.{index}", ports["peer"])
        self.log = folder / f"daemon-{index}.log"
        self.settings = folder / f"daemon-{index}.json"
        self.values = {
            "vm": f"vm-{index}", "service": service, "data_centre": zone,
            "caller": f"{self.ip}:{ports['caller']}",
            "peer": f"{self.peer[0]}:{self.peer[1]}",
            "ready": f"{self.ip}:{ports['ready']}",
            "admin": f"{self.ip}:{ports['admin']}",
            "target": f"127.{network}.1.{index}:{ports['target']}",
            "platform": [f"{self.store[0]}:{self.store[1]}"],
            "memory_mb": 260, "max_descriptors": 4100,
            "stop_timeout": f"{int(STOP_TIMEOUT * 1000)}ms",
            "key_withdrawal": "5000ms", "quota_overage": 0.25,
            "repeat_ratio": 0.2, "repeat_reserve": 47} | (more or {})
        self.settings.write_text(json.dumps(self.values))
        self.process = None
        self.disturbed_at = time.monotonic()  # Last fault of this process.
        self.stopping = False
        self.planned_stop = False  # And as planned, not killed.
        self.closed = False  # Must not be started any more.
        self.history = History()  # Of its processes; faults are unplanned ones.
        self.paused = History()
        self.store_way = History()  # Disturbances of its way to the store.
        self.failures = []
        self.awake = asyncio.Event()
        self.awake.set()

    async def start(self):
        if self.closed:
            return
        # In a session of its own: when the shell that started the soak ends, the
        # kernel hangs up all of a process group in which one is stopped.
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.binary, "serve", "--settings", str(self.settings),
                stdout=log, stderr=log, preexec_fn=prepare,
                start_new_session=True)
        self.history.begin(time.monotonic())
        self.stopping = self.planned_stop = False
        self.note_fault()

    def note_fault(self):
        self.disturbed_at = time.monotonic()

    def undisturbed_for(self):
        return time.monotonic() - self.disturbed_at

    def signal(self, number):
        self.note_fault()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.history.disturb(time.monotonic())
        self.history.end(time.monotonic())
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        """A planned stop; it has to end by itself within its time."""
        self.stopping = self.planned_stop = True
        self.signal(signal.SIGTERM)
        await self.awake.wait()  # A paused process doesn't hear of it before.
        self.history.stops.append(time.monotonic())
        try:
            code = await asyncio.wait_for(self.process.wait(), self.longest_stop)
            if code != 0:
                self.failures.append(f"daemon {self.index} ended a stop with {code}")
        except asyncio.TimeoutError:
            self.failures.append(f"daemon {self.index} outlived its stop")
            await self.kill()
        self.history.end(time.monotonic())
        self.note_fault()

    def note_pause(self):
        self.history.disturb(time.monotonic())
        self.paused.disturb(time.monotonic())

    async def pause(self, seconds):
        self.awake.clear()
        self.note_pause()
        self.signal(signal.SIGSTOP)
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 0.2))
            self.note_pause()
        self.signal(signal.SIGCONT)
        self.note_pause()
        self.awake.set()

    def check_alive(self):
        if self.process.returncode is not None and not self.stopping:
            self.failures.append(
                f"daemon {self.index} ended by itself: {self.process.returncode}")
