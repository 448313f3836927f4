"""Bodies of legal size that many clients send at once.

Guards against a process that ends for lack of memory: in a trial, clients that
stopped just short of the end of their bodies and stayed open ended one.
"""

import pathlib

import pytest

from testing.hostile_clients.crowd import Attack
from testing.hostile_clients.crowd import CALLER_BODY_BYTES
from testing.hostile_clients.crowd import chunked
from testing.hostile_clients.crowd import CONTROL_BODY_BYTES
from testing.hostile_clients.crowd import crowd
from testing.hostile_clients.crowd import fixed_length
from testing.hostile_clients.crowd import PIECE_BYTES
from testing.hostile_clients.processes import MEMORY_MB
from testing.hostile_clients.processes import ordinary_answer
from testing.hostile_clients.processes import run_platform

DESCRIPTORS_MAX = 1_000
ORDINARY_REQUESTS = 5
"""Each gives the process a pass for what the kernel still holds."""
LISTENERS = {
    "callers": ("/jobs/j1", CALLER_BODY_BYTES, 300),
    "readiness": ("/", CALLER_BODY_BYTES, 300),
    "front status": ("/metrics", CALLER_BODY_BYTES, 300),
    "control": ("/api/configuration/replace", CONTROL_BODY_BYTES, 28),
    "core status": ("/dump", CONTROL_BODY_BYTES, 28),
}


def _attack(path: str, size_bytes: int, clients: int, shape: str) -> Attack:
    match shape:
        case "whole":
            return Attack(fixed_length(path, size_bytes), clients)
        case "pieces":
            data = fixed_length(path, size_bytes)
            return Attack(data, clients, PIECE_BYTES)
        case "short":
            data = fixed_length(path, size_bytes)[:-1]
            return Attack(data, clients, PIECE_BYTES)
        case "large chunks":
            data = chunked(path, size_bytes, 65_536)
            return Attack(data, clients, PIECE_BYTES)
        case "small chunks":
            # Very small chunks cost the process more time than memory.
            data = chunked(path, size_bytes // 8, 16)
            return Attack(data, clients // 4, PIECE_BYTES)
    raise AssertionError(shape)


SERVED = ("callers", "control")
OTHERS = ("readiness", "front status", "core status")
SHAPES = ("whole", "pieces", "short", "large chunks", "small chunks")
CASES = [
    *((listener, shape) for listener in SERVED for shape in SHAPES),
    *((listener, "short") for listener in OTHERS),
]


@pytest.mark.parametrize(("listener", "shape"), CASES)
def test_bodies(tmp_path: pathlib.Path, listener: str, shape: str) -> None:
    """Guards against memory that grows with the number of such clients."""
    attack = _attack(*LISTENERS[listener], shape)
    with run_platform(tmp_path, listener, DESCRIPTORS_MAX) as platform:
        machine = platform.process_of(listener)
        expected = ordinary_answer(platform, listener)
        with crowd(platform.address(listener), attack):
            for _ in range(ORDINARY_REQUESTS):
                machine.check_alive()
                assert ordinary_answer(platform, listener) == expected
            peak_mib = machine.peak_resident_mib()
            assert machine.open_descriptors() <= DESCRIPTORS_MAX
        assert peak_mib <= MEMORY_MB
