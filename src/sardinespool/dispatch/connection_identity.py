"""Which process of a worker takes the calls on a connection.

A worker that starts anew under its id and address takes calls that were meant
for its earlier process: a call names the worker, not the process. It would
run what it is told to start under a lease that is counted on the clock of the
earlier process, and delete ends that are not recorded. A connection ends with
its process, so a call can't reach a later one once an answer on the same
connection has named the process.
"""

from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import NoAnswer
from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import OrderResult
from sardinespool.dispatch.orders import OtherIncarnation
from sardinespool.dispatch.orders import OtherWorker
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import RenewLeaseResult
from sardinespool.dispatch.orders import Unconfirmed
from sardinespool.dispatch.orders import Withheld


class ConnectionIdentity:
    """The process that has named itself on one connection to a worker.

    Orders, lease ends and acknowledgements are sent only to a confirmed
    process. A worker that does not name its start time never starts anew
    under the same id.
    """

    def __init__(self) -> None:
        self._answered = False
        self._incarnation: int | None = None

    def is_confirmed(self, incarnation: int) -> bool:
        """Return whether calls to an incarnation reach no other one."""
        return self._answered and self._incarnation in (None, incarnation)

    def prepare(self, renewal: RenewLease, incarnation: int) -> RenewLease:
        """Return the renewal that may be sent to an incarnation.

        For a process that is not confirmed, it has no effect but the fencing
        token, and is answered at once.
        """
        if self.is_confirmed(incarnation):
            return renewal
        return identifying_renewal(renewal.fencing_token)

    def handle_answer(
        self, answer: RenewLeaseResult, incarnation: int
    ) -> RenewLeaseResult:
        """Record which process has answered a prepared renewal.

        Parameters
        ----------
        answer : RenewLeaseResult
            Answer on this connection.
        incarnation : int
            Incarnation for which the renewal was meant.

        Returns
        -------
        RenewLeaseResult
            The answer; `OtherIncarnation` if another one has given it.
        """
        if not isinstance(answer, LeaseRenewed):
            return answer
        was_confirmed = self.is_confirmed(incarnation)
        self._answered = True
        self._incarnation = answer.incarnation
        if answer.incarnation is None or answer.incarnation == incarnation:
            return answer
        return OtherIncarnation(
            answer.incarnation, answer.clock_ms, executed=was_confirmed
        )


def identifying_renewal(fencing_token: int) -> RenewLease:
    """Return a lease renewal that only asks which process answers."""
    return RenewLease(
        fencing_token=fencing_token, acknowledged_end=0, wait_ms=0
    )


def order_obstacle(answer: RenewLeaseResult) -> OrderResult | None:
    """Return why an order can't follow the call that identifies the process.

    None if the process is the one meant.
    """
    match answer:
        case LeaseRenewed():
            return None
        case OrderRefused(reason=Refusal.FENCED):
            return answer
        case OtherWorker() | OtherIncarnation() | Withheld():
            return answer
        case NoAnswer(reason=reason, closed=True):
            return NoAnswer(sent=False, reason=reason, closed=True)
        case NoAnswer(reason=reason):
            return Unconfirmed(reason, refused=False)
        case OrderRefused(reason=reason):
            return Unconfirmed(reason.value, refused=True)
