"""CONFIG: after one core machine was silent for 22 s, every front has lost every server for good."""
import asyncio
import collections
import contextlib
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
import stage as st  # noqa: E402

STABLE_S = 3.0
SILENT_S = 22.0
APPLY_S = 2.0
PERIOD_S = 0.1
WATCHED_S = 30.0


class Callers:
    """Sends requests to the fronts in turn and counts what is answered on each route."""

    def __init__(self, stage):
        self.stage, self.sent = stage, []

    async def ask(self, path):
        front = self.stage.fronts[len(self.sent) % len(self.stage.fronts)]
        request, status = self.stage.next_id(), 0
        entry = [path, time.monotonic(), 0]
        self.sent.append(entry)
        with contextlib.suppress(*st.ERRORS):
            status, _, _ = await st.call((self.stage.ip(front), st.FRONT_PORT), "GET", path,
                                         st.client_headers(request), b"", seconds=1.5)
        entry[2] = status
        self.stage.note(f"request {request} {path} at {front}: {status}")

    async def press(self, path):
        while True:
            await self.ask(path)
            await asyncio.sleep(PERIOD_S)

    def served(self, path, start=0.0, end=float("inf")):
        statuses = [status for one, at, status in self.sent if one == path and start <= at < end]
        return statuses.count(200), len(statuses), dict(collections.Counter(statuses))


async def play(stage):
    servers = [st.Server(stage, i, "returns-desk") for i in range(3)]
    await stage.open([st.service("returns-desk")], [st.route("r-look", "safe", "returns-desk", "/look/")])
    await asyncio.sleep(STABLE_S + 1)
    callers = Callers(stage)
    stage.tasks.append(asyncio.create_task(callers.press("/look/1")))
    await asyncio.sleep(5)
    # A core machine that does not lead, so that nothing else happens meanwhile.
    victim = None
    for name in stage.cores:
        status, _, _ = await st.call((stage.ip(name), st.CONTROL_PORT), "GET", "/-/config", {}, b"", seconds=1)
        victim = name if status == 307 else victim
    if victim is None:
        raise st.CannotRun("no core machine redirects")
    struck = time.monotonic()
    if st.TROUBLE:
        stage.processes[victim].send_signal(signal.SIGSTOP)
        stage.say(f"{victim} is silent")
    await asyncio.sleep(SILENT_S)
    if st.TROUBLE:
        stage.processes[victim].send_signal(signal.SIGCONT)
        stage.say(f"{victim} goes on")
    back = time.monotonic()
    # All machines are in touch again; a route is added, as configurations do.
    await asyncio.sleep(STABLE_S + 1)
    stage.configuration["version"] = 12
    stage.configuration["routes"].append(st.route("r-new", "safe", "returns-desk", "/new/"))
    await stage.operator("PUT", "/-/config", json.dumps(stage.configuration).encode())
    stage.say("configuration 12 with another route is acknowledged")
    await asyncio.sleep(APPLY_S + 0.5)
    added = time.monotonic()
    stage.tasks.append(asyncio.create_task(callers.press("/new/1")))
    await asyncio.sleep(back + WATCHED_S - time.monotonic())
    # Steady state: not within stable-window-ms of the freeze or of its end.
    parts = [callers.served("/look/1", *span)
             for span in ((0, struck), (struck + STABLE_S, back), (back + STABLE_S, float("inf")))]
    first = [sum(part[i] for part in parts) for i in (0, 1)]
    new = callers.served("/new/1")
    stage.say(f"first route, in steady state: before {parts[0]}, while silent {parts[1]}, after {parts[2]}")
    stage.say(f"added route: {new} (served, sent, statuses) over {time.monotonic() - added:.0f} s")
    for server in servers:
        status, _, _ = await st.call(server.address, "GET", "/healthz", {}, b"", seconds=1)
        stage.say(f"{server.id} is {server.state}, its health check gives {status}, {server.seq} registrations sent")
    stage.say("ready: " + ", ".join([name for name in stage.fronts if await stage.ready(name)]))
    if new[1] < 20:
        raise st.CannotRun("too few requests on the added route")
    return st.BROKEN if new[0] / new[1] < first[0] / first[1] / 4 else st.HELD


st.run(__file__, play, fronts=3)
