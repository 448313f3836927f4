"""Events of the synchronisation of a domain group with the global group."""

from sardinespool.clock import Instant
from sardinespool.groups.domain_service import DomainService
from sardinespool.groups.interfaces import GroupService
from sardinespool.messages.commands import CommandBody
from sardinespool.programs.store.pending import Waiter
from sardinespool.programs.store.runner_events import SyncReceived
from sardinespool.programs.store.runner_events import SyncRequested


def answer_sync_request(
    event: SyncRequested, service: GroupService, serves: bool, now: Instant
) -> None:
    """Set the next request to the global group, None if there is none.

    Parameters
    ----------
    event : SyncRequested
        Event with the future of the request.
    service : GroupService
        Service of the group; only a domain group synchronises.
    serves : bool
        Whether this member serves the group.
    now : Instant
        Current time.
    """
    request = None
    if serves and isinstance(service, DomainService):
        request = service.build_sync_request(now)
    if not event.request.done():
        event.request.set_result(request)


def sync_proposals(
    event: SyncReceived, service: GroupService, now: Instant
) -> list[tuple[CommandBody, Waiter]]:
    """Return the commands that follow from a reply of the global group."""
    if not isinstance(service, DomainService):
        return []
    return [
        (body, Waiter())
        for body in service.handle_sync_reply(event.reply, now)
    ]
