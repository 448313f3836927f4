"""Workload of every simulation run and the final liveness checks."""

import functools
from collections.abc import Callable
from typing import Any

import msgspec

from sardinespool.messages.configuration import Change
from sardinespool.messages.jobs import Job
from testing.proof.world import START_LIMIT_MS
from testing.proof.world import World

LIVENESS_LIMIT_MS = 45_000
"""Covers elections, expiry of worker leases and a snapshot transfer."""

RUN_MS = 14_500


def job(job_id: str, domain: str, work_ms: int = 1_500, **fields: Any) -> Job:
    """Return a job whose tasks write a checkpoint every 400 ms."""
    payload = {"work_ms": work_ms, "checkpoint_every_ms": 400}
    values: dict[str, Any] = {
        "task_count": 2,
        "processors_millicores": 1_500,
        "memory_mb": 1_000,
    }
    return Job(
        job_id=job_id,
        team="ovens",
        failure_domain=domain,
        payload=msgspec.json.encode(payload).decode(),
        **(values | fields),
    )


def limit(name: str, value: int) -> Change:
    return Change(op="set", key=f"limits/{name}", value=value)


def prepare(world: World) -> None:
    """Start the deployment and give an operator a standing approval."""
    world.wait(START_LIMIT_MS, "startup", world.is_ready)
    approval = {"operators": ["carol"], "failure_domains": world.domains}
    service = {"kind": "latency-critical"}
    for key, value in (
        ("standing_approvals/carol", approval),
        ("services/seats", service),
    ):
        world.operators[0].patch(Change(op="set", key=key, value=value))
    world.wait(
        10_000,
        "approval of the first patches",
        lambda: not count_unfinished_actions(world),
    )


def count_unfinished_actions(world: World) -> int:
    """Return the number of unfinished actions of all operators."""
    return sum(operator.unfinished_actions for operator in world.operators)


def schedule(world: World) -> None:
    """Schedule the actions of operators and workers for one run."""
    alice, carol = world.operators
    first, second = world.domains

    def call_later(
        delay_ms: int, action: Callable[..., Any], *values: Any
    ) -> None:
        bound = functools.partial(action, *values)
        world.engine.call_later(delay_ms, None, bound)

    def transfer(group: str) -> None:
        leader = world.leader(group)
        if leader is not None:
            leader.transfer_leadership(group)

    def evict(domain: str) -> None:
        world.schedulers[f"{domain}-s1"].evictions_due += 2

    def replace_member() -> None:
        member = world.stores[world.groups[first][-1]]
        if world.may_lose_disk(member):
            member.crash(600)
            member.lose_disk()
        elif len(world.groups[first]) == 3:
            call_later(300, replace_member)

    for domain in world.domains:
        overnight_job = job(
            f"overnight-{domain}", domain, 11_000, task_count=1
        )
        call_later(0, alice.submit_job, job(f"short-{domain}", domain))
        call_later(50, alice.submit_job, overnight_job)
        call_later(100, alice.submit_job, job(f"long-{domain}", domain, 6_000))
        call_later(2_600, evict, domain)
        call_later(9_000, evict, domain)
    moving_job = job("moving", second, 9_000, when_domain_lost="move")
    call_later(150, alice.submit_job, moving_job)
    call_later(200, alice.submit_job, job("cancelled", first, 60_000))
    call_later(500, alice.patch, limit("run-1", 1))
    call_later(620, alice.patch, limit("run-2", 2))
    call_later(760, alice.patch, limit("run-3", 3))
    call_later(1_000, carol.restrict, first)
    call_later(2_000, alice.cancel_job, "cancelled")
    call_later(2_200, world.workers[f"{first}-w2"].crash, 8_000)
    call_later(4_000, carol.set_domain, second, "out-of-service")
    call_later(6_000, world.workers[f"{second}-w1"].leave)
    call_later(6_000, world.workers[f"{second}-w2"].leave)
    call_later(6_500, replace_member)
    call_later(7_500, transfer, "global")
    call_later(8_300, transfer, second)
    call_later(8_600, carol.set_domain, second, "in-service")
    call_later(9_500, alice.patch, limit("run-4", 4))
    call_later(10_000, alice.submit_job, job(f"late-{first}", first))
    call_later(10_800, world.workers[f"{first}-w1"].leave)


def finish(world: World) -> None:
    """Heal all faults and check liveness."""
    world.heal()
    alice, oracle = world.operators[0], world.oracle
    # A restriction that was sent earlier may arrive only now. It stays in
    # effect until its domain is set in service after it.
    world.wait(
        LIVENESS_LIMIT_MS,
        "replies to earlier actions",
        lambda: not count_unfinished_actions(world),
    )
    for domain in world.domains:
        alice.set_domain(domain, "in-service")
        alice.submit_job(job(f"last-{domain}", domain))
    approved_versions: list[int] = []
    alice.patch(limit("last", 1), on_approved=approved_versions.append)
    version_users = [*world.entries, *world.schedulers]
    tasks = {
        f"{name}/{number}"
        for name, submitted in oracle.jobs.items()
        if name not in oracle.cancelled
        for number in range(submitted.task_count)
    }

    def newest_version_in_use() -> bool:
        newest = oracle.newest_version()
        return all(
            oracle.versions_in_use.get(f, 0) >= newest for f in version_users
        )

    def wait(description: str, condition: Callable[[], bool]) -> None:
        world.wait(LIVENESS_LIMIT_MS, description, condition)

    wait("approval of a patch", lambda: bool(approved_versions))
    wait(
        "the newest version on all entries and schedulers",
        newest_version_in_use,
    )
    for domain in world.domains:
        wait(f"a booking in {domain}", _booking_answered(world, domain))
    wait("completion of all tasks", lambda: tasks <= oracle.completed_tasks)
    wait("replies to operators", lambda: not count_unfinished_actions(world))


def _booking_answered(world: World, domain: str) -> Callable[[], bool]:
    """Return a condition that repeats a booking until one is answered."""
    caller = world.callers[domain]
    caller.active = False
    tokens = [caller.book()]

    def answered() -> bool:
        if world.engine.now_ms % 500 == 0:
            tokens.append(caller.book())
        return bool(set(tokens) & world.oracle.requests.answered_tokens)

    return answered


def run(world: World) -> None:
    """Run the whole scenario; faults must be set up beforehand."""
    schedule(world)
    world.run(RUN_MS)
    finish(world)
