"""Decodes the settings file that the platform writes for each process."""

import math
from collections.abc import Callable, Mapping

from wisteriatiller.ids import Address, HostId, ZoneId
from wisteriatiller.steering import SteeringSettings

from .settingsfields import DATA_LISTEN_FIELD, read_fields

METRICS_PORT = 9464
# The routers reroute after one or two failed probes, which are half a second apart.
STOP_TIMEOUT_S = 2.0
DEFAULT_MAX_VALUE_BYTES = 1_048_576
DEFAULT_CONFIG_BOUND_MS = 3000.0
DEFAULT_DRAIN_BOUND_MS = 3000.0
# Under this policy an upstream's own word about its health is not to be trusted, so
# that hosts have to judge upstreams by what they see.
UNTRUSTED_HEALTH_POLICY = "health"


class SettingsFileError(Exception):
    """The settings file cannot be read, or a field is missing or malformed."""


def read_settings(path: str) -> SteeringSettings:
    """Read the settings file.

    Raises ``SettingsFileError``, which names the first invalid field.
    """
    try:
        values = read_fields(path)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsFileError(f"{path}: {error}") from error
    return decode_settings(values, path)


def decode_settings(values: Mapping[str, str], path: str) -> SteeringSettings:
    """Validate and convert the fields; ``path`` is the file that errors name."""
    fields = _SettingsFields(values, path)
    ready_listen = fields.address("listen_addrs.ready_addr")
    data_listen = fields.address(DATA_LISTEN_FIELD)
    stop_timeout_s = min(STOP_TIMEOUT_S, fields.number("bounds.grace_s", 6.0) / 2)
    # The platform's limit applies to a value before it is encoded as base64 in JSON.
    max_value_bytes = fields.number("platform.value_bytes", DEFAULT_MAX_VALUE_BYTES)
    config_bound_ms = fields.number("bounds.config_apply_ms", DEFAULT_CONFIG_BOUND_MS)
    drain_bound_ms = fields.number("bounds.drain_timeout_ms", DEFAULT_DRAIN_BOUND_MS)
    evacuation_bound_ms = fields.number("bounds.evacuate_ms", 0.0)
    return SteeringSettings(
        host_id=HostId(fields.text("node_name")),
        zone=ZoneId(fields.text("zone")),
        data_listen=data_listen,
        ready_listen=ready_listen,
        control_listen=fields.optional_address("listen_addrs.control"),
        metrics_listen=Address(ready_listen.ip, METRICS_PORT),
        return_port=data_listen.port,
        store=fields.address("platform.address"),
        seeds=fields.addresses("seeds"),
        stop_timeout_s=stop_timeout_s,
        max_value_bytes=int(max_value_bytes),
        config_bound_s=config_bound_ms / 1000.0,
        drain_bound_s=drain_bound_ms / 1000.0,
        uses_zone_findings=UNTRUSTED_HEALTH_POLICY in fields.texts("policies"),
        evacuation_bound_s=evacuation_bound_ms / 1000.0 or None,
        warmup_overage=fields.number_or_zero("bounds.warmup_overage", 1.0),
        warmup_slack_flows=fields.number_or_zero("bounds.warmup_slack", 0.0),
    )


class _SettingsFields:
    """Typed access to the fields of the file; unknown fields are ignored."""

    def __init__(self, values: Mapping[str, str], path: str):
        self._values = values
        self._path = path

    def text(self, name: str) -> str:
        value = self._values.get(name, "")
        if not value:
            raise SettingsFileError(f"{self._path}: {name}: missing")
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Return the parts of a list; none if the field is missing."""
        return tuple(filter(None, self._values.get(name, "").split(",")))

    def number(self, name: str, default: float) -> float:
        """Return a number above 0; the default if the field is missing."""
        return self._number(name, default, lambda n: n > 0, "a number above 0")

    def number_or_zero(self, name: str, default: float) -> float:
        """Return a number of 0 or more; the default if the field is missing."""
        return self._number(name, default, lambda n: n >= 0, "a number of 0 or more")

    def address(self, name: str) -> Address:
        return self._address(name, self.text(name))

    def optional_address(self, name: str) -> Address | None:
        return self.address(name) if self._values.get(name) else None

    def addresses(self, name: str) -> tuple[Address, ...]:
        values = self._values.get(name, "").split(",")
        return tuple(self._address(name, value) for value in values if value)

    def _number(
        self,
        name: str,
        default: float,
        is_allowed: Callable[[float], bool],
        allowed: str,
    ) -> float:
        value = self._values.get(name, "")
        if not value:
            return default
        try:
            number = float(value)
        except ValueError:
            raise self._malformed(name, value, "a number") from None
        if not math.isfinite(number) or not is_allowed(number):
            raise self._malformed(name, value, allowed)
        return number

    def _address(self, name: str, value: str) -> Address:
        try:
            return Address.parse(value)
        except ValueError:
            raise self._malformed(name, value, "IP:PORT") from None

    def _malformed(self, name: str, value: str, allowed: str) -> SettingsFileError:
        return SettingsFileError(
            f"{self._path}: {name}: found {value!r}, expected {allowed}"
        )
