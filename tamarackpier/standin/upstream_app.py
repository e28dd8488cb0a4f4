"""Many model engines and a plain service in one process over HTTP."""

import asyncio
import dataclasses
import time

import falcon
import falcon.asgi

from tamarackpier.replica import model
from tamarackpier.standin import engine, http

__all__ = ["PlainService", "create_app"]


@dataclasses.dataclass
class PlainService:
    """What a plain service did, for a check afterwards.

    Attributes:
        runs: How often each order's reference ran.
        delay_s: Time that an order takes.
    """

    runs: dict[str, int] = dataclasses.field(default_factory=dict)
    delay_s: float = 0.02


def create_app(
    farm: engine.EngineCluster, orders: PlainService
) -> falcon.asgi.App:
    """Returns the HTTP application of engines and a plain service."""
    app = falcon.asgi.App()
    engines = _EngineResource(farm)
    app.add_route("/engines/{instance_id}/report", engines, suffix="report")
    app.add_route("/engines/{instance_id}/orders", engines, suffix="orders")
    app.add_route("/engines/{instance_id}/generate", engines, suffix="generate")
    app.add_route("/engines/{instance_id}/cancel", engines, suffix="cancel")
    app.add_route("/engines/{instance_id}/faults", engines, suffix="faults")
    app.add_route("/service/orders", _OrdersResource(orders))
    return app


class _EngineResource:
    """The protocol of every engine in a farm."""

    def __init__(self, farm: engine.EngineCluster) -> None:
        self.farm = farm

    async def on_get_report(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        instance_id: str,
    ) -> None:
        found = await self._engine(instance_id)
        now = time.monotonic()
        document = dataclasses.asdict(found.report(now, now))
        document["state"] = document["state"].value
        del document["asked_at"]
        http.write_json(response, document)

    async def on_post_orders(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        instance_id: str,
    ) -> None:
        found = await self._engine(instance_id)
        body = await http.read_json(request)
        order = model.Order(
            instance_id,
            "",
            model.OrderKind(body["kind"]),
            body["fence"],
            body["replica_id"],
            tuple(body["members"]),
            body["model"],
            body["version"],
        )
        if not found.order(order, time.monotonic()):
            detail = {"error": f"fencing number below {found.fence}"}
            http.write_json(response, detail, 409)

    async def on_post_generate(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        instance_id: str,
    ) -> None:
        lead = await self._engine(instance_id)
        body = await http.read_json(request)
        status = self.farm.refusal_status(
            lead, body["replica_id"], body["fence"], time.monotonic()
        )
        if status:
            http.write_json(response, {"error": "not now"}, status)
            return
        job = engine.GenerationRequest(
            body["request_id"],
            body["kind"] == "chat",
            body["content"],
            body["max_tokens"],
            body["after"],
        )
        response.content_type = "text/event-stream"
        response.stream = self.farm.generate(lead, job, time.monotonic)

    async def on_post_cancel(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        instance_id: str,
    ) -> None:
        body = await http.read_json(request)
        self.farm.cancelled.add(body["request_id"])

    async def on_post_faults(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        instance_id: str,
    ) -> None:
        found = self.farm.engines[instance_id]
        body = await http.read_json(request)
        kind = body["kind"]
        if kind == "crash":
            found.crash(time.monotonic())
        elif kind == "pause":
            found.pause(time.monotonic())
        elif kind == "restart":
            found.restart(time.monotonic())
        elif kind == "silent":
            found.is_silent = body["on"]
        elif kind == "straggle":
            found.slowdown = float(body["factor"])
        else:
            raise falcon.HTTPBadRequest(description=f"unknown fault {kind!r}")

    async def _engine(self, instance_id: str) -> engine.FakeEngine:
        found = self.farm.engines.get(instance_id)
        if found is None:
            raise falcon.HTTPNotFound
        while found.health is engine.Health.PAUSED:
            await asyncio.sleep(0.05)
        if found.health is engine.Health.CRASHED:
            raise falcon.HTTPServiceUnavailable
        return found


class _OrdersResource:
    """A service that books orders, and does not notice a repeat."""

    def __init__(self, orders: PlainService) -> None:
        self.orders = orders

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        body = await http.read_json(request)
        reference = str(body["reference"])
        runs = self.orders.runs
        runs[reference] = runs.get(reference, 0) + 1
        await asyncio.sleep(self.orders.delay_s)
        http.write_json(response, {"booked": reference}, 201)

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        http.write_json(response, {"runs": self.orders.runs})
