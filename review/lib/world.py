"""A small deployment on loopback for the review's scripts: the platform's store,
backend servers and figwell-edge processes started as the deploy file says.

The store and the servers run as threads of the script. The store extends the
project's own stand-in (platform/soak/standins.py) by what the pages add: its era,
and watches from a revision that it does not have.
"""

import base64
import copy
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
import traceback
import urllib.parse
from http.server import ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "platform", "soak"))
import standins  # noqa: E402

HEARTBEAT_S = 1.2
ENTRY_TTL_S = 3 * HEARTBEAT_S
SNAPSHOT_INTERVAL_S = 0.25
# The bounds of a small deployment, as the pages' example of settings has them.
BOUNDS = {
    "lease_ms": 3000, "thaw_ms": 300, "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "budget_slack": 56, "drain_ms": 2000, "seed_lag_s": 3, "grace_s": 8,
    "contact_ms": 3000, "config_ms": 2000,
}
ZONES = ("lahore", "faisalabad", "multan")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


# Exit status of a script whose rule was broken; run.sh turns it into 1, so that an
# error of the script itself does not count.
BROKEN = 3


class CannotRun(Exception):
    pass


class Record:
    """The events of a run, written to record.txt."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def serve(handler, address):
    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 256

        def handle_error(self, request, client_address):
            pass  # the peer closed the connection

    server = Server(address, handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


# ---------------------------------------------------------------------- store


class Store(standins.Store):
    """The platform's store. `drill` brings it back from an older copy."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.away = False
        self.copies = []  # (time, revision, items, events, oldest)
        threading.Thread(target=self._keep_copies, daemon=True).start()

    def _keep_copies(self):
        while True:
            with self.changed:
                self.copies.append(
                    (time.monotonic(), self.revision, copy.deepcopy(self.items),
                     list(self.events), self.oldest, set(self.leases))
                )
                del self.copies[:-200]
            time.sleep(SNAPSHOT_INTERVAL_S)

    def watch(self, prefix, after, wait_s):
        with self.changed:
            if after > self.revision:
                return 410, {}
        return super().watch(prefix, after, wait_s)

    def drill(self, copy_age_s, away_s):
        """Away for a moment, then back from a copy. What the operator and the
        servers wrote since is written again; the rest, and the leases that were
        granted since, are gone."""
        with self.changed:
            self.away = True
            self.watches_dropped += 1
            self.changed.notify_all()
        time.sleep(away_s)
        with self.changed:
            now = time.monotonic()
            chosen = [c for c in self.copies if c[0] <= now - away_s - copy_age_s]
            if not chosen:
                raise CannotRun("no copy that old")
            _, revision, items, events, oldest, leases = chosen[-1]
            before = self.items
            lost = self.revision - revision
            self.revision, self.items = revision, copy.deepcopy(items)
            self.events, self.oldest = list(events), oldest
            # Leases of servers are theirs again with what they write again.
            kept = {i["lease"] for k, i in before.items() if k.startswith("servers/")}
            self.leases = {
                i: [l[0], now + l[0] / 1e3]
                for i, l in self.leases.items() if i in leases or i in kept
            }
            for key in [k for k, i in self.items.items()
                        if i["lease"] and i["lease"] not in self.leases]:
                self._remove(key)
            for key in sorted(set(before) | set(self.items)):
                if not key.startswith(("op/", "servers/")):
                    continue
                old, new = self.items.get(key), before.get(key)
                if new is None:
                    self._remove(key)
                elif old is None or old["value"] != new["value"]:
                    self.commit([], [{"key": key, "value": new["value"],
                                      "lease": new["lease"]}], [])
            self.era += 1
            self.copies = []
            self.away = False
            self.changed.notify_all()
            return lost, self.revision


class StoreHandler(standins.StoreHandler):
    def end_headers(self):
        self.send_header("Store-Era", str(self.store.era))
        super().end_headers()

    def call(self, method, url):
        if self.store.away and not self.headers.get("Operator"):
            return self.abort_connection()
        return super().call(method, url)


# -------------------------------------------------------------------- servers


