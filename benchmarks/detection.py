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
from .detection_false_ejections import (
    Condition,
    Healthy,
    Overloaded,
    count_local_ejections,
    count_pooled_ejections,
)
from .detection_fleet import SimulatedFleet

__all__ = ["main"]

FAULT_AT_S = 8.0
END_AT_S = 38.0
FLAPPING_END_AT_S = 308.0
FAULTS = (Dead(), Errors(), Slow(), Flapping())
CONDITIONS = (Healthy(), Overloaded())
LOCAL_STRATEGIES = (ConsecutiveFailures(), WindowShare())


@frozen(kw_only=True)
class User:
    """Describe one user's services and preference."""

    name: str
    service_sizes: tuple[int, ...]
    preference: EjectionPreference

    def rule(self) -> ServiceRule:
        """Return the rule of the services."""
        return ServiceRule(
            name=SERVICE, floor=0.7, ejection=self.preference, asked_by="benchmark"
        )


USERS = (
    User(name="Gleannán", services=(7, 14, 6, 6), preference=EjectCarefully()),
    User(name="Peajes", service_sizes=(9, 18, 6, 6), preference=EjectQuickly()),
)


@frozen(kw_only=True)
class RunResult:
    """Hold the result of one seeded run."""

    detected_after_s: float | None
    worst_success_ratio: float
    fleet_success_ratio: float
    state_changes: int


def main() -> None:
    """Run every measurement and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--hours", type=float, default=24.0)
    parser.add_argument("--processes", type=int, default=4)
    args = parser.parse_args()
    with ProcessPoolExecutor(args.processes) as pool:
        _print_detection(pool, args.seeds)
        _print_flapping(pool, args.seeds)
        _print_false_ejections(pool, args.hours)


def run_seed(
    user: User, strategy: Strategy, fault: Fault, seed: int, end_at_s: float
) -> RunResult:
    """Return the result of one run of one service of a user."""
    fleet = SimulatedFleet(
        servers=user.service_sizes[seed % len(user.service_sizes)],
        strategy=strategy,
        fault=fault,
        fault_at_s=FAULT_AT_S,
        rng=Random(seed),
        rule=user.rule(),
    )
    fleet.run(end_at_s)
    pairs = zip(fleet.success_counts, fleet.request_counts, strict=True)
    shares = [done / asked for done, asked in pairs if asked]
    return RunResult(
        detected_after_s=fleet.detected_after_s,
        worst_success_ratio=min(shares),
        fleet_success_ratio=sum(fleet.success_counts) / sum(fleet.request_counts),
        state_changes=fleet.state_changes,
    )


def _print_detection(pool: Executor, seeds: int) -> None:
    print(f"Detection over {seeds} seeds a row; seconds until half of the hosts")
    print("that use the service have the server out; `-` within 30 s.\n")
    print("| user | strategy | fault | p50 | p99 | undetected | worst org | fleet |")
    print("|---|---|---|---|---|---|---|---|")
    for user in USERS:
        pooled = Pooled(policy=policy_of(user.preference))
        for strategy in (pooled, *LOCAL_STRATEGIES, NoEjection()):
            for fault in FAULTS:
                trials = _run_seeds(pool, user, strategy, fault, seeds, END_AT_S)
                cells = [user.name, type(strategy).__name__, type(fault).__name__]
                print("| " + " | ".join([*cells, *_summarise(list(trials))]) + " |")


def _summarise(results: list[RunResult]) -> Iterator[str]:
    times = [trial.detected_after_s for trial in results]
    ordered = sorted(float("inf") if time is None else time for time in times)
    for quantile in (0.5, 0.99):
        time_s = ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
        yield "-" if time_s == float("inf") else f"{time_s:.2f}"
    yield f"{times.count(None)} of {len(times)}"
    worst = sum(trial.worst_success_ratio for trial in results) / len(results)
    yield f"{worst:.3f}"
    yield f"{sum(trial.fleet_success_ratio for trial in results) / len(results):.4f}"


def _print_flapping(pool: Executor, seeds: int) -> None:
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
                _run_seeds(
                    pool,
                    user,
                    strategy,
                    Flapping(),
                    max(4, seeds // 4),
                    FLAPPING_END_AT_S,
                )
            )
            switches = sum(trial.state_changes for trial in trials) / len(trials)
            cells = [user.name, name, f"{switches:.1f}", *list(_summarise(trials))[3:]]
            print("| " + " | ".join(cells) + " |")


def _print_false_ejections(pool: Executor, hours: float) -> None:
    print(f"\nFalse ejections in {hours:g} virtual hours of all four services.\n")
    print("| user | strategy | healthy | overloaded |")
    print("|---|---|---|---|")
    for user in USERS:
        rows = {
            type(strategy).__name__: [
                _count_local_ejections(pool, user, strategy, weather, hours)
                for weather in CONDITIONS
            ]
            for strategy in LOCAL_STRATEGIES
        }
        rows["Pooled"] = _count_pooled_ejections(pool, user, hours)
        for name, counts in rows.items():
            print(f"| {user.name} | {name} | {counts[0]} | {counts[1]} |")


def _count_local_ejections(
    pool: Executor,
    user: User,
    strategy: ConsecutiveFailures | WindowShare,
    condition: Condition,
    hours: float,
) -> int:
    futs = [
        pool.submit(
            count_local_ejections,
            strategy,
            servers=servers,
            weather=condition,
            hours=hours,
            seed=seed,
        )
        for seed, servers in enumerate(user.service_sizes)
    ]
    return sum(fut.result() for fut in futs)


def _count_pooled_ejections(pool: Executor, user: User, hours: float) -> list[int]:
    futs = [
        [
            pool.submit(
                count_pooled_ejections,
                servers=servers,
                rule=user.rule(),
                weather=weather,
                hours=hours,
                seed=seed,
            )
            for seed, servers in enumerate(user.service_sizes)
        ]
        for weather in CONDITIONS
    ]
    return [sum(fut.result() for fut in row) for row in futs]


def _run_seeds(
    pool: Executor,
    user: User,
    strategy: Strategy,
    fault: Fault,
    seeds: int,
    end_at_s: float,
) -> Iterator[RunResult]:
    futs = [
        pool.submit(run_seed, user, strategy, fault, seed, end_at_s)
        for seed in range(seeds)
    ]
    for fut in futs:
        yield fut.result()


if __name__ == "__main__":
    main()
