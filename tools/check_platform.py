"""Checks that the platform's wire names occur only in platform/.

It also limits the size of platform/, which only translates between the wire
format of the platform and the interfaces in libs/.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Keeps the folder small: about an eighth of the product's new code.
MAX_LINES = 1500
WIRE_NAMES = re.compile(
    r'kv-(key|range|watch|txn|lease|keep)|run-(start|stop)|fencing-token'
    r'|machine-(move|upkeep)|cold-left-ms|deadline-ms|clock-ms|op/config'
    r'|op/wave|servers/|wait-ms|X-Expect-Instance|X-Lease-Holder'
)


def main() -> int:
    """Print each violation; return 1 if there is any, else 0."""
    violations = [
        f'{path.relative_to(ROOT)}:{number}: {line.strip()}'
        for path in sorted(ROOT.glob('libs/*/src/**/*.py'))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE_NAMES.search(line)
    ]
    lines = sum(
        len(path.read_text().splitlines())
        for path in ROOT.glob('platform/src/**/*.py')
    )
    if lines > MAX_LINES:
        violations.append(
            f'platform/: {lines} lines, the maximum is {MAX_LINES}'
        )
    sys.stdout.writelines(f'{violation}\n' for violation in violations)
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
