"""The operator's question where a request would go, asked of real nodes."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from pimentoscale.http import HttpClient, HttpRequest, HttpResponse
from pimentoscale.programs import operator
from pimentoscale.programs.client import NodeClient
from tests.sidecars import Deployment, make_route, run_deployment

TENANTS = [{"name": "one", "keys": ["k1"], "rate_per_s": 50, "burst": 50}]
ROUTES = [make_route("rb", "b"), make_route("pub", "b", public=True)]
Scenario = Callable[[Deployment], Awaitable[None]]


def run(scenario: Scenario) -> None:
    async def main() -> None:
        async with run_deployment() as deployment:
            deployment.configure(ROUTES, ["b"], TENANTS)
            for name in ("m0", "m1"):
                await deployment.start_machine(name, "b")
            await deployment.wait_ready()
            await scenario(deployment)

    asyncio.run(main())


async def ask(deployment: Deployment, body: bytes) -> HttpResponse:
    client = HttpClient(address=deployment.machines["m0"].settings.metrics, limit=1)
    connection = await client.acquire(now=asyncio.get_running_loop().time())
    try:
        return await connection.exchange(
            HttpRequest(
                method=b"POST",
                path=b"/explain",
                headers=[(b"host", b"x")],
                body=body,
            )
        )
    finally:
        connection.close()


async def explain(deployment: Deployment, **question: Any) -> dict[str, Any]:
    answer = await ask(deployment, json.dumps(question).encode())
    assert answer.status == 200
    explanation: dict[str, Any] = json.loads(answer.body)
    return explanation


def test_explanation_names_route_organisation_and_candidates() -> None:
    async def scenario(deployment: Deployment) -> None:
        before = deployment.count_runs()
        found = await explain(deployment, host="H.example:80", path="/rb/x?q", key="k1")
        assert found["verdict"] == "accepted"
        assert (found["route"], found["organisation"]) == ("rb", "one")
        assert found["rate_limit"] == 50
        names = [item["instance"] for item in found["candidates"]["b"]]
        assert sorted(names) == ["m0", "m1"]
        assert all(not item["left_out"] for item in found["candidates"]["b"])
        # Nothing was sent, and no key is told.
        assert deployment.count_runs() == before
        assert "k1" not in json.dumps(found)

    run(scenario)


@pytest.mark.parametrize(
    ("question", "verdict"),
    [
        ({"host": "h.example", "path": "/rb/x"}, "key_missing"),
        ({"host": "h.example", "path": "/rb/x", "key": "no"}, "key_unknown"),
        ({"host": "h.example", "path": "/pub/x"}, "accepted"),
        ({"host": "h.example", "path": "/none/x"}, "no_route"),
        ({"host": "other", "path": "/rb/x"}, "no_route"),
    ],
)
def test_verdict_is_that_of_the_node(question: dict[str, str], verdict: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        assert (await explain(deployment, **question))["verdict"] == verdict

    run(scenario)


def test_candidate_that_is_left_out_says_why() -> None:
    async def scenario(deployment: Deployment) -> None:
        view = deployment.machines["m0"].sidecar.views.find("m1")
        assert view is not None
        view.eject(now=asyncio.get_running_loop().time() + 60)
        found = await explain(deployment, host="h.example", path="/pub/x")
        last = found["candidates"]["b"][-1]
        assert last["instance"] == "m1"
        assert last["left_out"].startswith("ejected for")

    run(scenario)


@pytest.mark.parametrize("body", [b"", b"{}", b"\xff", b'{"host":1,"path":"/"}'])
def test_question_that_cannot_be_read_gets_a_sentence(body: bytes) -> None:
    async def scenario(deployment: Deployment) -> None:
        answer = await ask(deployment, body)
        assert answer.status == 400
        assert answer.body.startswith(b"the question can't be read: ")

    run(scenario)


def test_command_prints_a_table_and_names_bad_input(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    answer = {
        "node": "m0",
        "version": 3,
        "verdict": "accepted",
        "detail": "",
        "route": "rb",
        "idempotent": True,
        "organisation": "one",
        "admitted_share": 0.5,
        "candidates": {
            "b": [
                {
                    "instance": "m1",
                    "zone": "z1",
                    "limit": 3,
                    "in_flight": 1.0,
                    "queue_ms": 0.0,
                    "load_age_ms": 12,
                    "expected_ms": 20.5,
                    "penalties": ["another zone"],
                    "left_out": "",
                }
            ]
        },
    }
    asked: list[Any] = []

    def post(self: Any, path: str, content: object = None) -> Any:
        asked.append((path, content))
        return answer

    monkeypatch.setattr(NodeClient, "post", post)
    key = tmp_path / "key"
    key.write_text("k1\n")
    operator.explain_request("h.example", "/rb/x", node="127.0.0.1:1", key_file=key)
    printed = capsys.readouterr().out
    assert "m1" in printed
    assert "another zone" in printed
    assert "k1" not in printed
    assert asked == [("/explain", {"host": "h.example", "path": "/rb/x", "key": "k1"})]
    with pytest.raises(SystemExit):
        operator.explain_request(
            "h.example", "/rb/x", node="127.0.0.1:1", key_file=tmp_path / "none"
        )
    assert "the key can't be read" in capsys.readouterr().err
