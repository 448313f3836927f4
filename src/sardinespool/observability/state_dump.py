"""Conversion of process state to readable JSON without secrets."""

import dataclasses
import enum
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from typing import Any

import msgspec

from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.decoding import decode
from sardinespool.messages.dump import StateDump

REDACTED = "(redacted)"
_SECRET_SUFFIXES = ("token", "secret", "password", "authorization")
# State is a shallow tree, so a deeper value indicates a cycle.
_DEPTH_MAX = 32


def to_json_values(value: Any) -> Any:
    """Convert state to values that JSON can represent.

    Data classes, structs, mappings, sequences and sets are converted
    recursively; other objects are replaced by their type name, so that a
    dump never fails. Values of fields whose names end in ``token``,
    ``secret``, ``password`` or ``authorization`` are redacted.
    """
    return _convert(value, 0)


def dump_json(value: Any) -> bytes:
    """Return state as indented JSON."""
    return msgspec.json.format(
        msgspec.json.encode(to_json_values(value)), indent=2
    )


def _convert(value: Any, depth: int) -> Any:
    if depth > _DEPTH_MAX:
        return "(too deep)"
    match value:
        case None | bool() | str():
            return value
        case enum.Enum():
            return value.name
        case int() | float():
            return value
        case bytes() | bytearray() | memoryview():
            return _convert_bytes(bytes(value))
        case StateDump():
            return _convert_json(value.json, depth)
        case msgspec.Struct():
            names = value.__struct_fields__
            values_by_name = {name: getattr(value, name) for name in names}
            return _convert_mapping(values_by_name, depth)
        case Mapping():
            return _convert_mapping(value, depth)
        case list() | tuple():
            return [_convert(item, depth + 1) for item in value]
        case AbstractSet():
            items = [_convert(item, depth + 1) for item in value]
            return sorted(items, key=str)
        case _ if dataclasses.is_dataclass(value) and not isinstance(
            value, type
        ):
            fields = dataclasses.fields(value)
            values_by_name = {
                field.name: getattr(value, field.name, None)
                for field in fields
            }
            return _convert_mapping(values_by_name, depth)
        case _:
            return f"({type(value).__name__})"


def _convert_mapping(value: Mapping[Any, Any], depth: int) -> dict[str, Any]:
    return {
        _key_text(key): REDACTED
        if _is_secret(_key_text(key), item)
        else _convert(item, depth + 1)
        for key, item in value.items()
    }


def _key_text(key: Any) -> str:
    if isinstance(key, str):
        return key
    if isinstance(key, tuple):
        return "/".join(str(part) for part in key)
    return str(key)


def _is_secret(key: str, value: Any) -> bool:
    return (
        isinstance(value, str | bytes)
        and bool(value)
        and key.lower().endswith(_SECRET_SUFFIXES)
    )


def _convert_bytes(value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError:
        return "hex:" + value.hex()


def _convert_json(data: bytes, depth: int) -> Any:
    try:
        value = decode(msgspec.json.Decoder(), data)
    except InvalidMessageError:
        return _convert_bytes(data)
    return _convert(value, depth + 1)
