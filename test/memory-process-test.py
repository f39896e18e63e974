"""Clients and targets that send or read without limit: a front lives, stays within its memory and descriptors, and serves."""
import asyncio
import contextlib
import json
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile
import time
import unittest

import processes
import traffic

BASE_PORT = 33500
MAILBOX, CALLERS, READINESS, CONTROL, METRICS = (BASE_PORT + offset for offset in range(5))
COORDINATOR, FRONT = "127.0.0.2", "127.0.0.3"
# Limits of the front's machine in its settings, which the process has to keep.
MEMORY_MB = 64
DESCRIPTORS = 400
# Limit of the configuration for one body; the platform's own is four times as high.
BODY_BYTES = 1024 * 1024
HEADER_BYTES = 16384
CROWD = 64
MANY = 600
# Time for which a crowd goes on sending, so that all of it reaches the front.
PRESS_SECONDS = 3.0
ANSWER_BYTES = 1_500_000
SERVICES = ("echo", "large", "endless", "deaf", "asleep")


def route(service):
    return {"name": service, "host": traffic.HOST, "path-prefix": f"/{service}/",
            "type": "stream" if service == "endless" else "unsafe", "timeout-ms": 20000, "goal-ms": 10000, "priority": 1,
            "service": service, "attempts": 1, "public": True, "sticky": False, "resumable": False}


CONFIGURATION = {
    "version": 1,
    "routes": [route(service) for service in SERVICES],
    "services": [{"name": service, "health-path": "/healthz", "max-conns": 1000, "proto": "h1", "tls": False,
                  "cold-s": 0.0, "cold-per-s": 0.0} for service in SERVICES],
    "limits": {"max-header-bytes": HEADER_BYTES, "max-body-bytes": BODY_BYTES, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000},
    "tenants": [],
}


