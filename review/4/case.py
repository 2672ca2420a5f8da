"""A request crashes each target that begins to run it, while the target writes the answer. The
service is quiet: no other request is in work at that target. The request comes again."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
import mesh as m

HOST = "flightrec.example"
PATH = "/close/2f"
# The time until a crashed target is back ("after some seconds").
BACK_S = 3.0
PAUSE_S = 4.5
COMES = 12


class FragileTarget(m.Target):
    """A target that crashes within its answer to the request PATH."""

    crashes = []  # times of all targets' crashes

    async def run(self, reader, writer, method, path, headers, body):
        if path != PATH or not m.TROUBLE:
            return await super().run(reader, writer, method, path, headers, body)
        name = headers.get("request-id", "")
        await asyncio.sleep(0.05)
        head = f"HTTP/1.1 200 Answer\r\nRequest-Id: {name}\r\nServer-Seal: seal-{name}\r\n"
        writer.write(f"{head}Content-Length: 400\r\n\r\n{'x' * 150}".encode())
        await writer.drain()
        FragileTarget.crashes.append(self.mesh.record.write(f"target {self.id}: crashes"))
        self.restart = asyncio.create_task(self.crash())
        await asyncio.sleep(60)

    async def crash(self):
        await self.stop()
        await asyncio.sleep(BACK_S)
        self.id = f"i-{m.random.randrange(1 << 32):08x}"
        self.seq, self.state, self.born = 0, "ready", int(m.time.time() * 1000)
        self.gate, self.waiting = asyncio.Semaphore(self.slots), 0
        await self.start()


async def case(record):
    m.Target = FragileTarget
    mesh = m.Mesh(record, ["flightrec"] * 3)
    try:
        routes = [("r-close", HOST, "/close/", "unsafe", "flightrec", 600)]
        await mesh.start(m.configuration(3, ["flightrec"], routes))
        requesters = [m.Requester(mesh, it) for it in mesh.nodes]
        for i in range(COMES):
            await requesters[i % 3].send(HOST, PATH, "DELETE", limit_ms=600)
            await asyncio.sleep(PAUSE_S)
        crashes = FragileTarget.crashes
        arrived = {name for target in mesh.targets for _, name in target.arrivals}
        sent = {name: it[0] for r in requesters for name, it in r.results.items()}
        since = crashes[2] + m.STABILITY_S if len(crashes) > 2 else float("inf")
        late = [name for name, at in sent.items() if at > since and name in arrived]
        record.write(f"{len(sent)} requests, {len(arrived)} reach a target, {len(crashes)} crashes")
        if len(late) <= 3:
            return []
        return [f"BUDGET: {it} reaches a target, sent {sent[it] - crashes[2]:.3f} s after the third crash" for it in late]
    finally:
        await mesh.stop()


m.main(case)
