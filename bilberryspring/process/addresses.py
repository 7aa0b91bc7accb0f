"""Network addresses of processes, written as ``ip:port``."""

import ipaddress

__all__ = ["is_unicast_ip", "split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Split an ``ip:port`` address into host and port.

    :param address: an IPv4 address or an IPv6 address in brackets, a colon and a port.
    :returns: the IP address without brackets, and the port.
    :raises ValueError: if the IP address or the port is not valid.

    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise ValueError("expected an IP address and a port, such as 127.0.0.1:8080")
    ipaddress.ip_address(host.strip("[]"))
    return host.strip("[]"), int(port)


def is_unicast_ip(text: str) -> bool:
    """Return whether a text is an IP address that one host may have.

    :param text: an address, without a port and without a scope.

    >>> is_unicast_ip("127.0.0.1"), is_unicast_ip("example.com")
    (True, False)
    """
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return False
    return "%" not in text and not address.is_multicast and not address.is_unspecified
