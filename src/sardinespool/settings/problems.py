"""Problems of a settings file, collected before any is reported."""

import dataclasses
from collections.abc import Sequence
from typing import Any

from sardinespool.errors.settings import SettingsError

_REDACTED_KEYS = ("token", "cluster_token")
_LONGEST_FOUND_CHARACTERS = 80


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem.

    `key` is the key path in the YAML file, such as ``stores[1].address``,
    empty for the whole file.
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
    """Collects problems of one file below one key path.

    Parts of a file share `items`.
    """

    file: str
    prefix: str = ""
    items: list[Problem] = dataclasses.field(default_factory=list)

    def key(self, relative: str) -> str:
        """Return the full path of a key."""
        if not self.prefix or not relative:
            return self.prefix + relative
        joint = "" if relative.startswith("[") else "."
        return self.prefix + joint + relative

    def add(self, key: str, found: Any, allowed: str) -> None:
        """Record a problem; `found` is a value of the file or a sentence."""
        full_key = self.key(key)
        self.items.append(
            Problem(self.file, full_key, describe(full_key, found), allowed)
        )

    def note(self, key: str, found: str, allowed: str) -> None:
        """Record a problem whose `found` is a sentence, shown as it is."""
        self.items.append(Problem(self.file, self.key(key), found, allowed))


def describe(key: str, value: Any) -> str:
    """Return a short text of a value; values of secrets are not shown."""
    if key.rpartition(".")[2] in _REDACTED_KEYS:
        return f"a value of type {type(value).__name__}"
    text = repr(value)
    if len(text) > _LONGEST_FOUND_CHARACTERS:
        return text[:_LONGEST_FOUND_CHARACTERS] + "..."
    return text


def settings_error(path: str, items: Sequence[Problem]) -> SettingsError:
    """Return the error that reports all problems of a settings file."""
    lines = "\n".join(f"  {item}" for item in items)
    noun = "problem" if len(items) == 1 else "problems"
    return SettingsError(
        f"{path} has {len(items)} {noun}:\n{lines}",
        problems=[dataclasses.asdict(item) for item in items],
    )