class BackendServer:
    """A backend server that behaves as the pages say. It reports itself to the
    store at each heartbeat and leaves after it has reported `draining`."""

    def __init__(self, world, name, service, zone, slots=16):
        self.world, self.name, self.service, self.zone = world, name, service, zone
        self.slots = slots
        self.draining = False
        self.drain_acked_at = None
        self.ended = False
        self.sequence = 0
        self.started_ms = int(time.time() * 1e3)
        self.lease = None
        self.lock = threading.Lock()
        self.running = 0
        self.runs = []  # (time, request id, path, tenant)
        self.address = "127.0.0.1:%d" % free_port("127.0.0.1")
        outer = self

        class Handler(standins.Handler):
            def call(self, method, url):
                outer.on_request(self, method, url)

        host, port = self.address.rsplit(":", 1)
        self.server = serve(Handler, (host, int(port)))
        threading.Thread(target=self._heartbeat, daemon=True).start()

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.started_ms,
            "models": [],
        }

    def write_entry(self):
        """One heartbeat; returns whether the store accepted it."""
        store = self.world.store
        with store.changed:
            if store.away:
                return False
            if self.lease not in store.leases:
                store.last_lease += 1
                self.lease = store.last_lease
            store.leases[self.lease] = [ENTRY_TTL_S * 1e3, time.monotonic() + ENTRY_TTL_S]
            value = base64.b64encode(json.dumps(self.entry()).encode()).decode()
            store.commit([], [{"key": "servers/" + self.name, "value": value,
                               "lease": self.lease}], [])
            return True

    def _heartbeat(self):
        time.sleep(random.uniform(0, 0.2))
        while not self.ended:
            with self.lock:
                if not self.ended:
                    self.write_entry()
            time.sleep(HEARTBEAT_S)

    def drain(self):
        """Reports `draining`; returns when the store accepted it, and the revision."""
        with self.lock:
            self.draining = True
            while not self.write_entry():
                time.sleep(0.05)
            self.drain_acked_at = time.monotonic()
            return self.drain_acked_at, self.world.store.revision

    def fields(self, handler):
        fields = [("Request-Id", handler.headers.get("Request-Id", "")),
                  ("Server-Load", "%d,0,%d" % (self.running, self.slots))]
        if self.draining:
            fields.append(("Server-Leaving", "1"))
        return fields

    def on_request(self, handler, method, url):
        try:
            body = handler.body()
        except OSError:
            return handler.abort_connection()
        expected = handler.headers.get("Expect-Instance")
        if expected and expected != self.name:
            return handler.answer(421, {}, self.fields(handler))
        if url.path == standins.HEALTH_PATH:
            return handler.answer(503 if self.draining else 200, {},
                                  [("Instance-Id", self.name)])
        request_id = handler.headers.get("Request-Id", "")
        self.runs.append((time.monotonic(), request_id, url.path,
                          handler.headers.get("Tenant")))
        self.world.record("server %s runs %s %s tenant %s%s" % (
            self.name, request_id, url.path, handler.headers.get("Tenant"),
            " (it is draining)" if self.draining else ""))
        with self.lock:
            self.running += 1
        try:
            self.answer(handler, url, request_id, body)
        finally:
            with self.lock:
                self.running -= 1

    def answer(self, handler, url, request_id, body):
        data = ("%s %s %d" % (request_id, url.path, len(body))).encode()
        handler.send_response(200)
        for name, value in self.fields(handler) + [("Response-Seal", self.name)]:
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)


# ---------------------------------------------------------------------- relay


class Relay:
    """A TCP relay in front of the store, one for each edge."""

    def __init__(self, target):
        self.target = target
        self.silenced_before = 0.0  # connections opened before this carry nothing
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.held = []
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_connections(self):
        """Open connections go silent for good, without a reset; new ones work."""
        self.silenced_before = time.monotonic()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            opened = time.monotonic()
            try:
                host, port = self.target.rsplit(":", 1)
                far = socket.create_connection((host, int(port)), timeout=2)
                far.settimeout(None)
            except OSError:
                near.close()
                continue
            for s in (near, far):
                s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self._forward, args=(source, sink, opened),
                                 daemon=True).start()

    def _forward(self, source, sink, opened):
        try:
            while data := source.recv(65536):
                if opened < self.silenced_before:
                    continue
                sink.sendall(data)
        except OSError:
            pass
        if opened < self.silenced_before:
            self.held.append((source, sink))  # nothing passes, not even a close
            return
        for s in (source, sink):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            s.close()


# ---------------------------------------------------------------------- edges


def render(template, values):
    def value_of(match):
        value = values
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return str(value)

    return re.sub(r"{{([\w.]+)}}", value_of, template)


