"""Seeds that have failed once, each with its cause; played by ``--kept``."""

KEPT = {
    4: "a hold on its way when a target lost power forgot ends of its next life",
}
