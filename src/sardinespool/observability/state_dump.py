"""Readable JSON of a process's state, without secrets."""

import dataclasses
import enum
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from typing import Any

import msgspec

from sardinespool.messages.dump import StateDump

REDACTED = "(redacted)"
_SECRET_ENDINGS = ("token", "secret", "password", "authorization")
# State is a shallow tree; a deeper value would be a cycle.
_DEPTH_LIMIT = 32


def readable(value: Any) -> Any:
    """Turn state into values that JSON can hold.

    Frozen data classes, structs, mappings, sequences and sets are followed;
    other objects are shown by their type name, so that a dump never fails.
    Values of fields whose names end in ``token``, ``secret``, ``password``
    or ``authorization`` are replaced.
    """
    return _convert(value, 0)


def dump_json(value: Any) -> bytes:
    """Return indented JSON of any state."""
    return msgspec.json.format(msgspec.json.encode(readable(value)), indent=2)


def _convert(value: Any, depth: int) -> Any:
    if depth > _DEPTH_LIMIT:
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
            return _parse(value.json, depth)
        case msgspec.Struct():
            names = value.__struct_fields__
            pairs = {name: getattr(value, name) for name in names}
            return _convert_mapping(pairs, depth)
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
            pairs = {
                field.name: getattr(value, field.name, None)
                for field in fields
            }
            return _convert_mapping(pairs, depth)
        case _:
            return f"({type(value).__name__})"


def _convert_mapping(value: Mapping[Any, Any], depth: int) -> dict[str, Any]:
    return {
        _key(key): REDACTED
        if _is_secret(_key(key), item)
        else _convert(item, depth + 1)
        for key, item in value.items()
    }


def _key(key: Any) -> str:
    if isinstance(key, str):
        return key
    if isinstance(key, tuple):
        return "/".join(str(part) for part in key)
    return str(key)


def _is_secret(key: str, value: Any) -> bool:
    return (
        isinstance(value, str | bytes)
        and bool(value)
        and key.lower().endswith(_SECRET_ENDINGS)
    )


def _convert_bytes(value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError:
        return "hex:" + value.hex()


def _parse(data: bytes, depth: int) -> Any:
    try:
        return _convert(msgspec.json.decode(data), depth + 1)
    except msgspec.MsgspecError:
        return _convert_bytes(data)
