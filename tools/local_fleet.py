"""Starts figwell and its fakes on loopback, for the demo, the path tests and benchmarks.

Every process gets a free port, writes its log to a temporary directory and is
ended by its process id. Only Python's standard library is used.
"""

import hashlib
import http.client
import json
import os
import pathlib
import re
import secrets
import shutil
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("FIGWELL_BIN", ROOT / "build" / "bin"))

START_TIMEOUT_S = float(os.environ.get("FIGWELL_PATH_TIMEOUT_S", 60))
POLL_INTERVAL_S = 0.02


class Answer:
    """An HTTP answer; `complete` is false if the connection closed before its end."""

    def __init__(self, status, headers, body, complete=True):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body
        self.complete = complete

    def json(self):
        return json.loads(self.body)

    @property
    def code(self):
        try:
            return self.json()["error"]["code"]
        except (ValueError, KeyError, TypeError):
            return ""

    @property
    def not_run(self):
        return self.headers.get("figwell-not-run", "")


def call(address, method, path, body=None, headers=None, timeout=60):
    """Sends one request; returns an Answer, or None if no complete response head arrived."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        data = body
        if body is not None and not isinstance(body, (bytes, str)):
            data = json.dumps(body)
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        try:
            return Answer(response.status, response.getheaders(), response.read())
        except http.client.IncompleteRead as error:
            return Answer(response.status, response.getheaders(), error.partial, False)
        except OSError:
            return Answer(response.status, response.getheaders(), b"", False)
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def wait_until(condition, description, timeout=START_TIMEOUT_S):
    """Polls a condition until it holds; the timeout only ends a run that hangs."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"timed out waiting until: {description}")


class Process:
    """A started program with its log."""

    def __init__(self, name, argv, folder):
        self.name = name
        self.argv = argv
        self.log_path = folder / f"{name}.log"
        with open(self.log_path, "ab") as log:
            # A session of its own: see Process in platform/soak/fleet.py.
            self.popen = subprocess.Popen(
                argv, stdout=log, stderr=log, cwd=folder, start_new_session=True
            )

    def log(self):
        return self.log_path.read_text(errors="replace")

    def wait_for_log(self, pattern):
        def search():
            match = re.search(pattern, self.log())
            if match is None and self.popen.poll() is not None:
                raise RuntimeError(f"{self.name} ended:\n{self.log()}")
            return match

        return wait_until(search, f"{self.name}: {pattern}")

    def send_signal(self, signal_number):
        if self.popen.poll() is None:
            os.kill(self.popen.pid, signal_number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self, timeout=60):
        self.send_signal(signal.SIGTERM)
        return self.popen.wait(timeout)


