"""Targets for benchmark figures, with bounds from the users' requirements."""

import operator
import types
import typing

import msgspec

# Policies that the fleet uses; all others are baselines or earlier designs.
_FLEET_POLICIES = (
    'fleet',
    'swim-full-view',
    'router',
    'ledger',
    'planned stop, hints given back',
)


class Target(msgspec.Struct, frozen=True):
    """Upper or lower bound for a figure.

    :param at_most: whether the bound is an upper bound.
    :param scenario: substrings that the name of the scenario must contain.
    :param policies: policies to which the bound applies; the others are
        baselines.
    """

    bound: float
    at_most: bool = True
    scenario: tuple[str, ...] = ()
    policies: tuple[str, ...] = _FLEET_POLICIES

    def is_met(self, value: float) -> bool:
        """Return whether a value meets the target."""
        comparison = operator.le if self.at_most else operator.ge
        return comparison(value, self.bound)

    def format_bound(self) -> str:
        """Return the bound as text for a table."""
        sign = '≤' if self.at_most else '≥'
        return f'{sign} {self.bound:g}'


TARGETS: typing.Mapping[str, tuple[Target, ...]] = types.MappingProxyType(
    {
        'load_over_cap': (Target(1),),
        'skew': (Target(1.15, scenario=('steady',)),),
        'cache_reuse_of_bound': (
            Target(0.97, at_most=False, scenario=('steady',)),
            Target(0.9, at_most=False, scenario=('churn',)),
        ),
        'retry_amplification': (Target(1.2),),
        'false_refusals': (Target(0.01),),
        'late_share': (Target(0.01),),
        'fairness': (Target(0.99, at_most=False),),
        'doubled_effects': (Target(0),),
        'false_not_run': (Target(0),),
        'added_first_byte': (Target(1.1),),
        'cpu_per_token_ratio': (Target(2),),
        'tokens_per_core_second': (Target(2600, at_most=False),),
        'placement_us_ratio': (Target(3),),
        'settings_delay_s': (
            Target(10, scenario=('n=360',)),
            Target(2, scenario=('n=6,',)),
        ),
        'settings_reverts': (Target(0),),
        'control_bytes_per_second': (Target(6000),),
        'control_core_share': (Target(0.012),),
        'control_memory_bytes': (Target(128_000_000),),
        'detect_s': (Target(10),),
        'false_deaths': (Target(0),),
        'kv_calls_per_second': (
            Target(100, scenario=('n=360', 'writes')),
            Target(300, scenario=('n=360', 'reads')),
        ),
        'chats_moved_share': (Target(1.1),),
        'cut_off_requests': (Target(0),),
        'lost_reuse': (Target(0.05),),
    },
)


def find_target(name: str, scenario: str, policy: str) -> Target | None:
    """Return the target that applies to a figure, or ``None``."""
    for target in TARGETS.get(name, ()):
        policy_matches = not target.policies or policy in target.policies
        if policy_matches and all(text in scenario for text in target.scenario):
            return target
    return None
