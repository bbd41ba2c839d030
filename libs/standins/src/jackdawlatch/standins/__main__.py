"""Runs the stand-ins as ``python -m jackdawlatch.standins``."""

import sys

from jackdawlatch.standins import core


def main() -> int:
    """Run with the arguments and streams of this process."""
    return core.main(sys.argv[1:], sys.stdout, sys.stderr)


if __name__ == '__main__':
    sys.exit(main())
