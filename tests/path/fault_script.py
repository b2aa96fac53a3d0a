"""Tests a complete fleet under faults and prints how often each guarantee was checked and violated.

The load is a fixed number of requests, and no timing is asserted. The exit status is 0
if every guarantee was checked and none was violated. Arguments select phases.
"""

import itertools
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import local_fleet as lf
from oracle import GUARANTEES, Oracle
from relay import Relay

DOMAINS = ["lahore", "multan"]
GATEWAYS = {"lahore-1": "lahore", "lahore-2": "lahore", "multan-1": "multan", "multan-2": "multan"}
CONTROLLERS = {"lahore-c": "lahore", "multan-c": "multan"}
ENGINES = {f"{domain}-e{i}": domain for domain in DOMAINS for i in range(3)}
SERVICE = "desk"
MODELS = ["review", "letters", "summary"]
WORKERS = 6
PHASE_REQUESTS = 48
REQUEST_TIMEOUT_S = 30
MODEL_BYTES = 1_000
ENGINE_BYTES = 5_000

KEYS = {"drivers": "key-of-drivers", "clerks": "key-of-clerks", "greedy": "key-of-greedy"}
GREEDY_RATE = 50
GREEDY_BURST = 3_000


def configuration(fleet):
    """The full configuration as one merge patch."""
    servers = {
        name: {
            "failure_domain": domain,
            "address": fleet.addresses[name],
            "accelerators": 1,
            "memory_bytes": ENGINE_BYTES,
            # One engine of each domain does not check fencing tokens, so it executes stale orders.
            "checks_fencing": not name.endswith("e2"),
            "pool": "models",
        }
        for name, domain in ENGINES.items()
    }
    servers[SERVICE] = {
        "failure_domain": "lahore",
        "address": fleet.addresses[SERVICE],
        "accelerators": 1,
        "memory_bytes": 0,
        "pool": "desk",
    }
    models = {
        name: {
            "versions": {"1": {"bytes": MODEL_BYTES}},
            "default_version": "1",
            "max_tokens": 64,
            "pool": "models",
        }
        for name in MODELS
    }
    models["review"]["adapters"] = {"urdu": {"bytes": 50}}

    def team(name, rate, burst, team_models):
        return {
            "rate": rate,
            "burst": burst,
            "weight": 1,
            "models": team_models,
            "services": ["desk"] if name == "clerks" else [],
            "keys": {"k1": {"sha256": lf.digest_of(KEYS[name])}},
        }

    return {
        "domains": {domain: {"region": "punjab", "units": 120} for domain in DOMAINS},
        "models": models,
        "servers": servers,
        "services": {
            "desk": {
                "path": "/desk/",
                "servers": [SERVICE],
                "idempotent": {"GET": True, "POST": False},
            }
        },
        "teams": {
            "drivers": team("drivers", 200_000, 2_000_000, MODELS),
            "clerks": team("clerks", 1_000, 10_000, ["letters"]),
            "greedy": team("greedy", GREEDY_RATE, GREEDY_BURST, ["review"]),
        },
        "policy": {"fairness": 0.8},
        "weight_store": {"loads_per_second": 50, "loads_at_once": 16, "adapters_at_once": 64},
    }


