"""Process-wide services: settings, logging, resource accounting, program entry."""

from bilberryspring.lazy_names import make_lazy_names

__all__ = [
    "AgentSettings",
    "Ledger",
    "ControlMechanism",
    "RouterSettings",
    "configure_logs",
    "load_settings",
    "log_event",
    "make_ledger",
]

__getattr__ = make_lazy_names(
    __name__,
    {
        "AgentSettings": "settings",
        "Ledger": "accounting",
        "ControlMechanism": "accounting",
        "RouterSettings": "settings",
        "configure_logs": "logs",
        "load_settings": "settings",
        "log_event": "logs",
        "make_ledger": "accounting",
    },
)
