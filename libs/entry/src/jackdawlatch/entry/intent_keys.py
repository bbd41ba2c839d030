"""Digests of keyed requests, and the buckets that they belong to."""

import hashlib

import xxhash

from jackdawlatch.model import work

DIGEST_BYTES = 12


def key_digest_of(request: work.Request) -> str:
    """Return the digest of a request's team, service and key.

    The intent of the request is stored under it.
    """
    parts = (request.kind.team, request.kind.service, request.key)
    return _digest('\0'.join(parts).encode())


def fingerprint_of(request: work.Request) -> str:
    """Return a digest that tells apart different requests under one key."""
    head = f'{request.method}\0{request.path}\0'
    return _digest(head.encode() + request.body)


def bucket_number_of(key_digest: str, buckets: int) -> int:
    """Return the number of the bucket that a key belongs to."""
    return int(xxhash.xxh3_64_intdigest(key_digest.encode()) % buckets)


def _digest(content: bytes) -> str:
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
