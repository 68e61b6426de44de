"""Tells how long an upstream stays cold."""

from ..directory import DirectoryEntry
from ..routes import WarmupSettings


def cold_until_s(entry: DirectoryEntry, warmup: WarmupSettings) -> float:
    """Until when an upstream may be slow after its start or an evacuation.

    An upstream that got no flows during an evacuation may have gone cold, whatever its
    entry says.
    """
    listed_until_s = entry.presence_since_s + entry.upstream.cold_for_ms / 1000.0
    if entry.evacuation_ended_at_s is None:
        return listed_until_s
    return max(listed_until_s, entry.evacuation_ended_at_s + warmup.warmup_s)
