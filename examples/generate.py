#!/usr/bin/env python3
"""Writes the settings of every process of a sample deployment, and its configuration.

    generate.py                                    both deployments, next to this script
    generate.py tulonga --out /tmp/t --base-port 21000 --targets-per-service 2,1

All processes run on one machine: they listen on loopback addresses, at ports counted from the base port. Files
of an earlier run with more targets are not removed.
"""
import argparse
import hashlib
import json
import pathlib

IP = "127.0.0.1"
# Distances from the base port; each block has room for 99 processes.
ENTRY_MAILBOX, TARGET_MAILBOX, CALLER, OPERATOR, ENGINE = 0, 100, 200, 300, 400
BLOCK = 99

SMALL = {"max_requests_in_progress": 32, "weight": 1, "priority": 0}
LARGE = {"max_requests_in_progress": 256, "weight": 4, "priority": 1}
MODEL_LIMITS = {
    "full": {"max_requests": 64, "max_prompt_tokens": 256000, "max_generated_tokens": 64000},
    "cold": {"max_requests": 4, "max_prompt_tokens": 16000, "max_generated_tokens": 4000},
}
PLAIN_LIMITS = {"full": {"max_requests": 32}, "cold": {"max_requests": 8}}
MODEL_LEVEL = {"objective": 0.99, "answer_within": "30s", "first_token_within": "810ms"}
PLAIN_LEVEL = {"objective": 0.999, "answer_within": "2s", "first_token_within": "1s"}

# No data centre has three of the five voters, so that the loss of one leaves a quorum.
DEPLOYMENTS = {
    "tulonga": {
        "base_port": 7100,
        "region": "khomas",
        "data_centres": ["windhoek-north", "windhoek-south", "okahandja"],
        "entries": [3, 3, 2],
        "voters": [2, 2, 1],
        "model_service": {"name": "assistant-models", "model": "tray-assistant", "version": "3", "targets": 12},
        "plain_service": {"name": "returns-desk", "targets": 3},
        "workspaces": {
            "clinics": LARGE,
            "school-kitchens": LARGE,
            "old-age-homes": LARGE,
            "pickup-drivers": SMALL,
            "dispatch-office": SMALL,
            "damage-desk": SMALL,
            "tray-wash": SMALL,
            "kitchen-suppliers": SMALL,
            "volunteers": SMALL,
            "accounts": SMALL,
        },
    },
    "caseta": {
        "base_port": 8100,
        "region": "norte",
        "data_centres": ["norte-a", "norte-b", "norte-c"],
        "entries": [3, 3, 2],
        "voters": [2, 2, 1],
        "model_service": {"name": "lm-caseta", "model": "caseta-notes", "version": "1", "targets": 12},
        "plain_service": {"name": "till-app", "targets": 3},
        "workspaces": {
            "valley-tills": LARGE,
            "coast-tills": LARGE,
            "hill-tills": SMALL,
            "market-tills": SMALL,
            "receipt-notes": SMALL,
            "produce-questions": SMALL,
            "day-summaries": SMALL,
            "stock-keeping": SMALL,
            "members": SMALL,
            "bookkeeping": SMALL,
        },
    },
}


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def toml(value):
    if isinstance(value, list):
        return "[" + ", ".join(toml(each) for each in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml(each)}" for key, each in value.items()) + " }"
    # JSON and TOML write strings, numbers and truth values alike, as far as they are used here.
    return json.dumps(value)


def section(header, values):
    return "\n".join([header] + [f"{key} = {toml(value)}" for key, value in values.items()]) + "\n"


class Ports:
    def __init__(self, base):
        self.base = base

    def address(self, block, index):
        return f"{IP}:{self.base + block + index + 1}"


def entries(deployment):
    """Name, data centre and voter flag of each entry."""
    found = []
    for centre, count, voters in zip(deployment["data_centres"], deployment["entries"], deployment["voters"]):
        for i in range(count):
            found.append((f"entry-{len(found) + 1}", centre, i < voters))
    return found


def entry_file(index, all_entries, ports, data_folder):
    name, centre, is_voter = all_entries[index]
    mailboxes = [ports.address(ENTRY_MAILBOX, i) for i in range(len(all_entries))]
    parts = [
        section("[vm]", {"name": name, "data_centre": centre}),
        section("[log]", {"level": "info"}),
        section("[mailbox]", {
            "address": mailboxes[index],
            "peers": mailboxes[:index] + mailboxes[index + 1:],
            "nearby": [address for address, entry in zip(mailboxes, all_entries)
                       if entry[1] == centre and entry[0] != name],
        }),
        section("[entry]", {
            "caller_address": ports.address(CALLER, index),
            "operator_address": ports.address(OPERATOR, index),
            "operator_credential_sha256": sha256("example-operator"),
            "max_requests_in_progress": 4096,
            "drain_deadline": "330s",
        }),
    ]
    if is_voter:
        voters = [address for address, entry in zip(mailboxes, all_entries) if entry[2]]
        parts.append(section("[control]", {"data_folder": f"{data_folder}/{name}", "voters": voters}))
    return name, "\n".join(parts)


