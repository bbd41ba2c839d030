"""The commands that a worker's stand-in understands.

A command is a string of space-separated ``name=value``; what is not given
has its default, and unknown names are left alone.
"""

import dataclasses

DEFAULT_RUN_S = 1.0


@dataclasses.dataclass(frozen=True)
class Command:
    """What a task really does.

    ``run`` is seconds at full speed, ``use`` processors and ``memory``
    megabytes that it really takes (None: as declared).
    """

    run_s: float = DEFAULT_RUN_S
    processors: float | None = None
    memory_mb: float | None = None
    outcome: str = 'done'


def parse(text: str) -> Command:
    """Return a command; a malformed one fails at once when it is run."""
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
