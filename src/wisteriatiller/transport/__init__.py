"""Datagrams of clients and upstreams, and frames between hosts."""

from .coapcodec import CoapHeader, MessageType
from .datagrams import UdpSocketFactory
from .tcpmessenger import TcpPeerMessenger

__all__ = ["CoapHeader", "MessageType", "TcpPeerMessenger", "UdpSocketFactory"]
