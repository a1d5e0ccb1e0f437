"""One figure as the bench prints it."""

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """One line of the bench's output."""

    name: str
    value: float
    unit: str
    seed: int
    scenario: str
    policy: str


def entry(
    name: str,
    value: float,
    unit: str,
    seed: int,
    scenario: str,
    policy: str,
    digits: int = 4,
) -> Figure:
    """Return a figure with a rounded value."""
    return Figure(name, round(value, digits), unit, seed, scenario, policy)
