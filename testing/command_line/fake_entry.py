"""Fake entry that returns preset answers and records requests."""

import http.server
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

TOKEN = "ana-secret"

Answer = tuple[int, Any]


class FakeEntry:
    """Answers by method and path; repeats the last answer of a list.

    Parameters
    ----------
    answers : dict of str to list of Answer
        Status and body of each answer, by method and path.
    """

    def __init__(self, answers: dict[str, list[Answer]]) -> None:
        self.answers = answers
        self.requests: list[tuple[str, Any]] = []
        self.address = ""

    def answer(self, method: str, path: str, body: bytes) -> Answer:
        """Record a request and return its answer."""
        value = msgspec.json.decode(body) if body else None
        self.requests.append((f"{method} {path}", value))
        answers_left = self.answers.get(f"{method} {path}")
        if answers_left is None:
            return 404, {"code": "unknown-path", "text": path}
        return (
            answers_left.pop(0) if len(answers_left) > 1 else answers_left[0]
        )

    def posted_bodies(self, path: str) -> list[Any]:
        """Return the bodies of all POST requests to a path."""
        return [body for key, body in self.requests if key == f"POST {path}"]


@contextmanager
def serve(fake: FakeEntry) -> Iterator[FakeEntry]:
    """Run a fake entry on a free loopback port."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def _reply(self) -> None:
            length = int(self.headers.get("Content-Length", "0"))
            body = self.rfile.read(length)
            if self.headers["Authorization"] != f"Bearer {TOKEN}":
                status, value = 401, {"code": "authentication", "text": "no"}
            else:
                path = self.path.removeprefix("/v1/operator/")
                status, value = fake.answer(self.command, path, body)
            data = (
                value
                if isinstance(value, bytes)
                else msgspec.json.encode(value)
            )
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = _reply  # noqa: N815

        def log_message(self, format: str, *args: Any) -> None:
            """Suppress the log line of a request."""

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    fake.address = f"127.0.0.1:{server.server_port}"
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield fake
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
