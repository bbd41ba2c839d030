"""Wires the parts that send requests to runners."""

import dataclasses

from jackdawlatch.backends import runners
from jackdawlatch.entry import (
    brokerage,
    departures,
    dispatch,
    slots,
    surroundings,
)


@dataclasses.dataclass(frozen=True)
class SendingParts:
    """What gets slots and sends requests."""

    brokerage: brokerage.Brokerage
    slots: slots.BrokeredSlots
    dispatcher: dispatch.Dispatcher


def build(
    around: surroundings.Surroundings, own_runners: runners.Runners
) -> SendingParts:
    """Return the wired parts; nothing is started yet."""
    own_brokerage = brokerage.Brokerage(around)
    own_slots = slots.BrokeredSlots(around, own_brokerage)
    dispatcher = dispatch.Dispatcher(
        around, own_slots, own_runners, departures.Departures(around)
    )
    return SendingParts(own_brokerage, own_slots, dispatcher)
