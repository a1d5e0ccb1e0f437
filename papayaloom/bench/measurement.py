"""Output format of the benchmarks."""

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """A measured value; the benchmarks print one per line."""

    name: str
    value: float
    unit: str
    seed: int
    scenario: str
    policy: str


def make_figure(
    name: str,
    value: float,
    unit: str,
    seed: int,
    scenario: str,
    policy: str,
    digits: int = 4,
) -> Figure:
    """Return a figure with its value rounded to ``digits`` decimals."""
    return Figure(name, round(value, digits), unit, seed, scenario, policy)
