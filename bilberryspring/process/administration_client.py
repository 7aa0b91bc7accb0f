"""HTTP client of the administration API, with failover between routers."""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from pydantic import BaseModel, ConfigDict, Field

from bilberryspring.malformed_input import MALFORMED_ERRORS
from bilberryspring.process.settings import Address
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure

__all__ = [
    "OperatorSettings",
    "AdministrationClient",
    "AdministrationResponse",
    "make_administration_client",
]

CONNECT_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 20.0
MAX_PUBLISH_ATTEMPTS = 3
PUBLISH_RETRY_DELAY_S = 1.0
# The publication was accepted, based on another version than the one in force, or
# invalid: a retry would get the same result.
FINAL_STATUSES = frozenset({200, 409, 422})


class OperatorSettings(BaseModel):
    """Settings of the operators' command-line program.

    :param administration_addresses: administration addresses of routers, tried in
        this order.
    :param operator_key: secret key that authenticates the operator.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    administration_addresses: list[Address] = Field(min_length=1)
    operator_key: str = Field(min_length=1)


@dataclass(frozen=True, slots=True)
class AdministrationResponse:
    """HTTP response of a router's administration API.

    :param status: HTTP status code.
    :param body: response body as received.
    :param document: body parsed as a JSON object; empty if the body is not one.
    :param version: configuration version in the ``ETag`` header; zero if there is none.
    """

    status: int
    body: bytes
    document: dict[str, Any] = field(default_factory=dict)
    version: int = 0

    @property
    def is_ok(self) -> bool:
        """Whether the status code reports success."""
        return self.status < 400

    @property
    def detail(self) -> str:
        """One-line description of the error."""
        detail = self.document.get("detail") or self.document.get("title")
        return str(detail or f"status {self.status}")


class AdministrationClient:
    """HTTP client that uses the first router that accepts a connection.

    :param settings: administration addresses and operator key.
    """

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None
        self._first_address_index = 0

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(
                total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
            ),
            headers={"Authorization": f"Bearer {self._settings.operator_key}"},
        )

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> AdministrationResponse | Failure:
        """Send a request to the first router that accepts a connection.

        Only a failed connection attempt leads to the next router; a request that may
        have been sent is not sent again.

        :param method: HTTP method.
        :param path: path with its query string.
        :param body: request body; empty for none.
        :param headers: request headers besides ``Authorization``.
        :returns: the response, or a failure. Its outcome is unknown if the request may
            have been sent but no response was received.
        """
        reasons = []
        for address in self._list_addresses():
            url = f"http://{address}{path}"
            try:
                return await self._send_request(method, url, body, headers or {})
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
                reasons.append(f"{address}: connection failed")
            except (aiohttp.ClientError, TimeoutError) as error:
                reason = f"{address}: no response: {error or 'timeout'}"
                return make_failure(
                    ErrorKind.PEER_UNREACHABLE, reason, outcome=Outcome.UNKNOWN
                )
        return make_failure(ErrorKind.PEER_UNREACHABLE, "; ".join(reasons))

    async def publish(
        self, document: bytes, base_version: int, token: str, is_retry: bool = False
    ) -> AdministrationResponse | Failure:
        """Publish a configuration document, with retries while its outcome is unknown.

        Each retry prefers the next router.

        :param document: the encoded document.
        :param base_version: configuration version that the document is based on; zero
            if none is in force.
        :param token: unique token of the publication; routers use it to accept the
            publication at most once.
        :param is_retry: whether the outcome of an earlier call with this token is
            unknown.
        :returns: the response, or a failure with an unknown outcome if the outcome is
            still unknown after the last attempt.
        """
        headers = {"If-Match": f'"{base_version}"', "Publish-Token": token}
        may_be_accepted = is_retry
        for attempt in range(MAX_PUBLISH_ATTEMPTS):
            if attempt:
                await asyncio.sleep(PUBLISH_RETRY_DELAY_S)
            response = await self.call("PUT", "/v1/configuration", document, headers)
            if not isinstance(response, Failure) and response.status in FINAL_STATUSES:
                return response
            may_be_accepted = may_be_accepted or _has_unknown_outcome(response)
            # If an earlier attempt may have been accepted, an error response to this
            # one does not show whether the publication took effect.
            if not may_be_accepted:
                return response
            self._first_address_index += 1
        detail = response.reason if isinstance(response, Failure) else response.detail
        reason = f"the outcome of the publication is unknown: {detail}"
        return make_failure(ErrorKind.PEER_UNREACHABLE, reason, outcome=Outcome.UNKNOWN)

    def _list_addresses(self) -> list[str]:
        addresses = self._settings.administration_addresses
        first = self._first_address_index % len(addresses)
        return [*addresses[first:], *addresses[:first]]

    async def _send_request(
        self, method: str, url: str, body: bytes, headers: Mapping[str, str]
    ) -> AdministrationResponse:
        async with self._session.request(
            method, url, data=body, headers=headers
        ) as response:
            content = await response.read()
            entity_tag = response.headers.get("ETag", "").strip('"')
            return AdministrationResponse(
                status=response.status,
                body=content,
                document=_parse_json_object(content),
                version=int(entity_tag) if entity_tag.isdigit() else 0,
            )


def _has_unknown_outcome(response: AdministrationResponse | Failure) -> bool:
    if isinstance(response, Failure):
        return response.outcome is Outcome.UNKNOWN
    return response.document.get("outcome") == Outcome.UNKNOWN.value


def _parse_json_object(content: bytes) -> dict[str, Any]:
    try:
        document = json.loads(content)
    except MALFORMED_ERRORS:
        return {}
    return document if isinstance(document, dict) else {}


def make_administration_client(settings: OperatorSettings) -> AdministrationClient:
    """Return a client that is not started.

    :param settings: administration addresses and operator key.
    """
    return AdministrationClient(settings)
