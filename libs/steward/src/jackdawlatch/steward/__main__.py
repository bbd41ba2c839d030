"""Runs a steward as ``python -m jackdawlatch.steward``."""

import sys

from jackdawlatch.node import launching
from jackdawlatch.steward import core


def main() -> int:
    """Run with this process's arguments and streams; return the status."""
    return core.main(
        launching.Environment(
            arguments=tuple(sys.argv[1:]),
            stdout=sys.stdout,
            stderr=sys.stderr,
        )
    )


if __name__ == '__main__':
    sys.exit(main())
