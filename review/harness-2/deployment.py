"""A small deployment on loopback: registries and gateways as processes, the platform and the servers as stand-ins.

The processes are started with the commands of deploy/system.toml and with settings that hold the fields of
platform/settings.toml.template. Servers, platform, operator and clients follow the users' pages and log what they see.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "daisyroute")
SETTINGS = """node = "{node}"
data_centre = "{zone}"
ip = "{ip}"
caller_address = "{ip}:{front}"
readiness_address = "{ip}:{ready}"
lookup_address = "{ip}:{directory}"
operator_address = "{ip}:{control}"
first_peer_port = {peer}
cluster_key = "daisyroute"
seeds = "{seeds}"
first_start = {first_start}
data_directory = "{data}"
server_list_address = "{platform}"
server_list_calls_per_second = 55.0
processor_share = 0.45
link_megabits = 1000.0
lookup_max_age_s = 5
shutdown_grace_s = 6
extra_load_ratio = 0.2
extra_load_slack = 62.0
server_drain_ms = {drain_ms}
catch_up_s = 4.0
lost_vms_tolerated = 1
key_removal_is_bounded = "{strict}"
key_removal_bound_ms = "{revoke_ms}"
allowance_window_s = "{quota_window}"
allowance_overage = "{quota_overage}"
allowance_slack = "{quota_slack}"
cold_overage = ""
cold_slack = ""
memory_megabytes = 260
max_descriptors = 4100
"""


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        print(line, file=self.file, flush=True)

    def tell(self, text):
        self(text)
        print(text, flush=True)


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_message(reader, is_head=False):
    """Reads one whole message; raises IncompleteReadError when it breaks off."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in head[1:] if line]
    message = Message(head[0], headers, b"")
    if is_head:
        return message
    if (message.header("Transfer-Encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                break
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif message.header("Content-Length"):
        message.body = await reader.readexactly(int(message.header("Content-Length")))
    return message


def text_of(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines + [f"Content-Length: {len(body)}", "", ""])).encode("latin-1") + body


class Server:
    """A backend server that behaves as the pages say. `act` may take over the answer to a request."""

    def __init__(self, site, service, zone, work_ms=5.0):
        self.site = site
        self.service = service
        self.zone = zone
        self.work_ms = work_ms
        self.id = "i-%08x" % site.random.getrandbits(32)
        self.state = "ready"
        self.slots = 2
        self.listed = True
        self.address = None
        self.act = None
        self.runs = []
        self.writers = set()

    async def start(self, ip):
        self.listener = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    def entry(self):
        return {"id": self.id, "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "warmupLeftMs": 0}

    def end(self):
        """The server is gone, with what it has at work."""
        self.site.record(f"server {self.id} ends")
        self.listed = False
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                answer = await self.answer(request, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        path = request.first.split()[1]
        if path == "/health":
            return text_of(200, [("X-Daisyroute-Instance-Id", self.id)])
        request_id = request.header("X-Daisyroute-Request-Id")
        target = request.header("X-Daisyroute-Target-Instance")
        self.site.record(f"server {self.id} {self.service} gets {request.first} id={request_id}")
        if target is not None and target != self.id:
            return self.not_run(421, request_id)
        if request_id is None:
            return self.not_run(400, "")
        if self.act:
            acted = await self.act(self, request, request_id, writer)
            if acted is not NotImplemented:
                return acted
        return await self.run(request, request_id)

    def not_run(self, status, request_id, headers=()):
        return text_of(status, [("X-Daisyroute-Request-Id", request_id), ("X-Daisyroute-Not-Executed", "1"), *headers])

    async def run(self, request, request_id, headers=()):
        self.runs.append((time.monotonic(), request_id))
        self.site.record(f"server {self.id} {self.service} runs id={request_id}")
        await asyncio.sleep(self.work_ms / 1000.0)
        return text_of(200, [("X-Daisyroute-Request-Id", request_id),
                             ("X-Daisyroute-Server-Stamp", self.stamp(request_id)), *headers], self.body(request_id))

    def stamp(self, request_id):
        return f"{self.id}.{request_id}"

    def body(self, request_id):
        return ("%s of %s" % (self.id, request_id)).ljust(64, ".").encode()[:64]


class Site:
    def __init__(self, folder, registries=1, gateways=1, drain_ms=3000, strict="", revoke_ms="", quota=("", "", "")):
        self.record = Record(folder)
        self.random = random.Random(7)
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.network = None
        self.registries = list(range(registries))
        self.gateways = list(range(registries, registries + gateways))
        self.bounds = dict(drain_ms=drain_ms, strict=strict, revoke_ms=revoke_ms, quota_window=quota[0],
                           quota_overage=quota[1], quota_slack=quota[2])
        self.servers = []
        self.processes = {}
        self.first_start = True
        self.spoil_list = None
        self.list_reads = 0
        self.version = 0
        self.data = {}

    # Addresses. Each machine has one of its own; all listen on the same ports, as on the platform.

    async def start_platform(self):
        for attempt in range(200):
            net = "127.%d.%d." % (random.randrange(20, 250), random.randrange(1, 250))
            base = random.randrange(2000, 3100) * 10
            if self.is_free(net, base):
                self.network, self.base = net, base
                break
        else:
            raise CannotRun("no free addresses")
        self.platform_server = await asyncio.start_server(self.serve_platform, self.network + "250", 0)
        self.platform = "%s:%d" % self.platform_server.sockets[0].getsockname()[:2]

    def is_free(self, net, base):
        for machine in self.registries + self.gateways:
            for port in range(base, base + 8):
                with socket.socket() as probe:
                    try:
                        probe.bind((net + str(machine + 1), port))
                    except OSError:
                        return False
        return True

    def ip(self, machine):
        return self.network + str(machine + 1)

    def address(self, machine, port):
        return f"{self.ip(machine)}:{self.base + ['front', 'ready', 'directory', 'control', 'peer', 'peer2', 'metrics'].index(port)}"

    # Platform

    async def serve_platform(self, reader, writer):
        try:
            while True:
                await read_message(reader)
                self.list_reads += 1
                entries = [server.entry() for server in self.servers if server.listed]
                body = json.dumps({"instances": entries, "nextPageToken": None})
                if self.spoil_list:
                    body = self.spoil_list(entries)
                writer.write(text_of(200, [("Content-Type", "application/json")], body.encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def add_server(self, service, zone="zone-a", **more):
        server = Server(self, service, zone, **more)
        await server.start(self.network + str(100 + len(self.servers) % 100))
        self.servers.append(server)
        return server

    # Processes

    def write_settings(self, machine):
        path = os.path.join(self.folder, f"machine-{machine}.toml")
        has_disk = machine in self.registries
        data = os.path.join(self.folder, f"disk-{machine}") if has_disk else ""
        if has_disk:
            os.makedirs(data, exist_ok=True)
        part = lambda name: int(self.address(machine, name).split(":")[1])
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                node=f"front-{machine}", zone="zone-a", ip=self.ip(machine), front=part("front"), ready=part("ready"),
                directory=part("directory"), control=part("control"), peer=part("peer"),
                seeds=",".join(self.address(m, "control") for m in self.registries[:3]),
                first_start="true" if self.first_start else "false", data=data, platform=self.platform, **self.bounds))
        return path

    def start(self, machine):
        role = "registry" if machine in self.registries else "gateway"
        path = self.write_settings(machine)
        log = open(os.path.join(self.folder, f"machine-{machine}.log"), "ab")
        metrics = self.address(machine, "metrics").split(":")[1]
        self.processes[machine] = subprocess.Popen(
            [PROGRAM, role, f"--metrics-port={metrics}"], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C.UTF-8", "DAISYROUTE_CONFIG": path})
        self.record(f"{role} {machine} starts as process {self.processes[machine].pid}")

    def signal(self, machine, number):
        self.record(f"process of machine {machine} gets signal {signal.Signals(number).name}")
        self.processes[machine].send_signal(number)

    def wait_ended(self, machine, seconds=10):
        self.processes[machine].wait(seconds)

    async def start_all(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        for machine in self.registries + self.gateways:
            self.start(machine)
        self.first_start = False

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP") is None:
            subprocess.run(["rm", "-rf", self.folder], check=False)
        else:
            print("kept", self.folder)

    # Calls

    async def call(self, address, method, path, headers=(), body=b"", timeout=5.0):
        """One call on a connection of its own; returns the answer, or None without a whole one."""
        writer = None
        try:
            host, port = address.split(":")
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
                lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers), f"Content-Length: {len(body)}"]
                if not any(n.lower() == "host" for n, _ in headers):
                    lines.insert(1, f"Host: {address}")
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
                return await read_message(reader, method == "HEAD")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, TimeoutError):
            return None
        finally:
            if writer:
                writer.close()

    async def put_config(self, routes, services, seconds=20.0, limits=None, machine=None, **more):
        self.version += 1
        config = {"version": self.version, "routes": routes, "services": services,
                  "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                                       "idleTimeoutMs": 15000}, **more}
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            to = machine if machine is not None else self.random.choice(self.registries)
            answer = await self.call(self.address(to, "control"), "PUT", "/v1/config",
                                     [("Content-Type", "application/json")], json.dumps(config).encode(), 1.0)
            if answer is not None and answer.status == 200:
                self.record(f"config {self.version} is acknowledged by machine {to}")
                return time.monotonic()
            if answer is not None and answer.status in (400, 409, 412, 413, 422):
                raise CannotRun(f"config {self.version} is refused with {answer.status}")
            await asyncio.sleep(0.1)
        raise CannotRun("the config is not acknowledged")

    async def wait_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        for machine in self.gateways:
            while True:
                answer = await self.call(self.address(machine, "ready"), "GET", "/v1/readiness", timeout=1.0)
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"gateway {machine} is not ready")
                await asyncio.sleep(0.1)
        self.record("all gateways are ready")

    async def request(self, machine, path, deadline_ms=2000, headers=(), method="GET", body=b"", host="shop.example"):
        """One client attempt; returns (id, answer or None, seconds)."""
        request_id = "%016x" % self.random.getrandbits(64)
        self.record(f"client sends {method} {path[:60]} id={request_id} to machine {machine}")
        begun = time.monotonic()
        answer = await self.call(self.address(machine, "front"), method, path,
                                 [("Host", host), ("X-Daisyroute-Request-Id", request_id),
                                  ("X-Daisyroute-Deadline-Ms", str(deadline_ms)), *headers], body, deadline_ms / 1000.0)
        took = time.monotonic() - begun
        self.record(f"client gets {answer.status if answer else 'no answer'} id={request_id} after {took * 1000:.0f} ms")
        return request_id, answer, took

    def ended_processes(self):
        return [machine for machine, process in self.processes.items() if process.poll() is not None]


def service(name, connections=28):
    return {"name": name, "healthPath": "/health", "maxConnections": connections, "protocol": "h1", "tls": False}


def single(name, prefix, service_name, kind="safe", timeout_ms=2000, target_ms=200, attempts=2, **more):
    return {"name": name, "host": "shop.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": target_ms, "priority": 1, "service": service_name, "attempts": attempts, **more}


def gather(name, prefix, shards, timeout_ms=2000, target_ms=200, attempts=2, top=10, least=0.89):
    return {"name": name, "host": "shop.example", "pathPrefix": prefix, "routeType": "safe", "timeoutMs": timeout_ms,
            "targetLatencyMs": target_ms, "priority": 1, "gather": shards, "attempts": attempts, "topK": top,
            "minCoverage": least}


def play(folder, case, **options):
    """Runs a case, which returns whether the rule held, and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site = Site(folder, **options)
        # Ended from outside, the case still ends its processes.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await site.start_platform()
            return await case(site, trouble)
        except CannotRun as reason:
            site.record.tell(f"cannot run: {reason}")
            return None
        finally:
            site.stop_all()

    try:
        held = asyncio.run(run())
    except asyncio.CancelledError:
        held = None
    sys.exit(2 if held is None else 0 if held else 1)
