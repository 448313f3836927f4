"""JSON bodies of the platform and the types that they decode into."""

import json
from typing import Any

import pytest

from sardinespool.dispatch.orders import OrderDone
from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import OtherWorker
from sardinespool.dispatch.orders import PaceRun
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import StartRun
from sardinespool.dispatch.orders import StopRun
from sardinespool.errors.configuration import InvalidManifestError
from sardinespool.errors.tasks import InvalidJobError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.platform.job_codec import decode_job
from sardinespool.platform.manifest_codec import decode_manifest
from sardinespool.platform.worker_client import order_result
from sardinespool.platform.worker_codec import decode_heartbeat
from sardinespool.platform.worker_codec import decode_renew_lease_response
from sardinespool.platform.worker_codec import encode_order
from sardinespool.platform.worker_codec import encode_renew_lease
from sardinespool.transport.http_messages import HttpResponse

HEARTBEAT: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "norte",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16_000, "requested_memory_mb": 32_768, "gpus": 2},
    "labels": ["a", "r1-3"],
    "clock_ms": 482_113,
    "sequence": 4,
    "born": 17,
    "machine": "m-0a3f1",
}


def test_heartbeat_fields() -> None:
    """Guards against fields that are mixed up."""
    report = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    worker = report.description
    assert (worker.worker_id, worker.incarnation, worker.host) == (
        "i-1",
        17,
        "m-0a3f1",
    )
    assert (worker.processors_millicores, worker.memory_mb) == (16_000, 32_768)
    assert worker.accelerators == 2
    assert (worker.labels, worker.rack) == (("a", "r1-3"), "r1-3")
    assert not worker.draining
    assert (report.sequence, report.clock_ms) == (4, 482_113)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"sequence": "4"},
        {"capacity": None},
        {"address": "somewhere"},
        {"clock_ms": 1.5},
        {"service": None},
    ],
    ids=lambda change: next(iter(change)),
)
def test_invalid_heartbeat_fields_are_refused(change: dict[str, Any]) -> None:
    """Guards against another program's data that is taken for a worker."""
    with pytest.raises(InvalidMessageError):
        decode_heartbeat("i-1", json.dumps(HEARTBEAT | change).encode())


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b'{"state":'])
def test_malformed_heartbeats_are_refused(body: bytes) -> None:
    """Guards against malformed input that crashes a process."""
    with pytest.raises(InvalidMessageError):
        decode_heartbeat("i-1", body)


@pytest.mark.parametrize("stretch", [-1.0, 1e7, 1e308])
def test_stretch_without_an_objective_is_refused(stretch: float) -> None:
    """Guards against planning that fails at each job of a queue.

    The objective, `stretch` times the critical path, must be finite.
    """
    route = {
        "name": "r",
        "host": "h",
        "path_prefix": "/q/",
        "service": "s",
        "timeout_ms": 1,
        "stretch": stretch,
    }
    body = {"version": 1, "routes": [route], "services": [{"name": "s"}]}
    with pytest.raises(InvalidManifestError):
        decode_manifest(json.dumps(body).encode())


def test_job_fields() -> None:
    """Guards against a field of a step that is lost in decoding."""
    step = {
        "count": 2,
        "cpu": 500,
        "requested_memory_mb": 256,
        "gpus": 1,
        "estimated_ms": 900,
        "requirements": "b",
        "data_rack": "r1-3",
        "anti_affinity": 3,
        "gang_scheduled": True,
        "same_rack": True,
        "speculative": True,
        "checkpointing": True,
        "image": "x",
        "target_ms": 18,
        "fills": True,
        "may_miss": 1,
    }
    body = {
        "task_spec": "text",
        "steps": [step, {"count": 1, "after": [0], "long_running": True}],
        "repetitions": 3,
        "first_run_ms": 5,
        "interval_ms": 7,
    }
    spec = decode_job(json.dumps(body).encode())
    first, second = spec.steps
    assert first.required_label == "b"
    assert first.tasks_per_worker_max == 3
    assert first.uses_leftover_processors
    assert first.tail_latency_target_ms == 18
    assert first.unavailable_max == 1
    assert (first.gang, first.same_rack, first.speculative) == (True,) * 3
    assert (first.data_rack, first.image) == ("r1-3", "x")
    assert second.after == (0,)
    assert second.long_running
    assert (spec.repetitions, spec.first_due_unix_ms) == (3, 5)
    assert spec.interval_ms == 7


