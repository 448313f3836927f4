"""Cost of the check of a workspace's key: ``python -m bench.key_check``.

The manifest has 130 workspaces with 10,000 keys. The front's part is reading
the header and hashing the key; the leader's part is finding the workspace and
comparing it with that of the job.
"""

import hashlib
import statistics
import time
from collections.abc import Callable

from sardinespool.errors.tasks import UnknownWorkspaceKeyError
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.platform.caller_key import read_key_digest
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.workflows.authorization import check_owner
from sardinespool.workflows.authorization import find_caller
from sardinespool.workflows.manifest import check_manifest
from sardinespool.workflows.manifest import ManifestState
from sardinespool.workflows.records import WorkflowRecord

WORKSPACES, KEYS = 130, 10_000
BOUND_US = 20
REPEATS, ROUNDS = 20_000, 9


def make_manifest() -> PublishManifest:
    """Return a manifest with all workspaces."""
    digests = [
        hashlib.sha256(f"gkcuyj8pjbvk{number:08d}".encode()).digest()
        for number in range(KEYS)
    ]
    return PublishManifest(
        version=1,
        queues=(
            QueueSpec(
                name="q",
                host="h",
                prefix="/q/",
                pool="p",
                priority=0,
                failures_max=1,
                stretch=1.5,
                latency_objective_ms=250,
            ),
        ),
        pools=(PoolSpec(name="p"),),
        source=b"{}",
        workspaces=tuple(
            WorkspaceSpec(
                name=f"w{number}",
                key_digests=tuple(digests[number::WORKSPACES]),
            )
            for number in range(WORKSPACES)
        ),
    )


def request_with(key: str) -> HttpRequest:
    """Return a caller's request with its usual headers."""
    return HttpRequest(
        "GET",
        "/q/job",
        (
            ("Host", "h"),
            ("X-Sardinespool-Request-Deadline", "3000"),
            ("Content-Type", "application/json"),
            ("Authorization", f"Bearer {key}"),
        ),
    )


def median_us(action: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the median time of an action in microseconds."""
    times_us = []
    for _ in range(ROUNDS):
        start_s = time.perf_counter()
        for _ in range(repeats):
            action()
        elapsed_s = time.perf_counter() - start_s
        times_us.append(elapsed_s * 1e6 / repeats)
    return statistics.median(times_us)


def main() -> None:
    """Print the figures, and whether the check is within its bound."""
    manifest = make_manifest()
    state = ManifestState()
    state.put(manifest)
    queue = manifest.queues[0]
    known = request_with(f"gkcuyj8pjbvk{KEYS - 1:08d}")
    unknown = request_with("gkcuyj8pjbvk-unknown")
    digest = read_key_digest(known)
    unknown_digest = read_key_digest(unknown)
    owner = find_caller(state, queue, digest)
    spec = WorkflowSpec(payload="", steps=(StepSpec(count=1),))
    workflow = WorkflowRecord("job", queue, spec, 0, owner)

    def check() -> None:
        caller = find_caller(state, queue, digest)
        check_owner(state, queue, caller, workflow)

    def refuse() -> None:
        try:
            find_caller(state, queue, unknown_digest)
        except UnknownWorkspaceKeyError:
            pass

    front_us = median_us(lambda: read_key_digest(known))
    leader_us = median_us(check)
    refusal_us = median_us(refuse)
    total_us = front_us + max(leader_us, refusal_us)
    print(f"front, header to digest:   {front_us:6.2f} us")
    print(f"leader, key and owner:     {leader_us:6.2f} us")
    print(f"leader, unknown key:       {refusal_us:6.2f} us")
    print(
        f"check in all:              {total_us:6.2f} us, bound {BOUND_US} us: "
        f"{'met' if total_us < BOUND_US else 'missed'}"
    )
    check_ms = median_us(lambda: check_manifest(manifest), 1) / 1_000
    put_ms = median_us(lambda: ManifestState().put(manifest), 1) / 1_000
    print(
        f"manifest with {KEYS} keys: check {check_ms:.1f} ms, "
        f"index {put_ms:.1f} ms"
    )


if __name__ == "__main__":
    main()
