"""After the store came back from an older copy, servers get orders with a lower
fencing token than before, from another machine.

VARIANT=add (default): a machine is added after the drill. VARIANT=power: all machines
lose power as it begins. VARIANT=power_only: they do, and there is no drill.
"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from engine import EngineServer  # noqa: E402
from world import LIMITS, TROUBLE, ZONES, main, route, tenant  # noqa: E402

ENGINES, EDGES, ADAPTERS = 6, 3, 60
COPY_AGE_S = 10.0  # "a copy some seconds old"
AWAY_S = 0.5  # "away for a moment"
RESTART_S = 1.0  # "restarted after a short delay"
WATCHED_S = 12.0
VARIANT = os.environ.get("VARIANT", "add")


def configuration():
    return {
        "routes": [route("letter", "streaming", "models", timeout_ms=15000,
                         target_latency_ms=800, gap_aim_ms=400, max_attempts=2)],
        "services": [{"name": "models", "runtime": {
            "slots": 16, "kv_capacity": 133635, "weights_mb": 220000, "adapter_slots": 8,
            "loads_per_s": 2.1,
            "models": [{"name": "m1", "weights_mb": 65000, "load_s": 8.0,
                        "adapters": ADAPTERS, "adapter_mb": 10}]}}],
        "tenants": [tenant("drivers", ["key-a"], rate_per_s=1000000, burst=1000000)],
        "limits": LIMITS,
    }


class Caller:
    """Sends requests through one edge, each for the next adapter."""

    def __init__(self, world, edge, first):
        self.world, self.edge, self.number = world, edge, first
        self.stopped = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.stopped:
            self.number += 1
            adapter = "a%d" % (self.number * 7 % ADAPTERS + 1)
            request_id = "letter-%s-%d" % (self.edge.name, self.number)
            answer = self.edge.call("POST", "/letter/1", {
                "Request-Id": request_id, "Authorization": "Token key-a",
                "Model": "m1/" + adapter, "Token-Usage": "1110,20", "Deadline-Ms": "5000"})
            self.world.record("%s for m1/%s is answered %s" % (
                request_id, adapter, answer and answer[0]))
            time.sleep(0.25)


def orders(world):
    return sorted((at, server.name, holder, fence)
                  for server in world.servers for at, holder, fence in list(server.orders))


def scenario(world):
    world.write_configuration(configuration())
    for n in range(ENGINES):
        world.servers.append(EngineServer(world, "i-models-%d" % n, "models", ZONES[n % 3]))
    time.sleep(COPY_AGE_S - 3)  # the store and the servers are up before the edges
    world.add_edges(EDGES)
    world.await_serving("/letter/x", {"Authorization": "Token key-a", "Model": "m1",
                                      "Token-Usage": "100,4"})
    callers = [Caller(world, edge, n * 20) for n, edge in enumerate(world.edges)]
    deadline = time.monotonic() + 20
    while not orders(world) and time.monotonic() < deadline:
        time.sleep(0.05)
    time.sleep(0.5)
    fence = max((o[3] for o in orders(world)), default=0)
    world.record("orders so far: %d, highest fencing token %d, store at revision %d" % (
        len(orders(world)), fence, world.store.revision))
    if VARIANT != "add" and TROUBLE:
        for edge in world.edges:
            edge.child.kill()
        for edge in world.edges:
            edge.child.wait()
        world.record("all machines lose power")
    if VARIANT != "power_only" and TROUBLE:
        lost, revision = world.store.drill(COPY_AGE_S, AWAY_S)
        world.record("the store is back from a copy %.1f s old, without the last %d revisions; "
                     "now at revision %d, era %d" % (COPY_AGE_S, lost, revision, world.store.era))
    if VARIANT == "add":
        world.add_edges(1)
        callers.append(Caller(world, world.edges[-1], EDGES * 20))
        world.record("%s is added" % world.edges[-1].name)
    elif TROUBLE:
        time.sleep(RESTART_S - AWAY_S)
        for edge in world.edges:
            edge.start()
        world.record("all machines are started again")
    time.sleep(WATCHED_S)
    for caller in callers:
        caller.stopped = True
    broken = []
    highest = {}
    for at, server, holder, fence in orders(world):
        before = highest.get(server, (0, ""))
        if fence < before[0]:
            broken.append("%s got an order of %s with fencing token %d after one of %s with %d" % (
                server, holder, fence, before[1], before[0]))
        else:
            highest[server] = (fence, holder)
    world.record("orders in all: %d" % len(orders(world)))
    return broken


if __name__ == "__main__":
    sys.exit(main(os.path.dirname(os.path.abspath(__file__)), scenario))
