"""The commands that a worker's stand-in understands.

A command is a string of space-separated ``name=value`` pairs: ``run``,
``use``, ``memory`` and ``outcome``.  Omitted ones have defaults, and unknown
names are ignored.
"""

import dataclasses

DEFAULT_RUN_S = 1.0


@dataclasses.dataclass(frozen=True)
class Command:
    """What a task actually does, whatever its job declares.

    ``run_s`` is its duration at full speed.  ``processors`` and ``memory_mb``
    are what it uses, None for as much as declared.  ``outcome`` is ``done``
    or the reason for which it fails.
    """

    run_s: float = DEFAULT_RUN_S
    processors: float | None = None
    memory_mb: float | None = None
    outcome: str = 'done'


def parse(text: str) -> Command:
    """Return a command; a malformed one becomes a task that fails at once."""
    words = (word.partition('=') for word in text.split())
    texts_by_name = {name: given for name, _, given in words}
    try:
        return Command(
            run_s=float(texts_by_name.get('run', DEFAULT_RUN_S)),
            processors=_number(texts_by_name.get('use')),
            memory_mb=_number(texts_by_name.get('memory')),
            outcome=texts_by_name.get('outcome', 'done'),
        )
    except ValueError:
        return Command(run_s=0, outcome='malformed command')


def _number(text: str | None) -> float | None:
    return None if text is None else float(text)
