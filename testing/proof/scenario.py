"""What operators, callers and workers do in every run, and the end."""

import functools
from collections.abc import Callable
from typing import Any

import msgspec

from sardinespool.messages.configuration import Change
from sardinespool.messages.jobs import Job
from testing.proof.world import START_LIMIT_MS
from testing.proof.world import World

LIVENESS_LIMIT_MS = 45_000
"""Elections, worker leases and a snapshot transfer may come first."""

RUN_MS = 14_500


def job(job_id: str, domain: str, work_ms: int = 1_500, **fields: Any) -> Job:
    """Return a job whose tasks checkpoint every 400 ms."""
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
    world.wait(START_LIMIT_MS, "the start", world.is_ready)
    standing = {"operators": ["carol"], "failure_domains": world.domains}
    seats = {"kind": "latency-critical"}
    for key, value in (
        ("standing_approvals/carol", standing),
        ("services/seats", seats),
    ):
        world.operators[0].patch(Change(op="set", key=key, value=value))
    world.wait(10_000, "the first patches", lambda: not unfinished(world))


def unfinished(world: World) -> int:
    """Return the number of operators' actions that have not ended."""
    return sum(operator.unfinished for operator in world.operators)


def schedule(world: World) -> None:
    """Plan the operators' and workers' actions of one run."""
    alice, carol = world.operators
    one, two = world.domains

    def at(delay_ms: int, action: Callable[..., Any], *values: Any) -> None:
        bound = functools.partial(action, *values)
        world.engine.at(delay_ms, None, bound)

    def transfer(group: str) -> None:
        leader = world.leader(group)
        if leader is not None:
            leader.transfer(group)

    def evict(domain: str) -> None:
        world.schedulers[f"{domain}-s1"].evictions_due += 2

    def replace_member() -> None:
        member = world.stores[world.groups[one][-1]]
        if world.may_lose_disk(member):
            member.crash(600)
            member.lose_disk()
        elif len(world.groups[one]) == 3:
            at(300, replace_member)

    for domain in world.domains:
        night = job(f"overnight-{domain}", domain, 11_000, task_count=1)
        at(0, alice.submit_job, job(f"short-{domain}", domain))
        at(50, alice.submit_job, night)
        at(100, alice.submit_job, job(f"long-{domain}", domain, 6_000))
        at(2_600, evict, domain)
        at(9_000, evict, domain)
    moving = job("moving", two, 9_000, when_domain_lost="move")
    at(150, alice.submit_job, moving)
    at(200, alice.submit_job, job("cancelled", one, 60_000))
    at(500, alice.patch, limit("run-1", 1))
    at(620, alice.patch, limit("run-2", 2))
    at(760, alice.patch, limit("run-3", 3))
    at(1_000, carol.restrict, one)
    at(2_000, alice.cancel_job, "cancelled")
    at(2_200, world.workers[f"{one}-w2"].crash, 8_000)
    at(4_000, carol.set_domain, two, "out-of-service")
    at(6_000, world.workers[f"{two}-w1"].leave)
    at(6_000, world.workers[f"{two}-w2"].leave)
    at(6_500, replace_member)
    at(7_500, transfer, "global")
    at(8_300, transfer, two)
    at(8_600, carol.set_domain, two, "in-service")
    at(9_500, alice.patch, limit("run-4", 4))
    at(10_000, alice.submit_job, job(f"late-{one}", one))
    at(10_800, world.workers[f"{one}-w1"].leave)


def finish(world: World) -> None:
    """Heal every fault and check that the deployment does its work."""
    world.heal()
    alice, oracle = world.operators[0], world.oracle
    # A restriction that a racing operator sent earlier may arrive only now;
    # it rightly stays until its domain is set in service after it.
    world.wait(
        LIVENESS_LIMIT_MS,
        "answers to earlier actions",
        lambda: not unfinished(world),
    )
    for domain in world.domains:
        alice.set_domain(domain, "in-service")
        alice.submit_job(job(f"last-{domain}", domain))
    marked: list[int] = []
    alice.patch(limit("last", 1), done=marked.append)
    followers = [*world.entries, *world.schedulers]
    tasks = {
        f"{name}/{number}"
        for name, known in oracle.jobs.items()
        if name not in oracle.cancelled
        for number in range(known.task_count)
    }

    def everywhere() -> bool:
        newest = oracle.newest_version()
        return all(oracle.in_force.get(f, 0) >= newest for f in followers)

    def wait(what: str, condition: Callable[[], bool]) -> None:
        world.wait(LIVENESS_LIMIT_MS, what, condition)

    wait("an approved patch", lambda: bool(marked))
    wait("the newest version in force everywhere", everywhere)
    for domain in world.domains:
        wait(f"a booking in {domain}", _booking(world, domain))
    wait("every task completed", lambda: tasks <= oracle.completions)
    wait("answers to operators", lambda: not unfinished(world))


def _booking(world: World, domain: str) -> Callable[[], bool]:
    """Return whether one of the bookings that it makes was answered."""
    caller = world.callers[domain]
    caller.active = False
    tokens = [caller.book()]

    def answered() -> bool:
        if world.engine.now_ms % 500 == 0:
            tokens.append(caller.book())
        return bool(set(tokens) & world.oracle.requests.answered)

    return answered


def run(world: World) -> None:
    """Run a whole scenario; the caller has armed the faults."""
    schedule(world)
    world.run(RUN_MS)
    finish(world)
