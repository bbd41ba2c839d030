"""Checks that tests fail when the code they guard is broken.

Applies each mutation to a scratch copy of the source and runs its test before
and after. Prints one line per mutation; the exit status is 1 if a test passed
despite its mutation, failed without it, or gave no result within the limit.
"""

import pathlib
import re
import shutil
import subprocess  # noqa: S404 runs tests of the scratch copy.
import sys
import tempfile

import mutations

ROOT = pathlib.Path(__file__).resolve().parent.parent
LIMIT_S = 200


def main() -> int:
    """Check every mutation; return 1 if any was not detected, else 0."""
    undetected = [
        mutation for mutation in mutations.MUTATIONS if not _is_red(mutation)
    ]
    sys.stdout.write(
        f'{len(mutations.MUTATIONS) - len(undetected)} of {len(mutations.MUTATIONS)} red\n'
    )
    return 1 if undetected else 0


# A run without a result, such as one that timed out, shows nothing.
_FAILED = re.compile(' [1-9][0-9]* failed$')


def _is_red(mutation: mutations.Mutation) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        scratch = pathlib.Path(folder)
        for part in ('libs', 'platform', 'tools'):
            shutil.copytree(ROOT / part, scratch / part)
        before = _failures(scratch, mutation)
        library = mutation.path.partition('/')[0]
        source = scratch / f'libs/{library}/src/jackdawlatch/{mutation.path}'
        text = source.read_text()
        if mutation.present not in text:
            sys.stdout.write(
                f'{mutation.guarantee}: fragment not found in {source.name}\n'
            )
            return False
        source.write_text(text.replace(mutation.present, mutation.undone, 1))
        after = _failures(scratch, mutation)
    sys.stdout.write(f'{mutation.guarantee}: {before} -> {after}\n')
    return before.endswith(' 0 failed') and _FAILED.search(after) is not None


def _failures(scratch: pathlib.Path, mutation: mutations.Mutation) -> str:
    try:
        completed = subprocess.run(  # noqa: S603 fixed arguments.
            [
                sys.executable,
                'tools/run_tests.py',
                mutation.library,
                '--match',
                mutation.test,
            ],
            cwd=scratch,
            capture_output=True,
            check=False,
            text=True,
            timeout=LIMIT_S,
        )
    except subprocess.TimeoutExpired:
        return f'no result within {LIMIT_S} s'
    return completed.stdout.splitlines()[-1]


if __name__ == '__main__':
    sys.exit(main())
