"""Steps for state dumps and graceful shutdown."""

import subprocess
import threading

from demo.caller import fetch
from demo.caller import HttpResponse
from demo.caller import is_seat_response
from demo.context import check
from demo.context import DemoContext
from demo.context import StepFailedError

SLOW_REQUEST_MS = 1_500
# Time for a slow request to reach its worker before SIGTERM is sent.
DELIVERY_WAIT_S = 0.5
STOP_TIMEOUT_S = 40.0


def state_dumps_are_served(demo: DemoContext) -> str:
    """Check that each program serves a state dump that holds no token."""
    secrets = [*demo.plan.tokens.values(), demo.plan.cluster_token]
    sizes: dict[str, int] = {}
    headers = {"Authorization": f"Bearer {demo.plan.tokens['operator-1']}"}
    for program in ("store", "entry", "scheduler"):
        for process in demo.plan.processes_of(program):
            response = fetch(process.address, "/dump", headers=headers)
            state = response.json()
            check(
                response.status == 200
                and isinstance(state, dict)
                and bool(state),
                f"no state dump of {process.name}: status {response.status}",
            )
            check(
                not any(token.encode() in response.body for token in secrets),
                f"state dump of {process.name} contains a token",
            )
            sizes[program] = sizes.get(program, 0) + len(response.body)
    return ", ".join(f"{name}: {size} bytes" for name, size in sizes.items())


def entry_stops_gracefully(demo: DemoContext) -> str:
    """Check that a stopping entry completes the request in progress."""
    entry = demo.plan.processes_of("entry")[0]
    request = _SlowSeatCheck(demo, entry.address, "while-entry-stops")
    demo.processes.terminate([entry.name])
    response = request.response()
    exit_codes = _wait_stopped(demo, [entry.name])
    check(exit_codes[entry.name] == 0, f"exit code is not 0: {exit_codes}")
    return f"{entry.name} answered {response.status}, then exited with code 0"


def all_processes_stop_gracefully(demo: DemoContext) -> str:
    """Check that every process exits with code 0 after SIGTERM."""
    domain = demo.shape.domain_names[-1]
    address = demo.entry_addresses(domain)[-1]
    request = _SlowSeatCheck(demo, address, "while-workers-stop")
    workers = [process.name for process in demo.plan.processes_of("worker")]
    demo.processes.terminate(workers)
    response = request.response()
    exit_codes = _wait_stopped(demo, workers)
    stopped_entry = demo.plan.processes_of("entry")[0].name
    # The stores stop last: the other programs hand their work back to them.
    for program in ("scheduler", "entry", "store"):
        names = [
            process.name
            for process in demo.plan.processes_of(program)
            if process.name != stopped_entry
        ]
        demo.processes.terminate(names)
        exit_codes |= _wait_stopped(demo, names)
    failed = {
        name: exit_code
        for name, exit_code in exit_codes.items()
        if exit_code != 0
    }
    check(not failed, f"exit codes are not 0: {failed}")
    return (
        f"{len(exit_codes)} processes exited with code 0; "
        f"a seat check in progress was answered {response.status}"
    )


class _SlowSeatCheck:
    """Seat check that takes `SLOW_REQUEST_MS`, sent by its own thread."""

    def __init__(self, demo: DemoContext, entry: str, course: str) -> None:
        self._course = course
        self._responses: list[HttpResponse] = []
        self._thread = threading.Thread(target=self._send, args=(demo, entry))
        self._thread.start()
        self._thread.join(DELIVERY_WAIT_S)

    def response(self) -> HttpResponse:
        """Return the response, which must be correct."""
        self._thread.join()
        if not self._responses:
            raise StepFailedError(
                f"seat check of {self._course} got no response"
            )
        response = self._responses[0]
        check(
            is_seat_response(response, self._course),
            f"seat check of {self._course} failed: {response}",
        )
        return response

    def _send(self, demo: DemoContext, entry: str) -> None:
        self._responses.append(
            demo.caller.check_seats(entry, self._course, SLOW_REQUEST_MS)
        )


def _wait_stopped(demo: DemoContext, names: list[str]) -> dict[str, int]:
    try:
        return demo.processes.wait(names, STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired as error:
        raise StepFailedError(
            f"process did not exit within {STOP_TIMEOUT_S:g} s: {error.cmd}"
        ) from error
