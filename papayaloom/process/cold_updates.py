"""What the dispatch state needs to know for cold replicas, and its log lines."""

import structlog

from papayaloom.process import dispatch_actor, fleet_hosts
from papayaloom.routing import dispatch
from papayaloom.routing.limits import cold_permits, cold_replicas
from papayaloom.version import routes

_log = structlog.get_logger('dispatch')


def configure(
    dispatch_client: dispatch_actor.DispatchClient, tables: routes.Tables
) -> None:
    """Set the services whose replicas need a warm-up."""
    dispatch_client.tell(
        lambda dispatcher, _: dispatcher.cold.replicas.configure(
            tables.services
        )
    )


def update_fleet(
    dispatch_client: dispatch_actor.DispatchClient,
    me: str,
    hosts: fleet_hosts.FleetHosts,
    age_s: float,
) -> None:
    """Set the fleet that shares the permits, and log new warm-ups.

    :param age_s: time since the last answer of the store, direct or relayed.
    """
    fleet = cold_permits.Fleet(
        me,
        tuple(one.name for one in hosts.all()),
        hosts.is_registered(),
        age_s,
    )

    def step(dispatcher: dispatch.Dispatcher, now: float) -> None:
        dispatcher.cold.permits.update_fleet(fleet, now)
        for change in dispatcher.cold.replicas.pop_changes():
            _log_change(change)

    dispatch_client.tell(step)


def _log_change(change: cold_replicas.Change) -> None:
    if change.cold_s is None:
        _log.info(
            'dispatch: ignored a malformed warm-up in an entry',
            replica=change.replica,
        )
        return
    _log.info(
        'dispatch: a replica is cold',
        replica=change.replica,
        born=change.born,
        seconds=round(change.cold_s, 3),
        source=change.source.value,
    )
