"""The commands and settings keys of docs/operating.md, so that the page cannot differ from the program."""
import json
import os
import re
import shutil
import subprocess
import time
import tomllib
import unittest

import processes
from deployment import ROOT, call, completion

PAGE = (ROOT / "docs/operating.md").read_text()
# Rows of the tables of keys: first cell with one or more `a.b` or `number`, then type, default and range.
KEY_ROW = re.compile(r"^\| (`[a-z_0-9.*`, ]+`) \|.*\|.*\|.*\|$", re.MULTILINE)
LIMITS = ("max_requests", "max_prompt_tokens", "max_generated_tokens")


def keys_of_page():
    keys = set()
    for row in KEY_ROW.findall(PAGE):
        for key in re.findall(r"`([a-z_0-9.*]+)`", row):
            keys |= {key.replace("*", limit) for limit in LIMITS} if key.endswith("*") else {key}
    return keys


def keys_of(table, path=""):
    """Paths of all values; the elements of an array of tables share one path."""
    for key, value in table.items():
        tables = value if isinstance(value, list) and value and isinstance(value[0], dict) else [value]
        for each in tables:
            if isinstance(each, dict):
                yield from keys_of(each, f"{path}{key}.")
            else:
                yield path + key


class DocumentedKeysTest(unittest.TestCase):
    def examples(self):
        return sorted((ROOT / "examples/tulonga").glob("*.toml"))

    def test_keys_of_examples_are_documented(self):
        # Guards against a setting that the page leaves out, and a row for a key that no file has.
        used = {key for path in self.examples() for key in keys_of(tomllib.loads(path.read_text()))}
        self.assertEqual(used, keys_of_page())

    def test_documented_keys_are_accepted(self):
        # The examples have every documented key (above), so that their acceptance is that of each key.
        for path in self.examples():
            command = ([processes.BUILD + "/figcleat", "check", path] if path.stem == "configuration"
                       else [processes.BUILD + "/figcleatd", "--settings", path, "--check"])
            result = subprocess.run(command, capture_output=True, text=True, timeout=10)
            self.assertEqual((result.returncode, result.stderr), (0, ""), path)
            self.assertIn("no problem found", result.stdout)


