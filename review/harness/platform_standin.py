"""Stand-ins for the platform's list of servers and for the servers themselves."""

import json
import socket
import threading
import time

from deployment import CannotRun


class Listener:
    """Accepts connections on one address; each is served by a thread of its own."""

    def __init__(self, address, serve):
        host, _, port = address.rpartition(":")
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.socket.bind((host, int(port)))
        except OSError as error:
            raise CannotRun(f"cannot listen on {address}: {error}") from error
        self.socket.listen(512)
        self.serve = serve
        self.open = set()
        self.lock = threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.add(connection)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        try:
            self.serve(connection)
        except OSError:
            pass
        finally:
            with self.lock:
                self.open.discard(connection)
            connection.close()

    def close(self):
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()
        with self.lock:
            for connection in self.open:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Reader:
    """Reads requests from a connection."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def request(self):
        """Returns (method, target, headers, body), or None at the end of the connection."""
        while b"\r\n\r\n" not in self.buffer:
            data = self.connection.recv(65536)
            if not data:
                return None
            self.buffer += data
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(self.buffer) < length:
            data = self.connection.recv(65536)
            if not data:
                return None
            self.buffer += data
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return method, target, headers, body


def response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class ServerList:
    """GET /instances of the platform. Entries are bytes, so that an unreadable one can stand among them."""

    def __init__(self, address, lag_s=0.8):
        self.lag_s = lag_s
        self.history = [(0.0, [])]
        self.lock = threading.Lock()
        self.listener = Listener(address, self.serve)

    def show(self, entries):
        """Shows these entries from `lag_s` on; returns the time at which the list shows them."""
        shown_at = time.monotonic() + self.lag_s
        with self.lock:
            self.history.append((shown_at, list(entries)))
        return shown_at

    def entries(self):
        now = time.monotonic()
        with self.lock:
            return [entries for shown_at, entries in self.history if shown_at <= now][-1]

    def serve(self, connection):
        reader = Reader(connection)
        while (request := reader.request()) is not None:
            target = request[1]
            first = int(target.partition("pageToken=p-")[2] or "0")
            entries = self.entries()
            page = entries[first:first + 50]
            following = f'"p-{first + 50}"' if first + 50 < len(entries) else "null"
            body = b'{"instances":[' + b",".join(page) + b'],"nextPageToken":' + following.encode() + b"}"
            connection.sendall(response(200, [("Content-Type", "application/json")], body))


def entry(identity, service, address, state="ready", slots=2, zone="zone-a", **more):
    return json.dumps({"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
                       "state": state, "warmupLeftMs": 0, "id": identity, **more}).encode()


class Server:
    """A sound server of one service. `seen` holds (time, request id) of each request that it ran.

    While it is leaving, its answers announce that their connection closes and its health check fails, as the pages say.
    """

    def __init__(self, record, identity, service, address, work_s=0.01, slots=2):
        self.record = record
        self.identity = identity
        self.service = service
        self.address = address
        self.work_s = work_s
        self.seen = []
        self.leaving = False
        self.slots = slots
        self.free = threading.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.listener = Listener(address, self.serve)

    def load(self):
        return ("X-Daisyroute-Server-Load", f"{self.running},{self.waiting},{self.slots}")

    def run(self, identity, target):
        self.waiting += 1
        with self.free:
            self.waiting -= 1
            self.running += 1
            self.seen.append((time.monotonic(), identity))
            self.record.note(f"server {self.identity} ({self.service}) runs {identity} {target}")
            time.sleep(self.work_s)
            self.running -= 1

    def answer(self, target, headers):
        """Returns the status, headers and body of the answer to one request."""
        identity = headers.get("x-daisyroute-request-id", "")
        if target == "/health":
            return 503 if self.leaving else 200, [("X-Daisyroute-Instance-Id", self.identity), self.load()], b""
        if not identity:
            return 400, [("X-Daisyroute-Not-Executed", "1")], b""
        echo = [("X-Daisyroute-Request-Id", identity)]
        if headers.get("x-daisyroute-target-instance", self.identity) != self.identity:
            return 421, [*echo, ("X-Daisyroute-Not-Executed", "1")], b""
        self.run(identity, target)
        stamp = ("X-Daisyroute-Server-Stamp", f"{self.identity}.{identity}")
        return 200, [*echo, stamp, self.load()], identity.encode()

    def serve(self, connection):
        reader = Reader(connection)
        while (request := reader.request()) is not None:
            status, headers, body = self.answer(request[1], request[2])
            closes = self.leaving
            connection.sendall(response(status, headers + [("Connection", "close")] * closes, body))
            if closes:
                return

    def end(self):
        self.listener.close()