class Fleet:
    """A fake platform, fake servers and daemons; as a context manager it kills all on exit."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figwell-"))
        self.processes = {}
        self.addresses = {}
        self.operator_token = secrets.token_hex(16)
        (self.folder / "peers.secret").write_text(secrets.token_hex(32))
        (self.folder / "operator.token").write_text(self.operator_token)
        # Daemons use the platform's own address unless this holds another (a relay's).
        self.platform_addresses = {}

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.popen.wait()
        if kind is not None and os.environ.get("FIGWELL_KEEP_LOGS"):
            print(f"logs are kept in {self.folder}")
            return
        if kind is not None:
            for process in self.processes.values():
                print(f"--- {process.name}, last lines")
                print("\n".join(process.log().splitlines()[-15:]))
        shutil.rmtree(self.folder, ignore_errors=True)

    # ------------------------------------------------------------- starting

    def _start(self, name, argv):
        process = Process(name, [str(part) for part in argv], self.folder)
        self.processes[name] = process
        return process

    def start_fake(self, name, program, *arguments):
        listen = self.addresses.get(name, "127.0.0.1:0")
        process = self._start(
            name, [BIN / f"figwell-fake-{program}", "--listen", listen, *arguments]
        )
        pattern = r"listening (\S+)"
        process.wait_for_log(pattern)
        self.addresses[name] = re.findall(pattern, process.log())[-1]
        return self.addresses[name]

    def start_platform(self):
        return self.start_fake("platform", "platform")

    def start_engine(self, name, *arguments):
        return self.start_fake(name, "engine", *arguments)

    def start_service(self, name):
        return self.start_fake(name, "service")

    def _settings(self, name, domain, callers, threads):
        seeds = [a for n, a in self.addresses.items() if n.endswith("/peers") and not n.startswith(name + "/")]
        digest = hashlib.sha256(self.operator_token.encode()).hexdigest()
        lines = [
            f"instance: {name}",
            f"failure_domain: {domain}",
            "platform:",
            f"  endpoints: [{self.platform_addresses.get(name, self.addresses['platform'])}]",
            "  prefix: /figwell/",
            "listen:",
        ]
        if callers:
            lines.append(f"  callers: {self.addresses.get(name + '/callers', '127.0.0.1:0')}")
        lines += [
            f"  admin: {self.addresses.get(name + '/admin', '127.0.0.1:0')}",
            f"  peers: {self.addresses.get(name + '/peers', '127.0.0.1:0')}",
            "peers:",
            f"  seeds: [{', '.join(seeds)}]",
            "  secret_file: peers.secret",
            "operators:",
            f'  - {{name: amina, token_sha256: "{digest}"}}',
            f"threads: {threads}",
            "log: {level: info, format: text}",
        ]
        path = self.folder / f"{name}.yaml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def _start_daemon(self, name, program, domain, listeners, threads):
        settings = self._settings(name, domain, "callers" in listeners, threads)
        offset = 0
        log_path = self.folder / f"{name}.log"
        if log_path.exists():
            offset = log_path.stat().st_size
        process = self._start(name, [BIN / program, "--settings", settings])
        for listener in listeners:
            pattern = rf'listener="{listener}" address="([^"]+)"'

            def find_address():
                if process.popen.poll() is not None:
                    raise RuntimeError(f"{name} ended:\n{process.log()}")
                return re.search(pattern, process.log()[offset:])

            match = wait_until(find_address, f"{name} listens as {listener}")
            self.addresses[f"{name}/{listener}"] = match.group(1)
        return process

    def start_gateway(self, name, domain, threads=2):
        return self._start_daemon(
            name, "figwell-gateway", domain, ["callers", "admin", "peers"], threads
        )

    def start_controller(self, name, domain):
        return self._start_daemon(name, "figwell-controller", domain, ["admin", "peers"], 1)

    # ------------------------------------------------------------ operating

    def ctl(self, controller, *arguments, check=True):
        """Runs figwellctl against a controller and returns its output."""
        result = subprocess.run(
            [
                str(BIN / "figwellctl"),
                "--admin",
                self.addresses[f"{controller}/admin"],
                "--token-file",
                str(self.folder / "operator.token"),
                *arguments,
            ],
            capture_output=True,
            text=True,
            cwd=self.folder,
            check=False,
        )
        if check and result.returncode != 0:
            raise RuntimeError(f"figwellctl {arguments}: {result.stdout}{result.stderr}")
        return result

    def call_as_operator(self, daemon, method, path, body=None, headers=None):
        return call(
            self.addresses[f"{daemon}/admin"],
            method,
            path,
            body,
            {"Authorization": f"Bearer {self.operator_token}", **(headers or {})},
        )

    def patch(self, controller, patch, patch_id=None):
        """Applies a merge patch to the current version; returns the Answer."""
        current = self.call_as_operator(controller, "GET", "/v1/config")
        return self.call_as_operator(
            controller,
            "PATCH",
            "/v1/config",
            patch,
            {
                "If-Match": current.headers["etag"],
                "Idempotency-Key": patch_id or secrets.token_hex(8),
                "Content-Type": "application/merge-patch+json",
            },
        )

    def fault(self, name, mode, count=-1, delay_ms=0):
        answer = call(
            self.addresses[name],
            "POST",
            "/fault",
            {"mode": mode, "count": count, "delay_ms": delay_ms},
        )
        assert answer is not None and answer.status == 200, name

    def config_number_in_force(self, daemon):
        """The number of the configuration in force at a daemon; -1 if unknown."""
        metrics = call(self.addresses[f"{daemon}/admin"], "GET", "/metrics")
        if metrics is None:
            return -1
        match = re.search(rb"^figwell_config_number (\d+)", metrics.body, re.M)
        return int(match.group(1)) if match else -1

    def counter(self, daemon, series):
        """The value of one metric series of a daemon; 0 if it is absent."""
        metrics = call(self.addresses[f"{daemon}/admin"], "GET", "/metrics")
        for line in metrics.body.decode().splitlines():
            if line.startswith(series + " "):
                return float(line.rsplit(" ", 1)[1])
        return 0.0


def digest_of(key):
    return hashlib.sha256(key.encode()).hexdigest()


def chat(address, key, model, prompt, stream=False, headers=None, max_tokens=8, timeout=60):
    """Requests one chat completion through a gateway."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    }
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    if key is not None:
        all_headers["Authorization"] = f"Bearer {key}"
    return call(address, "POST", "/v1/chat/completions", body, all_headers, timeout)


def expected_content(prompt, max_tokens=8):
    """What the fake engine answers to a prompt, token for token."""
    messages = json.dumps(
        [{"role": "user", "content": prompt}], separators=(",", ":"), ensure_ascii=False
    )
    digest = hashlib.sha256(messages.encode()).hexdigest()
    tokens = [digest]
    for i in range(1, max_tokens):
        start = i % 50
        tokens.append(f" {digest[start:start + 4]}{i}")
    return "".join(tokens)


def stream_content(answer):
    """The content of an event stream, and whether the stream is complete (ended with `[DONE]`)."""
    content, ended = "", False
    for line in answer.body.decode().splitlines():
        if line == "data: [DONE]":
            ended = True
        elif line.startswith("data: "):
            event = json.loads(line[len("data: "):])
            for choice in event.get("choices", []):
                content += choice.get("delta", {}).get("content", "")
    return content, ended and answer.complete


def answer_content(answer):
    return answer.json()["choices"][0]["message"]["content"]
