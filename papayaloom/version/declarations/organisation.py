"""Settings of organisations.

Rate limits and weights are declared in ``limits``.
"""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='organisation.key_hashes',
        kind=setting.Kind.TEXTS,
        unit=setting.Unit.NONE,
        default=(),
        axis=setting.Axis.ORGANISATION,
        doc=(
            'Hex SHA-256 of each bearer key that authenticates the '
            'organisation.'
        ),
    ),
    setting.integer(
        'organisation.priority_ceiling',
        setting.Unit.NONE,
        9,
        (0, 9),
        setting.Axis.ORGANISATION,
        'Highest X-Priority of the organisation; a higher value in a '
        'request is lowered to it.',
    ),
)