class Run:
    def __init__(self, fleet, oracle):
        self.fleet = fleet
        self.oracle = oracle
        self.live_gateways = list(GATEWAYS)
        self.ids = itertools.count()
        self.bookings = {}  # id -> outcome known to the caller
        self.highest_numbers = {}  # gateway -> highest configuration number seen in force
        self.accepted_number = 0
        self.lock = threading.Lock()

    def callers(self, gateway):
        return self.fleet.addresses[f"{gateway}/callers"]

    # ------------------------------------------------------------- requests

    def chat(self, gateway, stream, gateway_may_die):
        """Requests one chat completion; `gateway_may_die` allows a missing or partial answer."""
        number = next(self.ids)
        prompt = f"permit {number}: \u0627\u0631\u062f\u0648"
        model = MODELS[number % len(MODELS)]
        answer = lf.chat(
            self.callers(gateway), KEYS["drivers"], model, prompt, stream, timeout=REQUEST_TIMEOUT_S
        )
        if answer is None:
            self.oracle.check(7, gateway_may_die, f"{gateway} sent no answer to {number}")
            return
        if answer.status != 200:
            self.oracle.check(
                2, answer.code not in ("no_server", "model_not_found"), f"{gateway} {model}: {answer.code}"
            )
            return
        self.oracle.check(2, True)
        expected = lf.expected_content(prompt)
        if not stream:
            correct = answer.complete and lf.answer_content(answer) == expected
            self.oracle.check(7, correct or (gateway_may_die and not answer.complete), f"{gateway} {number}")
            return
        content, complete = lf.stream_content(answer)
        self.oracle.check(
            7,
            content == expected if complete else expected.startswith(content),
            f"{gateway} {number}: {content!r} complete={complete}",
        )

    def book(self, gateway, with_key):
        """Sends a booking that must not run twice; one with an idempotency key is retried at other gateways."""
        identity = f"booking-{next(self.ids)}"
        headers = {"Authorization": f"Bearer {KEYS['clerks']}", "Content-Type": "application/json"}
        if with_key:
            headers["Idempotency-Key"] = f"once-{identity}"
        outcome = self._send_booking(gateway, identity, headers)
        if with_key and outcome != "done":
            others = [name for name in self.live_gateways if name != gateway]
            for other in others[:2]:
                outcome = self._send_booking(other, identity, headers)
                if outcome == "done":
                    break
        with self.lock:
            self.bookings[identity] = outcome

    def _send_booking(self, gateway, identity, headers):
        answer = lf.call(
            self.callers(gateway), "POST", "/desk/bookings", {"id": identity}, headers, REQUEST_TIMEOUT_S
        )
        if answer is None:
            return "unknown"
        if answer.status == 200:
            correct = answer.complete and answer.json()["id"] == identity
            self.oracle.check(7, correct, f"{gateway} {identity}: {answer.body!r}")
            return "done"
        return "not run" if answer.not_run == "true" else "unknown"

    def look_up(self, gateway, gateway_may_die):
        identity = f"lookup-{next(self.ids)}"
        answer = lf.call(
            self.callers(gateway),
            "GET",
            f"/desk/status/{identity}",
            headers={"Authorization": f"Bearer {KEYS['clerks']}"},
            timeout=REQUEST_TIMEOUT_S,
        )
        if answer is not None and answer.status == 200:
            self.oracle.check(7, answer.complete and identity in answer.json()["id"], identity)
        elif answer is None:
            self.oracle.check(7, gateway_may_die, f"{gateway} sent no answer to {identity}")

    def send_one(self, position, gateway_may_die):
        gateway = self.live_gateways[position % len(self.live_gateways)]
        kind = position % 8
        if kind in (0, 2, 4):
            self.chat(gateway, False, gateway_may_die)
        elif kind in (1, 5):
            self.chat(gateway, True, gateway_may_die)
        elif kind == 3:
            self.book(gateway, True)
        elif kind == 6:
            self.book(gateway, False)
        else:
            self.look_up(gateway, gateway_may_die)

    def load(self, fault=None, gateway_may_die=False, requests=PHASE_REQUESTS):
        """Sends a fixed number of requests; triggers the fault after a third of them."""
        positions = itertools.count()
        fault_due = threading.Event()

        def work():
            while (position := next(positions)) < requests:
                if position == requests // 3:
                    fault_due.set()
                self.send_one(position, gateway_may_die)

        workers = [threading.Thread(target=work) for _ in range(WORKERS)]
        for worker in workers:
            worker.start()
        if fault is not None:
            fault_due.wait()
            fault()
        for worker in workers:
            worker.join()

    # --------------------------------------------------------------- checks

    def check_config_numbers(self):
        for gateway in self.live_gateways:
            number = self.fleet.config_number_in_force(gateway)
            if number >= 0:
                highest = self.highest_numbers.get(gateway, 0)
                self.oracle.check(12, number >= highest, f"{gateway} went from {highest} to {number}")
                self.highest_numbers[gateway] = max(number, highest)

    def patch(self, controller, patch):
        answer = self.fleet.patch(controller, patch)
        assert answer is not None and answer.status == 200, answer and answer.body
        self.accepted_number = answer.json()["number"]

    def patch_until_accepted(self, controller, patch):
        """Repeats a patch under the same id until its record shows that it was accepted."""
        patch_id = f"sure-{next(self.ids)}"

        def accepted():
            current = self.fleet.call_as_operator(controller, "GET", "/v1/config")
            if current is None or current.status != 200:
                return None
            self.fleet.call_as_operator(
                controller,
                "PATCH",
                "/v1/config",
                patch,
                {"If-Match": current.headers["etag"], "Idempotency-Key": patch_id},
            )
            answer = self.fleet.call_as_operator(controller, "GET", f"/v1/patches/{patch_id}")
            return answer if answer is not None and answer.status == 200 else None

        self.accepted_number = lf.wait_until(accepted, "the patch is accepted").json()["number"]

    def wait_until_in_force(self, gateways=None):
        for gateway in gateways or self.live_gateways:
            try:
                lf.wait_until(
                    lambda: self.fleet.config_number_in_force(gateway) >= self.accepted_number,
                    f"{gateway} has {self.accepted_number} in force",
                )
                self.oracle.check(12, True)
            except TimeoutError as error:
                self.oracle.check(12, False, str(error))
        self.check_config_numbers()

    def wait_until_models_answer(self):
        """Waits until each model and adapter answers through each live gateway."""
        for gateway, model in itertools.product(self.live_gateways, MODELS + ["urdu"]):
            prompt = f"probe {next(self.ids)}"

            def answers():
                answer = lf.chat(self.callers(gateway), KEYS["drivers"], model, prompt)
                return answer is not None and answer.status == 200

            try:
                lf.wait_until(answers, f"{model} at {gateway}")
                self.oracle.check(2, True)
            except TimeoutError as error:
                self.oracle.check(2, False, str(error))

    def report(self, engine):
        answer = lf.call(self.fleet.addresses[engine], "GET", "/report")
        return answer.json() if answer is not None else None

    def check_engines(self):
        for engine in ENGINES:
            report = self.report(engine)
            if report is None:
                continue
            self.oracle.check(
                1,
                report["memory_peak"] <= report["memory_bytes"],
                f"{engine}: {report['memory_peak']} of {report['memory_bytes']}",
            )
            self.check_headers(engine, report["headers_seen"])

    def check_headers(self, server, headers):
        for header in headers:
            allowed = not any(key in header for key in KEYS.values())
            allowed = allowed and not header.lower().startswith(("authorization", "cookie", "x-api-key"))
            self.oracle.check(4, allowed, f"{server} saw {header}")

    def check_bookings(self):
        report = lf.call(self.fleet.addresses[SERVICE], "GET", "/executions").json()
        executions = report["executions"]
        for identity, outcome in self.bookings.items():
            count = executions.get(identity, 0)
            self.oracle.check(9, count <= 1, f"{identity} ran {count} times")
            if outcome == "not run":
                self.oracle.check(8, count == 0, f"{identity} was refused as not run but ran")
            if outcome == "done":
                self.oracle.check(7, count == 1, f"{identity} was confirmed and ran {count} times")
        self.check_headers(SERVICE, report["headers"] + report["targets"])

    def check_all(self):
        self.wait_until_models_answer()
        self.check_config_numbers()
        self.check_engines()
        self.check_bookings()


