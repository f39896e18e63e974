"""Failures of processes under way: crashes, freezes, lost disks, silent connections, races and planned stops."""
import concurrent.futures
import json
import resource
import shutil
import socket
import threading
import time
import unittest
import urllib.request

import processes
from deployment import call, completion


def code_of(answer):
    return int({name.lower(): value for name, value in answer[1].items()}.get("x-figcleat-code", -1))


class FailureTest(processes.DeploymentTest):
    targets = "3,3"

    def stream(self, entry, max_tokens=20, timeout=20):
        """Text of one stream; raises if the connection ends before the answer does."""
        return call(f"{self.deployment.caller(entry)}/v1/chat/completions", "clinics",
                    completion("status of the trays", max_tokens=max_tokens), timeout=timeout)[2]

    def book(self, entry, key, timeout=20):
        return call(f"{self.deployment.caller(entry)}/services/returns-desk/pickups", "pickup-drivers", b"{}",
                    {"Idempotency-Key": key}, timeout=timeout)

    def executions(self):
        """Runs of each key over all plain services."""
        total = {}
        for index in range(3, 6):
            answer = call(f"http://127.0.0.1:{self.base_port + 400 + index + 1}/figcleat/executions", "x")
            for key, count in json.loads(answer[2])["by_key"].items():
                total[key] = total.get(key, 0) + count
        return total

    def leader(self):
        for entry in range(8):
            status = self.deployment.status(entry) if f"entry-{entry + 1}" in self.deployment.processes else None
            if status and status["control"]["leader"]:
                return f"entry-{int(status['control']['leader'].rsplit(':', 1)[1]) - self.base_port}"
        return None

    def wait_for(self, what, condition, timeout):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        self.fail(f"not within {timeout} s: {what}")


class ControlFailureTest(FailureTest):
    base_port = 25000
    targets = "1,1"

    def apply_number(self, number, entry):
        text = (self.deployment.folder / "configuration.toml").read_text()
        path = self.deployment.folder / f"number-{number}.toml"
        path.write_text(text.replace("number = 1\n", f"number = {number}\n", 1))
        return self.deployment.cli("apply", str(path), check=False, entry=entry)

    def test_1_leader_killed_in_the_middle_of_applies(self):
        """Guards against an accepted file that is lost with the leader that accepted it."""
        leader = self.leader()
        asked = next(i for i in range(8) if f"entry-{i + 1}" != leader)
        accepted = 1
        for number in range(2, 12):
            if number == 6:
                self.deployment.kill(leader)
            if self.apply_number(number, asked).returncode == 0:
                accepted = number
        self.assertGreaterEqual(accepted, 10)
        self.wait_for("the last accepted number on every entry", lambda: all(
            (self.deployment.status(i) or {}).get("number") == accepted
            for i in range(8) if f"entry-{i + 1}" != leader), 4)
        self.deployment.start_daemon(leader)
        index = int(leader.split("-")[1]) - 1
        self.wait_for("the restarted voter has it too",
                      lambda: (self.deployment.status(index) or {}).get("number") == accepted, 10)

    def test_2_frozen_voter_wakes_up(self):
        """Guards against a leader that acts after it was frozen and replaced."""
        leader = self.leader()
        self.deployment.pause(leader)
        asked = next(i for i in range(8) if f"entry-{i + 1}" != leader)
        self.wait_for("a new leader accepts", lambda: self.apply_number(20, asked).returncode == 0, 10)
        self.deployment.resume(leader)
        index = int(leader.split("-")[1]) - 1
        self.wait_for("the woken voter follows", lambda: (self.deployment.status(index) or {}).get("number") == 20, 5)
        self.assertEqual(self.apply_number(21, index).returncode, 0)

    def test_3_wiped_data_folder(self):
        """Guards against a voter that lost its folder and never gets its seat back under a new identity."""
        leader = self.leader()
        voter = next(name for name in ("entry-1", "entry-2", "entry-4", "entry-5", "entry-7") if name != leader)
        index = int(voter.split("-")[1]) - 1
        address = f"127.0.0.1:{self.base_port + index + 1}"
        self.deployment.kill(voter)
        shutil.rmtree(self.deployment.folder / "data" / voter)
        self.deployment.start_daemon(voter)
        self.wait_for("the entry serves again", lambda: (self.deployment.status(index) or {}).get("number", 0) > 0, 10)
        self.wait_for("the voter has its seat again",
                      lambda: self.deployment.status(index)["control"]["role"] in ("follower", "leader"), 15)
        self.assertEqual(self.apply_number(30, index).returncode, 0)


    def test_4_full_disk(self):
        """Guards against a full disk at one voter that stops the others, or the entry that it is part of."""
        leader = self.leader()
        voter = next(name for name in ("entry-1", "entry-2", "entry-4", "entry-5", "entry-7") if name != leader)
        index = int(voter.split("-")[1]) - 1
        used = max(path.stat().st_size for path in (self.deployment.folder / "data" / voter).iterdir())
        limit = used + 20_000
        self.deployment.kill(voter)
        self.deployment.start_daemon(voter, lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (limit, limit)))
        self.wait_for("the entry serves", lambda: (self.deployment.status(index) or {}).get("number", 0) > 0, 10)
        asked = next(i for i in range(8) if f"entry-{i + 1}" not in (leader, voter))
        for number in range(40, 55):
            self.wait_for("the others accept", lambda: self.apply_number(number, asked).returncode == 0, 10)
        self.wait_for("the voter says that its disk is full",
                      lambda: "disk_full" in (self.deployment.folder / f"{voter}.log").read_text(), 10)
        self.wait_for("its entry has the configuration", lambda: self.deployment.status(index)["number"] == 54, 5)
        self.deployment.kill(voter)
        self.deployment.start_daemon(voter)
        self.wait_for("the voter follows again",
                      lambda: (self.deployment.status(index) or {}).get("control", {}).get("role") == "follower", 10)


    def test_5_restart_after_500_changes(self):
        """Guards against a voter that comes back with an older state after hundreds of changes."""
        leader = self.leader()
        voter = next(name for name in ("entry-1", "entry-2", "entry-4", "entry-5", "entry-7") if name != leader)
        index = int(voter.split("-")[1]) - 1
        at_leader = int(leader.split("-")[1]) - 1
        for i in range(500):
            self.set_data_centre(at_leader, "okahandja", "out" if i % 2 == 0 else "in")
        newest = self.deployment.status(at_leader)["revision"]
        self.deployment.kill(voter)
        self.deployment.start_daemon(voter)
        self.wait_for("the voter has the newest revision",
                      lambda: (self.deployment.status(index) or {}).get("revision") == newest, 10)

    def set_data_centre(self, entry, name, verb):
        request = urllib.request.Request(f"http://{self.deployment.operator(entry)}/data-centres/{name}/{verb}",
                                         data=b"", headers={"Authorization": "Bearer example-operator"})
        with urllib.request.urlopen(request, timeout=10) as answer:
            self.assertEqual(json.loads(answer.read())["code"], 0)


