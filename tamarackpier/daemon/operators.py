"""HTTP endpoints that operators and their command line call."""

import dataclasses
from collections.abc import Callable
from typing import Any

import falcon
import falcon.asgi
from returns import pipeline

from tamarackpier import codes
from tamarackpier.daemon import http
from tamarackpier.daemon import node as node_lib
from tamarackpier.replica import gate
from tamarackpier.request import identify
from tamarackpier.sheet import change, parse

__all__ = ["add_routes"]


def add_routes(
    app: falcon.asgi.App, node: node_lib.Node, stop: Callable[[], None]
) -> None:
    """Adds the operators' endpoints to a Falcon application.

    Args:
        app: The application.
        node: The entry instance.
        stop: Begins a graceful shutdown.
    """
    authenticator = _Authenticator(node)
    app.add_route("/operator/status", _StatusResource(authenticator))
    app.add_route("/operator/counters", _CountersResource(authenticator))
    app.add_route("/operator/replicas", _ReplicasResource(authenticator))
    app.add_route("/operator/events", _EventsResource(authenticator))
    sheet_resource = _SheetResource(authenticator)
    app.add_route("/operator/sheet", sheet_resource)
    app.add_route("/operator/sheet/check", sheet_resource, suffix="check")
    app.add_route("/operator/leave", _LeaveResource(authenticator, stop))
    app.add_route("/operator/quarantine", _QuarantineResource(authenticator))


class _Authenticator:
    """Authenticates operators."""

    def __init__(self, node: node_lib.Node) -> None:
        self.node = node
        self.keys = identify.KeyRing(node.settings.operators, is_operator=True)

    def authenticate(self, request: falcon.asgi.Request) -> str:
        """Returns the name of the operator who sent a request.

        Raises:
            FaultError: The request does not carry an operator's key.
        """
        identity_result = self.keys.identify(
            request.get_header("Authorization")
        )
        if not pipeline.is_successful(identity_result):
            fault = identity_result.failure()
            self.node.metrics.count("refused", fault.code.name)
            raise http.FaultError(fault)
        return identity_result.unwrap().name


class _Resource:
    """An endpoint that requires an operator's key."""

    def __init__(self, authenticator: _Authenticator) -> None:
        self.authenticator = authenticator
        self.node = authenticator.node


class _StatusResource(_Resource):
    """Serves the state of this instance and the peers it knows."""

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self.authenticator.authenticate(request)
        node = self.node
        sheet = node.sheets.sheet
        http.write_json(
            response,
            {
                "instance": node.settings.instance.id,
                "availability_zone": node.settings.instance.availability_zone,
                "is_leaving": node.members.own_record.is_leaving,
                "in_flight": node.in_flight(),
                "waiting": node.dispatcher.waiting_count(),
                "sheet_version": sheet.version,
                "sheet_in_force_at": node.sheets.in_force_at,
                "domains_planned": sorted(
                    domain
                    for domain, planner in node.domains.planners.items()
                    if planner.is_holder
                ),
                "peers": self._peers(),
                "breaches": dict(node.invariants.breaches),
            },
        )

    def _peers(self) -> list[dict[str, Any]]:
        members = self.node.members
        now = self.node.clock()
        return [
            {
                "id": peer_id,
                "liveness": members.liveness(peer_id, now).value,
                "availability_zone": peer.record.availability_zone,
                "sheet_version": peer.record.sheet_version,
                "caller_address": peer.record.caller_address,
            }
            for peer_id, peer in sorted(members.peers.items())
        ]


class _CountersResource(_Resource):
    """Serves counters, latencies, invariant checks and open connections."""

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self.authenticator.authenticate(request)
        document = self.node.metrics.snapshot()
        invariants = self.node.invariants
        document["invariant_checks"] = dict(invariants.checks)
        document["invariant_breaches"] = dict(invariants.breaches)
        document["connections"] = self.node.connections_by_phase()
        http.write_json(response, document)


class _ReplicasResource(_Resource):
    """Serves the evidence that this instance has about replicas."""

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self.authenticator.authenticate(request)
        all_evidence = sorted(
            self.node.gate.evidence.values(),
            key=lambda evidence: (evidence.domain, evidence.replica_id),
        )
        replicas = [self._document(evidence) for evidence in all_evidence]
        http.write_json(response, {"replicas": replicas})

    def _document(self, evidence: gate.Evidence) -> dict[str, Any]:
        now = self.node.clock()
        verdict = self.node.gate.check(evidence.replica_id, now)
        document = dataclasses.asdict(evidence)
        document["age_s"] = round(now - document.pop("at"), 3)
        document["is_serving"] = verdict.is_open
        document["reason"] = verdict.reason
        return document


