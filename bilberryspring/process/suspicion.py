"""Suspicion of one instance, from the failures that processes observed.

A single observation does not make an instance suspected: that takes two observers, or
two observations of this process that are apart in time. An instance that is suspected
repeatedly is held back for longer each time, even if it responds in between.
"""

from dataclasses import dataclass, field

__all__ = ["Suspicion"]

OBSERVATION_WINDOW_S = 10.0
OBSERVATION_SPACING_S = 0.1
REQUIRED_OBSERVATIONS = 2
SUSPICION_S = 5.0
MAX_SUSPICION_S = 60.0
FLAP_WINDOW_S = 120.0


@dataclass(slots=True)
class Suspicion:
    """Observed failures and suspicions of one instance; times are monotonic.

    :param own_id: id of this process.
    :param observed_s: time of the latest observation by observer.
    :param own_observations: separate observations of this process in the window.
    :param suspected_until_s: end of the latest suspicion; in the past if there is none.
    :param clearable_from_s: time from which a response ends the suspicion.
    :param suspicion_starts_s: times in the flap window at which it became suspected.
    :param refuses_connections: whether this process's latest observation is a refused
        connection.
    """

    own_id: str
    observed_s: dict[str, float] = field(default_factory=dict)
    own_observations: int = 0
    suspected_until_s: float = 0.0
    clearable_from_s: float = 0.0
    suspicion_starts_s: list[float] = field(default_factory=list)
    refuses_connections: bool = False

    def find_own_observation(self, now_s: float) -> float | None:
        """Return the time of this process's latest observation, if it is recent.

        :param now_s: monotonic time.
        :returns: monotonic time, or ``None`` without one in the window.
        """
        observed_s = self.observed_s.get(self.own_id)
        if observed_s is None or observed_s <= now_s - OBSERVATION_WINDOW_S:
            return None
        return observed_s

    def observe(self, observer: str, refuses: bool, now_s: float) -> float:
        """Record that the instance failed for an observer.

        :param observer: instance that observed the failure.
        :param refuses: whether it refused a connection.
        :param now_s: monotonic time.
        :returns: duration in seconds of the suspicion that begins now; zero if none
            begins, also if the instance is suspected already.
        """
        self._remove_old_observations(now_s)
        last_s = self.observed_s.get(observer)
        if last_s is None or now_s - last_s >= OBSERVATION_SPACING_S:
            self.observed_s[observer] = now_s
            self.own_observations += observer == self.own_id
        if observer == self.own_id:
            self.refuses_connections = refuses
        others = len(self.observed_s.keys() - {self.own_id})
        if self.own_observations + others < REQUIRED_OBSERVATIONS:
            return 0.0
        return self._suspect(now_s)

    def clear(self, seen_s: float, now_s: float) -> bool:
        """Record that the instance responded, which clears the observations.

        :param seen_s: monotonic time of the response; nothing is cleared if there is a
            later observation.
        :param now_s: monotonic time.
        :returns: whether this ended a suspicion.
        """
        if max(self.observed_s.values(), default=0.0) > seen_s:
            return False
        self.observed_s.clear()
        self.own_observations = 0
        self.refuses_connections = False
        if now_s < self.clearable_from_s or self.suspected_until_s <= now_s:
            return False
        self.suspected_until_s = now_s
        return True

    def _suspect(self, now_s: float) -> float:
        if self.suspected_until_s > now_s:
            self.suspected_until_s = now_s + SUSPICION_S
            return 0.0
        recent = [
            at_s for at_s in self.suspicion_starts_s if at_s > now_s - FLAP_WINDOW_S
        ]
        duration_s = min(SUSPICION_S * 2 ** len(recent), MAX_SUSPICION_S)
        self.suspected_until_s = now_s + duration_s
        self.clearable_from_s = now_s + duration_s if recent else now_s
        self.suspicion_starts_s = [*recent, now_s]
        return duration_s

    def _remove_old_observations(self, now_s: float) -> None:
        since_s = now_s - OBSERVATION_WINDOW_S
        if self.observed_s.get(self.own_id, now_s) <= since_s:
            self.own_observations = 0
        self.observed_s = {
            observer: at_s
            for observer, at_s in self.observed_s.items()
            if at_s > since_s
        }
