"""UDP sockets, messages between hosts, and the CoAP and PROXY protocol codecs."""

from .coapcodec import CoapHeader, MessageType
from .datagrams import UdpSocketFactory
from .tcpmessenger import TcpPeerMessenger

__all__ = ["CoapHeader", "MessageType", "TcpPeerMessenger", "UdpSocketFactory"]
