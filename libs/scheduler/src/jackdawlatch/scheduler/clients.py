"""Interfaces of the clients for workers, machines and advice."""

import abc

from returns import result

from jackdawlatch.scheduler import calls, reports


class WorkerClient(abc.ABC):
    """Sends requests to workers; each method is one call."""

    @abc.abstractmethod
    async def start(
        self, target: calls.Target, request: calls.Start
    ) -> result.Result[float | None, calls.CallFailure]:
        """Start a run; succeeds too if that run exists already.

        Return the time on the worker's clock, None if the answer lacks it.
        """

    @abc.abstractmethod
    async def stop(
        self, target: calls.Target, run_id: calls.RunId, token: int
    ) -> result.Result[None, calls.CallFailure]:
        """Stop a run, and prevent a delayed start of it."""

    @abc.abstractmethod
    async def poll(
        self, target: calls.Target, poll: calls.Poll
    ) -> result.Result[reports.WorkerStatus, calls.CallFailure]:
        """Return the worker's status and extend its lease."""

    @abc.abstractmethod
    async def set_pace(
        self,
        target: calls.Target,
        run_id: calls.RunId,
        percent: int,
        token: int,
    ) -> result.Result[None, calls.CallFailure]:
        """Limit a run to ``percent`` of its full speed."""


class MachineClient(abc.ABC):
    """Lists, moves and maintains machines; ``token`` fences older leaders."""

    @abc.abstractmethod
    async def list_all(
        self,
    ) -> result.Result[tuple[reports.Machine, ...], reports.MachineFailure]:
        """Return every machine."""

    @abc.abstractmethod
    async def move(
        self, machine: str, service: str, token: int
    ) -> result.Result[None, reports.MachineFailure]:
        """Move a machine to the pool of a service; its runs end."""

    @abc.abstractmethod
    async def maintain(
        self, machine: str, wave: int, token: int
    ) -> result.Result[None, reports.MachineFailure]:
        """Take a machine down for maintenance; its runs end."""


class AdviceClient(abc.ABC):
    """Asks the advice service which workers may run a step."""

    @abc.abstractmethod
    async def advise(
        self, job: str, occurrence: int, step: int, workers: tuple[str, ...]
    ) -> result.Result[reports.Advice, reports.AdviceFailure]:
        """Return tickets for the workers that may run the step."""