class ServiceFailureTest(FailureTest):
    base_port = 26000
    engine_options = ("--token-ms", "40")

    def test_1_target_process_killed_in_mid_stream(self):
        """Guards against a cut or mixed answer when the process in front of the engine dies."""
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            answers = [pool.submit(self.stream, i % 8) for i in range(6)]
            time.sleep(0.4)
            self.deployment.kill("assistant-models-1")
            texts = [answer.result() for answer in answers]
        self.deployment.start_daemon("assistant-models-1")
        for text in texts:
            self.assertEqual([f"tray{i} " in text for i in range(20)], [True] * 20)
            self.assertEqual(text.count("data: {"), 20)
            self.assertTrue(text.rstrip().endswith("data: [DONE]"))

    def test_2_engine_killed_in_mid_stream(self):
        """Guards against a cut answer that looks whole when an engine dies."""
        port = self.base_port + 400 + 2
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            answers = [pool.submit(self.stream, i % 8) for i in range(6)]
            time.sleep(0.4)
            self.deployment.kill("engine-of-assistant-models-2")
            texts = [answer.result() for answer in answers]
        self.deployment.start("engine-of-assistant-models-2", self.deployment.build / "standin", "--mode", "engine",
                              "--port", port, *self.engine_options)
        for text in texts:
            self.assertEqual(text.count("data: {"), 20)
            self.assertTrue(text.rstrip().endswith("data: [DONE]"))

    def test_3_frozen_engine(self):
        """Guards against a stream that waits for ever on an engine that has stopped answering."""
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            answers = [pool.submit(self.stream, i % 8) for i in range(6)]
            time.sleep(0.4)
            self.deployment.pause("engine-of-assistant-models-3")
            started = time.monotonic()
            texts = [answer.result() for answer in answers]
            self.assertLess(time.monotonic() - started, 8)
        self.deployment.resume("engine-of-assistant-models-3")
        for text in texts:
            self.assertTrue(text.rstrip().endswith("data: [DONE]"))

    def test_4_same_key_through_three_entries_while_the_first_dies(self):
        """Guards against a booking that runs twice."""
        for attempt in range(4):
            victim = "entry-3" if attempt % 2 == 0 else "entry-8"
            first = int(victim.split("-")[1]) - 1
            key = f"same-{attempt}"
            with concurrent.futures.ThreadPoolExecutor(3) as pool:
                answers = [pool.submit(self.book, entry, key) for entry in (first, 1, 4)]
                time.sleep(0.005 * attempt)
                self.deployment.kill(victim)
                results = []
                for answer in answers:
                    try:
                        results.append(answer.result())
                    except OSError:
                        pass
            self.deployment.start_daemon(victim)
            self.deployment.wait_ready(6, entry=first)
            self.wait_for("the resend gets the recorded answer", lambda: self.book(5, key)[0] == 200, 5)
            whole = [json.loads(r[2]) for r in results if r[0] == 200]
            self.assertTrue(all(body["executions_of_key"] == 1 for body in whole), whole)
            self.assertEqual(self.executions().get(key), 1)

    def test_5_frozen_entry_wakes_up_with_a_claim(self):
        """Guards against a dispatch that arrives after its key was given to another attempt."""
        for attempt in range(3):
            key = f"frozen-{attempt}"
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                first = pool.submit(self.book, 2, key)
                time.sleep(0.002 * attempt)
                self.deployment.pause("entry-3")
                time.sleep(0.3)
                second = self.book(5, key)
                self.deployment.resume("entry-3")
                first.result()
            self.assertIn(second[0], (200, 409, 502, 503), second)
            self.assertLessEqual(self.executions().get(key, 0), 1)

    def test_6_data_centre_out_and_back(self):
        """Guards against new work in a data centre that operators took out."""
        self.deployment.cli("drain", "okahandja")
        time.sleep(3)
        before = self.started(2)
        for i in range(12):
            self.assertTrue(self.stream(i % 8, max_tokens=2).rstrip().endswith("data: [DONE]"))
        self.assertEqual(self.started(2), before)
        self.deployment.cli("restore", "okahandja")
        self.wait_for("work in the data centre again", lambda: self.stream(6, max_tokens=1) and
                      self.started(2) > before, 10)

    def started(self, index):
        answer = call(f"http://127.0.0.1:{self.base_port + 400 + index + 1}/figcleat/executions", "x")
        return json.loads(answer[2])["started"]

    def test_7_target_drains(self):
        """Guards against a planned stop that cuts off a stream, and against work for a target that leaves."""
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            answers = [pool.submit(self.stream, i % 8) for i in range(6)]
            time.sleep(0.3)
            process = self.deployment.processes["assistant-models-1"]
            process.terminate()
            texts = [answer.result() for answer in answers]
            self.assertEqual(process.wait(10), 0)
        for text in texts:
            self.assertEqual(text.count("data: {"), 20)
            self.assertTrue(text.rstrip().endswith("data: [DONE]"))
        self.deployment.processes.pop("assistant-models-1")
        self.deployment.start_daemon("assistant-models-1")

    def test_8_entry_drains(self):
        """Guards against a planned stop of an entry that cuts off its callers."""
        with concurrent.futures.ThreadPoolExecutor(3) as pool:
            answers = [pool.submit(self.stream, 5) for _ in range(3)]
            time.sleep(0.3)
            process = self.deployment.processes["entry-6"]
            process.terminate()
            texts = [answer.result() for answer in answers]
            self.assertEqual(process.wait(10), 0)
        for text in texts:
            self.assertTrue(text.rstrip().endswith("data: [DONE]"))
        self.deployment.processes.pop("entry-6")
        self.deployment.start_daemon("entry-6")
        self.deployment.wait_ready(6, entry=5)


