"""The interfaces behind which workers, machines and advice are met."""

import abc

from returns import result

from jackdawlatch.scheduler import calls, reports


class WorkerClient(abc.ABC):
    """Gives orders to workers; each method is one call."""

    @abc.abstractmethod
    async def start(
        self, target: calls.Target, order: calls.Start
    ) -> result.Result[None, calls.CallFailure]:
        """calls.Start a run; succeeds too if that very run is there already."""

    @abc.abstractmethod
    async def stop(
        self, target: calls.Target, name: calls.RunName, token: int
    ) -> result.Result[None, calls.CallFailure]:
        """Stop a run, and make sure that it can't start any more."""

    @abc.abstractmethod
    async def look(
        self, target: calls.Target, look: calls.Look
    ) -> result.Result[reports.Lists, calls.CallFailure]:
        """Return the worker's lists and extend the lease."""

    @abc.abstractmethod
    async def pace(
        self,
        target: calls.Target,
        name: calls.RunName,
        percent: int,
        token: int,
    ) -> result.Result[None, calls.CallFailure]:
        """Let a run work at a share of its speed."""


class MachineClient(abc.ABC):
    """Orders about whole machines; ``token`` fences older leaders."""

    @abc.abstractmethod
    async def list_all(
        self,
    ) -> result.Result[tuple[reports.Machine, ...], reports.MachineFailure]:
        """Return every machine."""

    @abc.abstractmethod
    async def move(
        self, machine: str, service: str, token: int
    ) -> result.Result[None, reports.MachineFailure]:
        """Move a machine to a service's pool; all that runs on it ends."""

    @abc.abstractmethod
    async def maintain(
        self, machine: str, wave: int, token: int
    ) -> result.Result[None, reports.MachineFailure]:
        """Take a machine down for maintenance; all that runs on it ends."""


class AdviceClient(abc.ABC):
    """Tells which workers may run a step of an advised queue."""

    @abc.abstractmethod
    async def advise(
        self, job: str, occurrence: int, step: int, workers: tuple[str, ...]
    ) -> result.Result[reports.Advice, reports.AdviceFailure]:
        """Return the workers that may run a step."""
