"""Problems of settings files, collected and reported together."""

import dataclasses
from collections.abc import Sequence
from typing import Any

from sardinespool.errors.settings import SettingsError

_SECRET_KEYS = ("token", "cluster_token")
_FOUND_CHARACTERS_MAX = 80


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem of a settings file.

    `key` is the key path in the YAML file, such as ``stores[1].address``, or
    empty if the problem concerns the whole file.
    """

    file: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        key = self.key or "(whole file)"
        return (
            f"{self.file}: {key}: found {self.found}; allowed: {self.allowed}"
        )


@dataclasses.dataclass(slots=True)
class ProblemList:
    """Collects the problems of one file below the key path `prefix`.

    Lists for parts of a file share `items`.
    """

    file: str
    prefix: str = ""
    items: list[Problem] = dataclasses.field(default_factory=list)

    def full_key(self, relative_key: str) -> str:
        """Return the key path in the file of a key below `prefix`."""
        if not self.prefix or not relative_key:
            return self.prefix + relative_key
        separator = "" if relative_key.startswith("[") else "."
        return self.prefix + separator + relative_key

    def add(self, key: str, found: Any, allowed: str) -> None:
        """Record a problem with a value of the file."""
        key_path = self.full_key(key)
        self.items.append(
            Problem(
                self.file, key_path, format_value(key_path, found), allowed
            )
        )

    def add_description(self, key: str, found: str, allowed: str) -> None:
        """Record a problem with a description instead of a value."""
        self.items.append(
            Problem(self.file, self.full_key(key), found, allowed)
        )


def format_value(key: str, value: Any) -> str:
    """Return a short representation of a value; secrets are not shown."""
    if key.rpartition(".")[2] in _SECRET_KEYS:
        return f"a value of type {type(value).__name__}"
    text = repr(value)
    if len(text) > _FOUND_CHARACTERS_MAX:
        return text[:_FOUND_CHARACTERS_MAX] + "..."
    return text


def settings_error(path: str, items: Sequence[Problem]) -> SettingsError:
    """Return the error that reports all problems of a settings file."""
    lines = "\n".join(f"  {item}" for item in items)
    noun = "problem" if len(items) == 1 else "problems"
    return SettingsError(
        f"{path} has {len(items)} {noun}:\n{lines}",
        problems=[dataclasses.asdict(item) for item in items],
    )
