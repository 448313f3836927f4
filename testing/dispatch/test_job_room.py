"""Jobs that a group has no room to store."""

import msgspec
import pytest

from sardinespool.dispatch.job_room import PROPOSAL_MAX_MS
from sardinespool.dispatch.job_room import RETRY_AFTER_S
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.errors.tasks import JobStoreFullError
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.groups.interfaces import Proposal
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.platform.responses import error_response
from sardinespool.workflows.job_sizes import JobSizes
from sardinespool.workflows.job_sizes import size_of
from testing.dispatch.simulation import HOST
from testing.dispatch.simulation import PREFIX
from testing.dispatch.simulation import Simulation

LARGE = WorkflowSpec(payload="x" * 5_000, steps=(StepSpec(count=1),))
WIDE = WorkflowSpec(payload="x", steps=(StepSpec(count=40),))
REPEATED = WorkflowSpec(
    payload="x", steps=(StepSpec(count=4),), repetitions=10, interval_ms=1_000
)
ROOM_JOBS = 6


def limited_to(spec: WorkflowSpec, limit: str) -> DispatchSettings:
    """Return settings by which `ROOM_JOBS` jobs fit."""
    size = size_of(spec)
    if limit == "memory":
        return DispatchSettings(
            job_memory_limit_bytes=ROOM_JOBS * size.memory_bytes,
            finished_job_retention_ms=5_000,
        )
    return DispatchSettings(
        job_file_limit_bytes=ROOM_JOBS * size.file_bytes,
        finished_job_retention_ms=5_000,
    )


def submit(simulation: Simulation, job_id: str, spec: WorkflowSpec) -> None:
    simulation.oracle.specs[job_id] = spec
    simulation.request(
        SubmitWorkflow(host=HOST, path=PREFIX + job_id, spec=spec)
    )


def fill(simulation: Simulation, spec: WorkflowSpec, prefix: str) -> int:
    """Submit jobs until one is refused; return how many were accepted."""
    for number in range(10 * ROOM_JOBS):
        try:
            submit(simulation, f"{prefix}{number}", spec)
        except JobStoreFullError as error:
            response = error_response(error)
            assert response.status == 503
            assert ("Retry-After", str(RETRY_AFTER_S)) in response.headers
            return number
    raise AssertionError("no job is refused")


@pytest.mark.parametrize("limit", ["memory", "file"])
@pytest.mark.parametrize(
    "spec",
    [
        pytest.param(LARGE, id="large"),
        pytest.param(WIDE, id="wide"),
        pytest.param(REPEATED, id="repeated"),
    ],
)
def test_stored_jobs_of_any_size_fit(spec: WorkflowSpec, limit: str) -> None:
    """Guards against accepted jobs that fill the memory or the disk."""
    simulation = Simulation(1, workers=0, settings=limited_to(spec, limit))
    assert fill(simulation, spec, "a") == ROOM_JOBS
    # What is stored is answered, and the next leader counts it, too.
    submit(simulation, "a0", spec)
    simulation.lose_leader(50)
    simulation.run(1_000)
    with pytest.raises(JobStoreFullError):
        submit(simulation, "other", spec)
    for number in range(ROOM_JOBS):
        simulation.cancel(f"a{number}")
    simulation.run(15_000)
    assert fill(simulation, spec, "b") == ROOM_JOBS


def test_proposed_jobs_count_until_their_commit() -> None:
    """Guards against a batch of submissions that each find the same room."""
    simulation = Simulation(1, workers=0, settings=limited_to(WIDE, "memory"))
    simulation.run(100)

    def propose(job_id: str) -> None:
        request = SubmitWorkflow(host=HOST, path=PREFIX + job_id, spec=WIDE)
        outcome = simulation.service.handle(request, simulation.now())
        assert isinstance(outcome, Proposal)

    for number in range(ROOM_JOBS):
        propose(f"a{number}")
        propose(f"a{number}")
    with pytest.raises(JobStoreFullError):
        propose("b")
    simulation.run(PROPOSAL_MAX_MS)
    propose("b")


def test_job_above_the_limit_is_accepted_alone() -> None:
    """Guards against a job that can never be accepted."""
    simulation = Simulation(
        1, workers=0, settings=DispatchSettings(job_memory_limit_bytes=1)
    )
    assert fill(simulation, WIDE, "a") == 1


def test_sizes_follow_the_stored_jobs() -> None:
    """Guards against sums that drift from what is stored."""
    simulation = Simulation(2, settings=DispatchSettings())
    for number in range(30):
        spec = msgspec.structs.replace(
            (LARGE, WIDE, REPEATED)[number % 3], payload="x" * number
        )
        submit(simulation, f"j{number}", spec)
        simulation.run(300)
    simulation.run(200_000)
    table = simulation.machine.table
    expected = JobSizes()
    for workflow in table.workflows.values():
        expected.add(workflow.job_id, workflow.spec)
    restored = ControlMachine()
    restored.restore(simulation.machine.snapshot())
    for sizes in (table.sizes, restored.table.sizes):
        assert sizes.memory_bytes == expected.memory_bytes
        assert sizes.file_bytes == expected.file_bytes
    assert len(table.workflows) < 30
