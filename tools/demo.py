"""Starts a small fleet on loopback, sends requests to it and prints every answer."""

import concurrent.futures
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import local_fleet as lf

EXAMPLE = lf.ROOT / "examples" / "rahnuma" / "configuration.json"
DOMAINS = ["lahore", "faisalabad"]
ENGINES_PER_DOMAIN = 4
OVER_RATE_REQUESTS = 12


def show(title, answer):
    print(f"\n== {title}")
    if answer is None:
        print("no answer")
        return answer
    extra = {
        name: value
        for name, value in answer.headers.items()
        if name in ("figwell-not-run", "figwell-replayed", "retry-after", "x-request-id")
    }
    text = answer.body.decode(errors="replace")
    print(f"{answer.status} {extra if extra else ''}")
    print(text if len(text) < 700 else text[:350] + " ... " + text[-250:])
    return answer


def demo_configuration(fleet):
    """A configuration with the example's models and policy, and the demo's own servers and teams."""
    example = json.loads(EXAMPLE.read_text())
    models = dict(list(example["models"].items())[:6])
    model_names = list(models)
    servers = {}
    for domain in DOMAINS:
        for i in range(ENGINES_PER_DOMAIN):
            name = f"{domain}-e{i}"
            servers[name] = {
                "failure_domain": domain,
                "address": fleet.addresses[name],
                "accelerators": 8,
                "memory_bytes": 320_000_000_000,
                "checks_fencing": i % 2 == 0,
                "pool": next(iter(models.values())).get("pool", ""),
            }
    servers["desk-1"] = {
        "failure_domain": DOMAINS[0],
        "address": fleet.addresses["desk"],
        "accelerators": 1,
        "memory_bytes": 0,
        "pool": "desk",
    }
    for model in models.values():
        model["pool"] = next(iter(models.values())).get("pool", "")
        model["adapters"] = dict(list(model.get("adapters", {}).items())[:2])

    def team(rate, burst, key):
        return {
            "rate": rate,
            "burst": burst,
            "models": model_names,
            "services": ["desk"],
            "keys": {"demo": {"sha256": lf.digest_of(key)}},
        }

    return {
        "domains": {domain: {"region": "punjab", "units": 340} for domain in DOMAINS},
        "models": models,
        "servers": servers,
        "services": {
            "desk": {
                "path": "/desk/",
                "servers": ["desk-1"],
                "idempotent": {"GET": True, "POST": False},
            }
        },
        "teams": {
            "drivers": team(20_000, 200_000, "key-of-drivers"),
            "busy": team(300, 4_000, "key-of-busy"),
        },
        "policy": example["policy"],
        "weight_store": {"loads_per_second": 50, "loads_at_once": 17, "adapters_at_once": 140},
    }


def find_adapter(configuration):
    for model in configuration["models"].values():
        for adapter in model["adapters"]:
            return adapter
    return None


def main():
    with lf.Fleet() as fleet:
        fleet.start_platform()
        for domain in DOMAINS:
            for i in range(ENGINES_PER_DOMAIN):
                fleet.start_engine(
                    f"{domain}-e{i}",
                    "--memory-bytes",
                    "320000000000",
                    "--checks-fencing",
                    "true" if i % 2 == 0 else "false",
                )
        fleet.start_service("desk")
        for domain in DOMAINS:
            fleet.start_controller(f"{domain}-c", domain)
        gateways = [f"{domain}-{i}" for domain in DOMAINS for i in (1, 2)]
        for gateway in gateways:
            fleet.start_gateway(gateway, gateway.rsplit("-", 1)[0])

        configuration = demo_configuration(fleet)
        path = fleet.folder / "patch.json"
        path.write_text(json.dumps(configuration))
        print("== figwellctl config patch")
        print(fleet.ctl("lahore-c", "config", "patch", str(path)).stdout)

        key = "key-of-drivers"
        model = next(iter(configuration["models"]))
        adapter = find_adapter(configuration)
        callers = [fleet.addresses[f"{gateway}/callers"] for gateway in gateways]
        for gateway in gateways:
            lf.wait_until(lambda: fleet.config_number_in_force(gateway) >= 1, f"{gateway} has a configuration in force")

        def is_served(address, name):
            answer = lf.chat(address, key, name, "ready?")
            return answer is not None and answer.status == 200

        for address in callers:
            for name in filter(None, [model, adapter]):
                lf.wait_until(lambda: is_served(address, name), f"{name} is served")

        show("a chat completion", lf.chat(callers[0], key, model, "Summarise the permit."))
        show("the same, streamed", lf.chat(callers[1], key, model, "Summarise the permit.", stream=True))
        show(f"the adapter {adapter}", lf.chat(callers[2], key, adapter, "Draft the letter."))

        headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": "fee-1"}
        show(
            "a fee that may not be recorded twice",
            lf.call(callers[0], "POST", "/desk/fees", {"id": "fee-1"}, headers),
        )
        show(
            "the caller repeats it at a gateway of another domain",
            lf.call(callers[3], "POST", "/desk/fees", {"id": "fee-1"}, headers),
        )
        executions = lf.call(fleet.addresses["desk"], "GET", "/executions").json()["executions"]
        print(f"executions of fee-1: {executions.get('fee-1')}")

        def send_as_busy(position):
            return lf.chat(callers[position % len(callers)], "key-of-busy", model, "again", max_tokens=900)

        with concurrent.futures.ThreadPoolExecutor(OVER_RATE_REQUESTS) as pool:
            busy_answers = list(pool.map(send_as_busy, range(OVER_RATE_REQUESTS)))
        refusals = [answer for answer in busy_answers if answer is None or answer.status != 200]
        served = OVER_RATE_REQUESTS - len(refusals)
        refused = refusals[-1] if refusals else None
        show(f"a team over its rate ({served} of {OVER_RATE_REQUESTS} served), its last refusal", refused)

        print("\n== figwellctl key withdraw drivers demo")
        print(fleet.ctl("faisalabad-c", "key", "withdraw", "drivers", "demo").stdout)
        for gateway in gateways:
            lf.wait_until(lambda: fleet.config_number_in_force(gateway) >= 2, f"{gateway} has the withdrawal in force")
        show("the withdrawn key", lf.chat(callers[1], key, model, "Still there?"))

        print("\n== figwellctl status")
        print(fleet.ctl("lahore-c", "status").stdout)
        print("== counters of lahore-1 above 0")
        metrics = lf.call(fleet.addresses["lahore-1/admin"], "GET", "/metrics").body.decode()
        for line in metrics.splitlines():
            if not line.startswith("#") and not line.endswith(" 0"):
                print(line)
    print("\nall processes have ended")
    return 0


if __name__ == "__main__":
    sys.exit(main())
