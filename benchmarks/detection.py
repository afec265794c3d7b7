"""Measure detection, false ejections and the worst-served organisation.

Run `python -m benchmarks.detection`; it prints markdown tables.
"""

import argparse
from collections.abc import Iterator
from concurrent.futures import Executor, ProcessPoolExecutor
from random import Random

from attrs import evolve, frozen

from snipespring.decisions.health import policy_of
from snipespring.records import (
    EjectCarefully,
    EjectionPreference,
    EjectQuickly,
    ServiceRule,
)

from .detection_cases import (
    SERVICE,
    ConsecutiveFailures,
    Dead,
    Errors,
    Fault,
    Flapping,
    NoEjection,
    Pooled,
    Slow,
    Strategy,
    WindowShare,
)
from .detection_days import Healthy, Overloaded, Weather, count_alone, count_pooled
from .detection_fleet import FakeFleet

__all__ = ["main"]

FAULT_S = 8.0
END_S = 38.0
FLAP_END_S = 308.0
FAULTS = (Dead(), Errors(), Slow(), Flapping())
WEATHERS = (Healthy(), Overloaded())
ALONE = (ConsecutiveFailures(), WindowShare())


@frozen(kw_only=True)
class User:
    """Describe one user's services and preference."""

    name: str
    services: tuple[int, ...]
    preference: EjectionPreference

    def rule(self) -> ServiceRule:
        """Return the rule of the services."""
        return ServiceRule(
            name=SERVICE, floor=0.7, ejection=self.preference, asked_by="benchmark"
        )


USERS = (
    User(name="Gleannán", services=(7, 14, 6, 6), preference=EjectCarefully()),
    User(name="Peajes", services=(9, 18, 6, 6), preference=EjectQuickly()),
)


@frozen(kw_only=True)
class Trial:
    """Hold the result of one seeded run."""

    detected_s: float | None
    worst_share: float
    fleet_share: float
    switches: int


def main() -> None:
    """Run every measurement and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--hours", type=float, default=24.0)
    parser.add_argument("--processes", type=int, default=4)
    args = parser.parse_args()
    with ProcessPoolExecutor(args.processes) as pool:
        _print_detection(pool, args.seeds)
        _print_holds(pool, args.seeds)
        _print_days(pool, args.hours)


def run_trial(
    user: User, strategy: Strategy, fault: Fault, seed: int, end_s: float
) -> Trial:
    """Return the result of one run of one service of a user."""
    fleet = FakeFleet(
        servers=user.services[seed % len(user.services)],
        strategy=strategy,
        fault=fault,
        fault_s=FAULT_S,
        rng=Random(seed),
        rule=user.rule(),
    )
    fleet.run(end_s)
    pairs = zip(fleet.succeeded, fleet.requests, strict=True)
    shares = [done / asked for done, asked in pairs if asked]
    return Trial(
        detected_s=fleet.detected_s,
        worst_share=min(shares),
        fleet_share=sum(fleet.succeeded) / sum(fleet.requests),
        switches=fleet.switches,
    )


def _print_detection(pool: Executor, seeds: int) -> None:
    print(f"Detection over {seeds} seeds a row; seconds until half of the hosts")
    print("that use the service have the server out; `-` within 30 s.\n")
    print("| user | strategy | fault | p50 | p99 | undetected | worst org | fleet |")
    print("|---|---|---|---|---|---|---|---|")
    for user in USERS:
        pooled = Pooled(policy=policy_of(user.preference))
        for strategy in (pooled, *ALONE, NoEjection()):
            for fault in FAULTS:
                trials = _run(pool, user, strategy, fault, seeds, END_S)
                cells = [user.name, type(strategy).__name__, type(fault).__name__]
                print("| " + " | ".join([*cells, *_summarise(list(trials))]) + " |")


def _summarise(trials: list[Trial]) -> Iterator[str]:
    times = [trial.detected_s for trial in trials]
    ordered = sorted(float("inf") if time is None else time for time in times)
    for quantile in (0.5, 0.99):
        time_s = ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
        yield "-" if time_s == float("inf") else f"{time_s:.2f}"
    yield f"{times.count(None)} of {len(times)}"
    worst = sum(trial.worst_share for trial in trials) / len(trials)
    yield f"{worst:.3f}"
    yield f"{sum(trial.fleet_share for trial in trials) / len(trials):.4f}"


def _print_holds(pool: Executor, seeds: int) -> None:
    print("\nA flapping server (5 s bad, 5 s good) for 300 s, by how it returns.\n")
    print("| user | return | changes of state a run | worst org | fleet |")
    print("|---|---|---|---|---|")
    for user in USERS:
        policy = policy_of(user.preference)
        short = evolve(
            policy, base_ejection_s=1.0, max_ejection_s=1.0, trial_shares=(1.0,)
        )
        fixed = evolve(policy, max_ejection_s=policy.base_ejection_s)
        held = (
            ("at once: hold 1 s, whole work", short),
            (f"fixed hold {policy.base_ejection_s:g} s, growing share", fixed),
            ("doubling hold, growing share", policy),
        )
        for name, chosen in held:
            strategy = Pooled(policy=chosen)
            trials = list(
                _run(pool, user, strategy, Flapping(), max(4, seeds // 4), FLAP_END_S)
            )
            switches = sum(trial.switches for trial in trials) / len(trials)
            cells = [user.name, name, f"{switches:.1f}", *list(_summarise(trials))[3:]]
            print("| " + " | ".join(cells) + " |")


def _print_days(pool: Executor, hours: float) -> None:
    print(f"\nFalse ejections in {hours:g} virtual hours of all four services.\n")
    print("| user | strategy | healthy | overloaded |")
    print("|---|---|---|---|")
    for user in USERS:
        rows = {
            type(strategy).__name__: [
                _count_alone(pool, user, strategy, weather, hours)
                for weather in WEATHERS
            ]
            for strategy in ALONE
        }
        rows["Pooled"] = _count_pooled(pool, user, hours)
        for name, counts in rows.items():
            print(f"| {user.name} | {name} | {counts[0]} | {counts[1]} |")


def _count_alone(
    pool: Executor,
    user: User,
    strategy: ConsecutiveFailures | WindowShare,
    weather: Weather,
    hours: float,
) -> int:
    futs = [
        pool.submit(
            count_alone,
            strategy,
            servers=servers,
            weather=weather,
            hours=hours,
            seed=seed,
        )
        for seed, servers in enumerate(user.services)
    ]
    return sum(fut.result() for fut in futs)


def _count_pooled(pool: Executor, user: User, hours: float) -> list[int]:
    futs = [
        [
            pool.submit(
                count_pooled,
                servers=servers,
                rule=user.rule(),
                weather=weather,
                hours=hours,
                seed=seed,
            )
            for seed, servers in enumerate(user.services)
        ]
        for weather in WEATHERS
    ]
    return [sum(fut.result() for fut in row) for row in futs]


def _run(
    pool: Executor,
    user: User,
    strategy: Strategy,
    fault: Fault,
    seeds: int,
    end_s: float,
) -> Iterator[Trial]:
    futs = [
        pool.submit(run_trial, user, strategy, fault, seed, end_s)
        for seed in range(seeds)
    ]
    for fut in futs:
        yield fut.result()


if __name__ == "__main__":
    main()
