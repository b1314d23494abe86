"""A daemon gets SIGTERM. Its clients go on, as it is the only daemon of its zone; most
requests are short, and some that come over 3 s behind the signal take longer."""
import asyncio
import random
import signal
import sys

sys.path.insert(0, __file__.rsplit("/", 2)[0])
import harness_2 as h  # noqa: E402

GRACE = 6.0  # Seconds; `grace`.
COUNTED_FROM = 3.0  # Seconds behind the signal; the rule excuses requests before.
LONG = 1.4  # Seconds; the longest work of deposit-charge is 2.1.
TIMEOUT = 1.5  # Seconds; of its route.
MACHINES = [("kalendarz", "pl-central-a"), ("zaliczki", "pl-central-b"), ("zaliczki", "pl-central-c")]
HOST = "jepu9.example"


async def ask(site, path, results):
    request = site.new_id()
    sent = site.record.now()
    connection = h.Connection(site, site.machines[0])
    try:
        answer = await connection.ask("POST", HOST, path, request, 5000, b"deposit")
        end = answer.status if answer else "closed"
    except (OSError, asyncio.TimeoutError):
        end = "no connection"  # Nothing was read.
    connection.close()
    results.append((request, path, sent, site.record.now(), end))


async def scenario(site):
    for machine in site.machines[1:]:
        upstream = machine.upstream

        async def run(request, method, path, headers, body, writer, upstream=upstream):
            await asyncio.sleep(LONG if "/long/" in path else random.uniform(0.11, 0.31))
            site.record.add("upstream", request, "has done its work")
            await upstream.answer(writer, request, f"{request}:charged".encode())
            return True

        upstream.run = run
    results, tasks = [], []
    stopping = site.machines[0]

    def send(path):
        tasks.append(asyncio.create_task(ask(site, path, results)))

    for i in range(60):  # Calm, 3 s.
        send(f"/puka111/{i}")
        await asyncio.sleep(0.05)
    stopped_at = site.record.now()
    site.record.add("SIGTERM" if h.TROUBLE else "no SIGTERM", stopping.name)
    if h.TROUBLE:
        stopping.signal(signal.SIGTERM)
    i, long_sent = 0, 0
    while (since := site.record.now() - stopped_at) < GRACE:
        send(f"/puka111/s{i}")
        if since > 4.2 + 0.1 * long_sent and long_sent < 6:
            long_sent += 1
            send(f"/puka111/long/{i}")
        i += 1
        await asyncio.sleep(0.05)
    if h.TROUBLE:
        code = await asyncio.wait_for(stopping.process.wait(), 5)
        site.record.add("the daemon has ended with", code, "after",
                        f"{site.record.now() - stopped_at:.2f} s")
    await asyncio.gather(*tasks)
    broken = []
    for request, path, sent, ended, end in sorted(results, key=lambda each: each[2]):
        site.record.add("client", request, path, f"sent {sent - stopped_at:+.2f} s,",
                        end, f"{ended - stopped_at:+.2f} s")
        if (request in site.runs and end != 200 and sent - stopped_at > COUNTED_FROM
                and ended - sent < TIMEOUT - 0.05):
            broken.append(f"LOST: {request} sent {sent - stopped_at:.2f} s behind SIGTERM, "
                          f"its upstream was at work on it, {end} at "
                          f"{ended - stopped_at:.2f} s")
    return broken


h.play(__file__, MACHINES, h.config(1, [h.route(
    "r-deposit", HOST, "/puka111/", "non_idempotent", "zaliczki", timeout="1500ms",
    aim="2000ms")], ["kalendarz", "zaliczki"]), scenario)
