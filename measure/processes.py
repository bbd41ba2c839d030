"""Reads the resource use of processes from /proc and from their metrics."""

import dataclasses
import os
import pathlib
import re

from measure import control

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
USER_FIELD = 11
SYSTEM_FIELD = 12


@dataclasses.dataclass(frozen=True)
class Cost:
    """Processor seconds since process start, and memory in KB."""

    processor_s: float
    resident_kb: int
    private_kb: int


def cost(pid: int) -> Cost:
    """Return the resource use of a process; OSError if it is gone."""
    folder = pathlib.Path('/proc', str(pid))
    # The program name, in parentheses, may contain blanks.
    fields = folder.joinpath('stat').read_text().rpartition(')')[2].split()
    smaps = folder.joinpath('smaps_rollup').read_text()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return Cost(
        processor_s=ticks / TICKS_PER_S,
        resident_kb=control.resident_kb(smaps),
        private_kb=control.private_kb(smaps),
    )


def metric_sum(exposition: str, name: str) -> float:
    """Return the sum of a metric's samples over all labels."""
    pattern = rf'^{name}(?:_total)?(?:\{{.*\}})? ([0-9.e+-]+)$'
    found = re.findall(pattern, exposition, re.MULTILINE)
    return sum(map(float, found))
