"""The interface of a measure, and the registry that runs go through."""

import abc
import dataclasses
import pathlib
from collections.abc import Iterable

Cell = str | int | float

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLOTS = ROOT / 'docs' / 'plots'


@dataclasses.dataclass(frozen=True)
class Table:
    """Rows of figures; ``plots`` names files below ``docs/plots``."""

    title: str
    note: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]
    plots: tuple[str, ...] = ()


class Measure(abc.ABC):
    """One measure, run by ``python -m measure NAME``."""

    name = ''
    measures_by_name: dict[str, type['Measure']] = {}

    def __init_subclass__(cls) -> None:
        """Register each measure under its name."""
        cls.measures_by_name[cls.name] = cls

    @abc.abstractmethod
    def run(self, seed: int) -> Iterable[Table]:
        """Measure, and yield the tables."""
