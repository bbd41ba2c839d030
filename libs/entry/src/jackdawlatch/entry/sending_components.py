"""Builds the components that send requests to runners."""

import dataclasses

from jackdawlatch.backends import runners
from jackdawlatch.entry import (
    broker_gateway,
    dispatch,
    leaving_notifier,
    shared_dependencies,
    slots,
)


@dataclasses.dataclass(frozen=True)
class SendingComponents:
    """The components that acquire slots and send requests."""

    gateway: broker_gateway.BrokerGateway
    slots: slots.BrokeredSlots
    dispatcher: dispatch.Dispatcher


def build(
    dependencies: shared_dependencies.Dependencies, own_runners: runners.Runners
) -> SendingComponents:
    """Return the components; their background loops are not started."""
    gateway = broker_gateway.BrokerGateway(dependencies)
    own_slots = slots.BrokeredSlots(dependencies, gateway)
    dispatcher = dispatch.Dispatcher(
        dependencies,
        own_slots,
        own_runners,
        leaving_notifier.LeavingNotifier(dependencies),
    )
    return SendingComponents(gateway, own_slots, dispatcher)
