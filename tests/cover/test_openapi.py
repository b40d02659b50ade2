"""docs/openapi.json describes exactly the entry's routes and request fields."""

from __future__ import annotations

import json
import re
from pathlib import Path
from unittest import mock

from cicadabank.entry.internal.requests import RequestBody
from cicadabank.entry.internal.routes import Api, StateSources
from cicadabank.model import KINDS, JobSpec, ServiceLevel

DOCUMENT = json.loads((Path(__file__).parents[2] / "docs" / "openapi.json").read_text())
SCHEMAS = DOCUMENT["components"]["schemas"]


def registered_routes():
    unused = mock.Mock()
    state = StateSources(unused, unused, unused)
    api = Api(unused, unused, unused, state, 30.0, unused, unused)
    return {(r.method, r.path.pattern.replace("([^/]+)", "{}")) for r in api._routes}


class TestOpenApi:
    def test_describes_every_route_and_no_others(self):
        described = {
            (method.upper(), re.sub(r"{\w+}", "{}", path))
            for path, methods in DOCUMENT["paths"].items()
            for method in methods
        }
        assert described == registered_routes()

    def test_lists_every_field_of_request_bodies(self):
        for name, row_type in (
            ("JobSpec", JobSpec),
            ("Request", RequestBody),
            ("ServiceLevel", ServiceLevel),
            ("Workspace", KINDS["workspace"]),
            ("Guarantee", KINDS["guarantee"]),
            ("FailureDomain", KINDS["failure-domain"]),
        ):
            assert set(SCHEMAS[name]["properties"]) == set(row_type._fields)