class CommandsTest(processes.DeploymentTest):
    # Below the range from which the system takes ports for outgoing connections (32768 on Linux): one of those can
    # hold a port of the deployment, so that a process does not start.
    base_port = 29000
    targets = "1,1"

    def expect(self, status, text, *arguments, entry=0):
        self.assertIn(f"figcleat {arguments[0]}", PAGE)
        result = self.deployment.cli(*(str(part) for part in arguments), check=False, entry=entry)
        output = result.stdout + result.stderr
        self.assertEqual(result.returncode, status, output)
        self.assertIn(text, output)
        return result.stdout

    def until(self, condition, what, timeout=10):
        deadline = time.monotonic() + timeout
        while not condition():
            self.assertLess(time.monotonic(), deadline, what)
            time.sleep(0.1)

    def complete(self, **headers):
        return call(f"{self.deployment.caller(0)}/v1/chat/completions", "clinics", completion("x", stream=False),
                    headers)

    def member(self, address):
        """The member of the log at this address as the leader sees it."""
        for entry in (0, 1, 3, 4, 6):
            status = self.deployment.status(entry)
            if status and status["control"]["role"] == "leader":
                return next((m for m in status["control"]["members"] if m["address"] == address), None)
        return None

    def test_files(self):
        folder = self.deployment.folder
        self.expect(0, "no problem found", "check", folder / "configuration.toml")
        self.expect(0, "no problem found", "check-settings", folder / "entry-1.toml")
        self.expect(20, "the file cannot be read", "check-settings", folder / "none.toml")
        self.expect(20, "the file cannot be read", "apply", folder / "none.toml")
        bad = folder / "bad.txt"
        bad.write_text('number = 9\ncolour = "red"\n')
        self.expect(22, "bad.txt:2: colour", "check", bad)
        self.expect(30, "bad.txt:2: colour", "apply", bad)
        self.expect(0, "revision", "apply", folder / "configuration.toml")
        self.expect(0, "number = 1", "configuration")

    def test_reads(self):
        self.assertEqual(self.complete()[0], 200)
        self.expect(0, "Replicated log", "status")
        self.expect(0, "BURN 5M", "report", "burn")
        self.expect(0, "</html>", "report", "burn", "--html")
        self.assertTrue(json.loads(self.expect(0, "rows", "report", "burn", "--json"))["rows"])
        self.until(lambda: "assistant-models" in self.expect(0, "workspace", "usage"), "no usage within 10 s")

    def test_wrong_command_lines(self):
        # Guards against a command without its operand that changes something.
        for command in ("check", "check-settings", "apply", "drain", "restore", "add-voter", "remove-voter"):
            self.expect(2, f"{command} needs", command)
        self.expect(2, "no address", "add-voter", "somewhere")
        self.expect(35, "unknown_data_centre", "drain", "atlantis")
        for entry, status in (("127.0.0.1:29999", 36), (self.deployment.operator(0), 33)):
            result = subprocess.run([processes.BUILD + "/figcleat", "status", "--entry", entry], timeout=15,
                                    env=dict(os.environ, FIGCLEAT_CREDENTIAL="wrong"), capture_output=True)
            self.assertEqual(result.returncode, status, result.stderr)

    def test_data_centre_out_and_back(self):
        self.expect(0, "accepted", "drain", "windhoek-north", entry=5)
        self.until(lambda: self.deployment.status()["data_centres_out"] == ["windhoek-north"], "not out")
        self.expect(0, '["windhoek-north"]', "status")
        answer = self.complete(**{"X-Figcleat-Deadline-Ms": "1500"})
        self.assertEqual(answer[1]["X-Figcleat-Request"], "not_run", answer)
        self.expect(0, "accepted", "restore", "windhoek-north", entry=3)
        self.until(lambda: self.complete()[0] == 200, "not back")

    def test_data_centre_cut_off(self):
        # The voters outside windhoek-north are lost, so that it has no quorum.
        for name in ("entry-4", "entry-5", "entry-7"):
            self.deployment.kill(name)
        time.sleep(2)
        self.expect(0, "in this data centre only", "drain", "windhoek-north")
        self.expect(0, "this data centre is out locally", "status")
        self.expect(37, "command_uncertain", "drain", "okahandja")
        for name in ("entry-4", "entry-5", "entry-7"):
            self.deployment.start_daemon(name)
        self.until(lambda: self.deployment.cli("restore", "windhoek-north", check=False).stdout.startswith("ok: accepted"),
                   "no quorum again")
        # The command that had no quorum may have taken effect late.
        self.expect(0, "accepted", "restore", "okahandja")
        self.until(lambda: self.complete()[0] == 200, "not back")

    def test_voter_with_a_lost_disk_and_moved(self):
        address = "127.0.0.1:29005"
        self.deployment.kill("entry-5")
        shutil.rmtree(self.deployment.folder / "data/entry-5")
        time.sleep(1.5)
        self.deployment.start_daemon("entry-5")
        def is_voter():
            found = self.member(address)
            return found is not None and found["role"] == "voter" and found["reachable"]
        self.until(is_voter, "the new folder did not take the seat")
        self.expect(0, "accepted", "remove-voter", address)
        self.until(lambda: self.member("127.0.0.1:29001") and self.member(address) is None, "not removed")
        self.expect(0, "accepted", "add-voter", address)
        self.until(is_voter, "not a voter again")

    def test_planned_stop_of_a_target_and_an_entry(self):
        for name in ("returns-desk-1", "entry-8"):
            process = self.deployment.processes[name]
            process.terminate()
            try:
                self.assertEqual(process.wait(10), 0, name)
            except subprocess.TimeoutExpired:
                # Guards against a process that has ended its work and does not exit.
                self.deployment.kill(name)
                log = (self.deployment.folder / f"{name}.log").read_text()
                self.deployment.start_daemon(name)
                self.fail(f"{name} did not exit within 10 s: {log[-300:]}")
            self.deployment.start_daemon(name)
        self.deployment.wait_ready(2, entry=7)


if __name__ == "__main__":
    processes.main()
