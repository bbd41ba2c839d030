"""Store keys of the jobs of a shard."""

import xxhash


def key_of(shard: str, bucket: int) -> str:
    """Return the store key of a bucket."""
    return f'{prefix_of(shard)}{bucket}'


def prefix_of(shard: str) -> str:
    """Return the common prefix of the keys of a shard."""
    return f'jobs/{shard}/'


def bucket_of(job_id: str, buckets: int) -> int:
    """Return the number of the bucket that holds a job."""
    return int(xxhash.xxh3_64_intdigest(job_id.encode()) % buckets)
