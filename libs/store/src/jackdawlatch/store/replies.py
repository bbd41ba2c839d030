"""What an HTTP answer of the key-value service says about the call."""

import types
from collections.abc import Mapping
from typing import TypeVar

import msgspec
from returns import result

from jackdawlatch.backends import exchange
from jackdawlatch.model import records
from jackdawlatch.store import keyvalue, limits

OK_STATUS = 200

Reply = TypeVar('Reply', bound=records.Record)
Replied = result.Result[Reply, keyvalue.WriteFailure]

FAILURES_BY_STATUS: Mapping[int, type[keyvalue.WriteFailure]] = (
    types.MappingProxyType(
        {
            409: keyvalue.Conflict,
            410: keyvalue.LeaseLost,
            413: limits.TooLarge,
            503: keyvalue.Unavailable,
        }
    )
)
STATUSES_BY_FAILURE: Mapping[type[keyvalue.WriteFailure], int] = (
    types.MappingProxyType(
        {
            failure_type: status
            for status, failure_type in FAILURES_BY_STATUS.items()
        }
    )
)


def read(
    answered: result.Result[exchange.Reply, exchange.Failed],
    reply_type: type[Reply],
) -> Replied[Reply]:
    """Return the reply's record, or what is known of the call."""
    if isinstance(answered, result.Failure):
        return result.Failure(_failure_of(answered.failure()))
    reply = answered.unwrap()
    failure_type = FAILURES_BY_STATUS.get(reply.status)
    try:
        if failure_type is not None:
            return result.Failure(records.decode(reply.body, failure_type))
        if reply.status == OK_STATUS:
            return result.Success(records.decode(reply.body, reply_type))
    except msgspec.MsgspecError as error:
        # The status alone may be a proxy's, so it is not the store's word.
        return _uncertain(f'status {reply.status}: {error}')
    return _uncertain(f'status {reply.status}')


def unavailable(failure: keyvalue.WriteFailure) -> keyvalue.Unavailable:
    """Return the failure of a read, which has no other kind."""
    if isinstance(failure, keyvalue.Unavailable):
        return failure
    return keyvalue.Unavailable(message=failure.message)


def lost_or_unavailable(
    failure: keyvalue.WriteFailure,
) -> keyvalue.LeaseLost | keyvalue.Unavailable:
    """Return the failure of a renewal."""
    if isinstance(failure, keyvalue.LeaseLost):
        return failure
    return unavailable(failure)


def _failure_of(failed: exchange.Failed) -> keyvalue.WriteFailure:
    if isinstance(failed, exchange.NotSent):
        return keyvalue.Unavailable(message=failed.message)
    return keyvalue.Uncertain(message=failed.message)


def _uncertain(message: str) -> result.Failure[keyvalue.Uncertain]:
    return result.Failure(keyvalue.Uncertain(message=message))
