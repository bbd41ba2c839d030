"""Imports every module of the package, which registers its benchmarks."""

import importlib
import pkgutil

import measure


def load() -> None:
    """Import all modules of the package except ``__main__``."""
    for module in pkgutil.iter_modules(measure.__path__):
        if module.name != '__main__':
            importlib.import_module(f'measure.{module.name}')
