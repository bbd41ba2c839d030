"""Plays the regression sites on the users' bench, beside the last figures.

The users' bench and its site files lie outside the repository: the first
argument is the bench's program, the second the folder of its pages.  Prints
the worth of each day and the last one that measure/users-bench.md keeps;
returns 1 if a rule is broken or a gate is not passed.
"""

import argparse
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEPT = ROOT / 'measure' / 'users-bench.md'
SITES = (
    'further/caroni-heat.toml',
    'grown/brolly-cymru-grown.toml',
    'grown/slate-coop-grown.toml',
    'further-grown/caroni-heat-grown.toml',
    'large/brolly-cymru-large.toml',
)
# Name, own and other hosts, score and worth, as the bench prints a day.
DAY = re.compile(r'^(\S+-\S+) +\d+/\d+ +-?[\d.]+ +(-?[\d.]+) (.*)$', re.M)
HEADING = '| site |'


def main() -> int:
    """Play every site; return 1 if any failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('bench', help="the bench's program")
    parser.add_argument('pages', type=pathlib.Path, help='folder of the sites')
    parser.add_argument('--quick', action='store_true', help='light days only')
    parser.add_argument('--jobs', default='2', help='days played at once')
    arguments = parser.parse_args()
    flags = ['--jobs', arguments.jobs, '--why', 'regression run']
    if arguments.quick:
        flags.append('--quick')
    failed = [
        site
        for site in SITES
        if not _play([arguments.bench, 'score'], arguments.pages / site, flags)
    ]
    sys.stdout.write(f'{len(SITES) - len(failed)} of {len(SITES)} held\n')
    return 1 if failed else 0


def _play(command: list[str], site: pathlib.Path, flags: list[str]) -> bool:
    played = subprocess.run(  # noqa: S603 the command is the caller's.
        [*command, str(site), *flags],
        cwd=ROOT,
        capture_output=True,
        check=False,
        text=True,
    )
    kept = kept_worths(KEPT.read_text(), site.stem)
    sys.stdout.write(f'{site.stem}\n')
    for name, worth, rest in DAY.findall(played.stdout):
        sys.stdout.write(
            f'  {name:14} {worth:>7} (kept: {kept.get(name, "none")})'
            f'{" BROKEN" if "BROKEN" in rest else ""}\n'
        )
    return 'GATE passed' in played.stdout and 'BROKEN' not in played.stdout


def kept_worths(page: str, site: str) -> dict[str, str]:
    """Return the last worth of each day of a site that the page keeps."""
    rows = [
        [cell.strip() for cell in line.strip('|').split('|')]
        for line in page.splitlines()
        if line.startswith((HEADING, f'| {site} |'))
    ]
    # Rows of another length belong to the table of hunts.
    rows = [row for row in rows if len(row) == len(rows[0])]
    if len(rows) < 2:
        return {}
    return dict(zip(rows[0][2:-1], rows[-1][2:-1], strict=True))


if __name__ == '__main__':
    sys.exit(main())
