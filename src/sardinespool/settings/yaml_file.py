"""YAML files read with the safe loader; duplicate keys are refused."""

import pathlib
from collections.abc import Hashable
from typing import Any

import yaml

from sardinespool.settings.problems import ProblemList


class _UniqueKeyLoader(yaml.SafeLoader):
    """PyYAML keeps the last of two equal keys without a word."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        seen: set[Any] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} is not text", key_node.start_mark
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
    """Return the mapping in a YAML file, or None after recording a problem."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problems.note("", f"an unreadable file ({error})", "a YAML file")
        return None
    try:
        # A subclass of the safe loader: it builds plain values only.
        value = yaml.load(text, Loader=_UniqueKeyLoader)
    except yaml.YAMLError as error:
        problems.note("", _one_line(error), "valid YAML with unique keys")
        return None
    if not isinstance(value, dict):
        problems.add("", value, "a mapping of keys to values")
        return None
    return value


def _one_line(error: yaml.YAMLError) -> str:
    if isinstance(error, yaml.MarkedYAMLError):
        mark = error.problem_mark
        place = f" in line {mark.line + 1}" if mark is not None else ""
        return f"{error.problem}{place}"
    return " ".join(str(error).split())
