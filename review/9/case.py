"""A leave that was acknowledged is forgotten when many processes are killed at the same moment."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
import stand

LATE_S = 3.5  # how late the last status report of the target arrives, after its leave was acknowledged
HOST, PATH = "log.example", "/look/30"


async def case(record):
    zones = stand.ZONES + ["skulte"]
    mesh = stand.Mesh(record, [(it, "logbook") for it in zones] + [(it, "launchdesk") for it in zones])
    targets = [stand.Target(mesh, it, it.fields["service"]) for it in mesh.nodes]
    # 6 of 11 machines: the share of a `herd_kill` is 0.55 at most on this site.
    victims = mesh.controls + mesh.nodes[:3]
    loads = []
    try:
        await mesh.start(["logbook", "launchdesk"], [("r-look", HOST, "/look/", "safe", "logbook", 800)])
        leaving = targets[0]
        requesters = [stand.Requester(mesh, it) for it in mesh.nodes]
        loads = [asyncio.create_task(it.load(15, 20, HOST, PATH)) for it in requesters]
        await asyncio.sleep(4)

        # The last status report is sent, and is held up on its way. Then the target leaves.
        leaving.stop_beats()
        late = leaving.report()
        record.write(f"target {leaving.id}: report {late['sequence']} is sent and is late")
        while await leaving.leave() != 200:
            await asyncio.sleep(0.2)
        acked = record.write(f"target {leaving.id}: the leave is acknowledged; it serves on for many seconds")
        await asyncio.sleep(0.3)

        if stand.TROUBLE:
            # Many processes are killed at the same moment and are back within a second.
            for it in victims:
                it.signal(signal.SIGKILL)
            for it in victims:
                it.process.wait()
            await asyncio.sleep(0.4)
            for it in random.sample(victims, len(victims)):
                it.start()
        started = record.now()
        await asyncio.sleep(max(0, acked + LATE_S - record.now()))
        await leaving.send(late, note=" (late)")
        await asyncio.gather(*loads)

        # In touch: nothing happened to the machines for twice `stability`, which is the longer of the
        # two spans of the rules. `DRAIN` breaks with requests that arrive later than `drain` after the ack.
        calm = started + 2 * stand.STABILITY
        record.write(f"requests count from {max(calm, acked + stand.DRAIN):.3f} on")
        sent = {name: it[0] for requester in requesters for name, it in requester.results.items()}
        return [f"{name} reached {leaving.id} {at - acked:.2f} s after its leave was acknowledged"
                for at, name in leaving.arrivals if sent[name] > calm and at > acked + stand.DRAIN]
    finally:
        for it in loads:
            it.cancel()
        await mesh.end()


stand.main(case)
