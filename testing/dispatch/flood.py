"""Replay of twenty workspaces, one of which floods, in virtual time."""

import random
import zlib

import msgspec

from sardinespool.messages.workflows import StepSpec
from sardinespool.workspaces.shares import JobQuotas
from testing.dispatch.workspace_simulation import workspace
from testing.dispatch.workspace_simulation import WorkspaceSimulation

WORKERS = 22
TASK_MILLICORES = 1_000
RUN_MS = 700
FLOODER = "w00"
WEIGHTS = {f"w{number:02d}": 4 if number < 3 else 1 for number in range(20)}
"""Jobs a second that each workspace is owed; three are large."""
USED_QUOTA = 0.9
"""Share of its quota that a workspace sends."""
DURATION_MS = 12_000
LAST_RUN_MS = 12_000
OBJECTIVE_BASE_MS = 500
STRETCH = 2.0
"""Completion objective of the simulated queue."""


def replay_flood(
    factor: float,
    seed: int,
    others_width: int = 1,
    rejects_excess: bool = False,
) -> frozenset[str]:
    """Play the load and return the jobs in time, all named by workspace.

    The flooder sends `factor` times what the others do of their quota.

    Parameters
    ----------
    others_width : int
        Tasks in a step of the other workspaces; the flooder's have one.
    rejects_excess : bool
        Whether jobs above the quota are not accepted.
    """
    simulation = WorkspaceSimulation(seed, WORKERS)
    draw = random.Random(seed)

    def run_time_ms(task: str) -> int:
        own = random.Random(zlib.crc32(task.encode()) + seed)
        return max(50, int(RUN_MS * own.lognormvariate(-0.06, 0.35)))

    for worker in simulation.workers.values():
        worker.run_time_ms = run_time_ms
        worker.failure_ratio = 0.0
    simulation.publish(
        *(workspace(name, weight=weight) for name, weight in WEIGHTS.items())
    )
    simulation.run(1_500)
    begin_ms = simulation.now_ms
    arrivals = []
    for name, weight in WEIGHTS.items():
        own = random.Random(f"{name} {seed}")
        rate = USED_QUOTA * weight * (factor if name == FLOODER else 1.0)
        due_ms = begin_ms + own.expovariate(rate / 1_000)
        while due_ms < begin_ms + DURATION_MS:
            arrivals.append((due_ms, name))
            due_ms += own.expovariate(rate / 1_000)
    quotas = JobQuotas()
    counts = dict.fromkeys(WEIGHTS, 0)
    sent_ms: dict[str, int] = {}
    for due_ms, name in sorted(arrivals):
        simulation.run(max(0, int(due_ms) - simulation.now_ms))
        counts[name] += 1
        job_id = f"{name}j{counts[name]:04d}"
        now_unix_ms = simulation.now().unix_ms
        if rejects_excess and quotas.exceeds(name, WEIGHTS[name], now_unix_ms):
            continue
        step = StepSpec(
            count=1 if name == FLOODER else others_width,
            processors_millicores=TASK_MILLICORES,
            memory_mb=10,
            expected_run_ms=int(RUN_MS * draw.lognormvariate(0.0, 0.3)),
        )
        sent_ms[job_id] = simulation.now_ms
        simulation.submit_to(
            name, job_id, step, msgspec.structs.replace(step, after=(0,))
        )
    simulation.run(LAST_RUN_MS)
    in_time = set()
    for job_id, sent in sent_ms.items():
        workflow = simulation.machine.table.workflows[job_id]
        chain_ms = sum(
            max(run_time_ms(task.key) for task in step.tasks)
            for step in workflow.occurrences[0]
        )
        age_ms = workflow.ended_unix_ms - 1_000_000 - sent
        if (
            workflow.state == "completed"
            and age_ms <= OBJECTIVE_BASE_MS + STRETCH * chain_ms
        ):
            in_time.add(job_id)
    assert simulation.oracle.violations == []
    return frozenset(in_time)
