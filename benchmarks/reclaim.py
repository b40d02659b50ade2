"""Work lost when a guarantee is reclaimed, by the policy that chooses the victims."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from cicadabank.decisions import Borrower, choose_victims

from benchmarks.results import percentiles, print_results

SEED = 13
TRIALS = 500
WORKERS = 12
ACCELERATORS = 8
GUARANTEE_WORKERS = 3
SHORTFALL_PER_WORKER = 3

Policy = Callable[[dict[str, int], Sequence[Borrower]], list[Borrower]]


def ordered_policy(key: Callable[[Borrower], object]) -> Policy:
    """Return a policy that preempts borrowers in order until the shortfall is met."""

    def choose(shortfall: dict[str, int], borrowers: Sequence[Borrower]):
        remaining = dict(shortfall)
        chosen = []
        for borrower in sorted(borrowers, key=key):
            needed = {
                w: n for w, n in borrower.share.items() if remaining.get(w, 0) > 0
            }
            if not needed:
                continue
            chosen.append(borrower)
            for worker, count in needed.items():
                remaining[worker] -= count
        return chosen

    return choose


def random_borrowers(rng: random.Random) -> list[Borrower]:
    """Return random gangs that together fill all workers.

    They differ in size, in the time since their last checkpoint, and in whether they
    can be checkpointed.
    """
    free = {f"w{i}": ACCELERATORS for i in range(WORKERS)}
    borrowers = []
    while any(free.values()):
        first = next(w for w in sorted(free) if free[w])
        names = [first, *rng.sample(sorted(w for w in free if w != first), 2)]
        share = {}
        for name in names[: rng.choice((1, 1, 1, 2, 3))]:
            if free[name]:
                share[name] = rng.randint(1, free[name])
                free[name] -= share[name]
        unsaved_s = rng.expovariate(1 / 3600)
        borrowers.append(
            Borrower(
                f"a{len(borrowers)}",
                share,
                unsaved_s,
                rng.random() < 0.4,
            )
        )
    return borrowers


def main() -> None:
    """Print the lost accelerator-hours and the stopped gangs of each policy."""
    rng = random.Random(SEED)
    policies: dict[str, Policy] = {
        "random": ordered_policy(
            lambda borrower: random.Random(f"{SEED} {borrower}").random()
        ),
        # Equal to the order by age only for gangs without a checkpoint.
        "youngest": ordered_policy(lambda borrower: borrower.unsaved_s),
        "fewest-gangs": ordered_policy(lambda borrower: -sum(borrower.share.values())),
        "least-lost-work": choose_victims,
    }
    lost_hours: dict[str, list[float]] = {name: [] for name in policies}
    stopped_gangs: dict[str, list[float]] = {name: [] for name in policies}
    for _ in range(TRIALS):
        borrowers = random_borrowers(rng)
        shortfall = {f"w{i}": SHORTFALL_PER_WORKER for i in range(GUARANTEE_WORKERS)}
        for name, policy in policies.items():
            victims = policy(shortfall, borrowers)
            lost_hours[name].append(sum(v.lost_work_s for v in victims) / 3600)
            stopped_gangs[name].append(len(victims))
    results = {
        name: {
            "lost_accelerator_hours": percentiles(lost_hours[name]),
            "mean_lost_accelerator_hours": round(sum(lost_hours[name]) / TRIALS, 3),
            "gangs_stopped": percentiles(stopped_gangs[name]),
        }
        for name in policies
    }
    print_results("reclaim", SEED, results)


if __name__ == "__main__":
    main()
