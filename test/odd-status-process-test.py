"""Answers with a status that HTTP does not have: no caller gets one, and no engine is read or ordered by one."""
import asyncio
import contextlib
import json
import pathlib
import shutil
import subprocess
import tempfile
import time
import unittest

import processes
import traffic
from traffic import ERRORS, head_of, read_body, read_head

BASE_PORT = 33500
MAILBOX, CALLERS, READINESS, CONTROL, METRICS = (BASE_PORT + offset for offset in range(5))
COORDINATOR, FRONT, AGENT = "127.0.0.30", "127.0.0.31", "127.0.0.32"
MARK = b"spoiled"
CLOSED_SECONDS = 1.0
# A front stops using a target for a while after it has failed, so that each may fail but a few times.
TARGETS = 60
ROUTES = {"unsafe": "unsafe", "safe": "safe", "plain": "stream", "resumed": "stream"}
STATUSES = ("000", "099", "600", "999", "2000", "abc", "101")
INTERIM = (b"", b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")


def configuration():
    engine = {"sets": 1, "experts": 2, "placements": 2, "spare": 1, "expert-mb": 1.0, "link-mbps": 1000.0,
              "expert-share": 0.85}
    service = {"health-path": "/healthz", "max-conns": 100, "proto": "h1", "tls": False, "cold-s": 0.0, "cold-per-s": 0.0}
    return json.dumps({
        "version": 1,
        "routes": [{"name": name, "host": traffic.HOST, "path-prefix": f"/{name}/", "type": kind, "timeout-ms": 4000,
                    "goal-ms": 400, "priority": 1, "service": "desk", "attempts": 2, "public": True, "sticky": False,
                    "resumable": name == "resumed"} for name, kind in ROUTES.items()],
        "services": [service | {"name": "desk"}, service | {"name": "models", "engine": engine}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": []})


def whole(status, body, headers=()):
    return head_of(f"HTTP/1.1 {status} OK", dict(headers) | {"Content-Length": len(body)}).encode() + body


class Odd:
    """Answers of targets: an odd status, before it perhaps an interim answer, behind it one that looks sound."""

    def __init__(self):
        self.number, self.sent, self.left_open, self.seen = 0, 0, 0, {}

    async def answer(self, reader, writer, common):
        status, interim = STATUSES[self.number % len(STATUSES)], INTERIM[self.number // len(STATUSES) % len(INTERIM)]
        self.number += 1
        self.sent += 1
        behind = whole(200, MARK, common)
        fields = "" if self.number % 2 else "Content-Length: 0\r\n"
        writer.write(interim + f"HTTP/1.1 {status} {MARK.decode()}\r\n{fields}\r\n".encode() + behind)
        try:
            async with asyncio.timeout(CLOSED_SECONDS):
                await reader.read()
        except TimeoutError:
            self.left_open += 1

    async def serve(self, reader, writer):
        with contextlib.suppress(*ERRORS, asyncio.CancelledError):
            (_, path, _), headers = await read_head(reader)
            await read_body(reader, headers)
            request = headers["x-figcleat-attempt-id"]
            attempt = self.seen[request] = self.seen.get(request, 0) + 1
            common = {"X-Figcleat-Attempt-Id": request, "X-Figcleat-Server-Seal": "sealed", "Connection": "close"}
            if path.startswith("/resumed/") and attempt == 1:
                # Breaks off, so that the front resumes the stream elsewhere.
                event = b"id: 1\ndata: x\n\n"
                writer.write(head_of("HTTP/1.1 200 OK", common | {
                    "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}).encode()
                    + b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.transport.abort()
            elif path.startswith("/safe/") and attempt > 1:
                writer.write(b"HTTP/1.1 102 Processing\r\n\r\n" + whole(200, b"done", common))
            else:
                await self.answer(reader, writer, common)
            await writer.drain()
        writer.close()


class Engine:
    """The only rank of a group; all its answers are odd until `is_sound`."""

    def __init__(self):
        self.is_sound, self.odd, self.orders = False, Odd(), 0

    async def serve(self, reader, writer):
        with contextlib.suppress(*ERRORS, asyncio.CancelledError):
            while True:
                (method, path, _), headers = await read_head(reader)
                await read_body(reader, headers)
                self.orders += method == "POST"
                body = json.dumps(self.said(path)).encode()
                if self.is_sound:
                    writer.write(INTERIM[2] + whole(200, body))
                    continue
                status = STATUSES[self.odd.number % len(STATUSES)]
                self.odd.number += 1
                writer.write(f"HTTP/1.1 {status} OK\r\n\r\n".encode() + whole(200, body))
        writer.close()

    @staticmethod
    def said(path):
        if path.startswith("/-/report"):
            return {"group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"}, "size": 1, "seq": 0, "step": 7,
                    "map": 0, "pace": 1.0}
        if "lists" in path:
            return {"map": {"version": 0, "experts": [[0, 1]]}}
        return {"step": 7, "epoch": 1, "counts": [[5, 3]]}


async def call(ip, port, method, path, body="", headers=None):
    """Status, headers and body; the status is 0 if there was no answer, and the body what had come by then."""
    try:
        async with asyncio.timeout(6):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(head_of(f"{method} {path} HTTP/1.1", {"Host": traffic.HOST, "Content-Length": len(body),
                                                               **(headers or {})}).encode() + body.encode())
            (_, status, *_), answered = await read_head(reader)
            if answered.get("transfer-encoding") == "chunked":
                return int(status), answered, await reader.read()
            got = await read_body(reader, answered)
            writer.close()
            return int(status), answered, got
    except ERRORS:
        return 0, {}, b""


class OddStatusTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figcleat-odd-status-"))
        self.processes = []

    def tearDown(self):
        for process in self.processes:
            process.kill()
            process.wait()
        shutil.rmtree(self.folder)

    def start(self, role, ip, more=""):
        (self.folder / ip).mkdir()
        settings = self.folder / f"{ip}.toml"
        settings.write_text(more + processes.node_settings(
            (MAILBOX, CALLERS, READINESS, CONTROL), ["north"], name=ip, ip=ip, zone="north", folder=self.folder / ip,
            tolerated=0, seeds=f'"{COORDINATOR}:{CONTROL}"'))
        with open(self.folder / f"{ip}.log", "wb") as log:
            self.processes.append(subprocess.Popen(
                [processes.BUILD + "/figcleat-node", role, "--settings", settings, "--metrics-port", str(METRICS)],
                stdout=log, stderr=log))

    async def wait_for(self, what, condition):
        end = time.monotonic() + 20
        while not await condition():
            self.assertLess(time.monotonic(), end, what)
            await asyncio.sleep(0.05)

    async def open(self):
        self.start("coordinator", COORDINATOR)

        async def configured():
            return (await call(COORDINATOR, CONTROL, "PUT", "/-/config", configuration()))[0] == 200
        await self.wait_for("the configuration", configured)

    async def beat(self, ports):
        for number in range(1, 200):
            for port in ports:
                await call(COORDINATOR, CONTROL, "PUT", f"/-/instances/i-{port}", json.dumps({
                    "service": "desk", "addr": f"127.0.0.1:{port}", "zone": "north", "version": "v1", "slots": 50,
                    "state": "ready", "cold-left-ms": 0, "seq": number, "born": port}))
            await asyncio.sleep(1)

    async def ask_callers(self):
        odd = Odd()
        servers = [await asyncio.start_server(odd.serve, "127.0.0.1", 0) for _ in range(TARGETS)]
        await self.open()
        self.start("front", FRONT)
        beats = asyncio.create_task(self.beat([one.sockets[0].getsockname()[1] for one in servers]))

        async def ready():
            return (await call(FRONT, READINESS, "GET", "/-/readyz"))[0] == 200
        await self.wait_for("the front is ready", ready)
        answers = []
        for number in range(3 * len(STATUSES)):
            odd.number = number
            for route in ROUTES:
                request = f"{route}-{number}"
                began = time.monotonic()
                answers.append((request, await call(FRONT, CALLERS, "POST", f"/{route}/1", "", {
                    "X-Figcleat-Attempt-Id": request, "X-Figcleat-Deadline-Ms": 4000}), time.monotonic() - began))
        beats.cancel()
        return odd, answers

    def test_callers(self):
        """Guards against a caller that gets an odd status, or what stands behind one, as its answer."""
        odd, answers = asyncio.run(self.ask_callers())
        self.assertGreater(odd.sent, len(answers) / 2)
        for request, (status, headers, body), _ in answers:
            with self.subTest(request=request):
                self.assertNotIn(MARK, body)
                self.assertNotIn(MARK, str(headers).encode())
                if request.startswith("safe-"):
                    # The second target sends an interim answer that HTTP knows, then the answer.
                    self.assertEqual((status, body), (200, b"done"))
                elif request.startswith("resumed-"):
                    self.assertEqual(status, 200)
                    self.assertFalse(body.endswith(b"0\r\n\r\n"), "a stream that was not resumed looks whole")
                else:
                    self.assertEqual(status, 502)
        self.assertEqual(odd.left_open, 0, "connections that were not closed at once")

    async def read_engine(self):
        engine = Engine()
        server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
        await self.open()
        self.start("agent", AGENT, f'app = "127.0.0.1:{server.sockets[0].getsockname()[1]}"\nservice = "models"\n')

        async def controls():
            return b"\nfigcleat_controls_group 1\n" in (await call(AGENT, METRICS, "GET", "/metrics"))[2]

        async def asked():
            return engine.odd.number > 40
        await self.wait_for("the agent asks its engine", asked)
        was_read = await controls()
        orders = engine.orders
        engine.is_sound = True
        await self.wait_for("the agent controls its group", controls)
        return was_read, orders

    def test_engine(self):
        """Guards against an agent that takes what stands behind an odd status for the state of its engine."""
        was_read, orders = asyncio.run(self.read_engine())
        self.assertFalse(was_read)
        self.assertEqual(orders, 0)


if __name__ == "__main__":
    processes.main()
