"""Past usage of a worker, because the usage it reports lags behind."""

import collections

from jackdawlatch.backends import tasks
from jackdawlatch.standins import task_table

MAX_SNAPSHOTS = 512


class Snapshots:
    """The usage at the times at which a snapshot was taken."""

    def __init__(self, table: task_table.TaskTable, boot: str) -> None:
        self._table = table
        self._boot = boot
        self._usages: collections.deque[tuple[float, tasks.Usage]] = (
            collections.deque(maxlen=MAX_SNAPSHOTS)
        )
        self.take()

    def take(self) -> None:
        """Take a snapshot of the current usage."""
        usage = tasks.Usage(
            capacity=self._table.capacity,
            boot=self._boot,
            tasks=tuple(one.report() for one in self._table.everyone()),
        )
        self._usages.append((self._table.now_s, usage))

    def of_age(self, age_s: float) -> tasks.Usage:
        """Return the latest snapshot at least ``age_s`` old, else the oldest."""
        self.take()
        limit_s = self._table.now_s - age_s
        old = [taken for taken in self._usages if taken[0] <= limit_s]
        for _ in old[1:]:
            self._usages.popleft()
        return self._usages[0][1]
