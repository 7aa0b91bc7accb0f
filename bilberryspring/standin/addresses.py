"""Loopback addresses for the processes of one test fleet.

Each fleet reserves a /24 block of 127.0.0.0/8, so that fleets that run at the same time
on one machine never share an address.
"""

import itertools
import os
import socket

__all__ = ["AddressBlock", "make_address_block"]

RESERVATION_PORT = 65_000
RESERVATION_HOST = 254
FIRST_SECOND_OCTET = 16
BLOCKS_PER_SECOND_OCTET = 250
BLOCK_COUNT = 190 * BLOCKS_PER_SECOND_OCTET
BLOCKS_PER_PROCESS = 16

_block_counter = itertools.count()


class AddressBlock:
    """A /24 block of loopback addresses, reserved for one fleet by a bound socket.

    :param prefix: first three octets of the block, such as ``127.16.1``.
    :param reservation: socket whose bound address marks the block as taken.
    """

    def __init__(self, prefix: str, reservation: socket.socket):
        self.prefix = prefix
        self._reservation = reservation
        self._hosts = iter(range(1, RESERVATION_HOST))

    def take_host(self) -> str:
        """Return an IP address of the block that was not returned before.

        :raises StopIteration: if every address of the block was returned.
        """
        return f"{self.prefix}.{next(self._hosts)}"

    def close(self) -> None:
        """Close the reservation socket, so that another fleet can use the block."""
        self._reservation.close()


def make_address_block() -> AddressBlock:
    """Reserve a block that no running fleet on this machine uses.

    :returns: the block; close it to release it.
    :raises OSError: if every block is reserved.

    >>> block = make_address_block()
    >>> block.take_host().startswith("127.")
    True
    >>> block.close()
    """
    first_index = os.getpid() * BLOCKS_PER_PROCESS + next(_block_counter)
    for offset in range(BLOCK_COUNT):
        index = (first_index + offset * BLOCKS_PER_PROCESS) % BLOCK_COUNT
        second_octet, third_octet_index = divmod(index, BLOCKS_PER_SECOND_OCTET)
        prefix = f"127.{FIRST_SECOND_OCTET + second_octet}.{third_octet_index + 1}"
        reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            reservation.bind((f"{prefix}.{RESERVATION_HOST}", RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        return AddressBlock(prefix, reservation)
    raise OSError("every /24 block of loopback addresses is reserved")
