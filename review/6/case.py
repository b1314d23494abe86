"""An upstream that runs requests and fails a part of them with 503, 429 or 408, as it
states nowhere that it has not run them."""
import asyncio
import random
import sys

sys.path.insert(0, __file__.rsplit("/", 2)[0])
import harness_2 as h  # noqa: E402

SHARE = 0.4  # Of its requests that the upstream fails (srv_grey).
REQUESTS = 60
MACHINES = [("front", "waw-a"), ("umowy", "waw-a"), ("umowy", "waw-b")]
HOST = "jepu9.example"


async def scenario(site):
    grey = site.machines[1].upstream
    whole_run = grey.run

    async def run(request, method, path, headers, body, writer):
        await asyncio.sleep(grey.work())
        if not h.TROUBLE or random.random() >= SHARE:
            return await whole_run(request, method, path, headers, body, writer)
        status = random.choice((503, 429))
        text = f"{request}:failed".encode()
        site.record.add("upstream", request, "has run it and fails it:", status)
        await grey.send(writer, status, request, text,
                        f"Response-Signature: {h.signature(request, text)}\r\n")
        return True

    grey.run = run
    broken = []
    for i in range(REQUESTS):
        request = site.new_id()
        connection = h.Connection(site, site.machines[0])
        answer = await connection.ask("POST", HOST, f"/puka111/{i}", request, 5000, b"lease")
        connection.close()
        status = answer.status if answer else None
        site.record.add("client", request, status)
        if status in h.PROMISES and request in site.runs:
            broken.append(f"REFUSED: {request} answered {status} and has run: "
                          f"{site.runs[request]}")
    return broken


h.play(__file__, MACHINES, h.config(1, [h.route(
    "r-sign", HOST, "/puka111/", "non_idempotent", "umowy")], ["front", "umowy"]), scenario)
