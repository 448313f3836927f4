"""Faults that a cell injects at a step, on the host where it happens."""

import functools
from collections.abc import Callable

from testing.proof import scenario
from testing.proof.engine import CrashedError
from testing.proof.engine import Host
from testing.proof.stores import StoreHost
from testing.proof.workers import WorkerHost
from testing.proof.world import World

FAULT_MS = 3_000
STORE_FREEZE_MS = 4_000
"""Longer than a leader's lease and an election."""

WORKER_FREEZE_MS = 8_000
"""Longer than a worker's lease of 6 s."""

Fault = Callable[[World, Host, str], None]


def crash_before_sync(world: World, host: Host, group: str) -> None:
    """End the process before what it does next is durable."""
    if not isinstance(host, StoreHost):
        raise CrashedError(host)
    host.disks[group].crash_at = "before"


def crash_after_sync(world: World, host: Host, group: str) -> None:
    """End the process after its next sync and before it tells anybody."""
    if isinstance(host, StoreHost):
        host.disks[group].crash_at = "after"
    else:
        world.engine.at(1, host, host.crash)


def lost_disk(world: World, host: Host, group: str) -> None:
    """End a store process for good; another one with its name starts."""

    def lose() -> None:
        target = host
        if isinstance(host, StoreHost):
            if world.may_lose_disk(host):
                host.lose_disk()
            else:
                # Only a member without a vote may be lost in addition.
                for name in host.groups.get(group, ()):
                    if _learns(world, world.stores[name], group):
                        target = world.stores[name]
                        world.stores[name].lose_disk()
        target.crash()

    world.engine.at(0, host, lose)


def _learns(world: World, store: StoreHost, group: str) -> bool:
    leader = world.leader(group)
    if leader is None or not store.up:
        return False
    identity = store.runners[group].status.identity
    return identity not in leader.runners[group].status.voters


def cut(world: World, host: Host, group: str) -> None:
    """Cut the host off, with its failure domain if it is a store."""
    if isinstance(host, StoreHost):
        world.isolate_domain(host.domain)
    else:
        world.isolate(host)
    world.engine.at(FAULT_MS, None, world.reconnect)


def cut_host(world: World, host: Host, group: str) -> None:
    """Cut the host alone off, for longer than any lease."""
    world.isolate(host)
    world.engine.at(WORKER_FREEZE_MS, None, world.reconnect)


def one_way_cut(world: World, host: Host, group: str) -> None:
    """Lose everything that the host sends."""
    world.isolate(host, outgoing_only=True)
    world.engine.at(FAULT_MS, None, world.reconnect)


def freeze(world: World, host: Host, group: str) -> None:
    """Stop the process past its lease; it resumes as if nothing was."""
    worker = isinstance(host, WorkerHost)
    host.freeze(WORKER_FREEZE_MS if worker else STORE_FREEZE_MS)


def duplicate(world: World, host: Host, group: str) -> None:
    """Deliver every message of the host twice, at different times."""
    reorder(world, host, group)
    world.network.duplicating.add(host.name)
    world.engine.at(FAULT_MS, None, world.network.duplicating.clear)


def delay(world: World, host: Host, group: str) -> None:
    """Delay every message of the host."""
    world.network.delaying.add(host.name)
    world.engine.at(FAULT_MS, None, world.network.delaying.clear)


def reorder(world: World, host: Host, group: str) -> None:
    """Deliver the messages of the host in another order."""
    world.network.reordering.add(host.name)
    world.engine.at(FAULT_MS, None, world.network.reordering.clear)


def lost_answers(world: World, host: Host, group: str) -> None:
    """Lose the next answers; the others resend."""
    world.network.replies_to_lose[host.name] = 4


def racing_operators(world: World, host: Host, group: str) -> None:
    """Let two operators change the same things at once."""
    alice, carol = world.operators
    domain = world.domains[0]
    carol.set_domain(domain, "out-of-service")
    alice.patch(scenario.limit("run-1", 0))
    carol.restrict(world.domains[1])
    _evict(world, world.domains)
    back = functools.partial(alice.set_domain, domain, "in-service")
    world.engine.at(FAULT_MS, None, back)


def crash_all(world: World, host: Host, group: str) -> None:
    """End every store process at once."""
    for store in world.stores.values():
        world.engine.at(0, store, store.crash)


def crash_two(world: World, host: Host, group: str) -> None:
    """End the process, and another of its group while it is away."""
    others = [n for n in world.groups.get(group, ()) if n != host.name]
    for name in others[:1]:
        world.engine.at(700, None, world.stores[name].crash)
    crash_after_sync(world, host, group)


def second_disk_lost(world: World, host: Host, group: str) -> None:
    """Lose another voter's disk, right after a repair of the first."""
    for name in world.groups[group]:
        store = world.stores[name]
        if name != host.name and world.may_lose_disk(store):
            store.lose_disk()
            store.crash()
            return
    raise AssertionError("the group was not whole after the repair")


