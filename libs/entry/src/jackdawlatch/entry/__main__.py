"""Runs an entry as ``python -m jackdawlatch.entry``."""

import sys

from jackdawlatch.entry import core
from jackdawlatch.node import launching


def main() -> int:
    """Run with the arguments and streams of this process.

    Returns the exit status.
    """
    return core.main(
        launching.Environment(
            arguments=tuple(sys.argv[1:]),
            stdout=sys.stdout,
            stderr=sys.stderr,
        )
    )


if __name__ == '__main__':
    sys.exit(main())
