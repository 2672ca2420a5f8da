"""A request runs at a target of another service, which got the address of the target that admitted it."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
import stand

HOST = "consent.example"
LIMIT_MS = 3000  # the time limit and the timeout of `withdraw`
LINK_MBPS = "1.75"  # the link of a `sidecar` machine
REUSE_AFTER_S = 2.0
BODY_BYTES = 530_000  # takes about 2.7 s on such a link; `maxBodyBytes` is 67,108,864
ROUNDS = 3


async def case(record):
    mesh = stand.Mesh(record, [(it, "consent") for it in stand.ZONES] + [(it, "rights") for it in stand.ZONES])
    for it in mesh.nodes:
        it.fields["limits"] = {"linkMbps": LINK_MBPS}
    targets = [stand.Target(mesh, it, it.fields["service"], slots=12) for it in mesh.nodes]
    breaks = []
    try:
        routes = [("r-withdraw", HOST, "/withdraw/", "unsafe", "consent", LIMIT_MS),
                  ("r-licence", HOST, "/licence/", "unsafe", "rights", LIMIT_MS)]
        await mesh.start(["consent", "rights"], routes)
        for number in range(ROUNDS):
            requesters = [stand.Requester(mesh, it) for it in mesh.nodes[3:]]
            body = lambda: os.urandom(BODY_BYTES // 2).hex().encode()
            sends = [asyncio.create_task(it.send(HOST, "/withdraw/50", "POST", body(), LIMIT_MS)) for it in requesters]
            await asyncio.sleep(0.15)
            if stand.TROUBLE:
                # A target ends, and its address goes to a target of another service.
                ended = targets[number]
                await ended.stop()
                record.write(f"target {ended.id} of consent ends")
                await asyncio.sleep(REUSE_AFTER_S + random.uniform(0.02, 0.1))
                other = stand.Target(mesh, ended.node, "rights", slots=12)
                record.write(f"target {other.id} of rights starts at its address")
                await other.start()
            await asyncio.gather(*sends)
            withdrawals = {name: it for requester in requesters for name, it in requester.results.items()}
            for it in mesh.targets:
                breaks += [f"{name} for consent was run by {it.id} of rights; its requester got {withdrawals[name][1]}"
                           for _, name in it.runs if name in withdrawals and it.service == "rights"]
            await asyncio.sleep(1)
        return breaks
    finally:
        await mesh.end()


stand.main(case)
