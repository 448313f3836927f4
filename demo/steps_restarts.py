"""Step: a rolling restart of stores while bookings go on."""

import collections
import http.client
import json
import threading
import time

from demo.caller import fetch
from demo.context import check
from demo.context import Demo
from demo.settings_files import Process
from demo.steps_configuration import READY_TIMEOUT_S

CALLERS = 6
RESTART_TIMEOUT_S = 40.0
PAUSE_S = 1.0


class BookingStream:
    """Callers that book in a loop, each booking with a key of its own."""

    def __init__(self, demo: Demo, entries: list[str]) -> None:
        self.outcomes: dict[str, str] = {}
        self._demo = demo
        self._entries = entries
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def __enter__(self) -> "BookingStream":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, caller: int) -> None:
        entry = self._entries[caller % len(self._entries)]
        number = 0
        while not self._stop.is_set():
            applicant = f"restart-{self._demo.run_id}-{caller}-{number}"
            body = {"course": "hojaldre", "applicant": applicant}
            try:
                answer = self._demo.caller.call(
                    entry, "bookings", "POST", body
                )
                outcome = answer.outcome
            except (OSError, http.client.HTTPException):
                outcome = "lost"
            self.outcomes[applicant] = outcome
            number += 1


def stores_restart_in_turn(demo: Demo) -> str:
    """Check that planned restarts of stores cut no request.

    Each booking runs at most once, an answered one exactly once, and one
    that was refused as not run never.
    """
    domain = demo.shape.domain_names[0]
    stores = demo.plan.of("store", domain)
    with BookingStream(demo, demo.entry_addresses(domain)) as stream:
        time.sleep(PAUSE_S)
        for store in stores:
            demo.processes.terminate([store.name])
            codes = demo.processes.wait([store.name], RESTART_TIMEOUT_S)
            check(set(codes.values()) == {0}, f"exit codes: {codes}")
            demo.processes.start(store)
            _wait_ready(demo, store)
            time.sleep(PAUSE_S)
    runs = collections.Counter(
        json.loads(record["body"]).get("applicant", "")
        for record in demo.worker_records("booking")
    )
    outcomes = collections.Counter(stream.outcomes.values())
    allowed = {"answered": {1}, "not-run": {0}}
    for applicant, outcome in stream.outcomes.items():
        check(
            runs[applicant] in allowed.get(outcome, set()),
            f"{applicant} ended as {outcome!r} and ran {runs[applicant]}"
            f" times; all endings: {dict(outcomes)}",
        )
    return (
        f"{len(stores)} stores of {domain} restarted in turn with exit code"
        f" 0; {len(stream.outcomes)} bookings: {dict(outcomes)}, each"
        " answered one ran once"
    )


def _wait_ready(demo: Demo, store: Process) -> None:
    def probe() -> bool:
        return fetch(store.address, "/ready", timeout_s=2).status == 200

    demo.wait_for(f"{store.name} is ready", probe, READY_TIMEOUT_S)
