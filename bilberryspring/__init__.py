"""Request routing for fleets of inference engines and other services.

The routers favor the instance that holds the KV cache of a chat, since users of these
services return to very long chats.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
