"""Reading of YAML files; duplicate keys are errors."""

import pathlib
from collections.abc import Hashable
from typing import Any

import yaml

from sardinespool.settings.problems import ProblemList


class _UniqueKeyLoader(yaml.SafeLoader):
    """Safe loader that rejects duplicate keys and keys that aren't strings.

    PyYAML silently keeps the last value of a duplicate key.
    """

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        seen: set[Any] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f"key {key!r} is not a string",
                    key_node.start_mark,
                )
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"duplicate key {key!r}", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def read_yaml(
    path: pathlib.Path, problems: ProblemList
) -> dict[str, Any] | None:
    """Return the mapping in a YAML file; None if a problem was recorded."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problems.add_description(
            "", f"an unreadable file ({error})", "a YAML file"
        )
        return None
    try:
        # The loader derives from the safe loader: it builds plain values only.
        value = yaml.load(text, Loader=_UniqueKeyLoader)
    except yaml.YAMLError as error:
        problems.add_description(
            "", _format_yaml_error(error), "valid YAML with unique keys"
        )
        return None
    if not isinstance(value, dict):
        problems.add("", value, "a mapping of keys to values")
        return None
    return value


def _format_yaml_error(error: yaml.YAMLError) -> str:
    if isinstance(error, yaml.MarkedYAMLError):
        mark = error.problem_mark
        location = f" in line {mark.line + 1}" if mark is not None else ""
        return f"{error.problem}{location}"
    return " ".join(str(error).split())
