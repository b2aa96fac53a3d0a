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
from oracle import PROMISES, Oracle
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
        self.live = list(GATEWAYS)
        self.ids = itertools.count()
        self.bookings = {}  # id -> outcome known to the caller
        self.numbers = {}  # gateway -> highest configuration number seen in force
        self.accepted = 0
        self.lock = threading.Lock()

    def callers(self, gateway):
        return self.fleet.addresses[f"{gateway}/callers"]

    # ------------------------------------------------------------- requests

    def chat(self, gateway, stream, lenient):
        """Requests one chat completion; `lenient` if the gateway may die before it answers."""
        number = next(self.ids)
        prompt = f"permit {number}: \u0627\u0631\u062f\u0648"
        model = MODELS[number % len(MODELS)]
        answer = lf.chat(
            self.callers(gateway), KEYS["drivers"], model, prompt, stream, timeout=REQUEST_TIMEOUT_S
        )
        if answer is None:
            self.oracle.check(7, lenient, f"{gateway} sent no answer to {number}")
            return
        if answer.status != 200:
            self.oracle.check(
                2, answer.code not in ("no_server", "model_not_found"), f"{gateway} {model}: {answer.code}"
            )
            return
        self.oracle.check(2, True)
        expected = lf.expected_content(prompt)
        if not stream:
            whole = answer.whole and lf.answer_content(answer) == expected
            self.oracle.check(7, whole or (lenient and not answer.whole), f"{gateway} {number}")
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
            others = [name for name in self.live if name != gateway]
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
            mine = answer.whole and answer.json()["id"] == identity
            self.oracle.check(7, mine, f"{gateway} {identity}: {answer.body!r}")
            return "done"
        return "not run" if answer.not_run == "true" else "unknown"

    def look_up(self, gateway, lenient):
        identity = f"lookup-{next(self.ids)}"
        answer = lf.call(
            self.callers(gateway),
            "GET",
            f"/desk/status/{identity}",
            headers={"Authorization": f"Bearer {KEYS['clerks']}"},
            timeout=REQUEST_TIMEOUT_S,
        )
        if answer is not None and answer.status == 200:
            self.oracle.check(7, answer.whole and identity in answer.json()["id"], identity)
        elif answer is None:
            self.oracle.check(7, lenient, f"{gateway} sent no answer to {identity}")

    def send_one(self, position, lenient):
        gateway = self.live[position % len(self.live)]
        kind = position % 8
        if kind in (0, 2, 4):
            self.chat(gateway, False, lenient)
        elif kind in (1, 5):
            self.chat(gateway, True, lenient)
        elif kind == 3:
            self.book(gateway, True)
        elif kind == 6:
            self.book(gateway, False)
        else:
            self.look_up(gateway, lenient)

    def load(self, fault=None, lenient=False, requests=PHASE_REQUESTS):
        """Sends a fixed number of requests; triggers the fault after a third of them."""
        positions = itertools.count()
        fault_due = threading.Event()

        def work():
            while (position := next(positions)) < requests:
                if position == requests // 3:
                    fault_due.set()
                self.send_one(position, lenient)

        workers = [threading.Thread(target=work) for _ in range(WORKERS)]
        for worker in workers:
            worker.start()
        if fault is not None:
            fault_due.wait()
            fault()
        for worker in workers:
            worker.join()

    # --------------------------------------------------------------- checks

    def note_numbers(self):
        for gateway in self.live:
            number = self.fleet.number_in_force(gateway)
            if number >= 0:
                highest = self.numbers.get(gateway, 0)
                self.oracle.check(12, number >= highest, f"{gateway} went from {highest} to {number}")
                self.numbers[gateway] = max(number, highest)

    def patch(self, controller, patch):
        answer = self.fleet.patch(controller, patch)
        assert answer is not None and answer.status == 200, answer and answer.body
        self.accepted = answer.json()["number"]

    def patch_until_accepted(self, controller, patch):
        """Repeats a patch under the same id until its record shows that it was accepted."""
        patch_id = f"sure-{next(self.ids)}"

        def accepted():
            current = self.fleet.operator(controller, "GET", "/v1/config")
            if current is None or current.status != 200:
                return None
            self.fleet.operator(
                controller,
                "PATCH",
                "/v1/config",
                patch,
                {"If-Match": current.headers["etag"], "Idempotency-Key": patch_id},
            )
            answer = self.fleet.operator(controller, "GET", f"/v1/patches/{patch_id}")
            return answer if answer is not None and answer.status == 200 else None

        self.accepted = lf.wait_until(accepted, "the patch is accepted").json()["number"]

    def await_in_force(self, gateways=None):
        for gateway in gateways or self.live:
            try:
                lf.wait_until(
                    lambda: self.fleet.number_in_force(gateway) >= self.accepted,
                    f"{gateway} has {self.accepted} in force",
                )
                self.oracle.check(12, True)
            except TimeoutError as error:
                self.oracle.check(12, False, str(error))
        self.note_numbers()

    def await_reachable(self):
        """Waits until each model and adapter answers through each live gateway."""
        for gateway, model in itertools.product(self.live, MODELS + ["urdu"]):
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
            clean = not any(key in header for key in KEYS.values())
            clean = clean and not header.lower().startswith(("authorization", "cookie", "x-api-key"))
            self.oracle.check(4, clean, f"{server} saw {header}")

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

    def settle(self):
        self.await_reachable()
        self.note_numbers()
        self.check_engines()
        self.check_bookings()


