"""Bad input from callers and operators: each gets a clear code, and the entry goes on serving."""
import json
import socket
import time
import unittest

import processes
from deployment import call, completion


def code_of(answer):
    return int({name.lower(): value for name, value in answer[1].items()}.get("x-figcleat-code", -1))


class InputTest(processes.DeploymentTest):
    base_port = 23000
    targets = "1,1"

    def completions(self, body, workspace="clinics", headers=None):
        return call(f"{self.deployment.caller(0)}/v1/chat/completions", workspace, body, headers)

    def raw(self, data, wait=0.0):
        host, port = self.deployment.caller(0).removeprefix("http://").split(":")
        with socket.create_connection((host, int(port)), timeout=15) as connection:
            connection.sendall(data)
            time.sleep(wait)
            received = b""
            try:
                while chunk := connection.recv(65536):
                    received += chunk
                    if b"\r\n\r\n" in received and b"}}" in received:
                        break
            except ConnectionResetError:
                pass
            return received.decode(errors="replace")

    def tearDown(self):
        # Guards against an entry that a bad request stops from serving good ones.
        answer = self.completions(completion("still there?", stream=False))
        self.assertEqual(answer[0], 200, answer)

    def test_malformed_json(self):
        for body in (b"{", b"[]", b'{"model":1}', b'{"model":"tray-assistant"}', b"[" * 100000):
            self.assertEqual(code_of(self.completions(body)), 103, body[:40])

    def test_unknown_model_service_and_path(self):
        self.assertEqual(code_of(self.completions(completion("x").replace(b"tray-assistant", b"none"))), 105)
        base = self.deployment.caller(0)
        self.assertEqual(code_of(call(f"{base}/services/none/x", "clinics")), 105)
        self.assertEqual(code_of(call(f"{base}/elsewhere", "clinics")), 105)

    def test_wrong_credential(self):
        self.assertEqual(code_of(self.completions(completion("x"), workspace="nobody")), 104)
        self.assertEqual(code_of(self.completions(completion("x"), workspace="x" * 300)), 104)

    def test_missing_and_long_idempotency_key(self):
        url = f"{self.deployment.caller(0)}/services/returns-desk/pickups"
        self.assertEqual(code_of(call(url, "clinics", b"{}")), 106)
        self.assertEqual(code_of(call(url, "clinics", b"{}", {"Idempotency-Key": "k" * 129})), 107)

    def test_key_reused_for_another_call(self):
        url = f"{self.deployment.caller(0)}/services/returns-desk/pickups"
        key = {"Idempotency-Key": "reused"}
        self.assertEqual(call(url, "clinics", b'{"a":1}', key)[0], 200)
        self.assertEqual(code_of(call(url, "clinics", b'{"a":2}', key)), 110)

    def test_bad_deadline(self):
        for value in ("x", "-1", "0", "1s"):
            self.assertEqual(code_of(self.completions(completion("x"), headers={"X-Figcleat-Deadline-Ms": value})), 108)

    def test_headers_and_body_too_large(self):
        self.assertEqual(code_of(self.completions(completion("x"), headers={f"X-Fill-{i}": "f" * 4000 for i in range(6)})), 101)
        body = completion("x" * (1024 * 1024 + 1))
        self.assertEqual(code_of(self.completions(body)), 102)

    def test_one_header_without_end(self):
        answer = self.raw(b"GET /x HTTP/1.1\r\nX-Long: " + b"a" * 400000)
        self.assertNotIn("200 OK", answer)

    def test_slow_sender(self):
        started = time.monotonic()
        answer = self.raw(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", wait=0)
        self.assertIn("408", answer.splitlines()[0])
        self.assertIn("109", answer)
        self.assertLess(time.monotonic() - started, 12)

    def test_caller_gone_in_mid_answer(self):
        host, port = self.deployment.caller(0).removeprefix("http://").split(":")
        body = completion("long", max_tokens=20)
        head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer example-clinics\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode()
        for _ in range(8):
            with socket.create_connection((host, int(port)), timeout=5) as connection:
                connection.sendall(head + body)
                connection.recv(200)
        # The target has room for 4 while it is cold: the slots come back only if the cancels reach the engine.
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline:
            status = self.deployment.status()
            if status["requests_in_progress"] == 0 and all(t["in_progress"] == 0 for t in status["targets"]):
                return
            time.sleep(0.2)
        self.fail(status)

    def test_no_credential_in_logs(self):
        self.completions(completion("x"))
        for path in self.deployment.folder.glob("*.log"):
            self.assertNotIn("example-clinics", path.read_text(errors="replace"), path)


class OperatorTest(processes.DeploymentTest):
    base_port = 24000
    targets = "1,1"

    def write(self, name, text):
        path = self.deployment.folder / name
        path.write_text(text)
        return str(path)

    def numbered(self, number, extra=""):
        text = (self.deployment.folder / "configuration.toml").read_text()
        return self.write(f"configuration-{number}{len(extra)}.toml",
                          text.replace("number = 1\n", f"number = {number}\n", 1) + extra)

    def test_invalid_file_is_refused_with_every_error(self):
        bad = self.write("bad.toml", 'number = 50\ncolour = "red"\n[[service]]\nname = "a"\nkind = "fast"\n')
        before = self.deployment.status()["revision"]
        result = self.deployment.cli("apply", bad, check=False)
        self.assertEqual(result.returncode, 30)
        for part in ("colour", "kind", "settings_unknown_key"):
            self.assertIn(part, result.stderr)
        self.assertEqual(self.deployment.status()["revision"], before)

    def test_numbers(self):
        first = self.numbered(60)
        self.assertEqual(self.deployment.cli("apply", first).returncode, 0)
        other = self.deployment.cli("apply", self.numbered(60, "# other\n"), check=False, entry=4)
        self.assertEqual(other.returncode, 31)
        self.assertEqual(self.deployment.cli("apply", self.numbered(61), entry=2).returncode, 0)
        self.assertEqual(self.deployment.cli("apply", first, entry=5).returncode, 0)
        self.assertEqual(self.deployment.cli("apply", self.numbered(59), check=False).returncode, 32)
        deadline = time.monotonic() + 4
        while any(self.deployment.status(i)["number"] != 61 for i in range(8)):
            self.assertLess(time.monotonic(), deadline, "number 61 is not in force everywhere within 4 s")

    def test_wrong_operator_credential(self):
        answer = call(f"http://{self.deployment.operator(0)}/status", "nobody")
        self.assertEqual(answer[0], 401)
        self.assertEqual(json.loads(answer[2])["code"], 513)

    def test_unknown_data_centre(self):
        self.assertEqual(self.deployment.cli("drain", "atlantis", check=False).returncode, 35)


if __name__ == "__main__":
    processes.main()
