"""The guarantees that must hold throughout a run; each answer is checked against them."""

import collections
import threading

GUARANTEES = [
    "memory is never overcommitted",
    "every model stays reachable",
    "a request runs only for its key's team",
    "no backend server sees a key",
    "a withdrawn key stops working",
    "no team gets more than its rate and burst",
    "a caller gets the whole answer to its own request",
    "a refusal that says not run is true",
    "a non-idempotent request runs at most once",
    "a leaving server gets no new work",
    "a graceful shutdown cuts off no request",
    "an accepted configuration is in force everywhere and never reverts",
]


class Oracle:
    """Counts how often each guarantee was checked and how often it was violated."""

    def __init__(self):
        self.lock = threading.Lock()
        self.checks = collections.Counter()
        self.violations = collections.Counter()
        self.failures = []

    def check(self, guarantee, holds, details=""):
        name = GUARANTEES[guarantee - 1]
        with self.lock:
            self.checks[name] += 1
            if not holds:
                self.violations[name] += 1
                if len(self.failures) < 40:
                    self.failures.append(f"{name}: {details}")
        return holds

    def print_table(self):
        print(f"{'promise':<70} {'tried':>7} {'broken':>7}")
        for name in GUARANTEES:
            print(f"{name:<70} {self.checks[name]:>7} {self.violations[name]:>7}")
        for failure in self.failures:
            print("broken:", failure)

    def passed(self, expected=GUARANTEES):
        """True if every expected guarantee was checked and no guarantee was violated."""
        unchecked = [name for name in expected if self.checks[name] == 0]
        for name in unchecked:
            print("never tried:", name)
        return not unchecked and not self.violations
