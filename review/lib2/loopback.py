"""A small deployment on loopback: figwell-edge processes, started with the commands of
deploy/system.toml, and stand-ins of the users' platform, its servers and its clients.

The store is the project's own stand-in (platform/soak/standins.py). The engines and the
clients are here: an engine does what PROTOCOL.md says of orders, reports and restarts.
"""

import base64
import http.client
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The bounds of the deployment rahnuma-licensing, as SYSTEM.md states them.
BOUNDS = {
    "seed_lag_s": 3, "drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "budget_slack": 56, "lease_ms": 3000, "thaw_ms": 300,
}
PLATFORM = {"history_s": 20, "ttl_min_ms": 1000}
HEARTBEAT_S = 1.2
REPORT_AGE_S = 0.2
ADAPTER_LOAD_S = 0.02
EVENTS = 6
MAX_S = 116  # a script may run for 120 s
KEYS = {"team-a": "key-a", "team-b": "key-b"}


class CannotRun(Exception):
    pass


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", buffering=1)

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))


def random_ip():
    """A loopback address of its own for each machine, so that fixed ports are free."""
    return "127.%d.%d.%d" % (random.randint(64, 250), random.randint(1, 250), random.randint(2, 250))


def is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


def wait_until(what, condition, timeout=20.0):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun("timed out: " + what)


def get_json(address, path, timeout=2):
    with urllib.request.urlopen("http://%s%s" % (address, path), timeout=timeout) as answer:
        return json.load(answer)


def post_json(address, path, body, headers=None):
    request = urllib.request.Request(
        "http://%s%s" % (address, path), json.dumps(body).encode(),
        dict({"Content-Type": "application/json"}, **(headers or {})))
    with urllib.request.urlopen(request, timeout=3) as answer:
        return json.load(answer)


def render(template, values):
    """Fills in the placeholders that deploy/settings.yaml.in uses: {{a}}, {{a.b}}, {{a.0}}."""
    def value_of(match):
        value = values
        for name in match.group(1).split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return str(value)
    return re.sub(r"\{\{([a-z0-9_.]+)\}\}", value_of, template)


class Store:
    def __init__(self, folder):
        self.address = "%s:8225" % random_ip()
        log = open(os.path.join(folder, "store.log"), "ab")
        self.child = subprocess.Popen(
            [sys.executable, os.path.join(ROOT, "platform/soak/standins.py"), "store",
             "--listen", self.address, "--era", "1"], stdout=log, stderr=log)
        try:
            wait_until("the store listens", self.is_up)
        except CannotRun:
            self.stop()
            raise

    def is_up(self):
        try:
            get_json(self.address, "/v1/kv-range?path_prefix=op/")
            return True
        except OSError:
            return False

    def write(self, key, value, lease=0):
        body = {"expected": [], "remove": [], "writes": [
            {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
             "lease": lease}]}
        return post_json(self.address, "/v1/kv-txn", body, {"Operator": "1"})

    def value(self, key):
        try:
            item = get_json(self.address, "/v1/kv-key?key=" + key)
        except OSError:
            return None
        return base64.b64decode(item["value"]).decode() if "value" in item else None

    def leader(self):
        """The name of the instance that holds the leader key and has led; else None."""
        words = (self.value("figwell/placement/holder") or "").split()
        return words[0] if len(words) == 4 and words[3] == "led" else None

    def stop(self):
        self.child.kill()
        self.child.wait()


