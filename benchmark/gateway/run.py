"""Measures the gateway's overhead: the same load through it and directly to an engine.

Prints both latencies, the gateway's CPU time per request and its memory at three
rates. Run it on an otherwise idle machine.
"""

import json
import os
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import local_fleet as lf

KEY = "key-of-drivers"
RATES = [100, 200, 400]
LOAD_SECONDS = 6
MAX_TOKENS = 16
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def configuration(address):
    return {
        "domains": {"lahore": {"units": 100}},
        "models": {"review": {"versions": {"1": {"bytes": 10}}, "default_version": "1", "max_tokens": 64, "pool": "m"}},
        "servers": {
            "e": {
                "failure_domain": "lahore",
                "address": address,
                "accelerators": 64,
                "memory_bytes": 1000,
                "checks_fencing": True,
                "pool": "m",
            }
        },
        "teams": {
            "drivers": {
                "rate": 10_000_000,
                "burst": 100_000_000,
                "models": ["review"],
                "keys": {"k": {"sha256": lf.digest_of(KEY)}},
            }
        },
    }


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(process):
    status = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def run_load(address, model, rate, stream_share):
    result = subprocess.run(
        [
            str(lf.BIN / "figwell-load"),
            "--target", address,
            "--caller", f"drivers:{KEY}",
            "--model", model,
            "--rate", str(rate),
            "--requests", str(rate * LOAD_SECONDS),
            "--stream-share", str(stream_share),
            "--max-tokens", str(MAX_TOKENS),
            "--output", "json",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(result.stdout)


def main():
    with lf.Fleet() as fleet:
        fleet.start_platform()
        engine = fleet.start_engine("e", "--slots", "1000")
        fleet.start_controller("c", "lahore")
        gateway = fleet.start_gateway("g", "lahore", threads=2)
        assert fleet.patch("c", configuration(engine)).status == 200
        callers = fleet.addresses["g/callers"]

        def gateway_serves():
            answer = lf.chat(callers, KEY, "review", "ready?")
            return answer is not None and answer.status == 200

        lf.wait_until(gateway_serves, "the gateway serves")
        print(f"{'answers':<10}{'rate/s':>8}{'direct p50/p99 ms':>20}{'gateway p50/p99 ms':>20}"
              f"{'CPU ms/request':>16}{'MB':>8}  faults")
        for name, stream_share in (("whole", 0.0), ("streamed", 1.0)):
            for rate in RATES:
                direct = run_load(engine, "review:1", rate, stream_share)
                before = cpu_seconds(gateway)
                via_gateway = run_load(callers, "review", rate, stream_share)
                cpu = 1000 * (cpu_seconds(gateway) - before) / (rate * LOAD_SECONDS)
                direct_ms, gateway_ms = direct["whole_ms"], via_gateway["whole_ms"]
                print(
                    f"{name:<10}{rate:>8}{direct_ms['p50']:>12.2f} /{direct_ms['p99']:>6.2f}"
                    f"{gateway_ms['p50']:>12.2f} /{gateway_ms['p99']:>6.2f}"
                    f"{cpu:>16.3f}{resident_mb(gateway):>8.1f}  {via_gateway['faults'] or 'none'}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
