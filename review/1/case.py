"""CONFIG: registrations of another writer take every server away from every front for good."""
import asyncio
import collections
import contextlib
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
import stage as st  # noqa: E402

STABLE_S = 3.0
APPLY_S = 2.0
PERIOD_S = 0.1
CALM_S = 25.0
WATCHED_S = 30.0


class Callers:
    """Sends requests to the fronts in turn and counts what is answered on each route."""

    def __init__(self, stage):
        self.stage, self.sent = stage, []

    async def press(self, path):
        while True:
            front = self.stage.fronts[len(self.sent) % len(self.stage.fronts)]
            request = self.stage.next_id()
            entry = [path, time.monotonic(), 0]
            self.sent.append(entry)
            with contextlib.suppress(*st.ERRORS):
                entry[2], _, _ = await st.call((self.stage.ip(front), st.FRONT_PORT), "GET", path,
                                               st.client_headers(request), b"", seconds=1.5)
            self.stage.note(f"request {request} {path} at {front}: {entry[2]}")
            await asyncio.sleep(PERIOD_S)

    def served(self, path, start=0.0, end=float("inf")):
        statuses = [status for one, at, status in self.sent if one == path and start <= at < end]
        return statuses.count(200), len(statuses), dict(collections.Counter(statuses))


async def register_elsewhere(stage, servers):
    """An older registrar on the same machines: its own ids and service name, the servers' addresses, its own start."""
    for number, server in enumerate(servers):
        body = json.dumps({"service": "legacy-desk", "addr": "%s:%d" % server.address, "zone": server.zone,
                           "version": "v0", "slots": server.slots, "state": "ready", "cold-left-ms": 0, "seq": 1,
                           "born": int(time.time() * 1000)}).encode()
        name = stage.cores[number % len(stage.cores)]
        status, _, _ = await stage.control(name, "PUT", f"/-/instances/legacy-{number + 1}", body)
        stage.say(f"registration of legacy-{number + 1}, service legacy-desk, at {name}: {status}")


async def play(stage):
    servers = [st.Server(stage, i, "returns-desk") for i in range(3)]
    await stage.open([st.service("returns-desk")], [st.route("r-look", "safe", "returns-desk", "/look/")])
    await asyncio.sleep(STABLE_S + 1)
    callers = Callers(stage)
    stage.tasks.append(asyncio.create_task(callers.press("/look/1")))
    await asyncio.sleep(CALM_S)
    struck = time.monotonic()
    if st.TROUBLE:
        await register_elsewhere(stage, servers)
    await asyncio.sleep(STABLE_S + 1)
    # A route is added, as configurations do.
    stage.configuration["version"] = 12
    stage.configuration["routes"].append(st.route("r-new", "safe", "returns-desk", "/new/"))
    await stage.operator("PUT", "/-/config", json.dumps(stage.configuration).encode())
    stage.say("configuration 12 with another route is acknowledged")
    await asyncio.sleep(APPLY_S + 0.5)
    stage.tasks.append(asyncio.create_task(callers.press("/new/1")))
    await asyncio.sleep(struck + WATCHED_S - time.monotonic())
    first, new = callers.served("/look/1"), callers.served("/new/1")
    stage.say(f"first route: before {callers.served('/look/1', 0, struck)}, after "
              f"{callers.served('/look/1', struck + STABLE_S)} (served, sent, statuses)")
    stage.say(f"added route: {new}")
    for server in servers:
        status, _, _ = await st.call(server.address, "GET", "/healthz", {}, b"", seconds=1)
        stage.say(f"{server.id} is {server.state}, its health check gives {status}, {server.seq} registrations sent")
    stage.say("ready: " + ", ".join([name for name in stage.fronts if await stage.ready(name)]))
    if new[1] < 20:
        raise st.CannotRun("too few requests on the added route")
    return st.BROKEN if new[0] / new[1] < first[0] / first[1] / 4 else st.HELD


st.run(__file__, play, fronts=3)
