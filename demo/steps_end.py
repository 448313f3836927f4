"""Steps: state dumps and graceful shutdown."""

import subprocess
import threading

from demo.caller import fetch
from demo.caller import HttpAnswer
from demo.caller import is_seat_answer
from demo.context import check
from demo.context import Demo
from demo.context import StepFailedError

SLOW_REQUEST_MS = 1_500
# Time for a slow request to reach its worker before the signal.
REACHED_S = 0.5
STOP_TIMEOUT_S = 40.0


def dumps_are_fetched(demo: Demo) -> str:
    """Check that each program answers its state, without tokens."""
    secrets = [*demo.plan.tokens.values(), demo.plan.cluster_token]
    sizes: dict[str, int] = {}
    headers = {"Authorization": f"Bearer {demo.plan.tokens['operator-1']}"}
    for program in ("store", "entry", "scheduler"):
        for process in demo.plan.of(program):
            answer = fetch(process.address, "/dump", headers=headers)
            state = answer.json()
            check(
                answer.status == 200
                and isinstance(state, dict)
                and bool(state),
                f"dump of {process.name}: {answer.status}",
            )
            check(
                not any(token.encode() in answer.body for token in secrets),
                f"the dump of {process.name} holds a token",
            )
            sizes[program] = sizes.get(program, 0) + len(answer.body)
    return ", ".join(f"{name}: {size} bytes" for name, size in sizes.items())


def entry_stops_gracefully(demo: Demo) -> str:
    """Check that a stopping entry finishes the request in progress."""
    entry = demo.plan.of("entry")[0]
    request = _SlowRequest(demo, entry.address, "while-entry-stops")
    demo.processes.terminate([entry.name])
    answer = request.answer()
    codes = _wait(demo, [entry.name])
    check(codes[entry.name] == 0, f"exit code {codes}")
    return f"{entry.name} answered {answer.status}, then exit code 0"


def everything_stops_gracefully(demo: Demo) -> str:
    """Check that every process ends with exit code 0 after SIGTERM."""
    domain = demo.shape.domain_names[-1]
    address = demo.entry_addresses(domain)[-1]
    request = _SlowRequest(demo, address, "while-workers-stop")
    workers = [process.name for process in demo.plan.of("worker")]
    demo.processes.terminate(workers)
    answer = request.answer()
    codes = _wait(demo, workers)
    stopped_entry = demo.plan.of("entry")[0].name
    # The stores go last: the others hand their work back to them.
    for program in ("scheduler", "entry", "store"):
        names = [
            process.name
            for process in demo.plan.of(program)
            if process.name != stopped_entry
        ]
        demo.processes.terminate(names)
        codes |= _wait(demo, names)
    failed = {name: code for name, code in codes.items() if code != 0}
    check(not failed, f"exit codes: {failed}")
    return (
        f"{len(codes)} processes with exit code 0; a seat check in progress "
        f"was answered {answer.status}"
    )


class _SlowRequest:
    """A seat check that takes `SLOW_REQUEST_MS`, on its own thread."""

    def __init__(self, demo: Demo, entry: str, course: str) -> None:
        self._course = course
        self._answers: list[HttpAnswer] = []
        self._thread = threading.Thread(target=self._send, args=(demo, entry))
        self._thread.start()
        self._thread.join(REACHED_S)

    def answer(self) -> HttpAnswer:
        """Return the answer, which must be right."""
        self._thread.join()
        if not self._answers:
            raise StepFailedError(f"{self._course}: no answer")
        answer = self._answers[0]
        check(
            is_seat_answer(answer, self._course), f"{self._course}: {answer}"
        )
        return answer

    def _send(self, demo: Demo, entry: str) -> None:
        self._answers.append(
            demo.caller.check_seats(entry, self._course, SLOW_REQUEST_MS)
        )


def _wait(demo: Demo, names: list[str]) -> dict[str, int]:
    try:
        return demo.processes.wait(names, STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired as error:
        raise StepFailedError(
            f"a process did not stop within {STOP_TIMEOUT_S:g} s: {error.cmd}"
        ) from error
