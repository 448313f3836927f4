"""Steps for readiness, configuration patches and approvals."""

import time

from demo.caller import fetch
from demo.context import check
from demo.context import DemoContext
from sardinespool.errors import SardinespoolError
from sardinespool.messages.configuration import Change
from sardinespool.programs.command_line.views import is_in_force_everywhere

READY_TIMEOUT_S = 60.0
IN_FORCE_TIMEOUT_S = 20.0


def all_processes_ready(demo: DemoContext) -> str:
    """Check that every process is ready and every worker is listed."""
    pending = [
        process
        for program in ("store", "entry", "scheduler")
        for process in demo.plan.processes_of(program)
    ]
    count = len(pending)

    def all_ready() -> bool:
        for process in list(pending):
            if fetch(process.address, "/ready", timeout_s=2).status != 200:
                return False
            pending.remove(process)
        return True

    demo.wait_for(
        "every process answers 200 on /ready", all_ready, READY_TIMEOUT_S
    )
    expected = {worker.name for worker in demo.plan.processes_of("worker")}

    def all_workers_listed() -> bool:
        worker_ids = set()
        for name in demo.shape.domain_names:
            answer = demo.operator.get("workers", failure_domain=name)
            worker_ids |= {worker["worker_id"] for worker in answer["workers"]}
        return worker_ids == expected

    demo.wait_for(
        "every worker is listed", all_workers_listed, READY_TIMEOUT_S
    )
    return f"{count} processes and {len(expected)} workers"


def initial_changes(demo: DemoContext) -> tuple[Change, ...]:
    """Return the initial configuration of the demonstration."""
    shape = demo.shape
    values = {
        f"services/{shape.service}": {
            "kind": "latency-critical",
            "timeout_ms": 5_000,
            "retry_share": 0.1,
        },
        f"teams/{shape.team}": {
            "processors_millicores": 1_000_000,
            "memory_mb": 1_000_000,
            "accelerators": 0,
            "running_tasks": 1_000,
        },
        "standing_approvals/failure-domains": {
            "operators": ["operator-1"],
            "failure_domains": list(shape.domain_names),
        },
    }
    return tuple(
        Change(op="set", key=key, value=value) for key, value in values.items()
    )


def author_approval_is_refused(demo: DemoContext) -> str:
    """Check that a patch needs the approval of someone else to take effect."""
    receipt = demo.submit_patch("first", initial_changes(demo))
    check(
        receipt.state == "pending",
        f"patch is {receipt.state}, expected pending",
    )
    path = f"patches/{receipt.patch_id}/approve"
    try:
        demo.operator.post(path, {"digest": receipt.digest})
    except SardinespoolError as error:
        code = error.code
    else:
        code = "approved"
    check(
        code == "self-approval",
        f"approval by the author: {code}, expected self-approval",
    )
    status = demo.status()
    check(
        status.version == 0 and all(d.version == 0 for d in status.domains),
        f"versions before the approval: {status}, expected 0",
    )
    response = demo.caller.check_seats(demo.entry_addresses()[0], "early")
    check(
        response.outcome == "not-run",
        f"seat check before the approval was not refused: {response}",
    )
    return (
        "approval by the author refused (self-approval), version 0 in "
        "every failure domain, seat check refused as not run"
    )


def approved_patch_takes_effect(demo: DemoContext) -> str:
    """Check that an approved patch takes effect at every process."""
    (patch,) = demo.approver.get("patches")["patches"]
    receipt = patch["receipt"]
    started = time.monotonic()
    approval = demo.approver.post(
        f"patches/{receipt['patch_id']}/approve",
        {"digest": receipt["digest"]},
    )
    count = wait_until_in_force(demo, approval["version"])
    elapsed_s = time.monotonic() - started
    return (
        f"version {approval['version']} in force in "
        f"{len(demo.shape.domains)} failure domains and at {count} processes "
        f"after {elapsed_s:.2f} s"
    )


def wait_until_in_force(demo: DemoContext, version: int) -> int:
    """Wait until a version is in force; return the number of processes.

    It must be in force in every failure domain and at every entry.
    """
    entries = {process.name for process in demo.plan.processes_of("entry")}

    def processes_in_force() -> int | None:
        status = demo.status()
        reporting = {p.name for d in status.domains for p in d.processes}
        all_domains_report = len(status.domains) == len(demo.shape.domains)
        if (
            all_domains_report
            and entries <= reporting
            and is_in_force_everywhere(status, version)
        ):
            return len(reporting)
        return None

    return demo.wait_for(
        f"version {version} is in force everywhere",
        processes_in_force,
        IN_FORCE_TIMEOUT_S,
    )
