#!/usr/bin/env python3
"""Measures the processes of a Tulonga deployment on loopback, with stand-in engines.

    python3 bench/processes.py --build build [--quick] [--only idle,changes,load,service]

Every table names its unit. The other work of the machine disturbs the timings; the load average is printed.
"""
import argparse
import asyncio
import collections
import contextlib
import http.client
import json
import multiprocessing
import os
import pathlib
import re
import shutil
import signal
import socket
import statistics
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "examples"))
from deployment import OPERATOR_CREDENTIAL, Deployment, completion  # noqa: E402

ENTRIES = 8
VOTERS = ("entry-1", "entry-2", "entry-4", "entry-5", "entry-7")
WITHOUT_DISK = ("entry-3", "entry-6", "entry-8")
CALLERS = ("clinics", "school-kitchens", "old-age-homes")
TICKS = os.sysconf("SC_CLK_TCK")
FIRST_TOKEN_MS, TOKEN_MS, TOKENS = 20, 5, 12
DESIGN_FILE_BYTES = 46_000


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def slope(points):
    """Intercept and slope of the least-squares line through (x, y)."""
    mean_x = statistics.mean(x for x, _ in points)
    mean_y = statistics.mean(y for _, y in points)
    over = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points) / over
    return mean_y - rise * mean_x, rise


def role_of(name):
    if name.startswith("engine-of"):
        return None
    if name.startswith("entry"):
        return "voter" if name in VOTERS else "entry"
    return "target"


