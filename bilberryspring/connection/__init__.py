"""Connections between processes and to callers and backend servers.

Contains framing, authentication, liveness checks and message codecs.
"""

from bilberryspring.lazy_names import make_lazy_names

__all__ = [
    "Accepted",
    "Chunk",
    "Final",
    "Message",
    "Open",
    "Refused",
    "decode_frame",
    "encode_frame",
]

__getattr__ = make_lazy_names(
    __name__,
    {
        "Accepted": "messages",
        "Chunk": "messages",
        "Final": "messages",
        "Message": "messages",
        "Open": "messages",
        "Refused": "messages",
        "decode_frame": "frames",
        "encode_frame": "frames",
    },
)
