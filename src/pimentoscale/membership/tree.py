"""The tree over which the nodes of a zone distribute records.

Each node has a level, geometrically distributed by the hash of its name, as in a
skip list. Its parent is the next node, in hash order, of a higher level; the nodes
of the highest level have the root as their parent. A node that joins or leaves
changes the parents of its neighbours only, and all nodes with the same directory
compute the same tree.
"""

from collections.abc import Iterable

import xxhash

DEGREE_BITS = 3
HASH_BITS = 64
Position = tuple[int, int]


def locate(instance: str) -> Position:
    """Return an instance's level and hash.

    Of the nodes that reach a level, one in `2 ** DEGREE_BITS` reaches the next.
    """
    value = xxhash.xxh3_64_intdigest(instance.encode())
    level = 0
    bits = value
    while level * DEGREE_BITS < HASH_BITS and bits % (1 << DEGREE_BITS) == 0:
        level += 1
        bits >>= DEGREE_BITS
    return level, value


def find_root(instances: Iterable[str]) -> str | None:
    """Return the root: the first in hash order of the highest level."""
    return min(instances, key=rank_root, default=None)


def find_parent(instance: str, instances: Iterable[str]) -> str | None:
    """Return the parent of an instance; None for the root."""
    level, position = locate(instance)
    parent: str | None = None
    parent_distance = 1 << HASH_BITS
    others = [name for name in instances if name != instance]
    for name in others:
        other_level, other_position = locate(name)
        distance = (other_position - position) % (1 << HASH_BITS)
        if other_level > level and distance < parent_distance:
            parent, parent_distance = name, distance
    if parent is not None:
        return parent
    root = find_root([instance, *others])
    return None if root == instance else root


def rank_root(instance: str) -> Position:
    """Return the order key of roots: the least is the root."""
    level, position = locate(instance)
    return -level, position