# ------------------------------------------------------------------- phases


def phase_teams(run):
    """Requests for another team's models or services, or without a valid key, are refused."""
    for gateway in run.live:
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
    spent = []
    lock = threading.Lock()
    begun = time.monotonic()

    def ask(gateway):
        for _ in range(8):
            answer = lf.chat(run.callers(gateway), KEYS["greedy"], "review", "more", max_tokens=64)
            if answer is not None and answer.status == 200:
                with lock:
                    spent.append(answer.json()["usage"]["total_tokens"])
            elif answer is not None:
                run.oracle.check(8, answer.not_run == "true", f"{answer.code} without figwell-not-run")

    threads = [threading.Thread(target=ask, args=(gateway,)) for gateway in run.live]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    allowed = GREEDY_BURST + GREEDY_RATE * (time.monotonic() - begun)
    run.oracle.check(6, 0 < sum(spent) <= allowed, f"{sum(spent)} of {allowed}")


def phase_withdraw(run):
    """A key is withdrawn while its callers stay connected."""
    run.patch("lahore-c", {"teams": {"drivers": {"keys": {"extra": {"sha256": lf.digest_of("key-extra")}}}}})
    run.await_in_force()
    for gateway in run.live:
        answer = lf.chat(run.callers(gateway), "key-extra", "review", "before")
        run.oracle.check(5, answer is not None and answer.status == 200, f"{gateway} before the withdrawal")
    run.patch("multan-c", {"teams": {"drivers": {"keys": {"extra": None}}}})
    run.await_in_force()
    for gateway in run.live:
        for _ in range(3):
            answer = lf.chat(run.callers(gateway), "key-extra", "review", "after")
            run.oracle.check(5, answer is not None and answer.code == "unknown_key", gateway)


def phase_deny(run):
    """A key is denied at one gateway while the platform is down."""
    key = "key-to-deny"
    run.patch("lahore-c", {"teams": {"drivers": {"keys": {"deny": {"sha256": lf.digest_of(key)}}}}})
    run.await_in_force()
    run.fleet.fault("platform", "down")
    answer = run.fleet.operator("lahore-1", "POST", "/v1/deny", {"sha256": lf.digest_of(key)})
    run.oracle.check(5, answer is not None and answer.status == 200, "the denial is accepted")
    for gateway in run.live:

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
    run.await_in_force()


def phase_version_change(run):
    """One patch replaces a model's only version while callers use it."""
    change = {"models": {"letters": {"versions": {"1": None, "2": {"bytes": MODEL_BYTES}}, "default_version": "2"}}}
    run.load(lambda: run.patch("lahore-c", change))
    run.await_in_force()
    run.load()

    def all_new():
        reports = [run.report(engine) for engine in ENGINES]
        held = [r for report in reports for r in report["resident"] if r["model"] == "letters"]
        return held and all(r["version"] == "2" and r["state"] == "ready" for r in held)

    lf.wait_until(all_new, "only the new version is held")
    run.load()
    run.settle()


def phase_kill_gateway(run):
    victim = "lahore-2"
    run.load(lambda: run.fleet.processes[victim].kill(), lenient=True)
    run.live.remove(victim)
    run.load()
    run.fleet.start_gateway(victim, GATEWAYS[victim])
    run.await_in_force([victim])
    run.live.append(victim)
    run.settle()


def phase_pause_gateway(run):
    victim = "multan-2"
    run.live.remove(victim)
    run.fleet.processes[victim].send(signal.SIGSTOP)
    run.load()
    run.patch("lahore-c", {"policy": {"fairness": 0.7}})
    run.fleet.processes[victim].send(signal.SIGCONT)
    run.live.append(victim)
    run.await_in_force()
    run.settle()