# ------------------------------------------------------------------- phases


def phase_teams(run):
    """Requests for another team's models or services, or without a valid key, are refused."""
    for gateway in run.live_gateways:
        address = run.callers(gateway)
        for key, model, code in [
            (KEYS["clerks"], "review", "not_allowed"),
            (KEYS["greedy"], "letters", "not_allowed"),
            ("key-of-nobody", "review", "unknown_key"),
            (None, "review", "missing_key"),
            (run.fleet.operator_token, "review", "unknown_key"),
        ]:
            answer = lf.chat(address, key, model, "whose?")
            run.oracle.check(3, answer is not None and answer.code == code, f"{gateway} {model} {code}")
        answer = lf.call(
            address, "POST", "/desk/bookings", {"id": "stolen"}, {"Authorization": f"Bearer {KEYS['drivers']}"}
        )
        run.oracle.check(3, answer is not None and answer.code == "not_allowed", gateway)


def phase_rate(run):
    """One team requests far more than its burst, at all gateways at the same time."""
    tokens_used = []
    lock = threading.Lock()
    started_at = time.monotonic()

    def send_requests(gateway):
        for _ in range(8):
            answer = lf.chat(run.callers(gateway), KEYS["greedy"], "review", "more", max_tokens=64)
            if answer is not None and answer.status == 200:
                with lock:
                    tokens_used.append(answer.json()["usage"]["total_tokens"])
            elif answer is not None:
                run.oracle.check(8, answer.not_run == "true", f"{answer.code} without figwell-not-run")

    threads = [threading.Thread(target=send_requests, args=(gateway,)) for gateway in run.live_gateways]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    allowed = GREEDY_BURST + GREEDY_RATE * (time.monotonic() - started_at)
    run.oracle.check(6, 0 < sum(tokens_used) <= allowed, f"{sum(tokens_used)} of {allowed}")


