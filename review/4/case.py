"""LOST: one front is killed, its callers come to the next one, and that one is killed for the memory of their uploads."""
import asyncio
import contextlib
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
import stage as st  # noqa: E402

# All callers are in one zone with two of the six fronts; half of the uploads at each.
ZONE = "okahandja"
UPLOADERS = 360
UPLOAD_BYTES = 1000 * 1000
# About 1 Mbit/s, so that an upload takes 8 s.
PIECES, PIECE_S = 40, 0.2
BOOKERS = 40
WORK_S = 0.25
CALM_S = 12.0
WATCHED_S = 18.0
MEMORY_KB = st.MEMORY_MB["front"] * 1000 * 1000 // 1024


def zone_fronts(stage):
    return [name for name in stage.fronts if stage.nodes[name][2] == ZONE]


class Caller:
    """Keeps its connection as long as its front does, and sends one booking after another."""

    def __init__(self, stage, results, isUploader, front):
        self.stage, self.results, self.isUploader, self.front = stage, results, isUploader, front
        self.connection, self.isKept = None, False

    async def run(self):
        await asyncio.sleep(random.uniform(0, PIECES * PIECE_S if self.isUploader else 1))
        while True:
            request = self.stage.next_id()
            if self.connection is None:
                # The platform gives a new connection to a front of the zone that is in rotation.
                up = [name for name in zone_fronts(self.stage) if self.stage.processes[name].poll() is None]
                self.front = self.front if self.front in up else random.choice(up or zone_fronts(self.stage))
            began, front, isKept, status = time.monotonic(), self.front, self.isKept, 0
            try:
                if self.connection is None:
                    async with asyncio.timeout(1):
                        self.connection = await asyncio.open_connection(self.stage.ip(front), st.FRONT_PORT)
                status = await self.ask(request)
                self.isKept = True
            except st.ERRORS:
                self.close()
            self.results.append((request, front, isKept, status, began, time.monotonic(), self.isUploader))
            if not self.isUploader or status not in (0, 200):
                self.stage.note(f"answer {request} from {front} {status} kept={isKept}")
            await asyncio.sleep(0.05 if status else 0.3)

    def close(self):
        if self.connection is not None:
            self.connection[1].transport.abort()
        self.connection, self.isKept = None, False

    async def ask(self, request):
        reader, writer = self.connection
        size = UPLOAD_BYTES if self.isUploader else 300
        # The headers of an upload come with its first piece, and its deadline covers all of it.
        writer.write(st.head("POST /book/1 HTTP/1.1", {**st.client_headers(request, 15000), "Content-Length": size}))
        if self.isUploader:
            for _ in range(PIECES):
                writer.write(b"p" * (size // PIECES))
                await writer.drain()
                await asyncio.sleep(PIECE_S)
        else:
            writer.write(b"b" * size)
        async with asyncio.timeout(15):
            (_, status, *_), headers = await st.read_head(reader)
            await st.read_body(reader, headers, int(status))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(status)


def memory_kb(process):
    with contextlib.suppress(OSError):
        for line in open(f"/proc/{process.pid}/status"):
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


async def watch_memory(stage, peaks, ends):
    """The platform: kills a process that uses more than memory-mb, and starts it again."""
    while True:
        for name in stage.fronts:
            used = memory_kb(stage.processes[name])
            peaks[name] = max(peaks.get(name, 0), used)
            if used > MEMORY_KB:
                stage.kill(name)
                ends.append((name, time.monotonic()))
                stage.say(f"{name} uses {used * 1024 / 1e6:.0f} MB of {st.MEMORY_MB['front']}: killed")
        await asyncio.sleep(0.05)


async def play(stage):
    servers = [st.Server(stage, i, "till-app", WORK_S, 40) for i in range(3)]
    runs = {}
    for server in servers:
        server.on_run = lambda request, *_: runs.setdefault(request, time.monotonic())
    await stage.open([st.service("till-app", 800)], [st.route("r-book", "unsafe", "till-app", "/book/", **{
        "timeout-ms": 3000, "goal-ms": 1000})])
    await asyncio.sleep(3)
    results, peaks, ends = [], {}, []
    stage.tasks.append(asyncio.create_task(watch_memory(stage, peaks, ends)))
    for number in range(UPLOADERS + BOOKERS):
        one = Caller(stage, results, number < UPLOADERS, zone_fronts(stage)[number % 2])
        stage.tasks.append(asyncio.create_task(one.run()))
    await asyncio.sleep(CALM_S)
    stage.say("peaks in the calm part: " + ", ".join(f"{name} {used * 1024 / 1e6:.0f} MB" for name, used in peaks.items()
                                                  if name in zone_fronts(stage)))
    if ends:
        raise st.CannotRun("a front ends in the calm part")
    first, other = zone_fronts(stage)
    if st.TROUBLE:
        stage.kill(first)
        await asyncio.sleep(3.5)
        stage.start(first)
    end = time.monotonic() + WATCHED_S
    while time.monotonic() < end and not any(name == other for name, _ in ends):
        await asyncio.sleep(0.2)
    await asyncio.sleep(2)
    stage.say("peaks: " + ", ".join(f"{name} {used * 1024 / 1e6:.0f} MB" for name, used in peaks.items()
                                                  if name in zone_fronts(stage)))
    sent = [one for one in results if one[3] == 200]
    stage.say(f"{len(results)} requests, {len(sent)} answered with 200")
    lost = []
    for name, at in ends:
        # Passed on to a sound server, and the kept connection ended without an answer.
        lost += [one[0] for one in results if name == other and one[1] == name and one[2] and one[3] == 0
                 and one[0] in runs and one[4] < at <= one[5] + 0.5]
    stage.say(f"{len(lost)} requests from kept connections were passed on by {other}, ran, and got no answer")
    return st.BROKEN if len(lost) > 3 else st.HELD


st.run(__file__, play, fronts=6)
