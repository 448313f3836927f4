"""Tests of the example that embeds the replicated log."""

import pathlib
import runpy
import sys

import pytest

from sardinespool import embedding

EXAMPLE = (
    pathlib.Path(__file__).parents[2]
    / "examples"
    / "embedding"
    / "durable_counter.py"
)


def test_counter_survives_restarts(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an example that no longer runs on the public API."""
    monkeypatch.setattr(sys, "argv", [str(EXAMPLE), str(tmp_path / "c")])
    for _ in range(3):
        runpy.run_path(str(EXAMPLE), run_name="__main__")
    assert capsys.readouterr().out.split() == ["1", "2", "3"]


def test_public_names_exist() -> None:
    """Guards against names in `__all__` that no longer exist."""
    assert all(hasattr(embedding, name) for name in embedding.__all__)
