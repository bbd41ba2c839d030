"""Digests of keyed requests, and the buckets that keys belong to."""

import hashlib

import xxhash

from jackdawlatch.model import work

DIGEST_BYTES = 12


def scope_of(request: work.Request) -> str:
    """Return the digest under which a request's key is kept."""
    parts = (request.kind.team, request.kind.service, request.key)
    return _digest('\0'.join(parts).encode())


def fingerprint_of(request: work.Request) -> str:
    """Return a digest of all that makes a request a different one."""
    head = f'{request.method}\0{request.path}\0'
    return _digest(head.encode() + request.body)


def number_of(scope: str, buckets: int) -> int:
    """Return the bucket that a key belongs to."""
    return int(xxhash.xxh3_64_intdigest(scope.encode()) % buckets)


def _digest(content: bytes) -> str:
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
