"""DRAIN: a server signs off, the node that acknowledged it is killed, and fronts go on sending to that server."""
import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
import stage as st  # noqa: E402

DRAIN_S = 2.0
STABLE_S = 3.0
RESTART_S = 1.0
# after_ack_kill: "loses power within 4 ms".
KILL_WITHIN_MS = 4.0
# The server goes on for drain-ms and "at times many seconds".
LINGER_S = 8.0
REQUESTS = 20


async def ask(stage, front, kind):
    request = stage.next_id()
    headers = st.client_headers(request)
    stage.note(f"send {request} to {front}")
    sent = time.monotonic()
    try:
        method = "POST" if kind == "book" else "GET"
        status, _, body = await st.call((stage.ip(front), st.FRONT_PORT), method, f"/{kind}/1", headers,
                                        b"x" if kind == "book" else b"", seconds=1.5)
    except st.ERRORS as problem:
        status, body = 0, str(problem).encode()
    stage.note(f"answer {request} {status} {body!r:.60}")
    return request, sent, status


async def play(stage):
    servers = [st.Server(stage, i, "returns-desk") for i in range(3)]
    arrived = []

    def watch(server):
        def on_run(request, method, path, headers, body):
            arrived.append((server, request, time.monotonic()))
            stage.note(f"run {request} {method} {path} at {server.id}")
        server.on_run = on_run

    for server in servers:
        watch(server)
    await stage.open([st.service("returns-desk")], [st.route("r-look", "safe", "returns-desk", "/look/"),
                                                    st.route("r-book", "unsafe", "returns-desk", "/book/")])
    await asyncio.sleep(STABLE_S + 1)
    for number in range(REQUESTS):
        for front in stage.fronts:
            _, _, status = await ask(stage, front, "look" if number % 2 else "book")
            if status != 200:
                raise st.CannotRun(f"a request in steady state got {status}")
    # A server that leaves without a word before: DELETE first, then it serves on.
    leaving = servers[0]
    leaving.state, leaving.leaving = "gone", True
    await asyncio.sleep(0.2)
    name = stage.cores[int(leaving.id[-1], 16) % len(stage.cores)]
    body = json.dumps({"born": leaving.born, "seq": leaving.seq + 1}).encode()
    status, _, _ = await stage.control(name, "DELETE", f"/-/instances/{leaving.id}", body)
    acknowledged = time.monotonic()
    if status // 100 != 2:
        raise st.CannotRun(f"DELETE got {status}")
    if st.TROUBLE:
        stage.processes[name].kill()
        lag_ms = (time.monotonic() - acknowledged) * 1000
        stage.kill(name)
        stage.say(f"{name} killed {lag_ms:.2f} ms after the acknowledgement")
        if lag_ms > KILL_WITHIN_MS:
            raise st.CannotRun("the kill came too late")
    stage.say(f"DELETE of {leaving.id} acknowledged with {status} by {name}")
    if st.TROUBLE:
        await asyncio.sleep(RESTART_S)
        stage.start(name)
    # All machines are in touch again stable-window-ms after the restart.
    await asyncio.sleep(acknowledged + RESTART_S + STABLE_S + 0.3 - time.monotonic())
    if not all([await stage.ready(front) for front in stage.fronts]):
        raise st.CannotRun("a front is not ready")
    sent = {}
    for number in range(REQUESTS):
        for front in stage.fronts:
            request, at, _ = await ask(stage, front, "look" if number % 2 else "book")
            sent[request] = (front, at)
    late = [(request, at) for server, request, at in arrived
            if server is leaving and at > acknowledged + DRAIN_S and request in sent]
    for request, at in late:
        front, sent_at = sent[request]
        stage.say(f"{request}, sent by {front}, reached {leaving.id} {at - acknowledged:.2f} s after the acknowledgement")
    await asyncio.sleep(max(0, acknowledged + LINGER_S - time.monotonic()))
    leaving.close()
    stage.say(f"{leaving.id} ends; {len(sent)} requests sent, {len(late)} reached it later than drain-ms")
    return st.BROKEN if late else st.HELD


st.run(__file__, play, fronts=8)
