"""A deployment whose first seed has no disk; all machines lose power and one disk is lost."""

import json
import os
import shutil
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-3"))

from deployment import HOST, PROGRAM, Deployment, exchange, main  # noqa: E402

RECOVERY = 12.0  # recoveryS of the settings
READ_BACK = 15.0  # longer than contactMs, for which the operator reads at least
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
AFTER_FIRST_ACK = os.environ.get("VARIANT") == "ack"  # only the first seed loses power, right after its first ack


def configuration(version):
    route = {"name": "r-lookup", "host": HOST, "pathPrefix": "/lookup/", "routeType": "safe", "timeoutMs": 1000,
             "targetLatencyMs": 100, "priority": 1, "service": "alpha", "attempts": 2}
    return {"version": version, "routes": [route],
            "services": [{"name": "alpha", "healthPath": "/health", "maxConnections": 28, "protocol": "h1",
                          "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def first_disk_that_joined(deployment):
    lines = [line for node in deployment.registries for line in deployment.log(node).splitlines()
             if "event=member_added" in line]
    for line in sorted(lines):
        node = line.split(" node=")[1].split()[0]
        if node in deployment.disks:
            return node
    return None


def read_back(deployment, wanted):
    """Asks all registries again and again; returns the best version that any of them gives."""
    best = None
    end = time.monotonic() + READ_BACK
    while time.monotonic() < end:
        for node in deployment.registries:
            try:
                status, _, body = exchange(f"{deployment.ip(node)}:8106", "GET", "/v1/config", timeout=1.0)
            except OSError:
                status, body = None, b""
            version = json.loads(body)["version"] if status == 200 else None
            deployment.record.write(f"operator read at={node} status={status} version={version}")
            if version is not None:
                best = max(best or 0, version)
        if best is not None and best >= wanted:
            return best
        time.sleep(0.5)
    return best


def send_requests(deployment, results, stop):
    number = 0
    while not stop.is_set():
        number += 1
        gateway = deployment.gateways[number % len(deployment.gateways)]
        try:
            status, _, _ = exchange(f"{deployment.ip(gateway)}:8104", "GET", f"/lookup/{number}",
                                    headers=[("X-Daisyroute-Request-Id", f"q{number}"),
                                             ("X-Daisyroute-Deadline-Ms", "1000")], timeout=1.5)
        except OSError:
            status = None
        results.append((time.monotonic(), status))
        deployment.record.write(f"request q{number} at={gateway} status={status}")
        time.sleep(0.1)


def served(results, since):
    statuses = [status for at, status in results if at >= since]
    return sum(status == 200 for status in statuses), len(statuses)


def lose_first_seed(deployment):
    """The machine without a disk loses power and is back after 0.8 s; nothing else happens."""
    process = deployment.processes["registry-3"]
    process.kill()
    process.wait()
    deployment.record.write("registry-3, the first seed, which has no disk, loses power")
    time.sleep(0.8)
    deployment.start("registry-3")


def run():
    if not os.path.exists(PROGRAM):
        print("the program is not built")
        return 2
    # Two machines of each of three zones serve control; in each zone the first one has a disk.
    deployment = Deployment(os.path.join(HERE, "record.txt"), registries=3, gateways=3, plain_registries=3,
                            seeds=["registry-3", "registry-1", "registry-2"])
    deployment.zones = {f"{kind}-{n}": f"zone-{'abc'[n % 3]}" for kind in ("registry", "gateway")
                        for n in range(6)}
    stop = threading.Event()
    try:
        for n in range(3):
            deployment.add_server(f"server-{n}", "alpha")
        deployment.start_all()
        if deployment.put(configuration(3)) != 200:
            print("the first configuration was not acknowledged")
            return 2
        if AFTER_FIRST_ACK:
            if TROUBLE:
                lose_first_seed(deployment)
            time.sleep(RECOVERY)
            version = read_back(deployment, 3)
            text = f"acknowledged: 3; read back: {version}"
            deployment.record.write(text)
            print(text)
            return 0 if version is not None and version >= 3 else 1
        results = []
        threading.Thread(target=send_requests, args=(deployment, results, stop), daemon=True).start()
        time.sleep(10.0)  # catchUpS is 4
        before = served(results, time.monotonic() - 5.0)
        if deployment.put(configuration(7)) != 200:
            print("the second configuration was not acknowledged")
            return 2
        if TROUBLE:
            lost = first_disk_that_joined(deployment)
            if lost is None:
                print("no registry with a disk has joined")
                return 2
            deployment.record.write(f"all machines lose power; {lost} loses its disk")
            for process in deployment.processes.values():
                process.kill()
            for process in deployment.processes.values():
                process.wait()
            shutil.rmtree(os.path.join(deployment.directory, lost))
            time.sleep(0.8)
            for node in deployment.registries + deployment.gateways:
                deployment.start(node)
        time.sleep(RECOVERY)
        since = time.monotonic()
        version = read_back(deployment, 7)
        time.sleep(max(0.0, since + 5.0 - time.monotonic()))
        after = served(results, since)
        stop.set()
        text = (f"acknowledged: 7; read back: {version}; served before: {before[0]} of {before[1]}, "
                f"later than recoveryS after the machines were back: {after[0]} of {after[1]}")
        deployment.record.write(text)
        print(text)
        return 0 if version is not None and version >= 7 else 1
    finally:
        stop.set()
        deployment.close()


main(run)
