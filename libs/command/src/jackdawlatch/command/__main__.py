"""Runs the command line as ``python -m jackdawlatch.command``."""

import sys

from jackdawlatch.command import core


def main() -> int:
    """Run the command line of this process and return its exit status."""
    return core.main(
        core.Environment(
            arguments=tuple(sys.argv[1:]),
            stdout=sys.stdout,
            stderr=sys.stderr,
        )
    )


if __name__ == '__main__':
    sys.exit(main())
