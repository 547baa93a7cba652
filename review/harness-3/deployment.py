"""A small deployment on loopback addresses: real gateways and registries, and stand-ins of the platform.

Each VM has an address of its own, so all use the same ports, as on the platform. Everything that is sent,
answered and run goes into one record with the seconds since the start.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "daisyroute")
HOST = "review.example"

SETTINGS = """node = "{node}"
data_centre = "{zone}"
ip = "{ip}"
caller_address = "{ip}:8104"
readiness_address = "{ip}:8108"
lookup_address = "{ip}:8100"
operator_address = "{ip}:8106"
first_peer_port = 7380
cluster_key = "daisyroute"
seeds = "{seeds}"
first_start = {first}
data_directory = "{data}"
server_list_address = "{cloud}"
server_list_calls_per_second = 55.0
processor_share = {share}
link_megabits = 1000.0
lookup_max_age_s = 5
shutdown_grace_s = 6
extra_load_ratio = 0.2
extra_load_slack = 62
server_drain_ms = 3000
catch_up_s = 4
lost_vms_tolerated = 1
key_removal_is_bounded = ""
key_removal_bound_ms = ""
allowance_window_s = ""
allowance_overage = ""
allowance_slack = ""
cold_overage = ""
cold_slack = ""
memory_megabytes = {memory}
max_descriptors = 4100
"""


class Record:
    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


def read_head(file):
    """Returns the start line and the headers of a message, or nothing at the end of the stream."""
    line = file.readline()
    if not line:
        return None
    headers = []
    while True:
        field = file.readline()
        if field in (b"\r\n", b""):
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return line.decode("latin-1").strip(), headers


def header(headers, name):
    for key, value in headers:
        if key == name:
            return value
    return None


def read_body(file, headers):
    if (header(headers, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int(file.readline().split(b";")[0], 16)
            part = file.read(size)
            file.readline()
            if size == 0:
                return body
            body += part
    length = header(headers, "content-length")
    return file.read(int(length)) if length else b""


class Listener:
    """Accepts connections and serves each on a thread."""

    def __init__(self, ip, port):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((ip, port))
        self.socket.listen(256)
        self.address = f"{ip}:{port}"
        self.closed = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.closed:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        try:
            self.serve(connection)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def serve(self, connection):
        raise NotImplementedError

    def close(self):
        self.closed = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()


class ServerList(Listener):
    """The platform's list of servers, one page."""

    def __init__(self, ip, port):
        self.entries = []
        super().__init__(ip, port)

    def serve(self, connection):
        file = connection.makefile("rb")
        while read_head(file):
            body = json.dumps({"instances": self.entries, "nextPageToken": None}).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               b"Content-Length: %d\r\n\r\n" % len(body) + body)


class Server(Listener):
    """A sound backend server."""

    def __init__(self, record, server_id, service, ip, port, work=0.005):
        self.record, self.id, self.service, self.work = record, server_id, service, work
        super().__init__(ip, port)

    def entry(self, **changes):
        entry = {"id": self.id, "service": self.service, "address": self.address, "zone": "zone-a",
                 "version": "v1", "slots": 8, "state": "ready", "warmupLeftMs": 0}
        entry.update(changes)
        return entry

    def serve(self, connection):
        file = connection.makefile("rb")
        while True:
            head = read_head(file)
            if head is None:
                return
            line, headers = head
            body = read_body(file, headers)
            request = header(headers, "x-daisyroute-request-id")
            if header(headers, "x-daisyroute-target-instance") not in (None, self.id):
                self.answer(connection, 421, request, b"", "X-Daisyroute-Not-Executed: 1\r\n")
                continue
            self.record.write(f"run by={self.id} request={request} line={line!r} body_bytes={len(body)}")
            time.sleep(self.work)
            self.answer(connection, 200, request, b"0123456789abcdef")

    def answer(self, connection, status, request, body, extra=""):
        stamp = f"X-Daisyroute-Server-Stamp: {self.id}.{request}\r\n" if "Not-Executed" not in extra else ""
        connection.sendall((f"HTTP/1.1 {status} X\r\nX-Daisyroute-Request-Id: {request}\r\n{stamp}{extra}"
                            f"Content-Length: {len(body)}\r\n\r\n").encode() + body)


