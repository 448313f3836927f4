"""Construction of an entry from its components."""

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from sardinespool.clock import Instant
from sardinespool.errors.settings import SettingsError
from sardinespool.observability.metrics import Metrics
from sardinespool.programs.entry.caller_handler import CallerHandler
from sardinespool.programs.entry.credentials import Credentials
from sardinespool.programs.entry.entry_dump import entry_dump
from sardinespool.programs.entry.entry_metrics import EntryMetrics
from sardinespool.programs.entry.entry_state import EntryState
from sardinespool.programs.entry.forwarding import Forwarder
from sardinespool.programs.entry.groups import Groups
from sardinespool.programs.entry.http_routes import HttpRoutes
from sardinespool.programs.entry.operator_call import OperatorContext
from sardinespool.programs.entry.operator_handler import OperatorHandler
from sardinespool.programs.entry.request_runner import RunnerContext
from sardinespool.programs.entry.router_task import RouterTask
from sardinespool.programs.entry.sync_task import SyncTask
from sardinespool.programs.entry.worker_handler import WorkerHandler
from sardinespool.programs.guard_metrics import GuardMetrics
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.router import Router
from sardinespool.settings.model import EntryMember
from sardinespool.settings.model import EntrySettings
from sardinespool.transport.http_connection_pool import HttpConnectionPool
from sardinespool.transport.http_server import HttpListener
from sardinespool.transport.http_server import ServerLimits
from sardinespool.transport.listener_guard import ListenerGuard
from sardinespool.transport.tls import peer_client_context
from sardinespool.transport.tls import server_context


@dataclasses.dataclass(frozen=True, slots=True)
class EntryComponents:
    """Components that the entry process starts, stops and reports on."""

    member: EntryMember
    state: EntryState
    router: RouterTask
    sync: SyncTask
    callers: CallerHandler
    listener: HttpListener
    endpoint_pool: HttpConnectionPool
    entry_pool: HttpConnectionPool
    dump: Callable[[], dict[str, Any]]


def wire_entry(
    settings: EntrySettings, groups: Groups, clock: Callable[[], Instant]
) -> EntryComponents:
    """Create the components without starting tasks or opening sockets.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    groups : Groups
        Clients of all groups.
    clock : callable
        Returns the current instant.

    Raises
    ------
    SettingsError
        The cluster settings have no entry of that name.
    """
    cluster = settings.cluster
    member = _find_member(settings)
    domain = member.failure_domain
    generator = random.SystemRandom()
    state = EntryState()
    metrics = Metrics("entry", settings.name)
    entry_metrics = EntryMetrics(metrics)
    credentials = Credentials(cluster.credentials)
    endpoint_pool = HttpConnectionPool(settings.body_limit_bytes, clock)
    entry_pool = HttpConnectionPool(
        settings.body_limit_bytes, clock, peer_client_context(cluster.tls)
    )
    own_entries = [
        each for each in cluster.entries if each.failure_domain == domain
    ]
    other_entries = [
        each for each in cluster.entries if each not in own_entries
    ]
    router = RouterTask(
        Router(
            len(own_entries), settings.queue_length, generator.getrandbits(64)
        ),
        clock,
        endpoint_pool.retain,
    )
    keys = KeySource(domain, cluster.failure_domains, generator)
    sync = SyncTask(member, groups, router, keys, state, clock, entry_metrics)
    runner_context = RunnerContext(
        clock=clock,
        router=router,
        pool=endpoint_pool,
        groups=groups,
        forwarder=Forwarder(other_entries, entry_pool, clock),
        metrics=entry_metrics,
    )
    callers = CallerHandler(settings, state, credentials, keys, runner_context)

    def dump() -> dict[str, Any]:
        return entry_dump(
            member,
            state,
            router.router,
            endpoint_pool,
            callers.running,
            clock(),
        )

    operator_context = OperatorContext(
        failure_domain=domain,
        groups=groups,
        table=router.router.table,
        clock=clock,
        dump=dump,
    )
    routes = HttpRoutes(
        callers,
        WorkerHandler(domain, groups, credentials, clock),
        OperatorHandler(operator_context, credentials),
        state,
        metrics,
        credentials,
        dump,
    )
    listener = HttpListener(
        member.address,
        routes.handle,
        ServerLimits(settings.body_limit_bytes),
        server_context(cluster.tls),
        guard=ListenerGuard(report=GuardMetrics(metrics).report),
    )
    return EntryComponents(
        member=member,
        state=state,
        router=router,
        sync=sync,
        callers=callers,
        listener=listener,
        endpoint_pool=endpoint_pool,
        entry_pool=entry_pool,
        dump=dump,
    )


def _find_member(settings: EntrySettings) -> EntryMember:
    for entry in settings.cluster.entries:
        if entry.name == settings.name:
            return entry
    raise SettingsError(
        "The cluster settings have no entry of this name.", name=settings.name
    )
