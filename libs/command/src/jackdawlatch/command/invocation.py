"""The options shared by all commands, and the parsed command line."""

import dataclasses
import pathlib
from typing import Annotated

import cyclopts

from jackdawlatch.command import operation


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class Options:
    """Options accepted by every command.

    Parameters
    ----------
    settings
        JSON settings file; defaults to the one in JACKDAWLATCH_SETTINGS.
    json
        Print the result as JSON.
    """

    settings: str = ''
    json: Annotated[bool, cyclopts.Parameter(negative=())] = False


@dataclasses.dataclass(frozen=True)
class Invocation:
    """A parsed command line: the operation to run and its options."""

    operation: operation.Operation
    options: Options


DEFAULT_OPTIONS = Options()

File = pathlib.Path
Wait = Annotated[bool, cyclopts.Parameter(negative=())]
BasedOn = Annotated[int | None, cyclopts.Parameter(name='--based-on')]
