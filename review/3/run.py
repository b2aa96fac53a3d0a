"""A late order for an earlier start of a server overfills the server that has started
again under the same id.

VARIANT=late: the order is late, but the server does not crash. VARIANT=crash: the server
crashes and starts again, but the order is answered.
"""

import json
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from world import (  # noqa: E402
    LIMITS, TROUBLE, ZONES, BackendServer, main, route, serve, standins, tenant)

# The engines and models of pvsr-bulletin.
WEIGHTS_MB, MODEL_MB, LOAD_S, DISK_S = 220000, 72700, 1.2, 0.52
SERVERS, MODELS = 5, 11
LATE_S = 11.9  # "carried out 2 to 12 s later"
DOWN_S = 4.0
CRASH_DELAY_S = 0.3
WATCHED_S = 16.0
VARIANT = os.environ.get("VARIANT", "")


class Engine(BackendServer):
    """Holds models in a bounded memory and carries out one order at a time."""

    def __init__(self, world, name, service, zone, models):
        self.models, self.disk = set(models), set(models)
        self.accepted, self.loading = 0, None
        self.state = threading.RLock()
        self.sockets = set()
        self.down = False
        self.lose_answer_at = None  # lose the answer of a load with this `expected`
        self.lost_order = None
        self.over_memory = []
        super().__init__(world, name, service, zone, slots=64)

    def entry(self):
        with self.state:
            return dict(super().entry(), stage="colocated", models=self.held())

    def held(self):
        return [{"name": m, "version": 1, "adapters": []} for m in sorted(self.models)]

    def write_entry(self):
        return not self.down and super().write_entry()

    def on_request(self, handler, method, url):
        if self.down:
            return handler.abort_connection()
        with self.state:
            self.sockets.add(handler.connection)
        expected = handler.headers.get("Expect-Instance")
        if url.path == "/v1/report" and expected == self.name:
            with self.state:
                return handler.answer(200, {
                    "stage": "colocated", "models": self.held(), "busy": bool(self.loading),
                    "sequence": self.accepted, "queued": 0, "running": 0, "kv_used": 0,
                    "kv_total": 247444, "handle_count": 0,
                    "at_hand": {"in_memory": [], "on_disk": sorted(self.disk)},
                })
        if url.path == "/v1/order" and expected == self.name:
            return self.on_order(handler, json.loads(handler.body()))
        return super().on_request(handler, method, url)

    def on_order(self, handler, body):
        with self.state:
            chosen = (self.lose_answer_at is not None and body["operation"] == "load"
                      and body["expected"] >= self.lose_answer_at and not self.lost_order)
            if chosen:
                self.lost_order = body
        if chosen and VARIANT != "crash":
            self.world.record("order to %s is not answered and will be carried out %.1f s "
                              "later: load %s expected %d" % (
                                  self.name, LATE_S, body["model"], body["expected"]))
            threading.Timer(LATE_S, self.carry_out_late, args=(body,)).start()
            time.sleep(2)
            return handler.abort_connection()
        status = self.carry_out(body)
        if self.down:
            return handler.abort_connection()
        return handler.answer(status)

    def carry_out_late(self, body):
        if self.down or self.ended:
            return
        status = self.carry_out(body)
        self.world.record("late order arrives at %s: %s" % (self.name, status))

    def carry_out(self, body):
        """The server's rules for an order; `expected` is checked at this point."""
        with self.state:
            text = "%s: %s %s expected %d fence %d; holds %s, sequence %d" % (
                self.name, body["operation"], body["model"], body["expected"], body["fence"],
                ",".join(sorted(self.models)), self.accepted)
            if self.loading or body["expected"] != self.accepted:
                self.world.record("order to %s: 409" % text)
                return 409
            self.world.record("order to %s: 202" % text)
            self.accepted += 1
            if body["operation"] == "unload":
                self.models.discard(body["model"])
                return 202
            if (len(self.models | {body["model"]})) * MODEL_MB > WEIGHTS_MB:
                self.over_memory.append(
                    "%s was ordered to load %s beside %s: %d MB of %d" % (
                        self.name, body["model"], ",".join(sorted(self.models)),
                        (len(self.models) + 1) * MODEL_MB, WEIGHTS_MB))
                threading.Thread(target=self.crash).start()
                return 202
            self.loading = body["model"]
            threading.Timer(DISK_S if body["model"] in self.disk else LOAD_S,
                            self.end_load, args=(body["model"], self.started_ms)).start()
            return 202

    def end_load(self, model, started_ms):
        with self.state:
            if started_ms != self.started_ms or self.down:
                return
            self.models.add(model)
            self.disk.add(model)
            self.loading = None
        self.write_entry()

    def crash(self):
        with self.state:
            self.down = True
            sockets, self.sockets = self.sockets, set()
        self.server.shutdown()
        self.server.server_close()
        for connection in sockets:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.world.record("%s crashes" % self.name)

    def restart(self):
        """Starts again under the same id; it holds and knows nothing of before."""
        with self.state:
            self.models, self.accepted, self.loading = set(), 0, None
            self.started_ms = int(time.time() * 1e3)
            self.sequence = 0
            self.down = False
        outer = self

        class Handler(standins.Handler):
            def call(self, method, url):
                outer.on_request(self, method, url)

        host, port = self.address.rsplit(":", 1)
        self.server = serve(Handler, (host, int(port)))
        self.write_entry()
        self.world.record("%s has started again under its id" % self.name)


def scenario(world):
    names = ["m%d" % n for n in range(1, MODELS + 1)]
    world.write_configuration({
        "routes": [route("letter", "streaming", "models", timeout_ms=15000,
                         target_latency_ms=500, gap_aim_ms=400, max_attempts=2)],
        "services": [{"name": "models", "runtime": {
            "slots": 64, "kv_capacity": 247444, "weights_mb": WEIGHTS_MB, "adapter_slots": 8,
            "loads_per_s": 2.1,
            "models": [{"name": m, "weights_mb": MODEL_MB, "load_s": LOAD_S, "disk_s": DISK_S,
                        "warm_s": 0.4, "adapters": 0, "adapter_mb": 66} for m in names]}}],
        "tenants": [tenant("drivers", ["key-a"], rate_per_s=1000000, burst=1000000)],
        "limits": LIMITS,
    })
    for n in range(SERVERS):
        world.servers.append(Engine(world, "i-models-%d" % n, "models", ZONES[n % 3],
                                    ["m1", "m2", "m3"]))
    if TROUBLE:
        for server in world.servers:
            server.lose_answer_at = 3
    world.add_edges(3)
    deadline = time.monotonic() + 40
    while time.monotonic() < deadline and not any(s.lost_order for s in world.servers):
        time.sleep(0.02)
    hit = next((s for s in world.servers if s.lost_order), None)
    for server in world.servers:
        server.lose_answer_at = None
    if hit and VARIANT != "late":
        time.sleep(CRASH_DELAY_S)
        hit.crash()
        time.sleep(DOWN_S)
        hit.restart()
    time.sleep(WATCHED_S)
    return [text for server in world.servers for text in server.over_memory]


if __name__ == "__main__":
    sys.exit(main(os.path.dirname(os.path.abspath(__file__)), scenario))
