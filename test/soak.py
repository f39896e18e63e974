"""Randomized faults on the platform's program: real processes, faults from outside, and the promises checked meanwhile.

    python3 test/soak.py --build build --seed 1 --runs 50

Each run starts coordinators and fronts on loopback, 5 to 100 of them as its seed says. Targets, the proxies before them
and callers live in this process. Callers, targets and operators send in pieces now and then, and targets compare what
they get with what was sent. A violation is printed with its seed, and ends the command with status 1.
"""
import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from processes import ROOT, node_settings
from targets import MARK, STREAM_EVENTS, TROUBLES, Target
from traffic import HOST, KEYS, Client, Request, head_of

FAULT_SECONDS = 6.0
CALM_SECONDS = 4.0
ZONES = ("north", "south", "west")
# Numbers of processes, and how often a seed draws each.
SIZES = {5: 2, 30: 6, 100: 2}
# Memory of a front on the platform.
FRONT_BYTES = 160_000_000
PRINTED_VIOLATIONS = 20


class World:
    def __init__(self, build, seed, base_port, size=None, troubles=None):
        self.build, self.seed, self.base_port = pathlib.Path(build).resolve(), seed, base_port
        self.random = random.Random(seed)
        self.client = Client(random.Random(f"{seed} operator"))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figcleat-soak-"))
        size = size or random.Random(f"{seed} size").choices(tuple(SIZES), tuple(SIZES.values()))[0]
        cores = 3 if size < 10 else 5
        self.cores = {f"core-{i}": f"127.0.1.{i}" for i in range(1, cores + 1)}
        self.fronts = {f"front-{i}": f"127.0.1.{10 + i}" for i in range(1, size - cores + 1)}
        self.nodes = self.cores | self.fronts
        self.processes, self.sent, self.runs, self.ended, self.violations, self.faults = {}, {}, {}, [], [], []
        self.acknowledged = self.versions = self.front_bytes = 0
        # Given troubles are the only faults.
        self.targets, self.troubles = [], troubles
        self.calm = False
        # Sanitizers keep freed memory, so that the limit holds for usual builds only.
        self.limits_memory = b"__asan_init" not in (self.build / "figcleat-node").read_bytes()

    def violate(self, what):
        self.violations.append(f"seed {self.seed}: {what}")
        self.write(f"violation: {what}")

    def note(self, fault):
        self.faults.append(fault)
        self.write(fault)

    def write(self, line):
        with open(self.folder / "faults.log", "a") as log:
            log.write(f"{time.strftime('%H:%M:%S', time.gmtime())} {line}\n")

    # Processes.

    def start(self, name, first=False):
        ip, zone = self.nodes[name], ZONES[int(name.split("-")[1]) % 3]
        data = self.folder / f"{name}-data"
        data.mkdir(exist_ok=True)
        ports = range(self.base_port, self.base_port + 4)
        path = self.folder / f"{name}.toml"
        path.write_text(node_settings(ports, ZONES, first, name=name, ip=ip, zone=zone, folder=data, tolerated=1,
                                      seeds=",".join(f'"127.0.1.{i}:{ports[3]}"' for i in (1, 2, 3))))
        role = "front" if name.startswith("front") else "coordinator"
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([self.build / "figcleat-node", role, "--settings", path],
                                                    stdout=log, stderr=log, cwd=self.folder)

    async def stop(self, name):
        process = self.processes[name]
        self.measure(name)
        process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 9
        again = time.monotonic() + self.random.uniform(0.0, 3.0)
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
            if time.monotonic() > again:
                # Signals come in series; neither of these cuts the stop short.
                process.send_signal(self.random.choice((signal.SIGTERM, signal.SIGHUP)))
                again = deadline
        if process.poll() != 0:
            self.violate(f"{name} ended with {process.poll()} after SIGTERM")
            process.kill()
        process.wait()

    def measure(self, name):
        """Checks the most memory that a front has had resident."""
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self.processes[name].pid}/status").read_text().splitlines()
            peak = next((int(line.split()[1]) * 1024 for line in status if line.startswith("VmHWM")), 0)
            if name in self.fronts:
                if self.limits_memory and peak > FRONT_BYTES >= self.front_bytes:
                    trouble = {one.trouble for one in self.targets} - {""}
                    self.violate(f"{name} had {peak / 1e6:.0f} MB resident during {trouble}")
                self.front_bytes = max(self.front_bytes, peak)

    async def watch_memory(self):
        while True:
            for name in self.fronts:
                self.measure(name)
            await asyncio.sleep(0.3)

    # Calls.

    async def control(self, client, method, path, body=""):
        """Answer to a call to some coordinator, which may name another one; None if there is none."""
        ip = self.random.choice(tuple(self.cores.values()))
        blank = "\r\n" * client.random.choice((0, 0, 0, 1))
        head = head_of(f"{method} {path} HTTP/1.1", {"Host": HOST, "Content-Length": len(body)})
        data = (blank + head + body).encode()
        for _ in range(3):
            answers = await client.talk((ip, self.base_port + 3), [data], timeout=1.0)
            if not answers:
                return None
            status, headers, _ = answers[0]
            if status not in (200, 307, 503):
                self.violate(f"UNASKED: {method} {path} was answered with {status} by a coordinator")
            if status != 307:
                return answers[0]
            ip = headers["location"].removeprefix("http://").split(":")[0]
        return None

    async def configure(self):
        self.versions += 1
        version = self.versions
        def route(name, kind):
            return {"name": name, "host": HOST, "path-prefix": f"/{name}/", "type": kind, "timeout-ms": 2500,
                    "goal-ms": 400, "priority": 1, "service": "feed" if kind == "stream" else "desk", "attempts": 2,
                    "public": True, "sticky": False, "resumable": kind == "stream"}
        service = {"health-path": "/healthz", "max-conns": 2000, "proto": "h1", "tls": False, "cold-s": 0.0,
                   "cold-per-s": 0.0}
        content = json.dumps({
            "version": version, "routes": [route("book", "unsafe"), route("look", "safe"), route("feed", "stream")],
            "services": [{"name": "desk", **service}, {"name": "feed", **service}],
            "tenants": [{"name": name, "api-keys": [key]} for key, name in KEYS.items()],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})
        answer = await self.control(self.client, "PUT", "/-/config", content)
        if answer is not None and answer[0] == 200:
            self.acknowledged = max(self.acknowledged, version)
            return True
        return False

    async def caller(self, number):
        """Sends one request after another, now and then several at once, and checks each answer."""
        source = random.Random(f"{self.seed} caller {number}")
        count = 0
        with contextlib.closing(Client(source)) as client:
            while True:
                batch = []
                for _ in range(source.choice((1, 1, 1, 1, 1, 2, 3))):
                    count += 1
                    request = Request.draw(source, f"{number}-{count}")
                    self.sent[request.id] = request
                    batch.append(request)
                address = (source.choice(tuple(self.fronts.values())), self.base_port + 1)
                answers = await client.talk(address, [request.encode(source) for request in batch], timeout=4.0)
                for request, answer in zip(batch, answers + [(0, {}, b"")] * (len(batch) - len(answers))):
                    self.check_answer(request, *answer)
                await asyncio.sleep(0.02)

    def check_answer(self, request, status, headers, body):
        self.ended.append((request.id, request.kind, status, self.calm))
        if status in (400, 401, 404, 405, 413, 431, 501):
            self.violate(f"UNASKED: {request.id} ({request.method} {request.path}) was denied with {status}")
        if MARK in str(headers) or MARK.encode() in body:
            self.violate(f"{request.id} was answered with bytes that are no answer: {status} {headers} {body!r:.90}")
        expected = f"done {request.id}"
        if request.kind == "feed":
            expected = "".join(f"id: {n}\ndata: {request.id}\n\n" for n in range(1, STREAM_EVENTS + 1))
        if status == 200 and (body != expected.encode() or "x-figcleat-server-seal" not in headers):
            self.violate(f"{request.id} was answered with {body!r:.300}")

    def check_run(self, target, request, method, path, headers, body):
        """A target gets only what a caller sent."""
        sent = self.sent.get(request)
        if sent is None:
            self.violate(f"UNASKED: {target} got {method} {path} with the id {request}, which nobody sent")
            return
        for difference in sent.differences(method, path, headers, body):
            self.violate(f"UNASKED: {target} got {request} with {difference}")
        wanted = headers.get("x-figcleat-expect-instance")
        if wanted not in {one.name for one in self.targets}:
            self.violate(f"UNASKED: {request} was sent to {wanted}, which never registered")

    # Faults.

    async def restart(self, name, graceful):
        self.note(f"{'stop' if graceful else 'kill'} {name}")
        if graceful:
            await self.stop(name)
        else:
            self.processes[name].kill()
            self.processes[name].wait()
            await asyncio.sleep(self.random.uniform(0, 0.5))
        self.start(name)

    async def pause(self, name):
        self.note(f"pause {name}")
        process = self.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        process.send_signal(signal.SIGCONT)

    async def spoil(self, target):
        target.mode = self.random.choice(("delay", "reset", "silent", "one-way", "break", "pieces"))
        self.note(f"{target.mode} {target.name}")
        await asyncio.sleep(self.random.uniform(0.3, 1.5))
        target.mode = "pass"

    async def trouble(self, target):
        target.trouble = self.random.choice(("extra", "early", *TROUBLES))
        self.note(f"{target.trouble} {target.name}")
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        target.trouble = ""

    async def press(self):
        """Each of the given troubles at all targets at once."""
        for trouble in self.troubles:
            self.note(f"{trouble} everywhere")
            for target in self.targets:
                target.trouble = trouble
            await asyncio.sleep(FAULT_SECONDS / len(self.troubles))
        for target in self.targets:
            target.trouble = ""

    async def strike_targets(self):
        end = time.monotonic() + FAULT_SECONDS
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            target = self.random.choice(self.targets)
            choice = self.random.random()
            if choice < 0.4:
                await self.spoil(target)
            elif choice < 0.85:
                await self.trouble(target)
            else:
                self.note(f"leave {target.name}")
                await target.leave()

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
        self.targets = [Target(self, f"i-{service}-{i}", service) for service in ("desk", "feed") for i in (1, 2, 3)]
        for target in self.targets:
            await target.open()
        tasks = [asyncio.create_task(target.beat()) for target in self.targets]
        tasks.append(asyncio.create_task(self.watch_memory()))
        deadline = time.monotonic() + 15
        while not await self.configure() and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        tasks += [asyncio.create_task(self.caller(number)) for number in range(8 + len(self.fronts) // 5)]
        # One core process at a time, so that the log keeps its quorum; most fronts are left to callers.
        struck = [self.random.choice(tuple(self.cores)),
                  *self.random.sample(tuple(self.fronts), max(1, len(self.fronts) // 4))]
        if self.troubles:
            faults = [asyncio.create_task(self.press())]
        else:
            faults = [asyncio.create_task(self.strike(name)) for name in struck]
            faults += [asyncio.create_task(self.strike_targets()) for _ in range(2)]
        end = time.monotonic() + FAULT_SECONDS
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            await self.configure()
            # No target is there, so that callers see no difference.
            await self.control(self.client, self.random.choice(("POST", "DELETE")), f"/-/drain/{ZONES[1]}")
        await asyncio.gather(*faults)
        await asyncio.sleep(CALM_SECONDS / 2)
        self.calm = True
        await asyncio.sleep(CALM_SECONDS / 2)
        await self.check_configuration()
        for task in tasks:
            task.cancel()
        for one in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(one, Exception):
                raise one
        await asyncio.gather(*(self.stop(name) for name in self.nodes))
        for client in (self.client, *(target.client for target in self.targets)):
            client.close()
        self.check_runs()
        self.check_logs()
        if not self.violations:
            shutil.rmtree(self.folder)

    # Promises.

    async def check_configuration(self):
        for _ in range(20):
            answer = await self.control(self.client, "GET", "/-/config")
            if answer is not None and answer[0] == 200:
                version = json.loads(answer[2])["version"]
                if version < self.acknowledged:
                    self.violate(f"version {self.acknowledged} was acknowledged, {version} read")
                return
            await asyncio.sleep(0.2)
        self.violate("the configuration cannot be read")

    def check_logs(self):
        """Every target registers under its own id only, so that no registration is refused for its address."""
        for name in self.cores:
            for line in (self.folder / f"{name}.log").read_text(errors="replace").splitlines():
                if "reason=address_claimed" in line or "event=call_refused" in line:
                    self.violate(f"UNASKED: {name} logged {line}")

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
                f"{len(self.nodes)} processes, {len(self.faults)} faults, "
                f"fronts up to {self.front_bytes / 1e6:.0f} MB, {len(self.violations)} violations")


def run(build, seed, base_port, size=None, troubles=None):
    """Violations and a summary of one run."""
    # A process that crashes leaves its memory in the folder of the logs.
    hard = resource.getrlimit(resource.RLIMIT_CORE)[1]
    resource.setrlimit(resource.RLIMIT_CORE, (hard, hard))
    world = World(build, seed, base_port, size, troubles)
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
    parser.add_argument("--size", type=int, help="number of processes; by default as the seed says")
    given = parser.parse_args()
    failed = False
    for seed in range(given.seed, given.seed + given.runs):
        violations, summary = run(given.build, seed, given.base_port, given.size)
        more = [f"... and {len(violations) - PRINTED_VIOLATIONS} more"] if len(violations) > PRINTED_VIOLATIONS else []
        print(summary, *violations[:PRINTED_VIOLATIONS], *more, sep="\n  ", flush=True)
        failed = failed or bool(violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
