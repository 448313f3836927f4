"""Step: rolling restart of stores while bookings continue."""

import collections
import http.client
import json
import threading
import time

from demo.caller import fetch
from demo.context import check
from demo.context import DemoContext
from demo.settings_files import ProcessSpec
from demo.steps_configuration import READY_TIMEOUT_S

CALLER_COUNT = 6
RESTART_TIMEOUT_S = 40.0
RESTART_PAUSE_S = 1.0


class BookingLoad:
    """Concurrent callers that send bookings in a loop.

    `outcomes` maps the applicant, which is unique to each booking, to the
    outcome.
    """

    def __init__(self, demo: DemoContext, entries: list[str]) -> None:
        self.outcomes: dict[str, str] = {}
        self._demo = demo
        self._entries = entries
        self._stop_event = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._send_bookings, args=(number,), daemon=True
            )
            for number in range(CALLER_COUNT)
        ]

    def __enter__(self) -> "BookingLoad":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stop_event.set()
        for thread in self._threads:
            thread.join()

    def _send_bookings(self, caller_index: int) -> None:
        entry = self._entries[caller_index % len(self._entries)]
        number = 0
        while not self._stop_event.is_set():
            applicant = f"restart-{self._demo.run_id}-{caller_index}-{number}"
            body = {"course": "hojaldre", "applicant": applicant}
            try:
                response = self._demo.caller.call(
                    entry, "bookings", "POST", body
                )
                outcome = response.outcome
            except (OSError, http.client.HTTPException):
                outcome = "lost"
            self.outcomes[applicant] = outcome
            number += 1


def stores_restart_one_by_one(demo: DemoContext) -> str:
    """Check that a rolling restart of stores interrupts no request.

    Each booking runs at most once: exactly once if it was answered, and
    never if its outcome is ``not-run``. No other outcome is allowed.
    """
    domain = demo.shape.domain_names[0]
    stores = demo.plan.processes_of("store", domain)
    with BookingLoad(demo, demo.entry_addresses(domain)) as load:
        time.sleep(RESTART_PAUSE_S)
        for store in stores:
            demo.processes.terminate([store.name])
            exit_codes = demo.processes.wait([store.name], RESTART_TIMEOUT_S)
            check(
                set(exit_codes.values()) == {0},
                f"exit codes are not 0: {exit_codes}",
            )
            demo.processes.start(store)
            _wait_ready(demo, store)
            time.sleep(RESTART_PAUSE_S)
    run_counts = collections.Counter(
        json.loads(record["body"]).get("applicant", "")
        for record in demo.worker_records("booking")
    )
    outcomes = collections.Counter(load.outcomes.values())
    allowed_run_counts = {"answered": {1}, "not-run": {0}}
    for applicant, outcome in load.outcomes.items():
        check(
            run_counts[applicant] in allowed_run_counts.get(outcome, set()),
            f"{applicant} has outcome {outcome!r} and ran "
            f"{run_counts[applicant]} times; all outcomes: {dict(outcomes)}",
        )
    return (
        f"{len(stores)} stores of {domain} restarted one by one with exit code"
        f" 0; {len(load.outcomes)} bookings: {dict(outcomes)}, each"
        " answered one ran once"
    )


def _wait_ready(demo: DemoContext, store: ProcessSpec) -> None:
    def probe() -> bool:
        return fetch(store.address, "/ready", timeout_s=2).status == 200

    demo.wait_for(f"{store.name} is ready", probe, READY_TIMEOUT_S)
