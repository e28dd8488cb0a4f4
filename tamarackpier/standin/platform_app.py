"""The platform's table, object store and instance list over HTTP."""

import asyncio
import dataclasses

import falcon
import falcon.asgi
from returns import pipeline, result

from tamarackpier import codes
from tamarackpier.platform import interfaces
from tamarackpier.standin import http, memory

__all__ = ["Platform", "create_app"]

# Delay of a lost answer; by default, entry instances wait 2 s for an answer.
_LOST_ANSWER_DELAY_S = 30.0
_STATUS_BY_CODE = {
    codes.TABLE_CONFLICT: 409,
    codes.TABLE_THROTTLED: 429,
}


@dataclasses.dataclass
class Platform:
    """The services of one platform and the faults that they share."""

    table: memory.MemoryTable
    objects: memory.MemoryObjects
    instances: memory.MemoryInstanceList
    faults: memory.Faults


def create_platform() -> Platform:
    """Returns a platform without rows, objects, instances or faults."""
    faults = memory.Faults()
    return Platform(
        memory.MemoryTable(faults),
        memory.MemoryObjects(faults),
        memory.MemoryInstanceList(),
        faults,
    )


def create_app(platform: Platform) -> falcon.asgi.App:
    """Returns the HTTP application that serves a platform."""
    app = falcon.asgi.App()
    table = _TableResource(platform.table)
    app.add_route("/table/read", table, suffix="read")
    app.add_route("/table/scan", table, suffix="scan")
    app.add_route("/table/transact", table, suffix="transact")
    app.add_route("/objects/{name:path}", _ObjectResource(platform.objects))
    app.add_route("/instances", _InstancesResource(platform.instances))
    app.add_route("/standin/faults", _FaultsResource(platform.faults))
    app.add_route("/standin/load", _LoadResource(platform.table))
    return app


class _TableResource:
    def __init__(self, table: memory.MemoryTable) -> None:
        self.table = table

    async def on_post_read(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        query = await http.read_json(request)
        answer = await self.table.read(tuple(query["keys"]))
        self._write_rows(response, answer)

    async def on_post_scan(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        query = await http.read_json(request)
        answer = await self.table.scan(query["prefix"])
        self._write_rows(response, answer)

    async def on_post_transact(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        body = await http.read_json(request)
        transaction = interfaces.Transaction(
            tuple(interfaces.Check(**check) for check in body["checks"]),
            tuple(interfaces.Write(**write) for write in body["writes"]),
        )
        answer = await self.table.transact(transaction)
        if pipeline.is_successful(answer):
            http.write_json(response, {"versions": answer.unwrap()})
            return
        fault = answer.failure()
        if fault.code is codes.TABLE_ANSWER_LOST:
            await asyncio.sleep(_LOST_ANSWER_DELAY_S)
        self._write_fault(response, fault)

    def _write_rows(
        self,
        response: falcon.asgi.Response,
        answer: result.Result[dict[str, interfaces.Row], codes.Fault],
    ) -> None:
        if not pipeline.is_successful(answer):
            self._write_fault(response, answer.failure())
            return
        rows = {
            key: {"version": row.version, "value": row.value}
            for key, row in answer.unwrap().items()
        }
        http.write_json(response, {"rows": rows})

    def _write_fault(
        self, response: falcon.asgi.Response, fault: codes.Fault
    ) -> None:
        status = _STATUS_BY_CODE.get(fault.code, 503)
        http.write_json(response, {"error": fault.detail}, status)


class _ObjectResource:
    def __init__(self, objects: memory.MemoryObjects) -> None:
        self.objects = objects

    async def on_get(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        name: str,
    ) -> None:
        answer = await self.objects.get(name)
        if not pipeline.is_successful(answer):
            raise falcon.HTTPServiceUnavailable
        data = answer.unwrap()
        if data is None:
            raise falcon.HTTPNotFound
        response.content_type = "application/octet-stream"
        response.data = data

    async def on_put(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        name: str,
    ) -> None:
        answer = await self.objects.put(name, await request.stream.read())
        if not pipeline.is_successful(answer):
            raise falcon.HTTPServiceUnavailable


class _InstancesResource:
    def __init__(self, instances: memory.MemoryInstanceList) -> None:
        self.instances = instances.instances

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        documents = [
            dataclasses.asdict(instance) for instance in self.instances.values()
        ]
        http.write_json(response, {"instances": documents})

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        instance = interfaces.ListedInstance(**await http.read_json(request))
        self.instances[instance.id] = instance


class _FaultsResource:
    def __init__(self, faults: memory.Faults) -> None:
        self.faults = faults

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        body = await http.read_json(request)
        self.faults.kind = memory.TableFault(body.get("kind", "none"))
        self.faults.delay_s = float(body.get("delay_s", 0))


class _LoadResource:
    def __init__(self, table: memory.MemoryTable) -> None:
        self.table = table

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        load = {
            "reads": self.table.read_count,
            "writes": self.table.write_count,
        }
        http.write_json(response, load)
