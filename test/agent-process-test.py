"""Agents of a group as processes, whose engines write an earlier answer once more before that of an order."""
import http.client
import json
import pathlib
import re
import shutil
import signal
import socketserver
import subprocess
import tempfile
import threading
import time
import unittest

import processes

BASE_PORT = 32700
MAILBOX, CALLERS, READINESS, CONTROL = (BASE_PORT + offset for offset in range(4))
COORDINATOR, AGENTS = "127.0.0.2", ("127.0.0.3", "127.0.0.4")
STEP_SECONDS = 0.1
ORDERS = 6

CONFIGURATION = {
    "version": 1, "routes": [], "tenants": [],
    "services": [{"name": "models", "health-path": "/healthz", "max-conns": 100, "proto": "h1", "tls": False,
                  "cold-s": 0.0, "cold-per-s": 0.0,
                  "engine": {"sets": 1, "experts": 4, "placements": 3, "spare": 1, "expert-mb": 1.0,
                             "link-mbps": 1000.0, "expert-share": 0.85}}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000},
}


class Engine(socketserver.ThreadingTCPServer):
    """A rank whose own experts do all the work; it refuses orders or leaves them without an answer, in turn."""

    daemon_threads = True
    request_queue_size = 64

    def __init__(self, rank):
        super().__init__(("127.0.0.1", 0), Connection)
        self.rank = rank
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.orders = 0
        self.connections = []  # Paths of each connection's requests.
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def answer_of(self, path):
        step = int((time.monotonic() - self.started) / STEP_SECONDS)
        if path == "/-/report":
            return {"group": {"name": "g", "epoch": 1, "rank": self.rank, "state": "open"}, "size": 2, "seq": 0,
                    "step": step, "map": 0, "pace": 1.0}
        if "lists" in path:
            return {"map": {"version": 0, "experts": [[self.rank, self.rank + 2]]}}
        return {"step": step, "epoch": 1, "counts": [[1000 * step, step, 1000 * step, step]]}


class Connection(socketserver.StreamRequestHandler):
    """One connection of HTTP/1.1 that stays open until the client closes it."""

    def handle(self):
        paths, latest = [], b""
        with self.server.lock:
            self.server.connections.append(paths)
        try:
            while request := self.rfile.readline().decode():
                path = request.split()[1]
                size = 0
                while (line := self.rfile.readline().strip()) != b"":
                    name, _, value = line.partition(b":")
                    size = int(value) if name.lower() == b"content-length" else size
                self.rfile.read(size)
                if path == "/-/order":
                    with self.server.lock:
                        self.server.orders += 1
                        is_refused = self.server.orders % 2 == 1
                    latest += self.text(409, b"{}") if is_refused else b""
                else:
                    latest = self.text(200, json.dumps(self.server.answer_of(path)).encode())
                paths.append(path)
                self.wfile.write(latest)
        except OSError:
            pass

    @staticmethod
    def text(status, body):
        return f"HTTP/1.1 {status} S\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class AgentTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figcleat-agent-"))
        self.processes = {}
        self.addCleanup(self.stop)

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder)

    def start(self, name, role, ip, more=""):
        settings, data = self.folder / f"{name}.toml", self.folder / f"{name}-data"
        data.mkdir()
        settings.write_text(more + processes.node_settings(
            (MAILBOX, CALLERS, READINESS, CONTROL), ["north"], name=name, ip=ip, zone="north", folder=data,
            tolerated=0, seeds=f'"{COORDINATOR}:{CONTROL}"'))
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [processes.BUILD + "/figcleat-node", role, "--settings", settings], stdout=log, stderr=log)

    @staticmethod
    def configure():
        connection = http.client.HTTPConnection(COORDINATOR, CONTROL, timeout=5)
        try:
            connection.request("PUT", "/-/config", json.dumps(CONFIGURATION))
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_for(self, what, condition, timeout=30):
        deadline = time.monotonic() + timeout
        while not condition():
            logs = "".join(path.read_text()[-1500:] for path in sorted(self.folder.glob("*.log")))
            self.assertLess(time.monotonic(), deadline, f"not within {timeout} s: {what}\n{logs}")
            time.sleep(0.05)

    def statuses(self):
        """Those of the orders that the agents passed on."""
        logged = "".join((self.folder / f"agent-{rank}.log").read_text() for rank in range(2))
        return re.findall(r"event=order id=.* status=(\d+)", logged)

    def test_order_takes_no_other_answer(self):
        """Guards against an order that counts as accepted by a second copy of an earlier answer."""
        engines = [Engine(rank) for rank in range(2)]
        self.start("coordinator", "coordinator", COORDINATOR)
        for rank, (ip, engine) in enumerate(zip(AGENTS, engines)):
            self.start(f"agent-{rank}", "agent", ip, f'app = "127.0.0.1:{engine.server_address[1]}"\n'
                       'service = "models"\n')
        self.wait_for("the configuration", self.configure)
        self.wait_for("orders", lambda: len(self.statuses()) >= ORDERS)
        statuses = self.statuses()
        self.assertIn("409", statuses)
        self.assertEqual(set(statuses) - {"409", "0"}, set())
        for engine in engines:
            with engine.lock:
                shared = [paths for paths in engine.connections if "/-/order" in paths and len(paths) > 1]
            self.assertEqual(shared, [])


if __name__ == "__main__":
    processes.main()
