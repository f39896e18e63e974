"""A small deployment on loopback addresses for the cases of this review.

Starts the project's own programs with the commands of deploy/system.toml, each machine under a loopback address of its
own, and offers stand-ins that follow PROTOCOL.md: servers, an operator and clients.
"""
import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ("windhoek-north", "windhoek-south", "okahandja")
ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError)
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"

# Values of the site tulonga-trays; see DEPLOY.md, "Settings of a process".
SETTINGS = """
node = "{name}"
role = "{role}"
class = "{kind}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "khomas"
internal-ports = [7340,7355]
seeds = [{seeds}]
bootstrap = {bootstrap}
counts-as-loss = {counts}
discovery = "registry"
entry = "vip"
heartbeat-interval-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","experts"]
config-mode = "highest"
{data}
[zones]
windhoek-north = "khomas"
windhoek-south = "khomas"
okahandja = "khomas"
[listen]
{listen}
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {memory}
max-fds = 4100
link-mbps = 1000.0
disk-mb = {disk}
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-skew-ms = 5000
strict-revoke = false
revoke-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-budget-slack = 92
cold-overrun = 1.5
cold-slack = 5
evac-ms = 5000
recover-s = 12
event-delay-ms = 120
retry-after-s = 0
stall_ms = 1500
fence-enforced = false
"""
FRONT_PORT, READY_PORT, CONTROL_PORT, SERVER_PORT = 8227, 8220, 8229, 8080
MEMORY_MB = {"front": 260, "coordinator": 256}


class CannotRun(Exception):
    """The case could not be set up; says nothing of the rule."""


