"""After the store came back from an older copy, a leaving server gets new requests
and takes them with it when it ends."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from world import BOUNDS, LIMITS, TROUBLE, BackendServer, main, route, tenant  # noqa: E402

EDGES, DESKS = 3, 6
COPY_AGE_S = 10.0  # "a copy some seconds old"
AWAY_S = 0.5  # "away for a moment"
QUIET_S = 0.1  # after the drain notice has passed, until requests are sent
LATE_CALLERS_PER_EDGE, LATE_REQUESTS = 14, 2
WORK_S = 0.6
LINGER_S = 0.5  # "continues serving for `drain_ms` ... and a little longer"
FIELDS = {"Authorization": "Token key-a", "Deadline-Ms": "4000"}


class Desk(BackendServer):
    def answer(self, handler, url, request_id, body):
        time.sleep(WORK_S if url.path == "/fee/late" else 0.02)
        if self.ended:
            return handler.abort_connection()
        super().answer(handler, url, request_id, body)

    def on_request(self, handler, method, url):
        if self.ended:
            return handler.abort_connection()
        super().on_request(handler, method, url)

    def end(self):
        """The process ends: its connections are closed and its address refuses."""
        self.ended = True
        self.server.shutdown()
        self.server.server_close()
        self.world.record("%s has ended" % self.name)


def configuration():
    return {
        "routes": [route("fee", "non_idempotent", "desk", max_attempts=2)],
        "services": [{"name": "desk", "health_path": "/healthz"}],
        "tenants": [tenant("drivers", ["key-a"])],
        "limits": LIMITS,
    }



def call_steadily(world, edge, name, path, count, pause_s, statuses):
    for number in range(count):
        request_id = "%s-%d" % (name, number)
        answer = edge.call("POST", "/fee/" + path, dict(FIELDS, **{"Request-Id": request_id}))
        statuses[request_id] = answer and answer[0]
        world.record("%s is answered %s" % (request_id, statuses[request_id]))
        time.sleep(pause_s)


def on_all_edges(world, path, callers, count, pause_s):
    """Returns the statuses of the answers by request id."""
    statuses = {}
    threads = [
        threading.Thread(target=call_steadily, args=(
            world, e, "%s-%s-%d" % (path, e.name, c), path, count, pause_s, statuses))
        for e in world.edges for c in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def scenario(world):
    world.write_configuration(configuration())
    world.add_servers(Desk, "desk", DESKS, slots=6)
    world.add_edges(EDGES)
    world.await_serving("/fee/x", FIELDS)
    on_all_edges(world, "before", 1, 20, (COPY_AGE_S + 2) / 20)

    if TROUBLE:
        lost, revision = world.store.drill(COPY_AGE_S, AWAY_S)
        world.record("the store is back from a copy %.1f s old, without the last %d revisions; "
                     "now at revision %d, era %d" % (COPY_AGE_S, lost, revision, world.store.era))
    # The core is stable `contact_ms` after the end of the disruption.
    on_all_edges(world, "after", 1, 6, BOUNDS["contact_ms"] / 6e3)
    time.sleep(0.3)

    leaving = max(world.servers, key=lambda server: len(server.runs))
    acked, revision = leaving.drain()
    world.record("the store accepts that %s is draining, at revision %d" % (leaving.name, revision))
    binds_from = acked + BOUNDS["drain_ms"] / 1e3
    threading.Timer(BOUNDS["drain_ms"] / 1e3 + LINGER_S, leaving.end).start()
    time.sleep(max(0, binds_from + QUIET_S - time.monotonic()))
    statuses = on_all_edges(world, "late", LATE_CALLERS_PER_EDGE, LATE_REQUESTS, 0.01)
    return ["%s reached %s %.3f s after the store had accepted that it is draining; "
            "its caller got %s" % (
                request_id, leaving.name, at - acked, statuses.get(request_id))
            for at, request_id, _, _ in leaving.runs if at > binds_from]


if __name__ == "__main__":
    sys.exit(main(os.path.dirname(os.path.abspath(__file__)), scenario))
