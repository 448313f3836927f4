"""Request listener of a stand-in worker."""

import asyncio
import collections
import time
from typing import Any

import msgspec
import tornado.httpserver
import tornado.netutil
import tornado.web

from demo.standin.records import RecordFile

SEATS_BY_COURSE = 24
_LATENCY_SAMPLES = 256


class RequestState:
    """Slots in use, bookings made and whether new work is refused.

    Parameters
    ----------
    worker_id : str
        Shown in answers.
    services : tuple of str
        Names that may lead a path.
    slots : int
        Requests served at once.
    records : RecordFile
        Bookings are written there before the answer.
    """

    def __init__(
        self,
        worker_id: str,
        services: tuple[str, ...],
        slots: int,
        records: RecordFile,
    ) -> None:
        self.worker_id = worker_id
        self.services = services
        self.slots = slots
        self.records = records
        self.refusing = False
        self.in_use = 0
        self.bookings = 0
        self.last_request_monotonic = time.monotonic()
        self._latencies_ms: collections.deque[float] = collections.deque(
            maxlen=_LATENCY_SAMPLES
        )

    def record_latency(self, latency_ms: float) -> None:
        """Keep the time of one served request."""
        self._latencies_ms.append(latency_ms)

    def latency_p99_ms(self) -> float:
        """Return the 99th percentile of recent requests, 0 without any."""
        ordered = sorted(self._latencies_ms)
        return ordered[(len(ordered) * 99) // 100] if ordered else 0.0


class EchoHandler(tornado.web.RequestHandler):
    """Returns the id of the request with every answer, errors included."""

    def set_default_headers(self) -> None:
        """Set the header; tornado also calls this for error pages."""
        request_id = self.request.headers.get("Sardinespool-Request-Id")
        if request_id is not None:
            self.set_header("Sardinespool-Request-Id", request_id)


class HealthHandler(EchoHandler):
    """``/health``, which needs no slot."""

    def initialize(self, state: RequestState) -> None:
        """Take the worker's state."""
        self._state = state

    def get(self) -> None:
        """Answer that the process is alive."""
        self.write({"ok": True, "worker_id": self._state.worker_id})


class ServiceHandler(EchoHandler):
    """Every path of the worker's services."""

    def initialize(self, state: RequestState) -> None:
        """Take the worker's state."""
        self._state = state

    async def get(self, path: str) -> None:
        """Answer a lookup or perform an operation."""
        state = self._state
        state.last_request_monotonic = time.monotonic()
        try:
            delay_ms = float(self.get_query_argument("delay_ms", "0"))
        except ValueError:
            raise tornado.web.HTTPError(400) from None
        if state.refusing or state.in_use >= state.slots:
            self.set_status(503)
            self.set_header("Sardinespool-Not-Run", "true")
            reason = "leaving" if state.refusing else "no slot"
            self.write({"refused": reason})
            return
        state.in_use += 1
        started = time.monotonic()
        try:
            answer = self._perform(path)
            await asyncio.sleep(delay_ms / 1000)
            self.write(answer)
        finally:
            state.in_use -= 1
            state.last_request_monotonic = time.monotonic()
            state.record_latency((time.monotonic() - started) * 1000)

    head = post = put = delete = patch = options = get

    def _perform(self, path: str) -> dict[str, Any]:
        state = self._state
        parts = path.strip("/").split("/")
        # The path may come with or without the name of the service.
        if parts[0] in state.services:
            parts = parts[1:]
        answer: dict[str, Any] = {
            "worker_id": state.worker_id,
            "path": "/".join(parts),
        }
        match self.request.method, parts:
            case "GET", ["seats", course]:
                answer |= {"course": course, "seats": SEATS_BY_COURSE}
            case "POST", ["bookings"]:
                answer |= self._book()
        return answer

    def _book(self) -> dict[str, Any]:
        state = self._state
        state.bookings += 1
        booking_id = f"{state.worker_id}-{state.bookings}"
        state.records.append(
            "booking",
            booking_id=booking_id,
            request_id=self.request.headers.get("Sardinespool-Request-Id", ""),
            body=self.request.body.decode(errors="replace"),
        )
        return {"booking_id": booking_id, "request": _json(self.request.body)}


def _json(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return body.decode(errors="replace")


def listen(
    state: RequestState, host: str, port: int
) -> tornado.httpserver.HTTPServer:
    """Serve requests at an address."""
    application = tornado.web.Application(
        [
            (r"/health", HealthHandler, {"state": state}),
            (r"/(.*)", ServiceHandler, {"state": state}),
        ],
        log_function=lambda handler: None,
    )
    server = tornado.httpserver.HTTPServer(application)
    server.add_sockets(tornado.netutil.bind_sockets(port, host))
    return server