class Deployment:
    def __init__(self, record_path, registries=3, gateways=2, plain_registries=0, memory=260, seeds=None):
        self.record = Record(record_path)
        self.random = random.Random()
        self.network = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.memory = memory
        self.first = True
        self.processes = {}
        self.listeners = []
        self.cloud = ServerList(f"{self.network}.250", 8102)
        self.listeners.append(self.cloud)
        self.registries = [f"registry-{n}" for n in range(registries + plain_registries)]
        self.disks = set(self.registries[:registries])
        self.gateways = [f"gateway-{n}" for n in range(gateways)]
        self.seeds = seeds or self.registries[:3]
        self.zones = {}
        self.next_port = 9000

    def ip(self, node):
        kind, number = node.split("-")
        return f"{self.network}.{(1 if kind == 'registry' else 101) + int(number)}"

    def add_server(self, server_id, service, **options):
        self.next_port += 1
        server = Server(self.record, server_id, service, f"{self.network}.240", self.next_port, **options)
        self.listeners.append(server)
        self.cloud.entries = self.cloud.entries + [server.entry()]
        return server

    def start(self, node):
        kind = node.split("-")[0]
        data = os.path.join(self.directory, node) if node in self.disks else ""
        path = os.path.join(self.directory, node + ".toml")
        seeds = ",".join(f"{self.ip(name)}:8106" for name in self.seeds)
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(node=node, zone=self.zones.get(node, "zone-a"), ip=self.ip(node), seeds=seeds, data=data,
                                       first="true" if self.first else "false", cloud=self.cloud.address,
                                       share=0.45, memory=self.memory))
        environment = dict(os.environ, DAISYROUTE_CONFIG=path)
        with open(os.path.join(self.directory, node + ".log"), "ab") as log:
            self.processes[node] = subprocess.Popen(
                [PROGRAM, kind, "--metrics-port=" + ("9464" if kind == "gateway" else "9465")], cwd=ROOT,
                env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.write(f"started {node}")

    def start_all(self):
        for node in self.registries + self.gateways:
            self.start(node)
        self.first = False

    def log(self, node):
        with open(os.path.join(self.directory, node + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def put(self, configuration, node=None, wait=20.0):
        """Sends a configuration as the operator does, until it is acknowledged."""
        end = time.monotonic() + wait
        while time.monotonic() < end:
            target = node or self.random.choice(self.registries)
            try:
                status, _, _ = exchange(f"{self.ip(target)}:8106", "PUT", "/v1/config",
                                        json.dumps(configuration).encode(), timeout=1.0)
            except OSError:
                status = None
            self.record.write(f"operator put version={configuration['version']} at={target} status={status}")
            if status == 200 or (status is not None and 400 <= status < 500):
                return status
            time.sleep(0.1)
        return None

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        for listener in self.listeners:
            listener.close()
        shutil.rmtree(self.directory, ignore_errors=True)


def request_text(method, path, body=b"", headers=(), close=False):
    text = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    if close:
        text += "Connection: close\r\n"
    if body:
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode() + b"\r\n" + body


def exchange(address, method, path, body=b"", headers=(), timeout=5.0):
    """One request on a connection of its own. Returns the status, the headers and the body."""
    ip, port = address.split(":")
    with socket.create_connection((ip, int(port)), timeout=timeout) as connection:
        connection.settimeout(timeout)
        connection.sendall(request_text(method, path, body, headers, close=True))
        return read_answer(connection.makefile("rb"))


def read_answer(file):
    head = read_head(file)
    if head is None:
        raise ConnectionError("closed without an answer")
    line, headers = head
    length = int(header(headers, "content-length") or 0)
    body = file.read(length)
    if len(body) < length:
        raise ConnectionError("the answer broke off")
    return int(line.split()[1]), headers, body


def main(run):
    """Exits with what `run` returns; with 2 if the script itself fails or is ended from outside."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    try:
        sys.exit(run())
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        sys.exit(2)
