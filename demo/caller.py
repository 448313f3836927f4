"""HTTP of callers and probes, one connection for each request."""

import dataclasses
import http.client
import json
import threading
import time
import urllib.parse
from collections.abc import Mapping
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status, headers in lower case, and body."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Value of ``Sardinespool-Outcome``, empty without one."""
        return self.headers.get("sardinespool-outcome", "")

    def json(self) -> Any:
        """Return the decoded body, None if it is no JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


def fetch(
    address: str,
    path: str,
    method: str = "GET",
    headers: Mapping[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = 10.0,
) -> HttpAnswer:
    """Send one request.

    Raises
    ------
    OSError, http.client.HTTPException
        There was no whole answer.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, dict(headers or {}))
        response = connection.getresponse()
        data = response.read()
        found = {key.lower(): value for key, value in response.getheaders()}
        return HttpAnswer(response.status, found, data)
    finally:
        connection.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Calls one service through entries."""

    service: str
    token: str

    def call(
        self,
        entry: str,
        path: str,
        method: str = "GET",
        body: Any = None,
        key: str = "",
    ) -> HttpAnswer:
        """Send a request to the service through an entry."""
        headers = {"Authorization": f"Bearer {self.token}"}
        if key:
            headers["Idempotency-Key"] = key
        data = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = json.dumps(body).encode()
        target = f"/v1/services/{self.service}/{path}"
        return fetch(entry, target, method, headers, data, timeout_s=25.0)

    def check_seats(
        self, entry: str, course: str, delay_ms: int = 0
    ) -> HttpAnswer:
        """Ask for the seats of a course."""
        path = f"seats/{urllib.parse.quote(course, safe='')}"
        if delay_ms:
            path += f"?delay_ms={delay_ms}"
        return self.call(entry, path)


@dataclasses.dataclass(slots=True)
class StreamCounts:
    """Endings of the requests of a stream."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    lost: int = 0
    wrong: int = 0
    retried: int = 0

    def __str__(self) -> str:
        return (
            f"answered {self.answered}, not run {self.not_run}, unknown "
            f"{self.unknown}, without answer {self.lost}, wrong {self.wrong}"
            f" (retried through another entry: {self.retried})"
        )

    @property
    def total(self) -> int:
        """All requests."""
        return (
            self.answered
            + self.not_run
            + self.unknown
            + self.lost
            + self.wrong
        )


class SeatStream:
    """Seat checks at a steady rate in the background.

    A refusal as not run is retried once, through the next entry.
    """

    def __init__(
        self, caller: Caller, entries: list[str], interval_s: float
    ) -> None:
        self.counts = StreamCounts()
        self._caller = caller
        self._entries = entries
        self._interval_s = interval_s
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._requests: list[threading.Thread] = []

    def __enter__(self) -> "SeatStream":
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stop.set()
        self._thread.join()
        for request in self._requests:
            request.join()

    def _run(self) -> None:
        number = 0
        due = time.monotonic()
        # Requests are sent when due, whether earlier ones were answered or
        # not, so that a slow answer does not thin out the stream.
        while not self._stop.wait(max(0.0, due - time.monotonic())):
            request = threading.Thread(
                target=self._send, args=(number,), daemon=True
            )
            request.start()
            self._requests.append(request)
            number += 1
            due += self._interval_s

    def _send(self, number: int) -> None:
        course = f"course-{number}"
        ending = ""
        for attempt in range(2):
            entry = self._entries[(number + attempt) % len(self._entries)]
            ending = self._send_once(entry, course)
            if ending != "not_run":
                break
            if attempt == 0:
                self._count("retried")
        self._count(ending)

    def _send_once(self, entry: str, course: str) -> str:
        try:
            answer = self._caller.check_seats(entry, course)
        except (OSError, http.client.HTTPException):
            return "lost"
        match answer.outcome:
            case "not-run":
                return "not_run"
            case "unknown":
                return "unknown"
            case "answered" if is_seat_answer(answer, course):
                return "answered"
            case _:
                return "wrong"

    def _count(self, name: str) -> None:
        with self._lock:
            setattr(self.counts, name, getattr(self.counts, name) + 1)


def is_seat_answer(answer: HttpAnswer, course: str) -> bool:
    """Tell whether an answer is whole and about this course."""
    value = answer.json()
    return (
        answer.status == 200
        and isinstance(value, dict)
        and value.get("course") == course
        and isinstance(value.get("seats"), int)
    )