class Edge:
    """One machine with the one role of deploy/system.toml."""

    def __init__(self, name, zone, store, folder, record, max_fds=None):
        """`max_fds` is the machine's limit of descriptors, as DEPLOY.md states it."""
        self.name, self.record, self.folder, self.max_fds = name, record, folder, max_fds
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if max_fds and hard != resource.RLIM_INFINITY:
            self.max_fds = min(max_fds, hard)
        self.ip = random_ip()
        while not is_free(self.ip, 9464):
            self.ip = random_ip()
        self.address, self.ready = self.ip + ":8221", self.ip + ":8224"
        with open(os.path.join(ROOT, "deploy/settings.yaml.in")) as file:
            template = file.read()
        self.settings = os.path.join(folder, name + ".settings")
        with open(self.settings, "w") as file:
            file.write(render(template, {
                "node_name": name, "zone": zone, "ip": self.ip, "port_range": [7600, 7615],
                "listen": {"edge_address": self.address, "ready": self.ready},
                "platform": dict(PLATFORM, address=store.address), "bounds": BOUNDS}))
        self.log = os.path.join(folder, name + ".log")
        self.child = None
        self.start()

    def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml")) as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1).split()
        if not os.path.exists(os.path.join(ROOT, run[0])):
            raise CannotRun("the build line of deploy/system.toml was not run")
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                run, cwd=ROOT, stdout=log, stderr=log, preexec_fn=self._limit_descriptors,
                env={"PATH": os.environ.get("PATH", ""), "FIGWELL_BOOT": self.settings})
        self.record("%s started, process %d" % (self.name, self.child.pid))

    def _limit_descriptors(self):
        if self.max_fds:
            _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, hard))

    def descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.child.pid))

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ready, timeout=1)
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def send(self, number):
        self.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.child.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()

    def events(self, name):
        with open(self.log, errors="replace") as log:
            return [json.loads(line) for line in log if '"name":"%s"' % name in line]

    def stop(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class Engine:
    """A model server. It can be told to leave one order unanswered and carry it out late."""

    def __init__(self, name, zone, store, record, models, weights_mb, adapter_slots, held,
                 version="v1", events=EVENTS, event_gap_s=0.01):
        self.name, self.zone, self.store, self.record = name, zone, store, record
        self.version, self.events, self.event_gap_s = version, events, event_gap_s
        self.specs, self.weights_mb, self.adapter_slots = models, weights_mb, adapter_slots
        self.address = "%s:8048" % random_ip()
        self.lock = threading.RLock()
        self.runs = []
        self.crashes_by_order = []
        # (order, the server's sequence) -> seconds until it is carried out, or None
        self.late = lambda order, sequence: None
        self.late_orders = []
        self.connections = set()
        self.listener = None
        self.up = False
        self.closing = False
        self.start(held)
        threading.Thread(target=self._heartbeats, daemon=True).start()

    def start(self, held):
        with self.lock:
            self.born = int(time.time() * 1e3)
            self.held = {model: set() for model in held}
            self.loading = None
            self.pending = {}
            self.sequence = 0
            self.snapshots = []
            self.up = True
            self._changed()
        engine = self

        class Handler(EngineHandler):
            pass

        Handler.engine = engine
        host, port = self.address.rsplit(":", 1)
        self.listener = EngineListener((host, int(port)), Handler)
        threading.Thread(target=self.listener.serve_forever, args=(0.05,), daemon=True).start()
        self.record("%s starts, holds %s" % (self.name, sorted(self.held)))

    def crash(self, why):
        with self.lock:
            if not self.up:
                return
            self.up = False
            connections, self.connections = self.connections, set()
        self.record("%s crashes: %s" % (self.name, why))
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        listener = self.listener
        listener.shutdown()
        listener.server_close()

    def stop(self):
        self.closing = True
        self.crash("end of the case")

    def _changed(self):
        self.snapshots.append((time.monotonic(), self._state()))

    def _state(self):
        return {
            "stage": "colocated",
            "models": [{"name": m, "version": 1, "adapters": sorted(a)}
                       for m, a in sorted(self.held.items())],
            "busy": self.loading is not None, "sequence": self.sequence, "queued": 0,
            "running": 0, "kv_used": 0, "kv_total": 100000, "handle_count": 0,
            "at_hand": {"in_memory": [], "on_disk": []},
            "pending": ["%s/%s@1" % (m, a) for m, names in self.pending.items() for a in names],
        }

    def report(self):
        """The state of some hundred milliseconds ago."""
        with self.lock:
            before = time.monotonic() - REPORT_AGE_S
            old = [state for at, state in self.snapshots if at <= before]
            return old[-1] if old else self.snapshots[0][1]

    def _heartbeats(self):
        lease, written, born = None, None, None
        while not self.closing:
            try:
                if self.up:
                    with self.lock:
                        state = self._state()
                        entry = {
                            "service": "models", "address": self.address, "zone": self.zone,
                            "version": self.version, "slots": 16, "state": "ready",
                            "cold_remaining_ms": 0, "born": self.born,
                            "models": state["models"], "stage": "colocated"}
                    if lease is None:
                        lease = post_json(self.store.address, "/v1/kv-lease",
                                          {"ttl_ms": int(3e3 * HEARTBEAT_S)})["lease"]
                        written = None
                    if entry != written:
                        self.store.write("servers/" + self.name, entry, lease)
                        written = entry
                    post_json(self.store.address, "/v1/kv-keep/%d" % lease, {})
                    if born != self.born:
                        born = self.born
                        self.record("%s registered, born %d" % (self.name, born))
            except urllib.error.HTTPError as error:
                if error.code == 404:
                    lease = None  # it has ended
            except OSError:
                pass  # the store is away; again at the next heartbeat
            time.sleep(HEARTBEAT_S / 4)

    def registered(self):
        entry = json.loads(self.store.value("servers/" + self.name) or "{}")
        return self.up and entry.get("born") == self.born

    # ------------------------------------------------------------- orders

    def order(self, body):
        """Returns the status, or None if the order gets no answer."""
        with self.lock:
            delay = self.late(body, self.sequence)
            if delay is not None:
                self.record("%s leaves an order unanswered: %s; carries it out in %.1f s"
                            % (self.name, self._text(body), delay))
                timer = threading.Timer(delay, self._carry_out_late, (body,))
                timer.daemon = True
                timer.start()
                self.late_orders.append((time.monotonic(), body))
                return None
            status = self._apply(body)
            self.record("%s answers %d to the order: %s" % (self.name, status, self._text(body)))
            return status

    def _text(self, body):
        return "%s %s/%s expected %s holder %s fence %s; sequence is %d" % (
            body.get("operation"), body.get("model"), body.get("adapter", ""),
            body.get("expected"), body.get("holder"), body.get("fence"), self.sequence)

    def _carry_out_late(self, body):
        with self.lock:
            if not self.up or self.closing:
                self.record("%s is down when the late order comes" % self.name)
                return
            text = self._text(body)
            status = self._apply(body)
            self.record("%s carries out the late order: %s -> %d" % (self.name, text, status))

    def _apply(self, body):
        model, adapter = body.get("model"), body.get("adapter")
        if not body.get("holder") or not body.get("fence") or model not in self.specs:
            return 400
        if body.get("expected", self.sequence) != self.sequence or self.loading is not None:
            return 409
        if adapter:
            return self._apply_adapter(body["operation"], model, adapter)
        if body["operation"] == "load":
            if model in self.held:
                return 200
            self.sequence += 1
            used = sum(self.specs[m]["weights_mb"] for m in self.held)
            used += self.specs[model]["weights_mb"]
            if used > self.weights_mb:
                self._overfilled("ordered to load %s: %d MB of weights in %d MB, beside %s"
                                 % (model, used, self.weights_mb, sorted(self.held)))
                return 202
            self._busy(model, self.specs[model]["load_s"], lambda: self.held.update({model: set()}))
            return 202
        if model not in self.held:
            return 200
        self.sequence += 1
        self._busy(model, 0.03, lambda: self.held.pop(model, None))
        return 202

    def _apply_adapter(self, operation, model, adapter):
        if model not in self.held:
            return 400
        if operation == "unload":
            if adapter not in self.held[model]:
                return 200
            self.sequence += 1
            self.held[model].discard(adapter)
            self._changed()
            return 200
        if adapter in self.held[model] or adapter in self.pending.get(model, set()):
            return 200
        self.sequence += 1
        used = sum(len(names) for names in self.held.values())
        used += sum(len(names) for names in self.pending.values()) + 1
        if used > self.adapter_slots:
            self._overfilled("ordered to load %s/%s: %d adapters in %d places, beside %s"
                             % (model, adapter, used, self.adapter_slots,
                                {m: sorted(a) for m, a in self.held.items()}))
            return 202
        self.pending.setdefault(model, set()).add(adapter)
        self._changed()

        def loaded(born):
            with self.lock:
                if born == self.born and model in self.held:
                    self.pending.get(model, set()).discard(adapter)
                    self.held[model].add(adapter)
                    self._changed()
        self._after(ADAPTER_LOAD_S, loaded, self.born)
        return 202

    def _busy(self, model, seconds, end):
        self.loading = model
        self._changed()

        def ended(born):
            with self.lock:
                if born == self.born and self.up:
                    end()
                    self.loading = None
                    self._changed()
        self._after(seconds, ended, self.born)

    def _after(self, seconds, call, born):
        timer = threading.Timer(seconds, call, (born,))
        timer.daemon = True
        timer.start()

    def _overfilled(self, text):
        self.crashes_by_order.append(text)
        self.record("LIMIT: %s is %s" % (self.name, text))
        threading.Thread(target=self.crash, args=("overfilled by an order",), daemon=True).start()


class EngineListener(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class EngineHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    engine = None

    def log_message(self, *args):
        pass

    def setup(self):
        super().setup()
        self.engine.connections.add(self.connection)

    def finish(self):
        self.engine.connections.discard(self.connection)
        super().finish()

    def answer(self, status, body=None, fields=()):
        data = json.dumps(body if body is not None else {}).encode()
        self.send_response(status)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self):
        self.handle_call()

    def do_POST(self):
        self.handle_call()

    def handle_call(self):
        engine = self.engine
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        request_id = self.headers.get("Request-Id")
        fields = [("Instance-Id", engine.name)]
        if request_id:
            fields.append(("Request-Id", request_id))
        if self.headers.get("Expect-Instance") not in (None, engine.name):
            return self.answer(421, {}, fields)
        if self.path == "/v1/report":
            return self.answer(200, engine.report())
        if self.path == "/v1/order":
            status = engine.order(json.loads(body))
            if status is None:
                time.sleep(2)
                self.close_connection = True
                return None
            return self.answer(status)
        return self.run(request_id, fields)

    def run(self, request_id, fields):
        engine = self.engine
        model, _, adapter = self.headers.get("Model", "").partition("/")
        with engine.lock:
            held = model in engine.held and (not adapter or adapter in engine.held[model])
            if held:
                engine.runs.append(request_id)
        if not held:
            return self.answer(421, {}, fields)
        engine.record("%s runs %s for %s" % (engine.name, request_id, self.headers.get("Model")))
        self.send_response(200)
        for name, value in fields + [("Response-Seal", "seal-" + str(request_id)),
                                     ("Content-Type", "text/event-stream"),
                                     ("Transfer-Encoding", "chunked")]:
            self.send_header(name, value)
        self.end_headers()
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        try:
            for number in range(first, engine.events + 1):
                event = b"id: %d\ndata: %s\n\n" % (number, engine.version.encode())
                self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                time.sleep(engine.event_gap_s)
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.close_connection = True


class Deployment:
    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="figwell-review-")
        self.parts, self.edges, self.engines, self.callers = [], [], [], []
        self.sent = 0
        self.store = Store(self.folder)
        self.parts.append(self.store)

    def configure(self, models, weights_mb, adapter_slots, loads_per_s, **route_fields):
        self.models = models
        self.engine_spec = dict(weights_mb=weights_mb, adapter_slots=adapter_slots)
        route = {"name": "chat", "host": "small.example", "path_prefix": "/chat/",
                 "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 800,
                 "gap_aim_ms": 400, "priority": 0, "service": "models", "max_attempts": 2}
        route.update(route_fields)
        runtime = {"slots": 16, "kv_capacity": 100000, "weights_mb": weights_mb,
                   "adapter_slots": adapter_slots, "loads_per_s": loads_per_s,
                   "models": [dict({"name": n}, **spec) for n, spec in models.items()]}
        self.store.write("op/config", {
            "version": 3, "routes": [route],
            "services": [{"name": "models", "runtime": runtime}],
            "tenants": self.tenants()})

    def tenants(self):
        return [{"name": team, "api_keys": [key], "rate_per_s": 1000000,
                         "burst": 1000000, "plain_tokens": 10} for team, key in KEYS.items()]

    def add_engine(self, name, zone, held, **options):
        engine = Engine(name, zone, self.store, self.record, self.models, held=held,
                        **self.engine_spec, **options)
        self.engines.append(engine)
        self.parts.append(engine)
        return engine

    def add_edge(self, name, zone, **limits):
        edge = Edge(name, zone, self.store, self.folder, self.record, **limits)
        self.edges.append(edge)
        self.parts.append(edge)
        return edge

    def edge(self, name):
        return next(edge for edge in self.edges if edge.name == name)

    def call(self, edge, target):
        """One request of a client; returns the status, or None without an answer."""
        self.sent += 1
        request_id = "%016x" % random.getrandbits(64)
        host, port = edge.address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=6)
        status = None
        try:
            connection.request("POST", "/chat/2f", b"prompt", {
                "Host": "small.example", "Request-Id": request_id, "Model": target,
                "Token-Usage": "400,8", "Deadline-Ms": "5000",
                "Authorization": "Token " + KEYS["team-a"]})
            response = connection.getresponse()
            status = response.status
            response.read()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.record("client: request %s for %s at %s is answered %s"
                    % (request_id, target, edge.name, status))
        return status

    def call_steadily(self, targets, interval=0.1, at=None):
        """Requests for each target in turn, at the instances that run; returns a stop."""
        stopped = threading.Event()

        def run():
            number = 0
            while not stopped.wait(interval):
                target = targets[number % len(targets)]
                edges = [e for e in at or self.edges if e.child.poll() is None]
                if edges:
                    self.call(edges[number % len(edges)], target)
                number += 1
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.callers.append(stopped)

        def stop():
            stopped.set()
            thread.join(8)
        return stop

    def stop(self):
        for stopped in self.callers:
            stopped.set()
        for part in reversed(self.parts):
            try:
                part.stop()
            except Exception as error:  # the others have to end all the same
                self.record("could not end %s: %s" % (type(part).__name__, error))
        self.record("ended all that was started")
        if os.environ.get("KEEP_LOGS"):
            print("logs in " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def interrupt(number, _):
    raise CannotRun("%s, or the time of a script was over" % signal.Signals(number).name)


def run_case(record_path, trouble, play):
    """Plays a case; the exit status is 1 if the rule was broken, 0 if not, 2 if it can't run.

    However it ends, on a signal or after MAX_S too, all that it started is ended.
    """
    deployment = None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, interrupt)
    signal.alarm(MAX_S)
    try:
        deployment = Deployment(record_path)
        broken = play(deployment, trouble)
        deployment.record("BROKEN: " + broken if broken else "the rule held")
        print("broken: " + broken if broken else "held")
        return 1 if broken else 0
    except Exception as error:  # whatever it is, it says nothing about the rule
        text = "cannot run: %s: %s" % (type(error).__name__, error)
        if deployment:
            deployment.record(text)
        print(text)
        return 2
    finally:
        signal.alarm(0)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        if deployment:
            deployment.stop()
