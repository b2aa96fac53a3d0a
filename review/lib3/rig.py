"""A small deployment on loopback for the cases of review 3.

Runs figwell-edge as the deploy file does: `target/bin/figwell-edge
--settings-from FIGWELL_BOOT`, with settings filled in from the template. The
store and the servers are threads of this process; they speak what PROTOCOL.md
says and, where it is silent, behave like a sound platform.
"""

import base64
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "bin", "figwell-edge")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.yaml.in")

# The bounds on the sheet of zagara-vend-grown (LATER.md of demands).
BOUNDS = {
    "bounds.lease_ms": 3000,
    "bounds.thaw_ms": 300,
    "bounds.retry_budget_ratio": 0.2,
    "bounds.budget_window_s": 10,
    "bounds.budget_slack": 158,
    "bounds.drain_ms": 3000,
    "bounds.seed_lag_s": 3,
    "bounds.grace_s": 8,
    "platform.history_s": 20,
    "platform.ttl_min_ms": 1000,
}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up; it shows nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f s  %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class Ports:
    """Ports below the ephemeral ones; processes begin at different places."""

    FIRST, COUNT = 10_000, 20_000
    next = os.getpid() * 64 % COUNT


def free_port():
    while True:
        port = Ports.FIRST + Ports.next
        Ports.next = (Ports.next + 1) % Ports.COUNT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Closed(Exception):
    pass


SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27


class SocketFilter(ctypes.Structure):
    _fields_ = [("code", ctypes.c_uint16), ("jt", ctypes.c_uint8), ("jf", ctypes.c_uint8),
                ("k", ctypes.c_uint32)]


class SocketProgram(ctypes.Structure):
    _fields_ = [("length", ctypes.c_uint16), ("filter", ctypes.POINTER(SocketFilter))]


# One instruction: accept 0 bytes of each packet.
DROP_ALL = SocketFilter(0x06, 0, 0, 0)


def go_silent(own_socket):
    """Packets to this socket are dropped without an answer, as behind a cut."""
    program = SocketProgram(1, ctypes.pointer(DROP_ALL))
    own_socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))


def hear_again(own_socket):
    own_socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def read_message(stream):
    """Reads a head and a body with a length; returns (first line, fields, body)."""
    line = stream.readline()
    if not line:
        raise Closed
    fields = {}
    while True:
        field = stream.readline()
        if field in (b"\r\n", b""):
            break
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", 0))
    body = stream.read(length) if length else b""
    if len(body) < length:
        raise Closed
    return line.decode("latin-1").rstrip("\r\n"), fields, body