def group_of(service, centre, number, centres):
    """The ranks of a group advance in lock-step, so a group lies in one data centre."""
    return {"group": f"{service}-{centre}", "rank": number // centres, "role": "mixed"}


def target_file(deployment, service, number, index, all_entries, ports):
    centres = deployment["data_centres"]
    centre = centres[number % len(centres)]
    name = f"{service['name']}-{number + 1}"
    target = {"name": name, "service": service["name"], "engine": ports.address(ENGINE, index)}
    limits = PLAIN_LIMITS
    if "model" in service:
        limits = MODEL_LIMITS
        target |= {"model": service["model"], "version": service["version"]}
        target |= group_of(service["name"], centre, number, len(centres))
        # Some engines ignore fencing tokens.
        target["engine_checks_fences"] = number % 2 == 0
    target["drain_deadline"] = "330s"
    return name, "\n".join([
        section("[vm]", {"name": name, "data_centre": centre}),
        section("[log]", {"level": "info"}),
        section("[mailbox]", {
            "address": ports.address(TARGET_MAILBOX, index),
            "peers": [ports.address(ENTRY_MAILBOX, i) for i in range(len(all_entries))],
            "nearby": [ports.address(ENTRY_MAILBOX, i) for i, entry in enumerate(all_entries) if entry[1] == centre],
        }),
        section("[target]", target),
        section("[target.full]", limits["full"]),
        section("[target.cold]", limits["cold"]),
    ])


def configuration(deployment):
    model, plain = deployment["model_service"], deployment["plain_service"]
    parts = ["number = 1\n"]
    for name, values in deployment["workspaces"].items():
        credentials = {"credential_sha256": [sha256(f"example-{name}")]}
        parts.append(section("[[workspace]]", {"name": name} | credentials | values))
    for name in deployment["data_centres"]:
        parts.append(section("[[data_centre]]", {"name": name, "region": deployment["region"], "in_service": True}))
    parts.append(section("[[service]]", {"name": model["name"], "kind": "model", "models": [model["model"]]})
                 + section("[service.level]", MODEL_LEVEL))
    parts.append("# POST is not repeatable: a booking or a payment runs at most once.\n"
                 + section("[[service]]", {"name": plain["name"], "kind": "plain",
                                           "repeatable_methods": ["GET", "HEAD"]})
                 + section("[service.level]", PLAIN_LEVEL))
    for service, limits in ((model, MODEL_LIMITS), (plain, PLAIN_LIMITS)):
        parts.append(section("[[rule]]", {"service": service["name"]} | limits))
    return "\n".join(parts)


def files(name, base_port, target_counts, data_folder):
    deployment = DEPLOYMENTS[name]
    ports = Ports(base_port or deployment["base_port"])
    all_entries = entries(deployment)
    yield "configuration", configuration(deployment)
    for index in range(len(all_entries)):
        yield entry_file(index, all_entries, ports, data_folder)
    index = 0
    for position, kind in enumerate(("model_service", "plain_service")):
        service = deployment[kind]
        for number in range(target_counts[position] if target_counts else service["targets"]):
            yield target_file(deployment, service, number, index, all_entries, ports)
            index += 1


def counts(text):
    model, plain = (int(each) for each in text.split(","))
    if min(model, plain) < 0 or model + plain > BLOCK:
        raise ValueError
    return model, plain


def port(text):
    value = int(text)
    if not 1024 <= value <= 65535 - ENGINE - BLOCK:
        raise ValueError
    return value


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("deployment", nargs="?", choices=sorted(DEPLOYMENTS))
    parser.add_argument("--base-port", type=port, help="first port less 1; the deployment takes 500 ports")
    parser.add_argument("--out", type=pathlib.Path, metavar="DIR", help="folder for the files of one deployment")
    parser.add_argument("--targets-per-service", type=counts, metavar="M,P", help="model targets, plain targets")
    parser.add_argument("--data-folder", metavar="DIR", help="parent of the voters' data folders; DIR/data with --out DIR")
    args = parser.parse_args()
    if args.deployment is None and (args.out or args.base_port):
        parser.error("--out and --base-port need a deployment")
    for name in [args.deployment] if args.deployment else sorted(DEPLOYMENTS):
        folder = args.out or pathlib.Path(__file__).resolve().parent / name
        folder.mkdir(parents=True, exist_ok=True)
        data_folder = args.data_folder or (f"{args.out}/data" if args.out else f"data/{name}")
        for file_name, text in files(name, args.base_port, args.targets_per_service, data_folder):
            (folder / f"{file_name}.toml").write_text(text)


if __name__ == "__main__":
    main()
