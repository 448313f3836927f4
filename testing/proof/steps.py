"""Named protocol steps and the commands that cause them."""

from collections.abc import Iterator

from sardinespool.messages import commands
from sardinespool.messages.jobs import SyncDomain

_STEP_BY_COMMAND = {
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
_STEP_BY_TASK_STATE = {
    "running": "task-running",
    "checkpointed": "task-checkpointed",
    "stopped": "task-stopped",
    "completed": "task-completed",
}
COMMAND_STEPS = (
    *_STEP_BY_COMMAND.values(),
    *_STEP_BY_TASK_STATE.values(),
    "job-moved",
    "endpoint-leaving",
)
"""Steps caused by commands; faults can be injected before their sync."""

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
    """Yield the steps that a command causes."""
    match body:
        case commands.RecordWorker(heartbeat=heartbeat):
            if heartbeat.leaving:
                yield "endpoint-leaving"
            for report in heartbeat.tasks:
                if report.state in _STEP_BY_TASK_STATE:
                    yield _STEP_BY_TASK_STATE[report.state]
        case SyncDomain(released_jobs=released):
            if released:
                yield "job-moved"
        case _:
            if type(body).__name__ in _STEP_BY_COMMAND:
                yield _STEP_BY_COMMAND[type(body).__name__]
