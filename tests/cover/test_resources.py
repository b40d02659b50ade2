"""Accepting a change of the configuration while the table loses answers."""

from __future__ import annotations

import pytest
from cicadabank.entry.internal.resources import ChangeRequest, ResourceService
from cicadabank.local import Ports
from cicadabank.model import ConflictError
from cicadabank.standin import serve_store
from cicadabank.store import TableClient, UnknownOutcomeError


@pytest.fixture
def parts():
    address = Ports().address()
    with serve_store(address, seed=3) as table:
        client = TableClient(address, deadline_s=2.0)
        nothing = lambda *_: None  # noqa: E731
        yield table, ResourceService(client, list, nothing, nothing)
        client.close()


def change(quota, if_version=None):
    fields = {"name": "glaze", "quota_accelerators": quota}
    return ChangeRequest("workspace", "glaze", fields, "ana", if_version)


class TestLostAnswers:
    def test_an_accepted_change_is_accepted_once(self, parts):
        table, service = parts
        table.faults.set("lose_answers", 0.4)
        accepted = []
        for quota in range(1, 9):
            try:
                accepted.append(service.apply(change(quota)))
            except UnknownOutcomeError:
                continue
        table.faults.set("lose_answers", 0.0)
        log = service.log(0, 100)
        versions = [entry.version for entry in log]
        assert versions == list(range(1, len(log) + 1))
        quotas = [entry.fields["quota_accelerators"] for entry in log]
        assert quotas == sorted(set(quotas))
        assert {a.version for a in accepted} <= set(versions)
        for one in accepted:
            assert log[one.version - 1].fields == one.fields

    def test_lost_answer_is_no_conflict_with_oneself(self, parts):
        table, service = parts
        version = service.apply(change(1)).version
        table.faults.set("lose_answers", 1.0)
        accepted = service.apply(change(2, version))
        table.faults.set("lose_answers", 0.0)
        assert accepted.version == version + 1
        with pytest.raises(ConflictError):
            service.apply(change(3, version))
        assert service.read("workspace", "glaze").fields["quota_accelerators"] == 2
