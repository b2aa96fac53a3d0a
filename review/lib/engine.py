"""A backend server with an engine, as far as the scripts need one."""

import json
import threading
import time

from world import BackendServer

EVENT_TOKENS = 2  # of the sheet of rahnuma-licensing


class EngineServer(BackendServer):
    """Holds the models that it was started with and those that it is ordered to
    load. A stream has an event for each EVENT_TOKENS output tokens, one each
    `event_s` seconds. The server stops work at the deadline that it receives and
    when the connection of a request closes."""

    def __init__(self, world, name, service, zone, models=("m1",), event_s=0.03, slots=16):
        self.models = {model: set() for model in models}
        self.accepted = 0
        self.orders = []  # (time, holder, fence) of each order that arrived
        self.event_s = event_s
        self.model_lock = threading.Lock()
        super().__init__(world, name, service, zone, slots)

    def held(self):
        with self.model_lock:
            return [{"name": m, "version": 1, "adapters": sorted(a)}
                    for m, a in self.models.items()]

    def entry(self):
        return dict(super().entry(), models=self.held(), stage="colocated")

    def on_request(self, handler, method, url):
        if url.path == "/v1/report":
            return handler.answer(200, {
                "stage": "colocated", "models": self.held(), "busy": False,
                "sequence": self.accepted, "queued": 0, "running": 0, "kv_used": 0,
                "kv_total": 100000, "handle_count": 0,
                "at_hand": {"in_memory": sorted(self.models), "on_disk": sorted(self.models)},
            })
        if url.path == "/v1/order":
            return handler.answer(self.order(json.loads(handler.body())))
        return super().on_request(handler, method, url)

    def order(self, body):
        with self.model_lock:
            self.orders.append((time.monotonic(), body["holder"], body["fence"]))
            self.world.record("order to %s: %s %s/%s expected %s holder %s fence %s" % (
                self.name, body["operation"], body["model"], body.get("adapter", ""),
                body.get("expected"), body["holder"], body["fence"]))
            if body.get("expected", self.accepted) != self.accepted:
                return 409
            self.accepted += 1
            adapters = self.models.setdefault(body["model"], set())
            adapter = body.get("adapter")
            if body["operation"] == "load":
                if adapter:
                    adapters.add(adapter)
                return 202
            if adapter:
                adapters.discard(adapter)
                return 200
            self.models.pop(body["model"], None)
            return 202

    def answer(self, handler, url, request_id, body):
        record = self.world.record
        model, _, adapter = handler.headers.get("Model", "").partition("/")
        if model not in self.models or (adapter and adapter not in self.models[model]):
            return handler.answer(421, {}, self.fields(handler))
        _, output = handler.headers.get("Token-Usage", "0,20").split(",")
        events = max(1, int(output) // EVENT_TOKENS)
        deadline = time.monotonic() + int(handler.headers.get("Deadline-Ms", "60000")) / 1e3
        handler.send_response(200)
        for name, value in self.fields(handler) + [("Response-Seal", self.name)]:
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(1, events + 1):
            if time.monotonic() > deadline + 0.3:
                record("server %s stops %s at its deadline" % (self.name, request_id))
                return handler.abort_connection()
            event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
            try:
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            except OSError:
                record("server %s: the connection of %s was closed after event %d of %d" % (
                    self.name, request_id, number - 1, events))
                raise
            time.sleep(self.event_s)
        handler.wfile.write(b"0\r\n\r\n")
        record("server %s has sent all %d events of %s" % (self.name, events, request_id))
