"""Parsing and validation of the configuration text and of a host's settings."""

from .config import ConfigSource, Configuration, RequestMode, Service, Upstream
from .configdiff import find_contradictions, find_differences
from .configrecord import (
    NO_RECORD,
    ConfigRecord,
    RecordInvalid,
    decode_record,
    encode_record,
    next_record,
)
from .configtext import load_text
from .settings import HostSettings, load_settings
from .textcheck import NotAllowed, check_address, check_identifier, check_store_url
from .textparse import MAX_TEXT_BYTES, TextProblem, TextProblems

__all__ = [
    "MAX_TEXT_BYTES",
    "NO_RECORD",
    "ConfigRecord",
    "ConfigSource",
    "Configuration",
    "HostSettings",
    "NotAllowed",
    "RecordInvalid",
    "RequestMode",
    "Service",
    "TextProblem",
    "TextProblems",
    "Upstream",
    "check_address",
    "check_identifier",
    "check_store_url",
    "decode_record",
    "encode_record",
    "find_contradictions",
    "find_differences",
    "load_settings",
    "load_text",
    "next_record",
]
