"""Loads every module of the package, so that its measures register."""

import importlib
import pkgutil

import measure


def load() -> None:
    """Import the modules of the package."""
    for module in pkgutil.iter_modules(measure.__path__):
        if module.name != '__main__':
            importlib.import_module(f'measure.{module.name}')
