"""How machines are divided among services.

Load pattern: demand beyond the fleet.  Jobs that can still meet their objective
go before those that can't, of whatever service.
"""

import math
from collections.abc import Mapping


def divide(
    in_time: Mapping[str, int], late: Mapping[str, int], machines: int
) -> dict[str, int]:
    """Return the machines of each service, each gets at most its demand.

    ``in_time`` is the demand of jobs that can still meet their objective.  It is
    served first, in proportion; the rest goes to ``late`` demand.
    """
    first = _scaled(in_time, machines)
    rest = _scaled(late, max(0, machines - sum(first.values())))
    return {
        service: first.get(service, 0) + rest.get(service, 0)
        for service in (*first, *rest)
    }


def _scaled(demand: Mapping[str, int], machines: int) -> dict[str, int]:
    total = sum(demand.values())
    scale = min(1, machines / total) if total else 1
    return {
        service: math.ceil(number * scale) for service, number in demand.items()
    }
