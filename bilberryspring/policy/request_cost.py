"""Cost of a request at a backend server, and how its estimate is learned.

Load pattern: requests to one pool that look alike differ in cost by a factor of fifty,
and engines differ from those of other pools in speed, change it with a new version of
the model, or slow down while other work fills them. An estimate is a sum of terms, and
each observation corrects the coefficients in proportion to their part of it. A
correction is relative and bounded, so no single observation, however wrong, changes
what others are predicted by more than about a tenth.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "GUESSED_START_COEFFICIENTS",
    "StartCoefficients",
    "StartTerms",
    "clip_error",
    "compute_quantile",
    "correct_start",
    "decay_correction",
    "learn_correction",
    "predict_start_s",
    "scale_coefficients",
]

# Part of an observed error by which coefficients are corrected. Ten observations
# remove nine tenths of it, which is a few seconds of one router's requests.
LEARNING_RATE = 0.2
# Errors beyond this are stalls of a server rather than costs, so they count no further.
MAX_LOG_ERROR = 0.5
# Bounds of a coefficient as multiples of its initial guess.
MAX_COEFFICIENT_FACTOR = 20.0
# Bound of a correction of one kind of requests: callers' hints are wrong by a
# hundred at times.
MAX_LOG_CORRECTION = math.log(100.0)
# A correction without further observations is forgotten by half in this time.
CORRECTION_HALF_LIFE_S = 30.0


@dataclass(frozen=True, slots=True)
class StartCoefficients:
    """Coefficients of the time until an engine begins its response.

    :param base_s: time of an empty prompt on an idle engine, in seconds.
    :param read_s: time in seconds for each prompt token of the request that it reads.
    :param pending_s: time in seconds for each prompt token that it reads before.
    :param running_s: time in seconds for each request that it runs.
    :param cached_s: time in seconds for each prompt token that is expected in its
        cache, since some are not.
    """

    base_s: float
    read_s: float
    pending_s: float
    running_s: float
    cached_s: float


@dataclass(frozen=True, slots=True)
class StartTerms:
    """What an engine has to do before a response begins.

    :param read_tokens: prompt tokens of the request that it has to read.
    :param pending_tokens: prompt tokens of other requests that it has not read yet.
    :param requests: requests that it runs.
    :param cached_tokens: prompt tokens of the request that are expected in its cache.
    :param fixed_s: time in seconds that isn't learned, such as that of a copy.
    """

    read_tokens: float
    pending_tokens: float
    requests: float
    cached_tokens: float = 0.0
    fixed_s: float = 0.0


# Guesses from engines of a typical speed, in force until responses show better: 60 ms,
# 140,000 prompt tokens a second, and about a tenth of a prefill chunk for each running
# request. The measured slowness of each server scales what is predicted with them.
GUESSED_START_COEFFICIENTS = StartCoefficients(
    0.06, 1 / 140_000, 1 / 140_000, 0.002, 1 / 10_000_000
)


def predict_start_s(coefficients: StartCoefficients, terms: StartTerms) -> float:
    """Predict the time until an engine begins its response, in seconds.

    :param coefficients: coefficients of the pool.
    :param terms: what the engine has to do before.

    >>> guess = GUESSED_START_COEFFICIENTS
    >>> round(predict_start_s(guess, StartTerms(14_000, 0, 5)), 3)
    0.17
    """
    return sum(_compute_parts(coefficients, terms)) + terms.fixed_s


def correct_start(
    coefficients: StartCoefficients, terms: StartTerms, taken_s: float
) -> StartCoefficients:
    """Return coefficients that are corrected by one observation.

    :param coefficients: coefficients so far.
    :param terms: what the engine had to do before the response.
    :param taken_s: measured time in seconds.

    >>> guess, terms = GUESSED_START_COEFFICIENTS, StartTerms(14_000, 0, 0)
    >>> slower = correct_start(guess, terms, 0.5)
    >>> slower.read_s > guess.read_s, slower.running_s == guess.running_s
    (True, True)
    """
    parts = _compute_parts(coefficients, terms)
    predicted_s = sum(parts) + terms.fixed_s
    error = clip_error(predicted_s, taken_s)
    guess = GUESSED_START_COEFFICIENTS
    return StartCoefficients(
        *(
            _bound(
                value * math.exp(LEARNING_RATE * error * _weigh(part, predicted_s)),
                guessed,
            )
            for value, part, guessed in zip(
                (
                    coefficients.base_s,
                    coefficients.read_s,
                    coefficients.pending_s,
                    coefficients.running_s,
                    coefficients.cached_s,
                ),
                parts,
                (
                    guess.base_s,
                    guess.read_s,
                    guess.pending_s,
                    guess.running_s,
                    guess.cached_s,
                ),
                strict=True,
            )
        )
    )


def scale_coefficients(
    coefficients: StartCoefficients, factor: float
) -> StartCoefficients:
    """Return coefficients times a correction.

    :param coefficients: coefficients of a pool.
    :param factor: correction of one kind of requests.
    """
    return StartCoefficients(
        coefficients.base_s * factor,
        coefficients.read_s * factor,
        coefficients.pending_s * factor,
        coefficients.running_s * factor,
        coefficients.cached_s * factor,
    )


def clip_error(predicted: float, actual: float) -> float:
    """Return the logarithm of the actual over the predicted value, within bounds.

    :param predicted: predicted value.
    :param actual: measured value.

    >>> clip_error(1.0, 1.0), clip_error(1.0, 1e9), clip_error(0.0, 0.0)
    (0.0, 0.5, 0.0)
    """
    if not (predicted > 0 and actual > 0):
        return 0.0
    return min(max(math.log(actual / predicted), -MAX_LOG_ERROR), MAX_LOG_ERROR)


def learn_correction(log_correction: float, predicted: float, actual: float) -> float:
    """Return the correction of a kind's predictions after one observation.

    :param log_correction: logarithm of the correction so far.
    :param predicted: value that was predicted with it.
    :param actual: measured value.

    >>> learn_correction(0.0, 1.0, 100.0)
    0.1
    """
    learned = log_correction + LEARNING_RATE * clip_error(predicted, actual)
    return min(max(learned, -MAX_LOG_CORRECTION), MAX_LOG_CORRECTION)


def decay_correction(log_correction: float, age_s: float) -> float:
    """Return a correction at some time after its last observation.

    :param log_correction: logarithm of the correction at that observation.
    :param age_s: time since then in seconds.

    >>> decay_correction(0.8, CORRECTION_HALF_LIFE_S)
    0.4
    """
    return log_correction * 0.5 ** (max(age_s, 0.0) / CORRECTION_HALF_LIFE_S)


def compute_quantile(values: Sequence[float], quantile: float) -> float:
    """Return a quantile of some values, zero if there are none.

    :param values: the values, in any order.
    :param quantile: fraction from zero to one.

    >>> compute_quantile([3.0, 1.0, 2.0], 0.9)
    3.0
    """
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(int(quantile * len(ranked)), len(ranked) - 1)]


def _compute_parts(
    coefficients: StartCoefficients, terms: StartTerms
) -> tuple[float, float, float, float, float]:
    return (
        coefficients.base_s,
        coefficients.read_s * max(terms.read_tokens, 0.0),
        coefficients.pending_s * max(terms.pending_tokens, 0.0),
        coefficients.running_s * max(terms.requests, 0.0),
        coefficients.cached_s * max(terms.cached_tokens, 0.0),
    )


def _weigh(part: float, total: float) -> float:
    return part / total if total > 0 else 0.0


def _bound(value: float, guess: float) -> float:
    return min(
        max(value, guess / MAX_COEFFICIENT_FACTOR), guess * MAX_COEFFICIENT_FACTOR
    )
