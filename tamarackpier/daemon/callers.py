"""HTTP endpoints for callers: models, services, addresses and health."""

import asyncio
import json
import secrets
import time
from collections.abc import AsyncIterator
from typing import Any

import falcon
import falcon.asgi
from returns import pipeline

from tamarackpier import codes
from tamarackpier.daemon import http
from tamarackpier.daemon import node as node_lib
from tamarackpier.request import identify, model, parse, records, relay, stream

__all__ = ["add_routes"]

_DEADLINE_HEADER = "X-Deadline-S"
_KEY_HEADER = "Idempotency-Key"
_ZONE_HEADER = "X-Availability-Zone"
_REQUEST_ID_HEADER = "X-Request-Id"
_MAX_KEY_CHARACTERS = 255
_OBJECT_NAMES = {
    model.CallKind.CHAT: "chat.completion",
    model.CallKind.COMPLETION: "text_completion",
}


def add_routes(app: falcon.asgi.App, node: node_lib.Node) -> None:
    """Adds the callers' endpoints to a Falcon application."""
    callers = _Callers(node)
    models = _ModelResource(callers)
    app.add_route("/v1/chat/completions", models, suffix="chat")
    app.add_route("/v1/completions", models, suffix="completion")
    app.add_route("/v1/models", models, suffix="list")
    app.add_route("/v1/addresses", _AddressResource(callers))
    services = _ServiceResource(callers)
    app.add_route("/v1/services/{name}/{path:path}", services)
    app.add_route("/v1/services/{name}", services)
    app.add_route("/v1/outcomes/{name}/{key}", _OutcomeResource(callers))
    app.add_route("/health", _HealthResource(node))


class _Callers:
    """Authenticates callers and enforces deadline and body size limits."""

    def __init__(self, node: node_lib.Node) -> None:
        self.node = node
        self.keys = identify.KeyRing(node.settings.accounts, is_operator=False)

    def account(self, request: falcon.asgi.Request) -> str:
        """Returns the name of the client account that sent a request.

        Raises:
            FaultError: The request does not carry a client account's key.
        """
        identity = self.keys.identify(request.get_header("Authorization"))
        if not pipeline.is_successful(identity):
            raise self.refusal(identity.failure(), "")
        return identity.unwrap().name

    def check_open(self, request_id: str) -> None:
        """Checks that this instance still accepts new requests.

        Raises:
            FaultError: The instance is leaving.
        """
        if self.node.refuses_new:
            detail = "instance is leaving; get addresses from another one"
            fault = codes.fault(codes.LEAVING, detail, retry_after_s=1.0)
            raise self.refusal(fault, request_id)

    def deadline(self, request: falcon.asgi.Request) -> float:
        """Returns the deadline of a request, in seconds of the node's clock.

        Raises:
            FaultError: The deadline header is not a positive, finite number.
        """
        limits = self.node.settings.limits
        text = request.get_header(_DEADLINE_HEADER)
        seconds = limits.default_deadline_s
        if text is not None:
            seconds = self._seconds(text)
        return self.node.clock() + min(seconds, limits.max_deadline_s)

    async def body(self, request: falcon.asgi.Request) -> bytes:
        """Returns the body of a request.

        Raises:
            FaultError: It is too large or does not arrive in time.
        """
        limits = self.node.settings.limits
        return await http.read_body(
            request, limits.max_body_bytes, limits.body_timeout_s
        )

    def refusal(self, fault: codes.Fault, request_id: str) -> http.FaultError:
        """Counts a refused request and returns the error to raise for it."""
        self.node.metrics.count("refused", fault.code.name)
        return http.FaultError(fault, request_id=request_id)

    def _seconds(self, text: str) -> float:
        try:
            seconds = float(text)
        except ValueError:
            seconds = -1.0
        if not 0 < seconds < float("inf"):
            detail = (
                f"expected positive seconds in {_DEADLINE_HEADER}, got {text!r}"
            )
            raise self.refusal(codes.fault(codes.BAD_BODY, detail), "")
        return seconds


