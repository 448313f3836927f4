"""Errors of the files under the data folder."""

from sardinespool.errors.base import SardinespoolError


class StorageError(SardinespoolError):
    """A file could not be read or written."""


class CorruptLogError(StorageError):
    """A record before the end of the log fails its checksum."""


class CorruptSnapshotError(StorageError):
    """A snapshot fails its checksum."""


class DataFolderError(StorageError):
    """The data folder is missing, in use or not writable."""