def head(service, request, more):
    return traffic.head_of(f"POST /{service}/1 HTTP/1.1", {
        "Host": traffic.HOST, "X-Figcleat-Attempt-Id": request, "X-Figcleat-Deadline-Ms": "20000", **more}).encode()


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        # Targets that still run at the end of a test are cancelled.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figcleat-memory-"))
        self.processes, self.writers, self.servers, self.sent = {}, [], [], 0
        self.start("coordinator", COORDINATOR)
        self.start("front", FRONT)
        await self.operate("/-/config", CONFIGURATION)
        for number, service in enumerate(SERVICES):
            server = await asyncio.start_server(getattr(self, service), "127.0.0.1", 0, limit=2 * BODY_BYTES)
            self.servers.append(server)
            port = server.sockets[0].getsockname()[1]
            await self.operate(f"/-/instances/i-{service}", {
                "service": service, "addr": f"127.0.0.1:{port}", "zone": "north", "version": "v1", "slots": 500,
                "state": "ready", "cold-left-ms": 0, "seq": 1, "born": number + 1})
        await asyncio.sleep(1.0)
        await self.check_serves()

    async def asyncTearDown(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for writer in self.writers:
            writer.transport.abort()
        for server in self.servers:
            server.close()
        shutil.rmtree(self.folder)

    def start(self, role, ip):
        data = self.folder / f"{role}-data"
        data.mkdir()
        settings = self.folder / f"{role}.toml"
        settings.write_text(processes.node_settings(
            (MAILBOX, CALLERS, READINESS, CONTROL), ["north"], name=role, ip=ip, zone="north", folder=data, tolerated=0,
            seeds=f'"{COORDINATOR}:{CONTROL}"') + f"[limits]\nmemory-mb = {MEMORY_MB}\nmax-fds = {DESCRIPTORS}\n")
        with open(self.folder / f"{role}.log", "ab") as log:
            self.processes[role] = subprocess.Popen(
                [processes.BUILD + "/figcleat-node", role, "--settings", settings, "--metrics-port", str(METRICS)],
                stdout=log, stderr=log)

    # Targets.

    async def echo(self, reader, writer):
        with contextlib.suppress(*traffic.ERRORS):
            _, headers = await traffic.read_head(reader)
            await self.reply(writer, headers, await traffic.read_body(reader, headers))

    async def large(self, reader, writer):
        with contextlib.suppress(*traffic.ERRORS):
            _, headers = await traffic.read_head(reader)
            await self.reply(writer, headers, bytes(ANSWER_BYTES))

    async def reply(self, writer, headers, body):
        writer.write(self.answer_head(headers, {"Content-Length": len(body)}) + body)
        await writer.drain()
        writer.close()

    async def endless(self, reader, writer):
        """A stream of events without end."""
        with contextlib.suppress(*traffic.ERRORS):
            _, headers = await traffic.read_head(reader)
            writer.write(self.answer_head(headers, {"Content-Type": "text/event-stream"}))
            for number in range(1, 1000):
                writer.write(f"id: {number}\ndata: {'x' * 30000}\n\n".encode())
                await writer.drain()
                await asyncio.sleep(0.02)
        writer.close()

    async def deaf(self, reader, writer):
        """Never reads a body."""
        self.writers.append(writer)
        writer.transport.pause_reading()

    async def asleep(self, reader, writer):
        """Reads requests and answers none."""
        self.writers.append(writer)
        with contextlib.suppress(*traffic.ERRORS):
            await reader.read()

    @staticmethod
    def answer_head(headers, more):
        return traffic.head_of("HTTP/1.1 200 OK", {
            "X-Figcleat-Attempt-Id": headers["x-figcleat-attempt-id"], "X-Figcleat-Server-Seal": "sealed",
            "Connection": "close", **more}).encode()

    # Callers.

    async def operate(self, path, body):
        client = traffic.Client(random.Random(1))
        text = json.dumps(body)
        call = traffic.head_of(f"PUT {path} HTTP/1.1", {"Host": "control", "Content-Length": len(text)}) + text
        with contextlib.closing(client):
            for _ in range(200):
                answers = await client.talk((COORDINATOR, CONTROL), [call.encode()], timeout=5.0)
                if answers and answers[0][0] == 200:
                    return
                await asyncio.sleep(0.1)
        self.fail(f"{path} is not accepted")

    async def call(self, body, timeout=20.0):
        """Status, headers and body of one ordinary request; None if the connection ended without an answer."""
        self.sent += 1
        request = head("echo", f"r-{self.sent}", {"Content-Length": len(body)}) + body
        with contextlib.suppress(*traffic.ERRORS):
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(FRONT, CALLERS, limit=2 * BODY_BYTES)
                try:
                    writer.write(request)
                    (_, status, *_), headers = await traffic.read_head(reader)
                    return int(status), headers, await traffic.read_body(reader, headers)
                finally:
                    writer.transport.abort()
        return None

    async def check_serves(self):
        """An ordinary caller is answered; it comes back after refusals that promise that nothing has run."""
        answer = None
        for _ in range(30):
            answer = await self.call(b"still there?")
            if answer is not None and answer[0] == 200:
                self.assertEqual(answer[2], b"still there?")
                return
            if answer is not None:
                self.assertEqual(answer[0], 503)
            await asyncio.sleep(float(answer[1].get("retry-after", 0.2)) if answer else 0.2)
        self.fail(f"no answer for an ordinary caller, last {answer}")

    def check_process(self):
        process = self.processes["front"]
        self.assertIsNone(process.poll(), "the front has ended")
        folder = pathlib.Path(f"/proc/{process.pid}")
        peak, = (int(line.split()[1]) for line in (folder / "status").read_text().splitlines()
                 if line.startswith("VmHWM:"))
        descriptors = len(list((folder / "fd").iterdir()))
        print(f"peak {peak / 1024:.1f} MB, {descriptors} descriptors", flush=True)
        # Sanitizers keep freed memory, so that the bound holds for usual builds only.
        if b"__asan_init" not in pathlib.Path(processes.BUILD, "figcleat-node").read_bytes():
            self.assertLessEqual(peak, MEMORY_MB * 1024, "kB resident")
        self.assertLessEqual(descriptors, DESCRIPTORS)

    async def crowd(self, count, first, repeated=b"", reads=False):
        """Clients that send `first`, then `repeated` until the front closes or the time is over, and stay connected."""
        async def press(number):
            with contextlib.suppress(*traffic.ERRORS):
                reader, writer = await asyncio.open_connection(FRONT, CALLERS, limit=4096)
                self.writers.append(writer)
                if not reads:
                    writer.transport.pause_reading()
                writer.write(first(number))
                end = time.monotonic() + PRESS_SECONDS
                while repeated and time.monotonic() < end and not writer.is_closing():
                    async with asyncio.timeout(PRESS_SECONDS):
                        await writer.drain()
                    writer.write(repeated)
                    await asyncio.sleep(0.001)

        started = time.monotonic()
        await asyncio.gather(*(press(number) for number in range(count)))
        await asyncio.sleep(max(0.0, PRESS_SECONDS - (time.monotonic() - started)))
        self.check_process()
        await self.check_serves()
        self.check_process()

    async def test_body_at_the_limit(self):
        """Guards against a request inside the limits that is refused in calm."""
        body = bytes(BODY_BYTES)
        answer = await self.call(body)
        self.assertIsNotNone(answer)
        self.assertEqual((answer[0], len(answer[2])), (200, len(body)))
        answer = await self.call(body + b"x")
        self.assertEqual(answer and answer[0], 413)
        self.check_process()

    async def test_announced_bodies_over_the_limit(self):
        """Guards against memory for a length that a client announces, and for what it sends beyond the limit."""
        await self.crowd(CROWD, lambda n: head("echo", f"c-{n}", {"Content-Length": 1 << 30}), bytes(65536), reads=True)

    async def test_bodies_without_end(self):
        """Guards against memory for bodies in chunks that never end."""
        chunk = b"8000\r\n" + bytes(0x8000) + b"\r\n"
        await self.crowd(CROWD, lambda n: head("echo", f"c-{n}", {"Transfer-Encoding": "chunked"}), chunk)

    async def test_bodies_that_stay_incomplete(self):
        """Guards against memory for bodies inside the limit that their clients never finish."""
        await self.crowd(CROWD, lambda n: head("echo", f"c-{n}", {"Content-Length": BODY_BYTES})
                         + bytes(BODY_BYTES - 1))

    async def test_heads_without_end(self):
        """Guards against memory for headers that never end."""
        await self.crowd(MANY, lambda n: b"POST /echo/1 HTTP/1.1\r\nX-Long: " + b"a" * HEADER_BYTES)

    async def test_connections_that_send_nothing(self):
        """Guards against connections that take all descriptors or keep ordinary callers out."""
        await self.crowd(MANY, lambda n: b"")
        await self.crowd(MANY, lambda n: b"POST /ec")

    async def test_answers_that_nobody_reads(self):
        """Guards against memory for whole answers that clients leave unread."""
        await self.crowd(CROWD, lambda n: head("large", f"c-{n}", {"Content-Length": 0}))

    async def test_streams_that_nobody_reads(self):
        """Guards against memory for events that clients leave unread."""
        await self.crowd(CROWD, lambda n: head("endless", f"c-{n}", {"Content-Length": 0}))

    async def test_targets_that_read_nothing(self):
        """Guards against memory for requests that their target does not read."""
        await self.crowd(CROWD, lambda n: head("deaf", f"c-{n}", {"Content-Length": BODY_BYTES}) + bytes(BODY_BYTES))

    async def test_requests_behind_one_without_an_answer(self):
        """Guards against memory for what clients send while they wait for an answer."""
        await self.crowd(MANY, lambda n: head("asleep", f"c-{n}", {"Content-Length": 0}), bytes(65536))


if __name__ == "__main__":
    processes.main()