def phase_graceful_restart(run):
    """SIGTERM under load: the gateway answers every request that it received."""
    victim = "multan-1"
    process = run.fleet.processes[victim]
    ended = threading.Thread(target=process.terminate)
    cut_off = []

    def ask(worker):
        for i in range(30):
            prompt = f"shutdown {worker} {i}"
            answer = lf.chat(run.callers(victim), KEYS["drivers"], "review", prompt, stream=i % 2 == 0, max_tokens=32)
            if answer is None:
                if process.popen.poll() is None and ended.is_alive():
                    # The connection was refused, which is allowed, or the request was cut off.
                    # The two look the same here, so this list is not checked.
                    cut_off.append(prompt)
                return
            if answer.status == 200 and i % 2 == 0:
                content, complete = lf.stream_content(answer)
                run.oracle.check(11, complete and content == lf.expected_content(prompt, 32), prompt)
            elif answer.status == 200:
                run.oracle.check(11, answer.whole, prompt)
            else:
                run.oracle.check(11, answer.not_run == "true", f"{prompt}: {answer.code}")

    threads = [threading.Thread(target=ask, args=(i,)) for i in range(4)]
    for thread in threads:
        thread.start()
    ended.start()
    for thread in threads:
        thread.join()
    ended.join()
    run.oracle.check(11, process.popen.returncode == 0, f"{victim} exited with status {process.popen.returncode}")
    run.fleet.start_gateway(victim, GATEWAYS[victim])
    run.await_in_force([victim])
    run.settle()


def phase_engine_dies(run):
    victim = "lahore-e0"
    run.load(lambda: run.fleet.processes[victim].kill(), lenient=False)
    run.settle()
    start_engine(run.fleet, victim)
    run.load()
    run.settle()


def phase_engine_faults(run):
    for mode in ("refuse", "drop", "truncate", "cross"):
        for engine in ("lahore-e1", "multan-e1"):
            run.fleet.fault(engine, mode, 6)
        run.load()
        for engine in ("lahore-e1", "multan-e1"):
            run.fleet.fault(engine, "", 0)
    run.settle()


def phase_service_faults(run):
    for mode in ("die_before", "die_after", "truncate"):
        run.fleet.fault(SERVICE, mode, 4)
        run.load()
        run.fleet.fault(SERVICE, "", 0)
    run.settle()


def phase_platform_down(run):
    run.load(lambda: run.fleet.fault("platform", "down"))
    run.load()
    run.fleet.fault("platform", "", 0)
    run.patch_until_accepted("lahore-c", {"policy": {"fairness": 0.6}})
    run.await_in_force()
    run.settle()


def phase_lost_answers(run):
    run.fleet.fault("platform", "lose_answers", 6)
    run.load()
    before = run.accepted
    run.patch_until_accepted("multan-c", {"policy": {"fairness": 0.5}})
    run.oracle.check(12, run.accepted == before + 1, f"one patch made {run.accepted - before} versions")
    run.fleet.fault("platform", "", 0)
    run.await_in_force()
    run.settle()


def phase_domain_cut(run):
    """One domain is cut off from the platform; it receives configuration changes from its peers."""
    run.relay.set_cut(True)
    run.load()
    run.patch("lahore-c", {"policy": {"fairness": 0.4}})
    run.await_in_force()
    run.relay.set_cut(False)
    run.settle()


def phase_operators_race(run):
    """Two operators patch the same version: one succeeds, the other gets status 412."""
    base = run.fleet.operator("lahore-c", "GET", "/v1/config").headers["etag"]
    answers = {}

    def race(controller, fairness):
        answers[controller] = run.fleet.operator(
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
    run.accepted += 1
    run.await_in_force()


def phase_drain_server(run):
    """A server announces that it is draining; 3 s later it gets no new requests."""
    victim = "lahore-e1"
    lf.call(run.fleet.addresses[victim], "POST", "/drain", {})
    time.sleep(3)
    before = run.report(victim)["requests"]
    run.load()
    after = run.report(victim)["requests"]
    run.oracle.check(10, after == before, f"{after - before} new requests")
    run.settle()


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
    wanted = sys.argv[1:]
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
            fleet.platform_of[gateway] = relay.address if domain == "multan" else platform
            fleet.start_gateway(gateway, domain)
        run = Run(fleet, oracle)
        run.relay = relay
        run.patch("lahore-c", configuration(fleet))
        run.await_in_force()
        run.settle()
        for phase in PHASES:
            if wanted and phase.__name__ not in wanted:
                continue
            begun = time.monotonic()
            phase(run)
            print(f"{phase.__name__}: {time.monotonic() - begun:.1f} s", flush=True)
            ended = [name for name, process in fleet.processes.items() if process.popen.poll() is not None]
            oracle.check(11, not ended, f"exited unexpectedly in {phase.__name__}: {ended}")
        relay.close()
        oracle.print_table()
        return 0 if oracle.verdict([] if wanted else PROMISES) else 1


if __name__ == "__main__":
    sys.exit(main())