def phase_withdraw(run):
    """A key is withdrawn while its callers stay connected."""
    run.patch("lahore-c", {"teams": {"drivers": {"keys": {"extra": {"sha256": lf.digest_of("key-extra")}}}}})
    run.wait_until_in_force()
    for gateway in run.live_gateways:
        answer = lf.chat(run.callers(gateway), "key-extra", "review", "before")
        run.oracle.check(5, answer is not None and answer.status == 200, f"{gateway} before the withdrawal")
    run.patch("multan-c", {"teams": {"drivers": {"keys": {"extra": None}}}})
    run.wait_until_in_force()
    for gateway in run.live_gateways:
        for _ in range(3):
            answer = lf.chat(run.callers(gateway), "key-extra", "review", "after")
            run.oracle.check(5, answer is not None and answer.code == "unknown_key", gateway)


def phase_deny(run):
    """A key is denied at one gateway while the platform is down."""
    key = "key-to-deny"
    run.patch("lahore-c", {"teams": {"drivers": {"keys": {"deny": {"sha256": lf.digest_of(key)}}}}})
    run.wait_until_in_force()
    run.fleet.fault("platform", "down")
    answer = run.fleet.call_as_operator("lahore-1", "POST", "/v1/deny", {"sha256": lf.digest_of(key)})
    run.oracle.check(5, answer is not None and answer.status == 200, "the denial is accepted")
    for gateway in run.live_gateways:

        def refused():
            reply = lf.chat(run.callers(gateway), key, "review", "denied?")
            return reply is not None and reply.code == "unknown_key"

        try:
            lf.wait_until(refused, f"{gateway} refuses the denied key")
            run.oracle.check(5, True)
        except TimeoutError as error:
            run.oracle.check(5, False, str(error))
    run.fleet.fault("platform", "", 0)
    run.patch_until_accepted("lahore-c", {"teams": {"drivers": {"keys": {"deny": None}}}})
    run.wait_until_in_force()


