"""A model server answers streams with an event that never ends; the other callers of the front wait; CONFIG is checked."""
import asyncio
import contextlib
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import lab

CLIENTS = 24
DEADLINE_MS = 1500
TIMEOUT_MS = 800
STREAM_TIMEOUT_MS = 8000
STREAMS_PER_SECOND = 24.0
EVENTS, EVENT_SECONDS = 10, 0.05
CALM_SECONDS, PLAY_SECONDS = 4.0, 20.0
# Half of the model servers get into trouble, as with `garble`.
MODEL_SERVERS, TROUBLED = 8, 4
# The shortest line that an event may have: a comment without text.
LINE = b":\n"
BLOCK = (b"%x\r\n%s\r\n" % (len(LINE), LINE)) * 2000


async def stream(server, writer, request, headers):
    writer.write(lab.head_of("HTTP/1.1 200 OK", {**headers, "Content-Type": "text/event-stream",
                                                 "Transfer-Encoding": "chunked"}))
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: {request}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")


async def endless(server, writer, request, headers):
    """Lines of an event, without the empty line that ends it, until the caller closes."""
    writer.write(lab.head_of("HTTP/1.1 200 OK", {**headers, "Content-Type": "text/event-stream",
                                                 "Transfer-Encoding": "chunked"}))
    sent = 0
    with contextlib.suppress(*lab.ERRORS):
        while True:
            writer.write(BLOCK)
            await writer.drain()
            sent += len(BLOCK)
            await asyncio.sleep(0)
    server.deployment.record.line(f"server {server.id}: its caller closed {request} after {sent} B")


async def ask(deployment, number):
    """One stream on a connection of its own."""
    request, status, events = f"draft-{number}", None, 0
    with contextlib.suppress(*lab.ERRORS):
        async with asyncio.timeout(STREAM_TIMEOUT_MS / 1000):
            reader, writer = await asyncio.open_connection(deployment.fronts[0], deployment.callers)
            try:
                writer.write(lab.head_of("POST /draft/1 HTTP/1.1", {
                    "Host": lab.HOST, "X-Figcleat-Attempt-Id": request, "X-Figcleat-Deadline-Ms": STREAM_TIMEOUT_MS,
                    "Authorization": f"Bearer {lab.KEY}", "Content-Length": 0}))
                (_, text, *_), headers = await lab.read_head(reader)
                status = int(text)
                if status == 200:
                    async for piece in lab.read_chunks(reader):
                        events += piece.count(b"data:")
            finally:
                writer.transport.abort()
    deployment.record.line(f"client: {request} answered {status}, {events} events")


async def play(record):
    deployment = lab.Deployment(record)
    try:
        await deployment.open()
        routes = [lab.route("draft", "models", "stream", STREAM_TIMEOUT_MS, resumable=True, **{"max-gap-ms": 120}),
                  lab.route("look", "desk", "safe", TIMEOUT_MS)]
        await deployment.operate("PUT", "/-/config", lab.configuration(1, routes, ["models", "desk"]))
        models = [lab.Server(deployment, "models", stream, slots=12) for _ in range(MODEL_SERVERS)]
        for one in [*models, lab.Server(deployment, "desk", lab.answer_after(0.02))]:
            await one.open()
        await deployment.wait_ready("/look/1", {"Authorization": f"Bearer {lab.KEY}"})
        deployment.question_fronts()
        end = time.monotonic() + CALM_SECONDS + PLAY_SECONDS
        lookups = [lab.Lookups(deployment, number, DEADLINE_MS) for number in range(CLIENTS)]
        running = [asyncio.create_task(one.run(end)) for one in lookups]
        trouble_at, number = time.monotonic() + CALM_SECONDS, 0
        while time.monotonic() < end:
            if lab.TROUBLE and models[0].work is stream and time.monotonic() >= trouble_at:
                for one in models[:TROUBLED]:
                    record.line(f"server {one.id} sends events without end from now on")
                    one.work = endless
            number += 1
            running.append(asyncio.create_task(ask(deployment, number)))
            await asyncio.sleep(random.expovariate(STREAMS_PER_SECOND))
        await asyncio.gather(*running)
        summary, breaks = lab.judge_timeouts([taken for one in lookups for taken in one.times], TIMEOUT_MS / 1000)
        summary += f"; readyz missed {max(deployment.unready.values(), default=0)} times in a row; peaks {deployment.peaks}"
        record.line(summary)
        print(summary)
        return breaks
    finally:
        await deployment.close()


lab.run_case("10", pathlib.Path(__file__).resolve().parent, play)
