"""An order of the members on which all nodes agree without messages."""

from functools import lru_cache

import xxhash

from figdoor_kernel import Vm

# Twice the largest fleet of today.
MAX_CACHED = 1024

RankKey = tuple[bool, int, str]


def rank_key(member: Vm, seeds: frozenset[str]) -> RankKey:
    """Return the sort key of a member: seeds first, then by hash and id.

    Every node knows the addresses of the seeds from its start.
    """
    is_seed = f'{member.host}:{member.port}' in seeds
    return not is_seed, _hash(member.vm_id), member.vm_id


@lru_cache(maxsize=MAX_CACHED)
def _hash(node_id: str) -> int:
    return xxhash.xxh64_intdigest(node_id.encode())