class Stage:
    """Machines of a deployment, and a record of what happened."""

    def __init__(self, case, fronts=2, cores=3):
        self.case = pathlib.Path(case).resolve().parent
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figcleat-review-"))
        self.began = time.monotonic()
        self.record = open(self.case / "record.txt", "w", buffering=1)
        self.net = self.free_net()
        self.processes, self.tasks, self.servers = {}, [], []
        with open(ROOT / "deploy/system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        if not (ROOT / self.commands["front"][0]).is_file():
            raise CannotRun(f"{self.commands['front'][0]} is missing; run the build of deploy/system.toml")
        self.nodes = {}
        for i in range(cores):
            self.nodes[f"core-{i + 1}"] = ("coordinator", f"{self.net}.{11 + i}", ZONES[i % 3])
        for i in range(fronts):
            self.nodes[f"edge-{i + 1}"] = ("front", f"{self.net}.{31 + i}", ZONES[i % 3])
        self.cores = [name for name in self.nodes if name.startswith("core")]
        self.fronts = [name for name in self.nodes if name.startswith("edge")]
        self.number = 0

    @staticmethod
    def free_net():
        """The first three numbers of loopback addresses that nothing listens on."""
        for _ in range(50):
            net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            with contextlib.suppress(OSError):
                for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, SERVER_PORT, 9464, *range(7340, 7356)):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.11", port))
                return net
        raise CannotRun("no free ports")

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        line = f"{self.now():8.3f} {text}"
        self.record.write(line + "\n")
        return line

    def say(self, text):
        print(self.note(text), flush=True)

    # Machines.

    def ip(self, name):
        return self.nodes[name][1]

    def start(self, name, first=False):
        role, ip, zone = self.nodes[name]
        isCore = role == "coordinator"
        data = self.folder / name / "data"
        data.mkdir(parents=True, exist_ok=True)
        listen = f'control = "{ip}:{CONTROL_PORT}"' if isCore else \
            f'front = "{ip}:{FRONT_PORT}"\nready = "{ip}:{READY_PORT}"'
        settings = self.folder / name / "node.toml"
        settings.write_text(SETTINGS.format(
            name=name, role=role, kind="core" if isCore else "edge", serves="ctl" if isCore else "edge", ip=ip,
            zone=zone, seeds=",".join(f'"{self.ip(core)}:{CONTROL_PORT}"' for core in self.cores[:3]),
            bootstrap="true" if first else "false", counts="true" if isCore else "false",
            data=f'data-dir = "{data}"' if isCore else "", listen=listen, memory=MEMORY_MB[role],
            disk=128 if isCore else 0))
        log = open(self.folder / f"{name}.log", "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FIGCLEAT_CONFIG"] = str(settings)
        self.processes[name] = subprocess.Popen(self.commands[role], cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.note(f"start {name}")

    def kill(self, name):
        process = self.processes[name]
        process.kill()
        process.wait()
        self.note(f"kill {name}")

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record.close()

    # Calls of the platform.

    async def operator(self, method, path, body=b"", seconds=10, first=None):
        """Sends an order until a node acknowledges it; returns the answer's body and the node's name."""
        end = time.monotonic() + seconds
        order = list(self.cores)
        random.shuffle(order)
        if first is not None:
            order.remove(first)
            order.insert(0, first)
        while time.monotonic() < end:
            for name in order:
                status, answer, node = await self.control(name, method, path, body)
                if status == 200:
                    return answer, node
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"{method} {path} got {status} {answer[:200]!r}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"{method} {path} was not acknowledged")

    async def control(self, name, method, path, body=b""):
        """One call of a node that serves control, which may redirect it twice."""
        ip = self.ip(name)
        for _ in range(3):
            try:
                status, headers, answer = await call((ip, CONTROL_PORT), method, path, {}, body, seconds=1.0)
            except ERRORS:
                return 0, b"", name
            if status != 307:
                return status, answer, name
            ip = headers["location"].split("//")[1].split(":")[0]
            name = next(one for one in self.cores if self.ip(one) == ip)
        return 0, b"", name

    async def ready(self, name):
        with contextlib.suppress(*ERRORS):
            status, _, _ = await call((self.ip(name), READY_PORT), "GET", "/-/readyz", {}, b"", seconds=1.0)
            return status == 200
        return False

    async def open(self, services, routes, tenants=None):
        """Starts all machines and servers, sends the first configuration, and waits until the fronts are ready."""
        for name in self.nodes:
            self.start(name, first=True)
        for server in self.servers:
            await server.open()
            self.tasks.append(asyncio.create_task(server.beat()))
        await asyncio.sleep(1.0)
        self.configuration = {
            "version": 7, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": tenants or [{"name": "hule930", "api-keys": [KEY], "priority": 1}]}
        _, node = await self.operator("PUT", "/-/config", json.dumps(self.configuration).encode(), seconds=20)
        self.note(f"configuration 7 acknowledged by {node}")
        end = time.monotonic() + 15
        while not all([await self.ready(name) for name in self.fronts]):
            if time.monotonic() > end:
                raise CannotRun("the fronts do not get ready")
            await asyncio.sleep(0.2)
        self.note("all fronts are ready")

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in self.servers:
            server.close()

    def next_id(self):
        self.number += 1
        return f"{self.number:08x}{random.getrandbits(32):08x}"


def stop_early(*_):
    raise CannotRun("stopped by a signal")


def run(case, play, **size):
    """Plays a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    stage = None
    result = NOT_RUN
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop_early)
    try:
        stage = Stage(case, **size)
        stage.say(f"TROUBLE={1 if TROUBLE else 0}")
        result = asyncio.run(bounded(stage, play))
        stage.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}[result])
    except CannotRun as problem:
        print(f"cannot run: {problem}", flush=True)
        if stage:
            stage.note(f"cannot run: {problem}")
    except Exception:
        # A mistake of the case, not of what it tests.
        traceback.print_exc()
    finally:
        if stage:
            stage.stop_all()
            if os.environ.get("KEEP"):
                print("logs:", stage.folder)
            else:
                shutil.rmtree(stage.folder, ignore_errors=True)
    sys.stdout.flush()
    # Without the farewell of connections that are still open.
    os._exit(result)


async def bounded(stage, play):
    try:
        async with asyncio.timeout(110):
            return await play(stage)
    except TimeoutError as late:
        raise CannotRun("took too long") from late
    finally:
        await stage.close()


# HTTP.

async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n"))[:-4].decode("latin-1").split("\r\n")
    return lines[0].split(" ", 2), {name.strip().lower(): value.strip()
                                    for name, _, value in (line.partition(":") for line in lines[1:])}


async def read_body(reader, headers, status=None):
    if status in (204, 304):
        return b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if status is not None else b""


def head(first, headers):
    return (first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n").encode()


async def call(address, method, path, headers, body, seconds):
    """One request on a connection of its own; returns status, headers and body of the whole answer."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(*address)
        try:
            headers = {"Host": f"{address[0]}:{address[1]}", **headers, "Content-Length": len(body)}
            if body and "Content-Type" not in headers:
                headers["Content-Type"] = "application/json"
            writer.write(head(f"{method} {path} HTTP/1.1", headers) + body)
            await writer.drain()
            (_, status, *_), answered = await read_head(reader)
            return int(status), answered, await read_body(reader, answered, int(status))
        finally:
            writer.close()


class Server:
    """A sound server of a plain service: registers itself, runs requests in its slots, and rejects what it can't."""

    def __init__(self, stage, index, service, work_s=0.015, slots=6):
        self.stage, self.service, self.work_s, self.slots = stage, service, work_s, slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.zone = ZONES[index % 3]
        self.address = (f"{stage.net}.{51 + index}", SERVER_PORT)
        self.born, self.seq, self.state, self.leaving, self.running = int(time.time() * 1000), 0, "ready", False, 0
        self.writers = set()
        stage.servers.append(self)

    async def open(self):
        self.listener = await asyncio.start_server(self.serve, *self.address, backlog=1024)

    def close(self):
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.close()

    def message(self, **more):
        self.seq += 1
        return json.dumps({"service": self.service, "addr": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                           "slots": self.slots, "state": self.state, "cold-left-ms": 0, "seq": self.seq,
                           "born": self.born, **more}).encode()

    async def beat(self):
        while self.state != "gone":
            for name in random.sample(self.stage.cores, len(self.stage.cores)):
                if self.state == "gone":
                    return
                status, _, _ = await self.stage.control(name, "PUT", f"/-/instances/{self.id}", self.message())
                if status // 100 == 2:
                    break
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            (method, path, _), headers = await read_head(reader)
            body = await read_body(reader, headers)
            await self.answer(writer, method, path, headers, body)
        except ERRORS:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, method, path, headers, body):
        request = headers.get("x-figcleat-attempt-id", "")
        common = {"X-Figcleat-Attempt-Id": request, "X-Figcleat-Instance-Id": self.id,
                  "X-Figcleat-Server-Load": f"{self.running},0,{self.slots}", "Connection": "close"}
        if self.leaving:
            common["Server-Leaving"] = "1"
        wanted = headers.get("x-figcleat-expect-instance")
        if wanted not in (None, self.id):
            writer.write(head("HTTP/1.1 421 Misdirected Request", {**common, "Content-Length": 0}))
            return
        if path == "/healthz":
            writer.write(head("HTTP/1.1 503 Leaving" if self.leaving else "HTTP/1.1 200 OK",
                              {**common, "Content-Length": 0}))
            return
        if self.running >= 4 * self.slots:
            writer.write(head("HTTP/1.1 503 Busy", {**common, "X-Figcleat-Not-Executed": "1", "Content-Length": 0}))
            return
        self.running += 1
        try:
            self.on_run(request, method, path, headers, body)
            await asyncio.sleep(self.work_s)
            answer = f"done {request}".encode()
            writer.write(head("HTTP/1.1 200 OK", {**common, "X-Figcleat-Server-Seal": f"{self.id}.{request}",
                                                  "Content-Length": len(answer)}) + answer)
            await writer.drain()
        finally:
            self.running -= 1

    def on_run(self, request, method, path, headers, body):
        self.stage.note(f"run {request} {method} {path} at {self.id}")


class Machine:
    """Runs one model server as a process and starts it again some seconds after it has crashed."""

    def __init__(self, stage, index, events, service, back_s):
        self.stage, self.index, self.events, self.service, self.back_s = stage, index, events, service, back_s
        self.id = f"i-{random.getrandbits(32):08x}"
        self.process = None

    async def keep(self):
        stage = self.stage
        cores = [stage.ip(name) for name in stage.cores]
        while True:
            random.shuffle(cores)
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", str(pathlib.Path(__file__).resolve().parent / "model_server.py"), self.id,
                f"{stage.net}.{51 + self.index}", str(SERVER_PORT), str(int(time.time() * 1000)), self.service,
                ZONES[self.index % 3], ",".join(cores), stdout=asyncio.subprocess.PIPE)
            async for line in self.process.stdout:
                text = line.decode().strip()
                stage.note(f"{self.id} {text}")
                self.events.append((time.monotonic(), self.id, *text.split()))
            await self.process.wait()
            stage.note(f"{self.id} is down")
            await asyncio.sleep(self.back_s)

    async def end(self):
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


@contextlib.asynccontextmanager
async def model_servers(stage, count, service, back_s):
    """Runs model servers; yields them and what they say of their requests."""
    events = []
    machines = [Machine(stage, i, events, service, back_s) for i in range(count)]
    keepers = [asyncio.create_task(one.keep()) for one in machines]
    try:
        yield machines, events
    finally:
        for one in keepers:
            one.cancel()
        await asyncio.gather(*keepers, return_exceptions=True)
        for one in machines:
            await one.end()


def route(name, kind, service, prefix, **more):
    return {"name": name, "host": HOST, "path-prefix": prefix, "type": kind, "timeout-ms": 800, "goal-ms": 100,
            "priority": 2, "service": service, "attempts": 2 if kind == "safe" else 1, "public": False, "sticky": False,
            "resumable": False, **more}


def service(name, max_conns=110):
    return {"name": name, "health-path": "/healthz", "max-conns": max_conns, "proto": "h1", "tls": False, "cold-s": 0.0,
            "cold-per-s": 0.0}


def client_headers(request, deadline_ms=1500, key=KEY):
    return {"Host": HOST, "X-Figcleat-Attempt-Id": request, "X-Figcleat-Deadline-Ms": deadline_ms,
            "Authorization": f"Bearer {key}"}
