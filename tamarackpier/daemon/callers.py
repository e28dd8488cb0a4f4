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
    validator = _RequestValidator(node)
    models = _ModelResource(validator)
    app.add_route("/v1/chat/completions", models, suffix="chat")
    app.add_route("/v1/completions", models, suffix="completion")
    app.add_route("/v1/models", models, suffix="list")
    app.add_route("/v1/addresses", _AddressResource(validator))
    services = _ServiceResource(validator)
    app.add_route("/v1/services/{name}/{path:path}", services)
    app.add_route("/v1/services/{name}", services)
    app.add_route("/v1/outcomes/{name}/{key}", _OutcomeResource(validator))
    app.add_route("/health", _HealthResource(node))


class _RequestValidator:
    """Authenticates callers and enforces deadline and body size limits."""

    def __init__(self, node: node_lib.Node) -> None:
        self.node = node
        self.keys = identify.KeyRing(node.settings.accounts, is_operator=False)

    def account(self, request: falcon.asgi.Request) -> str:
        """Returns the name of the client account that sent a request.

        Raises:
            FaultError: The request does not carry a client account's key.
        """
        identify_result = self.keys.identify(
            request.get_header("Authorization")
        )
        if not pipeline.is_successful(identify_result):
            raise self.refusal(identify_result.failure(), "")
        return identify_result.unwrap().name

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
        header_text = request.get_header(_DEADLINE_HEADER)
        timeout_s = limits.default_deadline_s
        if header_text is not None:
            timeout_s = self._seconds(header_text)
        return self.node.clock() + min(timeout_s, limits.max_deadline_s)

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

    def __init__(self, validator: _RequestValidator) -> None:
        self.validator = validator
        self.node = validator.node

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
        self.validator.account(request)
        rows = self.node.sheets.sheet.active(self.node.wall_clock())
        model_names = sorted({row.model for row in rows})
        entries = [{"id": name, "object": "model"} for name in model_names]
        http.write_json(response, {"object": "list", "data": entries})

    async def _run(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        kind: model.CallKind,
    ) -> None:
        request_id = f"req-{secrets.token_hex(8)}"
        response.set_header(_REQUEST_ID_HEADER, request_id)
        call = await self._call(request, kind, request_id)
        self.validator.check_open(request_id)
        version = self.node.version_for(call.account, call.model)
        if version is None:
            detail = f"no event in force offers the model {call.model!r}"
            fault = codes.fault(codes.NO_SUCH_MODEL, detail)
            raise self.validator.refusal(fault, request_id)
        start_result = await self.node.relay.start(call, version)
        if not pipeline.is_successful(start_result):
            raise self.validator.refusal(start_result.failure(), request_id)
        run = start_result.unwrap()
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
        context = parse.RequestContext(
            request_id,
            self.validator.account(request),
            self.node.clock(),
            self.validator.deadline(request),
        )
        body = await self.validator.body(request)
        parse_result = parse.model_call(body, kind, context)
        if not pipeline.is_successful(parse_result):
            raise self.validator.refusal(parse_result.failure(), request_id)
        return parse_result.unwrap()

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
            raise self.validator.refusal(
                error.fault, call.request_id
            ) from error
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
    # One token is counted for each piece, except the last one, `[DONE]`.
    completion_tokens = max(0, run.assembler.delivered_count - 1)
    prompt_tokens = int(call.cost) - call.max_tokens
    return {
        "id": call.request_id,
        "object": _OBJECT_NAMES[call.kind],
        "created": int(time.time()),
        "model": call.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
        },
    }


class _AddressResource:
    """Serves the addresses of the entry instances that a caller should use."""

    def __init__(self, validator: _RequestValidator) -> None:
        self.validator = validator

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        account = self.validator.account(request)
        client = request.get_param("client") or request.remote_addr
        zone = request.get_header(_ZONE_HEADER) or ""
        answer = self.validator.node.addresses_for(f"{account}/{client}", zone)
        response.set_header("Cache-Control", f"max-age={int(answer.keep_s)}")
        http.write_json(response, answer)


class _ServiceResource:
    """Forwards calls to services that are not models, with any method."""

    def __init__(self, validator: _RequestValidator) -> None:
        self.validator = validator
        self.node = validator.node

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
        account = self.validator.account(request)
        key = request.get_header(_KEY_HEADER) or ""
        request_id = f"req-{secrets.token_hex(8)}"
        if len(key) > _MAX_KEY_CHARACTERS:
            detail = f"{_KEY_HEADER} exceeds {_MAX_KEY_CHARACTERS} characters"
            fault = codes.fault(codes.BAD_BODY, detail)
            raise self.validator.refusal(fault, request_id)
        deadline = self.validator.deadline(request)
        body = await self.validator.body(request)
        self.validator.check_open(request_id)
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
        run_result = await self.node.services.run(call)
        response.set_header(_REQUEST_ID_HEADER, key or request_id)
        if not pipeline.is_successful(run_result):
            raise self.validator.refusal(
                run_result.failure(), key or request_id
            )
        service_answer = run_result.unwrap()
        response.status = service_answer.status
        response.content_type = service_answer.content_type
        response.data = service_answer.body

    def _is_repeatable(self, name: str, method: str) -> bool:
        service = self.node.settings.services.get(name)
        return service is not None and method in service.repeatable_methods


class _OutcomeResource:
    """Serves the recorded outcome of a call with an idempotency key."""

    def __init__(self, validator: _RequestValidator) -> None:
        self.validator = validator

    async def on_get(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        name: str,
        key: str,
    ) -> None:
        account = self.validator.account(request)
        call = model.ServiceCall(
            key, account, name, "", "", b"", "", key, False, 0.0
        )
        lookup_result = await self.validator.node.services.look_up(call)
        if not pipeline.is_successful(lookup_result):
            raise self.validator.refusal(lookup_result.failure(), key)
        record = lookup_result.unwrap()
        if record is None:
            detail = "no call is recorded under this idempotency key"
            fault = codes.fault(codes.NO_SUCH_REQUEST, detail)
            raise self.validator.refusal(fault, key)
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
