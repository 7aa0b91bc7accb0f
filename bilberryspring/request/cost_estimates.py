"""What requests cost, learned by a router from the responses that it relays."""

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Hashable
from enum import Enum

from bilberryspring.capability.routing import IncomingRequest
from bilberryspring.identifiers import PoolName
from bilberryspring.policy.request_cost import (
    GUESSED_START_COEFFICIENTS,
    StartCoefficients,
    StartTerms,
    compute_quantile,
    correct_start,
    decay_correction,
    learn_correction,
    predict_start_s,
    scale_coefficients,
)
from bilberryspring.process.logs import log_event

__all__ = ["CostEstimates", "Quantity", "make_cost_estimates"]

# Corrections that are kept, the latest ones.
MAX_CORRECTIONS = 4_096
# Routes whose errors are kept, and errors of each.
MAX_ERROR_KINDS = 256
MAX_ERRORS = 128
ERROR_QUANTILE = 0.9
# How often the errors are logged.
ERROR_LOG_INTERVAL_S = 10.0


class Quantity(Enum):
    """What is predicted of a request."""

    START = "start"
    OUTPUT = "output"
    SERVICE = "service"


class CostEstimates:
    """Coefficients of each pool, and corrections by route and by workspace.

    :param clock: monotonic clock, in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._coefficients: dict[PoolName, StartCoefficients] = {}
        # Logarithm of each correction and the time of its last observation.
        self._corrections: OrderedDict[Hashable, tuple[float, float]] = OrderedDict()
        self._errors: OrderedDict[tuple[str, str], deque[float]] = OrderedDict()
        self._logged_s = -math.inf

    def get_coefficients(self, pool: PoolName) -> StartCoefficients:
        """Return the coefficients of a pool of engines, guesses until a response came.

        :param pool: name of the pool.
        """
        return self._coefficients.get(pool, GUESSED_START_COEFFICIENTS)

    def find_coefficients(
        self, request: IncomingRequest, pool: PoolName
    ) -> StartCoefficients:
        """Return the coefficients of a pool of engines for requests like one.

        :param request: the request.
        :param pool: name of the pool.
        """
        factor = self._predict_factor(_list_start_keys(request, pool))
        return scale_coefficients(self.get_coefficients(pool), factor)

    def record_start(
        self,
        request: IncomingRequest,
        pool: PoolName,
        terms: StartTerms,
        taken_s: float,
    ) -> None:
        """Learn from the begin of an engine's response.

        :param request: the request.
        :param pool: name of its pool.
        :param terms: what the engine had to do before.
        :param taken_s: time from sending the request, in seconds.
        """
        coefficients = self.get_coefficients(pool)
        predicted_s = predict_start_s(self.find_coefficients(request, pool), terms)
        self._record_error(Quantity.START, request, predicted_s, taken_s)
        self._learn(_list_start_keys(request, pool), predicted_s, taken_s)
        self._coefficients[pool] = correct_start(coefficients, terms, taken_s)

    def predict_output_tokens(self, request: IncomingRequest) -> int:
        """Predict how many tokens the response to a request will have.

        The caller's hint is right at the median but often far off.

        :param request: a request to an engine.
        :returns: not more than the tokens that the request reserves, if it states them.
        """
        prompt = request.prompt
        stated = prompt.hinted_output_tokens or prompt.output_tokens
        factor = self._predict_factor(_list_output_keys(request))
        predicted = round(max(stated, 1) * factor)
        return (
            min(predicted, prompt.output_tokens) if prompt.output_tokens else predicted
        )

    def record_output(self, request: IncomingRequest, output_tokens: int) -> None:
        """Learn from the length of a complete response.

        :param request: a request to an engine.
        :param output_tokens: tokens of the response, about.
        """
        predicted = self.predict_output_tokens(request)
        self._record_error(Quantity.OUTPUT, request, predicted, output_tokens)
        self._learn(_list_output_keys(request), predicted, output_tokens)

    def predict_service_s(
        self, request: IncomingRequest, pool: PoolName, mean_s: float
    ) -> float:
        """Predict how long a plain service works on a request, in seconds.

        :param request: the request.
        :param pool: name of its pool.
        :param mean_s: mean time of the pool's requests, in seconds.
        """
        return mean_s * self._predict_factor(_list_service_keys(request, pool))

    def record_service(
        self, request: IncomingRequest, pool: PoolName, mean_s: float, taken_s: float
    ) -> None:
        """Learn from the time of a complete response of a plain service.

        :param request: the request.
        :param pool: name of its pool.
        :param mean_s: mean time of the pool's requests, in seconds.
        :param taken_s: time from sending the request, in seconds.
        """
        predicted_s = self.predict_service_s(request, pool, mean_s)
        self._record_error(Quantity.SERVICE, request, predicted_s, taken_s)
        self._learn(_list_service_keys(request, pool), predicted_s, taken_s)

    def list_errors(self) -> dict[tuple[str, str], float]:
        """Return the error that nine of ten predictions stay within, as a factor.

        :returns: the factor by quantity and route.
        """
        return {
            key: math.exp(compute_quantile(errors, ERROR_QUANTILE))
            for key, errors in self._errors.items()
        }

    def _predict_factor(self, keys: tuple[Hashable, ...]) -> float:
        return math.exp(sum(self._read_correction(key) for key in keys))

    def _read_correction(self, key: Hashable) -> float:
        found = self._corrections.get(key)
        if found is None:
            return 0.0
        return decay_correction(found[0], self._clock() - found[1])

    def _learn(
        self, keys: tuple[Hashable, ...], predicted: float, actual: float
    ) -> None:
        for key in keys:
            learned = learn_correction(self._read_correction(key), predicted, actual)
            self._corrections.pop(key, None)
            self._corrections[key] = (learned, self._clock())
        while len(self._corrections) > MAX_CORRECTIONS:
            self._corrections.popitem(last=False)

    def _record_error(
        self,
        quantity: Quantity,
        request: IncomingRequest,
        predicted: float,
        actual: float,
    ) -> None:
        if not (predicted > 0 and actual > 0):
            return
        key = (quantity.value, request.route.name)
        errors = self._errors.setdefault(key, deque(maxlen=MAX_ERRORS))
        self._errors.move_to_end(key)
        errors.append(abs(math.log(actual / predicted)))
        while len(self._errors) > MAX_ERROR_KINDS:
            self._errors.popitem(last=False)
        now_s = self._clock()
        if now_s - self._logged_s < ERROR_LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        for (name, route), p90 in self.list_errors().items():
            log_event("cost_error", quantity=name, route=route, p90_factor=p90)


def _list_start_keys(request: IncomingRequest, pool: PoolName) -> tuple[Hashable, ...]:
    return ((Quantity.START, "route", pool, request.route.name),)


def _list_output_keys(request: IncomingRequest) -> tuple[Hashable, ...]:
    is_hinted = request.prompt.hinted_output_tokens > 0
    return (
        (Quantity.OUTPUT, "route", request.route.name, is_hinted),
        (Quantity.OUTPUT, "workspace", request.workspace, is_hinted),
    )


def _list_service_keys(
    request: IncomingRequest, pool: PoolName
) -> tuple[Hashable, ...]:
    return (
        (Quantity.SERVICE, "route", pool, request.route.name),
        (Quantity.SERVICE, "workspace", pool, request.workspace),
    )


def make_cost_estimates(clock: Callable[[], float]) -> CostEstimates:
    """Return estimates that rest on guesses until responses arrive.

    :param clock: monotonic clock, in seconds.
    """
    return CostEstimates(clock)
