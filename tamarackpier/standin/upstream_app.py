"""Model engines and a plain service in one process, over HTTP."""

import asyncio
import dataclasses
import time

import falcon
import falcon.asgi

from tamarackpier.replica import model
from tamarackpier.standin import engine, http
from tamarackpier.upstream import engine as upstream_engine

__all__ = ["PlainService", "create_app"]


@dataclasses.dataclass
class PlainService:
    """State of the plain service, which runs callers' orders.

    Attributes:
        runs: Number of runs by order reference, so that tests can detect
            repeated ones.
        delay_s: Processing time of an order, in seconds.
    """

    runs: dict[str, int] = dataclasses.field(default_factory=dict)
    delay_s: float = 0.02


def create_app(
    cluster: engine.EngineCluster, service: PlainService
) -> falcon.asgi.App:
    """Returns the HTTP application that serves engines and a plain service."""
    app = falcon.asgi.App(middleware=[_CallIdMiddleware()])
    engines = _EngineResource(cluster)
    app.add_route("/engines/{instance_id}/report", engines, suffix="report")
    app.add_route("/engines/{instance_id}/orders", engines, suffix="orders")
    app.add_route("/engines/{instance_id}/generate", engines, suffix="generate")
    app.add_route("/engines/{instance_id}/cancel", engines, suffix="cancel")
    app.add_route("/engines/{instance_id}/faults", engines, suffix="faults")
    app.add_route("/service/orders", _OrdersResource(service))
    return app


class _CallIdMiddleware:
    """Sends the ID of each call back in its answer."""

    async def process_request(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        call_id = request.get_header(upstream_engine.CALL_ID_HEADER)
        if call_id is not None:
            response.set_header(upstream_engine.CALL_ID_HEADER, call_id)


class _EngineResource:
    """The protocol of every engine in a cluster."""

    def __init__(self, cluster: engine.EngineCluster) -> None:
        self.cluster = cluster

    async def on_get_report(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        instance_id: str,
    ) -> None:
        target = await self._engine(instance_id)
        now = time.monotonic()
        document = dataclasses.asdict(target.report(now, now))
        document["state"] = document["state"].value
        del document["asked_at"]
        http.write_json(response, document)

    async def on_post_orders(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        instance_id: str,
    ) -> None:
        target = await self._engine(instance_id)
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
        if not target.order(order, time.monotonic()):
            document = {"error": f"fencing number below {target.fence}"}
            http.write_json(response, document, 409)

    async def on_post_generate(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        instance_id: str,
    ) -> None:
        lead = await self._engine(instance_id)
        body = await http.read_json(request)
        status = self.cluster.refusal_status(
            lead, body["replica_id"], body["fence"], time.monotonic()
        )
        if status:
            http.write_json(response, {"error": "not now"}, status)
            return
        generation = engine.GenerationRequest(
            body["request_id"],
            body["kind"] == "chat",
            body["content"],
            body["max_tokens"],
            body["after"],
        )
        response.content_type = "text/event-stream"
        response.stream = self.cluster.generate(
            lead, generation, time.monotonic
        )

    async def on_post_cancel(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        instance_id: str,
    ) -> None:
        body = await http.read_json(request)
        self.cluster.cancelled.add(body["request_id"])

    async def on_post_faults(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        instance_id: str,
    ) -> None:
        target = self.cluster.engines[instance_id]
        body = await http.read_json(request)
        kind = body["kind"]
        if kind == "crash":
            target.crash(time.monotonic())
        elif kind == "pause":
            target.pause(time.monotonic())
        elif kind == "restart":
            target.restart(time.monotonic())
        elif kind == "silent":
            target.is_silent = body["on"]
        elif kind == "straggle":
            target.slowdown = float(body["factor"])
        else:
            raise falcon.HTTPBadRequest(description=f"unknown fault {kind!r}")

    async def _engine(self, instance_id: str) -> engine.FakeEngine:
        target = self.cluster.engines.get(instance_id)
        if target is None:
            raise falcon.HTTPNotFound
        while target.health is engine.Health.PAUSED:
            await asyncio.sleep(0.05)
        if target.health is engine.Health.CRASHED:
            raise falcon.HTTPServiceUnavailable
        return target


class _OrdersResource:
    """The plain service, which runs an order again if it is repeated."""

    def __init__(self, service: PlainService) -> None:
        self.service = service

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        body = await http.read_json(request)
        reference = str(body["reference"])
        runs = self.service.runs
        runs[reference] = runs.get(reference, 0) + 1
        await asyncio.sleep(self.service.delay_s)
        http.write_json(response, {"booked": reference}, 201)

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        http.write_json(response, {"runs": self.service.runs})
