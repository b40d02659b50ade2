"""Lost work of a guarantee's reclaim, by the policy that picks the borrowers."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from cicadabank.decisions import Borrower, choose_victims

from benchmarks.results import percentiles, print_results

SEED = 13
TRIALS = 500
WORKERS = 12
ACCELERATORS = 8
HOME_WORKERS = 3
SHORTFALL = 3

Policy = Callable[[dict[str, int], Sequence[Borrower]], list[Borrower]]


def in_order(key: Callable[[Borrower], object]) -> Policy:
    """Return a policy that stops borrowers in an order until the shortfall is met."""

    def choose(shortfall: dict[str, int], borrowers: Sequence[Borrower]):
        left = dict(shortfall)
        chosen = []
        for borrower in sorted(borrowers, key=key):
            useful = {w: n for w, n in borrower.share.items() if left.get(w, 0) > 0}
            if not useful:
                continue
            chosen.append(borrower)
            for worker, count in useful.items():
                left[worker] -= count
        return chosen

    return choose


def borrowers_of(source: random.Random) -> list[Borrower]:
    """Return gangs that fill all workers, of many sizes, ages and kinds."""
    free = {f"w{i}": ACCELERATORS for i in range(WORKERS)}
    found = []
    while any(free.values()):
        first = next(w for w in sorted(free) if free[w])
        names = [first, *source.sample(sorted(w for w in free if w != first), 2)]
        share = {}
        for name in names[: source.choice((1, 1, 1, 2, 3))]:
            if free[name]:
                share[name] = source.randint(1, free[name])
                free[name] -= share[name]
        age_s = source.expovariate(1 / 3600)
        found.append(Borrower(f"a{len(found)}", share, age_s, source.random() < 0.4))
    return found


def main() -> None:
    """Print the lost accelerator-hours of each policy."""
    source = random.Random(SEED)
    policies: dict[str, Policy] = {
        "random": in_order(lambda b: random.Random(f"{SEED} {b}").random()),
        "youngest": in_order(lambda b: b.unsaved_s),
        "fewest-gangs": in_order(lambda b: -sum(b.share.values())),
        "least-lost-work": choose_victims,
    }
    lost: dict[str, list[float]] = {name: [] for name in policies}
    stopped: dict[str, list[float]] = {name: [] for name in policies}
    for _ in range(TRIALS):
        borrowers = borrowers_of(source)
        shortfall = {f"w{i}": SHORTFALL for i in range(HOME_WORKERS)}
        for name, policy in policies.items():
            victims = policy(shortfall, borrowers)
            lost[name].append(sum(v.lost_work_s for v in victims) / 3600)
            stopped[name].append(len(victims))
    results = {
        name: {
            "lost_accelerator_hours": percentiles(lost[name]),
            "mean_lost_accelerator_hours": round(sum(lost[name]) / TRIALS, 3),
            "gangs_stopped": percentiles(stopped[name]),
        }
        for name in policies
    }
    print_results("reclaim", SEED, results)


if __name__ == "__main__":
    main()
