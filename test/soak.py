"""Randomized faults on the platform's program: real processes, faults from outside, and the promises checked meanwhile.

    python3 test/soak.py --build build --seed 1 --runs 50

Each run starts three coordinators and two fronts on loopback. Targets, the proxies before them and callers live in this
process. A violation is printed with its seed, and ends the command with status 1.
"""
import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from processes import ROOT, node_settings

FAULT_SECONDS = 6.0
CALM_SECONDS = 4.0
CALLERS = 8
STREAM_EVENTS = 6
ZONES = ("north", "south", "west")


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    return lines[0].split(" "), headers


async def read_body(reader, headers):
    """Body of a message with a length or in chunks; IncompleteReadError if it ends early."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


class Target:
    """A server that records which requests it ran, behind a proxy that spoils its connections."""

    def __init__(self, world, name, service):
        self.world, self.name, self.service = world, name, service
        self.mode, self.beats, self.state = "pass", 0, "ready"
        self.started = int(time.time() * 1000)

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.proxy = await asyncio.start_server(self.relay, "127.0.0.1", 0)
        self.port = self.proxy.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            (_, path, _), headers = parse_head((await reader.readuntil(b"\r\n\r\n"))[:-4])
            await read_body(reader, headers)
            request = headers["x-figcleat-attempt-id"]
            common = (f"X-Figcleat-Attempt-Id: {request}\r\nX-Figcleat-Server-Seal: {self.name}\r\n"
                      "Connection: close\r\n")
            if headers.get("x-figcleat-expect-instance") != self.name or self.world.random.random() < 0.02:
                writer.write(f"HTTP/1.1 503 Busy\r\nX-Figcleat-Not-Executed: 1\r\nContent-Length: 0\r\n{common}\r\n"
                             .encode())
            else:
                self.world.runs.setdefault(request, []).append(self.name)
                await asyncio.sleep(self.world.random.uniform(0.001, 0.03))
                if path.startswith("/feed/"):
                    await self.stream(writer, request, int(headers.get("last-event-id", 0)), common)
                else:
                    body = f"done {request}"
                    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{common}\r\n{body}".encode())
            await writer.drain()
        writer.close()

    async def stream(self, writer, request, last, common):
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{common}\r\n"
                     .encode())
        for number in range(last + 1, STREAM_EVENTS + 1):
            event = f"id: {number}\ndata: {request}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    async def relay(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            inner = await asyncio.open_connection("127.0.0.1", self.server.sockets[0].getsockname()[1])
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, inner[1], writer, False), self.pump(inner[0], writer, writer, True))

    async def pump(self, reader, writer, outer, is_answer):
        with contextlib.suppress(OSError):
            while data := await reader.read(4096):
                mode = self.mode
                if mode == "silent" or (mode == "one-way" and is_answer):
                    continue
                if mode == "delay":
                    await asyncio.sleep(self.world.random.uniform(0.05, 0.3))
                if mode == "break" and is_answer:
                    outer.transport.abort()
                    return
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()

    async def beat(self):
        while True:
            self.beats += 1
            body = {"service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": "north", "version": "v1",
                    "slots": 8, "state": self.state, "cold-left-ms": 0, "seq": self.beats, "born": self.started}
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await self.world.control("PUT", f"/-/instances/{self.name}", json.dumps(body))
            await asyncio.sleep(0.4)


class World:
    def __init__(self, build, seed, base_port):
        self.build, self.seed, self.base_port = pathlib.Path(build).resolve(), seed, base_port
        self.random = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figcleat-soak-"))
        self.nodes = {f"core-{i}": f"127.0.1.{i}" for i in (1, 2, 3)} | {f"front-{i}": f"127.0.1.{10 + i}" for i in (1, 2)}
        self.processes, self.runs, self.ended, self.violations, self.faults = {}, {}, [], [], []
        self.acknowledged = self.sent = 0
        self.calm = False

    def violate(self, what):
        self.violations.append(f"seed {self.seed}: {what}")

    # Processes.

    def start(self, name, first=False):
        ip, zone = self.nodes[name], ZONES[int(name[-1]) % 3]
        data = self.folder / f"{name}-data"
        data.mkdir(exist_ok=True)
        ports = range(self.base_port, self.base_port + 4)
        path = self.folder / f"{name}.toml"
        path.write_text(node_settings(ports, ZONES, first, name=name, ip=ip, zone=zone, folder=data, tolerated=1,
                                      seeds=",".join(f'"127.0.1.{i}:{ports[3]}"' for i in (1, 2, 3))))
        role = "front" if name.startswith("front") else "coordinator"
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([self.build / "figcleat-node", role, "--settings", path],
                                                    stdout=log, stderr=log)

    async def stop(self, name):
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 9
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        if process.poll() != 0:
            self.violate(f"{name} ended with {process.poll()} after SIGTERM")
            process.kill()
        process.wait()

    # Calls.

    async def exchange(self, ip, port, method, path, body="", headers=None, timeout=4.0):
        async def talk():
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}", "Host: desk.example",
                         *(f"{name}: {value}" for name, value in (headers or {}).items())]
                writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
                (_, status, *_), answered = parse_head((await reader.readuntil(b"\r\n\r\n"))[:-4])
                return int(status), answered, (await read_body(reader, answered)).decode()
            finally:
                writer.close()
        return await asyncio.wait_for(talk(), timeout)

    async def control(self, method, path, body=""):
        """A call to some coordinator, which may name another one."""
        ip = self.nodes[f"core-{self.random.randint(1, 3)}"]
        for _ in range(3):
            answer = await self.exchange(ip, self.base_port + 3, method, path, body, timeout=1.0)
            if answer[0] != 307:
                return answer
            ip = answer[1]["location"].removeprefix("http://").split(":")[0]
        return answer

    async def configure(self):
        self.sent += 1
        version = self.sent
        def route(name, kind):
            return {"name": name, "host": "desk.example", "path-prefix": f"/{name}/", "type": kind, "timeout-ms": 2500,
                    "goal-ms": 400, "priority": 1, "service": "feed" if kind == "stream" else "desk", "attempts": 2,
                    "public": True, "sticky": False, "resumable": kind == "stream"}
        service = {"health-path": "/healthz", "max-conns": 200, "proto": "h1", "tls": False, "cold-s": 0.0,
                   "cold-per-s": 0.0}
        content = json.dumps({
            "version": version, "routes": [route("book", "unsafe"), route("look", "safe"), route("feed", "stream")],
            "services": [{"name": "desk", **service}, {"name": "feed", **service}], "tenants": [],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})
        with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            if (await self.control("PUT", "/-/config", content))[0] == 200:
                self.acknowledged = max(self.acknowledged, version)
                return True
        return False

    async def caller(self, number):
        """Sends one request after another and checks each answer."""
        count = 0
        while True:
            count += 1
            kind = self.random.choice(("book", "look", "feed"))
            request = f"{kind}-{number}-{count}"
            status, headers, body = 0, {}, ""
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                status, headers, body = await self.exchange(
                    self.nodes[f"front-{self.random.randint(1, 2)}"], self.base_port + 1, "POST", f"/{kind}/1", "x",
                    {"X-Figcleat-Attempt-Id": request, "X-Figcleat-Deadline-Ms": "2500"})
            self.ended.append((request, kind, status, self.calm))
            if status == 200:
                self.check_body(request, kind, headers, body)
            elif status in (400, 401, 404, 413):
                self.violate(f"{request} was denied with {status}")
            await asyncio.sleep(0.02)

    def check_body(self, request, kind, headers, body):
        expected = f"done {request}"
        if kind == "feed":
            expected = "".join(f"id: {n}\ndata: {request}\n\n" for n in range(1, STREAM_EVENTS + 1))
        if body != expected or "x-figcleat-server-seal" not in headers:
            self.violate(f"{request} was answered with {body!r}")

    # Faults.

    async def restart(self, name, graceful):
        self.faults.append(f"{'stop' if graceful else 'kill'} {name}")
        if graceful:
            await self.stop(name)
        else:
            self.processes[name].kill()
            self.processes[name].wait()
            await asyncio.sleep(self.random.uniform(0, 0.5))
        self.start(name)

    async def pause(self, name):
        self.faults.append(f"pause {name}")
        process = self.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        process.send_signal(signal.SIGCONT)

    async def spoil(self, target):
        target.mode = self.random.choice(("delay", "reset", "silent", "one-way", "break"))
        self.faults.append(f"{target.mode} {target.name}")
        await asyncio.sleep(self.random.uniform(0.3, 1.5))
        target.mode = "pass"

    async def strike(self, name):
        """Series of faults of one process, one after another; those of other processes overlap them."""
        end = time.monotonic() + FAULT_SECONDS
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.2, 3.0))
            if self.processes[name].poll() is not None:
                self.violate(f"{name} ended by itself with {self.processes[name].poll()}")
                self.start(name)
            choice = self.random.random()
            if choice < 0.35:
                await self.restart(name, graceful=False)
            elif choice < 0.5:
                await self.restart(name, graceful=True)
            elif choice < 0.8:
                await self.pause(name)
            else:
                self.processes[name].send_signal(signal.SIGHUP)

    async def run(self):
        for name in self.nodes:
            self.start(name, first=True)
        targets = [Target(self, f"i-{service}-{i}", service) for service in ("desk", "feed") for i in (1, 2, 3)]
        for target in targets:
            await target.open()
        tasks = [asyncio.create_task(target.beat()) for target in targets]
        deadline = time.monotonic() + 15
        while not await self.configure() and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        tasks += [asyncio.create_task(self.caller(number)) for number in range(CALLERS)]
        # One core process and one front at a time, so that the log keeps its quorum and callers a front.
        struck = [f"core-{self.random.randint(1, 3)}", f"front-{self.random.randint(1, 2)}"]
        faults = [asyncio.create_task(self.strike(name)) for name in struck]
        end = time.monotonic() + FAULT_SECONDS
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            await (self.configure() if self.random.random() < 0.5 else self.spoil(self.random.choice(targets)))
        await asyncio.gather(*faults)
        await asyncio.sleep(CALM_SECONDS / 2)
        self.calm = True
        await asyncio.sleep(CALM_SECONDS / 2)
        await self.check_configuration()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for name in self.nodes:
            await self.stop(name)
        self.check_runs()
        if not self.violations:
            shutil.rmtree(self.folder)

    # Promises.

    async def check_configuration(self):
        for _ in range(20):
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status, _, body = await self.control("GET", "/-/config")
                if status == 200:
                    if json.loads(body)["version"] < self.acknowledged:
                        self.violate(f"version {self.acknowledged} was acknowledged, {json.loads(body)['version']} read")
                    return
            await asyncio.sleep(0.2)
        self.violate("the configuration cannot be read")

    def check_runs(self):
        for request, kind, status, _ in self.ended:
            runs = self.runs.get(request, [])
            if kind == "book" and len(runs) > 1:
                self.violate(f"{request} ran at {runs}")
            if kind == "book" and status in (408, 421, 429, 503) and runs:
                self.violate(f"{request} was refused with {status} and ran at {runs}")
        calm = [status for _, _, status, is_calm in self.ended if is_calm]
        served = sum(1 for status in calm if status == 200)
        # In a calm world only the targets' own refusals (2%) remain.
        if not calm or served < 0.9 * len(calm):
            self.violate(f"{served} of {len(calm)} requests were served after the faults")

    def summary(self):
        return (f"seed {self.seed}: {len(self.ended)} requests, "
                f"{sum(1 for one in self.ended if one[2] == 200)} served, {self.acknowledged} versions, "
                f"{len(self.faults)} faults, {len(self.violations)} violations")


def run(build, seed, base_port):
    """Violations and a summary of one run."""
    world = World(build, seed, base_port)
    try:
        asyncio.run(world.run())
    finally:
        for process in world.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
    return world.violations, world.summary() + (f"; logs in {world.folder}" if world.violations else "")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default=str(ROOT / "build"))
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--base-port", type=int, default=31100)
    given = parser.parse_args()
    failed = False
    for seed in range(given.seed, given.seed + given.runs):
        violations, summary = run(given.build, seed, given.base_port)
        print(summary, *violations, sep="\n  ", flush=True)
        failed = failed or bool(violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
