import pytest

from benchmarks.slopes.fit import Point, Series, fit_series


def make_series(costs: list[float]) -> Series:
    points = tuple(Point(size=n, cost=cost) for n, cost in enumerate(costs, 1))
    return Series(role="r", what="w", size_unit="hosts", cost_unit="us", points=points)


def test_straight_line_is_found_and_explains_everything() -> None:
    fit = fit_series(make_series([5.0, 7.0, 9.0, 11.0]))
    assert fit.slope == pytest.approx(2.0)
    assert fit.predict(10) == pytest.approx(23.0)
    assert fit.r_squared == pytest.approx(1.0)


def test_curve_is_told_by_a_lower_share() -> None:
    assert fit_series(make_series([1.0, 10.0, 100.0, 1000.0])).r_squared < 0.9