class Edge:
    def __init__(self, world, number, zone):
        self.name = "edge-%s-%d" % (zone, number)
        self.world = world
        self.relay = Relay(world.store_address)
        ip = self.ip = "127.%d.%d.%d" % (world.net[0], world.net[1], number + 1)
        ports = [free_port(ip) for _ in range(3)]
        self.address, self.ready = ["%s:%d" % (ip, p) for p in ports[:2]]
        values = {
            "node_name": self.name, "zone": zone, "ip": ip,
            "listen": {"edge_address": self.address, "ready": self.ready},
            "port_range": [ports[2], ports[2]],
            "platform": {"address": self.relay.address, "history_s": 20, "ttl_min_ms": 1000},
            "bounds": BOUNDS,
        }
        with open(os.path.join(ROOT, world.role["template"])) as file:
            text = render(file.read(), values)
        self.settings = os.path.join(world.folder, self.name + ".yaml")
        with open(self.settings, "w") as file:
            file.write(text)
        self.log = os.path.join(world.folder, self.name + ".log")
        self.start()

    def start(self):
        if self.world.stopped:
            return
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["FIGWELL_BOOT"] = self.settings
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                self.world.role["run"].split(), cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def running(self):
        return self.child.poll() is None

    def is_ready(self):
        try:
            host, port = self.ready.rsplit(":", 1)
            connection = http.client.HTTPConnection(host, int(port), timeout=1)
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def call(self, method, path, fields, body=b"", timeout=8):
        """Returns (status, headers, body), or None if there was no complete answer."""
        host, port = self.address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        try:
            connection.request(method, path, body, dict({"Host": "h.example"}, **fields))
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def log_lines(self, name):
        with open(self.log, errors="replace") as log:
            return [json.loads(line) for line in log if '"name":"%s"' % name in line]


# ---------------------------------------------------------------------- world


class World:
    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="figwell-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["edge"]
        binary = os.path.join(ROOT, self.role["run"].split()[0])
        if not os.access(binary, os.X_OK):
            raise CannotRun("not built: " + self.role["run"].split()[0])
        self.net = (random.randrange(10, 250), random.randrange(1, 250))
        self.servers, self.edges = [], []
        self.stopped = False
        self.version = 0
        self.store = Store()
        handler = type("Handler", (StoreHandler,), {"store": self.store})
        port = free_port("127.0.0.1")
        self.store_address = "127.0.0.1:%d" % port
        serve(handler, ("127.0.0.1", port))

    def write_configuration(self, document):
        """The operator writes the next version; returns when it was acknowledged."""
        self.version += random.randint(1, 3)
        document = dict(document, version=self.version)
        value = base64.b64encode(json.dumps(document).encode()).decode()
        with self.store.changed:
            status, _ = self.store.commit(
                [], [{"key": "op/config", "value": value, "lease": 0}], [])
        assert status == 200
        acked = time.monotonic()
        self.record("operator: version %d acknowledged" % self.version)
        return acked

    def add_servers(self, kind, service, count, **options):
        for number in range(count):
            self.servers.append(kind(self, "i-%s-%d" % (service, number), service,
                                     ZONES[number % len(ZONES)], **options))

    def add_edges(self, count):
        for _ in range(count):
            number = len(self.edges)
            self.edges.append(Edge(self, number, ZONES[number % len(ZONES)]))

    def await_serving(self, path, fields, timeout_s=30):
        """Waits until each edge is ready and has served some requests."""
        deadline = time.monotonic() + timeout_s
        for edge in self.edges:
            served = 0
            while served < 3:
                if time.monotonic() > deadline or not edge.running():
                    raise CannotRun(edge.name + " does not serve")
                answer = edge.is_ready() and edge.call(
                    "POST", path, dict(fields, **{"Request-Id": "warm-%s-%d" % (edge.name, served)}))
                served += 1 if answer and answer[0] == 200 else 0
                time.sleep(0.05)

    def stop(self):
        self.stopped = True
        for server in self.servers:
            server.ended = True
        for edge in self.edges:
            if edge.running():
                edge.child.send_signal(signal.SIGCONT)
                edge.child.kill()
            edge.child.wait()
        if os.environ.get("KEEP"):
            self.record("logs kept")
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, **extra):
    return dict({
        "name": name, "host": "h.example", "path_prefix": "/%s/" % name, "kind": kind,
        "timeout_ms": 4000, "target_latency_ms": 300, "priority": 1,
        "service": service, "max_attempts": 2,
    }, **extra)


def tenant(name, keys, **extra):
    return dict({"name": name, "api_keys": keys, "plain_tokens": 200,
                 "rate_per_s": 100000, "burst": 100000}, **extra)


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 10000, "idle_timeout_ms": 60000}


def main(folder, scenario):
    """Runs `scenario(world)`, which returns the list of violations."""
    random.seed()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends what was started
    world = None
    try:
        world = World(folder)
        world.record("trouble: %s" % ("on" if TROUBLE else "off"))
        broken = scenario(world)
        for text in broken:
            world.record("BROKEN: " + text)
        world.record("result: %s" % ("the rule was broken" if broken else "the rule held"))
        print("broken: %d" % len(broken) if broken else "held")
        return BROKEN if broken else 0
    except CannotRun as error:
        print("cannot run: %s" % error)
        if world:
            world.record("cannot run: %s" % error)
        return 2
    except Exception:  # the script failed, not the system
        traceback.print_exc()
        return 2
    finally:
        if world:
            world.stop()
