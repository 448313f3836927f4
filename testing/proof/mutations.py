"""Mutations of production code that the simulation tests must detect."""

import contextlib
import dataclasses
import pkgutil
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from sardinespool.messages.requests import BeginReply
from testing.proof import changes
from testing.proof import matrix
from testing.proof.oracle import RuleViolationError

SEEDS_PER_CELL = 4
SCHEDULE_COUNT = 12
"""Random schedules that run after the cells of the mutation."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """Replaced attributes, and the rules of which at least one must break.

    The attribute paths in `replacements` are relative to the package; each
    replacement returns the new value for the original one.
    """

    name: str
    rules: tuple[str, ...]
    replacements: dict[str, changes.Replacement]
    cells: tuple[str, ...] = ()


@contextlib.contextmanager
def apply_mutation(mutation: Mutation) -> Iterator[None]:
    """Apply the replacements and restore the originals on exit."""
    originals = []
    try:
        for path, replacement in mutation.replacements.items():
            owner_path, separator, name = path.rpartition(".")
            if ":" in name:
                owner_path, separator, name = path.rpartition(":")
            owner = pkgutil.resolve_name(f"sardinespool.{owner_path}")
            original = owner.__dict__[name]
            originals.append((owner, name, original))
            setattr(owner, name, replacement(original))
        yield
    finally:
        for owner, name, original in originals:
            setattr(owner, name, original)


def detect_mutation(name: str, seed: int) -> str:
    """Return how the mutation was detected, or an empty string.

    Only a violation of one of the mutation's rules counts.
    """
    mutation = MUTATIONS[name]
    with apply_mutation(mutation):
        for run_seed in range(seed, seed + SEEDS_PER_CELL):
            for cell in mutation.cells:
                parsed_cell = matrix.parse_cell(cell)
                violation = _detect_violation(
                    mutation, matrix.run_cell, parsed_cell, run_seed
                )
                if violation:
                    return f"{violation} in {cell}, seed {run_seed}"
        first_seed = seed * 100_000
        for run_seed in range(first_seed, first_seed + SCHEDULE_COUNT):
            violation = _detect_violation(
                mutation, matrix.run_schedule, run_seed
            )
            if violation:
                return f"{violation} in schedule {run_seed}"
    return ""


def _detect_violation(
    mutation: Mutation, run: Callable[..., Any], *args: Any
) -> str:
    try:
        run(*args)
    except RuleViolationError as error:
        return str(error) if error.rule in mutation.rules else ""
    except AssertionError:
        return ""
    return ""


_LEASES = "tasks.leases:LeaseTable"
_LEADERSHIP = "replication.leadership:Leadership"
_MACHINE = "groups.domain_machine:DomainMachine"
_PERMIT = "domains.permit:StartPermit"
_FLOW = "routing.request_flow:RequestFlow"
_GROUP_EVENT_HANDLER = "programs.store.group_event_handler:GroupEventHandler"

_ALL = (
    Mutation(
        "skip-capacity-check",
        ("R1",),
        {
            "groups.domain_tasks:placement_refusal_code": changes.remove_code(
                "worker-full"
            )
        },
    ),
    Mutation(
        "grant-a-slot-twice",
        ("R1",),
        {"capacity.grants:GrantTable._grantable": changes.fixed(lambda *v: 1)},
        ("threes/slot-granted/delay",),
    ),
    Mutation(
        "end-leases-early",
        ("R2",),
        {f"{_LEASES}.lost_workers": changes.shift_now(4_500)},
        ("threes/start-delivered/cut-host", "threes/lease-renewed/freeze/9"),
    ),
    Mutation(
        "forget-leases-of-earlier-leaders",
        ("R2",),
        {f"{_LEASES}.become_leader": changes.fixed(changes.forget_leases)},
        (
            "threes/start-delivered/cut-worker-and-change-leader",
            "threes/start-delivered/cut-worker-and-change-leader/3",
        ),
    ),
    Mutation(
        "drop-attempt-fencing",
        ("R2", "R3"),
        {
            "tasks.record:TaskRecord.is_current": changes.fixed(
                lambda self, *args: self.is_active
            )
        },
        (
            "threes/start-delivered/long-job-and-freeze",
            "threes/permit-given/long-job-and-freeze",
            "threes/configuration-adopted/long-job-and-freeze",
            "threes/task-running/one-way-cut",
        ),
    ),
    Mutation(
        "reuse-attempt-number",
        ("R3",),
        {"tasks.transitions:placed": changes.override_result(attempt=1)},
    ),
    Mutation(
        "forget-checkpoint",
        ("R3",),
        {
            "tasks.transitions:attempt_ended": changes.override_result(
                checkpoint=""
            )
        },
        ("threes/task-stopped/duplicate",),
    ),
    Mutation(
        "ignore-permit-deadline",
        ("R4",),
        {
            f"{_PERMIT}.start_deadline_unix_ms": changes.fixed(
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
            "tasks.heartbeats:_directive": changes.override_result(
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
        {"requests.table:RequestTable.recorded_reply": changes.ignore_digest},
    ),
    Mutation(
        "refuse-after-bytes-left",
        ("R6",),
        {
            "routing.non_idempotent_flow:classify_failure": (
                changes.report_not_run
            ),
            "routing.idempotent_flow:classify_failure": changes.report_not_run,
        },
        ("threes/first-byte-sent/lost-answers",),
    ),
    Mutation(
        "forget-record-at-begin",
        ("R7",),
        {
            "requests.table:RequestTable.begin": changes.fixed(
                lambda *args: BeginReply(state="granted")
            )
        },
    ),
    Mutation(
        "send-after-deadline",
        ("R7",),
        {
            f"{_FLOW}.may_send_first_byte": changes.fixed(
                lambda self, now: True
            )
        },
        ("threes/send-decided/freeze",),
    ),
    Mutation(
        "keep-sending-to-leaving",
        ("R8",),
        {
            "routing.endpoint_table:EndpointTable.may_receive": changes.fixed(
                lambda self, worker_id, address, service: True
            ),
            "routing.endpoint_state:EndpointState.is_usable": changes.fixed(
                lambda self, now: now.boot_ms >= self.refused_until_boot_ms
            ),
        },
    ),
    Mutation(
        "accept-older-version",
        ("R10",),
        {
            "groups.domain_sync:commands_for_reply": changes.adopt_any_version,
            f"{_MACHINE}._adopt_configuration": changes.fixed(
                changes.adopt_unchecked
            ),
        },
        (
            "threes/configuration-adopted/reorder-and-patch",
            "threes/permit-given/reorder-and-patch",
        ),
    ),
    Mutation(
        "skip-the-sync",
        ("R10",),
        {f"{_GROUP_EVENT_HANDLER}._execute": changes.skip_sync},
        ("threes/patch-approved/crash-all",),
    ),
    Mutation(
        "ignore-snapshots",
        ("R10",),
        {
            f"{_GROUP_EVENT_HANDLER}._restore": changes.fixed(
                lambda self, index, data: None
            )
        },
        ("threes/snapshot-taken/crash-all/after-changes",),
    ),
    Mutation(
        "drop-leader-lease",
        ("R4", "R10"),
        {
            f"{_LEADERSHIP}.has_lease": changes.fixed(
                lambda s, now: s.has_committed_in_term
            ),
            f"{_LEADERSHIP}.has_quorum_contact": changes.fixed(
                lambda s, now: True
            ),
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
            "replication.configuration:Configuration.majority": changes.fixed(
                property(lambda self: 1)
            )
        },
        ("threes/patch-approved/crash-all", "threes/patch-approved/cut"),
    ),
)
MUTATIONS = {mutation.name: mutation for mutation in _ALL}
