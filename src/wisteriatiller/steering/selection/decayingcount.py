"""An exponentially decaying count of events."""

import math


class DecayingCount:
    """Counts events, each of which counts less with time, by e in ``decay_s``."""

    def __init__(self, decay_s: float):
        self._decay_s = decay_s
        self._count = 0.0
        self._updated_at_s = 0.0

    def add(self, now_s: float) -> None:
        self._count = self.value(now_s) + 1.0
        self._updated_at_s = now_s

    def value(self, now_s: float) -> float:
        return self._count * math.exp((self._updated_at_s - now_s) / self._decay_s)
