"""Acknowledgement of ends to the process that listed them."""

import dataclasses

from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import RenewLeaseResult


class RenewalGuard:
    """Keeps acknowledgements from another process of the same worker.

    A worker that starts anew under its id and address numbers its ends anew,
    so an acknowledgement meant for the earlier process would delete ends that
    are not recorded. A connection ends with its process: renewals
    acknowledge ends only after an answer on the same connection has named the
    process.
    """

    def __init__(self) -> None:
        self._incarnation: int | None = None
        self._answered = False

    def prepare(self, renewal: RenewLease, incarnation: int) -> RenewLease:
        """Return the renewal that may be sent to an incarnation."""
        if self._answered and self._incarnation in (None, incarnation):
            return renewal
        return dataclasses.replace(renewal, acknowledged_end=0)

    def handle_answer(self, answer: RenewLeaseResult) -> None:
        """Record which process has answered on the connection.

        A worker that does not name its start time never starts anew under the
        same id.
        """
        if isinstance(answer, LeaseRenewed):
            self._answered = True
            self._incarnation = answer.incarnation