def cut_and_freeze(world: World, host: Host, group: str) -> None:
    """Cut the domain off and freeze the host as the cut ends."""
    cut(world, host, group)
    world.engine.at(FAULT_MS - 200, None, lambda: freeze(world, host, group))


def freeze_and_crash_next(world: World, host: Host, group: str) -> None:
    """Freeze the host, and end whoever leads in its place."""
    freeze(world, host, group)
    if group:
        world.engine.at(3_300, None, lambda: _crash_leader(world, group))


def reorder_and_patch(world: World, host: Host, group: str) -> None:
    """Approve many patches while their ways to the domains change places.

    Links between members of one group are spared, so that leaders stay.
    """
    voters = world.groups["global"]
    for domain in world.domains:
        leader = world.leader(domain)
        if leader is not None and leader.name in voters:
            leader.transfer(domain)
        for member in set(world.groups[domain]) - set(voters):
            for voter in set(voters) - set(world.groups[domain]):
                world.network.reordering_links.add(frozenset((member, voter)))
    clear = world.network.reordering_links.clear
    world.engine.at(FAULT_MS, None, clear)
    for number in range(20):
        change = scenario.limit("fast", number)
        patch = functools.partial(world.operators[0].patch, change)
        world.engine.at(100 * number, None, patch)


def long_job_and_freeze(world: World, host: Host, group: str) -> None:
    """Freeze a worker so long that its tasks run elsewhere when it thaws."""
    domain = world.domains[0]
    size = {"task_count": 6, "processors_millicores": 500, "memory_mb": 100}
    work = scenario.job(f"long-job-{domain}", domain, 20_000, **size)
    world.operators[0].submit_job(work)
    worker = world.workers[f"{domain}-w1"]
    frozen = functools.partial(worker.freeze, WORKER_FREEZE_MS + 1_000)
    world.engine.at(FAULT_MS, None, frozen)


def freeze_entry(world: World, host: Host, group: str) -> None:
    """Freeze the entry that workers don't use; requests wait there."""
    world.entries_of(_domain_of(world, host))[-1].freeze(STORE_FREEZE_MS)


def cut_and_take_out(world: World, host: Host, group: str) -> None:
    """Cut a failure domain off and take it out; its tasks want to restart."""
    domain = _domain_of(world, host)
    world.isolate_domain(domain)
    world.engine.at(WORKER_FREEZE_MS, None, world.reconnect)
    _take_out(world, domain)


def cut_workers_and_take_out(world: World, host: Host, group: str) -> None:
    """Cut the workers off within their leases and take the domain out."""
    domain = _domain_of(world, host)
    for worker in world.workers.values():
        if worker.domain == domain:
            world.isolate(worker)
    world.engine.at(4_500, None, world.reconnect)
    _take_out(world, domain)


def cut_worker_and_change_leader(world: World, host: Host, group: str) -> None:
    """Cut a worker off and end the leader that knows its lease."""
    domain = _domain_of(world, host)
    workers = [w for w in world.workers.values() if w.domain == domain]
    cut_host(world, host if host in workers else workers[0], group)
    world.engine.at(500, None, lambda: _crash_leader(world, domain))


def _crash_leader(world: World, group: str) -> None:
    leader = world.leader(group)
    if leader is not None:
        leader.crash()


def _domain_of(world: World, host: Host) -> str:
    return host.domain if host.domain in world.domains else world.domains[0]


def _evict(world: World, domains: tuple[str, ...]) -> None:
    for scheduler in world.schedulers.values():
        scheduler.evictions_due += 2 * (scheduler.domain in domains)


def _take_out(world: World, domain: str) -> None:
    alice, carol = world.operators
    carol.set_domain(domain, "out-of-service")
    _evict(world, (domain,))
    back = functools.partial(alice.set_domain, domain, "in-service")
    world.engine.at(WORKER_FREEZE_MS, None, back)


def _by_name(*faults: Fault) -> dict[str, Fault]:
    return {fault.__name__.replace("_", "-"): fault for fault in faults}


SINGLE = _by_name(
    crash_before_sync,
    crash_after_sync,
    lost_disk,
    cut,
    cut_host,
    one_way_cut,
    freeze,
    duplicate,
    delay,
    reorder,
    lost_answers,
    racing_operators,
)
PAIRS = _by_name(
    crash_all,
    crash_two,
    cut_and_freeze,
    freeze_and_crash_next,
    reorder_and_patch,
    long_job_and_freeze,
    cut_and_take_out,
    cut_workers_and_take_out,
    cut_worker_and_change_leader,
)
"""Several faults at once, for the steps that carry safety."""

FAULTS = SINGLE | PAIRS | _by_name(second_disk_lost, freeze_entry)
