"""Faults that a cell injects on the host at which a step occurs."""

import functools
from collections.abc import Callable

from testing.proof import scenario
from testing.proof.engine import CrashedError
from testing.proof.engine import Host
from testing.proof.stores import StoreHost
from testing.proof.workers import WorkerHost
from testing.proof.world import World

FAULT_DURATION_MS = 3_000
STORE_FREEZE_MS = 4_000
"""Longer than a leader's lease and an election."""

WORKER_FREEZE_MS = 8_000
"""Longer than a worker's lease of 6 s."""

Fault = Callable[[World, Host, str], None]


def crash_before_sync(world: World, host: Host, group: str) -> None:
    """Crash the process before its next write is durable."""
    if not isinstance(host, StoreHost):
        raise CrashedError(host)
    host.disks[group].crash_at = "before"


def crash_after_sync(world: World, host: Host, group: str) -> None:
    """Crash the process after its next sync, before it sends any message."""
    if isinstance(host, StoreHost):
        host.disks[group].crash_at = "after"
    else:
        world.engine.call_later(1, host, host.crash)


def lost_disk(world: World, host: Host, group: str) -> None:
    """Crash a store and lose its disk; it restarts with an empty one."""

    def lose_disk_and_crash() -> None:
        target = host
        if isinstance(host, StoreHost):
            if world.may_lose_disk(host):
                host.lose_disk()
            else:
                # The group can't lose a voter; replace a learner instead.
                for name in host.groups.get(group, ()):
                    if _is_learner(world, world.stores[name], group):
                        target = world.stores[name]
                        world.stores[name].lose_disk()
        target.crash()

    world.engine.call_later(0, host, lose_disk_and_crash)


def _is_learner(world: World, store: StoreHost, group: str) -> bool:
    leader = world.leader(group)
    if leader is None or not store.up:
        return False
    identity = store.runners[group].status.identity
    return identity not in leader.runners[group].status.voters


def cut(world: World, host: Host, group: str) -> None:
    """Isolate the host, or the whole failure domain of a store."""
    if isinstance(host, StoreHost):
        world.isolate_domain(host.domain)
    else:
        world.isolate(host)
    world.engine.call_later(FAULT_DURATION_MS, None, world.reconnect)


def cut_host(world: World, host: Host, group: str) -> None:
    """Isolate only the host, for longer than any lease."""
    world.isolate(host)
    world.engine.call_later(WORKER_FREEZE_MS, None, world.reconnect)


def one_way_cut(world: World, host: Host, group: str) -> None:
    """Drop all messages that the host sends."""
    world.isolate(host, outgoing_only=True)
    world.engine.call_later(FAULT_DURATION_MS, None, world.reconnect)


def freeze(world: World, host: Host, group: str) -> None:
    """Pause the process beyond its lease; it resumes with its old state."""
    worker = isinstance(host, WorkerHost)
    host.freeze(WORKER_FREEZE_MS if worker else STORE_FREEZE_MS)


def duplicate(world: World, host: Host, group: str) -> None:
    """Duplicate the host's messages and deliver the copies out of order."""
    reorder(world, host, group)
    world.network.duplicating.add(host.name)
    world.engine.call_later(
        FAULT_DURATION_MS, None, world.network.duplicating.clear
    )


def delay(world: World, host: Host, group: str) -> None:
    """Delay all messages from and to the host."""
    world.network.delaying.add(host.name)
    world.engine.call_later(
        FAULT_DURATION_MS, None, world.network.delaying.clear
    )


def reorder(world: World, host: Host, group: str) -> None:
    """Reorder the messages from and to the host."""
    world.network.reordering.add(host.name)
    world.engine.call_later(
        FAULT_DURATION_MS, None, world.network.reordering.clear
    )


def lost_answers(world: World, host: Host, group: str) -> None:
    """Drop the host's next four replies; the senders retry."""
    world.network.replies_to_lose[host.name] = 4


def racing_operators(world: World, host: Host, group: str) -> None:
    """Let two operators change the same settings concurrently."""
    alice, carol = world.operators
    domain = world.domains[0]
    carol.set_domain(domain, "out-of-service")
    alice.patch(scenario.limit("run-1", 0))
    carol.restrict(world.domains[1])
    _request_evictions(world, world.domains)
    return_to_service = functools.partial(
        alice.set_domain, domain, "in-service"
    )
    world.engine.call_later(FAULT_DURATION_MS, None, return_to_service)


def crash_all(world: World, host: Host, group: str) -> None:
    """Crash all store processes at once."""
    for store in world.stores.values():
        world.engine.call_later(0, store, store.crash)


def crash_two(world: World, host: Host, group: str) -> None:
    """Crash the process, and a second group member while it is down."""
    others = [n for n in world.groups.get(group, ()) if n != host.name]
    for name in others[:1]:
        world.engine.call_later(700, None, world.stores[name].crash)
    crash_after_sync(world, host, group)


