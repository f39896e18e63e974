"""Planned stops of fronts beside pauses: real processes, and streams that must not be cut before their time.

    python3 test/stops.py --build build --seed 1 --fronts 8 --cores 3 --targets 9 --group-size 3

Coordinators and fronts run on loopback; targets and callers live in this process. Fronts of several data centres get
SIGTERM in overlapping series and start again, the leader of the log freezes for 0.3 to 3 s, groups of targets pause and
go on, most slots are taken, and SIGHUP and configurations come meanwhile. No target ever breaks off, so each stream that
a front has begun has to end whole; only the last sixth of the grace period excuses a cut.
"""
import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

from processes import ROOT, node_settings
from traffic import ERRORS, HOST, head_of, read_body, read_head

ZONES = ("north", "south", "west", "east")
GRACE = 8
EXCUSED_SECONDS = 3.0
EVENT_SECONDS = 0.1
DEADLINE_MS = 12000
METRICS = 4


class Target:
    """A server of streams with a few slots. It refuses what exceeds them, and stands still while its group pauses."""

    def __init__(self, world, name, group):
        self.world, self.name, self.group, self.running = world, name, group, 0
        self.born = int(time.time() * 1000)

    async def open(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def serve(self, reader, writer):
        with contextlib.suppress(*ERRORS, asyncio.CancelledError):
            (_, path, _), headers = await read_head(reader)
            await read_body(reader, headers)
            await self.group.wait()
            request = headers["x-figcleat-attempt-id"]
            common = {"X-Figcleat-Attempt-Id": request, "X-Figcleat-Server-Seal": self.name, "Connection": "close"}
            if self.running >= self.world.slots:
                writer.write(head_of("HTTP/1.1 503 Busy", common | {"X-Figcleat-Not-Executed": 1,
                                                                    "Content-Length": 0}).encode())
                await writer.drain()
            else:
                self.running += 1
                self.world.began.add(request)
                try:
                    await self.stream(reader, writer, path, int(headers.get("last-event-id", 0)), common)
                finally:
                    self.running -= 1
        writer.close()

    async def stream(self, reader, writer, path, last, common):
        writer.write(head_of("HTTP/1.1 200 OK", common | {"Content-Type": "text/event-stream",
                                                          "Transfer-Encoding": "chunked"}).encode())
        for number in range(last + 1, int(path.split("/")[2]) + 1):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
            await self.group.wait()
            if reader.at_eof():
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def beat(self):
        number = 0
        while True:
            number += 1
            await self.world.control("PUT", f"/-/instances/{self.name}", {
                "service": "desk", "zone": ZONES[0], "version": "v1", "slots": self.world.slots, "state": "ready",
                "cold-left-ms": 0, "born": self.born, "addr": f"127.0.0.1:{self.port}", "seq": number})
            await asyncio.sleep(0.5)


class World:
    def __init__(self, build, seed, base_port, given):
        self.build, self.seed, self.base_port, self.slots = pathlib.Path(build).resolve(), seed, base_port, given.slots
        self.given, self.random = given, random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figcleat-stops-"))
        self.cores = {f"core-{i}": f"127.0.2.{i}" for i in range(1, given.cores + 1)}
        self.fronts = {f"front-{i}": f"127.0.2.{20 + i}" for i in range(1, given.fronts + 1)}
        self.processes, self.stopped, self.began, self.lost = {}, {}, set(), []
        self.counts = collections.Counter()
        self.open_streams, self.calls, self.versions, self.latest = 0, 0, 0, 0.0
        self.is_ending = False

    def start(self, name):
        ip, zone = (self.cores | self.fronts)[name], ZONES[int(name.split("-")[1]) % len(ZONES)]
        data = self.folder / f"{name}-data"
        data.mkdir(exist_ok=True)
        path = self.folder / f"{name}.toml"
        seeds = ",".join(f'"{core}:{self.base_port + 3}"' for core in list(self.cores.values())[:3])
        path.write_text(node_settings(range(self.base_port, self.base_port + 4), ZONES, True, name=name, ip=ip,
                                      zone=zone, folder=data, tolerated=min(1, (self.given.cores - 1) // 2),
                                      seeds=seeds))
        role = "front" if name in self.fronts else "coordinator"
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [self.build / "figcleat-node", role, "--settings", path, "--metrics-port",
                 str(self.base_port + METRICS)], stdout=log, stderr=log, cwd=self.folder)

    async def control(self, method, path, content):
        """Status of a call to some coordinator; 0 if none answers."""
        body = json.dumps(content)
        ip = self.random.choice(tuple(self.cores.values()))
        for _ in range(3):
            with contextlib.suppress(*ERRORS):
                async with asyncio.timeout(1.5):
                    reader, writer = await asyncio.open_connection(ip, self.base_port + 3)
                    writer.write(head_of(f"{method} {path} HTTP/1.1", {
                        "Host": HOST, "Content-Length": len(body), "Connection": "close"}).encode() + body.encode())
                    (_, status, *_), headers = await read_head(reader)
                    await read_body(reader, headers)
                    writer.close()
                    if status != "307":
                        return int(status)
                    ip = headers["location"].removeprefix("http://").split(":")[0]
                    continue
            return 0
        return 0

    async def configure(self):
        self.versions += 1
        return await self.control("PUT", "/-/config", {
            "version": self.versions,
            "routes": [{"name": "draft", "host": HOST, "path-prefix": "/draft/", "type": "stream",
                        "timeout-ms": DEADLINE_MS, "goal-ms": 400, "priority": 1, "service": "desk", "attempts": 2,
                        "public": True, "sticky": False, "resumable": True}],
            "services": [{"name": "desk", "health-path": "/healthz", "max-conns": 4000, "proto": "h1", "tls": False,
                          "cold-s": 0.0, "cold-per-s": 0.0}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}, "tenants": []}) == 200

    # Callers.

    async def caller(self, connections):
        """Sends one stream after another, on kept connections until their servers close them."""
        while not self.is_ending:
            if self.open_streams >= self.given.fill * self.slots * len(self.targets):
                await asyncio.sleep(self.random.uniform(0.01, 0.1))
                continue
            self.open_streams += 1
            try:
                await self.call(self.random.choice(tuple(self.fronts)), connections)
            finally:
                self.open_streams -= 1

    async def call(self, name, connections):
        self.calls += 1
        request, events = f"draft-{self.seed}-{self.calls}", self.random.randint(10, 55)
        sent, got, status = time.monotonic(), 0, 0
        with contextlib.suppress(*ERRORS, ValueError):
            async with asyncio.timeout(DEADLINE_MS / 1000 + 3):
                if name not in connections or connections[name][0].at_eof():
                    connections[name] = await asyncio.open_connection(self.fronts[name], self.base_port + 1)
                reader, writer = connections[name]
                writer.write(head_of(f"POST /draft/{events} HTTP/1.1", {
                    "Host": HOST, "X-Figcleat-Attempt-Id": request, "X-Figcleat-Deadline-Ms": DEADLINE_MS,
                    "Content-Length": 0}).encode())
                (_, status, *_), headers = await read_head(reader)
                while size := int(await reader.readuntil(b"\r\n"), 16) if status == "200" else 0:
                    got += (await reader.readexactly(size)).count(b"\nid: ") + 1
                    await reader.readexactly(2)
                if status == "200":
                    await reader.readexactly(2)
                else:
                    await read_body(reader, headers)
                if headers.get("connection", "").lower() == "close":
                    self.drop(name, connections)
                self.check_whole(request, status, got, events)
                return
        self.drop(name, connections)
        self.check_incomplete(name, request, sent, got)
        await asyncio.sleep(0.05)

    @staticmethod
    def drop(name, connections):
        if name in connections:
            connections.pop(name)[1].close()

    def check_whole(self, request, status, got, events):
        if status == "200" and got != events:
            self.lose(f"{request} ended as whole with {got} of {events} events")
        elif status != "200" and request in self.began:
            self.lose(f"{request} ran and was answered {status}")
        self.counts["whole" if status == "200" else "refused"] += 1

    def check_incomplete(self, name, request, sent, got):
        now, signalled = time.monotonic(), self.stopped.get(name)
        if request not in self.began:
            self.counts["left"] += 1
            return
        since = None if signalled is None else now - signalled
        is_excused = since is not None and sent - signalled <= EXCUSED_SECONDS and 5 / 6 * GRACE <= since <= GRACE + 0.5
        self.counts["cut in the last sixth" if is_excused else "cut"] += 1
        if not is_excused:
            self.lose(f"{request} at {name} was cut after {got} events, {now - sent:.2f} s after it was sent, "
                      f"{'no signal' if since is None else f'{since:.2f} s after SIGTERM'}")

    def lose(self, what):
        self.lost.append(f"seed {self.seed}: {what}")

    # Faults.

    async def stop_fronts(self, names):
        for name in names:
            asyncio.get_running_loop().call_later(self.random.uniform(0.1, 0.5), self.pause_groups)
            await asyncio.gather(self.stop(name), asyncio.sleep(self.random.uniform(0.2, 2.0)))

    async def stop(self, name):
        process = self.processes[name]
        if self.random.random() < 0.25:
            process.send_signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(self.random.uniform(0.1, 0.9), process.send_signal, signal.SIGCONT)
        self.stopped[name] = time.monotonic()
        process.send_signal(signal.SIGTERM)
        while process.poll() is None and time.monotonic() < self.stopped[name] + GRACE:
            await asyncio.sleep(0.02)
        if process.poll() != 0:
            self.lose(f"{name} ended with {process.poll()} after SIGTERM")
            process.kill()
            process.wait()
        self.start(name)

    async def pause_now_and_then(self):
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 2.5))
            self.pause_groups()

    def pause_groups(self):
        chosen = self.groups if self.random.random() < 0.2 else [self.random.choice(self.groups)]
        for group in chosen:
            if group.is_set():
                group.clear()
                asyncio.get_running_loop().call_later(
                    self.random.choice((0.3, 0.7, self.given.pause, self.random.uniform(0.3, 2.0))), group.set)

    async def freeze_leader(self):
        while True:
            await asyncio.sleep(self.random.uniform(1.0, 3.0))
            name = await asyncio.to_thread(self.find_leader)
            process = self.processes[name]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.3, 3.0))
            process.send_signal(signal.SIGCONT)

    def find_leader(self):
        for name, ip in self.cores.items():
            with contextlib.suppress(OSError):
                with urllib.request.urlopen(f"http://{ip}:{self.base_port + METRICS}/metrics", timeout=0.5) as page:
                    if re.search(rb"^figcleat_log_leads(\{.*\})? 1", page.read(), re.MULTILINE):
                        return name
        return self.random.choice(tuple(self.cores))

    async def change(self):
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            if self.random.random() < 0.5:
                await self.configure()
            else:
                self.processes[self.random.choice(tuple(self.fronts))].send_signal(signal.SIGHUP)

    async def watch_loop(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.latest = max(self.latest, time.monotonic() - before - 0.02)

    async def run(self):
        self.groups = [asyncio.Event() for _ in range(max(1, self.given.targets // self.given.group_size))]
        for group in self.groups:
            group.set()
        self.targets = [Target(self, f"i-{i}", self.groups[i % len(self.groups)]) for i in range(self.given.targets)]
        servers = [await target.open() for target in self.targets]
        for name in self.cores | self.fronts:
            self.start(name)
        tasks = [asyncio.create_task(target.beat()) for target in self.targets]
        deadline = time.monotonic() + 20
        while not await self.configure() and time.monotonic() < deadline:
            await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)
        callers = [asyncio.create_task(self.caller({})) for _ in range(int(self.given.fill * self.slots
                                                                           * len(self.targets)) + 1)]
        await asyncio.sleep(3.0)
        tasks += [asyncio.create_task(one) for one in (self.freeze_leader(), self.pause_now_and_then(),
                                                    self.change(), self.watch_loop())]
        names = self.random.sample(tuple(self.fronts), min(len(self.fronts) - 1, self.given.stops))
        await asyncio.gather(*(self.stop_fronts(names[i::3]) for i in range(3)))
        self.is_ending = True
        await asyncio.gather(*callers)
        for task in tasks:
            task.cancel()
        for one in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(one, Exception):
                raise one
        for server in servers:
            server.close()

    def summary(self):
        counts = ", ".join(f"{self.counts[key]} {key}" for key in ("whole", "cut", "cut in the last sixth", "left",
                                                                   "refused"))
        return (f"seed {self.seed}: {self.calls} streams: {counts}; {len(self.stopped)} stops, "
                f"this process up to {1000 * self.latest:.0f} ms late, {len(self.lost)} LOST")


def run(build, seed, base_port, given):
    """What was lost in one play, and a summary."""
    world = World(build, seed, base_port, given)
    try:
        asyncio.run(world.run())
    finally:
        for process in world.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
    if not world.lost and not given.keep_logs:
        shutil.rmtree(world.folder)
        return world.lost, world.summary()
    return world.lost, world.summary() + f"; logs in {world.folder}"


def parse(arguments):
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default=str(ROOT / "build"))
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--base-port", type=int, default=33700)
    parser.add_argument("--fronts", type=int, default=8)
    parser.add_argument("--cores", type=int, default=3)
    parser.add_argument("--targets", type=int, default=9)
    parser.add_argument("--group-size", type=int, default=3)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--fill", type=float, default=0.95, help="streams as a part of all slots")
    parser.add_argument("--pause", type=float, default=1.6, help="one of the lengths of a group's pause, in seconds")
    parser.add_argument("--stops", type=int, default=6, help="fronts that are stopped")
    parser.add_argument("--keep-logs", action="store_true")
    return parser.parse_args(arguments)


def main():
    given = parse(None)
    failed = False
    for seed in range(given.seed, given.seed + given.runs):
        lost, summary = run(given.build, seed, given.base_port, given)
        print(summary, *lost, sep="\n  ", flush=True)
        failed = failed or bool(lost)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
