"""Keeps the platform's wire names, and all but translation, in platform/."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The folder is to stay small: about an eighth of the product's new code.
MOST_LINES = 1500
WIRE_NAMES = re.compile(
    r'kv-(key|range|watch|txn|lease|keep)|run-(start|stop)|fencing-token'
    r'|machine-(move|upkeep)|cold-left-ms|deadline-ms|clock-ms|op/config'
    r'|op/wave|servers/|wait-ms|X-Expect-Instance|X-Lease-Holder'
)


def main() -> int:
    """Print each offence; return the exit status."""
    offences = [
        f'{path.relative_to(ROOT)}:{number}: {line.strip()}'
        for path in sorted(ROOT.glob('libs/*/src/**/*.py'))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE_NAMES.search(line)
    ]
    lines = sum(
        len(path.read_text().splitlines())
        for path in ROOT.glob('platform/src/**/*.py')
    )
    if lines > MOST_LINES:
        offences.append(f'platform/: {lines} lines, at most {MOST_LINES}')
    sys.stdout.writelines(f'{offence}\n' for offence in offences)
    return 1 if offences else 0


if __name__ == '__main__':
    sys.exit(main())
