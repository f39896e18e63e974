"""Planned stops of fronts: no request that a front has read and passed on is cut before its time, and none is stranded."""
import asyncio
import contextlib
import json
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import unittest

import processes
import traffic
from traffic import ERRORS, head_of, read_body, read_head

BASE_PORT = 33400
MAILBOX, CALLERS, READINESS, CONTROL, METRICS = (BASE_PORT + offset for offset in range(5))
COORDINATOR = "127.0.0.20"
DEADLINE_MS = 9000
# A cut is excused for requests of the first seconds whose target was still at work in the last sixth of the grace period.
EXCUSED_SECONDS = 3.0
EVENT_SECONDS = 0.05
TARGETS = 4
BODY = b"a body in two parts"


def configuration(version, timeout_ms):
    def route(name, kind):
        return {"name": name, "host": traffic.HOST, "path-prefix": f"/{name}/", "type": kind, "timeout-ms": timeout_ms,
                "goal-ms": 400, "priority": 1, "service": "desk", "attempts": 2, "public": True, "sticky": False,
                "resumable": False}
    return json.dumps({
        "version": version, "routes": [route("draft", "stream"), route("note", "stream"), route("look", "safe")],
        "services": [{"name": "desk", "health-path": "/healthz", "max-conns": 400, "proto": "h1", "tls": False,
                      "cold-s": 0.0, "cold-per-s": 0.0}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": []})


async def ask(ip, port, method, path, body=""):
    """Status of one call on a connection of its own; 0 if there was no answer."""
    with contextlib.suppress(*ERRORS):
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(head_of(f"{method} {path} HTTP/1.1", {"Host": "a", "Content-Length": len(body),
                                                               "Connection": "close"}).encode() + body.encode())
            (_, status, *_), headers = await read_head(reader)
            await read_body(reader, headers)
            writer.close()
            return int(status)
    return 0


async def wait_for(condition, seconds=20):
    end = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() >= end:
            raise AssertionError("not ready in time")
        await asyncio.sleep(0.05)


class Target:
    """All targets. They answer `/look/MS/...` after so many ms, and other paths with a stream that lasts so long."""

    def __init__(self):
        self.servers, self.began, self.ended = [], {}, {}

    async def open(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        with contextlib.suppress(*ERRORS):
            (_, path, _), headers = await read_head(reader)
            await read_body(reader, headers)
            request, seconds = headers["x-figcleat-attempt-id"], int(path.split("/")[2]) / 1000
            common = {"X-Figcleat-Attempt-Id": request, "X-Figcleat-Server-Seal": "sealed", "Connection": "close"}
            self.began[request] = time.monotonic()
            try:
                if path.startswith("/look/"):
                    await asyncio.sleep(seconds)
                    writer.write(head_of("HTTP/1.1 200 OK", common | {"Content-Length": 4}).encode() + b"done")
                else:
                    await self.stream(reader, writer, seconds, common)
            finally:
                self.ended[request] = time.monotonic()
            await writer.drain()
        writer.close()

    @staticmethod
    async def stream(reader, writer, seconds, common):
        writer.write(head_of("HTTP/1.1 200 OK", common | {"Content-Type": "text/event-stream",
                                                          "Transfer-Encoding": "chunked"}).encode())
        for number in range(1, max(1, round(seconds / EVENT_SECONDS)) + 1):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
            if reader.at_eof():
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")


class Call:
    """A request, when its last byte was sent, and what came back."""

    def __init__(self, kind, name, path):
        self.kind, self.name, self.path = kind, name, path
        self.sent = self.status = self.headers = None
        self.whole = False

    def head(self, length=0):
        return head_of(f"POST {self.path} HTTP/1.1", {
            "Host": traffic.HOST, "X-Figcleat-Attempt-Id": self.name, "X-Figcleat-Deadline-Ms": DEADLINE_MS,
            "Content-Length": length}).encode()

    async def receive(self, reader):
        (_, status, *_), self.headers = await read_head(reader)
        self.status = int(status)
        self.body = await read_body(reader, self.headers)
        self.whole = True

    def is_refused_by_stop(self):
        return self.status == 503 and b"entry_stopping" in self.body

    def __str__(self):
        return f"{self.kind} {self.name} {self.path}"


class Stop:
    """One front, the clients that use it before and in its planned stop, and their calls."""

    def __init__(self, ip, grace, late=0.0):
        self.ip, self.grace, self.late, self.calls, self.tasks = ip, grace, late, [], []
        self.started = None

    def call(self, kind, path):
        self.calls.append(Call(kind, f"{self.ip}-{len(self.calls)}", path))
        return self.calls[-1]

    async def connect(self):
        return await asyncio.open_connection(self.ip, CALLERS)

    async def send(self, call, connection=None):
        """Sends a call, on a new connection if none is given, and reads its answer."""
        with contextlib.suppress(*ERRORS, ValueError):
            async with asyncio.timeout(DEADLINE_MS / 1000 + 5):
                reader, writer = connection or await self.connect()
                call.sent = time.monotonic()
                writer.write(call.head())
                await call.receive(reader)

    def at(self, part, run):
        """Runs a coroutine at this part of the grace period."""
        async def later():
            await asyncio.sleep(self.started + part * self.grace - time.monotonic())
            await run
        self.tasks.append(asyncio.create_task(later()))

    async def open_clients(self, history):
        for _ in range(history):
            await self.send(self.call("before", "/draft/50/1"))
        self.kept = [await self.connect() for _ in range(24)]
        for connection in self.kept:
            await self.send(self.call("before", "/look/1/1"), connection)
        self.busy = [(await self.connect(), self.call("busy", f"/draft/{int(1000 * min(5, part * self.grace))}/1"))
                     for part in (0.1, 0.25, 0.34, 0.38, 0.39, 0.4, 0.45)]
        self.piped = [(await self.connect(), self.call("piped", f"/{path}")) for path in
                      ("draft/300/1", "draft/1000/1", "look/300/1", "look/900/1", "note/700/1")]
        self.uploads = [(await self.connect(), self.call("upload", "/look/5/1"), part) for part in (0.1, 0.45, 0.8, None)]

    async def run(self, process):
        for use, clients in ((self.use_busy, self.busy), (self.use_piped, self.piped)):
            for one in clients:
                self.tasks.append(asyncio.create_task(use(*one)))
                # A target takes few new streams at a time.
                await asyncio.sleep(0.02)
        uploads = [asyncio.create_task(self.use_upload(*one)) for one in self.uploads]
        await asyncio.sleep(0.2)
        if self.late:
            process.send_signal(signal.SIGSTOP)
        self.started = time.monotonic()
        process.send_signal(signal.SIGTERM)
        if self.late:
            self.tasks.append(asyncio.create_task(self.resume(process)))
        for number, connection in enumerate(self.kept):
            part = 0.02 + 0.43 * number / len(self.kept)
            path = ("/draft/4800/1", "/note/600/1", "/look/50/1")[number % 3] if number % 2 else "/draft/4800/2"
            self.at(part, self.send(self.call("kept", path), connection))
        for number in range(40):
            path = ("/draft/4800/3", "/note/400/3", "/look/100/3", "/look/20/3")[number % 4]
            self.at(0.05 + 0.9 * number / 40, self.send(self.call("new", path)))
        while process.poll() is None and time.monotonic() < self.started + self.grace:
            await asyncio.sleep(0.02)
        self.lasted = time.monotonic() - self.started
        process.kill()
        process.wait()
        for task in self.tasks + uploads:
            with contextlib.suppress(*ERRORS):
                await asyncio.wait_for(task, DEADLINE_MS / 1000 + 5)

    async def resume(self, process):
        await asyncio.sleep(self.late)
        process.send_signal(signal.SIGCONT)

    async def use_busy(self, connection, call):
        await self.send(call, connection)
        for path in ("/draft/4800/4", "/look/20/4"):
            if call.headers is None or call.headers.get("connection", "").lower() == "close":
                return
            await self.send(call := self.call("after busy", path), connection)

    async def use_piped(self, connection, call):
        """A second call follows at once, a third one in the course of the stop."""
        reader, writer = connection
        calls = [call, self.call("piped", "/note/100/5"), self.call("piped", "/look/20/5")]
        for one, pause in zip(calls, (0, 0.3, 0)):
            one.sent = time.monotonic()
            writer.write(one.head())
            await writer.drain()
            await asyncio.sleep(pause)
        with contextlib.suppress(*ERRORS, ValueError):
            for one in calls:
                await one.receive(reader)

    async def use_upload(self, connection, call, part):
        reader, writer = connection
        writer.write(call.head(len(BODY)) + BODY[:5])
        with contextlib.suppress(*ERRORS, ValueError):
            answer = asyncio.create_task(call.receive(reader))
            await asyncio.sleep(0.2 + (1.1 if part is None else part) * self.grace)
            call.sent = time.monotonic()
            writer.write(BODY[5:])
            await asyncio.wait_for(answer, DEADLINE_MS / 1000)

    def problems(self, target):
        """What breaks the promises of a planned stop."""
        for call in self.calls:
            has_run = call.name in target.began
            after = None if call.sent is None or self.started is None else call.sent - self.started
            if call.whole and call.status == 200:
                continue
            if call.whole and call.status in (408, 503):
                if has_run:
                    yield f"{call} ran and was answered {call.status}"
                elif not call.is_refused_by_stop():
                    continue
                elif not 0 <= float(call.headers.get("retry-after", -1)) <= 0.5:
                    yield f"{call} was refused with Retry-After {call.headers.get('retry-after')}"
                elif call.headers.get("connection", "").lower() != "close" and call.kind != "piped":
                    yield f"{call} was refused on a connection that stays open"
            elif has_run:
                worked = target.ended.get(call.name, time.monotonic()) - self.started
                if after > EXCUSED_SECONDS:
                    yield f"{call} was sent {after:.3f} s after the signal, passed on and cut {worked:.3f} s after it"
                elif worked < 5 / 6 * self.grace:
                    yield f"{call} was cut {worked:.3f} s after the signal"
            elif call.whole:
                yield f"{call} was answered {call.status}"
            elif call.kind in ("piped", "upload"):
                yield f"{call} was read and has no answer"


class FrontStopTest(unittest.TestCase):
    maxDiff = None

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figcleat-front-stop-"))
        self.processes = []

    def tearDown(self):
        for process in self.processes:
            process.kill()
            process.wait()
        shutil.rmtree(self.folder)

    def start(self, role, ip, grace=8):
        data = self.folder / ip
        data.mkdir()
        settings = self.folder / f"{ip}.toml"
        text = processes.node_settings((MAILBOX, CALLERS, READINESS, CONTROL), ["north"], name=ip, ip=ip, zone="north",
                                       folder=data, tolerated=0, seeds=f'"{COORDINATOR}:{CONTROL}"')
        settings.write_text(text.replace("grace-s = 8", f"grace-s = {grace}"))
        with open(self.folder / f"{ip}.log", "wb") as log:
            self.processes.append(subprocess.Popen(
                [processes.BUILD + "/figcleat-node", role, "--settings", settings, "--metrics-port", str(METRICS)],
                stdout=log, stderr=log))
        return self.processes[-1]

    async def operate(self, method, path, body):
        async def done():
            return await ask(COORDINATOR, CONTROL, method, path, body) == 200
        await wait_for(done)

    async def play(self, stops, histories, during=None):
        target = Target()
        ports = [await target.open() for _ in range(TARGETS)]
        self.start("coordinator", COORDINATOR)
        fronts = [self.start("front", stop.ip, stop.grace) for stop in stops]
        # Fronts that stay, so that others know of more than one.
        self.start("front", "127.0.0.21")
        await self.operate("PUT", "/-/config", configuration(1, 8000))
        beats = asyncio.create_task(self.beat(ports))
        for stop in stops:
            async def answers():
                call = Call("before", f"{stop.ip}-look", "/look/1/1")
                await stop.send(call)
                return call.status == 200
            await wait_for(answers)
        # Fronts learn of each other within two polls.
        await asyncio.sleep(1)
        await asyncio.gather(*(stop.open_clients(history) for stop, history in zip(stops, histories)))
        changes = asyncio.create_task(during(fronts)) if during else None
        await asyncio.gather(*(stop.run(front) for stop, front in zip(stops, fronts)))
        beats.cancel()
        if changes:
            await changes
        return target

    async def beat(self, ports):
        body = {"service": "desk", "zone": "north", "version": "v1", "slots": 300, "state": "ready", "cold-left-ms": 0,
                "born": int(time.time() * 1000)}
        for number in range(1, 1000):
            for port in ports:
                await ask(COORDINATOR, CONTROL, "PUT", f"/-/instances/i-{port}",
                          json.dumps(body | {"addr": f"127.0.0.1:{port}", "seq": number}))
            await asyncio.sleep(0.5)

    def check(self, stops, target):
        for stop in stops:
            logs = (self.folder / f"{stop.ip}.log").read_text()[-3000:]
            self.assertEqual(list(stop.problems(target)), [], logs)
            self.assertLess(stop.lasted, stop.grace, "the front was killed")
            served = [call for call in stop.calls if call.kind in ("before", "busy")
                      or (call.sent and call.kind == "kept" and call.sent < stop.started + 0.2 * stop.grace)]
            self.assertGreater(sum(call.status == 200 for call in served), 0.9 * len(served))

    def test_stops_in_any_grace_period(self):
        """Guards against requests that a stopping front passes on and cuts, or reads and never answers."""
        stops = [Stop("127.0.0.22", 8), Stop("127.0.0.23", 8), Stop("127.0.0.24", 2), Stop("127.0.0.25", 5),
                 Stop("127.0.0.26", 20), Stop("127.0.0.29", 8, late=1.0)]
        self.check(stops, asyncio.run(self.play(stops, (0, 20, 20, 20, 20, 20))))

    def test_stop_beside_a_configuration_and_a_hangup(self):
        """Guards against a configuration or new settings that make a stopping front forget what it knows."""
        stops = [Stop("127.0.0.27", 8), Stop("127.0.0.28", 4)]

        async def during(fronts):
            for version in range(2, 12):
                await asyncio.sleep(0.5)
                for front in fronts:
                    if front.poll() is None:
                        front.send_signal(signal.SIGHUP)
                await self.operate("PUT", "/-/config", configuration(version, 7000 + 100 * version))
                if version == 4:
                    for front in fronts:
                        front.send_signal(signal.SIGTERM)
        self.check(stops, asyncio.run(self.play(stops, (20, 20), during)))

    async def stop_coordinator(self):
        coordinator = self.start("coordinator", COORDINATOR)
        await self.operate("PUT", "/-/config", configuration(1, 8000))
        text = configuration(2, 7000).encode()
        first = head_of("PUT /-/config HTTP/1.1", {"Host": "a", "Content-Length": len(text)}).encode()
        read = head_of("GET /-/config HTTP/1.1", {"Host": "a"}).encode()
        (upload, to_upload), (piped, to_piped), (unused, _) = [
            await asyncio.open_connection(COORDINATOR, CONTROL) for _ in range(3)]
        to_upload.write(first + text[:200])
        to_piped.write(first + text[:200])
        await asyncio.sleep(0.2)
        coordinator.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        to_upload.write(text[200:])
        to_piped.write(text[200:] + read + read)
        answers = []
        for reader, count in ((upload, 1), (piped, 3)):
            for _ in range(count):
                (_, status, *_), headers = await read_head(reader)
                answers.append((int(status), headers.get("connection"), await read_body(reader, headers)))
            self.assertEqual(await reader.read(), b"")
        self.assertEqual(await unused.read(), b"")
        to_upload.close()
        to_piped.close()
        return answers, await asyncio.to_thread(coordinator.wait, 10)

    def test_stop_of_a_coordinator(self):
        """Guards against an operator's call that a stopping coordinator has received in part and never answers."""
        answers, status = asyncio.run(self.stop_coordinator())
        self.assertEqual([one[0] for one in answers], [200] * 4)
        self.assertEqual([one[1] for one in answers], ["close", None, None, "close"])
        self.assertEqual(json.loads(answers[-1][2])["version"], 2)
        self.assertEqual(status, 0)


if __name__ == "__main__":
    processes.main()
