"""Operating system processes that a test or the demo starts and ends."""

import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterator, Mapping, Sequence
from typing import Self

STOP_TIMEOUT_S = 15.0
POLL_S = 0.02
TAIL_BYTES = 4000
INTERRUPT_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class Process:
    """One program that was started; it is signalled only by its process id."""

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        directory: pathlib.Path,
        variables: Mapping[str, str],
    ) -> None:
        self.name = name
        self.paused = False
        self._output_path = directory / f'{name}.stderr'
        with self._output_path.open('ab') as output:
            # In a new session it gets no interrupt of the terminal, so that
            # only the driver decides in which order processes end.
            self._popen = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=directory,
                env={**os.environ, **variables},
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def exit_status(self) -> int | None:
        """The exit status, negative for a signal, None while it runs."""
        return self._popen.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.exit_status is None:
            self._popen.send_signal(number)
        if number is signal.SIGSTOP:
            self.paused = True
        elif number is signal.SIGCONT:
            self.paused = False

    def wait(self, timeout_s: float) -> bool:
        """Wait for the end; return whether it came within ``timeout_s``."""
        try:
            self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def output_tail(self) -> str:
        """Return the last ``TAIL_BYTES`` of its stdout and stderr."""
        content = self._output_path.read_bytes()
        return content[-TAIL_BYTES:].decode(errors='replace')


class Processes:
    """The processes of one run; all of them are ended on exit."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self._processes_by_name: dict[str, Process] = {}

    def __enter__(self) -> Self:
        """Return this object."""
        return self

    def __exit__(self, *_error: object) -> None:
        """End the processes that still run."""
        self.close()

    def __getitem__(self, name: str) -> Process:
        """Return the last process that was started under a name."""
        return self._processes_by_name[name]

    def __iter__(self) -> Iterator[Process]:
        """Iterate over all processes, in the order of their start."""
        return iter(tuple(self._processes_by_name.values()))

    def start(
        self, name: str, arguments: Sequence[str], **variables: str
    ) -> Process:
        """Start ``python -m`` with arguments and environment variables.

        Raises ``ValueError`` if a process of that name still runs.
        """
        before = self._processes_by_name.get(name)
        if before and before.exit_status is None:
            raise ValueError(f'{name} is still running')
        process = Process(name, arguments, self.directory, variables)
        self._processes_by_name[name] = process
        return process

    def failed(self) -> tuple[Process, ...]:
        """Return the processes that exited with an error, not by a signal."""
        return tuple(
            process
            for process in self
            if process.exit_status is not None and process.exit_status > 0
        )

    def close(self) -> None:
        """Stop all, latest first; kill those that don't end in time."""
        # A second interrupt must not leave processes running.
        before = signal.pthread_sigmask(signal.SIG_BLOCK, INTERRUPT_SIGNALS)
        try:
            self._end_all()
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)

    def _end_all(self) -> None:
        left = list(reversed(tuple(self)))
        for process in left:
            # A paused process does not handle SIGTERM until it is resumed.
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in left:
            process.wait(max(POLL_S, deadline_s - time.monotonic()))
        for process in left:
            process.signal(signal.SIGKILL)
            process.wait(STOP_TIMEOUT_S)
