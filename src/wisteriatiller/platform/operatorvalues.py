"""Reads what operators write to the store: the configuration and the evacuations.

Other keys under the same prefix are left out and named in the answer.
"""

import base64
from collections.abc import Iterable

from wisteriatiller.ids import StorePosition, ZoneId
from wisteriatiller.steering.evacuation import (
    EvacuationChanges,
    EvacuationSet,
    ZoneChange,
)
from wisteriatiller.steering.ports import (
    ConfigAnswer,
    ConfigInvalid,
    ConfigMissing,
    ConfigRead,
    ConfigUnchanged,
)

from .pages import PageBuilder
from .storedvalues import (
    StoredValueError,
    decode_config,
    decode_evacuated_zone,
)

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"


class OperatorValuesBuilder(PageBuilder):
    """Assembles the configuration and the evacuations from pages.

    The position is that of the oldest page. A watch from there returns all changes that
    any page lacks.
    """

    prefix = OPERATOR_PREFIX

    def __init__(self):
        super().__init__(is_current=True)
        self._config_item: dict | None = None
        self._zones: set[ZoneId] = set()
        self._ignored_keys: list[str] = []

    def build(self) -> ConfigAnswer:
        position = StorePosition(self.epoch, min(self._page_revisions))
        evacuations = EvacuationSet(frozenset(self._zones), tuple(self._ignored_keys))
        if self._config_item is None:
            return ConfigMissing(position, evacuations)
        answer = decode_config_value(position, self._config_item)
        return answer._replace(evacuations=evacuations)

    def _add_item(self, item: dict) -> None:
        key = str(item["key"])
        if key == CONFIG_KEY:
            self._config_item = item
            return
        zone = _evacuated_zone(key)
        if zone is None:
            self._ignored_keys.append(key)
        else:
            self._zones.add(zone)


def answer_from_events(position: StorePosition, events: Iterable[dict]) -> ConfigAnswer:
    """Return the newest configuration that a watch has seen, and all evacuations."""
    ordered = sorted(events, key=lambda event: event["revision"])
    answer = config_answer_from_events(position, ordered)
    changes, ignored_keys = [], []
    for event in ordered:
        key = str(event["key"])
        zone = _evacuated_zone(key)
        if zone is not None:
            changes.append(ZoneChange(zone, "tombstone" not in event))
        elif key != CONFIG_KEY:
            ignored_keys.append(key)
    evacuations = EvacuationChanges(tuple(changes), tuple(ignored_keys))
    return answer._replace(evacuations=evacuations)


def config_answer_from_events(
    position: StorePosition, events: Iterable[dict]
) -> ConfigRead | ConfigInvalid | ConfigUnchanged:
    """Return the newest configuration that a watch has seen, if any."""
    writes = [
        event
        for event in events
        if event["key"] == CONFIG_KEY and "tombstone" not in event
    ]
    if not writes:
        return ConfigUnchanged(position)
    newest = max(writes, key=lambda event: event["revision"])
    return decode_config_value(position, newest)


def decode_config_value(
    position: StorePosition, item: dict
) -> ConfigRead | ConfigInvalid:
    try:
        data = base64.b64decode(item["value"], validate=True)
        return ConfigRead(position, decode_config(data))
    except (StoredValueError, ValueError) as error:
        return ConfigInvalid(position, str(error))


def _evacuated_zone(key: str) -> ZoneId | None:
    """Return the zone that a key evacuates; None if the key names no zone."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    try:
        return decode_evacuated_zone(key.removeprefix(EVACUATION_PREFIX))
    except StoredValueError:
        return None
