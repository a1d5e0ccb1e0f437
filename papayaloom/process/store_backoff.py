"""Retry interval for calls to an unavailable store.

In a large fleet, hosts that each retry several times a second cause thousands
of calls, and would overload the store on its return. The roots retry often and
announce the store's return, so all other hosts can retry rarely.
"""

# Retries per second of all hosts of a fleet together.
_FLEET_RETRIES_PER_S = 50.0


def retry_s(hosts: int, least_s: float, fraction: float) -> float:
    """Return the delay after a failed call.

    :param hosts: number of hosts in the fleet.
    :param least_s: delay in a small fleet.
    :param fraction: random jitter from 0 to 1, so that hosts do not retry
        simultaneously.
    """
    base_s = max(least_s, hosts / _FLEET_RETRIES_PER_S)
    return base_s * (0.5 + fraction)
