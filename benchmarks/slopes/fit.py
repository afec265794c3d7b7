"""Fit a straight line through costs by size and write the rows."""

import json
import time
from collections.abc import Callable
from pathlib import Path

import attrs
import numpy as np
from attrs import frozen

__all__ = ["Fit", "Point", "Series", "fit_series", "print_series", "time_call_us"]

REPEATS = 5
US_PER_S = 1e6


@frozen(kw_only=True)
class Point:
    """Hold the cost measured at one size."""

    size: int
    cost: float


@frozen(kw_only=True)
class Series:
    """Hold the costs of one role by size, in the unit named."""

    role: str
    what: str
    size_unit: str
    cost_unit: str
    points: tuple[Point, ...]


@frozen(kw_only=True)
class Fit:
    """Hold a straight line and the share of the variance that it explains."""

    slope: float
    intercept: float
    r_squared: float

    def predict(self, size: float) -> float:
        """Return the cost that the line gives at a size."""
        return self.intercept + self.slope * size


def fit_series(series: Series) -> Fit:
    """Return the least-squares line through the points."""
    sizes = np.array([point.size for point in series.points], dtype=float)
    costs = np.array([point.cost for point in series.points], dtype=float)
    slope, intercept = np.polyfit(sizes, costs, 1)
    residual = float(np.sum((costs - (intercept + slope * sizes)) ** 2))
    total = float(np.sum((costs - costs.mean()) ** 2))
    r_squared = 1.0 - residual / total if total > 0 else 1.0
    return Fit(slope=float(slope), intercept=float(intercept), r_squared=r_squared)


def time_call_us(call: Callable[[], object], *, calls: int = 1) -> float:
    """Return the least mean time of one call in microseconds, of five tries."""
    best_s = float("inf")
    for _ in range(REPEATS):
        start_s = time.perf_counter()
        for _ in range(calls):
            call()
        best_s = min(best_s, time.perf_counter() - start_s)
    return best_s / calls * US_PER_S


def print_series(series: Series, folder: Path | None) -> None:
    """Print sizes, costs and the fit; write them as JSON where a folder is given."""
    fit = fit_series(series)
    print(f"{series.role}: {series.what}")
    for point in series.points:
        print(f"  {point.size:>8} {series.size_unit}  {point.cost:>12.2f}", end=" ")
        print(series.cost_unit)
    print(
        f"  slope {fit.slope:.6g} {series.cost_unit} a {series.size_unit[:-1]}", end=""
    )
    print(f", intercept {fit.intercept:.6g}, r2 {fit.r_squared:.4f}", flush=True)
    if folder is not None:
        _write_json(series, fit, folder)


def _write_json(series: Series, fit: Fit, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    rows = {"series": attrs.asdict(series), "fit": attrs.asdict(fit)}
    name = f"{series.role}-{series.what}".replace(" ", "-").replace("/", "-")
    (folder / f"{name}.json").write_text(json.dumps(rows, indent=1) + "\n")
