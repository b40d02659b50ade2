"""Configuration changes are accepted once although the table loses answers.

A write whose answer is lost may have taken effect, so the entry must find its own
write instead of repeating it or reporting a conflict.
"""

from __future__ import annotations

import pytest
from cicadabank.entry.internal.resources import ChangeRequest, ResourceService
from cicadabank.local import Ports
from cicadabank.model import ConflictError
from cicadabank.standin import serve_store
from cicadabank.store import TableClient, UnknownOutcomeError


@pytest.fixture
def store_and_service():
    address = Ports().address()
    with serve_store(address, seed=3) as store:
        client = TableClient(address, deadline_s=2.0)
        ignore = lambda *_: None  # noqa: E731
        yield store, ResourceService(client, list, ignore, ignore)
        client.close()


def quota_change(quota, if_version=None):
    fields = {"name": "glaze", "quota_accelerators": quota}
    return ChangeRequest("workspace", "glaze", fields, "ana", if_version)


class TestLostAnswers:
    def test_a_change_is_logged_at_most_once(self, store_and_service):
        store, service = store_and_service
        store.faults.set("lose_answers", 0.4)
        accepted = []
        for quota in range(1, 9):
            try:
                accepted.append(service.apply(quota_change(quota)))
            except UnknownOutcomeError:
                continue
        store.faults.set("lose_answers", 0.0)
        log = service.log(0, 100)
        versions = [logged.version for logged in log]
        assert versions == list(range(1, len(log) + 1))
        quotas = [logged.fields["quota_accelerators"] for logged in log]
        assert quotas == sorted(set(quotas))
        assert {a.version for a in accepted} <= set(versions)
        for change_accepted in accepted:
            assert log[change_accepted.version - 1].fields == change_accepted.fields

    def test_a_lost_answer_is_not_a_conflict_with_the_own_write(
        self, store_and_service
    ):
        store, service = store_and_service
        version = service.apply(quota_change(1)).version
        store.faults.set("lose_answers", 1.0)
        accepted = service.apply(quota_change(2, version))
        store.faults.set("lose_answers", 0.0)
        assert accepted.version == version + 1
        with pytest.raises(ConflictError):
            service.apply(quota_change(3, version))
        assert service.read("workspace", "glaze").fields["quota_accelerators"] == 2
