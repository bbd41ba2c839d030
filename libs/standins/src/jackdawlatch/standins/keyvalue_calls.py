"""Applies the calls of the key-value service to its content."""

import types
from collections.abc import Callable, Mapping
from typing import Any

from returns import result

from jackdawlatch.model import records
from jackdawlatch.standins import content as contents
from jackdawlatch.store import keyvalue, limits, wire

WRITES = (wire.Put, wire.Delete)

Outcome = result.Result[Any, keyvalue.WriteFailure]

CALL_TYPES_BY_NAME: Mapping[str, type[records.Record]] = types.MappingProxyType(
    {
        call_type.__name__.lower(): call_type
        for call_type in (
            wire.Get,
            wire.Scan,
            wire.Put,
            wire.Delete,
            wire.Watch,
            wire.Grant,
            wire.Renew,
            wire.Revoke,
        )
    }
)


def perform(content: contents.Content, call: records.Record) -> Outcome:
    """Apply a call; a watch, which waits, is not among them."""
    return PERFORMERS_BY_TYPE[type(call)](content, call)


def _get(content: contents.Content, call: wire.Get) -> Outcome:
    return result.Success(wire.Found(entry=content.get(call.key)))


def _scan(content: contents.Content, call: wire.Scan) -> Outcome:
    return result.Success(content.scan(call.prefix))


def _put(content: contents.Content, call: wire.Put) -> Outcome:
    if len(call.content) > limits.MAX_VALUE_BYTES:
        return result.Failure(limits.too_large(call.key, call.content))
    return content.put(call.key, call.content, call.revision, call.lease)


def _delete(content: contents.Content, call: wire.Delete) -> Outcome:
    return content.delete(call.key, call.revision).map(_done)


def _grant(content: contents.Content, call: wire.Grant) -> Outcome:
    return result.Success(content.grant(call.ttl_s))


def _renew(content: contents.Content, call: wire.Renew) -> Outcome:
    return content.renew(call.lease).map(_done)


def _revoke(content: contents.Content, call: wire.Revoke) -> Outcome:
    content.revoke(call.lease)
    return result.Success(wire.Done())


def _done(_nothing: None) -> wire.Done:
    return wire.Done()


PERFORMERS_BY_TYPE: Mapping[type[records.Record], Callable[..., Outcome]] = (
    types.MappingProxyType(
        {
            wire.Get: _get,
            wire.Scan: _scan,
            wire.Put: _put,
            wire.Delete: _delete,
            wire.Grant: _grant,
            wire.Renew: _renew,
            wire.Revoke: _revoke,
        }
    )
)
