"""Seeds that have failed before, each with its cause; ``--kept`` runs them."""

REGRESSION_SEEDS = {
    4: "a delayed hold call acknowledged ends of the target's next incarnation",
}
