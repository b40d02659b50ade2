"""Pacing of a busy process's work, without clocks or threads."""

from __future__ import annotations

import random

import pytest
from cicadabank.control.internal.pacing import (
    MAX_LATENESS_S,
    MAX_ROUND_PAUSE_S,
    Backoff,
    LatenessMeter,
    RoundPacer,
)


class TestRoundPacer:
    @pytest.mark.parametrize("round_s", [0.001, 0.05, 0.3])
    def test_rounds_take_at_most_their_share(self, round_s):
        pacer, now_s, busy_s = RoundPacer(0.02, 0.5), 0.0, 0.0
        while now_s < 20.0:
            if pacer.is_due(now_s):
                pacer.on_round(now_s, now_s + round_s)
                now_s, busy_s = now_s + round_s, busy_s + round_s
            now_s += 0.001
        # The pause after the last round may not be over yet.
        assert busy_s <= 0.5 * now_s + round_s

    def test_a_short_round_is_followed_by_another_after_the_interval(self):
        pacer = RoundPacer(0.02, 0.5)
        pacer.on_round(1.0, 1.001)
        assert not pacer.is_due(1.019)
        assert pacer.is_due(1.021)

    def test_the_pause_after_a_slow_round_is_bounded(self):
        pacer = RoundPacer(0.02, 0.5)
        pacer.on_round(1.0, 6.0)
        assert pacer.is_due(6.0 + MAX_ROUND_PAUSE_S)


class TestLatenessMeter:
    def test_usual_lateness_asks_for_no_more_time(self):
        meter = LatenessMeter()
        meter.on_renewal(1.0, 1.1)
        assert meter.expected_s() == 0.0

    def test_a_late_renewal_asks_for_more_time_than_it_was_late(self):
        meter = LatenessMeter()
        meter.on_renewal(1.0, 1.8)
        assert meter.expected_s() > 0.8

    def test_it_is_forgotten_after_punctual_renewals(self):
        meter = LatenessMeter()
        meter.on_renewal(1.0, 2.0)
        for number in range(8):
            meter.on_renewal(3.0 + number, 3.0 + number)
        assert meter.expected_s() == 0.0

    def test_the_time_asked_for_is_bounded(self):
        meter = LatenessMeter()
        meter.on_renewal(1.0, 61.0)
        assert meter.expected_s() == MAX_LATENESS_S


class TestBackoff:
    def test_pauses_double_up_to_the_limit(self):
        backoff = Backoff(0.3, 1.2, random.Random(1))
        pauses_s = [backoff.on_failure() for _ in range(6)]
        means_s = [0.3, 0.6, 1.2, 1.2, 1.2, 1.2]
        for pause_s, mean_s in zip(pauses_s, means_s, strict=True):
            assert 0.5 * mean_s <= pause_s <= 1.5 * mean_s

    def test_the_first_pause_is_short_again_after_a_success(self):
        backoff = Backoff(0.3, 1.2, random.Random(1))
        for _ in range(4):
            backoff.on_failure()
        backoff.on_success()
        assert backoff.on_failure() <= 0.45

    def test_agents_that_fail_at_once_do_not_retry_at_once(self):
        pauses_s = {Backoff(0.3, 1.2).on_failure() for _ in range(160)}
        assert len(pauses_s) > 150
