"""Publishes configurations for test fleets directly to the key-value service."""

import json

from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import make_ledger
from bilberryspring.request.errors import Failure
from bilberryspring.standin.fleet_process import FleetError
from bilberryspring.version.document import check_document
from bilberryspring.version.objects import Configuration
from bilberryspring.version.publish import (
    Publication,
    make_token,
    publish_configuration,
    read_head,
)

__all__ = ["OPERATOR_NAME", "publish_document"]

OPERATOR_NAME = "operator"
KEY_VALUE_TIMEOUT_S = 10.0


async def publish_document(address: str, document: dict | str | bytes) -> int:
    """Validate a configuration document and publish it as the next version.

    :param address: address of the key-value service.
    :param document: the document, or its JSON text.
    :returns: number of the published version.
    :raises FleetError: if the document is invalid or the publication fails.
    """
    configuration = _parse_document(document)
    client = make_key_value_client([address], KEY_VALUE_TIMEOUT_S, make_ledger())
    await client.start()
    try:
        head = await read_head(client)
        if isinstance(head, Failure):
            raise FleetError(f"the current version cannot be read: {head}")
        base_version = head.version if head else 0
        result = await publish_configuration(
            client, base_version, configuration, OPERATOR_NAME, make_token()
        )
    finally:
        await client.close()
    if not isinstance(result, Publication):
        raise FleetError(f"the document was not published: {result}")
    return result.version


def _parse_document(document: dict | str | bytes) -> Configuration:
    if isinstance(document, dict):
        document = json.dumps(document)
    document_bytes = document.encode() if isinstance(document, str) else document
    configuration = check_document(document_bytes)
    if isinstance(configuration, list):
        raise FleetError(f"the document is invalid: {configuration}")
    return configuration
