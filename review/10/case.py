"""A front gets SIGTERM; streams that clients send on kept connections just over 3 s later are taken and then cut; LOST."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "6"))
import lab

CLIENTS = 12
DEADLINE_MS = 8000
TIMEOUT_MS = 8000
EVENTS = 48
EVENT_SECONDS = 0.1
# LOST excuses requests that are sent no later than 3 s after the SIGTERM.
EXCUSED_SECONDS = 3.0
FIRST_SECONDS, LAST_SECONDS = 3.04, 3.14


async def stream(server, writer, request, headers):
    """A stream of 4.8 s, an event each 0.1 s."""
    writer.write(lab.head_of("HTTP/1.1 200 OK", {**headers, "Content-Type": "text/event-stream",
                                                 "Transfer-Encoding": "chunked"}))
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: {request}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
        await lab.leave_if_closed(writer)
    writer.write(b"0\r\n\r\n")
    server.deployment.record.line(f"server {server.id}: has ended {request} after {EVENTS} events")


class Client:
    def __init__(self, deployment, number):
        self.deployment, self.number = deployment, number

    async def open(self):
        """Makes its connection a kept one by a first request."""
        self.reader, self.writer = await asyncio.open_connection(self.deployment.fronts[0], self.deployment.callers)
        self.writer.write(self.head("GET", "look", f"look-{self.number}"))
        (_, status, *_), headers = await lab.read_head(self.reader)
        await lab.read_body(self.reader, headers)
        if status != "200":
            raise lab.CannotRun(f"a first request is answered {status}")

    @staticmethod
    def head(method, route, request):
        return lab.head_of(f"{method} /{route}/1 HTTP/1.1", {
            "Host": lab.HOST, "X-Figcleat-Attempt-Id": request, "X-Figcleat-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Bearer {lab.KEY}", **({"Content-Length": 0} if method == "POST" else {})})

    async def draft(self, stopped_at):
        """Sends a stream on the kept connection; returns its id, when it was sent, its status, events and whether it was whole."""
        at = stopped_at + FIRST_SECONDS + (LAST_SECONDS - FIRST_SECONDS) * self.number / (CLIENTS - 1)
        await asyncio.sleep(at - time.monotonic())
        request, status, events, whole = f"draft-{self.number}", None, 0, False
        sent = time.monotonic() - stopped_at
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                self.writer.write(self.head("POST", "draft", request))
                (_, text, *_), headers = await lab.read_head(self.reader)
                status = int(text)
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    async for piece in lab.read_chunks(self.reader):
                        events += piece.count(b"data:")
                else:
                    await lab.read_body(self.reader, headers)
                whole = True
        except lab.ERRORS as problem:
            self.deployment.record.line(f"client {self.number}: {request} ends with {type(problem).__name__}")
        ended = time.monotonic() - stopped_at
        self.deployment.record.line(f"client {self.number}: {request} sent {sent:.3f} s after the SIGTERM, status {status}, "
                                    f"{events} events, {'whole' if whole else 'not whole'}, ended {ended:.3f} s after it")
        return request, sent, status, whole, ended

    def close(self):
        self.writer.transport.abort()


async def play(record):
    deployment = lab.Deployment(record, fronts=2)
    try:
        await deployment.open()
        routes = [lab.route("draft", "models", "stream", TIMEOUT_MS, **{"max-gap-ms": 120}),
                  lab.route("look", "desk", "safe", 2000)]
        await deployment.operate("PUT", "/-/config", lab.configuration(1, routes, ["models", "desk"]))
        models = lab.Server(deployment, "models", stream)
        await models.open()
        await lab.Server(deployment, "desk", lab.answer_after(0.01)).open()
        await deployment.wait_ready("/look/1", {"Authorization": f"Bearer {lab.KEY}"})
        # Longer than `stable-window-ms`, so that the stop comes in calm.
        await asyncio.sleep(4.0)
        clients = [Client(deployment, number) for number in range(CLIENTS)]
        for one in clients:
            await one.open()
        front, stopped_at = deployment.fronts[0], time.monotonic()
        if lab.TROUBLE:
            record.line(f"platform: SIGTERM for the front {front}")
            deployment.stopped.add(front)
            deployment.processes[front].send_signal(signal.SIGTERM)
        drafts = asyncio.gather(*(one.draft(stopped_at) for one in clients))
        if lab.TROUBLE:
            with_grace = stopped_at + lab.GRACE_SECONDS
            while deployment.processes[front].poll() is None and time.monotonic() < with_grace:
                await asyncio.sleep(0.02)
            record.line(f"platform: the front has {'ended by itself' if deployment.processes[front].poll() is not None else 'not ended'} "
                        f"{time.monotonic() - stopped_at:.3f} s after the SIGTERM")
            deployment.processes[front].kill()
        done = await drafts
        for one in clients:
            one.close()
        lost = [(request, sent, ended) for request, sent, status, whole, ended in done
                if request in models.runs and not whole and (sent > EXCUSED_SECONDS or not lab.TROUBLE)
                and ended < min(sent + TIMEOUT_MS / 1000, lab.GRACE_SECONDS + 1)]
        whole = sum(one[3] and one[2] == 200 for one in done)
        summary = f"{len(done)} streams sent, {len(models.runs)} run, {whole} whole, {len(lost)} cut by the front"
        record.line(summary)
        print(summary)
        return [f"LOST: {request}, sent {sent:.3f} s after the SIGTERM and passed on, was cut {ended:.3f} s after it"
                for request, sent, ended in lost]
    finally:
        await deployment.close()


lab.run_case("10", pathlib.Path(__file__).resolve().parent, play)
