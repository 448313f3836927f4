"""Parsing of JSON bodies and query strings of operator requests."""

import urllib.parse
from typing import TypeVar

import msgspec

from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.base import Record
from sardinespool.messages.configuration import Change
from sardinespool.messages.decoding import decode
from sardinespool.transport.http_messages import HttpRequest

T = TypeVar("T")


class PatchBody(Record, frozen=True, kw_only=True):
    """Body of ``POST patches``; the credential names the author."""

    patch_id: str
    base_version: int
    changes: tuple[Change, ...]


class ApprovalBody(Record, frozen=True, kw_only=True):
    """Body of ``POST patches/<id>/approve``."""

    digest: str


def read_body(request: HttpRequest, body_type: type[T]) -> T:
    """Decode a JSON body; raise `InvalidMessageError` if malformed."""
    return decode(msgspec.json.Decoder(body_type), request.body)


def read_query(request: HttpRequest) -> dict[str, str]:
    """Return the query parameters; the last of repeated ones counts."""
    query = request.target.partition("?")[2]
    try:
        return dict(
            urllib.parse.parse_qsl(
                query, keep_blank_values=True, max_num_fields=20
            )
        )
    except ValueError as error:
        raise InvalidMessageError(str(error)) from error


def read_number(query: dict[str, str], name: str, default: int) -> int:
    """Return a query parameter that is a non-negative integer."""
    text = query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        raise InvalidMessageError(
            f"Parameter {name} has a wrong value.",
            found=text[:40],
            allowed="a whole number of at least 0",
        )
    return int(text)
