"""HTTP server of a stand-in worker."""

import asyncio
import collections
import time
from typing import Any

import msgspec
import tornado.httpserver
import tornado.netutil
import tornado.web

from demo.standin.records import RecordFile

SEATS_PER_COURSE = 24
_LATENCY_SAMPLES_MAX = 256


class RequestState:
    """Slots in use, bookings made and whether new requests are refused.

    Parameters
    ----------
    worker_id : str
        Included in responses.
    services : tuple of str
        Names that a request path may start with.
    slots : int
        Maximum number of requests served concurrently.
    records : RecordFile
        File to which each booking is written before its response is sent.
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
        self.booking_count = 0
        self.last_request_monotonic = time.monotonic()
        self._latencies_ms: collections.deque[float] = collections.deque(
            maxlen=_LATENCY_SAMPLES_MAX
        )

    def record_latency(self, latency_ms: float) -> None:
        """Add the latency of a served request."""
        self._latencies_ms.append(latency_ms)

    def latency_p99_ms(self) -> float:
        """Return the 99th percentile of recent latencies, 0 without any."""
        sorted_ms = sorted(self._latencies_ms)
        return sorted_ms[(len(sorted_ms) * 99) // 100] if sorted_ms else 0.0


class RequestIdHandler(tornado.web.RequestHandler):
    """Copies the request id to every response, including errors."""

    def set_default_headers(self) -> None:
        """Set the request id; tornado also calls this for error responses."""
        request_id = self.request.headers.get("Sardinespool-Request-Id")
        if request_id is not None:
            self.set_header("Sardinespool-Request-Id", request_id)


class HealthHandler(RequestIdHandler):
    """Handler of ``/health``, which takes no slot."""

    def initialize(self, state: RequestState) -> None:
        """Store the worker's request state."""
        self._state = state

    def get(self) -> None:
        """Respond that the process is alive."""
        self.write({"ok": True, "worker_id": self._state.worker_id})


class ServiceHandler(RequestIdHandler):
    """Handler of all other paths, which belong to the services."""

    def initialize(self, state: RequestState) -> None:
        """Store the worker's request state."""
        self._state = state

    async def get(self, path: str) -> None:
        """Serve a request, or refuse it as not run.

        The response is delayed by the `delay_ms` query argument.
        """
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
        started_monotonic = time.monotonic()
        try:
            answer = self._dispatch(path)
            await asyncio.sleep(delay_ms / 1000)
            self.write(answer)
        finally:
            state.in_use -= 1
            state.last_request_monotonic = time.monotonic()
            state.record_latency((time.monotonic() - started_monotonic) * 1000)

    head = post = put = delete = patch = options = get

    def _dispatch(self, path: str) -> dict[str, Any]:
        state = self._state
        segments = path.strip("/").split("/")
        # The name of the service at the start of the path is optional.
        if segments[0] in state.services:
            segments = segments[1:]
        answer: dict[str, Any] = {
            "worker_id": state.worker_id,
            "path": "/".join(segments),
        }
        match self.request.method, segments:
            case "GET", ["seats", course]:
                answer |= {"course": course, "seats": SEATS_PER_COURSE}
            case "POST", ["bookings"]:
                answer |= self._create_booking()
        return answer

    def _create_booking(self) -> dict[str, Any]:
        state = self._state
        state.booking_count += 1
        booking_id = f"{state.worker_id}-{state.booking_count}"
        state.records.append(
            "booking",
            booking_id=booking_id,
            request_id=self.request.headers.get("Sardinespool-Request-Id", ""),
            body=self.request.body.decode(errors="replace"),
        )
        return {
            "booking_id": booking_id,
            "request": _decode_body(self.request.body),
        }


def _decode_body(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return body.decode(errors="replace")


def start_server(
    state: RequestState, host: str, port: int
) -> tornado.httpserver.HTTPServer:
    """Start an HTTP server at an address and return it."""
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
