"""Stateful test in which Hypothesis chooses the actions and faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from testing.proof import faults
from testing.proof import scenario
from testing.proof.engine import CrashedError
from testing.proof.world import SHAPES
from testing.proof.world import World

PICK = st.integers(0, 99)
STATES = st.sampled_from(["in-service", "out-of-service"])


class DeploymentModel(stateful.RuleBasedStateMachine):
    """One deployment; callers send requests throughout."""

    @stateful.initialize(shape=st.sampled_from(sorted(SHAPES)), seed=PICK)
    def prepare(self, shape: str, seed: int) -> None:
        self.world = World(SHAPES[shape], seed)
        self.jobs = 0
        scenario.prepare(self.world)

    @stateful.rule(duration_ms=st.sampled_from([50, 400, 1_500, 6_500]))
    def wait(self, duration_ms: int) -> None:
        self.world.run(duration_ms)

    @stateful.rule(pick=PICK, work_ms=st.sampled_from([500, 5_000]))
    def submit_job(self, pick: int, work_ms: int) -> None:
        self.jobs += 1
        domain = self.world.domains[pick % 2]
        job = scenario.job(f"j{self.jobs}", domain, work_ms)
        self.world.operators[0].submit_job(job)

    @stateful.rule(pick=PICK)
    def patch(self, pick: int) -> None:
        change = scenario.limit("model", pick)
        self.world.operators[pick % 2].patch(change)

    @stateful.rule(pick=PICK, state=STATES)
    def set_domain(self, pick: int, state: str) -> None:
        domain = self.world.domains[pick % 2]
        self.world.operators[1].set_domain(domain, state)

    @stateful.rule(pick=PICK)
    def leave(self, pick: int) -> None:
        workers = [w for w in self.world.workers.values() if w.up]
        if workers:
            workers[pick % len(workers)].leave()

    @stateful.rule(fault=st.sampled_from(sorted(faults.SINGLE)), pick=PICK)
    def fail(self, fault: str, pick: int) -> None:
        hosts = self.world.hosts()[: -len(self.world.operators)]
        host = hosts[pick % len(hosts)]
        group = sorted(getattr(host, "groups", {"": ()}))[0]
        if not host.up:
            return
        try:
            faults.SINGLE[fault](self.world, host, group)
        except CrashedError:
            host.crash()

    @stateful.rule()
    def heal(self) -> None:
        self.world.heal()

    def teardown(self) -> None:
        if hasattr(self, "world"):
            scenario.finish(self.world)


TestDeploymentModel = DeploymentModel.TestCase
TestDeploymentModel.settings = hypothesis.settings(
    max_examples=6,
    stateful_step_count=10,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
