"""A request of one caller crashes each target that begins to run it. Requests with the same path,
but of another caller, are answered meanwhile. The crashing request comes again every few seconds."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
import mesh as m

HOST = "flightrec.example"
PATH = "/close/2f"
# The caller whose request crashes targets, and the time until a crashed target is back.
CRASHING_CALLER = "launchdesk"
BACK_S = 3.0
PAUSE_S = 4.5
COMES = 12


class FragileTarget(m.Target):
    """A target that crashes when it begins to run the request PATH of CRASHING_CALLER."""

    crashes = []  # times of all targets' crashes

    async def run(self, reader, writer, method, path, headers, body):
        caller = headers.get("caller-service")
        if path == PATH and caller == CRASHING_CALLER:
            at = self.mesh.record.write(f"target {self.id}: crashes")
            FragileTarget.crashes.append(at)
            self.restart = asyncio.create_task(self.crash())
            await asyncio.sleep(60)
        return await super().run(reader, writer, method, path, headers, body)

    async def crash(self):
        await self.stop()
        await asyncio.sleep(BACK_S)
        self.id = f"i-{m.random.randrange(1 << 32):08x}"
        self.seq, self.state, self.born = 0, "ready", int(m.time.time() * 1000)
        self.gate, self.waiting = asyncio.Semaphore(self.slots), 0
        await self.start()


async def case(record):
    m.Target = FragileTarget
    mesh = m.Mesh(record, ["flightrec"] * 3 + ["launchdesk", "logbook", "launchdesk"])
    try:
        routes = [("r-close", HOST, "/close/", "unsafe", "flightrec", 600)]
        services = ["flightrec", "launchdesk", "logbook"]
        await mesh.start(m.configuration(3, services, routes))
        crashing = [m.Requester(mesh, mesh.nodes[i]) for i in (3, 5)]
        other = m.Requester(mesh, mesh.nodes[4])
        length = COMES * PAUSE_S + 2
        loads = [
            asyncio.create_task(other.load(4, length, HOST, PATH, "DELETE", limit_ms=600)),
        ]
        # Other unsafe requests, near each target.
        near = [m.Requester(mesh, it) for it in mesh.nodes[:3]]
        for it in near:
            load = it.load(15, length, HOST, "/close/150", "DELETE", limit_ms=600)
            loads.append(asyncio.create_task(load))
        await asyncio.sleep(1)
        for i in range(COMES if m.TROUBLE else 0):
            await crashing[i % 2].send(HOST, PATH, "DELETE", limit_ms=600)
            await asyncio.sleep(PAUSE_S)
        await asyncio.wait(loads)
        crashes = FragileTarget.crashes
        arrived = {name: at for target in mesh.targets for at, name in target.arrivals}
        sent = {name: it[0] for r in crashing for name, it in r.results.items()}
        since = crashes[2] + m.STABILITY_S if len(crashes) > 2 else float("inf")
        late = [name for name, at in sent.items() if at > since and name in arrived]
        others = [it for r in [other, *near] for it in r.results.values()]
        failed = sum(1 for it in others if it[1] not in (200, 503))
        record.write(
            f"{len(sent)} crashing requests, {len(crashes)} crashes; other requests: "
            f"{len(others)}, of these {failed} unsafe ones with unknown outcome"
        )
        if len(late) <= 3:
            return []
        return [f"BUDGET: {it} reaches a target, sent {sent[it] - crashes[2]:.3f} s after the third crash" for it in late]
    finally:
        await mesh.stop()


m.main(case)
