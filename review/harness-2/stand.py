"""A small deployment on loopback for the cases of the second review: the project's own processes,
started with the commands and templates of the deploy file, and stand-ins for targets, requesters
and the operator. Only the standard library is used."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["skulte", "jugla", "imanta"]
HEARTBEAT_S = 1.5
# Bounds of the small site, in seconds.
STABILITY, DRAIN, CONFIG_APPLY, LOSS_SLACK, GRACE = 3.0, 2.0, 2.0, 0.2, 6.0


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file, self.start = open(path, "w", encoding="utf-8"), time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        at = self.now()
        self.file.write(f"{at:9.3f} {text}\n")
        return at


_taken = set()


def free_ports(count):
    """Free ports, for TCP and UDP alike."""
    ports = []
    while len(ports) < count:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            port = random.randrange(20000, 32000)
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            if port not in _taken:
                _taken.add(port)
                ports.append(port)
    return ports


def flatten(fields, prefix=""):
    out = {}
    for key, value in fields.items():
        if isinstance(value, dict):
            out |= flatten(value, prefix + key + ".")
        elif isinstance(value, list):
            out[prefix + key] = ",".join(value)
            out |= {f"{prefix}{key}.{index}": it for index, it in enumerate(value)}
        else:
            out[prefix + key] = str(value).lower() if isinstance(value, bool) else str(value)
    return out


class Machine:
    """A machine with one process of the system."""

    def __init__(self, mesh, role, name, zone, **fields):
        self.mesh, self.role, self.name, self.process = mesh, role, name, None
        self.folder = os.path.join(mesh.folder, name)
        os.makedirs(self.folder)
        ports = free_ports(5)
        address = [f"127.0.0.1:{it}" for it in ports]
        self.control, self.outbound, self.ready, self.app = address[0], address[1], address[2], None
        self.fields = {
            "node": name, "region": "vidzeme", "zone": zone, "ip": "127.0.0.1", "bootstrap": True,
            "listen": {"control": self.control, "outbound": self.outbound, "readyAddr": self.ready},
            "portRange": [str(ports[3]), str(ports[4])], "limits": {"linkMbps": "1000.0"}, **fields,
        }
        if role == "control":
            self.fields["dataDir"] = os.path.join(self.folder, "data")
            os.makedirs(self.fields["dataDir"])
        else:
            self.app = f"127.0.0.1:{free_ports(1)[0]}"

    def start(self):
        """Starts the process with its settings as they are now."""
        text = open(os.path.join(ROOT, self.mesh.roles[self.role]["template"]), encoding="utf-8").read()
        for key, value in flatten(self.fields | {"seeds": self.mesh.seeds}).items():
            text = text.replace("{{" + key + "}}", value)
        assert "{{" not in text, text
        path = os.path.join(self.folder, "settings.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.folder, "log"), "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        command = self.mesh.roles[self.role]["run"].split()
        self.process = subprocess.Popen(command, cwd=ROOT, env=env | {"HEATHERWALK_CONFIG": path},
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.mesh.record.write(f"{self.name}: started as process {self.process.pid}")

    def signal(self, number):
        self.mesh.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()


class Mesh:
    """Three controls and the given nodes, each a (zone, service)."""

    def __init__(self, record, nodes, bootstrap=True):
        self.record, self.folder = record, tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        if not os.access(os.path.join(ROOT, self.roles["node"]["run"].split()[0]), os.X_OK):
            raise CannotRun("the programs are not built")
        self.controls = [Machine(self, "control", f"core-{it}-1", it) for it in ZONES]
        self.seeds = [it.control for it in self.controls]
        self.nodes = [Machine(self, "node", f"sidecar-{zone}-{index}", zone, service=service)
                      for index, (zone, service) in enumerate(nodes, 1)]
        self.targets = []

    def machines(self):
        return self.controls + self.nodes

    async def start(self, services, routes, version=1, **more):
        """Starts all processes and targets, puts the first configuration, and waits until all are ready."""
        for it in self.machines():
            it.start()
            it.fields["bootstrap"] = False
        for it in self.targets:
            await it.start()
        status = await self.put(configuration(version, services, routes, **more), 0)
        if status != 200:
            raise CannotRun(f"the first configuration got {status}")
        await self.wait_ready(self.nodes)
        await asyncio.sleep(2.5)

    async def wait_ready(self, nodes, limit=15):
        until = time.monotonic() + limit
        for it in nodes:
            while True:
                try:
                    if (await call(it.ready, "GET", "/ready")).status == 200:
                        break
                except Exception:
                    pass
                if time.monotonic() > until:
                    raise CannotRun(f"{it.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.write("nodes are ready: " + " ".join(it.name for it in nodes))

    async def put(self, document, base, controls=None, limit=20):
        """Sends a configuration until it is answered, like the operator. Returns the status."""
        until, turn = time.monotonic() + limit, 0
        headers = {"Base-Version": str(base), "Content-Type": "application/json"}
        body = json.dumps(document).encode()
        controls = controls or self.controls
        while time.monotonic() < until:
            to, turn = controls[turn % len(controls)], turn + 1
            try:
                reply = await call(to.control, "PUT", "/v1/document", headers, body)
                self.record.write(f"operator: version {document['version']} at {to.name}: {reply.status} {reply.body[:100]!r}")
                if reply.status in (200, 400, 409, 412, 413, 422):
                    return reply.status
            except Exception as err:
                self.record.write(f"operator: version {document['version']} at {to.name}: {err!r}")
            await asyncio.sleep(0.25)
        return None

    async def get(self, control, timeout=1.0):
        """Reads the configuration; none when the control does not tell."""
        try:
            reply = await call(control.control, "GET", "/v1/document", timeout=timeout)
        except Exception:
            return None
        return json.loads(reply.body) if reply.status == 200 else None

    async def end(self):
        for it in self.targets:
            await it.stop()
        for it in self.machines():
            if it.process and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, services, routes, limits=None, **more):
    """A configuration with routes (name, host, prefix, kind, service or split, timeout in ms)."""
    listed = {}
    for name, host, prefix, kind, goes, timeout in routes:
        goes = {"service": goes} if isinstance(goes, str) else {"split": goes}
        listed[name] = {"host": host, "prefix": prefix, "kind": kind, "timeout": f"{timeout}ms",
                        "objective": "300ms", "priority": 1, "attempts": 2, **goes}
    service = {"health": "/healthz", "connections": 110, "protocol": "h1", "tls": False}
    limits = limits or {"header_limit": 16384, "body_limit": 67108864, "header_time": "3000ms", "idle_time": "15000ms"}
    return {"version": version, "routes": listed, "services": {it: service for it in services}, "limits": limits, **more}


class Reply:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_line(reader):
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise EOFError("closed within a head" if line else "closed without an answer")
    return line.rstrip(b"\r\n").decode("latin-1")


async def read_fields(reader):
    fields = {}
    while line := await read_line(reader):
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return fields


async def read_body(reader, fields, to_end=False):
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while size := int((await read_line(reader)).split(";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await read_fields(reader)
        return body
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if to_end else b""


async def read_reply(reader, method="GET"):
    while True:
        words = (await read_line(reader)).split()
        if len(words) < 2 or not words[0].startswith("HTTP/1."):
            raise ValueError(f"bytes that are no answer: {words!r}")
        fields = await read_fields(reader)
        if int(words[1]) >= 200:
            break
    bodyless = method == "HEAD" or words[1] in ("204", "304")
    return Reply(int(words[1]), fields, b"" if bodyless else await read_body(reader, fields, True))


def encode(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {it}" for name, it in headers.items())]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, headers=None, body=b"", timeout=1.0):
    """One request on a connection of its own."""
    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode(method, path, {"Host": address, **(headers or {})}, body))
            return await read_reply(reader, method)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


class Target:
    """A target. The last part of a path is the work in ms."""

    def __init__(self, mesh, node, service, slots=6, queue=24, id=None, leaves_first=False):
        self.mesh, self.node, self.service, self.slots, self.queue = mesh, node, service, slots, queue
        self.id = id or f"i-{random.randrange(1 << 32):08x}"
        self.seq, self.state, self.born = 0, "ready", int(time.time() * 1000)
        self.server = self.beats = None
        self.gate, self.waiting = asyncio.Semaphore(slots), 0
        self.arrivals, self.runs, self.connections = [], [], set()  # (time, Request-Id)
        mesh.targets.append(self)

    async def start(self):
        host, port = self.node.app.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.beats = asyncio.create_task(self.beat_always())

    def stop_beats(self):
        if self.beats:
            self.beats.cancel()
            self.beats = None

    async def stop(self):
        self.stop_beats()
        if self.server:
            self.server.close()
            self.server = None
        for it in list(self.connections):
            it.transport.abort()

    def report(self):
        self.seq += 1
        return {"service": self.service, "addr": self.node.app, "zone": self.node.fields["zone"], "version": "v1",
                "slots": self.slots, "state": self.state, "warm_in": "0ms", "sequence": self.seq, "born": self.born}

    async def send(self, report, note=""):
        try:
            reply = await call(self.node.control, "POST", f"/announce?of={self.id}",
                               {"Content-Type": "application/json"}, json.dumps(report).encode())
            outcome = reply.status
        except Exception as err:
            outcome = repr(err)
        self.mesh.record.write(f"target {self.id}: report {report['sequence']} {report['state']}{note}: {outcome}")
        return outcome

    async def beat_always(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S if await self.send(self.report()) == 200 else 0.3)

    async def leave(self):
        """Says that it leaves for good. Returns the status."""
        self.mesh.record.write(f"target {self.id}: leave is sent")
        try:
            outcome = (await call(self.node.control, "POST", f"/leave?of={self.id}")).status
        except Exception as err:
            outcome = repr(err)
        self.mesh.record.write(f"target {self.id}: leave: {outcome}")
        return outcome

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        line = await reader.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split()
        fields = await read_fields(reader)
        body = await read_body(reader, fields)
        name = fields.get("request-id", "")
        if path == "/healthz":
            return await self.answer(writer, 200, {"Instance-Id": self.id})
        if fields.get("expect-instance", self.id) != self.id:
            self.mesh.record.write(f"target {self.id}: {name} expects another instance")
            return await self.answer(writer, 421, {"Request-Id": name, "Not-Executed": "1", "Instance-Id": self.id})
        at = self.mesh.record.write(f"target {self.id} ({self.service}): {name} arrives, left={fields.get('deadline-ms')}")
        self.arrivals.append((at, name))
        if self.waiting >= self.queue:
            return await self.answer(writer, 503, {"Request-Id": name, "Not-Executed": "1"})
        self.waiting += 1
        async with self.gate:
            self.waiting -= 1
            self.runs.append((self.mesh.record.write(f"target {self.id}: {name} runs"), name))
            return await self.run(reader, writer, name, method, path, fields, body)

    async def run(self, reader, writer, name, method, path, fields, body):
        work = path.rstrip("/").rsplit("/", 1)[-1]
        await asyncio.sleep(int(work) / 1000 if work.isdigit() else 0.02)
        return await self.answer(writer, 200, {"Request-Id": name, "Server-Seal": f"seal.{name}"}, f"{name} by {self.id}\n".encode())

    async def answer(self, writer, status, headers, body=b""):
        lines = [f"HTTP/1.1 {status} Answer", *(f"{name}: {it}" for name, it in headers.items()), f"Content-Length: {len(body)}"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return True


class Requester:
    """Requests that begin at one machine."""

    def __init__(self, mesh, node):
        self.mesh, self.node, self.results = mesh, node, {}  # Request-Id -> (sent, outcome, body, answered)

    async def send(self, host, path, method="GET", body=b"", limit_ms=800, headers=None):
        name = f"{random.randrange(1 << 64):016x}"
        headers = {"Host": host, "Request-Id": name, "Deadline-Ms": str(limit_ms), **(headers or {})}
        sent = self.mesh.record.write(f"requester at {self.node.name}: {name} {method} {path}")
        self.results[name] = (sent, None, b"", None)
        seal = text = None
        try:
            reply = await call(self.node.outbound, method, path, headers, body, limit_ms / 1000)
            outcome, text, seal = reply.status, reply.body, reply.headers.get("server-seal")
        except Exception as err:
            outcome = repr(err)
        at = self.mesh.record.write(f"requester at {self.node.name}: {name} -> {outcome} seal={seal}")
        self.results[name] = (sent, outcome, text, at)
        return name, outcome, text

    async def load(self, per_s, seconds, *args, **kwargs):
        tasks, until = set(), time.monotonic() + seconds
        while time.monotonic() < until:
            task = asyncio.create_task(self.send(*args, **kwargs))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(per_s))
        if tasks:
            await asyncio.wait(tasks)


def main(case, limit_s=110):
    """Runs a case, which returns the breaks of the rule, and exits with 1, 0 or 2."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))
    try:
        breaks = asyncio.run(asyncio.wait_for(case(record), limit_s))
        for it in breaks[:50]:
            record.write(f"BREAK: {it}")
        text, code = f"{len(breaks)} breaks of the rule; trouble={int(TROUBLE)}", int(bool(breaks))
    except (CannotRun, asyncio.TimeoutError, TimeoutError) as err:
        text, code = f"could not run: {err!r}", 2
    record.write(text)
    record.file.close()
    print(text)
    sys.exit(code)
