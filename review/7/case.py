"""The store comes back from a copy of before a release, while all instances are killed and start
again. Clients take up streams that the new version began; the instances know the old one only."""

import http.client
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import loopback

MODELS = {"m1": {"weights_mb": 65000, "load_s": 1.2, "disk_s": 0.9, "warm_s": 0.7, "adapters": 0,
                 "adapter_mb": 0}}
CLIENTS = 40
EVENTS, EVENT_GAP_S = 60, 0.1
COPY_AGE_S, AWAY_S = 6.0, 0.5  # "some seconds old", "away for a moment"
REWRITE_S = 1.8  # what the servers wrote is back "within about two seconds"
RESTART_S = 0.3
RETRIES, RETRY_PAUSE_S = 3, 0.5
ALLOWED = 2
# A subset of these steps shows which of them it takes.
STEPS = os.environ.get("STEPS", "restore,kill").split(",")


class Client:
    """Reads one stream; takes it up again after a broken connection, as PROTOCOL.md allows."""

    def __init__(self, deployment, number):
        self.deployment, self.number = deployment, number
        self.versions = []  # of each event, in order
        self.last, self.first_request, self.complete = 0, None, False
        self.statuses = []

    def run(self):
        for attempt in range(1 + RETRIES):
            if attempt:
                time.sleep(RETRY_PAUSE_S)
            self.attempt((self.number + attempt) % len(self.deployment.edges))
            if self.complete:
                return

    def attempt(self, edge_number):
        edge = self.deployment.edges[edge_number]
        request_id = "%016x" % random.getrandbits(64)
        fields = {"Host": "small.example", "Request-Id": request_id, "Model": "m1",
                  "Token-Usage": "40,60", "Deadline-Ms": "15000",
                  "Authorization": "Token " + loopback.KEYS["team-a"]}
        if self.last:
            fields.update({"Last-Event-Id": str(self.last), "Resumes": self.first_request})
        host, port = edge.address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=6)
        try:
            connection.request("POST", "/chat/2f", b"prompt", fields)
            response = connection.getresponse()
            self.statuses.append(response.status)
            event = {}
            while response.status == 200:
                line = response.readline()
                if not line:
                    self.complete = self.last == EVENTS
                    break
                if line == b"\n":
                    self.first_request = self.first_request or request_id
                    self.last = int(event["id"])
                    self.versions.append(event["data"])
                    event = {}
                else:
                    name, value = line.decode().strip().split(": ", 1)
                    event[name] = value
        except (OSError, http.client.HTTPException, ValueError):
            self.statuses.append("broken")
        finally:
            connection.close()
        self.deployment.record("client %d: %s at %s from event %s: %s, now at event %d" % (
            self.number, request_id, edge.name, fields.get("Last-Event-Id", "0"),
            self.statuses[-1], self.last))


def play(deployment, trouble):
    steps = STEPS if trouble else []
    deployment.configure(MODELS, weights_mb=220000, adapter_slots=0, loads_per_s=2.1,
                         kind="streaming", resumable=True, timeout_ms=15000)
    options = {"events": EVENTS, "event_gap_s": EVENT_GAP_S}
    for number in (1, 2):
        deployment.add_engine("i-old-%d" % number, "lahore", ["m1"], **options)
    for number in (1, 2, 3):
        deployment.add_edge("edge-lahore-%d" % number, "lahore")
    for edge in deployment.edges:
        loopback.wait_until(edge.name + " is ready", edge.is_ready)
    loopback.wait_until("the versions are recorded",
                        lambda: deployment.store.value("figwell/versions/models"))
    time.sleep(COPY_AGE_S)

    # A release: servers of a newer version start beside the old ones.
    deployment.record("release: servers of v2 start")
    for number in (1, 2):
        engine = deployment.add_engine("i-new-%d" % number, "lahore", ["m1"], version="v2",
                                       **options)
        loopback.wait_until(engine.name + " is registered", engine.registered)
    time.sleep(2.5)
    deployment.record("versions recorded: %s" % deployment.store.value("figwell/versions/models"))
    clients = [Client(deployment, number) for number in range(CLIENTS)]
    threads = [threading.Thread(target=client.run, daemon=True) for client in clients]
    for thread in threads:
        thread.start()
    time.sleep(1.0)

    if "restore" in steps:
        deployment.record("the store is away for %.1f s and comes back from a copy %.1f s old"
                          % (AWAY_S, COPY_AGE_S))
        loopback.post_json(deployment.store.address, "/standin/fault", {
            "mode": "restore", "age_s": COPY_AGE_S, "away_s": AWAY_S, "rewrite_s": REWRITE_S})
    if "kill" in steps:
        for edge in deployment.edges:
            edge.kill()
        time.sleep(RESTART_S)
        for edge in deployment.edges:
            edge.start()
    for thread in threads:
        thread.join(30)
    joined = [c for c in clients if len(set(c.versions)) > 1]
    for client in joined:
        deployment.record("client %d has events of two versions: %s" % (
            client.number, " ".join(client.versions)))
    deployment.record("%d streams, %d whole, %d begun by v2, %d joined from two versions" % (
        len(clients), sum(c.complete for c in clients),
        sum(c.versions[:1] == ["v2"] for c in clients), len(joined)))
    if len(joined) > ALLOWED:
        return "ORDER: %d streams hold events of two versions" % len(joined)
    return None


TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0: the same without the disruption
sys.exit(loopback.run_case(os.path.join(HERE, "record.txt"), TROUBLE, play))
