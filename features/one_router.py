"""Steps' view of scenarios about one forwarding router."""

from features import forwarding_router as fleets
from papayaloom.request import header_dialect


def fleet(context):
    if not hasattr(context, 'fleet'):
        context.fleet = fleets.Fleet()
        context.add_cleanup(context.fleet.close)
    return context.fleet


def start(context, script, limits=None, **options):
    """Start a router that knows the routes and one replica."""
    fleet(context).write(7, limits=limits)
    context.fleet.add_replica(script, **options)
    context.router = context.fleet.start_router()
    wait_for_replicas(context)


def wait_for_replicas(context):
    def known():
        listed = context.router.dump()['dispatch']['replicas']
        return len(listed) == len(context.fleet.replicas)

    assert fleets.until(3, known), 'the replicas were not listed'


def requests(context):
    return [one for engine in context.fleet.replicas for one in engine.requests]


def bodies(context):
    """Return the bodies of the requests that the replicas got."""
    return [one[3] for one in requests(context)]


def first(context, script):
    """Add a replica that gets the next request: the other one is busy."""
    context.fleet.add_replica(script)
    wait_for_replicas(context)
    record_load(context, 'i-1', 9)
    record_load(context, 'i-2', 0)


def record_load(context, name, running):
    load = header_dialect.Load(running=running, waiting=0, slots=4)
    context.router.dispatch_client.record_load(name, load)
