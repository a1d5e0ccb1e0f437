"""Choice between replicas that named a rate limit and the others.

A request goes to the limited replica that comes first for it, as long as the
limit allows, and else to a replica without a limit.
"""

import random
import typing

from papayaloom import hashing
from papayaloom.routing import replicas
from papayaloom.routing.limits import rate_shares


def first_in_rank(
    ready: typing.Sequence[replicas.Replica],
    limited: rate_shares.LimitedReplicas,
    prefix: str,
    rng: random.Random,
) -> replicas.Replica:
    """Return the replica that comes first for a request.

    Limited replicas come first in proportion to their shares: for a prefix
    always the same one, without a prefix a random one.
    """
    by_id = {one.id: one for one in ready}
    shares = prefix_shares(by_id, limited)
    if prefix:
        return by_id[hashing.weighted_rank(prefix, shares)[0]]
    return rng.choices(ready, [shares[one.id] for one in ready])[0]


def prefix_shares(
    ids: typing.Iterable[replicas.ReplicaId],
    limited: rate_shares.LimitedReplicas,
) -> dict[replicas.ReplicaId, float]:
    """Return the shares of replicas in the prompt prefixes."""
    return {name: limited[name].share if name in limited else 1 for name in ids}
