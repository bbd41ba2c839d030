"""Runs the measures; writes the record, the page and the plots."""

import argparse
import json
import pathlib
import subprocess  # noqa: S404 asks git for the commit that is measured.
import sys
import time

from measure import base, modules, page

RECORD = pathlib.Path(__file__).resolve().parent / 'latest.json'


def main() -> int:
    """Run the chosen measures and merge their tables into the record."""
    parser = argparse.ArgumentParser(prog='measure', description=__doc__)
    parser.add_argument('names', nargs='*', help='default: all')
    parser.add_argument('--seed', type=int, default=1)
    chosen = parser.parse_args()
    record = json.loads(RECORD.read_text()) if RECORD.exists() else {}
    modules.load()
    for name in chosen.names or sorted(base.Measure.measures_by_name):
        record[name] = _run(name, chosen.seed)
        RECORD.write_text(json.dumps(record, indent=1) + '\n')
    page.write(record)
    return 0


def _run(name: str, seed: int) -> page.Run:
    started_s = time.monotonic()
    tables = [
        page.plain(table)
        for table in base.Measure.measures_by_name[name]().run(seed)
    ]
    took_s = round(time.monotonic() - started_s, 1)
    sys.stdout.write(f'{name}: {took_s} s\n')
    return {
        'commit': _commit(),
        'seed': seed,
        'took_s': took_s,
        'tables': tables,
    }


def _commit() -> str:
    described = subprocess.run(  # noqa: S603, S607 fixed words.
        ['git', 'describe', '--always', '--dirty'],
        cwd=base.ROOT,
        capture_output=True,
        check=False,
        text=True,
    )
    return described.stdout.strip()


if __name__ == '__main__':
    sys.exit(main())
