"""Table of the request records of a domain group."""

import heapq
from collections.abc import Iterable

import msgspec

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.errors.requests import DeadlineUnreachableError
from sardinespool.errors.requests import KeyNotFoundError
from sardinespool.errors.requests import KeyReusedError
from sardinespool.errors.requests import RequestTableFullError
from sardinespool.messages.commands import Refused
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.requests import StoredResponse
from sardinespool.messages.tasks import Accepted
from sardinespool.requests.record import OUTCOME_WAIT_MS
from sardinespool.requests.record import RequestRecord
from sardinespool.requests.record import RETENTION_MS

RECORDS_LIMIT = 200_000
"""Number of records at which new keys are refused."""

ANSWER_BYTES_LIMIT = 64 * 1_048_576
"""Size of the stored response bodies at which new keys are refused.

Each member of the group holds the bodies in memory and in each snapshot.
"""

# Lets a record outlive its generated key even if the clocks of the entry
# that generated the key and of two leaders differ.
_EXPIRY_MARGIN_MS = 2 * CLOCK_ERROR_MS


class RequestTable:
    """Request records by key, with an expiry queue.

    Attributes
    ----------
    records : dict
        Key to record.
    answer_bytes : int
        Total length of the stored response bodies.
    """

    def __init__(
        self,
        records_limit: int = RECORDS_LIMIT,
        answer_bytes_limit: int = ANSWER_BYTES_LIMIT,
    ) -> None:
        self.records: dict[str, RequestRecord] = {}
        self._records_limit = records_limit
        self._answer_bytes_limit = answer_bytes_limit
        self.answer_bytes = 0
        self._expiry_heap: list[tuple[int, str]] = []

    def load(self, records: Iterable[RequestRecord]) -> None:
        """Fill an empty table."""
        for record in records:
            self._store_record(record)
            self.answer_bytes += _body_bytes(record.answer)

    def ordered(self) -> list[RequestRecord]:
        """Return all records, sorted by key."""
        return [self.records[key] for key in sorted(self.records)]

    def recorded_reply(
        self, request: BeginRequest, now_unix_ms: int
    ) -> BeginReply | Refused | None:
        """Return the reply from a record; None if the key can be claimed."""
        record = self.records.get(request.key)
        if record is None:
            return None
        if record.body_digest != request.body_digest:
            return Refused(
                code=KeyReusedError.code,
                text="The key was used before with another body.",
            )
        match record.state:
            case "finished":
                return BeginReply(state="finished", answer=record.answer)
            case "unknown":
                return BeginReply(state="unknown")
            case "abandoned":
                if record.attempt_id != request.attempt_id:
                    return None
                # A delayed duplicate; the attempt will not send the request.
                return BeginReply(state="running")
        if now_unix_ms > record.send_deadline_unix_ms + OUTCOME_WAIT_MS:
            return BeginReply(state="unknown")
        if record.attempt_id == request.attempt_id:
            return BeginReply(state="granted")
        return BeginReply(state="running")

    def begin(
        self, request: BeginRequest, now_unix_ms: int
    ) -> BeginReply | Refused:
        """Claim a key without a record or with an abandoned one."""
        exists = request.key in self.records
        if not exists and (
            len(self.records) >= self._records_limit
            or self.answer_bytes >= self._answer_bytes_limit
        ):
            return Refused(
                code=RequestTableFullError.code,
                text="The table of request records is full.",
                details={
                    "records": len(self.records),
                    "answer_bytes": self.answer_bytes,
                },
            )
        if now_unix_ms > request.send_deadline_unix_ms:
            return Refused(
                code=DeadlineUnreachableError.code,
                text="The send deadline has passed.",
            )
        self._store_record(
            RequestRecord(
                key=request.key,
                body_digest=request.body_digest,
                entry_id=request.entry_id,
                attempt_id=request.attempt_id,
                begun_unix_ms=now_unix_ms,
                send_deadline_unix_ms=request.send_deadline_unix_ms,
            )
        )
        return BeginReply(state="granted")

    def finish(self, request: FinishRequest) -> Accepted | Refused:
        """Store the outcome of the attempt that holds the key.

        A stored response is never replaced. An unknown outcome is replaced
        by a response of the same attempt.
        """
        record = self.records.get(request.key)
        if (
            record is None
            or record.attempt_id != request.attempt_id
            or record.state == "abandoned"
        ):
            return Refused(
                code=KeyNotFoundError.code,
                text="The attempt does not hold the key.",
            )
        if record.state == "finished":
            return Accepted()
        self.answer_bytes += _body_bytes(request.answer)
        self.records[request.key] = msgspec.structs.replace(
            record,
            state="unknown" if request.answer is None else "finished",
            answer=request.answer,
        )
        return Accepted()

    def abandon(self, request: AbandonRequest) -> Accepted | Refused:
        """Release the claim of an attempt that sent nothing."""
        record = self.records.get(request.key)
        if record is None or record.attempt_id != request.attempt_id:
            return Accepted()
        match record.state:
            case "begun" | "abandoned":
                self.records[request.key] = msgspec.structs.replace(
                    record, state="abandoned"
                )
                return Accepted()
            case _:
                return Refused(
                    code=KeyNotFoundError.code,
                    text="The attempt has already stored an outcome.",
                )

    def expire(self, before_unix_ms: int) -> None:
        """Remove the records whose retention ended by the given time."""
        while self._expiry_heap and self._expiry_heap[0][0] <= before_unix_ms:
            expiry_unix_ms, key = heapq.heappop(self._expiry_heap)
            record = self.records.get(key)
            if (
                record is not None
                and _expiry_unix_ms(record) == expiry_unix_ms
            ):
                self.answer_bytes -= _body_bytes(record.answer)
                del self.records[key]

    def _store_record(self, record: RequestRecord) -> None:
        self.records[record.key] = record
        heapq.heappush(
            self._expiry_heap, (_expiry_unix_ms(record), record.key)
        )


def _body_bytes(answer: StoredResponse | None) -> int:
    return 0 if answer is None else len(answer.body)


def _expiry_unix_ms(record: RequestRecord) -> int:
    return record.begun_unix_ms + RETENTION_MS + _EXPIRY_MARGIN_MS
