"""Keys that entries generate."""

import dataclasses
import re

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.errors.requests import InvalidRequestError
from sardinespool.errors.requests import KeyExpiredError
from sardinespool.errors.tasks import FailureDomainMismatchError
from sardinespool.messages.commands import Refused
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import BeginRequest
from sardinespool.requests.record import RETENTION_MS

_GENERATED = re.compile(
    r"(?P<domain>[^.]+)\.(?P<incarnation>[^.]+)"
    r"\.(?P<unix_ms>[0-9]{1,15})\.(?P<random>[0-9a-f]{16,64})"
)
FOREIGN_INCARNATION = "0"
"""Incarnation field of a key that an entry of another domain generated.

Such an entry does not know the incarnation of this group and sends an empty
`group_incarnation`.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class GeneratedKey:
    """Parts of ``<failure-domain>.<incarnation>.<unix ms>.<random>``."""

    failure_domain: str
    group_incarnation: str
    generated_unix_ms: int


def parse_key(key: str) -> GeneratedKey | None:
    """Return the parts of a generated key, or None for a caller's own."""
    match = _GENERATED.fullmatch(key)
    if match is None:
        return None
    return GeneratedKey(
        match["domain"], match["incarnation"], int(match["unix_ms"])
    )


def check_key(
    request: BeginRequest,
    failure_domain: str,
    group_incarnation: str,
    now_unix_ms: int,
) -> Refused | BeginReply | None:
    """Check a key that has no record.

    Returns
    -------
    Refused or BeginReply or None
        None if the key may be claimed. A key of an earlier group
        incarnation is unknown: its record may have been lost.
    """
    parsed = parse_key(request.key)
    other = parsed is None or parsed.failure_domain != failure_domain
    if other and not request.group_incarnation:
        return None
    named = request.group_incarnation or FOREIGN_INCARNATION
    if parsed is None or named != parsed.group_incarnation:
        return Refused(
            code=InvalidRequestError.code,
            text="The key does not have the form of a generated key.",
        )
    if other:
        return Refused(
            code=FailureDomainMismatchError.code,
            text="The key belongs to another failure domain.",
            details={"failure_domain": parsed.failure_domain},
        )
    if request.group_incarnation not in ("", group_incarnation):
        return BeginReply(state="unknown")
    if parsed.generated_unix_ms + RETENTION_MS <= now_unix_ms:
        return Refused(
            code=KeyExpiredError.code,
            text="The key is older than records are kept.",
        )
    if parsed.generated_unix_ms > now_unix_ms + CLOCK_ERROR_MS:
        # Such a key would outlive its record and could run twice.
        return Refused(
            code=InvalidRequestError.code,
            text="The key was generated in the future.",
        )
    return None
