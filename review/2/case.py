"""A target leaves, its node acknowledges that and is killed, and a status report that the target
sent before arrives late, at the restarted node. All requests are unsafe."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
import mesh as m

HOST = "launchdesk.example"
# How long the target goes on serving after the ack: `drain` and "at times many seconds".
SERVES_S = 6.5
# How late the report arrives.
LATE_S = 2.0


async def case(record):
    mesh = m.Mesh(record, ["launchdesk"] * 4)
    try:
        route = ("r-register", HOST, "/desk/", "unsafe", "launchdesk", 1000)
        await mesh.start(m.configuration(3, ["launchdesk"], [route]))
        leaving, node = mesh.targets[0], mesh.nodes[0]
        # Requests are taken at the other nodes only; these are in touch all the time.
        requesters = [m.Requester(mesh, it) for it in mesh.nodes[1:]]
        loads = [
            asyncio.create_task(it.load(40, SERVES_S + 5, HOST, "/desk/100", "POST", b"launch", 1000))
            for it in requesters
        ]
        await asyncio.sleep(3)
        before = len(leaving.arrivals)
        # This report is under way when the target leaves. It sends no further one.
        leaving.beats.cancel()
        late = leaving.report()
        acked, status = await leaving.leave()
        if status != 200:
            raise m.CannotRun("the leave was not acknowledged")
        await asyncio.sleep(0.3)
        if m.TROUBLE:
            node.kill()
            await asyncio.sleep(0.3)
            node.start()
        restarted = record.now()
        await asyncio.sleep(max(0, acked + LATE_S - record.now()))
        await leaving.send_report(late, " (late)")
        # Stops with requests in work, as it may: it has left, and `drain` is over.
        await asyncio.sleep(max(0, acked + SERVES_S - record.now()))
        await leaving.stop()
        record.write(f"target {leaving.id}: exits")
        await asyncio.wait(loads)
        outcomes = {name: it[1] for r in requesters for name, it in r.results.items()}
        ran = {name for _, name in leaving.runs}
        lost = [name for name in ran if outcomes.get(name) != 200]
        record.write(f"{len(lost)} requests that {leaving.id} ran were not answered with its answer")
        # The restarted node is in touch again after `stability`.
        since = max(acked + m.DRAIN_S, restarted + m.STABILITY_S if m.TROUBLE else 0)
        sent = {name: it[0] for r in requesters for name, it in r.results.items()}
        wrong = [it for it in leaving.arrivals if it[0] > since and sent.get(it[1], 0) > since]
        record.write(
            f"target {leaving.id}: {before} arrivals before the leave, {len(wrong)} later than {since:.3f}"
        )
        return [
            f"DRAIN: {name} reaches {leaving.id} {at - acked:.3f} s after the ack of its leave"
            for at, name in wrong
        ]
    finally:
        await mesh.stop()


m.main(case)
