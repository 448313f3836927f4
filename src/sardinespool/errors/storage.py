"""Errors of the files in the data folder."""

from sardinespool.errors.base import SardinespoolError


class StorageError(SardinespoolError):
    """A file could not be read or written."""


class CorruptLogError(StorageError):
    """The log or the hard state is damaged or incomplete."""


class CorruptSnapshotError(StorageError):
    """A snapshot has an invalid checksum or can't be decoded."""


class DataFolderError(StorageError):
    """The data folder can't be used, or its store is closed or failed."""