def second_disk_lost(world: World, host: Host, group: str) -> None:
    """Lose another voter's disk just after the first was replaced."""
    for name in world.groups[group]:
        store = world.stores[name]
        if name != host.name and world.may_lose_disk(store):
            store.lose_disk()
            store.crash()
            return
    raise AssertionError("the repaired group lacks three live voters")


def cut_and_freeze(world: World, host: Host, group: str) -> None:
    """Isolate the domain and freeze the host just before it reconnects."""
    cut(world, host, group)
    world.engine.call_later(
        FAULT_DURATION_MS - 200, None, lambda: freeze(world, host, group)
    )


def freeze_and_crash_next(world: World, host: Host, group: str) -> None:
    """Freeze the host and crash the leader that replaces it."""
    freeze(world, host, group)
    if group:
        world.engine.call_later(
            3_300, None, lambda: _crash_leader(world, group)
        )


def reorder_and_patch(world: World, host: Host, group: str) -> None:
    """Approve many patches while messages to the domains are reordered.

    Links between members of one group are not affected, so that no leader
    loses its lease.
    """
    voters = world.groups["global"]
    for domain in world.domains:
        leader = world.leader(domain)
        if leader is not None and leader.name in voters:
            leader.transfer_leadership(domain)
        for member in set(world.groups[domain]) - set(voters):
            for voter in set(voters) - set(world.groups[domain]):
                world.network.reordering_links.add(frozenset((member, voter)))
    stop_reordering = world.network.reordering_links.clear
    world.engine.call_later(FAULT_DURATION_MS, None, stop_reordering)
    for index in range(20):
        change = scenario.limit("fast", index)
        patch = functools.partial(world.operators[0].patch, change)
        world.engine.call_later(100 * index, None, patch)


def long_job_and_freeze(world: World, host: Host, group: str) -> None:
    """Freeze a worker until its tasks have been restarted elsewhere."""
    domain = world.domains[0]
    resources = {
        "task_count": 6,
        "processors_millicores": 500,
        "memory_mb": 100,
    }
    long_job = scenario.job(f"long-job-{domain}", domain, 20_000, **resources)
    world.operators[0].submit_job(long_job)
    worker = world.workers[f"{domain}-w1"]
    freeze_worker = functools.partial(worker.freeze, WORKER_FREEZE_MS + 1_000)
    world.engine.call_later(FAULT_DURATION_MS, None, freeze_worker)


def freeze_entry(world: World, host: Host, group: str) -> None:
    """Freeze the entry that workers don't use; its requests are deferred."""
    world.entries_of(_domain_of(world, host))[-1].freeze(STORE_FREEZE_MS)


def cut_and_take_out(world: World, host: Host, group: str) -> None:
    """Isolate a failure domain, take it out of service and evict its tasks."""
    domain = _domain_of(world, host)
    world.isolate_domain(domain)
    world.engine.call_later(WORKER_FREEZE_MS, None, world.reconnect)
    _take_out_of_service(world, domain)


def cut_workers_and_take_out(world: World, host: Host, group: str) -> None:
    """Isolate workers within their leases; take the domain out of service."""
    domain = _domain_of(world, host)
    for worker in world.workers.values():
        if worker.domain == domain:
            world.isolate(worker)
    world.engine.call_later(4_500, None, world.reconnect)
    _take_out_of_service(world, domain)


def cut_worker_and_change_leader(world: World, host: Host, group: str) -> None:
    """Isolate a worker and crash the leader that granted its lease."""
    domain = _domain_of(world, host)
    workers = [w for w in world.workers.values() if w.domain == domain]
    cut_host(world, host if host in workers else workers[0], group)
    world.engine.call_later(500, None, lambda: _crash_leader(world, domain))


def _crash_leader(world: World, group: str) -> None:
    leader = world.leader(group)
    if leader is not None:
        leader.crash()


def _domain_of(world: World, host: Host) -> str:
    return host.domain if host.domain in world.domains else world.domains[0]


def _request_evictions(world: World, domains: tuple[str, ...]) -> None:
    for scheduler in world.schedulers.values():
        scheduler.evictions_due += 2 * (scheduler.domain in domains)


def _take_out_of_service(world: World, domain: str) -> None:
    alice, carol = world.operators
    carol.set_domain(domain, "out-of-service")
    _request_evictions(world, (domain,))
    return_to_service = functools.partial(
        alice.set_domain, domain, "in-service"
    )
    world.engine.call_later(WORKER_FREEZE_MS, None, return_to_service)


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
COMBINED = _by_name(
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
"""Combinations of faults, for the steps in `SAFETY_STEPS`."""

FAULTS = SINGLE | COMBINED | _by_name(second_disk_lost, freeze_entry)
