"""A small deployment on loopback: the project's programs as separate processes, and stand-ins for
targets, requesters, the operator and the platform. Standard library only.

Each machine has a loopback address of its own, 127.A.Z.N. The programs are started with the commands
of deploy/system.toml and with settings that its templates produce from the fields of DEPLOY.md.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["skulte", "jugla", "imanta"]
REGION = "vidzeme"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the small deployments.
STABILITY_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0
CONFIG_APPLY_S = 2.0
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be set up; nothing is known about the rule."""


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        at = self.now()
        self.file.write(f"{at:9.3f}  {text}\n")
        return at

    def close(self):
        self.file.close()


def render(template, fields):
    """Fills in the placeholders {{a.b}} and {{a.0}} of a settings template."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        if isinstance(found, list):
            return ",".join(str(it) for it in found)
        if isinstance(found, bool):
            return str(found).lower()
        return str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


def free_network(machines, ports):
    """An address prefix and a port for each name, free on all machines."""
    for _ in range(50):
        prefix = f"127.{random.randint(64, 126)}"
        base = random.randint(20000, 30000)
        numbers = {name: base + i for i, name in enumerate(ports)}
        sockets = []
        try:
            for machine in machines:
                for number in numbers.values():
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        it = socket.socket(socket.AF_INET, kind)
                        sockets.append(it)
                        it.bind((f"{prefix}.{machine}", number))
            return prefix, numbers
        except OSError:
            continue
        finally:
            for it in sockets:
                it.close()
    raise CannotRun("no free ports")


class Program:
    """One of the project's programs on one machine, restarted only when the case says so."""

    def __init__(self, mesh, name, role, fields):
        self.mesh, self.name, self.role, self.fields = mesh, name, role, fields
        self.process = None
        self.log = os.path.join(mesh.folder, f"{name}.log")
        self.started = None

    def start(self, bootstrap=False):
        spec = mesh_spec()["roles"][self.role]
        with open(os.path.join(ROOT, spec["template"]), encoding="utf-8") as file:
            text = render(file.read(), {**self.fields, "bootstrap": bootstrap})
        settings = os.path.join(self.mesh.folder, f"{self.name}.conf")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        words = spec["run"].split()
        command = [os.path.join(ROOT, words[0]), *words[1:]]
        environment = {"PATH": os.environ.get("PATH", ""), "HEATHERWALK_CONFIG": settings}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.started = self.mesh.record.write(f"platform: start {self.name} pid={self.process.pid}")

    def signal(self, number):
        self.mesh.record.write(f"platform: {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def running(self):
        return self.process is not None and self.process.poll() is None


def mesh_spec():
    """The roles of the deploy file, whose values are texts on lines of their own."""
    roles, role = {}, {}
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            if match := re.match(r"\[roles\.(\w+)\]", line):
                role = roles.setdefault(match.group(1), {})
            elif match := re.match(r'(\w+) = "([^"]*)"', line):
                role[match.group(1)] = match.group(2)
    return {"roles": roles}


class Mesh:
    """Three controls, and one node with one target for each entry of `services`."""

    def __init__(self, record, services, data=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="heatherwalk-review-")
        machines = [f"{z}.{n}" for z in range(1, 4) for n in range(1, 2 + len(services))]
        names = ["app", "inbound", "outbound", "ready", "control", "first", "last"]
        self.prefix, self.ports = free_network(machines, names)
        self.controls, self.nodes, self.targets = [], [], []
        ip = lambda zone, number: f"{self.prefix}.{zone + 1}.{number}"
        self.seeds = [f"{ip(z, 1)}:{self.ports['control']}" for z in range(3)]
        for zone in range(3):
            self.controls.append(self.program(f"core-{ZONES[zone]}-1", "control", zone, ip(zone, 1)))
        for i, service in enumerate(services):
            zone, number = i % 3, 2 + i // 3
            name = f"sidecar-{ZONES[zone]}-{number - 1}"
            node = self.program(name, "node", zone, ip(zone, number), service)
            self.nodes.append(node)
            self.targets.append(Target(self, node, service))

    def program(self, name, role, zone, ip, service=""):
        port = lambda it: f"{ip}:{self.ports[it]}"
        fields = {
            "node": name, "role": role, "class": "core" if role == "control" else "sidecar",
            "ip": ip, "zone": ZONES[zone], "region": REGION, "seeds": self.seeds,
            "listen": {it: port(it) for it in ("inbound", "outbound", "control")}
            | {"readyAddr": port("ready")},
            "portRange": [self.ports["first"], self.ports["last"]],
            "limits": {"linkMbps": 1000.0}, "service": service, "appAddr": port("app"),
        }
        if role == "control":
            fields["dataDir"] = os.path.join(self.folder, f"data-{name}")
        return Program(self, name, role, fields)

    async def start(self, configuration):
        """Starts everything, sends the first configuration, and waits until each node serves."""
        binary = mesh_spec()["roles"]["node"]["run"].split()[0]
        if not os.path.exists(os.path.join(ROOT, binary)):
            raise CannotRun(f"{binary} is not built")
        for it in self.controls + self.nodes:
            it.start(bootstrap=True)
        await self.put(configuration, 0)
        for target in self.targets:
            await target.start()
        for node in self.nodes:
            await self.wait_ready(node)
        await asyncio.sleep(STABILITY_S + 1)

    async def wait_ready(self, node, limit=20):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.is_ready(node):
                return self.record.write(f"platform: {node.name} is ready")
            await asyncio.sleep(0.1)
        raise CannotRun(f"{node.name} is not ready within {limit} s")

    async def is_ready(self, node):
        address = node.fields["listen"]["readyAddr"]
        try:
            reply = await call(address, "GET", "/ready", timeout=1)
            return reply.status == 200
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            return False

    async def put(self, configuration, base, limit=20, control=None):
        """Sends a configuration, as the operator does, until it is answered. Returns the status."""
        body = json.dumps(configuration).encode()
        headers = {"Base-Version": str(base), "Content-Type": "application/json"}
        until = time.monotonic() + limit
        attempt = 0
        while time.monotonic() < until:
            to = control or self.controls[attempt % len(self.controls)]
            attempt += 1
            version = configuration["version"]
            self.record.write(f"operator: put version {version} on {base} to {to.name}")
            try:
                address = to.fields["listen"]["control"]
                reply = await call(address, "PUT", "/v1/document", headers, body, timeout=1)
            except (OSError, EOFError, asyncio.TimeoutError, ValueError) as err:
                self.record.write(f"operator: no answer from {to.name}: {err!r}")
                await asyncio.sleep(0.3)
                continue
            self.record.write(f"operator: {to.name} answers {reply.status} {reply.body[:120]!r}")
            if reply.status in (200, 400, 409, 412, 413, 422):
                return reply.status
            await asyncio.sleep(0.3)
        raise CannotRun("no answer to a configuration")

    async def get(self, control, timeout=1):
        """Reads the configuration from a control; none when it does not tell."""
        try:
            address = control.fields["listen"]["control"]
            reply = await call(address, "GET", "/v1/document", timeout=timeout)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            return None
        return json.loads(reply.body) if reply.status == 200 else None

    async def stop(self):
        for it in self.targets:
            await it.stop()
        for it in self.controls + self.nodes:
            if it.running():
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Reply:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def read_reply(reader, method):
    """Reads one answer. Raises EOFError when the connection ends before its end."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError("closed without an answer")
        words = line.split()
        if len(words) < 2 or not words[0].startswith(b"HTTP/1."):
            raise ValueError(f"not an answer: {line!r}")
        status = int(words[1])
        headers = await read_fields(reader)
        if status >= 200:
            break
    if method == "HEAD" or status in (204, 304):
        return Reply(status, headers, b"", True)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except asyncio.IncompleteReadError as err:
            raise EOFError("the answer ended early") from err
    else:
        body = await reader.read()
    return Reply(status, headers, body, True)


async def read_fields(reader):
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n"):
            return headers
        if not line.endswith(b"\n"):
            raise EOFError("closed within a head")
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_chunks(reader):
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError("closed within a body")
        size = int(line.split(b";")[0], 16)
        if size == 0:
            await read_fields(reader)
            return body
        try:
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        except asyncio.IncompleteReadError as err:
            raise EOFError("closed within a body") from err


def encode_request(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {it}" for name, it in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, headers=None, body=b"", timeout=1.0):
    """One request on a new connection."""
    host, port = address.rsplit(":", 1)
    headers = {"Host": address, **(headers or {})}

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode_request(method, path, headers, body))
            return await read_reply(reader, method)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Target:
    """A target: runs requests in its slots, queues a few more, and reports its status.

    The last part of the path of a request is the work in milliseconds.
    """

    def __init__(self, mesh, node, service, slots=6, queue=24):
        self.mesh, self.node, self.service, self.slots, self.queue = mesh, node, service, slots, queue
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.seq, self.state = 0, "ready"
        self.born = int(time.time() * 1000)
        self.server, self.beats = None, None
        self.gate = asyncio.Semaphore(slots)
        self.waiting = 0
        self.arrivals = []  # (time, request ID)
        self.runs = []  # (time, request ID)
        self.connections = set()
        self.answer_hook = None

    @property
    def address(self):
        return self.node.fields["appAddr"]

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.beats = asyncio.create_task(self.report_always())

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
            self.server = None
        for it in list(self.connections):
            it.transport.abort()

    def report(self):
        """The next status report."""
        self.seq += 1
        zone = self.node.fields["zone"]
        return {
            "service": self.service, "addr": self.address, "zone": zone, "version": "v1",
            "slots": self.slots, "state": self.state, "warm_in": "0ms", "sequence": self.seq,
            "born": self.born,
        }

    async def send_report(self, report, note=""):
        address = self.node.fields["listen"]["control"]
        headers = {"Content-Type": "application/json"}
        text = f"state={report['state']} sequence={report['sequence']}{note}"
        try:
            body = json.dumps(report).encode()
            reply = await call(address, "POST", f"/announce?of={self.id}", headers, body)
            self.mesh.record.write(f"target {self.id}: report {text}: {reply.status}")
            return reply.status
        except (OSError, EOFError, asyncio.TimeoutError, ValueError) as err:
            self.mesh.record.write(f"target {self.id}: report {text}: {err!r}")
            return None

    async def report_always(self):
        while True:
            status = await self.send_report(self.report())
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def leave(self):
        address = self.node.fields["listen"]["control"]
        self.mesh.record.write(f"target {self.id}: leave is sent")
        reply = await call(address, "POST", f"/leave?of={self.id}", timeout=1)
        return self.mesh.record.write(f"target {self.id}: leave: {reply.status}"), reply.status

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        line = await reader.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split()
        headers = await read_fields(reader)
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        if path == "/healthz":
            await self.answer(writer, 200, {"Instance-Id": self.id}, b"")
            return True
        name = headers.get("request-id", "")
        at = self.mesh.record.write(
            f"target {self.id} ({self.service}): {name} arrives, left={headers.get('deadline-ms')}"
        )
        expected = headers.get("expect-instance")
        if expected and expected != self.id:
            await self.answer(writer, 421, {"Request-Id": name, "Not-Executed": "1"}, b"")
            return True
        self.arrivals.append((at, name))
        if self.waiting >= self.queue:
            await self.answer(writer, 503, {"Request-Id": name, "Not-Executed": "1"}, b"")
            return True
        self.waiting += 1
        async with self.gate:
            self.waiting -= 1
            at = self.mesh.record.write(f"target {self.id}: {name} runs")
            self.runs.append((at, name))
            return await self.run(reader, writer, method, path, headers, body)

    async def run(self, reader, writer, method, path, headers, body):
        name = headers.get("request-id", "")
        work = path.split("?")[0].rstrip("/").rsplit("/", 1)[-1]
        await asyncio.sleep(int(work) / 1000 if work.isdigit() else 0.02)
        text = f"{name} of {self.id}\n".encode()
        await self.answer(writer, 200, {"Request-Id": name, "Server-Seal": f"seal-{name}"}, text)
        return True

    async def answer(self, writer, status, headers, body):
        lines = [f"HTTP/1.1 {status} Answer"] + [f"{name}: {it}" for name, it in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()


class Requester:
    """Sends requests to a node, each on a new connection, and records the answers."""

    def __init__(self, mesh, node):
        self.mesh, self.node = mesh, node
        self.results = {}  # request ID -> (time sent, status or error, body)

    async def send(self, host, path, method="GET", body=b"", limit_ms=800):
        name = f"{random.randrange(1 << 64):016x}"
        headers = {"Host": host, "Request-Id": name, "Deadline-Ms": str(limit_ms)}
        sent = self.mesh.record.write(f"requester at {self.node.name}: {name} {method} {path}")
        try:
            address = self.node.fields["listen"]["outbound"]
            reply = await call(address, method, path, headers, body, limit_ms / 1000)
            outcome, text = reply.status, reply.body
            retry = reply.headers.get("retry-after")
            seal = reply.headers.get("server-seal")
        except (OSError, EOFError, asyncio.TimeoutError, ValueError) as err:
            outcome, text, retry, seal = repr(err), b"", None, None
        self.mesh.record.write(f"requester at {self.node.name}: {name} -> {outcome} seal={seal} retry-after={retry}")
        self.results[name] = (sent, outcome, text)
        return name, outcome, text

    async def load(self, per_s, seconds, host, path, method="GET", body=b"", limit_ms=800):
        """An open load of so many requests a second."""
        tasks, until = set(), time.monotonic() + seconds
        while time.monotonic() < until:
            task = asyncio.create_task(self.send(host, path, method, body, limit_ms))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(per_s))
        if tasks:
            await asyncio.wait(tasks)


def configuration(version, services, routes, **limits):
    """A configuration; `routes` are (name, host, prefix, kind, service or split, timeout ms)."""
    listed = {}
    for name, host, prefix, kind, service, timeout in routes:
        goes = {"service": service} if isinstance(service, str) else {"split": service}
        listed[name] = {
            "host": host, "prefix": prefix, "kind": kind, "timeout": f"{timeout}ms",
            "objective": f"{min(300, timeout)}ms", "priority": 1, "attempts": 2, **goes,
        }
    service = {"health": "/healthz", "connections": 110, "protocol": "h1", "tls": False}
    return {
        "version": version, "routes": listed, "services": {it: service for it in services},
        "limits": {"header_limit": 16384, "body_limit": 1048576, "header_time": "3000ms",
                   "idle_time": "15000ms"} | limits,
    }


def main(case, limit_s=110):
    """Runs a case. It returns a list of the breaks of the rule; the exit code tells the result."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    code = 2
    try:
        breaks = asyncio.run(asyncio.wait_for(case(record), limit_s))
        for it in breaks[:40]:
            record.write(f"BREAK: {it}")
        record.write(f"result: {len(breaks)} breaks, trouble={int(TROUBLE)}")
        print(f"{len(breaks)} breaks of the rule; trouble={int(TROUBLE)}")
        code = 1 if breaks else 0
    except CannotRun as err:
        record.write(f"could not run: {err}")
        print(f"could not run: {err}")
    except (asyncio.TimeoutError, TimeoutError):
        record.write("could not run: no time left")
        print("could not run: no time left")
    record.close()
    sys.exit(code)
