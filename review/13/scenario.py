"""An operator sends one invalid configuration, and repeats it as the pages say while it gets no clear response."""

import json
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-3"))

from deployment import HOST, PROGRAM, Deployment, exchange, main  # noqa: E402

MEMORY_MB = 260  # memoryMb of the settings
BODY_BYTES = 262144  # no page bounds a configuration; as much as a client's body may have
ENDS_BROKEN = 3  # on half of the core
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def configuration(version):
    route = {"name": "r-lookup", "host": HOST, "pathPrefix": "/lookup/", "routeType": "safe", "timeoutMs": 1000,
             "targetLatencyMs": 100, "priority": 1, "service": "alpha", "attempts": 2}
    return {"version": version, "routes": [route],
            "services": [{"name": "alpha", "healthPath": "/health", "maxConnections": 28, "protocol": "h1",
                          "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def invalid_configuration(version):
    """Numbers stand where the routes should; without trouble, one route names an unknown service instead."""
    if not TROUBLE:
        invalid = configuration(version)
        invalid["routes"][0]["service"] = "unknown"
        return json.dumps(invalid).encode()
    head, tail = f'{{"version":{version},"services":[],"routes":['.encode(), b"0]}"
    return head + b"0," * ((BODY_BYTES - len(head) - len(tail)) // 2) + tail


def resident_megabytes(pid):
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


def enforce_memory(deployment, ends, stop):
    """As the platform: a process beyond its memory is killed, one that has ended starts again shortly after."""
    while not stop.is_set():
        for node, process in list(deployment.processes.items()):
            used = resident_megabytes(process.pid)
            if process.poll() is None and used > MEMORY_MB:
                process.kill()
                deployment.record.write(f"{node} uses {used:.0f} MB of {MEMORY_MB} and is killed")
            if process.poll() is not None:
                process.wait()
                ends[node] = ends.get(node, 0) + 1
                if process.returncode != -signal.SIGKILL:
                    deployment.record.write(f"{node} ended with {process.returncode}")
                time.sleep(0.3)
                deployment.start(node)
        time.sleep(0.01)


def send_until_answered(deployment, body, seconds):
    """Sends the order to one node after the other, with growing pauses, until a response ends the call."""
    end = time.monotonic() + seconds
    pause = 0.1
    turn = 0
    while time.monotonic() < end:
        node = deployment.registries[turn % len(deployment.registries)]
        turn += 1
        try:
            status, _, _ = exchange(f"{deployment.ip(node)}:8106", "PUT", "/v1/config", body, timeout=10.0)
        except OSError:
            status = None
        deployment.record.write(f"operator put of the invalid configuration, {len(body)} bytes, at={node} "
                                f"status={status}")
        if status in (400, 409, 412, 413, 422) or status == 200:
            return status
        time.sleep(pause)
        pause = min(2.0, pause * 1.5)
    return None


def run():
    if not os.path.exists(PROGRAM):
        print("the program is not built")
        return 2
    deployment = Deployment(os.path.join(HERE, "record.txt"), registries=3, gateways=2, memory=MEMORY_MB)
    deployment.zones = {f"{kind}-{n}": f"zone-{'abc'[n]}" for kind in ("registry", "gateway") for n in range(3)}
    ends = {}
    stop = threading.Event()
    watcher = threading.Thread(target=enforce_memory, args=(deployment, ends, stop))
    try:
        for n in range(3):
            deployment.add_server(f"server-{n}", "alpha")
        deployment.start_all()
        watcher.start()
        if deployment.put(configuration(3)) != 200:
            print("the first configuration was not acknowledged")
            return 2
        time.sleep(5.0)
        status = send_until_answered(deployment, invalid_configuration(9), 60.0)
        later = deployment.put(configuration(12), wait=20.0)
        often = [node for node in deployment.registries if ends.get(node, 0) >= ENDS_BROKEN]
        text = (f"the invalid configuration was answered: {status}; processes that ended: {ends}; "
                f"a valid change later: {later}")
        deployment.record.write(text)
        print(text)
        return 1 if 2 * len(often) >= len(deployment.registries) else 0
    finally:
        stop.set()
        if watcher.is_alive():
            watcher.join()
        deployment.close()


main(run)
