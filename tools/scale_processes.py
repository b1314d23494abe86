#!/usr/bin/env python3
"""Real daemons on loopback beside the platform's stand-in: how long changes and
members' states take, and what control costs. Prints one line a figure.

Each daemon has an address 127.1.A.B of its own. Times are read from the
daemons' own log lines, bytes and datagrams from their metrics, processor time
and memory from /proc."""
import argparse
import json
import os
import random
import re
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, "build", "default")
KEY = "scale-shared-key-0001"
PER_SERVICE = 9
REGIONS = 2
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def service_name(number):
    return "service-%d" % number


class daemon:
    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.service = number % fleet.services
        self.vm = "vm-%d" % number
        self.ip = "127.1.%d.%d" % (number // 250 + 1, number % 250 + 1)
        self.region = (number // fleet.services) % REGIONS
        self.process = None
        self.starts = 0
        self.log = None

    def entry(self, state="live"):
        return {"vm": self.vm, "data_centre": "dc-%d" % self.region,
                "region": "region-%d" % self.region, "peer": self.ip + ":7003",
                "caller": self.ip + ":7001", "state": state}

    def start(self):
        settings = {
            "vm": self.vm, "service": service_name(self.service),
            "data_centre": "dc-%d" % self.region,
            "region": "region-%d" % self.region,
            "caller": self.ip + ":7001", "local": self.ip + ":7002",
            "peer": self.ip + ":7003", "admin": self.ip + ":7004",
            "target": self.ip + ":8080", "platform": [self.fleet.platform],
            "fleet_keys": [KEY], "threads": 1, "max_connections": 64,
            "stop_timeout_ms": 1000}
        path = os.path.join(self.fleet.folder, self.vm + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        self.starts += 1
        self.log = os.path.join(self.fleet.folder,
                                "%s.%d.log" % (self.vm, self.starts))
        with open(self.log, "wb") as out:
            self.process = subprocess.Popen(
                [os.path.join(BUILD, "pistachioweir"), "run", "--settings",
                 path], stdout=out, stderr=subprocess.STDOUT)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def kill(self, how=signal.SIGKILL):
        if self.alive():
            self.process.send_signal(how)

    def lines(self, event):
        found = []
        with open(self.log, encoding="utf-8", errors="replace") as log:
            for line in log:
                if "event=%s " % event not in line + " ":
                    continue
                stamp = re.search(r"time=(\S+)\.(\d+)", line)
                at = time.mktime(time.strptime(stamp.group(1),
                                               "%Y-%m-%dT%H:%M:%S"))
                found.append((at + int(stamp.group(2)) / 1000.0, line))
        return found

    def usage(self):
        with open("/proc/%d/stat" % self.process.pid, encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / TICKS, int(fields[21]) * PAGE

    def metrics(self):
        try:
            with urllib.request.urlopen(
                    "http://%s:7004/metrics" % self.ip, timeout=2) as answer:
                text = answer.read().decode()
        except OSError:
            return {}
        values = {}
        for line in text.splitlines():
            match = re.match(r"(\w*gossip\w*)(\{.*\})? (\S+)$", line)
            if match:
                name = match.group(1) + (match.group(2) or "")
                values[name] = float(match.group(3))
        return values


class fleet:
    def __init__(self, nodes, folder):
        self.nodes = nodes
        self.services = max(2, nodes // PER_SERVICE)
        self.folder = folder
        self.versions = [1] * self.services
        self.states = {}
        self.platform_process = subprocess.Popen(
            [os.path.join(BUILD, "pw-platform"), "--listen", "127.1.0.1:7100",
             "--control", "127.1.0.1:7101"], stdout=subprocess.PIPE)
        self.platform_process.stdout.readline()
        self.platform = "127.1.0.1:7100"
        self.daemons = [daemon(self, i) for i in range(nodes)]
        for service in range(self.services):
            self.put_manifest(service)
            self.put_list(service)

    def control(self, path, body=b"", method="PUT"):
        request = urllib.request.Request("http://127.1.0.1:7101" + path,
                                         data=body, method=method)
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.read()

    def put(self, key, value):
        self.control("/documents/" + key, json.dumps(value).encode())

    def put_manifest(self, service):
        calls = [{"service": service_name(service + 1), "method": "run"}]
        if service + 1 >= self.services or service % 4 == 3:
            calls = []
        self.put("manifest/" + service_name(service), {
            "service": service_name(service),
            "version": self.versions[service], "slots": 8, "connections": 64,
            "refusal_is_not_executed": True, "methods": [
                {"name": "run", "level": "normal", "timeout_ms": 500 -
                 100 * (service % 4), "max_timeout_ms": 1000,
                 "retry_credit": 1, "calls": calls}]})

    def put_list(self, service):
        self.put("live/" + service_name(service), {"vms": [
            d.entry(self.states.get(d.vm, "live")) for d in self.daemons
            if d.service == service]})

    def reads(self):
        return json.loads(self.control("/counts", None, "GET"))

    def up(self):
        return [d for d in self.daemons if d.alive()]

    def wait(self, event, daemons, limit, since, matches=lambda line: True):
        """Seconds from `since` until each daemon logged the event."""
        times = {}
        while len(times) < len(daemons) and time.time() - since < limit:
            for d in daemons:
                if d.number in times:
                    continue
                for at, line in d.lines(event):
                    if at >= since - 0.002 and matches(line):
                        times[d.number] = at - since
                        break
            time.sleep(0.3)
        return times

    def change(self, service):
        self.versions[service] += 1
        since = time.time()
        self.put_manifest(service)
        return since

    def stop(self):
        for d in self.daemons:
            d.kill()
        for d in self.daemons:
            if d.process is not None:
                d.process.wait()
        self.platform_process.terminate()
        self.platform_process.wait()


def quantiles(times, expected):
    values = sorted(times.values())
    if not values:
        return "none of %d" % expected
    return "p50 %.2f s, max %.2f s, %d of %d" % (
        values[len(values) // 2], values[-1], len(values), expected)


def rates(f, seconds, label, act=lambda: None):
    daemons = f.up()
    before = {d.number: (d.usage(), d.metrics()) for d in daemons}
    reads = f.reads()
    start = time.time()
    act()
    time.sleep(max(0, seconds - (time.time() - start)))
    span = time.time() - start
    after_reads = f.reads()
    cpu, memory, values = [], [], {}
    for d in daemons:
        if not d.alive():
            continue
        (cpu_a, _), metrics_a = before[d.number]
        cpu_b, rss = d.usage()
        cpu.append((cpu_b - cpu_a) / span)
        memory.append(rss)
        for name, value in d.metrics().items():
            values.setdefault(name, []).append(
                (value - metrics_a.get(name, value)) / span)
    print("n=%d %s: processor %.2f%% of a core (max %.2f%%), resident %.1f MB "
          "(max %.1f), platform %.1f reads/s" % (
              f.nodes, label, 100 * sum(cpu) / len(cpu), 100 * max(cpu),
              sum(memory) / len(memory) / 1e6, max(memory) / 1e6,
              (after_reads["reads"] - reads["reads"]) / span))
    for name in sorted(values):
        if "gossip" in name:
            print("    %s: %.1f a second a daemon" % (
                name, sum(values[name]) / len(values[name])))


def version_line(f, service):
    text = "version=%d" % f.versions[service]
    name = service_name(service)
    return lambda line: text in line and "subject=%s " % name in line


def holders(f, service):
    """Daemons that keep the service's manifest: it and those that reach it."""
    first = service - service % 4
    return [d for d in f.up() if first <= d.service <= service]


def measure(nodes, seed):
    random.seed(seed)
    folder = tempfile.mkdtemp(prefix="pw-scale-")
    f = fleet(nodes, folder)
    try:
        since = time.time()
        for d in f.daemons:
            d.start()
        ready = f.wait("ready", f.up(), 60, since)
        print("n=%d cold start, ready: %s; platform peak %s reads/s" % (
            nodes, quantiles(ready, nodes), f.reads().get("peak_per_second")))
        time.sleep(20)
        rates(f, 15, "idle")

        service = min(3, f.services - 1)
        since = f.change(service)
        expected = holders(f, service)
        print("n=%d change in force: %s" % (nodes, quantiles(f.wait(
            "manifest_accepted", expected, 30, since,
            version_line(f, service)), len(expected))))

        def burst():
            for _ in range(20):
                f.change(random.randrange(f.services))
                time.sleep(0.5)
        rates(f, 15, "two changes a second", burst)

        victim = f.daemons[service]
        followers = [d for d in f.up() if d.service in (service - 1, service)
                     and d is not victim]
        since = time.time()
        victim.kill()
        print("n=%d killed, known dead: %s" % (nodes, quantiles(f.wait(
            "member_state", followers, 30, since,
            lambda line: "subject=%s " % victim.vm in line and
            "state=dead" in line), len(followers))))
        leaver = f.daemons[service + f.services]
        followers = [d for d in followers if d is not leaver]
        since = time.time()
        leaver.kill(signal.SIGTERM)
        print("n=%d planned stop, known leaving: %s" % (nodes, quantiles(f.wait(
            "member_state", followers, 30, since,
            lambda line: "subject=%s " % leaver.vm in line and
            "state=leaving" in line), len(followers))))

        f.control("/mode/down")
        time.sleep(5)
        rates(f, 15, "platform down")
        restarted = [d for d in f.up() if d.number // f.services % 3 == 0]
        for d in restarted:
            d.kill()
            d.process.wait()
        time.sleep(0.5)
        since = time.time()
        for d in restarted:
            d.start()
        print("n=%d a third restarted, platform down, ready: %s" % (
            nodes, quantiles(f.wait("ready", restarted, 40, since),
                             len(restarted))))
        f.control("/mode/ok")
        time.sleep(10)
        since = f.change(service)
        expected = holders(f, service)
        print("n=%d change after the outage, in force: %s" % (
            nodes, quantiles(f.wait("manifest_accepted", expected, 60, since,
                                    version_line(f, service)),
                             len(expected))))
    finally:
        f.stop()
        shutil.rmtree(folder, ignore_errors=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, nargs="+",
                        default=[25, 50, 100, 200])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for nodes in arguments.processes:
        if nodes > 300:
            parser.error("at most 300 processes")
        measure(nodes, arguments.seed)


if __name__ == "__main__":
    main()
