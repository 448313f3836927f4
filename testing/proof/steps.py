"""Named steps of the protocols and the commands that make them."""

from collections.abc import Iterator

from sardinespool.messages import commands
from sardinespool.messages.jobs import SyncDomain

_BY_TYPE = {
    "SubmitPatch": "patch-submitted",
    "ApprovePatch": "patch-approved",
    "AdoptConfiguration": "configuration-adopted",
    "RestrictStarts": "starts-restricted",
    "SubmitJob": "job-assigned",
    "AcceptJobs": "job-accepted",
    "CancelJob": "job-cancelled",
    "PlaceTasks": "task-placed",
    "EvictTasks": "task-evicted",
    "ReleaseJob": "job-released",
    "WorkerLost": "lease-ended",
    "BeginRequest": "request-begun",
    "FinishRequest": "outcome-stored",
    "AbandonRequest": "request-abandoned",
}
_BY_REPORT = {
    "running": "task-running",
    "checkpointed": "task-checkpointed",
    "stopped": "task-stopped",
    "completed": "task-completed",
}
COMMAND_STEPS = (
    *_BY_TYPE.values(),
    *_BY_REPORT.values(),
    "job-moved",
    "endpoint-leaving",
)
"""Steps that are commands; a fault can hit them before the sync."""

STEPS = (
    *COMMAND_STEPS,
    "permit-given",
    "start-delivered",
    "lease-renewed",
    "send-decided",
    "first-byte-sent",
    "answer-received",
    "request-forwarded",
    "slot-granted",
    "snapshot-taken",
    "member-joined",
    "member-promoted",
    "leadership-transferred",
)


def steps_of(body: commands.CommandBody) -> Iterator[str]:
    """Yield the steps that a command makes."""
    match body:
        case commands.RecordWorker(heartbeat=heartbeat):
            if heartbeat.leaving:
                yield "endpoint-leaving"
            for report in heartbeat.tasks:
                if report.state in _BY_REPORT:
                    yield _BY_REPORT[report.state]
        case SyncDomain(released_jobs=released):
            if released:
                yield "job-moved"
        case _:
            if type(body).__name__ in _BY_TYPE:
                yield _BY_TYPE[type(body).__name__]
