"""Reads what a running process costs, from the operating system."""

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
    """Processor seconds since the start, and memory in KB."""

    processor_s: float
    resident_kb: int
    private_kb: int


def cost(pid: int) -> Cost:
    """Return the cost of a process so far."""
    folder = pathlib.Path('/proc', str(pid))
    # The program's name, in brackets, may hold blanks.
    fields = folder.joinpath('stat').read_text().rpartition(')')[2].split()
    smaps = folder.joinpath('smaps_rollup').read_text()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return Cost(
        processor_s=ticks / TICKS_PER_S,
        resident_kb=control.resident_kb(smaps),
        private_kb=control.private_kb(smaps),
    )


def sample(exposition: str, name: str) -> float:
    """Return the sum of a scraped instrument's samples."""
    pattern = rf'^{name}(?:_total)?(?:\{{.*\}})? ([0-9.e+-]+)$'
    found = re.findall(pattern, exposition, re.MULTILINE)
    return sum(map(float, found))
