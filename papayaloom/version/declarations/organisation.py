"""Settings of the organisations.

Their rates and their weight are declared in ``limits``.
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
            'Hex SHA-256 of each bearer key that is accepted as the '
            'organisation.'
        ),
    ),
    setting.Setting(
        path='organisation.priority_ceiling',
        kind=setting.Kind.INTEGER,
        unit=setting.Unit.NONE,
        default=9,
        low=0,
        high=9,
        axis=setting.Axis.ORGANISATION,
        doc=(
            'Highest X-Priority of the organisation; a request that asks for '
            'more gets this one.'
        ),
    ),
)
