"""Times until coordinators acknowledge registrations and sign-offs of targets, on real processes with disks.

    python3 test/sign-offs.py --build build --targets 300
"""
import argparse
import asyncio
import json
import random
import shutil
import statistics
import time

import soak
import traffic
from processes import ROOT

CALLERS = 8


async def timed(world, client, core, method, path, body):
    head = traffic.head_of(f"{method} {path} HTTP/1.1", {"Host": traffic.HOST, "Content-Length": len(body)})
    began = time.monotonic()
    answers = await client.talk((world.cores[core], world.base_port + 3), [(head + body).encode()], timeout=5.0)
    if not answers or answers[0][0] != 200:
        raise RuntimeError(f"{method} {path} got {answers[0][0] if answers else 'no answer'}")
    return (time.monotonic() - began) * 1000


async def measure(world, count):
    for name in world.cores:
        world.start(name, first=True)
    while not await world.configure():
        await asyncio.sleep(0.1)
    times = {"ready": [], "draining": [], "gone": []}

    async def caller(numbers):
        # Requests go out whole, each on a connection that is kept.
        client = traffic.Client(random.Random(1))
        client.random.random = lambda: 1.0
        for number in numbers:
            core = random.Random(number).choice(tuple(world.cores))
            for sequence, state in enumerate(("ready", "draining"), 1):
                body = {"service": "desk", "addr": f"127.0.0.1:{10000 + number}", "zone": "north", "version": "v1",
                        "slots": 8, "state": state, "cold-left-ms": 0, "seq": sequence, "born": 1}
                if state == "draining" and number % 2:
                    times["gone"].append(await timed(world, client, core, "DELETE", f"/-/instances/i-{number}",
                                                     json.dumps({"born": 1})))
                else:
                    times[state].append(await timed(world, client, core, "PUT", f"/-/instances/i-{number}",
                                                    json.dumps(body)))
        client.close()

    for round, callers in enumerate((1, CALLERS)):
        numbers = range(round * count, (round + 1) * count)
        await asyncio.gather(*(caller(numbers[first::callers]) for first in range(callers)))
        for name, values in times.items():
            values.sort()
            print(f"{callers} callers, {name}: {len(values)} calls, median {statistics.median(values):.1f} ms, "
                  f"99 in 100 {values[int(0.99 * len(values))]:.1f} ms, longest {values[-1]:.1f} ms")
            values.clear()
    world.client.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default=str(ROOT / "build"))
    parser.add_argument("--targets", type=int, default=300)
    given = parser.parse_args()
    world = soak.World(given.build, 1, 31400, size=6)
    try:
        asyncio.run(measure(world, given.targets))
    finally:
        for process in world.processes.values():
            process.kill()
            process.wait()
        shutil.rmtree(world.folder)


if __name__ == "__main__":
    main()
