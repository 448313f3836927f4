"""Task names, also those that another program made up."""

import pytest

from sardinespool.workflows.task_key import split_task_key
from sardinespool.workflows.task_key import task_key


@pytest.mark.parametrize("numbers", [(0, 0, 0), (10, 2, 300)])
def test_names_round_trip(numbers: tuple[int, int, int]) -> None:
    """Guards against a name that is not recognised."""
    assert split_task_key(task_key("job", *numbers)) == ("job", *numbers)


@pytest.mark.parametrize(
    "key",
    [
        "",
        "j",
        "j.0.0",
        "j.0.0.",
        "j.a.0.0",
        "j.-1.0.0",
        "j.+1.0.0",
        "j.1_0.0.0",
        "j. 1.0.0",
        "j.².0.0",
        "j.٣.0.0",
        "j.00.0.0",
        "j.0.0." + "9" * 5_000,
    ],
    ids=lambda key: key[:12],
)
def test_other_names_are_no_task(key: str) -> None:
    """Guards against a worker's list that raises each time it is read."""
    assert split_task_key(key) is None
