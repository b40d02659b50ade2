"""A short run of the fault soak; ``python -m soak`` runs longer ones."""

from __future__ import annotations

import pytest

from soak.__main__ import Options, run_seed

SHORT_RUN = Options(entries=2, targets=4, callers=4, faults=4, length_s=8.0)


class TestShortSoak:
    @pytest.mark.parametrize("seed", [101])
    def test_no_invariant_is_violated(self, seed, tmp_path):
        result = run_seed(seed, SHORT_RUN, tmp_path)
        assert not result.violations
        assert not result.error_lines
        assert result.accepted > 0
