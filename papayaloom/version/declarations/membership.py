"""Settings of membership and failure detection."""

from papayaloom.version import setting

SETTINGS = (
    setting.number(
        'membership.period_s',
        setting.Unit.SECONDS,
        1,
        (0.2, 60),
        setting.Axis.FLEET,
        'Interval between the probes that a router sends to random members.',
    ),
    setting.number(
        'membership.ack_timeout_s',
        setting.Unit.SECONDS,
        0.3,
        (0.05, 30),
        setting.Axis.FLEET,
        'How long to wait for the answer to a probe before asking other '
        'members to probe.',
    ),
    setting.integer(
        'membership.indirect',
        setting.Unit.COUNT,
        3,
        (0, 16),
        setting.Axis.FLEET,
        'Number of members that are asked to probe an unresponsive one.',
    ),
    setting.number(
        'membership.suspicion_s',
        setting.Unit.SECONDS,
        3,
        (0.5, 60),
        setting.Axis.FLEET,
        'How long a member is suspected before it is declared dead, with up '
        'to 10 members.',
    ),
    setting.number(
        'membership.confirm_s',
        setting.Unit.SECONDS,
        30,
        (5, 3600),
        setting.Axis.FLEET,
        'How long a member may be dead before it loses its ranks.',
    ),
    setting.number(
        'membership.gossip_s',
        setting.Unit.SECONDS,
        0.25,
        (0.1, 10),
        setting.Axis.FLEET,
        'Interval between gossip rounds about members.',
    ),
    setting.integer(
        'membership.fanout',
        setting.Unit.COUNT,
        2,
        (1, 16),
        setting.Axis.FLEET,
        'Number of members that each gossip round is sent to.',
    ),
    setting.number(
        'membership.repeat_factor',
        setting.Unit.FACTOR,
        4,
        (1, 16),
        setting.Axis.FLEET,
        'Number of transmissions of each update, times log10 of the number '
        'of members plus one.',
    ),
    setting.integer(
        'membership.updates',
        setting.Unit.COUNT,
        8,
        (1, 32),
        setting.Axis.FLEET,
        'Maximum number of membership updates in one message.',
    ),
    setting.number(
        'membership.sync_s',
        setting.Unit.SECONDS,
        10,
        (1, 600),
        setting.Axis.FLEET,
        'Interval between comparisons of the whole view with another router.',
    ),
    setting.number(
        'membership.forget_s',
        setting.Unit.SECONDS,
        3600,
        (60, 86400),
        setting.Axis.FLEET,
        'How long a dead member is remembered.',
    ),
)
