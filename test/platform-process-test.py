"""The platform's program as processes: three kinds of failed request are explained, and its log never holds it up."""
import http.client
import http.server
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import tempfile
import threading
import time
import unittest

import processes

BASE_PORT = 31000
MAILBOX, CALLERS, READINESS, CONTROL, METRICS = (BASE_PORT + offset for offset in range(5))
COORDINATOR, FRONT, AGENT = "127.0.0.2", "127.0.0.3", "127.0.0.4"
PAGE = (processes.ROOT / "docs/OPERATIONS.md").read_text()

def route(name, service, kind, goal):
    return {"name": name, "host": "desk.example", "path-prefix": f"/{name}/", "type": kind, "timeout-ms": 3000,
            "goal-ms": goal, "priority": 1, "service": service, "attempts": 1, "public": True, "sticky": False,
            "resumable": False}


CONFIGURATION = {
    "version": 1,
    "routes": [route("refused", "absent", "safe", 200), route("cut", "cutter", "unsafe", 200),
               route("late", "sleeper", "safe", 100)],
    "services": [{"name": name, "health-path": "/healthz", "max-conns": 100, "proto": "h1", "tls": False, "cold-s": 0.0,
                  "cold-per-s": 0.0} for name in ("absent", "cutter", "sleeper")]
    + [{"name": "models", "health-path": "/healthz", "max-conns": 100, "proto": "h1", "tls": False, "cold-s": 0.0,
        "cold-per-s": 0.0, "engine": {"sets": 1, "experts": 2, "placements": 2, "spare": 1, "expert-mb": 1.0,
                                      "link-mbps": 1000.0, "expert-share": 0.85}}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000},
    "tenants": [],
}


