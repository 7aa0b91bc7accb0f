"""Reading of HTTP response bodies with a size limit."""

import aiohttp

__all__ = ["BodyTooLargeError", "read_body"]


class BodyTooLargeError(ValueError):
    """A response body exceeds the size limit."""


async def read_body(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    """Read a complete response body.

    :param response: response whose body has not been read yet.
    :param limit_bytes: size of the largest body that is accepted.
    :returns: complete body.
    :raises BodyTooLargeError: if the body is larger.
    :raises aiohttp.ClientError: if the connection breaks.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limit_bytes:
            raise BodyTooLargeError(f"the body is larger than {limit_bytes} bytes")
    return bytes(body)
