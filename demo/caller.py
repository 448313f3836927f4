"""HTTP client of callers and probes, with one connection per request."""

import dataclasses
import http.client
import json
import threading
import time
import urllib.parse
from collections.abc import Mapping
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """HTTP response; the names of `headers` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Value of the ``Sardinespool-Outcome`` header, or an empty string."""
        return self.headers.get("sardinespool-outcome", "")

    def json(self) -> Any:
        """Return the decoded body, or None if it is not valid JSON."""
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
) -> HttpResponse:
    """Send one request and return its response.

    Raises
    ------
    OSError, http.client.HTTPException
        The connection failed or the response was incomplete.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, dict(headers or {}))
        response = connection.getresponse()
        response_body = response.read()
        response_headers = {
            key.lower(): value for key, value in response.getheaders()
        }
        return HttpResponse(response.status, response_headers, response_body)
    finally:
        connection.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Client of one service, which it calls through the entries."""

    service: str
    token: str

    def call(
        self,
        entry: str,
        path: str,
        method: str = "GET",
        body: Any = None,
        key: str = "",
    ) -> HttpResponse:
        """Send a request to the service through an entry."""
        headers = {"Authorization": f"Bearer {self.token}"}
        if key:
            headers["Idempotency-Key"] = key
        encoded_body = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            encoded_body = json.dumps(body).encode()
        target = f"/v1/services/{self.service}/{path}"
        return fetch(
            entry, target, method, headers, encoded_body, timeout_s=25.0
        )

    def check_seats(
        self, entry: str, course: str, delay_ms: int = 0
    ) -> HttpResponse:
        """Request the number of seats of a course.

        The worker delays its response by `delay_ms`.
        """
        path = f"seats/{urllib.parse.quote(course, safe='')}"
        if delay_ms:
            path += f"?delay_ms={delay_ms}"
        return self.call(entry, path)


@dataclasses.dataclass(slots=True)
class OutcomeCounts:
    """Number of requests of a load by outcome, and of retried requests."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    lost: int = 0
    wrong: int = 0
    retried: int = 0

    def __str__(self) -> str:
        return (
            f"answered {self.answered}, not run {self.not_run}, unknown "
            f"{self.unknown}, no response {self.lost}, incorrect {self.wrong}"
            f" (retried through another entry: {self.retried})"
        )

    @property
    def total(self) -> int:
        """Number of requests with any outcome."""
        return (
            self.answered
            + self.not_run
            + self.unknown
            + self.lost
            + self.wrong
        )


class SeatCheckLoad:
    """Sends seat checks at a constant rate from a background thread.

    A request whose outcome is ``not-run`` is retried once, through the next
    entry.
    """

    def __init__(
        self, caller: Caller, entries: list[str], interval_s: float
    ) -> None:
        self.counts = OutcomeCounts()
        self._caller = caller
        self._entries = entries
        self._interval_s = interval_s
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._sender_thread = threading.Thread(
            target=self._send_periodically, daemon=True
        )
        self._request_threads: list[threading.Thread] = []

    def __enter__(self) -> "SeatCheckLoad":
        self._sender_thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stop.set()
        self._sender_thread.join()
        for request_thread in self._request_threads:
            request_thread.join()

    def _send_periodically(self) -> None:
        number = 0
        next_send_monotonic = time.monotonic()
        # Requests are sent on schedule without waiting for earlier responses,
        # so that a slow response does not reduce the request rate.
        while not self._stop.wait(
            max(0.0, next_send_monotonic - time.monotonic())
        ):
            request_thread = threading.Thread(
                target=self._send_with_retry, args=(number,), daemon=True
            )
            request_thread.start()
            self._request_threads.append(request_thread)
            number += 1
            next_send_monotonic += self._interval_s

    def _send_with_retry(self, number: int) -> None:
        course = f"course-{number}"
        outcome_name = ""
        for attempt in range(2):
            entry = self._entries[(number + attempt) % len(self._entries)]
            outcome_name = self._send_attempt(entry, course)
            if outcome_name != "not_run":
                break
            if attempt == 0:
                self._increment("retried")
        self._increment(outcome_name)

    def _send_attempt(self, entry: str, course: str) -> str:
        try:
            response = self._caller.check_seats(entry, course)
        except (OSError, http.client.HTTPException):
            return "lost"
        match response.outcome:
            case "not-run":
                return "not_run"
            case "unknown":
                return "unknown"
            case "answered" if is_seat_response(response, course):
                return "answered"
            case _:
                return "wrong"

    def _increment(self, name: str) -> None:
        with self._lock:
            setattr(self.counts, name, getattr(self.counts, name) + 1)


def is_seat_response(response: HttpResponse, course: str) -> bool:
    """Return whether a response is complete and for this course."""
    body = response.json()
    return (
        response.status == 200
        and isinstance(body, dict)
        and body.get("course") == course
        and isinstance(body.get("seats"), int)
    )