def phase_version_change(run):
    """One patch replaces a model's only version while callers use it."""
    change = {"models": {"letters": {"versions": {"1": None, "2": {"bytes": MODEL_BYTES}}, "default_version": "2"}}}
    run.load(lambda: run.patch("lahore-c", change))
    run.wait_until_in_force()
    run.load()

    def only_new_version_held():
        reports = [run.report(engine) for engine in ENGINES]
        held = [r for report in reports for r in report["resident"] if r["model"] == "letters"]
        return held and all(r["version"] == "2" and r["state"] == "ready" for r in held)

    lf.wait_until(only_new_version_held, "only the new version is held")
    run.load()
    run.check_all()


def phase_kill_gateway(run):
    killed = "lahore-2"
    run.load(lambda: run.fleet.processes[killed].kill(), gateway_may_die=True)
    run.live_gateways.remove(killed)
    run.load()
    run.fleet.start_gateway(killed, GATEWAYS[killed])
    run.wait_until_in_force([killed])
    run.live_gateways.append(killed)
    run.check_all()


def phase_pause_gateway(run):
    paused = "multan-2"
    run.live_gateways.remove(paused)
    run.fleet.processes[paused].send_signal(signal.SIGSTOP)
    run.load()
    run.patch("lahore-c", {"policy": {"fairness": 0.7}})
    run.fleet.processes[paused].send_signal(signal.SIGCONT)
    run.live_gateways.append(paused)
    run.wait_until_in_force()
    run.check_all()


def phase_graceful_restart(run):
    """SIGTERM under load: the gateway answers every request that it received."""
    restarted = "multan-1"
    process = run.fleet.processes[restarted]
    ended = threading.Thread(target=process.terminate)
    unanswered = []

    def send_requests(worker):
        for i in range(30):
            prompt = f"shutdown {worker} {i}"
            answer = lf.chat(
                run.callers(restarted), KEYS["drivers"], "review", prompt, stream=i % 2 == 0, max_tokens=32
            )
            if answer is None:
                if process.popen.poll() is None and ended.is_alive():
                    # The connection was refused, which is allowed, or the request was cut off.
                    # The two look the same here, so this list is not checked.
                    unanswered.append(prompt)
                return
            if answer.status == 200 and i % 2 == 0:
                content, complete = lf.stream_content(answer)
                run.oracle.check(11, complete and content == lf.expected_content(prompt, 32), prompt)
            elif answer.status == 200:
                run.oracle.check(11, answer.complete, prompt)
            else:
                run.oracle.check(11, answer.not_run == "true", f"{prompt}: {answer.code}")

    threads = [threading.Thread(target=send_requests, args=(i,)) for i in range(4)]
    for thread in threads:
        thread.start()
    ended.start()
    for thread in threads:
        thread.join()
    ended.join()
    run.oracle.check(11, process.popen.returncode == 0, f"{restarted} exited with status {process.popen.returncode}")
    run.fleet.start_gateway(restarted, GATEWAYS[restarted])
    run.wait_until_in_force([restarted])
    run.check_all()


def phase_engine_dies(run):
    killed = "lahore-e0"
    run.load(lambda: run.fleet.processes[killed].kill(), gateway_may_die=False)
    run.check_all()
    start_engine(run.fleet, killed)
    run.load()
    run.check_all()


def phase_engine_faults(run):
    for mode in ("refuse", "drop", "truncate", "cross"):
        for engine in ("lahore-e1", "multan-e1"):
            run.fleet.fault(engine, mode, 6)
        run.load()
        for engine in ("lahore-e1", "multan-e1"):
            run.fleet.fault(engine, "", 0)
    run.check_all()


def phase_service_faults(run):
    for mode in ("die_before", "die_after", "truncate"):
        run.fleet.fault(SERVICE, mode, 4)
        run.load()
        run.fleet.fault(SERVICE, "", 0)
    run.check_all()


def phase_platform_down(run):
    run.load(lambda: run.fleet.fault("platform", "down"))
    run.load()
    run.fleet.fault("platform", "", 0)
    run.patch_until_accepted("lahore-c", {"policy": {"fairness": 0.6}})
    run.wait_until_in_force()
    run.check_all()


