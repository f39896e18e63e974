"""Registrations, silence and sign-offs of targets, on the platform's program as processes."""
import asyncio
import contextlib
import json
import random
import signal
import shutil
import time
import unittest

import processes
import soak
import traffic
from targets import Target

# Above the time after which a target without registrations counts as silent.
SILENCE_SECONDS = 22.0
# A sign-off has to be in force by then.
DRAIN_SECONDS = 2.0
CORES = ("core-1", "core-2", "core-3")


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    """Three coordinators, three fronts and three targets of each service; every test starts its own."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.world = soak.World(processes.BUILD, 1, 31300, size=6)
        self.client = traffic.Client(random.Random(1))
        self.sent, self.tasks = 0, []
        for name in self.world.nodes:
            self.world.start(name, first=True)
        self.world.targets = [Target(self.world, f"i-{service}-{i}", service)
                              for service in ("desk", "feed") for i in (1, 2, 3)]
        for target in self.world.targets:
            await target.open()
            self.tasks.append(asyncio.create_task(target.beat()))
        deadline = time.monotonic() + 15
        while not await self.world.configure() and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in self.world.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        for client in (self.client, self.world.client, *(one.client for one in self.world.targets)):
            client.close()
        shutil.rmtree(self.world.folder)

    async def control(self, core, method, path, body):
        """Status of a call to one coordinator, which may name another; 0 without an answer."""
        ip = self.world.cores[core]
        head = traffic.head_of(f"{method} {path} HTTP/1.1", {"Host": traffic.HOST, "Content-Length": len(body)})
        with contextlib.closing(traffic.Client(random.Random(1))) as client:
            for _ in range(3):
                answers = await client.talk((ip, self.world.base_port + 3), [(head + body).encode()], timeout=4.0)
                if not answers or answers[0][0] != 307:
                    return answers[0][0] if answers else 0
                ip = answers[0][1]["location"].removeprefix("http://").split(":")[0]
        return 0

    async def look(self, front):
        """Status of one request, and the targets that ran it."""
        self.sent += 1
        request = traffic.Request(f"look-{self.sent}", "look", "GET", f"/look/{self.sent}", {}, b"")
        self.world.sent[request.id] = request
        address = (self.world.fronts[front], self.world.base_port + 1)
        answers = await self.client.talk(address, [request.encode(random.Random(1))], timeout=4.0)
        return answers[0][0] if answers else 0, self.world.runs.get(request.id, [])

    async def look_for(self, seconds):
        """Statuses and targets of requests at every front."""
        end, statuses, ran = time.monotonic() + seconds, [], set()
        while time.monotonic() < end:
            for front in self.world.fronts:
                status, targets = await self.look(front)
                statuses.append(status)
                ran.update(targets)
            await asyncio.sleep(0.02)
        return statuses, ran

    def check_served(self, statuses):
        # Targets refuse 2% of the requests at random.
        self.assertGreaterEqual(statuses.count(200), 0.9 * len(statuses), statuses)

    async def test_1_claims_of_another_writer(self):
        """Guards against targets that no front uses any more after another writer registered with their addresses."""
        for number, target in enumerate(self.world.targets):
            body = {"service": "legacy-desk", "addr": f"127.0.0.1:{target.port}", "zone": "north", "version": "v0",
                    "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": int(time.time() * 1000)}
            core = CORES[number % 3]
            self.assertEqual(await self.control(core, "PUT", f"/-/instances/legacy-{number}", json.dumps(body)), 200)
        for _ in range(3):
            statuses, ran = await self.look_for(1.5)
            self.check_served(statuses)
            self.assertEqual(ran, {"i-desk-1", "i-desk-2", "i-desk-3"})

    async def test_2_silence(self):
        """Guards against targets that are lost because a coordinator, or a target, was silent for a while."""
        silent = self.world.targets[0]
        silent.state = "gone"
        self.world.processes["core-2"].send_signal(signal.SIGSTOP)
        await asyncio.sleep(SILENCE_SECONDS)
        self.world.processes["core-2"].send_signal(signal.SIGCONT)
        statuses, _ = await self.look_for(6.0)
        self.check_served(statuses)
        statuses, ran = await self.look_for(1.0)
        self.check_served(statuses)
        self.assertEqual(ran, {"i-desk-2", "i-desk-3"})
        silent.state = "ready"
        await asyncio.sleep(2.0)
        statuses, ran = await self.look_for(2.0)
        self.check_served(statuses)
        self.assertEqual(ran, {"i-desk-1", "i-desk-2", "i-desk-3"})

    async def sign_off(self, target, core, says):
        target.state = "gone"
        await asyncio.sleep(1.0)
        return await self.control(core, "PUT" if says == "draining" else "DELETE", f"/-/instances/{target.name}",
                                  self.registration(target, "draining"))

    @staticmethod
    def registration(target, state):
        target.beats += 1
        return json.dumps({"service": target.service, "addr": f"127.0.0.1:{target.port}", "zone": "north",
                           "version": "v1", "slots": 8, "state": state, "cold-left-ms": 0, "seq": target.beats,
                           "born": target.started})

    async def beat(self, target):
        """Registers at each coordinator in turn until one acknowledges it, as targets of the platform do."""
        while True:
            for core in CORES:
                if await self.control(core, "PUT", f"/-/instances/{target.name}",
                                      self.registration(target, "ready")) == 200:
                    break
            await asyncio.sleep(0.4)

    async def test_3_sign_off_and_loss_of_its_coordinator(self):
        """Guards against an acknowledged sign-off that is lost with the coordinator that acknowledged it."""
        for target, core, says in zip(self.world.targets, CORES, ("gone", "draining")):
            self.assertEqual(await self.sign_off(target, core, says), 200)
            self.world.processes[core].kill()
            acknowledged = time.monotonic()
            self.world.processes[core].wait()
            await asyncio.sleep(1.0)
            self.world.start(core)
            await asyncio.sleep(max(0.0, acknowledged + DRAIN_SECONDS + 1.0 - time.monotonic()))
            statuses, ran = await self.look_for(1.0)
            self.check_served(statuses)
            self.assertNotIn(target.name, ran)

    async def test_3_sign_off_and_freeze_of_its_coordinator(self):
        """Guards against a sign-off that nobody learns of while the coordinator that acknowledged it is frozen."""
        for target, core, says in zip(self.world.targets, CORES, ("gone", "draining")):
            self.assertEqual(await self.sign_off(target, core, says), 200)
            self.world.processes[core].send_signal(signal.SIGSTOP)
            await asyncio.sleep(DRAIN_SECONDS + 1.0)
            statuses, ran = await self.look_for(1.0)
            self.check_served(statuses)
            self.assertNotIn(target.name, ran)
            self.world.processes[core].send_signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            statuses, ran = await self.look_for(1.0)
            self.check_served(statuses)
            self.assertNotIn(target.name, ran)

    async def test_4_sign_off_and_loss_of_all_coordinators(self):
        """Guards against an acknowledged sign-off that only memory holds."""
        target = self.world.targets[0]
        self.assertEqual(await self.sign_off(target, "core-1", "gone"), 200)
        for core in CORES:
            self.world.processes[core].kill()
        for core in CORES:
            self.world.processes[core].wait()
            self.world.start(core)
        await asyncio.sleep(5.0)
        statuses, ran = await self.look_for(1.0)
        self.check_served(statuses)
        self.assertNotIn(target.name, ran)

    async def test_5_without_a_quorum(self):
        """Guards against targets that cannot register without a quorum, and against promises that nothing keeps."""
        for core in CORES[1:]:
            self.world.processes[core].kill()
            self.world.processes[core].wait()
        await asyncio.sleep(4.0)
        late = Target(self.world, "i-desk-4", "desk")
        await late.open()
        self.world.targets.append(late)
        self.tasks.append(asyncio.create_task(self.beat(late)))
        await asyncio.sleep(2.0)
        statuses, ran = await self.look_for(2.0)
        self.check_served(statuses)
        self.assertIn(late.name, ran)
        leaving = self.world.targets[0]
        self.assertEqual(await self.sign_off(leaving, "core-1", "gone"), 503)
        statuses, ran = await self.look_for(1.0)
        self.check_served(statuses)
        self.assertNotIn(leaving.name, ran)


if __name__ == "__main__":
    processes.main()
