"""Datagrams of clients and upstreams, and frames between hosts."""

from .coapcodec import CoapHead, MessageType
from .datagrams import UdpPorts
from .peers import TcpPeers

__all__ = ["CoapHead", "MessageType", "TcpPeers", "UdpPorts"]
