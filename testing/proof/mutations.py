"""Named changes of the real code that the proof must notice."""

import contextlib
import dataclasses
import pkgutil
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from sardinespool.messages.requests import BeginReply
from testing.proof import changes as change
from testing.proof import matrix
from testing.proof.oracle import RuleBrokenError

CELL_SEEDS = 4
SCHEDULES = 12
"""Random schedules that are tried after the named cells."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """Changed attributes, and the rules of which one breaks.

    A change makes the new value of an attribute from the original one; the
    attribute's path is relative to the package.
    """

    name: str
    rules: tuple[str, ...]
    changes: dict[str, change.Change]
    cells: tuple[str, ...] = ()


@contextlib.contextmanager
def applied(mutation: Mutation) -> Iterator[None]:
    """Change the code, and change it back."""
    originals = []
    try:
        for path, make in mutation.changes.items():
            head, separator, name = path.rpartition(".")
            if ":" in name:
                head, separator, name = path.rpartition(":")
            owner = pkgutil.resolve_name(f"sardinespool.{head}")
            original = owner.__dict__[name]
            originals.append((owner, name, original))
            setattr(owner, name, make(original))
        yield
    finally:
        for owner, name, original in originals:
            setattr(owner, name, original)


def hunt(name: str, seed: int) -> str:
    """Return how the mutation was noticed, or an empty string.

    Only a broken rule of the mutation counts; another failure does not.
    """
    mutation = MUTATIONS[name]
    with applied(mutation):
        for number in range(seed, seed + CELL_SEEDS):
            for cell in mutation.cells:
                named = matrix.cell_named(cell)
                found = _found(mutation, matrix.run_cell, named, number)
                if found:
                    return f"{found} in {cell}, seed {number}"
        first = seed * 100_000
        for number in range(first, first + SCHEDULES):
            found = _found(mutation, matrix.run_schedule, number)
            if found:
                return f"{found} in schedule {number}"
    return ""


def _found(mutation: Mutation, run: Callable[..., Any], *values: Any) -> str:
    try:
        run(*values)
    except RuleBrokenError as error:
        return str(error) if error.rule in mutation.rules else ""
    except AssertionError:
        return ""
    return ""


_LEASES = "tasks.leases:LeaseTable"
_LEADERSHIP = "replication.leadership:Leadership"
_MACHINE = "groups.domain_machine:DomainMachine"
_PERMIT = "domains.permit:StartPermit"
_FLOW = "routing.request_flow:RequestFlow"
_RUNNER = "programs.store.group_batches:GroupBatches"

_ALL = (
    Mutation(
        "skip-capacity-check",
        ("R1",),
        {
            "groups.domain_tasks:refusal_code": change.without_code(
                "worker-full"
            )
        },
    ),
    Mutation(
        "grant-a-slot-twice",
        ("R1",),
        {
            "capacity.grants:GrantTable._grantable": change.instead(
                lambda *v: 1
            )
        },
        ("threes/slot-granted/delay",),
    ),
    Mutation(
        "end-leases-early",
        ("R2",),
        {f"{_LEASES}.lost_workers": change.later(4_500)},
        ("threes/start-delivered/cut-host", "threes/lease-renewed/freeze/9"),
    ),
    Mutation(
        "forget-leases-of-earlier-leaders",
        ("R2",),
        {f"{_LEASES}.become_leader": change.instead(change.forget_leases)},
        (
            "threes/start-delivered/cut-worker-and-change-leader",
            "threes/start-delivered/cut-worker-and-change-leader/3",
        ),
    ),
    Mutation(
        "drop-attempt-fencing",
        ("R2", "R3"),
        {
            "tasks.record:TaskRecord.is_current": change.instead(
                lambda self, *values: self.is_active
            )
        },
        (
            "threes/start-delivered/long-job-and-freeze",
            "threes/permit-given/long-job-and-freeze",
            "threes/configuration-adopted/long-job-and-freeze",
        ),
    ),
    Mutation(
        "reuse-attempt-number",
        ("R3",),
        {"tasks.transitions:placed": change.with_result(attempt=1)},
    ),
    Mutation(
        "forget-checkpoint",
        ("R3",),
        {"tasks.transitions:attempt_ended": change.with_result(checkpoint="")},
        ("threes/task-stopped/duplicate",),
    ),
    Mutation(
        "ignore-permit-deadline",
        ("R4",),
        {
            f"{_PERMIT}.start_deadline_unix_ms": change.instead(
                lambda self, now_unix_ms: now_unix_ms + 30_000
            )
        },
        (
            "threes/start-delivered/cut-and-take-out",
            "threes/task-placed/cut-and-take-out",
        ),
    ),
    Mutation(
        "ignore-start-deadline",
        ("R4",),
        {
            "tasks.heartbeats:_directive": change.with_result(
                start_deadline_unix_ms=2**53
            )
        },
        (
            "threes/task-placed/cut-workers-and-take-out",
            "threes/task-placed/cut-workers-and-take-out/3",
        ),
    ),
    Mutation(
        "answer-a-reused-key",
        ("R5",),
        {"requests.table:RequestTable.recorded_reply": change.any_digest},
    ),
    Mutation(
        "refuse-after-bytes-left",
        ("R6",),
        {
            "routing.recorded_flow:read_failure": change.never_ran,
            "routing.idempotent_flow:read_failure": change.never_ran,
        },
        ("threes/first-byte-sent/lost-answers",),
    ),
    Mutation(
        "forget-record-at-begin",
        ("R7",),
        {
            "requests.table:RequestTable.begin": change.instead(
                lambda *values: BeginReply(state="granted")
            )
        },
    ),
    Mutation(
        "send-after-deadline",
        ("R7",),
        {
            f"{_FLOW}.may_send_first_byte": change.instead(
                lambda self, now: True
            )
        },
        ("threes/send-decided/freeze",),
    ),
    Mutation(
        "keep-sending-to-leaving",
        ("R8",),
        {
            "routing.endpoint_table:EndpointTable.accepts": change.instead(
                lambda self, worker_id: True
            ),
            "routing.endpoint_state:EndpointState.is_usable": change.instead(
                lambda self, now: now.boot_ms >= self.refused_until_boot_ms
            ),
        },
    ),
    Mutation(
        "accept-older-version",
        ("R10",),
        {
            "groups.domain_sync:due_commands": change.adopt_any,
            f"{_MACHINE}._adopt": change.instead(change.adopt),
        },
        (
            "threes/configuration-adopted/reorder-and-patch",
            "threes/permit-given/reorder-and-patch",
        ),
    ),
    Mutation(
        "skip-the-sync",
        ("R10",),
        {f"{_RUNNER}._execute": change.without_sync},
        ("threes/patch-approved/crash-all",),
    ),
    Mutation(
        "ignore-snapshots",
        ("R10",),
        {
            f"{_RUNNER}._restore": change.instead(
                lambda self, index, data: None
            )
        },
        ("threes/snapshot-taken/crash-all/after-changes",),
    ),
    Mutation(
        "drop-leader-lease",
        ("R4", "R10"),
        {
            f"{_LEADERSHIP}.has_lease": change.instead(
                lambda s, now: s.active
            ),
            f"{_LEADERSHIP}.is_alive": change.instead(lambda s, now: True),
        },
        (
            "threes/patch-approved/cut-and-take-out",
            "threes/patch-approved/cut-and-take-out/3",
        ),
    ),
    Mutation(
        "commit-without-majority",
        ("R10",),
        {
            "replication.configuration:Configuration.majority": change.instead(
                property(lambda self: 1)
            )
        },
        ("threes/patch-approved/crash-all", "threes/patch-approved/cut"),
    ),
)
MUTATIONS = {mutation.name: mutation for mutation in _ALL}