@pytest.mark.parametrize("body", [b"", b"{}", b'{"task_spec":1,"steps":[]}'])
def test_malformed_jobs_are_refused(body: bytes) -> None:
    """Guards against malformed input that crashes a process."""
    with pytest.raises(InvalidJobError):
        decode_job(body)


ROUTE = {
    "name": "r",
    "host": "Nony24.example",
    "path_prefix": "/a/",
    "kind": "unsafe",
    "timeout_ms": 3_000,
    "target_latency_ms": 250,
    "priority": 2,
    "service": "s",
    "max_attempts": 3,
    "stretch": 1.5,
}


def manifest_body(**change: Any) -> bytes:
    body = {
        "version": 7,
        "routes": [ROUTE | change],
        "services": [{"name": "s", "spare": False}],
        "limits": {},
    }
    return json.dumps(body).encode()


def test_manifest_fields_and_bytes() -> None:
    """Guards against a manifest that doesn't keep its original bytes."""
    body = manifest_body()
    manifest = decode_manifest(body)
    (queue,) = manifest.queues
    assert (queue.host, queue.prefix) == ("nony24.example", "/a/")
    assert (queue.pool, queue.failures_max) == ("s", 3)
    assert (queue.latency_objective_ms, queue.stretch) == (250, 1.5)
    assert manifest.source == body


@pytest.mark.parametrize(
    "body",
    [
        manifest_body(timeout_ms=0),
        manifest_body(service=None),
        manifest_body()[:-9],
        b"",
    ],
    ids=["no-timeout", "no-pool", "cut-short", "empty"],
)
def test_invalid_manifests_are_refused(body: bytes) -> None:
    """Guards against accepting a manifest that can't be decoded."""
    with pytest.raises(InvalidManifestError):
        decode_manifest(body)


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, b'{"clock_ms":5}', OrderDone(5)),
        (409, b'{"reason":"fence"}', OrderRefused(Refusal.FENCED)),
        (409, b'{"reason":"old"}', OrderRefused(Refusal.OLD)),
        (409, b'{"reason":"late"}', OrderRefused(Refusal.LATE)),
        (409, b'{"reason":"room"}', OrderRefused(Refusal.NO_ROOM)),
        (409, b'{"reason":"ticket"}', OrderRefused(Refusal.TICKET)),
        (409, b'{"reason":"new"}', OrderRefused(Refusal.INVALID)),
        (400, b"", OrderRefused(Refusal.INVALID)),
        (429, b"", OrderRefused(Refusal.UNHEALTHY)),
        (503, b"", OrderRefused(Refusal.UNHEALTHY)),
        (421, b"", OtherWorker()),
    ],
)
def test_order_results(status: int, body: bytes, expected: object) -> None:
    """Guards against refusals that are treated as unknown outcomes."""
    assert order_result(HttpResponse(status, (), body)) == expected


def test_hold_response_fields() -> None:
    """Guards against runs that are lost in decoding."""
    body = {
        "clock_ms": 9,
        "born": 17,
        "running": [["j.0.0.1", 2, "c", 41, 850]],
        "ended": [
            [58, "j.0.0.9", 1, "done", ""],
            [59, "j.0.0.8", 3, "lapsed", "d"],
        ],
    }
    response = decode_renew_lease_response(json.dumps(body).encode())
    assert response.incarnation == 17
    assert response.running[0].load == 850
    assert [row.outcome for row in response.ended] == ["done", "lost"]
    assert response.ended[1].checkpoint == "d"


def test_encoded_orders() -> None:
    """Guards against an order without its fencing token or lease."""
    start = StartRun("j.0.0.1", 2, "text", 4_000, 7, "c")
    path, body = encode_order(start)
    assert path == "/api/run-start"
    assert json.loads(body) == {
        "task": "j.0.0.1",
        "run": 2,
        "task_spec": "text",
        "expires_ms": 4_000,
        "fencing_token": 7,
        "checkpoint": "c",
    }
    assert encode_order(StopRun("j.0.0.1", 2, 7))[0] == "/api/run-stop"
    assert (
        json.loads(encode_order(PaceRun("j.0.0.1", 2, 40, 7))[1])["percent"]
        == 40
    )
    renewal = json.loads(encode_renew_lease(RenewLease(7, 57, 500))[1])
    assert renewal == {"fencing_token": 7, "ack_cursor": 57, "wait_ms": 500}
