"""A deployment on loopback and calls to it, for the demo, the tests on processes and the measurements."""
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
OPERATOR_CREDENTIAL = "example-operator"


class Deployment:
    """Processes of one deployment, each started from its own settings file."""

    def __init__(self, build, folder, base_port, targets):
        self.build = pathlib.Path(build).resolve()
        self.folder = pathlib.Path(folder)
        self.base_port = base_port
        self.processes = {}
        subprocess.run([sys.executable, ROOT / "examples/generate.py", "tulonga", "--out", self.folder,
                        "--base-port", str(base_port), "--targets-per-service", targets], check=True)

    def start(self, name, *command, prepare=None):
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([str(part) for part in command], stdout=log, stderr=log,
                                                    cwd=self.folder, preexec_fn=prepare)

    def start_daemon(self, name, prepare=None):
        self.start(name, self.build / "figcleatd", "--settings", self.folder / f"{name}.toml", prepare=prepare)

    def start_all(self, *engine_options, engine_ports=None):
        """Starts every process; `engine_ports` names the port of engines that a relay stands before."""
        for path in sorted(self.folder.glob("*.toml")):
            name = path.stem
            if name == "configuration":
                continue
            engine = next((line for line in path.read_text().splitlines() if line.startswith("engine = ")), None)
            if engine:
                port = (engine_ports or {}).get(name, engine.rsplit(":", 1)[1].strip('"'))
                mode = "engine" if "model = " in path.read_text() else "service"
                self.start(f"engine-of-{name}", self.build / "standin", "--mode", mode, "--port", port,
                           *engine_options)
            self.start_daemon(name)

    def kill(self, name):
        """Ends a process at once, as a crash would."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def stop_all(self, timeout=20):
        """Graceful stop, callers' side first; returns the processes that had to be killed or failed."""
        failed = []
        def order(name):
            return 0 if name.startswith("entry") else 2 if name.startswith("engine-of") else 1
        for step in range(3):
            group = {name: p for name, p in self.processes.items() if order(name) == step}
            for process in group.values():
                process.send_signal(signal.SIGCONT)
                process.terminate()
            deadline = time.monotonic() + timeout
            for name, process in group.items():
                try:
                    process.wait(max(0.1, deadline - time.monotonic()))
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
                    failed.append(f"{name} did not stop")
                    continue
                if process.returncode != 0:
                    failed.append(f"{name} exited with {process.returncode}")
        self.processes = {}
        return failed

    def cli(self, *arguments, check=True, entry=0):
        result = subprocess.run([str(self.build / "figcleat"), *arguments, "--entry", self.operator(entry)],
                                env=dict(os.environ, FIGCLEAT_CREDENTIAL=OPERATOR_CREDENTIAL),
                                capture_output=True, text=True, timeout=30)
        if check and result.returncode != 0:
            raise RuntimeError(f"figcleat {' '.join(arguments)}: {result.stdout}{result.stderr}")
        return result

    def operator(self, index):
        return f"127.0.0.1:{self.base_port + 300 + index + 1}"

    def caller(self, index):
        return f"http://127.0.0.1:{self.base_port + 200 + index + 1}"

    def status(self, entry=0):
        """What an entry knows, or None if it does not answer."""
        result = self.cli("status", "--json", check=False, entry=entry)
        return json.loads(result.stdout) if result.returncode == 0 else None

    def wait_ready(self, targets, timeout=30, entry=0):
        """Until the configuration is in force at an entry that knows this many targets."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            status = self.status(entry)
            if status and status["revision"] > 0 and len(status["targets"]) >= targets:
                return status
            time.sleep(0.1)
        raise RuntimeError("the deployment is not ready in time")

    def apply(self, path, timeout=20, entry=0):
        """Applies a file; the replicated log may still be electing its first leader."""
        deadline = time.monotonic() + timeout
        while True:
            result = self.cli("apply", str(path), check=False, entry=entry)
            if result.returncode == 0:
                return result.stdout
            if time.monotonic() >= deadline:
                raise RuntimeError(f"apply: {result.stdout}{result.stderr}")
            time.sleep(0.2)


def call(url, workspace, body=None, headers=None, method=None, timeout=15):
    """Status, headers and body of one call as a workspace."""
    request = urllib.request.Request(url, data=body, method=method or ("POST" if body is not None else "GET"))
    request.add_header("Authorization", f"Bearer example-{workspace}")
    request.add_header("Content-Type", "application/json")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read().decode()
    except urllib.error.HTTPError as problem:
        return problem.code, dict(problem.headers), problem.read().decode()


def completion(text, stream=True, max_tokens=12):
    return json.dumps({"model": "tray-assistant", "stream": stream, "max_tokens": max_tokens,
                       "messages": [{"role": "user", "content": text}]}).encode()
