"""Interprets the HTTP replies of the key-value service."""

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
    """Return the reply's record, or the failure that it stands for.

    Without a valid reply the call is ``Uncertain``, or ``Unavailable`` if it
    was never sent.
    """
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
        # A proxy may have sent this status, so it proves nothing by itself.
        return _uncertain(f'status {reply.status}: invalid body: {error}')
    return _uncertain(f'unexpected status {reply.status}')


def read_failure(failure: keyvalue.WriteFailure) -> keyvalue.Unavailable:
    """Convert any failure of a read, which has no effect, to that type."""
    if isinstance(failure, keyvalue.Unavailable):
        return failure
    return keyvalue.Unavailable(message=failure.message)


def unread(failed: exchange.Failed) -> keyvalue.Unavailable:
    """Return the failure of a read that got no usable reply."""
    if isinstance(failed, exchange.TooLarge):
        return keyvalue.Oversized(message=failed.message)
    return keyvalue.Unavailable(message=failed.message)


def renewal_failure(
    failure: keyvalue.WriteFailure,
) -> keyvalue.LeaseLost | keyvalue.Unavailable:
    """Convert the failure of a renewal: all but a lost lease can be retried."""
    if isinstance(failure, keyvalue.LeaseLost):
        return failure
    return read_failure(failure)


def _failure_of(failed: exchange.Failed) -> keyvalue.WriteFailure:
    if isinstance(failed, exchange.NotSent):
        return keyvalue.Unavailable(message=failed.message)
    return keyvalue.Uncertain(message=failed.message)


def _uncertain(message: str) -> result.Failure[keyvalue.Uncertain]:
    return result.Failure(keyvalue.Uncertain(message=message))
