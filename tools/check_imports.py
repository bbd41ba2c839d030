"""Checks that ``from`` imports name modules, not classes or functions."""

import ast
import importlib.util
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
# Names of these modules serve only type checking or are compiler directives.
EXEMPT = frozenset(('typing', 'collections.abc', '__future__'))


def main() -> int:
    """Print each violation; return 1 if there is any, else 0."""
    sources = [
        path
        for pattern in ('libs/*/**/*.py', 'platform/**/*.py', 'measure/*.py')
        for path in sorted(ROOT.glob(pattern))
    ]
    violations = [line for path in sources for line in _violations(path)]
    for line in violations:
        sys.stdout.write(f'{line}\n')
    return 1 if violations else 0


def _violations(path: pathlib.Path) -> list[str]:
    tree = ast.parse(path.read_text())
    return [
        f'{path.relative_to(ROOT)}:{node.lineno}: '
        f'{node.module}.{alias.name} is not a module'
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module not in EXEMPT
        for alias in node.names
        if not _is_module(f'{node.module}.{alias.name}')
    ]


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


if __name__ == '__main__':
    sys.exit(main())