class _ModelResource:
    """Serves chat and completion calls and the list of models."""

    def __init__(self, callers: _Callers) -> None:
        self.callers = callers
        self.node = callers.node

    async def on_post_chat(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        await self._run(request, response, model.CallKind.CHAT)

    async def on_post_completion(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        await self._run(request, response, model.CallKind.COMPLETION)

    async def on_get_list(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self.callers.account(request)
        rows = self.node.sheets.sheet.active(self.node.wall_clock())
        names = sorted({row.model for row in rows})
        data = [{"id": name, "object": "model"} for name in names]
        http.write_json(response, {"object": "list", "data": data})

    async def _run(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        kind: model.CallKind,
    ) -> None:
        request_id = f"req-{secrets.token_hex(8)}"
        response.set_header(_REQUEST_ID_HEADER, request_id)
        call = await self._call(request, kind, request_id)
        self.callers.check_open(request_id)
        version = self.node.version_for(call.account, call.model)
        if version is None:
            detail = f"no event in force offers the model {call.model!r}"
            fault = codes.fault(codes.NO_SUCH_MODEL, detail)
            raise self.callers.refusal(fault, request_id)
        started = await self.node.relay.start(call, version)
        if not pipeline.is_successful(started):
            raise self.callers.refusal(started.failure(), request_id)
        run = started.unwrap()
        if call.is_streamed:
            response.content_type = "text/event-stream"
            response.set_header("Cache-Control", "no-store")
            response.stream = self._stream(request, run)
        else:
            await self._write_completion(response, run)

    async def _call(
        self,
        request: falcon.asgi.Request,
        kind: model.CallKind,
        request_id: str,
    ) -> model.ModelCall:
        arrival = parse.RequestContext(
            request_id,
            self.callers.account(request),
            self.node.clock(),
            self.callers.deadline(request),
        )
        body = await self.callers.body(request)
        parsed = parse.model_call(body, kind, arrival)
        if not pipeline.is_successful(parsed):
            raise self.callers.refusal(parsed.failure(), request_id)
        return parsed.unwrap()

    async def _stream(
        self, request: falcon.asgi.Request, run: relay.ModelRun
    ) -> AsyncIterator[bytes]:
        """Yields the answer; an incomplete one ends with an error event."""
        task = asyncio.current_task()
        watcher = asyncio.ensure_future(
            http.wait_for_disconnect(request.scope[http.RECEIVE_KEY])
        )
        watcher.add_done_callback(
            lambda future: (
                None if future.cancelled() or task is None else (_cancel(task))
            )
        )
        try:
            while chunk := await run.read():
                yield chunk
        except relay.RunFailedError as error:
            self.node.metrics.count("failed", error.fault.code.name)
            document = http.fault_document(error.fault, run.call.request_id)
            event = json.dumps({"error": document})
            yield f"event: error\ndata: {event}\n\n".encode()
        except asyncio.CancelledError:
            self.node.metrics.count("caller_gone")
        finally:
            watcher.cancel()
            run.close()

    async def _write_completion(
        self, response: falcon.asgi.Response, run: relay.ModelRun
    ) -> None:
        call = run.call
        try:
            while await run.read():
                pass
            text = stream.answer_text(run.assembler.delivered, call.kind)
        except relay.RunFailedError as error:
            raise self.callers.refusal(error.fault, call.request_id) from error
        finally:
            run.close()
        http.write_json(response, _completion_document(call, text, run))


def _cancel(task: "asyncio.Task[Any]") -> None:
    if not task.done():
        task.cancel()


def _completion_document(
    call: model.ModelCall, text: str, run: relay.ModelRun
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if call.kind is model.CallKind.CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    generated = max(0, run.assembler.delivered_count - 1)
    prompt = int(call.cost) - call.max_tokens
    return {
        "id": call.request_id,
        "object": _OBJECT_NAMES[call.kind],
        "created": int(time.time()),
        "model": call.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": generated,
            "total_tokens": prompt + generated,
        },
    }


class _AddressResource:
    """Serves the addresses of the entry instances that a caller uses."""

    def __init__(self, callers: _Callers) -> None:
        self.callers = callers

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        account = self.callers.account(request)
        client = request.get_param("client") or request.remote_addr
        zone = request.get_header(_ZONE_HEADER) or ""
        answer = self.callers.node.addresses_for(f"{account}/{client}", zone)
        response.set_header("Cache-Control", f"max-age={int(answer.keep_s)}")
        http.write_json(response, answer)


class _ServiceResource:
    """Forwards calls to services that are not models, with any method."""

    def __init__(self, callers: _Callers) -> None:
        self.callers = callers
        self.node = callers.node

    async def on_get(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        name: str,
        path: str = "",
    ) -> None:
        await self._run(request, response, name, path)

    on_post = on_get
    on_put = on_get
    on_patch = on_get
    on_delete = on_get

    async def _run(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        name: str,
        path: str,
    ) -> None:
        account = self.callers.account(request)
        key = request.get_header(_KEY_HEADER) or ""
        request_id = f"req-{secrets.token_hex(8)}"
        if len(key) > _MAX_KEY_CHARACTERS:
            detail = f"{_KEY_HEADER} exceeds {_MAX_KEY_CHARACTERS} characters"
            fault = codes.fault(codes.BAD_BODY, detail)
            raise self.callers.refusal(fault, request_id)
        deadline = self.callers.deadline(request)
        body = await self.callers.body(request)
        self.callers.check_open(request_id)
        query = f"?{request.query_string}" if request.query_string else ""
        call = model.ServiceCall(
            request_id,
            account,
            name,
            request.method,
            path + query,
            body,
            request.content_type or "",
            key,
            self._is_repeatable(name, request.method),
            deadline,
        )
        answer = await self.node.services.run(call)
        response.set_header(_REQUEST_ID_HEADER, key or request_id)
        if not pipeline.is_successful(answer):
            raise self.callers.refusal(answer.failure(), key or request_id)
        service_answer = answer.unwrap()
        response.status = service_answer.status
        response.content_type = service_answer.content_type
        response.data = service_answer.body

    def _is_repeatable(self, name: str, method: str) -> bool:
        service = self.node.settings.services.get(name)
        return service is not None and method in service.repeatable_methods


class _OutcomeResource:
    """Serves the recorded outcome of a call with an idempotency key."""

    def __init__(self, callers: _Callers) -> None:
        self.callers = callers

    async def on_get(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        name: str,
        key: str,
    ) -> None:
        account = self.callers.account(request)
        call = model.ServiceCall(
            key, account, name, "", "", b"", "", key, False, 0.0
        )
        lookup = await self.callers.node.services.look_up(call)
        if not pipeline.is_successful(lookup):
            raise self.callers.refusal(lookup.failure(), key)
        record = lookup.unwrap()
        if record is None:
            detail = "no call is recorded under this idempotency key"
            fault = codes.fault(codes.NO_SUCH_REQUEST, detail)
            raise self.callers.refusal(fault, key)
        document: dict[str, Any] = {"key": key, "state": record.state.value}
        if record.state is records.RecordState.DONE and record.answer:
            document["status"] = record.answer.status
            document["body"] = record.answer.body.decode(errors="replace")
        http.write_json(response, document)


class _HealthResource:
    """Reports whether the instance accepts new requests."""

    def __init__(self, node: node_lib.Node) -> None:
        self.node = node

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        status = 503 if self.node.refuses_new else 200
        state = "leaving" if self.node.refuses_new else "serving"
        http.write_json(response, {"state": state}, status)
