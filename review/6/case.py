"""Requests get no answer after status reports were late and the target was believed lost for a moment."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
import stand

HOST = "launch.example"
TIMEOUT_S = 1.0  # the route's timeout; the requesters themselves wait for longer
ROUNDS = 3
LEASE_S = 5.0


async def late_reports(target, at):
    """Sends reports every heartbeat until `at`; they arrive together then, each of them seconds late."""
    target.stop_beats()
    await target.send(target.report())
    held = []
    while target.mesh.record.now() + stand.HEARTBEAT_S < at:
        await asyncio.sleep(stand.HEARTBEAT_S)
        held.append((target.mesh.record.now(), target.report()))
    await asyncio.sleep(max(0, at - target.mesh.record.now()))
    for sent, report in held:
        await target.send(report, note=f" (late by {target.mesh.record.now() - sent:.1f} s)" if stand.TROUBLE else "")
    target.beats = asyncio.create_task(target.beat_always())


async def burst(requesters, count):
    """Many requests come at once at each node."""
    sends = [it.send(HOST, "/launch/400", method="POST", body=os.urandom(50).hex().encode(), limit_ms=3000)
             for it in requesters for _ in range(count)]
    await asyncio.gather(*sends)


async def case(record):
    mesh = stand.Mesh(record, [(it, "launchdesk") for it in stand.ZONES])
    targets = [stand.Target(mesh, it, "launchdesk") for it in mesh.nodes]
    requesters = [stand.Requester(mesh, it) for it in mesh.nodes]
    tasks = []
    try:
        route = ("r-launch", HOST, "/launch/", "unsafe", "launchdesk", int(TIMEOUT_S * 1000))
        await mesh.start(["launchdesk"], [route])
        await asyncio.sleep(1)
        for _ in range(ROUNDS):
            begin = record.now()
            if stand.TROUBLE:
                tasks = [asyncio.create_task(late_reports(it, begin + LEASE_S + random.uniform(0.1, 0.25)))
                         for it in targets]
            await asyncio.sleep(begin + LEASE_S - 0.45 - record.now())
            first = asyncio.create_task(burst(requesters, 24))
            await asyncio.sleep(begin + LEASE_S + 0.28 - record.now())
            await asyncio.gather(first, burst(requesters, 24), *tasks)
            await asyncio.sleep(1)
        results = [(name, *it) for q in requesters for name, it in q.results.items()]
        # Unanswered at the route's timeout, and of these without an answer half a second later. One
        # that the requester gave up counts as answered never.
        slow = [it for it in results if it[4] - it[1] > TIMEOUT_S]
        never = [it for it in slow if not isinstance(it[2], int) or it[4] - it[1] > TIMEOUT_S + 0.5]
        counts = {}
        for it in results:
            counts[it[2]] = counts.get(it[2], 0) + 1
        record.write(f"outcomes: {counts}; unanswered at the timeout: {len(slow)}; half a second later: {len(never)}")
        broken = len(never) >= 8 and len(never) > len(slow) / 2
        return [f"{name} got no answer: sent {sent:.3f}, {outcome} at {at:.3f}" for name, sent, outcome, _, at in never] if broken else []
    finally:
        for it in tasks:
            it.cancel()
        await mesh.end()


stand.main(case)