class _EventsResource(_Resource):
    """Serves the scheduled events, each with its shortfall of replicas."""

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self.authenticator.authenticate(request)
        node = self.node
        shortfalls = {
            (shortfall.demand.event, shortfall.demand.model): shortfall
            for shortfall in node.domains.shortfalls()
        }
        events = []
        for scheduled in node.domains.scheduled():
            document = dataclasses.asdict(scheduled.demand)
            document["load_from"] = scheduled.load_from
            document["serving"] = len(
                node.gate.serving(
                    scheduled.demand.model,
                    scheduled.demand.version,
                    node.clock(),
                )
            )
            shortfall = shortfalls.get(
                (scheduled.demand.event, scheduled.demand.model)
            )
            document["shortfall"] = shortfall.reason if shortfall else ""
            document["possible"] = (
                shortfall.possible if shortfall else scheduled.demand.replicas
            )
            events.append(document)
        http.write_json(response, {"events": events})


class _SheetResource(_Resource):
    """Serves the sheet in force and accepts new sheets and patches."""

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self.authenticator.authenticate(request)
        sheet = self.node.sheets.sheet
        http.write_json(
            response, {"version": sheet.version, "csv": parse.to_csv(sheet)}
        )

    async def on_post_check(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Validates a sheet or patch and reports the changes it would make."""
        self.authenticator.authenticate(request)
        is_patch = request.get_param_as_bool("patch") or False
        data = await self._body(request)
        base_sheet = self.node.sheets.sheet
        parse_result = parse.parse(data, self.node.settings.accounts, is_patch)
        if not pipeline.is_successful(parse_result):
            raise http.FaultError(*parse_result.failure())
        if is_patch:
            apply_result = change.apply(base_sheet, parse_result.unwrap())
            if not pipeline.is_successful(apply_result):
                raise http.FaultError(*apply_result.failure())
            sheet = apply_result.unwrap()
        else:
            sheet = change.replace(base_sheet, parse_result.unwrap())
        http.write_json(
            response,
            {
                "base_version": base_sheet.version,
                "changes": change.diff(base_sheet, sheet),
            },
        )

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Submits a sheet or patch for acceptance."""
        operator = self.authenticator.authenticate(request)
        is_patch = request.get_param_as_bool("patch") or False
        base_version = request.get_param_as_int("base", min_value=0)
        data = await self._body(request)
        submit_result = await self.node.sheets.submit(
            data, operator, base_version, is_patch
        )
        if not pipeline.is_successful(submit_result):
            raise http.FaultError(*submit_result.failure())
        acceptance = submit_result.unwrap()
        http.write_json(
            response,
            {
                "version": acceptance.sheet.version,
                "is_repeat": acceptance.is_repeat,
                "rows": len(acceptance.sheet.rows),
            },
        )

    async def _body(self, request: falcon.asgi.Request) -> bytes:
        limits = self.node.settings.limits
        return await http.read_body(
            request, limits.max_sheet_bytes, limits.body_timeout_s
        )


class _LeaveResource(_Resource):
    """Begins a graceful shutdown of this instance."""

    def __init__(
        self, authenticator: _Authenticator, stop: Callable[[], None]
    ) -> None:
        super().__init__(authenticator)
        self.stop = stop

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self.authenticator.authenticate(request)
        self.stop()
        http.write_json(response, {"instance": self.node.settings.instance.id})


class _QuarantineResource(_Resource):
    """Lists and lifts refusals of requests suspected of crashing upstreams."""

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self.authenticator.authenticate(request)
        suspects = self.node.quarantine.lasting_suspects(self.node.clock())
        http.write_json(response, {"refused": suspects})

    async def on_delete(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self.authenticator.authenticate(request)
        fingerprint = request.get_param("fingerprint") or ""
        if not self.node.quarantine.clear(fingerprint, self.node.clock()):
            detail = f"no suspected request has the fingerprint {fingerprint!r}"
            fault = codes.fault(codes.NO_SUCH_REQUEST, detail)
            raise http.FaultError(fault)
        http.write_json(response, {"lifted": fingerprint})
