"""The leader's process is killed and starts again while an order that it sent is still
unanswered, and the server that the order was sent to has started again under its id."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import loopback

MODEL = {"weights_mb": 65000, "load_s": 1.2, "disk_s": 0.9, "warm_s": 0.7, "adapters": 0,
         "adapter_mb": 0}
HELD = ["m1", "m2", "m3"]  # three of 65 GB fit into 220 GB
OTHERS = ["n%d" % n for n in range(1, 10)]  # on the three other servers, always asked for
MODELS = {name: MODEL for name in HELD + ["m4", "m5"] + OTHERS}
LATE_S = 11.0
# A subset of these steps shows which of them it takes.
STEPS = os.environ.get("STEPS", "late,crash,kill").split(",")


def play(deployment, trouble):
    steps = STEPS if trouble else []
    deployment.configure(MODELS, weights_mb=220000, adapter_slots=0, loads_per_s=2.1)
    engine = deployment.add_engine("i-7f3a91c2", "lahore", HELD)
    for number in range(3):  # one of four servers crashes
        deployment.add_engine("i-other-%d" % number, "lahore", OTHERS[3 * number:3 * number + 3])
    for each in deployment.engines:
        loopback.wait_until(each.name + " is registered", each.registered)
    for number in (1, 2):
        deployment.add_edge("edge-lahore-%d" % number, "lahore")
    for edge in deployment.edges:
        loopback.wait_until(edge.name + " is ready", edge.is_ready)
    loopback.wait_until("an instance leads", deployment.store.leader)
    leader = deployment.edge(deployment.store.leader())
    deployment.call_steadily(OTHERS, interval=0.02)
    time.sleep(3)  # the leader knows what is asked for

    # Demand moves to m4, then to m5: the engine is full, so one model makes room for each.
    def lose_load_of_m5(order, sequence):
        if "late" in steps and not engine.late_orders and order["operation"] == "load" and order[
                "model"] == "m5" and order.get("expected") == sequence == 3:
            return LATE_S
        return None
    engine.late = lose_load_of_m5
    stop = deployment.call_steadily(["m1", "m4"], at=[leader])
    loopback.wait_until("the engine holds m4", lambda: "m4" in engine.held)
    stop()
    stop = deployment.call_steadily(["m1", "m4", "m5"], at=[leader])
    if "late" in steps:
        loopback.wait_until("an order is left unanswered", lambda: engine.late_orders)
    else:
        loopback.wait_until("the engine holds m5", lambda: "m5" in engine.held)
    sent = time.monotonic()
    stop()

    # Demand is back at the models of before.
    deployment.call_steadily(HELD)
    if "crash" in steps:
        engine.crash("srv_crash")
    if "kill" in steps:
        leader.kill()
    time.sleep(0.8)
    if "crash" in steps:
        engine.start([])
        loopback.wait_until("the engine is registered again", engine.registered)
    if "kill" in steps:
        time.sleep(0.3)
        leader.start()
    time.sleep(max(0, sent + LATE_S + 1.5 - time.monotonic()))
    deployment.record("the engine held %s; %d requests were sent, %d were run"
                      % (sorted(engine.held), deployment.sent, len(engine.runs)))
    overfilled = [text for each in deployment.engines for text in each.crashes_by_order]
    return "LIMIT: " + overfilled[0] if overfilled else None


TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0: the same without the disruption
sys.exit(loopback.run_case(os.path.join(HERE, "record.txt"), TROUBLE, play))
