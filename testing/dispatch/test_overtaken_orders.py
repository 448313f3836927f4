"""Orders of callers that arrive again after later ones."""

import pytest

from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.simulation import HOST
from testing.dispatch.simulation import PREFIX
from testing.dispatch.simulation import Simulation

STEP = StepSpec(count=2, processors_millicores=100, memory_mb=10)


@pytest.mark.parametrize("changes_leader", [False, True])
@pytest.mark.parametrize("repeats", ["submit", "cancel", "submit-cancel"])
def test_cancelled_job_stays_cancelled(
    repeats: str, changes_leader: bool
) -> None:
    """Guards against a late submission that runs a cancelled job."""
    simulation = Simulation(1, workers=1)
    simulation.run(1_500)
    simulation.submit("job", STEP)
    simulation.cancel("job")
    simulation.run(2_000)
    started = simulation.oracle.starts
    if changes_leader:
        simulation.restores_snapshots = True
        simulation.lose_leader(50)
        simulation.run(100)
    for order in repeats.split("-"):
        if order == "submit":
            simulation.submit("job", STEP)
        else:
            simulation.cancel("job")
    simulation.run(5_000)
    assert simulation.read_state("job") == "cancelled"
    assert simulation.oracle.starts == started
    assert simulation.oracle.violations == []


@pytest.mark.parametrize("version", [1, 5, 6])
def test_overtaken_manifest_changes_nothing(version: int) -> None:
    """Guards against a late manifest that undoes a later one."""
    simulation = Simulation(1, workers=1)
    current = simulation.machine.manifest.current
    assert current is not None

    def publish(number: int, source: bytes) -> None:
        simulation.request(
            PublishManifest(
                version=number,
                queues=current.queues,
                pools=current.pools,
                source=source,
            )
        )

    publish(6, b"newest")
    publish(version, b"late")
    assert simulation.machine.manifest.version == 6
    kept = simulation.machine.manifest.current
    assert kept is not None
    assert kept.source == b"newest"
    assert kept.queues[0].host == HOST
    assert kept.queues[0].prefix == PREFIX
