#!/usr/bin/env python3
"""Starts a small Tulonga deployment on loopback, uses it as its callers and operators do, and stops it.

Exits with 0 only if a streamed completion and a booking were answered whole and every process stopped by itself.
"""
import argparse
import json
import subprocess
import sys
import tempfile
import time

from deployment import ROOT, Deployment, call, completion


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=str(ROOT / "build"))
    parser.add_argument("--base-port", type=int, default=21000)
    parser.add_argument("--keep", action="store_true", help="keep the folder with settings and logs")
    given = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="figcleat-demo-")
    deployment = Deployment(given.build, folder, given.base_port, "3,3")
    ok = False
    try:
        print(f"Starting 8 entries, 6 targets and their stand-in engines; logs are in {folder}.")
        deployment.start_all()
        print(deployment.apply(deployment.folder / "configuration.toml").strip())
        deployment.wait_ready(targets=6)

        print("\nA streamed completion for workspace clinics, through entry 1:")
        status, headers, stream = call(f"{deployment.caller(0)}/v1/chat/completions", "clinics",
                                       completion("Which trays wait at the clinic?"))
        print(stream.strip())
        whole = status == 200 and stream.rstrip().endswith("data: [DONE]") and stream.count("data: {") == 12
        print(f"HTTP {status}, request {headers.get('X-Request-Id')}, whole: {whole}")

        print("\nA pickup booking that may not run twice, through entry 2, and its resend through entry 5:")
        booking = json.dumps({"site": "clinic 7", "trays": 40}).encode()
        key = {"Idempotency-Key": "pickup-2031"}
        first = call(f"{deployment.caller(1)}/services/returns-desk/pickups", "pickup-drivers", booking, key)
        second = call(f"{deployment.caller(4)}/services/returns-desk/pickups", "pickup-drivers", booking, key)
        print(f"HTTP {first[0]} {first[2].strip()}")
        print(f"HTTP {second[0]} {second[2].strip()}")
        booked = first[0] == second[0] == 200 and first[2] == second[2] and json.loads(first[2])["executions_of_key"] == 1

        # Two heartbeats, so that the table shows every entry.
        time.sleep(1.2)
        print()
        print(deployment.cli("status").stdout)
        print(deployment.cli("report", "burn").stdout)
        ok = whole and booked
    finally:
        failed = deployment.stop_all()
        for line in failed:
            print(line)
    ok = ok and not failed
    print("All processes stopped by graceful shutdown." if not failed else "Some processes did not stop cleanly.")
    print("Demo passed." if ok else f"Demo FAILED; logs are in {folder}.")
    if ok and not given.keep:
        subprocess.run(["rm", "-r", folder], check=True)
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
