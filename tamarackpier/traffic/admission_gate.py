"""Applies admission control to a request and its candidates."""

import dataclasses
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from tamarackpier import codes, metrics
from tamarackpier.routing import model as routing_model
from tamarackpier.traffic import admission, fixed_delays, load, selection
from tamarackpier.traffic import run as run_lib

__all__ = ["AdmissionGate", "Offered"]


class Offered(Protocol):
    """What all instances were asked for of a model.

    Attributes:
        rate: Requests a second, the refused ones included.
    """

    @property
    def rate(self) -> float:
        """Requests a second, the refused ones included."""


class AdmissionGate:
    """Asks admission control about requests that have not been sent yet.

    The argument `now` of the methods is the current time, in seconds on the
    monotonic clock.

    Attributes:
        control: Decides on the requests.
        own_id: Returns the ID of this instance.
        instances: Returns the number of instances.
        metrics: Counters of this instance.
        rng: Source of randomness for decisions.
        delays: Delays of first events that the specification omits.
        offered: Returns the load offered to all instances by service and
            model; empty while it isn't known.
    """

    def __init__(
        self,
        control: admission.AdmissionControl,
        own_id: Callable[[], str],
        instances: Callable[[], int],
        counts: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self.control = control
        self.own_id = own_id
        self.instances = instances
        self.metrics = counts
        self.rng = rng
        self.delays = fixed_delays.FixedDelays()
        self.offered: Callable[[], Mapping[tuple[str, str], Offered]] = dict

    def longest_return_s(self, run: run_lib.Run, now: float) -> float:
        """Returns the longest wait that a refused caller is told, in seconds.

        Args:
            run: State of the request.
            now: Current time.
        """
        return admission.longest_return_s(run.request.deadline, now)

    def with_free_slots(
        self, run: run_lib.Run, candidates: list[selection.Candidate]
    ) -> list[selection.Candidate]:
        """Returns the replicas; those with a free slot have capacity.

        Their expected times include the model's fixed delay.
        """
        fixed_s = self.delays.delay_s(run.service, run.request.model)
        return [
            dataclasses.replace(
                candidate,
                expected_s=candidate.expected_s + fixed_s,
                has_capacity=candidate.usage.running < candidate.slots,
            )
            for candidate in candidates
        ]

    def record_first_event(
        self,
        run: run_lib.Run,
        spec: routing_model.EngineSpec | None,
        candidate: selection.Candidate,
        measured_s: float,
    ) -> None:
        """Learns from the time to a first event.

        Args:
            run: State of the request.
            spec: Specification of the service's engines.
            candidate: Replica that answered.
            measured_s: Time from the attempt to its first event, in seconds.
        """
        model_spec = spec.model(run.request.model) if spec else None
        is_full = candidate.usage.running >= candidate.slots
        if spec is None or model_spec is None or is_full:
            return
        specified_s = selection.first_event_s(
            spec, model_spec, candidate.usage, run.request.prompt_tokens
        )
        self.delays.record(
            run.service, run.request.model, measured_s - specified_s
        )

    def check_model(
        self,
        run: run_lib.Run,
        spec: routing_model.EngineSpec,
        candidates: list[selection.Candidate],
        now: float,
    ) -> None:
        """Checks that a request for a model gets a part of its capacity.

        One that has been sent before was admitted then, and a stream that has
        begun is not given up.

        Args:
            run: State of the request.
            spec: Specification of the service's engines.
            candidates: All replicas of the model.
            now: Current time.

        Raises:
            run_lib.RefusedError: It does not.
        """
        model_spec = spec.model(run.request.model)
        if (
            run.tried
            or run.may_have_run
            or run.request.last_event_id
            or model_spec is None
            or not candidates
        ):
            return
        first_event_s = selection.first_event_s(
            spec, model_spec, load.Usage(), 0
        )
        first_event_s += self.delays.delay_s(run.service, run.request.model)
        instances = self.instances()
        model_supply = admission.supply(
            [
                (candidate.usage.running, candidate.slots)
                for candidate in candidates
            ],
            first_event_s + selection.answer_s(spec, model_spec, 0),
            admission.report_age_s(instances),
        )
        offered = self.offered().get((run.service, run.request.model))
        ask = admission.Ask(
            run.service,
            run.request.model,
            run.priority,
            run.account,
            run.fingerprint,
            run.request.arrived_at,
            run.request.deadline,
            run.route.objective_s,
            first_event_s,
        )
        self.control.own_id = self.own_id()
        decision = self.control.decide(
            ask,
            model_supply,
            offered.rate if offered else None,
            instances,
            now,
            self.rng.random(),
        )
        has_room = any(candidate.has_capacity for candidate in candidates)
        if decision.is_admitted and has_room:
            run.admission = decision.describe()
            self.metrics.count("admitted", decision.rule.value)
            return
        code = decision.rule.code
        retry_after_s = decision.retry_after_s
        if decision.is_admitted:
            code = codes.UPSTREAMS_FULL
            retry_after_s = self.control.refuse(
                ask,
                model_supply,
                decision.offered_rate,
                instances,
                now,
                self.rng.random(),
            )
        self.metrics.count("not_admitted", code.name)
        raise run_lib.RefusedError(
            codes.fault(code, decision.describe(), retry_after_s=retry_after_s)
        )

    def check_plain(
        self,
        run: run_lib.Run,
        candidates: list[selection.Candidate],
        now: float,
    ) -> None:
        """Checks that an account leaves others their share of full engines.

        Args:
            run: State of the request.
            candidates: Engines of a plain service.
            now: Current time.

        Raises:
            run_lib.RefusedError: It does not.
        """
        if run.tried or run.may_have_run or not candidates:
            return
        if any(one.usage.running < one.slots for one in candidates):
            return
        hold_s = min(one.expected_s for one in candidates)
        if not self.control.is_over_share(
            run.account, self.instances(), hold_s, now
        ):
            return
        model_supply = admission.supply(
            [(one.usage.running, one.slots) for one in candidates],
            hold_s,
            admission.report_age_s(self.instances()),
        )
        ask = admission.Ask(
            run.service,
            "",
            run.priority,
            run.account,
            run.fingerprint,
            run.request.arrived_at,
            run.request.deadline,
            run.route.objective_s,
            hold_s,
        )
        retry_after_s = self.control.refuse(
            ask,
            model_supply,
            model_supply.full_rate,
            self.instances(),
            now,
            self.rng.random(),
        )
        self.metrics.count("not_admitted", codes.ACCOUNT_AT_SHARE.name)
        raise run_lib.RefusedError(
            codes.fault(
                codes.ACCOUNT_AT_SHARE,
                f"{model_supply.running}/{model_supply.slots} slots taken,"
                f" account {run.account!r} has more than its share",
                retry_after_s=retry_after_s,
            )
        )
