"""Runs the daemon as ``python -m jackdawlatch.unified``."""

import sys

from jackdawlatch.unified import core


def main() -> int:
    """Run with the arguments and streams of this process."""
    return core.main(
        core.Environment.of_process(
            sys.argv[1:], stdout=sys.stdout, stderr=sys.stderr
        )
    )


if __name__ == '__main__':
    sys.exit(main())
