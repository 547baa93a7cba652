"""A small deployment on loopback: registries and gateways as processes, the platform and the servers as stand-ins.

The processes are started with the commands of deploy/system.toml and with settings that hold the fields of
platform/settings.toml.template. Servers, platform, operator and clients follow the users' pages and log what they see.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

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


# run.sh makes 0, 1 and 2 of these; an interpreter that fails by itself exits with 1.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
SHOWN = ("x-api-key", "x-daisyroute-tenant")  # Headers that a record names.
QUEUE = 12  # Requests that wait at a server for a slot; the sheets have the same.


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        print(line, file=self.file)

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
        self.running = 0
        self.waiting = 0
        self.slot = asyncio.Semaphore(self.slots)
        self.listed = True
        self.address = None
        self.act = None
        self.runs = []
        self.writers = {}  # Of open connections, with the tasks that serve them.

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
        for writer, task in list(self.writers.items()):
            writer.transport.abort()
            task.cancel()

    async def serve(self, reader, writer):
        self.writers[writer] = asyncio.current_task()
        try:
            while True:
                request = await read_message(reader)
                answer = await self.answer(request, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
                # A server that leaves says so, and closes.
                if b"\r\nConnection: close\r\n" in answer:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def answer(self, request, writer):
        path = request.first.split()[1]
        if path == "/health":
            return text_of(200, [("X-Daisyroute-Instance-Id", self.id)])
        request_id = request.header("X-Daisyroute-Request-Id")
        target = request.header("X-Daisyroute-Target-Instance")
        told = [f"{name}: {value}" for name, value in request.headers if name.lower() in SHOWN]
        self.site.record(f"server {self.id} {self.service} gets {request.first} id={request_id} {told if told else ''}")
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
        self.site.record(f"server {self.id} answers {status}, not run, id={request_id} {list(headers) if headers else ''}")
        return text_of(status, [("X-Daisyroute-Request-Id", request_id), ("X-Daisyroute-Not-Executed", "1"), self.load(),
                                *headers])

    def load(self):
        return "X-Daisyroute-Server-Load", f"{self.running},{self.waiting},{self.slots}"

    async def run(self, request, request_id, headers=()):
        """Runs a request in a slot, after it has waited for one; what is too much, or too late for a slot, is not run."""
        deadline = time.monotonic() + float(request.header("X-Daisyroute-Deadline-Ms") or 60000) / 1000.0
        if self.waiting >= QUEUE:
            return self.not_run(503, request_id)
        self.waiting += 1
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + deadline - time.monotonic()):
                await self.slot.acquire()
        except TimeoutError:
            return self.not_run(503, request_id)
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((time.monotonic(), request_id))
            self.site.record(f"server {self.id} {self.service} runs id={request_id}")
            left = deadline - time.monotonic()
            await asyncio.sleep(max(0.0, min(self.work_ms / 1000.0, left)))
        finally:
            self.running -= 1
            self.slot.release()
        status = 200 if left >= self.work_ms / 1000.0 else 504
        self.site.record(f"server {self.id} {self.service} answers {status} id={request_id}")
        return text_of(status, [("X-Daisyroute-Request-Id", request_id),
                                ("X-Daisyroute-Server-Stamp", self.stamp(request_id)), self.load(), *headers],
                       self.body(request_id) if status == 200 else b"")

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
        self.list_told = None
        self.version = 0
        self.known = []  # Caller addresses of the last look-up.
        self.known_until = 0.0
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
                if body != self.list_told:
                    self.record(f"platform's list from now on: {body}")
                self.list_told = body
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
        self.record("all processes have ended")
        shutil.rmtree(self.folder, ignore_errors=True)

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
        self.record(f"operator sends config {self.version}: {shortened(config)}")
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
            self.record(f"config {self.version} gets {answer.status if answer else 'no answer'} from machine {to}")
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

    async def look_up(self):
        """Asks the directory, as clients do: up to three nodes, a second each; without an answer the last one is kept."""
        if time.monotonic() < self.known_until:
            return
        for machine in self.random.sample(self.gateways, min(3, len(self.gateways))):
            answer = await self.call(self.address(machine, "directory"), "GET",
                                     "/v1/lookup?name=shop.example&region=region&zone=zone-a", timeout=1.0)
            if answer is None or answer.status != 200:
                self.record(f"look-up at machine {machine}: {answer.status if answer else 'no answer'}")
                continue
            told = json.loads(answer.body)
            self.known, self.known_until = told["addrs"], time.monotonic() + min(5.0, told["ttl_s"])
            self.record(f"look-up at machine {machine}: {told}")
            return

    async def request(self, path, deadline_ms=2000, headers=(), method="GET", body=b"", host="shop.example", leaves_s=None):
        """One client attempt at a gateway that the directory named; returns (id, answer or None, seconds).

        `leaves_s`: how long the client waits if that is less than its deadline.
        """
        await self.look_up()
        if not self.known:
            raise CannotRun("the directory names no gateway")
        address = self.random.choice(self.known)
        request_id = "%016x" % self.random.getrandbits(64)
        told = [f"{name}: {value}" for name, value in headers]
        self.record(f"client sends {method} {path} id={request_id} to {address} {told if told else ''}")
        begun = time.monotonic()
        answer = await self.call(address, method, path,
                                 [("Host", host), ("X-Daisyroute-Request-Id", request_id),
                                  ("X-Daisyroute-Deadline-Ms", str(deadline_ms)), *headers], body,
                                 deadline_ms / 1000.0 if leaves_s is None else leaves_s)
        took = time.monotonic() - begun
        self.record(f"client gets {answer.status if answer else 'no answer'} id={request_id} after {took * 1000:.0f} ms")
        return request_id, answer, took

    def ended_processes(self):
        return [machine for machine, process in self.processes.items() if process.poll() is not None]


def shortened(config):
    """A config as a record names it: whole, but for the routes behind the third."""
    routes = config["routes"]
    more = f" and {len(routes) - 3} more routes" if len(routes) > 3 else ""
    return json.dumps(dict(config, routes=routes[:3])) + more


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
        except Exception:  # A fault of the script says nothing about the rule.
            site.record.tell(f"cannot run: {traceback.format_exc()}")
            return None
        finally:
            site.stop_all()

    try:
        held = asyncio.run(run())
    except asyncio.CancelledError:
        held = None
    sys.exit(COULD_NOT_RUN if held is None else HELD if held else BROKEN)
