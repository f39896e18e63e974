"""Targets of the soak: servers that compare what they get with what was sent, and the trouble that they make."""
import asyncio
import contextlib
import json
import random
import time

import traffic
from traffic import ERRORS, Client, read_body, read_head

STREAM_EVENTS = 6
# Part of every byte that no caller may get.
MARK = "spoiled"
TROUBLE_SECONDS = 3.0
OK_HEAD = "HTTP/1.1 200 OK\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
# What a target sends instead of an answer: first bytes, and those that it repeats until its caller closes. {} stands
# for the headers of a sound answer.
TROUBLES = {
    "junk": (f"\x16\x03\x01 {MARK} \x00\xff no answer\r\n\r\n", ""),
    "endless-junk": ("", f"{MARK}\x00\xff"),
    "endless-head": (OK_HEAD + "{}", f"X-Head: {MARK}\r\n"),
    "endless-line": (OK_HEAD + "{}X-Head: ", MARK),
    "endless-continue": ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    "endless-body": (OK_HEAD + "{}" + CHUNKED + "\r\n", f"{len(MARK):x}\r\n{MARK}\r\n"),
    "endless-event": (OK_HEAD + "{}Content-Type: text/event-stream\r\n" + CHUNKED + "\r\n",
                      f"{len(MARK) + 6:x}\r\ndata: {MARK}\r\n"),
    "endless-chunk-size": (OK_HEAD + "{}" + CHUNKED + "\r\n", "0"),
    "endless-trailers": (OK_HEAD + "{}" + CHUNKED + "\r\n0\r\n", f"X-Trailer: {MARK}\r\n"),
}
EXTRA = f"HTTP/1.1 200 OK\r\nContent-Length: {len(MARK)}\r\n\r\n{MARK}"


class Target:
    """A server that records which requests it ran, behind a proxy that spoils its connections."""

    def __init__(self, world, name, service):
        self.world, self.name, self.service = world, name, service
        self.mode, self.trouble, self.beats, self.state = "pass", "", 0, "ready"
        self.started = int(time.time() * 1000)
        self.random = random.Random(f"{world.seed} {name}")
        self.client = Client(random.Random(f"{world.seed} {name} client"))

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.proxy = await asyncio.start_server(self.relay, "127.0.0.1", 0)
        self.port = self.proxy.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        with contextlib.suppress(*ERRORS):
            try:
                (method, path, _), headers = await read_head(reader)
                trouble = self.trouble
                body = None if trouble == "early" else await read_body(reader, headers)
            except (ValueError, asyncio.LimitOverrunError) as problem:
                self.world.violate(f"UNASKED: {self.name} got no request: {problem}")
                writer.close()
                return
            request = headers.get("x-figcleat-attempt-id")
            self.world.check_run(self.name, request, method, path, headers, body)
            await self.answer(writer, request, path, headers, trouble)
            if body is not None and not trouble.startswith("endless"):
                async with asyncio.timeout(1.0):
                    if rest := await reader.read(4096):
                        self.world.violate(f"UNASKED: {self.name} got {rest!r:.90} after {request}")
        writer.close()

    async def answer(self, writer, request, path, headers, trouble):
        common = (f"X-Figcleat-Attempt-Id: {request}\r\nX-Figcleat-Server-Seal: {self.name}\r\n"
                  "Connection: close\r\n")
        if headers.get("x-figcleat-expect-instance") != self.name or self.random.random() < 0.02:
            writer.write("HTTP/1.1 503 Busy\r\nX-Figcleat-Not-Executed: 1\r\nContent-Length: 0\r\n"
                         f"{common}\r\n".encode())
            await writer.drain()
            return
        self.world.runs.setdefault(request, []).append(self.name)
        if trouble in TROUBLES:
            await self.make_trouble(writer, trouble, common)
            return
        if trouble != "early":
            await asyncio.sleep(self.random.uniform(0.001, 0.03))
        if path.startswith("/feed/"):
            await self.stream(writer, request, int(headers.get("last-event-id", 0)), common)
        else:
            body = f"done {request}"
            writer.write(f"{OK_HEAD}Content-Length: {len(body)}\r\n{common}\r\n{body}".encode())
        if trouble == "extra":
            writer.write(EXTRA.encode())
        await writer.drain()

    async def stream(self, writer, request, last, common):
        writer.write(f"{OK_HEAD}Content-Type: text/event-stream\r\n{CHUNKED}{common}\r\n".encode())
        for number in range(last + 1, STREAM_EVENTS + 1):
            event = f"id: {number}\ndata: {request}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    async def make_trouble(self, writer, trouble, common):
        first, repeated = TROUBLES[trouble]
        writer.write(first.replace("{}", common).encode("latin-1"))
        await writer.drain()
        block = (repeated * (65536 // max(1, len(repeated)))).encode("latin-1")
        end = time.monotonic() + TROUBLE_SECONDS
        while block and time.monotonic() < end:
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(0)

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
            while data := await reader.read(65536):
                mode = self.mode
                if mode == "silent" or (mode == "one-way" and is_answer):
                    continue
                if mode == "delay":
                    await asyncio.sleep(self.random.uniform(0.05, 0.3))
                if mode == "break" and is_answer:
                    outer.transport.abort()
                    return
                if mode == "pieces":
                    await traffic.write_in_pieces(writer, self.random, data)
                else:
                    writer.write(data)
                    await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()

    async def beat(self):
        while True:
            if self.state != "gone":
                self.beats += 1
                body = {"service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": "north", "version": "v1",
                        "slots": 8, "state": self.state, "cold-left-ms": 0, "seq": self.beats, "born": self.started}
                await self.world.control(self.client, "PUT", f"/-/instances/{self.name}", json.dumps(body))
            await asyncio.sleep(0.4)

    async def leave(self):
        """Ends this life of the target and begins the next one."""
        self.state = "draining"
        await asyncio.sleep(self.random.uniform(0.5, 1.0))
        self.state = "gone"
        with contextlib.closing(Client(self.random)) as client:
            await self.world.control(client, "DELETE", f"/-/instances/{self.name}", json.dumps({"born": self.started}))
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        self.started, self.beats, self.state = int(time.time() * 1000), 0, "ready"
