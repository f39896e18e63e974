"""A model server as a process of its own: streams events without a length or chunks, and crashes on one prompt part.

Usage: model_server.py ID IP PORT BORN SERVICE ZONE CORES. Prints a line for each request that it gets.
"""
import asyncio
import json
import os
import pathlib
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import stage as st  # noqa: E402

EVENTS = 12
EVENT_S = 0.03
SLOTS = 12
BAD_PART = "deadbeef"
# FRAMED=1 sends the same streams in chunks; only for comparison.
FRAMED = os.environ.get("FRAMED") == "1"
NAME, IP, PORT, BORN, SERVICE, ZONE, CORES = sys.argv[1:8]
running = 0
sequence = 0


def say(text):
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


async def beat():
    global sequence
    while True:
        for core in CORES.split(","):
            sequence += 1
            body = json.dumps({"service": SERVICE, "addr": f"{IP}:{PORT}", "zone": ZONE, "version": "v1",
                               "slots": SLOTS, "state": "ready", "cold-left-ms": 0, "seq": sequence,
                               "born": int(BORN)}).encode()
            try:
                status, _, _ = await st.call((core, st.CONTROL_PORT), "PUT", f"/-/instances/{NAME}", {}, body, 1.0)
            except st.ERRORS:
                continue
            if status // 100 == 2:
                break
        await asyncio.sleep(1.2)


async def serve(reader, writer):
    global running
    counted = False
    try:
        (_, path, _), headers = await st.read_head(reader)
        await st.read_body(reader, headers)
        request = headers.get("x-figcleat-attempt-id", "")
        common = {"X-Figcleat-Attempt-Id": request, "X-Figcleat-Instance-Id": NAME, "Connection": "close",
                  "X-Figcleat-Server-Load": f"{running},0,{SLOTS}"}
        if headers.get("x-figcleat-expect-instance") not in (None, NAME):
            writer.write(st.head("HTTP/1.1 421 Misdirected Request", {**common, "Content-Length": 0}))
            return
        if running >= SLOTS:
            writer.write(st.head("HTTP/1.1 503 Busy", {**common, "X-Figcleat-Not-Executed": "1", "Content-Length": 0}))
            return
        running += 1
        counted = True
        parts = [part.split(":")[0] for part in headers.get("x-figcleat-prefix-hash", "").split(",")][:-1]
        say(f"run {request} {'bad' if BAD_PART in parts else 'sound'}")
        await asyncio.sleep(0.02)
        framing = {"Transfer-Encoding": "chunked"} if FRAMED else {}
        writer.write(st.head("HTTP/1.1 200 OK", {**common, "Content-Type": "text/event-stream",
                                                 "X-Figcleat-Server-Seal": f"{NAME}.{request}", **framing}))
        await writer.drain()
        if BAD_PART in parts:
            # The server has begun its answer, and crashes.
            say(f"crash {request}")
            os.kill(os.getpid(), signal.SIGKILL)
        for number in range(int(headers.get("last-event-id") or 0) + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {request}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n" if FRAMED else event)
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n" if FRAMED else b"")
        await writer.drain()
    except st.ERRORS:
        pass
    finally:
        running -= counted
        writer.close()


async def main():
    await asyncio.start_server(serve, IP, int(PORT), backlog=1024)
    await beat()


asyncio.run(main())
