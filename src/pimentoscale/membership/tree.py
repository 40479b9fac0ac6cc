"""The tree over which a zone's nodes pass on records.

Each node has a level, geometrically distributed by the hash of its name, as in a
skip list. Its parent is the next node, in hash order, of a higher level. A node
that joins or leaves changes the parents of its neighbours only, and all nodes that
know the same members find the same tree.
"""

from collections.abc import Iterable

import xxhash

DEGREE_BITS = 3
HASH_BITS = 64
Position = tuple[int, int]


def locate(instance: str) -> Position:
    """Return an instance's level and its place in hash order."""
    value = xxhash.xxh3_64_intdigest(instance.encode())
    level = 0
    rest = value
    while level * DEGREE_BITS < HASH_BITS and rest % (1 << DEGREE_BITS) == 0:
        level += 1
        rest >>= DEGREE_BITS
    return level, value


def find_root(instances: Iterable[str]) -> str | None:
    """Return the root: of the highest level, the first in hash order."""
    return min(instances, key=_rank_root, default=None)


def find_parent(instance: str, instances: Iterable[str]) -> str | None:
    """Return the parent of an instance; None for the root."""
    level, place = locate(instance)
    best: str | None = None
    best_distance = 1 << HASH_BITS
    others = [name for name in instances if name != instance]
    for name in others:
        other_level, other_place = locate(name)
        distance = (other_place - place) % (1 << HASH_BITS)
        if other_level > level and distance < best_distance:
            best, best_distance = name, distance
    if best is not None:
        return best
    root = find_root([instance, *others])
    return None if root == instance else root


def _rank_root(instance: str) -> Position:
    level, place = locate(instance)
    return -level, place