def phase_lost_answers(run):
    run.fleet.fault("platform", "lose_answers", 6)
    run.load()
    before = run.accepted_number
    run.patch_until_accepted("multan-c", {"policy": {"fairness": 0.5}})
    run.oracle.check(12, run.accepted_number == before + 1, f"one patch made {run.accepted_number - before} versions")
    run.fleet.fault("platform", "", 0)
    run.wait_until_in_force()
    run.check_all()


def phase_domain_cut(run):
    """One domain is cut off from the platform; it receives configuration changes from its peers."""
    run.relay.set_cut(True)
    run.load()
    run.patch("lahore-c", {"policy": {"fairness": 0.4}})
    run.wait_until_in_force()
    run.relay.set_cut(False)
    run.check_all()


def phase_operators_race(run):
    """Two operators patch the same version: one succeeds, the other gets status 412."""
    base = run.fleet.call_as_operator("lahore-c", "GET", "/v1/config").headers["etag"]
    answers = {}

    def race(controller, fairness):
        answers[controller] = run.fleet.call_as_operator(
            controller,
            "PATCH",
            "/v1/config",
            {"policy": {"fairness": fairness}},
            {"If-Match": base, "Idempotency-Key": f"race-{controller}"},
        )

    threads = [
        threading.Thread(target=race, args=("lahore-c", 0.31)),
        threading.Thread(target=race, args=("multan-c", 0.32)),
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses = sorted(answer.status for answer in answers.values())
    run.oracle.check(12, statuses == [200, 412], f"racing operators got {statuses}")
    run.accepted_number += 1
    run.wait_until_in_force()


def phase_drain_server(run):
    """A server announces that it is draining; 3 s later it gets no new requests."""
    draining = "lahore-e1"
    lf.call(run.fleet.addresses[draining], "POST", "/drain", {})
    time.sleep(3)
    before = run.report(draining)["requests"]
    run.load()
    after = run.report(draining)["requests"]
    run.oracle.check(10, after == before, f"{after - before} new requests")
    run.check_all()


def start_engine(fleet, name):
    fleet.start_engine(
        name,
        "--memory-bytes",
        str(ENGINE_BYTES),
        "--checks-fencing",
        "false" if name.endswith("e2") else "true",
    )


PHASES = [
    phase_teams,
    phase_rate,
    phase_withdraw,
    phase_deny,
    phase_operators_race,
    phase_version_change,
    phase_kill_gateway,
    phase_pause_gateway,
    phase_graceful_restart,
    phase_engine_dies,
    phase_engine_faults,
    phase_service_faults,
    phase_platform_down,
    phase_lost_answers,
    phase_domain_cut,
    phase_drain_server,
]


def main():
    selected = sys.argv[1:]
    oracle = Oracle()
    with lf.Fleet() as fleet:
        platform = fleet.start_platform()
        relay = Relay(platform)
        for engine in ENGINES:
            start_engine(fleet, engine)
        fleet.start_service(SERVICE)
        for controller, domain in CONTROLLERS.items():
            fleet.start_controller(controller, domain)
        for gateway, domain in GATEWAYS.items():
            fleet.platform_addresses[gateway] = relay.address if domain == "multan" else platform
            fleet.start_gateway(gateway, domain)
        run = Run(fleet, oracle)
        run.relay = relay
        run.patch("lahore-c", configuration(fleet))
        run.wait_until_in_force()
        run.check_all()
        for phase in PHASES:
            if selected and phase.__name__ not in selected:
                continue
            started_at = time.monotonic()
            phase(run)
            print(f"{phase.__name__}: {time.monotonic() - started_at:.1f} s", flush=True)
            ended = [name for name, process in fleet.processes.items() if process.popen.poll() is not None]
            oracle.check(11, not ended, f"exited unexpectedly in {phase.__name__}: {ended}")
        relay.close()
        oracle.print_table()
        return 0 if oracle.passed([] if selected else GUARANTEES) else 1


if __name__ == "__main__":
    sys.exit(main())
