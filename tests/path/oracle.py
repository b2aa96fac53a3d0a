"""The guarantees that must hold throughout a run; each answer is checked against them."""

import collections
import threading

PROMISES = [
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
        self.tried = collections.Counter()
        self.broken = collections.Counter()
        self.reports = []

    def check(self, promise, holds, what=""):
        name = PROMISES[promise - 1]
        with self.lock:
            self.tried[name] += 1
            if not holds:
                self.broken[name] += 1
                if len(self.reports) < 40:
                    self.reports.append(f"{name}: {what}")
        return holds

    def print_table(self):
        print(f"{'promise':<70} {'tried':>7} {'broken':>7}")
        for name in PROMISES:
            print(f"{name:<70} {self.tried[name]:>7} {self.broken[name]:>7}")
        for report in self.reports:
            print("broken:", report)

    def verdict(self, expected=PROMISES):
        """True if every expected guarantee was checked and no guarantee was violated."""
        untried = [name for name in expected if self.tried[name] == 0]
        for name in untried:
            print("never tried:", name)
        return not untried and not self.broken
