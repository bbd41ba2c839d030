"""Base class and registry of the benchmarks, and the tables they return."""

import abc
import dataclasses
import pathlib
from collections.abc import Iterable

Cell = str | int | float

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLOTS = ROOT / 'docs' / 'plots'


@dataclasses.dataclass(frozen=True)
class Table:
    """A table of results; ``plots`` names files below ``docs/plots``."""

    title: str
    note: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]
    plots: tuple[str, ...] = ()


class Benchmark(abc.ABC):
    """A benchmark, run by ``python -m measure NAME``."""

    name = ''
    measures_by_name: dict[str, type['Benchmark']] = {}

    def __init_subclass__(cls) -> None:
        """Register each benchmark under its ``name``."""
        cls.measures_by_name[cls.name] = cls

    @abc.abstractmethod
    def run(self, seed: int) -> Iterable[Table]:
        """Run with a seed for random numbers; return the tables."""