class SilentConnectionTest(FailureTest):
    """Open connections to an engine go silent for good while new ones work."""

    base_port = 27000
    targets = "1,1"
    engine_options = ("--token-ms", "40")
    engine_ports = {"assistant-models-1": 27401}

    @classmethod
    def prepare(cls):
        cls.relay = Relay(cls.base_port + 501, cls.base_port + 401)
        path = cls.deployment.folder / "assistant-models-1.toml"
        path.write_text(path.read_text().replace(f":{cls.base_port + 401}", f":{cls.base_port + 501}"))
        super().prepare()

    def test_silent_engine_connection(self):
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            answer = pool.submit(self.stream, 0)
            time.sleep(0.4)
            self.relay.silence_open()
            started = time.monotonic()
            text = answer.result()
        self.assertLess(time.monotonic() - started, 6)
        self.assertEqual(text.count("data: {"), 20)
        self.assertTrue(text.rstrip().endswith("data: [DONE]"))


class Relay:
    """Passes bytes on, and can stop passing them on the connections that are open."""

    def __init__(self, port, target):
        self.target = target
        self.generation = 0
        self.listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self.accept, daemon=True).start()

    def silence_open(self):
        self.generation += 1

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            far = socket.create_connection(("127.0.0.1", self.target))
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.copy, args=(source, sink, self.generation), daemon=True).start()

    def copy(self, source, sink, generation):
        try:
            while data := source.recv(65536):
                if generation != self.generation:
                    return
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass


if __name__ == "__main__":
    processes.main()
