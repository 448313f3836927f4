"""Validation of keys and value types against a settings class."""

import types
import typing
from typing import Any

import msgspec

from sardinespool.settings.model import Settings
from sardinespool.settings.problems import ProblemList

_TYPE_DESCRIPTIONS = {
    str: "a string",
    int: "an integer",
    bool: "true or false",
}


def check_struct(
    struct: type[Settings], value: Any, key: str, problems: ProblemList
) -> dict[str, Any] | None:
    """Validate the keys and value types of a mapping.

    Returns
    -------
    dict or None
        The fields of valid type and the defaults of missing ones, so that
        later checks can use them even if other fields have problems. None if
        the value is not a mapping.
    """
    if not isinstance(value, dict):
        problems.add(key, value, "a mapping of keys to values")
        return None
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    for unknown_key in sorted(value.keys() - fields.keys()):
        problems.add_description(
            _key_path(key, unknown_key),
            "an unknown key",
            "one of " + ", ".join(fields),
        )
    valid_fields: dict[str, Any] = {}
    for name, field in fields.items():
        if name in value:
            checked_value = _check_value(
                field.type, value[name], _key_path(key, name), problems
            )
            if checked_value is not _INVALID:
                valid_fields[name] = checked_value
        elif field.required:
            problems.add_description(
                _key_path(key, name), "no value", _describe_type(field.type)
            )
        elif field.default is not msgspec.NODEFAULT:
            valid_fields[name] = msgspec.to_builtins(field.default)
    return valid_fields


_INVALID = object()


def _key_path(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name


def _check_value(
    field_type: Any, value: Any, key: str, problems: ProblemList
) -> Any:
    origin = typing.get_origin(field_type)
    arguments = typing.get_args(field_type)
    if isinstance(field_type, type) and issubclass(field_type, Settings):
        checked_value = check_struct(field_type, value, key, problems)
        return _INVALID if checked_value is None else checked_value
    if origin in (types.UnionType, typing.Union):
        if value is None:
            return None
        return _check_value(arguments[0], value, key, problems)
    if origin is tuple:
        if not isinstance(value, list):
            problems.add(key, value, _describe_type(field_type))
            return _INVALID
        # Invalid items become None, so that indexes match those in the file.
        items = [
            _check_value(arguments[0], item, f"{key}[{index}]", problems)
            for index, item in enumerate(value)
        ]
        return [None if item is _INVALID else item for item in items]
    try:
        return msgspec.convert(value, field_type, strict=True)
    except msgspec.ValidationError:
        problems.add(key, value, _describe_type(field_type))
        return _INVALID


def _describe_type(field_type: Any) -> str:
    origin = typing.get_origin(field_type)
    arguments = typing.get_args(field_type)
    if origin is tuple:
        return f"a list, each item {_describe_type(arguments[0])}"
    if origin is typing.Literal:
        return "one of " + ", ".join(str(item) for item in arguments)
    if origin in (types.UnionType, typing.Union):
        return _describe_type(arguments[0]) + " or null"
    if field_type is float:
        return "a number"
    return _TYPE_DESCRIPTIONS.get(field_type, "a mapping of keys to values")
