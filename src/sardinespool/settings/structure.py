"""Structure of settings: unknown and missing keys and values' types."""

import types
import typing
from typing import Any

import msgspec

from sardinespool.settings.model import Settings
from sardinespool.settings.problems import ProblemList

_TYPE_NAMES = {str: "text", int: "an integer", bool: "true or false"}


def check_struct(
    struct: type[Settings], value: Any, key: str, problems: ProblemList
) -> dict[str, Any] | None:
    """Check a mapping against a settings class.

    Returns
    -------
    dict or None
        The fields with a valid type, with defaults filled in, so that later
        checks can look at them even when other fields have problems. None if
        the value is no mapping.
    """
    if not isinstance(value, dict):
        problems.add(key, value, "a mapping of keys to values")
        return None
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    for unknown in sorted(value.keys() - fields.keys()):
        problems.note(
            _join(key, unknown),
            "an unknown key",
            "one of " + ", ".join(fields),
        )
    clean: dict[str, Any] = {}
    for name, field in fields.items():
        if name in value:
            checked = _check(
                field.type, value[name], _join(key, name), problems
            )
            if checked is not _INVALID:
                clean[name] = checked
        elif field.required:
            problems.note(_join(key, name), "nothing", _type_text(field.type))
        elif field.default is not msgspec.NODEFAULT:
            clean[name] = msgspec.to_builtins(field.default)
    return clean


_INVALID = object()


def _join(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name


def _check(kind: Any, value: Any, key: str, problems: ProblemList) -> Any:
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if isinstance(kind, type) and issubclass(kind, Settings):
        checked = check_struct(kind, value, key, problems)
        return _INVALID if checked is None else checked
    if origin in (types.UnionType, typing.Union):
        if value is None:
            return None
        return _check(arguments[0], value, key, problems)
    if origin is tuple:
        if not isinstance(value, list):
            problems.add(key, value, _type_text(kind))
            return _INVALID
        # Invalid items become None, so that indexes stay those of the file.
        items = [
            _check(arguments[0], item, f"{key}[{index}]", problems)
            for index, item in enumerate(value)
        ]
        return [None if item is _INVALID else item for item in items]
    try:
        return msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError:
        problems.add(key, value, _type_text(kind))
        return _INVALID


def _type_text(kind: Any) -> str:
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if origin is tuple:
        return f"a list, each item {_type_text(arguments[0])}"
    if origin is typing.Literal:
        return "one of " + ", ".join(str(item) for item in arguments)
    if origin in (types.UnionType, typing.Union):
        return _type_text(arguments[0]) + " or null"
    if kind is float:
        return "a number"
    return _TYPE_NAMES.get(kind, "a mapping of keys to values")
