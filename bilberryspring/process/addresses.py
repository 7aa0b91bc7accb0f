"""Addresses of processes: an IP number and a port."""

import ipaddress

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into its parts.

    :param address: an IP number, a colon and a port.
    :returns: host and port.
    :raises ValueError: if either part is not valid.

    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError("expected an IP number and a port, such as 127.0.0.1:8080")
    ipaddress.ip_address(host.strip("[]"))
    return host.strip("[]"), int(port)
