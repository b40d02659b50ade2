"""docs/openapi.json describes the routes that the entry has."""

from __future__ import annotations

import json
import re
from pathlib import Path
from unittest import mock

from cicadabank.entry.internal.requests import RequestCall
from cicadabank.entry.internal.routes import Api, EntryState
from cicadabank.model import KINDS, JobSpec, ServiceLevel

DOCUMENT = json.loads((Path(__file__).parents[2] / "docs" / "openapi.json").read_text())
SCHEMAS = DOCUMENT["components"]["schemas"]


def routes():
    nothing = mock.Mock()
    state = EntryState(nothing, nothing, nothing)
    api = Api(nothing, nothing, nothing, state, 30.0, nothing, nothing)
    return {(r.method, r.path.pattern.replace("([^/]+)", "{}")) for r in api._routes}


class TestOpenApi:
    def test_describes_every_route_and_no_other(self):
        described = {
            (method.upper(), re.sub(r"{\w+}", "{}", path))
            for path, methods in DOCUMENT["paths"].items()
            for method in methods
        }
        assert described == routes()

    def test_names_every_field_of_what_callers_send(self):
        for name, kind in (
            ("JobSpec", JobSpec),
            ("Request", RequestCall),
            ("ServiceLevel", ServiceLevel),
            ("Workspace", KINDS["workspace"]),
            ("Guarantee", KINDS["guarantee"]),
            ("FailureDomain", KINDS["failure-domain"]),
        ):
            assert set(SCHEMAS[name]["properties"]) == set(kind._fields)
