"""Problem documents of requests that are placed on no replica."""

from papayaloom import errors, ids

_UNAVAILABLE_RETRY_S = 0.5
_NO_BUDGET_RETRY_S = 1.0
_EVACUATED_RETRY_S = 2.0


def unavailable(service: ids.ServiceId, pause_s: float = 0) -> errors.Problem:
    """Return the problem for a request that no replica can take.

    :param pause_s: retry delay while all replicas pause; 0 if they do not.
    """
    return errors.Problem(
        'no replica can take the request',
        503,
        detail=f'service {service}',
        retry_after_s=pause_s or _UNAVAILABLE_RETRY_S,
    )


def evacuated(service: ids.ServiceId) -> errors.Problem:
    """Return the problem while all zones of a service are evacuated."""
    return errors.Problem(
        'all zones with replicas of the service are evacuated',
        503,
        detail=f'service {service}',
        retry_after_s=_EVACUATED_RETRY_S,
    )


def rate_limited(service: ids.ServiceId) -> errors.Problem:
    """Return the problem for a request above the limits of all replicas."""
    return errors.Problem(
        'the rate limits of the replicas are reached',
        503,
        detail=f'service {service}',
    )


def cold(service: ids.ServiceId, retry_s: float) -> errors.Problem:
    """Return the problem for a request above what cold replicas may get."""
    return errors.Problem(
        'the replicas are warming up',
        503,
        detail=f'service {service}',
        retry_after_s=retry_s,
    )


def prefix_full(service: ids.ServiceId) -> errors.Problem:
    """Return the problem for a request whose preferred replicas are full."""
    return errors.Problem(
        'the replicas that have its prefix are full',
        503,
        detail=f'service {service}',
    )


def condemned(fingerprint: ids.Fingerprint, retry_s: float) -> errors.Problem:
    """Return the problem for a request that crashes replicas.

    :param fingerprint: of the request, or the name of a part of its prompt.
    """
    return errors.Problem(
        'replicas ended while they ran this request',
        503,
        detail=f'fingerprint {fingerprint} is condemned',
        retry_after_s=retry_s,
    )


def fails_everywhere() -> errors.Problem:
    """Return the problem for a retry that would fail as the attempts before."""
    return errors.Problem('the request fails at every replica', 503)


def not_hedged() -> errors.Problem:
    """Return the problem for a hedge that is not sent; no caller gets it."""
    return errors.Problem('the request is not hedged', 503)


def budget_spent() -> errors.Problem:
    """Return the problem for a retry that the retry budget does not allow."""
    return errors.Problem(
        'the retry budget is spent', 503, retry_after_s=_NO_BUDGET_RETRY_S
    )