class Operators:
    """One kept connection to the operator address of each entry."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.connections = {}

    def ask(self, entry, method, path, body=None, timeout=10):
        for attempt in (0, 1):
            connection = self.connections.get(entry)
            if connection is None:
                connection = http.client.HTTPConnection(self.deployment.operator(entry), timeout=timeout)
                self.connections[entry] = connection
            try:
                connection.request(method, path, body, {"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"})
                return connection.getresponse().read().decode()
            except (OSError, http.client.HTTPException) as problem:
                connection.close()
                del self.connections[entry]
                # The entry may have closed a kept connection; only a read is safe to repeat.
                if attempt == 1 or method != "GET" or isinstance(problem, (ConnectionRefusedError, TimeoutError)):
                    raise

    def status(self, entry):
        return json.loads(self.ask(entry, "GET", "/status"))

    def post(self, entry, path, body=b""):
        return json.loads(self.ask(entry, "POST", path, body))

    def counters(self, entry):
        found = re.findall(r"^(figcleat_\w+) (\d+)$", self.ask(entry, "GET", "/metrics"), re.M)
        return {name: int(value) for name, value in found}


def is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_base(given, targets):
    """The next base whose ports are free; they lie in the range from which the system numbers connections."""
    blocks = [(0, ENTRIES), (100, targets), (200, ENTRIES), (300, ENTRIES), (400, targets)]
    first, last = 35000, 44500
    for _ in range(first, last):
        base = given.base_port if first <= given.base_port <= last else first
        if all(is_free(base + block + i + 1) for block, count in blocks for i in range(count)):
            given.base_port = base + 500
            return base
        given.base_port = base + 1
    raise RuntimeError("no free block of ports from 35000 to 45000")


def remove_entries(deployment, names):
    """As if these entries were in no settings file."""
    gone = [f"127.0.0.1:{deployment.base_port + int(name.rsplit('-', 1)[1])}" for name in names]
    for name in names:
        (deployment.folder / f"{name}.toml").unlink()
    for path in deployment.folder.glob("*.toml"):
        lines = path.read_text().splitlines()
        for i, line in enumerate(lines):
            if line.startswith(("peers = ", "nearby = ")):
                key, held = line.split(" = ", 1)
                lines[i] = f"{key} = {json.dumps([each for each in json.loads(held) if each not in gone])}"
        path.write_text("\n".join(lines) + "\n")


def start(given, folder, targets, without):
    total = sum(int(each) for each in targets.split(","))
    for _ in range(3):
        deployment = Deployment(given.build, folder, free_base(given, total), targets)
        remove_entries(deployment, without)
        try:
            deployment.start_all("--first-token-ms", FIRST_TOKEN_MS, "--token-ms", TOKEN_MS, "--tokens", TOKENS)
            time.sleep(0.5)
            ended = [name for name, process in deployment.processes.items() if process.poll() is not None]
            if not ended:
                deployment.apply(deployment.folder / "configuration.toml")
                for entry in range(ENTRIES):
                    if f"entry-{entry + 1}" not in without:
                        deployment.wait_ready(total, entry=entry)
                return deployment
        except BaseException:
            deployment.stop_all(timeout=5)
            raise
        # A connection of another program took a port between the check and the start.
        print(f"   started again at other ports, since these ended at the start: {ended}")
        deployment.stop_all(timeout=5)
        shutil.rmtree(deployment.folder / "data", ignore_errors=True)
    raise RuntimeError("the deployment does not start")


@contextlib.contextmanager
def running(given, targets, without=()):
    """A deployment that is in force at every entry; ended in any case."""
    folder = tempfile.mkdtemp(prefix="figcleat-processes-")
    deployment = None
    try:
        deployment = start(given, folder, targets, without)
        yield deployment, Operators(deployment)
    finally:
        for line in deployment.stop_all(timeout=5) if deployment else []:
            print(f"   at the end: {line}")
        shutil.rmtree(folder, ignore_errors=True)


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mib(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text()).group(1)) / 1024


def by_role(deployment, read):
    found = collections.defaultdict(list)
    for name, process in deployment.processes.items():
        if role_of(name) and process.poll() is None:
            found[role_of(name)].append(read(process.pid))
    return found


def means(found):
    return {role: statistics.mean(values) for role, values in found.items()}


# Idle.

def sample_idle(deployment, operators, seconds):
    alive = [i for i in range(ENTRIES) if f"entry-{i + 1}" in deployment.processes]
    before = {i: operators.counters(i) for i in alive}
    cpu_before = means(by_role(deployment, processor_seconds))
    began = time.monotonic()
    time.sleep(seconds)
    after = {i: operators.counters(i) for i in alive}
    passed = time.monotonic() - began
    cpu_after = means(by_role(deployment, processor_seconds))
    result = {"memory": means(by_role(deployment, resident_mib)),
              "cpu": {role: 100 * (cpu_after[role] - cpu_before[role]) / passed for role in cpu_after}}
    for way in ("sent", "received"):
        name = f"figcleat_mailbox_{way}_bytes_total"
        rates = collections.defaultdict(list)
        for i in alive:
            rates[role_of(f"entry-{i + 1}")].append((after[i][name] - before[i][name]) / passed)
        result[way] = means(rates)
        result[f"{way}_mean"] = statistics.mean(each for values in rates.values() for each in values)
    return result


def show_idle(label, result):
    for role in ("voter", "entry", "target"):
        if role not in result["memory"]:
            continue
        ways = " ".join(f"{result[way][role]:10.0f}" if role in result[way] else f"{'-':>10}"
                        for way in ("sent", "received"))
        print(f"{label:>24} {role:>7} {result['memory'][role]:9.1f} {result['cpu'][role]:8.2f} {ways}")


def idle(given):
    seconds = 3 if given.quick else 20
    print(f"\na. Idle over {seconds} s; limits 64 MB, 1.5 % of a core, 23 KB/s; mean of the processes of a role")
    print(f"{'deployment':>24} {'role':>7} {'VmRSS MiB':>9} {'core %':>8} {'sent B/s':>10} {'recvd B/s':>10}")
    results = {}
    for count, plan in ((6, "5,1"), (15, "12,3")) if given.quick else ((6, "5,1"), (15, "12,3"), (30, "24,6")):
        with running(given, plan) as (deployment, operators):
            time.sleep(1.5)
            results[count] = sample_idle(deployment, operators, seconds)
            show_idle(f"8 entries {count} targets", results[count])
            if count != 15:
                continue
            for name in WITHOUT_DISK:
                deployment.kill(name)
            time.sleep(2)
            show_idle("the same, 3 entries down", sample_idle(deployment, operators, seconds))
    with running(given, "12,3", WITHOUT_DISK) as (deployment, operators):
        time.sleep(1.5)
        fewer = sample_idle(deployment, operators, seconds)
        show_idle("5 entries 15 targets", fewer)
    for kind, unit in (("memory", "MiB"), ("cpu", "% of a core"), ("sent", "B/s"), ("received", "B/s")):
        for role in results[15][kind]:
            at_zero, rise = slope([(count, found[kind][role]) for count, found in results.items()])
            print(f"   {kind:>8} of {role:>6}: {at_zero:9.2f} + {rise:8.4f} {unit} for each target (8 entries)")
            if role in fewer[kind]:
                print(f"   {'':>8}    {'':>6}  {(results[15][kind][role] - fewer[kind][role]) / 3:8.4f} {unit} for each"
                      " further entry (15 targets, 8 against 5 entries)")
    out = slope([(count, found["received_mean"]) for count, found in results.items()])[1]
    into = slope([(count, found["sent_mean"]) for count, found in results.items()])[1]
    print(f"   A target, computed from the entries' slopes: sends {out:.0f} B/s and receives {into:.0f} B/s"
          f" for each entry, with 8 entries {8 * out:.0f} and {8 * into:.0f} B/s.")


# Configuration, failover, restart.

class Changes:
    """Submits the sample configuration under rising numbers, padded to a size."""

    def __init__(self, deployment, operators):
        self.operators = operators
        self.text = (deployment.folder / "configuration.toml").read_text().split("\n", 1)[1]
        self.number = 1

    def submit(self, entry, size=0, timeout=20):
        """The revision of the next change; retries as an operator does when no leader is known."""
        self.number += 1
        body = f"number = {self.number}\n{self.text}"
        while len(body) < size:
            body += "# " + "x" * min(97, size - len(body)) + "\n"
        deadline = time.monotonic() + timeout
        while True:
            try:
                answer = self.operators.post(entry, "/configuration", body.encode())
                if answer["code"] == 0:
                    return answer["revision"]
            except (OSError, http.client.HTTPException) as problem:
                answer = problem
            if time.monotonic() > deadline:
                raise RuntimeError(f"change {self.number} is not accepted: {answer}")
            time.sleep(0.01)


def wait_in_force(operators, entries, revision, targets, timeout=15):
    """Seconds until the entries, and until the targets, hold the revision."""
    began = time.monotonic()
    waiting = set(entries)
    while waiting:
        for entry in list(waiting):
            if operators.counters(entry).get("figcleat_configuration_revision", 0) >= revision:
                waiting.discard(entry)
        if time.monotonic() - began > timeout:
            raise RuntimeError(f"revision {revision} is not in force at entries {sorted(waiting)}")
        if waiting:
            time.sleep(0.01)
    at_entries = time.monotonic() - began
    while True:
        held = [each["revision"] for each in operators.status(entries[0])["targets"]]
        if len(held) >= targets and min(held) >= revision:
            return at_entries, time.monotonic() - began
        if time.monotonic() - began > timeout:
            raise RuntimeError(f"revision {revision} is not in force at every target")
        time.sleep(0.02)


def leader_of(operators, entries):
    """Index of the leader that a majority of the answering entries names."""
    deadline = time.monotonic() + 15
    while time.monotonic() < deadline:
        named = collections.Counter(operators.status(i)["control"]["leader"] for i in entries)
        address, votes = named.most_common(1)[0]
        if address and votes > len(entries) / 2:
            return int(address.rsplit(":", 1)[1]) - operators.deployment.base_port - 1
        time.sleep(0.05)
    raise RuntimeError("no leader is known")


def series(label, changes, entries, count, size, idle_rates, pause=0.0):
    operators = changes.operators
    before = {i: operators.counters(i) for i in entries}
    began = time.monotonic()
    to_entries, to_all = [], []
    for i in range(count):
        revision = changes.submit(entries[i % len(entries)], size)
        first, last = wait_in_force(operators, entries, revision, 15)
        to_entries.append(first)
        to_all.append(last)
        time.sleep(pause)
    passed = time.monotonic() - began
    each = {}
    for way in ("sent", "received"):
        name = f"figcleat_mailbox_{way}_bytes_total"
        total = statistics.mean(operators.counters(i)[name] - before[i][name] for i in entries)
        each[way] = (total - idle_rates[way] * passed) / count
    print(f"{label:>36} {count:>5} {statistics.median(to_entries):8.3f} {max(to_entries):8.3f}"
          f" {statistics.median(to_all):8.3f} {max(to_all):8.3f} {each['sent']:10.0f} {each['received']:10.0f}"
          f" {each['sent'] * 760 / 86400:9.1f} {each['received'] * 760 / 86400:9.1f}", flush=True)


def idle_rates(operators, entries, seconds=4):
    before = {i: operators.counters(i) for i in entries}
    time.sleep(seconds)
    return {way: statistics.mean(
        operators.counters(i)[f"figcleat_mailbox_{way}_bytes_total"]
        - before[i][f"figcleat_mailbox_{way}_bytes_total"] for i in entries) / seconds
        for way in ("sent", "received")}


def folder_bytes(folder):
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


def changes(given):
    count = 3 if given.quick else 50
    with running(given, "12,3") as (deployment, operators):
        time.sleep(2)
        submitted = Changes(deployment, operators)
        everyone = list(range(ENTRIES))
        print(f"\nb. Configuration, 8 entries and 15 targets; sample file of {len(submitted.text)} bytes; seconds from"
              " \"accepted\";\n   bytes of one change for each entry, without the idle traffic;"
              " B/s computed from them for 760 changes a day")
        print(f"{'series':>36} {'count':>5} {'entries':>8} {'max':>8} {'all':>8} {'max':>8} {'sent B':>10}"
              f" {'recvd B':>10} {'sent B/s':>9} {'recvd B/s':>9}")
        rates = idle_rates(operators, everyone)
        series("sample file", submitted, everyone, count, 0, rates)
        if not given.quick:
            time.sleep(5)
            series("file of 46 KB, one every 5 s", submitted, everyone, 8, DESIGN_FILE_BYTES, rates, 5)
        series("file of 46 KB, one after another", submitted, everyone, 1 if given.quick else 12, DESIGN_FILE_BYTES, rates)
        leader = leader_of(operators, everyone)
        stopped = next(i for i in everyone if f"entry-{i + 1}" in VOTERS and i != leader)
        others = [i for i in everyone if i != stopped]
        deployment.pause(f"entry-{stopped + 1}")
        try:
            time.sleep(2)
            series("sample file, a voter stopped", submitted, others, count, 0, idle_rates(operators, others))
        finally:
            deployment.resume(f"entry-{stopped + 1}")
        failover(deployment, submitted, 1 if given.quick else 5)
        restart(deployment, submitted, 60 if given.quick else 500)


def failover(deployment, submitted, times):
    operators = submitted.operators
    found = []
    for _ in range(times):
        time.sleep(2)
        leader = leader_of(operators, list(range(ENTRIES)))
        deployment.kill(f"entry-{leader + 1}")
        began = time.monotonic()
        submitted.submit((leader + 1) % ENTRIES)
        found.append(time.monotonic() - began)
        deployment.start_daemon(f"entry-{leader + 1}")
        wait_until_back(operators, leader, 0)
    print("\nc. Failover: seconds from kill -9 of the leader until the next change is accepted: "
          + " ".join(f"{each:.2f}" for each in found) + f"; median {statistics.median(found):.2f}", flush=True)


def wait_until_back(operators, entry, revision):
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if operators.status(entry)["revision"] >= max(1, revision):
                return
        time.sleep(0.02)
    raise RuntimeError(f"entry-{entry + 1} is not back at revision {revision}")


def restart(deployment, submitted, count):
    operators = submitted.operators
    leader = leader_of(operators, list(range(ENTRIES)))
    entry = next(i for i in range(ENTRIES) if f"entry-{i + 1}" in VOTERS and i != leader)
    began = time.monotonic()
    for _ in range(count):
        submitted.submit(leader)
    passed = time.monotonic() - began
    memory = means(by_role(deployment, resident_mib))
    deployment.kill(f"entry-{entry + 1}")
    revision = submitted.submit(leader)
    size = folder_bytes(deployment.folder / "data" / f"entry-{entry + 1}")
    began = time.monotonic()
    deployment.start_daemon(f"entry-{entry + 1}")
    wait_until_back(operators, entry, revision)
    print(f"\nd. Restart: {count} changes accepted in {passed:.1f} s ({count / passed:.0f}/s, one at a time); killed voter"
          f" back with revision {revision}\n   after {time.monotonic() - began:.2f} s; data folder {size / 1e6:.2f} MB;"
          " memory afterwards in MiB: " + ", ".join(f"{role} {each:.1f}" for role, each in memory.items()), flush=True)


# Load.

class Caller:
    """One kept connection of a caller."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def call(self, method, path, headers, body):
        """Outcome, seconds to the first byte of the body and seconds to the end."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        began = time.monotonic()
        lines = [f"{method} {path} HTTP/1.1", "Host: 127.0.0.1", f"Content-Length: {len(body)}", *headers]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        status = int(head.split(b" ", 2)[1])
        length = re.search(rb"content-length: (\d+)", head)
        pieces, first = [], None
        if length:
            pieces.append(await self.reader.readexactly(int(length.group(1))))
            first = time.monotonic()
        else:
            while True:
                size = int((await self.reader.readline()).split(b";")[0], 16)
                pieces.append((await self.reader.readexactly(size + 2))[:-2])
                first = first or time.monotonic()
                if size == 0:
                    break
        if b"connection: close" in head:
            self.close()
        text = b"".join(pieces)
        outcome = "whole"
        if status != 200:
            name = re.search(rb'"(?:name|error)": ?"(\w+)"', text)
            outcome = f"{status} {name.group(1).decode() if name else ''}"
        elif path.startswith("/v1") and (not text.rstrip().endswith(b"[DONE]") or text.count(b"data: {") != TOKENS):
            outcome = "incomplete"
        return outcome, first - began, time.monotonic() - began

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def request_of(kind, workspace, key):
    headers = [f"Authorization: Bearer example-{workspace}", "Content-Type: application/json"]
    if kind == "stream":
        return "POST", "/v1/chat/completions", headers, completion("Which trays wait?", max_tokens=TOKENS)
    if kind == "read":
        return "GET", "/services/returns-desk/pickups", headers, b""
    return "POST", "/services/returns-desk/pickups", [*headers, f"Idempotency-Key: {key}"], b'{"trays": 40}'


async def attempt(caller, kind, workspace, key, timeout=10):
    try:
        return await asyncio.wait_for(caller.call(*request_of(kind, workspace, key)), timeout)
    except (ConnectionRefusedError, asyncio.TimeoutError) as problem:
        outcome = "refused connection" if isinstance(problem, ConnectionRefusedError) else "no end in 10 s"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        outcome = "connection lost"
    caller.close()
    return outcome, float("nan"), float("nan")


async def closed_loop(ports, kind, concurrency, seconds, label):
    found = []
    ending = time.monotonic() + seconds

    async def one(index):
        caller = Caller(ports[index % len(ports)])
        number = 0
        while time.monotonic() < ending:
            number += 1
            found.append(await attempt(caller, kind, CALLERS[index % 3], f"{label}-{index}-{number}"))
            if found[-1][0] != "whole":
                await asyncio.sleep(0.02)
        caller.close()
    await asyncio.gather(*(one(i) for i in range(concurrency)))
    return found


def in_process(arguments):
    return asyncio.run(closed_loop(*arguments))


def generate(ports, kind, concurrency, seconds, workers=3):
    """Results of a closed loop of callers, divided among a few generator processes."""
    label = str(time.monotonic_ns())
    workers = min(workers, concurrency)
    shares = [concurrency // workers + (i < concurrency % workers) for i in range(workers)]
    with multiprocessing.get_context("fork").Pool(workers) as pool:
        work = [(ports[i:] + ports[:i], kind, share, seconds, f"{label}-{i}") for i, share in enumerate(shares)]
        return [each for part in pool.map(in_process, work) for each in part]


def outcomes(found):
    return ", ".join(f"{name}: {count}" for name, count in collections.Counter(each[0] for each in found).most_common())


def median_ms(found, position):
    whole = [1000 * each[position] for each in found if each[0] == "whole"]
    return (statistics.median(whole), percentile(whole, 0.99)) if whole else (float("nan"), float("nan"))


def caller_ports(deployment):
    return [deployment.base_port + 200 + i + 1 for i in range(ENTRIES)]


def engine_ports(deployment, first, count):
    return [deployment.base_port + 400 + first + i + 1 for i in range(count)]


def load(given):
    seconds = 2 if given.quick else 6
    print(f"\ne. Load: streams of {TOKENS} pieces through 8 entries, 16 callers for each target, closed loop over"
          f" {seconds} s;\n   stand-in: {FIRST_TOKEN_MS} ms to the first piece, {TOKEN_MS} ms between pieces;"
          " processor ms for each request over all processes of the roles;\n   first byte against direct calls of"
          " the engines, 4 callers each, ms")
    print(f"{'targets':>8} {'requests/s':>10} {'entries ms':>10} {'targets ms':>10} {'direct':>8} {'p99':>8}"
          f" {'figcleat':>8} {'p99':>8} {'added':>7}  outcomes under load")
    for count in (3,) if given.quick else (3, 6, 12):
        with running(given, f"{count},3") as (deployment, operators):
            ports = caller_ports(deployment)
            engines = engine_ports(deployment, 0, count)
            # Targets start cold; their admission level doubles while work finishes in the expected time.
            generate(ports, "stream", 8 * count, 1 if given.quick else 3)
            direct = generate(engines, "stream", 4, seconds / 2, 1)
            through = generate(ports, "stream", 4, seconds / 2, 1)
            levels = [levels_of(operators)]
            before = {role: sum(each) for role, each in by_role(deployment, processor_seconds).items()}
            began = time.monotonic()
            found = generate(ports, "stream", 16 * count, seconds)
            passed = time.monotonic() - began
            after = {role: sum(each) for role, each in by_role(deployment, processor_seconds).items()}
            whole = max(1, sum(each[0] == "whole" for each in found))
            used = {role: 1000 * (after[role] - before[role]) / whole for role in after}
            a, b = median_ms(direct, 1), median_ms(through, 1)
            print(f"{count:>8} {whole / passed:>10.0f} {used['voter'] + used['entry']:>10.2f} {used['target']:>10.2f}"
                  f" {a[0]:>8.2f} {a[1]:>8.2f} {b[0]:>8.2f} {b[1]:>8.2f} {b[0] - a[0]:>7.2f}  {outcomes(found)}",
                  flush=True)
            levels.append(levels_of(operators))
            time.sleep(1)
            left = {f"entry-{i + 1}": operators.status(i)["requests_in_progress"] for i in range(ENTRIES)}
            print(f"   sum of the model targets' admission levels before and after: {levels[0]}, {levels[1]};"
                  f" in progress 1 s after the load: {sum(left.values())}"
                  f" {dict((name, each) for name, each in left.items() if each)}", flush=True)
            if count == 12 or given.quick:
                bookings(deployment, count, seconds)


def levels_of(operators):
    return sum(each["limit"] for each in operators.status(0)["targets"] if each["service"] == "assistant-models")


def bookings(deployment, first_plain, seconds):
    ports, services = caller_ports(deployment), engine_ports(deployment, first_plain, 3)
    memory = means(by_role(deployment, resident_mib))
    timed = {}
    for kind in ("read", "book"):
        timed[kind] = (median_ms(generate(services, kind, 4, seconds / 2, 1), 2)[0],
                       median_ms(generate(ports, kind, 4, seconds / 2, 1), 2)[0])
    began = time.monotonic()
    found = generate(ports, "book", 48, seconds)
    passed = time.monotonic() - began
    later = means(by_role(deployment, resident_mib))
    whole = max(1, sum(each[0] == "whole" for each in found))
    added = {kind: through - direct for kind, (direct, through) in timed.items()}
    print(f"   Bookings, 48 callers: {whole / passed:.0f} claimed calls/s whole ({outcomes(found)}), median"
          f" {median_ms(found, 2)[0]:.1f} ms.\n   4 callers, median ms to the end, direct and through figcleat: GET"
          f" {timed['read'][0]:.2f} and {timed['read'][1]:.2f}, booking {timed['book'][0]:.2f} and"
          f" {timed['book'][1]:.2f}; a claim adds {added['book'] - added['read']:.2f} ms over a GET.\n"
          f"   Voter memory before and after the bookings: {memory['voter']:.1f} and {later['voter']:.1f} MiB.")


# Service while parts leave and return.

async def steady(ports, rate, seconds, events):
    """An open loop; a refused connection goes to another entry, as the platform's balancer does."""
    found, tasks, pool, redirected = [], set(), collections.defaultdict(list), 0

    async def one(number, due):
        nonlocal redirected
        for hop in range(ENTRIES):
            port = ports[(number + hop) % len(ports)]
            caller = pool[port].pop() if pool[port] else Caller(port)
            outcome = await attempt(caller, "stream", CALLERS[number % 3], "")
            pool[port].append(caller)
            if outcome[0] != "refused connection":
                break
            redirected += 1
        found.append((due, *outcome))

    began = time.monotonic()
    pending = sorted(events)
    for number in range(int(rate * seconds)):
        due = number / rate
        while pending and pending[0][0] <= due:
            event = pending.pop(0)
            await asyncio.to_thread(event[1])
        await asyncio.sleep(max(0, began + due - time.monotonic()))
        task = asyncio.create_task(one(number, due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    return found, redirected


def service(given):
    step = 1 if given.quick else 6
    rate = 100
    with running(given, "12,3") as (deployment, operators):
        generate(caller_ports(deployment), "stream", 48, 1 if given.quick else 2)
        answers = []

        def ask(path):
            answers.append((path, operators.post(0, path)["name"]))
        events = [(step, lambda: ask("/data-centres/okahandja/out")), (2 * step, lambda: ask("/data-centres/okahandja/in")),
                  (3 * step, lambda: deployment.kill("assistant-models-1")), (4 * step, lambda: deployment.kill("entry-8"))]
        found, redirected = asyncio.run(steady(caller_ports(deployment), rate, 5 * step, events))
        print(f"\nf. Service at {rate} streams/s through 8 entries, 12 + 3 targets; {step} s each; operators' answers:"
              f" {answers}")
        print(f"{'phase':>28} {'requests':>8} {'whole %':>8} {'worst first byte ms':>20}  outcomes")
        for i, phase in enumerate(("before", "okahandja out", "okahandja back", "a target killed", "an entry killed")):
            part = [each[1:] for each in found if i * step <= each[0] < (i + 1) * step]
            whole = [each for each in part if each[0] == "whole"]
            worst = max((1000 * each[1] for each in whole), default=float("nan"))
            print(f"{phase:>28} {len(part):>8} {100 * len(whole) / max(1, len(part)):>8.2f} {worst:>20.0f}  {outcomes(part)}")
        violations = sum(operators.counters(i).get("figcleat_invariant_violations_total", 0) for i in range(ENTRIES - 1))
        print(f"   connections refused by the killed entry and tried elsewhere: {redirected}; invariant violations:"
              f" {violations}", flush=True)


def main():
    parts = {"idle": idle, "changes": changes, "load": load, "service": service}
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build")
    parser.add_argument("--base-port", type=int, default=35000)
    parser.add_argument("--quick", action="store_true", help="short samples of fewer sizes")
    parser.add_argument("--only", default=",".join(parts), help="parts to run: " + ", ".join(parts))
    given = parser.parse_args()
    given.build = pathlib.Path(given.build).resolve()
    # An exception unwinds the deployments, so that a stopped run leaves no process behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    print(f"python3 {' '.join(sys.argv)}; load average {os.getloadavg()}; {os.cpu_count()} cores")
    began = time.monotonic()
    for name in given.only.split(","):
        parts[name](given)
    print(f"\nLoad average {os.getloadavg()}; {time.monotonic() - began:.0f} s.")


if __name__ == "__main__":
    main()
