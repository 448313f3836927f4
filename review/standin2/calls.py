"""Calls of an operator, a client or a worker."""

import http.client
import json
import time
from typing import Any
from urllib.parse import urlsplit

Answer = tuple[int, Any]
"""Status and body; status 0 if there was no answer."""


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> Answer:
    """Make one call on a connection of its own, following a 307 twice."""
    data = None if body is None else json.dumps(body).encode()
    all_headers = {"Connection": "close", **(headers or {})}
    if data is not None:
        all_headers["Content-Type"] = "application/json"
    for _ in range(3):
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=timeout_s
        )
        try:
            connection.request(method, path, data, all_headers)
            response = connection.getresponse()
            text = response.read()
            status = response.status
            location = response.getheader("Location")
        except (OSError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()
        if status == 307 and location:
            parts = urlsplit(location)
            address, path = parts.netloc, parts.path
            continue
        try:
            return status, json.loads(text)
        except ValueError:
            return status, text.decode("latin-1")
    return status, None


def order(
    addresses: list[str],
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = 1.0,
    patience_s: float = 10.0,
) -> Answer:
    """Send an order to one node after another until it is answered."""
    end = time.monotonic() + patience_s
    pause_s = 0.05
    number = 0
    while True:
        answer = call(
            addresses[number % len(addresses)],
            method,
            path,
            body,
            timeout_s=timeout_s,
        )
        status = answer[0]
        if status and status < 500 and status not in (408, 429):
            return answer
        if time.monotonic() > end:
            return answer
        number += 1
        time.sleep(pause_s)
        pause_s = min(1.0, pause_s * 2)


def manifest(version: int, queues: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a manifest with one service and these queues."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number:07x}",
                "host": "nony24.example",
                "path_prefix": f"/pule{number:04d}/",
                "kind": "unsafe",
                "timeout_ms": 3000,
                "target_latency_ms": 2500,
                "priority": 0,
                "service": "huvo11a",
                "max_attempts": 3,
                "stretch": 2.2,
                **queue,
            }
            for number, queue in enumerate(queues)
        ],
        "services": [
            {
                "name": "huvo11a",
                "health_path": "/health",
                "connection_limit": 64,
                "protocol": "h1",
                "tls_enabled": False,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
                "rejects_overload": False,
                "spare": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
