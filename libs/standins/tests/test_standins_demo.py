import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile

from jackdawlatch.standins import waiting
from jackdawlatch.testing import functions


async def test_interrupted_demo_leaves_no_processes_or_files() -> None:
    with tempfile.TemporaryDirectory() as directory:
        base = pathlib.Path(directory)
        demo = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'jackdawlatch.standins',
            'demo',
            env={**os.environ, 'TMPDIR': directory},
        )

        async def has_children() -> bool:
            return len(_processes_below(base)) > 3

        assert await waiting.until(has_children, 30)
        demo.terminate()
        assert await demo.wait() == 1
        assert not _processes_below(base)
        assert not os.listdir(directory)


def _processes_below(base: pathlib.Path) -> list[str]:
    """Return the command lines that name files below a directory."""
    lines = []
    for path in pathlib.Path('/proc').glob('[0-9]*/cmdline'):
        with contextlib.suppress(OSError):
            lines.append(path.read_bytes().decode(errors='replace'))
    return [line for line in lines if f'{base}/' in line]


load_tests = functions.loader(__name__)
