"""What every command definition shares: options and the parsed result."""

import dataclasses
import pathlib
from typing import Annotated

import cyclopts

from jackdawlatch.command import operation


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class Options:
    """Options of every command.

    Parameters
    ----------
    settings
        The JSON settings file; JACKDAWLATCH_SETTINGS names the default.
    json
        Print JSON.
    """

    settings: str = ''
    json: Annotated[bool, cyclopts.Parameter(negative=())] = False


@dataclasses.dataclass(frozen=True)
class Invocation:
    """A parsed command line."""

    operation: operation.Operation
    options: Options


NO_OPTIONS = Options()

File = pathlib.Path
Wait = Annotated[bool, cyclopts.Parameter(negative=())]
BasedOn = Annotated[int | None, cyclopts.Parameter(name='--based-on')]
