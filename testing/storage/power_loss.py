"""Files that lose what was not synced when the machine loses power.

A file holds what its last sync covered; each later write is present, missing
or torn. A created, renamed or removed name is kept or lost independently
until its folder is synced.
"""

import dataclasses
import os
import pathlib
import random
from collections.abc import Callable
from typing import Any

import pytest

LOSES_EVERYTHING_PROBABILITY = 0.3


class PowerLossError(Exception):
    """The machine lost power during a system call."""


@dataclasses.dataclass(eq=False)
class File:
    """Content at the last sync and the changes since then."""

    durable: bytes = b""
    current: bytes = b""
    changes: list[tuple[int, bytes | None]] = dataclasses.field(
        default_factory=list
    )
    """Offset and data of each write; a truncation has no data."""

    def change(self, offset: int, data: bytes | None) -> None:
        self.changes.append((offset, data))
        self.current = _changed(self.current, offset, data)

    def sync(self) -> None:
        self.durable = self.current
        self.changes.clear()

    def lose_power(self, chance: random.Random) -> None:
        content = self.durable
        loses_everything = chance.random() < LOSES_EVERYTHING_PROBABILITY
        for offset, data in () if loses_everything else self.changes:
            match chance.choice(("present", "missing", "torn")):
                case "present":
                    content = _changed(content, offset, data)
                case "torn" if data:
                    kept = data[: chance.randrange(len(data))]
                    content = _changed(content, offset, kept)
                case _:
                    pass
        self.current = content
        self.sync()


def _changed(content: bytes, offset: int, data: bytes | None) -> bytes:
    if data is None:
        return content[:offset]
    if not data:
        return content
    padded = content.ljust(offset, b"\0")
    return padded[:offset] + data + padded[offset + len(data) :]


class PowerLossFiles:
    """Tracks the files below a folder through the functions of `os`.

    Attributes
    ----------
    calls_until_power_loss : int or None
        Number of changing system calls until one raises `PowerLossError`.
    """

    def __init__(
        self, root: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self._root = str(root)
        self._names: dict[str, File] = {}
        self._durable_names: dict[str, File] = {}
        self._name_changes: list[tuple[str, dict[str, File | None]]] = []
        self._descriptors: dict[int, tuple[str, File | None]] = {}
        self._real: dict[str, Callable[..., Any]] = {}
        self.calls_until_power_loss: int | None = None
        for name in (
            "open",
            "close",
            "write",
            "fsync",
            "fdatasync",
            "ftruncate",
            "rename",
            "unlink",
        ):
            self._real[name] = getattr(os, name)
            monkeypatch.setattr(os, name, getattr(self, f"_{name}"))

    def lose_power(self, folder: pathlib.Path, chance: random.Random) -> None:
        """Reduce the files of a folder to what a power loss leaves."""
        prefix = f"{folder}/"
        names = {
            path: file
            for path, file in self._durable_names.items()
            if path.startswith(prefix)
        }
        loses_everything = chance.random() < LOSES_EVERYTHING_PROBABILITY
        for parent, change in self._name_changes:
            if parent != str(folder) or loses_everything:
                continue
            if chance.random() < 0.5:
                for path, file in change.items():
                    if file is None:
                        names.pop(path, None)
                    else:
                        names[path] = file
        self.forget(folder)
        for file in dict.fromkeys(names.values()):
            file.lose_power(chance)
        for path, file in names.items():
            pathlib.Path(path).write_bytes(file.durable)
        self._names |= names
        self._durable_names |= names

    def forget(self, folder: pathlib.Path) -> None:
        """Remove the files of a folder."""
        prefix = f"{folder}/"
        for path in [path for path in self._names if path.startswith(prefix)]:
            self._real["unlink"](path)
        for table in (self._names, self._durable_names):
            for path in [path for path in table if path.startswith(prefix)]:
                del table[path]
        self._name_changes = [
            item for item in self._name_changes if item[0] != str(folder)
        ]

    def _count_call(self) -> None:
        if self.calls_until_power_loss is None:
            return
        self.calls_until_power_loss -= 1
        if self.calls_until_power_loss < 0:
            self.calls_until_power_loss = None
            raise PowerLossError

    def _change_names(self, change: dict[str, File | None]) -> None:
        for path, file in change.items():
            if file is None:
                del self._names[path]
            else:
                self._names[path] = file
        parent = os.path.dirname(next(iter(change)))
        self._name_changes.append((parent, change))

    def _open(self, path: Any, flags: int, *args: Any, **kwargs: Any) -> int:
        name = os.fspath(path)
        tracked = isinstance(name, str) and name.startswith(self._root)
        if tracked and flags & os.O_CREAT:
            self._count_call()
        descriptor: int = self._real["open"](path, flags, *args, **kwargs)
        if not tracked:
            return descriptor
        if flags & os.O_DIRECTORY:
            self._descriptors[descriptor] = (name, None)
            return descriptor
        if name not in self._names:
            self._change_names({name: File()})
        file = self._names[name]
        if flags & os.O_TRUNC and file.current:
            file.change(0, None)
        self._descriptors[descriptor] = (name, file)
        return descriptor

    def _close(self, descriptor: int) -> None:
        self._descriptors.pop(descriptor, None)
        self._real["close"](descriptor)

    def _write(self, descriptor: int, data: Any) -> int:
        _, file = self._descriptors.get(descriptor, ("", None))
        if file is not None:
            self._count_call()
            file.change(len(file.current), bytes(data))
        written: int = self._real["write"](descriptor, data)
        return written

    def _ftruncate(self, descriptor: int, size: int) -> None:
        _, file = self._descriptors.get(descriptor, ("", None))
        if file is not None:
            self._count_call()
            file.change(size, None)
        self._real["ftruncate"](descriptor, size)

    def _fsync(self, descriptor: int) -> None:
        tracked = self._descriptors.get(descriptor)
        if tracked is None:
            self._real["fsync"](descriptor)
            return
        self._count_call()
        name, file = tracked
        if file is not None:
            # The folder sync alone makes the file's name durable.
            file.sync()
            return
        for path in list(self._durable_names):
            if os.path.dirname(path) == name and path not in self._names:
                del self._durable_names[path]
        for path, other in self._names.items():
            if os.path.dirname(path) == name:
                self._durable_names[path] = other
        self._name_changes = [
            item for item in self._name_changes if item[0] != name
        ]

    def _fdatasync(self, descriptor: int) -> None:
        if descriptor in self._descriptors:
            self._fsync(descriptor)
        else:
            self._real["fdatasync"](descriptor)

    def _rename(self, source: Any, target: Any) -> None:
        self._count_call()
        self._real["rename"](source, target)
        file = self._names[os.fspath(source)]
        self._change_names({os.fspath(target): file, os.fspath(source): None})

    def _unlink(self, path: Any, **kwargs: Any) -> None:
        name = os.fspath(path)
        if isinstance(name, str) and name in self._names:
            self._count_call()
            self._change_names({name: None})
        self._real["unlink"](path, **kwargs)
