"""ORDER: a model server is killed, and its streams, which end with their connection, end as complete at the caller."""
import asyncio
import contextlib
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
import stage as st  # noqa: E402

SERVERS = 6
# One of six servers at a time, for as long as a day of the site has it.
DOWN_S = 4.5
CRASHES = 3
BETWEEN_S = 8.0
PERIOD_S = 0.03
EVENTS = 12
SERVICE = "assistant-models"


async def ask(stage, ended):
    front = random.choice(stage.fronts)
    request = stage.next_id()
    headers = {**st.client_headers(request, 8000), "X-Figcleat-Model": "m", "X-Figcleat-Token-Count": "700,60",
               "X-Figcleat-Prefix-Hash": f"5c1e07a2:40,{random.getrandbits(32):08x}:660"}
    stage.note(f"send {request} to {front}")
    status, body, isWhole = 0, b"", False
    with contextlib.suppress(*st.ERRORS):
        status, _, body = await st.call((stage.ip(front), st.FRONT_PORT), "POST", "/notes/1", headers, b"prompt", 8)
        isWhole = True
    ids = [int(line[4:]) for line in body.decode().splitlines() if line.startswith("id: ")]
    stage.note(f"answer {request} {status} ids={ids} complete={isWhole}")
    ended.append((request, status, ids, isWhole))


async def strike(stage, machines):
    for _ in range(CRASHES):
        await asyncio.sleep(BETWEEN_S)
        if st.TROUBLE:
            victim = random.choice(machines)
            stage.note(f"SIGKILL {victim.id}")
            victim.process.kill()


async def play(stage):
    async with st.model_servers(stage, SERVERS, SERVICE, DOWN_S) as (machines, _):
        await stage.open([st.service(SERVICE, 418)],
                         [st.route("r-notes", "stream", SERVICE, "/notes/", **{
                             "timeout-ms": 8000, "goal-ms": 400, "priority": 1, "attempts": 2, "sticky": True,
                             "resumable": True, "max-gap-ms": 120})])
        await asyncio.sleep(3)
        ended = []
        striking = asyncio.create_task(strike(stage, machines))
        end = time.monotonic() + BETWEEN_S * (CRASHES + 1)
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                group.create_task(ask(stage, ended))
                await asyncio.sleep(PERIOD_S)
        await striking
    served = [one for one in ended if one[1] == 200 and one[3]]
    short = [one for one in served if one[2] != list(range(1, EVENTS + 1))]
    stage.say(f"{len(ended)} streams, {len(served)} answered 200 and complete, {len(short)} of these without their "
              f"last events")
    for request, _, ids, _ in short[:10]:
        stage.say(f"{request} ended as complete after event {ids[-1] if ids else 0} of {EVENTS}")
    if len(served) < 0.8 * len(ended):
        raise st.CannotRun("too few streams are served")
    return st.BROKEN if short else st.HELD


st.run(__file__, play, fronts=3)
