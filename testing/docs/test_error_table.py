"""Table of typed errors in docs/interfaces-errors.md."""

import pathlib
import re
from collections.abc import Iterator

import pytest

from sardinespool.errors import SardinespoolError

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "interfaces-errors.md"
ROW = re.compile(
    r"^\| `(?P<code>[a-z-]+)` \| (?P<status>\d{3}) "
    r"\| (?P<cause>[^|]+) \| (?P<remedy>[^|]+) \|$",
    re.MULTILINE,
)


def error_classes(
    parent: type[SardinespoolError] = SardinespoolError,
) -> Iterator[type[SardinespoolError]]:
    """Yield the root and every class below it of the package errors."""
    if parent.__module__.startswith("sardinespool.errors."):
        yield parent
    for child in parent.__subclasses__():
        yield from error_classes(child)


CLASSES = sorted(set(error_classes()), key=lambda each: each.code)


def rows() -> dict[str, re.Match[str]]:
    """Return the rows of the page by code."""
    text = PAGE.read_text("utf-8")
    return {row["code"]: row for row in ROW.finditer(text)}


@pytest.mark.parametrize("error", CLASSES, ids=lambda each: each.code)
def test_error_is_in_table(error: type[SardinespoolError]) -> None:
    """Guards against an error that operators can't look up."""
    row = rows().get(error.code)
    assert row is not None, f"{error.code} is missing in {PAGE.name}"
    assert int(row["status"]) == error.http_status
    assert row["cause"].strip() and row["remedy"].strip()


def test_table_has_no_unknown_code() -> None:
    """Guards against rows of removed or renamed errors."""
    codes = [row["code"] for row in ROW.finditer(PAGE.read_text("utf-8"))]
    assert sorted(codes) == [each.code for each in CLASSES]
