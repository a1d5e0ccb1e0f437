"""How often hosts try a store that does not answer.

Answers an outage of the store in a large fleet: hosts that all try again
several times a second cost thousands of calls and would meet the store with
them as it returns. The roots try often and tell the others when it is back, so
each further host tries seldom.
"""

# Tries of all hosts of a fleet together, in a second.
_FLEET_TRIES_PER_S = 50.0


def retry_s(hosts: int, least_s: float, fraction: float) -> float:
    """Return the pause after a call that failed.

    :param hosts: number of hosts of the fleet.
    :param least_s: pause in a small fleet.
    :param fraction: 0 to 1, random: hosts do not try together.
    """
    usual_s = max(least_s, hosts / _FLEET_TRIES_PER_S)
    return usual_s * (0.5 + fraction)
