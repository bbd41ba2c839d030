"""The keys of the store under which the jobs of a shard are kept."""

import xxhash


def key_of(shard: str, bucket: int) -> str:
    """Return the store's key of a bucket."""
    return f'{prefix_of(shard)}{bucket}'


def prefix_of(shard: str) -> str:
    """Return what the keys of all buckets of a shard start with."""
    return f'jobs/{shard}/'


def number_of(job_id: str, buckets: int) -> int:
    """Return the bucket that a job belongs to."""
    return int(xxhash.xxh3_64_intdigest(job_id.encode()) % buckets)
