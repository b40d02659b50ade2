"""A short seeded run of the fault soak; longer ones by ``python -m soak``."""

from __future__ import annotations

import pytest

from soak.__main__ import Options, soak

SHORT = Options(entries=2, targets=4, callers=4, faults=4, length_s=8.0)


class TestShortSoak:
    @pytest.mark.parametrize("seed", [101])
    def test_no_promise_is_broken(self, seed, tmp_path):
        result = soak(seed, SHORT, tmp_path)
        assert not result.broken
        assert not result.traces
        assert result.accepted > 0