class Target(http.server.BaseHTTPRequestHandler):
    """Breaks off calls of one service and answers those of the other after 400 ms."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path.startswith("/cut/"):
            self.close_connection = True
            return
        time.sleep(0.4)
        self.send_response(200)
        self.send_header("X-Figcleat-Attempt-Id", self.headers["X-Figcleat-Attempt-Id"])
        self.send_header("X-Figcleat-Server-Seal", "sealed")
        self.send_header("Content-Length", "4")
        self.end_headers()
        self.wfile.write(b"done")

    def log_message(self, *_):
        pass


class Engine(http.server.BaseHTTPRequestHandler):
    """The only rank of a group."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        if self.path == "/-/report":
            said = {"group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"}, "size": 1, "seq": 0, "step": 7,
                    "map": 0, "pace": 1.0}
        elif "lists" in self.path:
            said = {"map": {"version": 0, "experts": [[0, 1]]}}
        else:
            said = {"step": 7, "epoch": 1, "counts": [[5, 3]]}
        body = json.dumps(said).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def serve(handler):
    """Port on which the handler is served from now on."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.server_port


def call(ip, port, method, path, body="", headers=None):
    connection = http.client.HTTPConnection(ip, port, timeout=10)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    finally:
        connection.close()


class PlatformTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = pathlib.Path(tempfile.mkdtemp(prefix="figcleat-platform-"))
        cls.processes = {}
        try:
            cls.start("coordinator", COORDINATOR)
            cls.start("front", FRONT)
            cls.start("agent", AGENT, f'app = "127.0.0.1:{serve(Engine)}"\nservice = "models"\n')
            cls.operate("PUT", "/-/config", json.dumps(CONFIGURATION))
            for service in ("cutter", "sleeper"):
                # Two targets cannot have one address, so each service has a port of its own.
                cls.operate("PUT", f"/-/instances/i-{service}", json.dumps({
                    "service": service, "addr": f"127.0.0.1:{serve(Target)}", "zone": "north", "version": "v1",
                    "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": len(service)}))
            cls.wait_for("the front is ready", lambda: call(FRONT, READINESS, "GET", "/-/readyz")[0] == 200)
        except BaseException:
            cls.stop_all()
            raise

    @classmethod
    def start(cls, role, ip, more="", stdout=None):
        settings = cls.folder / f"{role}.toml"
        data = cls.folder / f"{role}-data"
        data.mkdir(exist_ok=True)
        settings.write_text(more + processes.node_settings(
            (MAILBOX, CALLERS, READINESS, CONTROL), ["north"], name=role, ip=ip, zone="north", folder=data, tolerated=0,
            seeds=f'"{COORDINATOR}:{CONTROL}"'))
        with open(cls.folder / f"{role}.log", "ab") as log:
            cls.processes[role] = subprocess.Popen(
                [processes.BUILD + "/figcleat-node", role, "--settings", settings, "--metrics-port", str(METRICS)],
                stdout=stdout or log, stderr=log)

    @classmethod
    def operate(cls, method, path, body=""):
        cls.wait_for(f"{method} {path}", lambda: call(COORDINATOR, CONTROL, method, path, body)[0] == 200)

    @staticmethod
    def wait_for(what, condition, timeout=15):
        deadline = time.monotonic() + timeout
        while True:
            try:
                if condition():
                    return
            except OSError:
                pass
            if time.monotonic() >= deadline:
                raise AssertionError(f"not within {timeout} s: {what}")
            time.sleep(0.05)

    @classmethod
    def stop(cls, role, timeout=10):
        process = cls.processes.pop(role)
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(timeout)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None

    @classmethod
    def stop_all(cls):
        return {role: cls.stop(role) for role in list(cls.processes)}

    @classmethod
    def tearDownClass(cls):
        stopped = cls.stop_all()
        if any(status != 0 for status in stopped.values()):
            raise AssertionError(f"{stopped}; logs are in {cls.folder}")
        shutil.rmtree(cls.folder)

    def request(self, request, path, **headers):
        return call(FRONT, CALLERS, "POST", path, "x", {
            "Host": "desk.example", "X-Figcleat-Attempt-Id": request, "X-Figcleat-Deadline-Ms": "3000"} | headers)

    def explain(self, request):
        """What the command of the operators' page prints for a request."""
        self.assertIn("figcleat explain", PAGE)
        result = subprocess.run([processes.BUILD + "/figcleat", "explain", request, self.folder / "front.log",
                                 self.folder / "coordinator.log"], capture_output=True, text=True, timeout=10)
        self.assertEqual(result.returncode, 0, result.stderr)
        return result.stdout

    def metrics(self, ip):
        return call(ip, METRICS, "GET", "/metrics")[2]

    def test_1_refused_request(self):
        status, headers, _ = self.request("r-refused", "/refused/1")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertIn("cause: refused, no target ran it (no_target", self.explain("r-refused"))

    def test_2_request_without_an_answer(self):
        status, headers, _ = self.request("r-cut", "/cut/1")
        self.assertEqual(status, 502)
        self.assertNotIn("Retry-After", headers)
        text = self.explain("r-cut")
        self.assertIn("cause: given up after 1 attempts, last at i-cutter (target_lost", text)
        self.assertIn("event=target target=i-cutter", text)

    def test_3_late_answer(self):
        self.assertEqual(self.request("r-late", "/late/1")[0], 200)
        # The target waits for 400 ms; a busy machine may add to it.
        cause = re.search(r"cause: late: the target began its answer (\d+) ms after", self.explain("r-late"))
        self.assertIsNotNone(cause)
        self.assertGreaterEqual(int(cause.group(1)), 400)

    def test_3_quarantine_by_an_operator(self):
        prompt = {"X-Figcleat-Prefix-Hash": "5c1e07a2:800,e4402b7d:250"}
        self.assertEqual(call(FRONT, METRICS, "PUT", "/quarantine/5c1e07a2")[0], 200)
        status, headers, body = self.request("r-quarantined", "/late/1", **prompt)
        self.assertEqual((status, json.loads(body)["error"]), (503, "prompt_quarantined"))
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertIn("cause: refused, no target ran it (prompt_quarantined", self.explain("r-quarantined"))
        entry, = json.loads(call(FRONT, METRICS, "GET", "/quarantine")[2])
        self.assertEqual((entry["parts"], entry["reason"], entry["rejected_here"]), ("5c1e07a2", "operator", 1))
        # While a quarantine is in force, so that its family of metrics is there.
        self.assertIn('figcleat_quarantine_age_seconds{parts="5c1e07a2",reason="operator"}', self.metrics(FRONT))
        families = set(re.findall(r"# TYPE (\w+)", self.metrics(FRONT)))
        self.assertEqual(set(re.findall(r"`(figcleat_quarantine[a-z_]+)`", PAGE)) - families, set())
        self.assertEqual(call(FRONT, METRICS, "DELETE", "/quarantine/5c1e07a2")[0], 200)
        self.assertEqual(call(FRONT, METRICS, "DELETE", "/quarantine/5c1e07a2")[0], 404)
        self.assertEqual(call(FRONT, METRICS, "PUT", "/quarantine/%0a")[0], 400)
        self.assertEqual(self.request("r-released", "/late/1", **prompt)[0], 200)
        self.assertIn("event=quarantine state=released parts=5c1e07a2", (self.folder / "front.log").read_text())

    def test_4_metrics(self):
        page = self.metrics(FRONT)
        for line in (r'figcleat_requests_total\{code="203",name="no_target",late="false"\} 1',
                     r'figcleat_requests_total\{code="0",name="ok",late="true"\} 2',
                     r'figcleat_attempts_failed_total\{outcome="target_lost",next="end",stage="no_answer"\} 1',
                     r"figcleat_request_seconds_count 2", r"figcleat_configuration_version 1", r"figcleat_targets 2"):
            self.assertRegex(page, line)
        self.assertRegex(self.metrics(COORDINATOR), r"figcleat_log_leads 1")
        # Every family that the operators' page names exists, so that the page cannot differ from the program.
        self.wait_for("the agent controls its group",
                      lambda: "\nfigcleat_controls_group 1\n" in self.metrics(AGENT))
        families = set(re.findall(r"# TYPE (\w+)", page + self.metrics(COORDINATOR) + self.metrics(AGENT)))
        # The age of a quarantine is there only while one is in force; its own test looks for it.
        families.add("figcleat_quarantine_age_seconds")
        self.assertEqual(set(re.findall(r"`(figcleat_[a-z_]+)`", PAGE)) - families, set())

    def test_5_settings_change_without_a_signal(self):
        settings = self.folder / "front.toml"
        text = settings.read_text()
        settings.write_text(text.replace("seeds = [", f'seeds = ["127.0.0.9:{CONTROL}", '))
        self.wait_for("the new seeds", lambda: "event=reload seeds=2" in (self.folder / "front.log").read_text())
        settings.write_text(text.replace("seeds = [", "seeds = ["[:-1]))
        self.wait_for("the refusal", lambda: "event=reload_refused" in (self.folder / "front.log").read_text())
        settings.write_text(text)

    def test_6_log_that_nobody_reads(self):
        """Guards against a front that waits for the reader of its log, also when it stops."""
        self.assertEqual(self.stop("front"), 0)
        reader, writer = os.pipe()
        self.start("front", FRONT, stdout=writer)
        os.close(writer)
        self.wait_for("the front is ready", lambda: call(FRONT, READINESS, "GET", "/-/readyz")[0] == 200)
        for number in range(700):
            self.assertEqual(self.request(f"r-{number}", "/nowhere/1")[0], 404)
        self.assertEqual(self.stop("front"), 0)
        with open(reader, "rb") as log:
            written = log.read()
        # About 230 bytes a line: the pipe holds 64 KiB of them.
        self.assertLess(written.count(b"code=not_found"), 700)
        self.start("front", FRONT)
        self.wait_for("the front is ready", lambda: call(FRONT, READINESS, "GET", "/-/readyz")[0] == 200)


if __name__ == "__main__":
    processes.main()
