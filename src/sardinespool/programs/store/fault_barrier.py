"""Confines an unexpected error to the request or command that raised it.

Without that, one request would end the process, and its resends all others.
"""

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.errors.transport import ServiceFaultError
from sardinespool.groups.interfaces import GroupMachine
from sardinespool.groups.interfaces import GroupService
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.groups.interfaces import Proposal
from sardinespool.groups.refusal import refusal_from_error
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Command
from sardinespool.observability.logs import get_logger
from sardinespool.observability.tracebacks import format_current_exception

_LOG = get_logger("store")


def handle_request(
    group: str, service: GroupService, request: Request, now: Instant
) -> ImmediateReply | Proposal:
    """Pass a request to the service.

    Raises
    ------
    ServiceFaultError
        An unexpected error occurred before anything was proposed.
    SardinespoolError
        The request is refused.
    """
    try:
        return service.handle(request, now)
    except SardinespoolError:
        raise
    except Exception as error:
        log_fault(group, "request", type(request).__name__)
        raise ServiceFaultError(
            "The request could not be handled.",
            request=type(request).__name__,
        ) from error


def apply_command(
    group: str, machine: GroupMachine, command: Command, index: int
) -> Reply:
    """Apply a command; an unexpected error refuses it, on each member alike.

    Otherwise the entry would end each member again at every start. A shortage
    of memory differs between members, so it ends the one that has it.
    """
    try:
        return machine.apply(command, index)
    except (MemoryError, RecursionError):
        raise
    except Exception:
        name = type(command.body).__name__
        log_fault(group, "apply", name)
        return refusal_from_error(
            InvalidMessageError(
                "The command could not be applied.", command=name
            )
        )


def log_fault(group: str, during: str, message: str) -> None:
    """Log the exception that is being handled.

    Parameters
    ----------
    group : str
        Group whose code raised it.
    during : str
        What the code was doing.
    message : str
        Type of the message or command; may be empty.
    """
    _LOG.error(
        "unexpected error",
        group=group,
        during=during,
        message=message,
        fault=format_current_exception(),
    )
