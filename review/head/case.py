"""A server crashes while a client asks with HEAD, on a connection that it keeps. The instance's
own reply to a HEAD request has a body, which comes where the next reply is due."""

import os
import random
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import loopback

DOWN_S = 3.0
STATUS_TEXT = b"licence 4711: valid until 2027-03-31\n"


class Desk:
    """A server of a plain service for GET and HEAD, which keeps connections open."""

    def __init__(self, deployment):
        self.id = "i-%08x" % random.getrandbits(32)
        self.address = "%s:8048" % loopback.random_ip()
        self.store, self.record = deployment.store, deployment.record
        self.ran = []
        self.closing = False
        self.start()
        threading.Thread(target=self._heartbeats, daemon=True).start()

    def start(self):
        host, port = self.address.split(":")
        self.born = int(time.time() * 1e3)
        self.connections = set()
        self.listener = socket.create_server((host, int(port)), backlog=64)
        self.up = True
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()
        self.record("%s starts" % self.id)

    def crash(self):
        if self.up:
            self.up = False
            self.record("%s crashes" % self.id)
            for connection in [self.listener] + list(self.connections):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                connection.close()

    def stop(self):
        self.closing = True
        self.crash()

    def _heartbeats(self):
        lease, written = None, None
        while not self.closing:
            try:
                if self.up:
                    if lease is None:
                        lease = loopback.post_json(
                            self.store.address, "/v1/kv-lease",
                            {"ttl_ms": int(3e3 * loopback.HEARTBEAT_S)})["lease"]
                        written = None
                    entry = {
                        "service": "desk", "address": self.address, "zone": "lahore",
                        "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0,
                        "born": self.born, "models": []}
                    if entry != written:
                        self.store.write("servers/" + self.id, entry, lease)
                        written = entry
                    loopback.post_json(self.store.address, "/v1/kv-keep/%d" % lease, {})
            except OSError:
                lease = None
            time.sleep(loopback.HEARTBEAT_S / 4)

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    piece = connection.recv(4096)
                    if not piece:
                        return
                    data += piece
                head, data = data.split(b"\r\n\r\n", 1)
                lines = head.decode().split("\r\n")
                fields = dict(line.split(": ", 1) for line in lines[1:])
                request_id = fields.get("Request-Id", "")
                fits = fields.get("Expect-Instance") in (None, self.id)
                if fits and lines[0].split()[1] != "/healthz":
                    self.ran.append(request_id)
                    self.record("%s runs %s %s" % (self.id, lines[0].split()[0], request_id))
                body = STATUS_TEXT if fits else b""
                text = ("HTTP/1.1 %s\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n%sContent-Length: %d"
                        "\r\n\r\n" % ("200 OK" if fits else "421 Misdirected Request", request_id,
                                      self.id, "Response-Seal: seal-%s\r\n" % request_id if fits
                                      else "", len(body))).encode()
                connection.sendall(text + (b"" if lines[0].startswith("HEAD ") else body))
        except OSError:
            pass
        finally:
            connection.close()


class Client:
    """A client with one connection, which it keeps as HTTP/1.1 allows."""

    def __init__(self, edge, record):
        self.edge, self.record = edge, record
        self.connection, self.data = None, b""

    def ask(self, method):
        """Sends a request; returns what is wrong with the reply, or None."""
        request_id = "%016x" % random.getrandbits(64)
        fresh = self.connection is None
        try:
            if fresh:
                host, port = self.edge.address.split(":")
                self.connection, self.data = socket.create_connection((host, int(port)), 1), b""
                self.connection.settimeout(3)
            self.connection.sendall((
                "%s /read/4711 HTTP/1.1\r\nHost: small.example\r\nRequest-Id: %s\r\nDeadline-Ms: "
                "2000\r\nAuthorization: Token key-a\r\n\r\n" % (method, request_id)).encode())
            head = self._until(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 "):
                self.record("client: %s %s on a %s connection gets %r" % (
                    method, request_id, "new" if fresh else "kept", head))
                self.drop()
                return "%s %s got bytes that are no reply: %r" % (method, request_id, head[:60])
            fields = dict(line.lower().split(": ", 1) for line in
                          head.decode().strip().split("\r\n")[1:])
            # RFC 9112, 6.3: the reply to HEAD ends with its head.
            body = b"" if method == "HEAD" else self._read(int(fields["content-length"]))
            self.record("client: %s %s on a %s connection is answered %s%s" % (
                method, request_id, "new" if fresh else "kept", head.split()[1].decode(),
                ", sealed" if "response-seal" in fields else ""))
            if fields.get("request-id", request_id) != request_id:
                return "%s %s got the reply to %s" % (method, request_id, fields["request-id"])
            if head.split()[1] == b"200" and method == "GET" and body != STATUS_TEXT:
                return "%s %s got another body" % (method, request_id)
            if fields.get("connection") == "close":
                self.drop()
        except OSError as error:
            self.record("client: %s %s: %s" % (method, request_id, error))
            self.drop()
        return None

    def _until(self, end):
        while end not in self.data:
            piece = self.connection.recv(4096)
            if not piece:
                raise OSError("closed")
            self.data += piece
        at = self.data.index(end) + len(end)
        taken, self.data = self.data[:at], self.data[at:]
        return taken

    def _read(self, size):
        while len(self.data) < size:
            piece = self.connection.recv(4096)
            if not piece:
                raise OSError("closed")
            self.data += piece
        taken, self.data = self.data[:size], self.data[size:]
        return taken

    def drop(self):
        if self.connection:
            self.connection.close()
        self.connection = None


def play(deployment, trouble):
    deployment.store.write("op/config", {
        "version": 3,
        "routes": [{"name": "read", "host": "small.example", "path_prefix": "/read/",
                    "kind": "idempotent", "timeout_ms": 4000, "target_latency_ms": 300,
                    "priority": 2, "service": "desk", "max_attempts": 2}],
        "services": [{"name": "desk", "health_path": "/healthz"}],
        "tenants": deployment.tenants()})
    desk = Desk(deployment)
    deployment.parts.append(desk)
    edge = deployment.add_edge("edge-lahore-1", "lahore")
    loopback.wait_until(edge.name + " is ready", edge.is_ready)
    time.sleep(1)
    client = Client(edge, deployment.record)
    wrong = []
    start = time.monotonic()
    crashed = False
    number = 0
    while time.monotonic() < start + 2 + DOWN_S + 3:
        if trouble and not crashed and time.monotonic() > start + 2:
            crashed = True
            desk.crash()
        if crashed and not desk.up and time.monotonic() > start + 2 + DOWN_S:
            desk.start()
        fault = client.ask("HEAD" if number % 2 == 0 else "GET")
        if fault:
            wrong.append(fault)
        number += 1
        time.sleep(0.1)
    client.drop()
    deployment.record("%d requests, %d of them wrongly answered" % (number, len(wrong)))
    return "MIXED: %d times; first: %s" % (len(wrong), wrong[0]) if wrong else None


TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0: the same without the disruption
sys.exit(loopback.run_case(os.path.join(HERE, "record.txt"), TROUBLE, play))