def message(first_line, fields, body=b""):
    lines = [first_line] + ["%s: %s" % item for item in fields]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """Accepts connections and serves each in a thread."""

    def __init__(self):
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        self.connections = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        self.connections.add(connection)
        try:
            self.serve(connection, connection.makefile("rb"))
        except (OSError, Closed, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def cut_off(self):
        """New connections and open ones get no packet through."""
        for own_socket in [self.socket, *self.connections]:
            go_silent(own_socket)

    def reconnect(self):
        for own_socket in [self.socket, *self.connections]:
            try:
                hear_again(own_socket)
            except OSError:
                pass  # it was not cut off, or has been closed


class Store(Listener):
    """The platform's metadata store; it keeps `history_s` of history."""

    HISTORY_S = 20.0

    def __init__(self):
        self.changed = threading.Condition()
        self.revision, self.items, self.events = 10, {}, []
        self.event_times, self.oldest = [], 0
        self.leases, self.last_lease = {}, 100
        super().__init__()
        threading.Thread(target=self._expire, daemon=True).start()

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                now = time.monotonic()
                for lease in [i for i, (_, end) in self.leases.items() if end <= now]:
                    self._end(lease)
                while self.event_times and self.event_times[0] < now - self.HISTORY_S:
                    self.event_times.pop(0)
                    self.oldest = self.events.pop(0)["revision"]

    def _record(self, event):
        self.events.append(event)
        self.event_times.append(time.monotonic())
        self.changed.notify_all()

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "removed": True})

    def _put(self, key, value, lease):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            "key": key, "value": value, "revision": self.revision,
            "created_rev": old["created_rev"] if old else self.revision, "lease": lease,
        }
        self._record(self.items[key])

    def write(self, key, document):
        """A write of the operator or of a server."""
        with self.changed:
            self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), 0)

    def remove(self, key):
        with self.changed:
            self._remove(key)

    def serve(self, connection, stream):
        while True:
            line, _, body = read_message(stream)
            method, target, _ = line.split(" ")
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query))
            status, answer = self._call(method, url.path, query, json.loads(body or b"{}"))
            connection.sendall(message(
                "HTTP/1.1 %d X" % status, [("Content-Type", "application/json")],
                json.dumps(answer).encode()))

    def _call(self, method, path, query, body):
        with self.changed:
            if path == "/v1/kv-watch":
                return self._watch(query)
            if path == "/v1/kv-key":
                item = self.items.get(query["key"])
                return (200, dict(item, as_of=self.revision)) if item else (404, {})
            if path == "/v1/kv-range":
                found = [item for key, item in sorted(self.items.items())
                         if key.startswith(query["path_prefix"]) and key > query.get("after", "")]
                return 200, {"items": found[:500], "more_pages": len(found) > 500,
                             "as_of": self.revision}
            if path == "/v1/kv-txn":
                return self._commit(body)
            if path == "/v1/kv-lease":
                self.last_lease += 1
                self.leases[self.last_lease] = (
                    body["ttl_ms"], time.monotonic() + body["ttl_ms"] / 1e3)
                return 200, {"lease": self.last_lease, "ttl_ms": body["ttl_ms"]}
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/v1/kv-keep/"):
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1e3)
                return 200, {"ttl_ms": ttl}
            self._end(lease)
            return 200, {}

    def _commit(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        if any(w.get("lease") and w["lease"] not in self.leases for w in body["writes"]):
            return 404, {}
        for write in body["writes"]:
            self._put(write["key"], write["value"], write.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        return 200, {"revision": self.revision}

    def _watch(self, query):
        end = time.monotonic() + int(query["wait_ms"]) / 1e3
        after, prefix = int(query["after"]), query["path_prefix"]
        while True:
            if after < self.oldest:
                return 410, {}
            found = [e for e in self.events
                     if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.revision}
            self.changed.wait(left)


class AppServer(Listener):
    """A sound server without an engine; `work_s` is how long a request takes."""

    def __init__(self, store, record, name, service, zone, work_s=0.02):
        self.store, self.record, self.name = store, record, name
        self.service, self.zone, self.work_s = service, zone, work_s
        self.born = int(time.time() * 1e3)
        self.runs = []
        super().__init__()

    def register(self, state="ready"):
        self.store.write("servers/" + self.name, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": 16, "state": state, "cold_remaining_ms": 0,
            "sequence": 1, "born": self.born, "models": [],
        })

    def serve(self, connection, stream):
        while True:
            line, fields, body = read_message(stream)
            request = fields.get("request-id", "")
            echo = [("Request-Id", request)] if request else []
            if fields.get("expect-instance", self.name) != self.name:
                connection.sendall(message(
                    "HTTP/1.1 421 X", echo + [("Not-Executed", "1")]))
                continue
            if line.split(" ")[1] == "/healthz":
                connection.sendall(message("HTTP/1.1 200 OK", [("Instance-Id", self.name)]))
                continue
            self.runs.append((time.monotonic(), request, line, fields))
            self.record("server %s runs %s" % (self.name, request))
            time.sleep(self.work_s)
            connection.sendall(message(
                "HTTP/1.1 200 OK", echo + [("Response-Seal", "seal-" + request)],
                b"answer to " + request.encode()))


class Edge:
    """One figwell-edge process."""

    def __init__(self, rig, name, zone):
        self.name = name
        ports = {n: free_port() for n in ("edge", "ready", "peers")}
        self.callers = ("127.0.0.1", ports["edge"])
        self.ready = ("127.0.0.1", ports["ready"])
        # Metrics listen on a fixed port of the machine's own address.
        self.ip = rig.next_ip()
        values = dict(BOUNDS, **{
            "node_name": name, "zone": zone, "ip": self.ip,
            "listen.edge_address": "127.0.0.1:%d" % ports["edge"],
            "listen.ready": "127.0.0.1:%d" % ports["ready"],
            "platform.address": rig.store.address,
        })
        text = open(TEMPLATE).read().replace("{{ip}}:{{port_range.0}}",
                                             "127.0.0.1:%d" % ports["peers"])
        text = re.sub(r"{{([a-z_.0-9]+)}}", lambda m: str(values[m.group(1)]), text)
        self.settings = os.path.join(rig.folder, name + ".yaml")
        with open(self.settings, "w") as file:
            file.write(text)
        self.child = None

    def start(self, output):
        self.child = subprocess.Popen(
            [BINARY, "--settings-from", "FIGWELL_BOOT"], cwd=ROOT, stdout=output,
            stderr=subprocess.STDOUT, start_new_session=True,
            env=dict(os.environ, FIGWELL_BOOT=self.settings))

    def is_ready(self):
        try:
            status, _, _ = call(self.ready, "GET", "/v1/ready", [("Host", "probe")], timeout=1.0)
            return status == 200
        except (OSError, Closed):
            return False


def call(address, method, target, fields, body=b"", timeout=5.0):
    """One call on a connection of its own; returns (status, fields, body)."""
    with socket.create_connection(address, timeout=timeout) as connection:
        connection.sendall(message("%s %s HTTP/1.1" % (method, target), fields, body))
        line, answer, data = read_message(connection.makefile("rb"))
        return int(line.split(" ")[1]), answer, data


class Rig:
    """The store, a temporary folder and all processes that a case starts."""

    def __init__(self, case_folder):
        if not os.access(BINARY, os.X_OK):
            raise CannotRun("target/bin/figwell-edge is missing: build it first")
        self.folder = tempfile.mkdtemp(prefix="figwell-review-")
        self.record = Record(case_folder)
        self.store = Store()
        self.edges, self.children, self.ips = [], [], 0
        self.version = 0

    def next_ip(self):
        self.ips += 1
        return "127.%d.%d.%d" % (1 + os.getpid() // 62500 % 200, os.getpid() // 250 % 250,
                                 1 + (os.getpid() + 7 * self.ips) % 250)

    def configure(self, routes, services, tenants):
        self.version += 3
        self.store.write("op/config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants})

    def add_edge(self, name, zone):
        edge = Edge(self, name, zone)
        self.edges.append(edge)
        return edge

    def spawn(self, command, **options):
        child = subprocess.Popen(command, start_new_session=True, **options)
        self.children.append(child)
        return child

    def await_ready(self, timeout_s=20.0):
        end = time.monotonic() + timeout_s
        while not all(edge.is_ready() for edge in self.edges):
            if time.monotonic() > end:
                raise CannotRun("a process did not get ready")
            time.sleep(0.05)

    def close(self):
        for child in self.children + [edge.child for edge in self.edges]:
            if child is not None and child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, timeout_ms, **extra):
    return dict({
        "name": name, "host": "desk.example", "path_prefix": "/%s/" % name, "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 2,
        "service": service, "max_attempts": 2, "public": False,
    }, **extra)


def main(case_folder, run):
    """Runs a case: `run(rig)` returns whether the rule was broken."""
    rig = None
    # All processes are ended also if the case is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        rig = Rig(case_folder)
        broken = run(rig)
        rig.record("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0
    except CannotRun as error:
        print("the case could not run: %s" % error)
        return 2
    finally:
        if rig is not None:
            rig.close()
