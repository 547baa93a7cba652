"""Starts a small deployment as processes on loopback, with a stand-in for the platform, servers and operators.

Each machine has a loopback address of its own; ports are the same on all machines. Settings are rendered from the
project's template and programs are started with the commands of the deploy file.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Bounds of kit/more/system/sites/inyuguti-search.toml and csf-waxroute.toml, as the users' pages print them.
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000,
          "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000,
          "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 62, "recoveryS": 12, "ttl_max_s": 5}


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; run.sh exits with 2."""


class Record:
    """Writes record.txt: one line for each thing sent, answered, run or done, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f}  {text}\n")
            self.file.flush()


def look_up(fields, name):
    """Returns the value of a dotted name, or None."""
    current = fields
    for key in name.split("."):
        if isinstance(current, list):
            current = current[int(key)] if int(key) < len(current) else None
        else:
            current = current.get(key) if isinstance(current, dict) else None
    return current


def render(template, fields):
    """Fills in the placeholders that the project's template uses: {{a}}, {{a.b}}, {{a.0}}, |json, and sections
    {{#a}}...{{/a}} and {{^a}}...{{/a}} that depend on whether there is a value."""

    def section(match):
        current = look_up(fields, match.group(2))
        is_there = current is not None and current is not False
        return match.group(3) if is_there == (match.group(1) == "#") else ""

    def value(match):
        name, _, form = match.group(1).partition("|")
        current = look_up(fields, name)
        if form == "json":
            return json.dumps(current)
        if current is None:
            return ""
        if isinstance(current, list):
            return ",".join(str(item) for item in current)
        return json.dumps(current) if isinstance(current, dict) else str(current)

    template = re.sub(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", section, template)
    return re.sub(r"\{\{([^}#^/]+)\}\}", value, template)


def free_network():
    """Returns the first two bytes of a loopback network that no other run uses."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}"
        probe = socket.socket()
        try:
            probe.bind((f"{network}.255.1", 18999))
            probe.listen(1)
            return network, probe
        except OSError:
            probe.close()
    raise CannotRun("no free loopback network")


class Machine:
    """One machine with its processes; it can be killed, frozen, stopped, wiped and started."""

    def __init__(self, deployment, name, address, has_disk):
        self.deployment = deployment
        self.name = name
        self.address = address
        self.has_disk = has_disk
        self.folder = os.path.join(deployment.folder, name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.folder)
        if has_disk:
            os.makedirs(self.data)
        self.processes = {}
        self.bootstrap = True

    def roles(self):
        return ["gateway", "registry"] if self.has_disk else ["gateway"]

    def settings(self):
        deployment = self.deployment
        ports = deployment.ports
        control = f"{self.address}:{ports['control']}" if self.has_disk else None
        return {
            "nodeName": self.name, "zone": "zone-a", "region": "region", "ip": self.address,
            "listenAddrs": {"front": f"{self.address}:{ports['front']}", "ready": f"{self.address}:{ports['ready']}",
                            "control": control, "directory": f"{self.address}:{ports['directory']}"},
            "internalPorts": [ports["internal"], ports["internal"] + 15],
            "seeds": [f"{machine.address}:{ports['control']}" for machine in deployment.seeds],
            "bootstrap": self.bootstrap, "dataDir": self.data if self.has_disk else "",
            "limits": {"cpuShare": 0.45, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 64},
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "cloudApi": {"address": deployment.list_address, "ratePerS": 55.0, "duties": [], "lagMs": 800},
        }

    def start(self):
        for role in self.roles():
            self.start_role(role)

    def start_role(self, role):
        path = os.path.join(self.folder, f"{role}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(self.deployment.template, self.settings()))
        command = self.deployment.roles[role]["run"].split()
        command[0] = os.path.join(ROOT, command[0])
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["DAISYROUTE_CONFIG"] = path
        log = open(os.path.join(self.folder, f"{role}.log"), "ab")
        self.processes[role] = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                                stdout=log, stderr=log)
        log.close()

    def signal(self, number, roles=None):
        for role in roles or list(self.processes):
            process = self.processes.get(role)
            if process is not None and process.poll() is None:
                process.send_signal(number)

    def kill(self):
        """The machine loses power: all its processes end at once."""
        self.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        self.processes = {}

    def terminate(self, grace):
        """SIGTERM, then SIGKILL after the grace."""
        self.signal(signal.SIGTERM)
        deadline = time.monotonic() + grace
        for process in self.processes.values():
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                pass
        self.kill()

    def lose_disk(self):
        """The machine loses power and its disk; it starts with an empty folder and bootstrap = false."""
        self.kill()
        shutil.rmtree(self.data)
        os.makedirs(self.data)
        self.bootstrap = False

    def control(self):
        return (self.address, self.deployment.ports["control"])

    def front(self):
        return (self.address, self.deployment.ports["front"])

    def log_text(self, role):
        with open(os.path.join(self.folder, f"{role}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Deployment:
    """Machines with and without a disk, and the platform's list of servers."""

    def __init__(self, record, core=3, fronts=1, seeds=3):
        self.record = record
        self.network, self.probe = free_network()
        self.ports = {"front": 18104, "ready": 18108, "control": 18106, "directory": 18100, "internal": 17380}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        program = os.path.join(ROOT, self.roles["gateway"]["run"].split()[0])
        if not os.path.exists(program):
            raise CannotRun("the build of the deploy file is missing")
        with open(os.path.join(ROOT, self.roles["gateway"]["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.list_address = f"{self.network}.254.1:18102"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.machines = []
        self.core = [self.add(f"core-{index}", True) for index in range(core)]
        self.fronts = [self.add(f"front-{index}", False) for index in range(fronts)]
        self.seeds = self.core[:seeds]

    def add(self, name, has_disk):
        machine = Machine(self, name, f"{self.network}.1.{len(self.machines) + 1}", has_disk)
        self.machines.append(machine)
        return machine

    def start(self):
        for machine in self.machines:
            machine.start()

    def stop(self):
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.kill()
        self.probe.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def require_running(self):
        """Before the disruption a process that has ended is a fault of the surroundings, not of a rule."""
        if ended := self.ended_by_themselves():
            raise CannotRun(f"processes ended before the disruption: {ended}")

    def ended_by_themselves(self):
        """Names of processes that have ended though nothing ended them."""
        return [f"{machine.name}/{role}" for machine in self.machines
                for role, process in machine.processes.items() if process.poll() is not None]


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """One request on a connection of its own. Returns (status, headers, body), or (None, {}, reason)."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as error:
        return None, {}, repr(error).encode()
    finally:
        connection.close()


class Client:
    """Asks the directory where to connect, keeps the answer for its ttl, and picks an address at random."""

    def __init__(self, record, deployment, name):
        self.record = record
        self.deployment = deployment
        self.name = name
        self.addresses = []
        self.until = 0.0

    def look_up(self):
        if self.addresses and time.monotonic() < self.until:
            return
        for machine in random.sample(self.deployment.machines, 3):
            address = (machine.address, self.deployment.ports["directory"])
            status, _, body = call(address, "GET", "/v1/lookup?name=h.example&region=region&zone=zone-a")
            if status == 200:
                answer = json.loads(body)
                self.addresses = answer["addrs"]
                self.until = time.monotonic() + min(answer["ttl_s"], BOUNDS["ttl_max_s"])
                return

    def send(self, method, path, identity, deadline_ms, body=None):
        """One attempt on a new connection; returns the status, or None without an answer."""
        self.look_up()
        if not self.addresses:
            raise CannotRun("no look-up was answered")
        host, _, port = random.choice(self.addresses).rpartition(":")
        status, _, _ = call((host, int(port)), method, path, body, {
            "Host": "h.example", "X-Daisyroute-Request-Id": identity, "X-Daisyroute-Deadline-Ms": str(deadline_ms)},
            deadline_ms / 1000 + 1)
        self.record.note(f"client {self.name}: {method} {path} {identity} by {host} answered {status}")
        return status


class Operator:
    """Sends configurations and reads them back, as the pages tell operators to."""

    def __init__(self, record, deployment):
        self.record = record
        self.deployment = deployment
        self.acknowledged = 0

    def put(self, configuration, machines, seconds):
        """Sends a change to the machines in turn until one acknowledges it; True on an acknowledgement."""
        version = configuration["version"]
        deadline = time.monotonic() + seconds
        backoff = 0.05
        while time.monotonic() < deadline:
            for machine in machines:
                status, _, _ = call(machine.control(), "PUT", "/v1/config", json.dumps(configuration),
                                    {"Content-Type": "application/json"})
                self.record.note(f"operator: PUT version {version} to {machine.name}: {status}")
                if status == 200:
                    self.acknowledged = max(self.acknowledged, version)
                    return machine
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"a valid configuration was refused with {status}")
                time.sleep(backoff)
            backoff = min(backoff * 2, 0.4)
        return None

    def read_for(self, machines, seconds):
        """Reads the configuration again and again; returns the set of versions read (empty: none came)."""
        versions = set()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for machine in machines:
                status, _, body = call(machine.control(), "GET", "/v1/config")
                version = json.loads(body)["version"] if status == 200 else None
                self.record.note(f"operator: GET from {machine.name}: {status}, version {version}")
                if version is not None:
                    versions.add(version)
            time.sleep(0.3)
        return versions


def configuration(version, routes=None, services=("svc",), timeout_ms=2000):
    """A configuration with one plain route unless others are given."""
    return {
        "version": version,
        "routes": routes or [{"name": "r", "host": "h.example", "pathPrefix": "/a/", "routeType": "safe",
                              "timeoutMs": timeout_ms, "targetLatencyMs": 100, "priority": 1, "service": services[0],
                              "attempts": 2}],
        "services": [{"name": name, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": False}
                     for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


def run_case(folder, case):
    """Runs case(record) and turns its result into an exit code: True if the rule held."""
    record = Record(folder)
    record.note(f"TROUBLE={int(with_trouble())}")
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # The case ends its processes on the way out.
    try:
        held = case(record)
    except Exception as reason:  # A fault of the script must not count as a broken rule.
        record.note(f"the case could not run: {reason!r}")
        print(f"could not run: {reason!r}")
        sys.exit(2)
    record.note("the rule held" if held else "THE RULE WAS BROKEN")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
