"""Validation of key-value requests before they take effect."""

from bilberryspring.standin.key_value_messages import (
    DeleteRangeRequest,
    PutRequest,
    RequestOperation,
    TransactionRequest,
)

__all__ = ["GatewayError", "check_transaction", "require_key"]

MAX_OPERATIONS = 128
MAX_VALUE_BYTES = 1_000_000

# gRPC status codes.
INVALID_ARGUMENT = 3
NOT_FOUND = 5
RESOURCE_EXHAUSTED = 8
FAILED_PRECONDITION = 9
OUT_OF_RANGE = 11
UNAVAILABLE = 14


class GatewayError(Exception):
    """Error response of the gateway.

    :param code: gRPC status code.
    :param message: error message.
    """

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code
        self.message = message


def require_key(key: bytes) -> None:
    """Check that a key is not empty.

    :param key: the key.
    :raises GatewayError: if the key is empty.
    """
    if not key:
        raise GatewayError(INVALID_ARGUMENT, "etcdserver: key is not provided")


def check_transaction(request: TransactionRequest) -> None:
    """Check the size, keys and values of a transaction, including nested ones.

    :param request: the transaction.
    :raises GatewayError: if the transaction or a value is too large, or a key is empty
        or written twice in one branch.
    """
    longest_list_length = max(
        len(request.compare), len(request.success), len(request.failure)
    )
    if longest_list_length > MAX_OPERATIONS:
        message = "etcdserver: too many operations in txn request"
        raise GatewayError(INVALID_ARGUMENT, message)
    for compare in request.compare:
        require_key(compare.key)
    for operations in (request.success, request.failure):
        _check_operations(operations)


def _check_operations(operations: list[RequestOperation]) -> set[bytes]:
    put_keys: set[bytes] = set()
    deletions: list[DeleteRangeRequest] = []
    for operation in operations:
        written_keys: set[bytes] = set()
        if operation.request_range is not None:
            require_key(operation.request_range.key)
        elif operation.request_put is not None:
            _check_put(operation.request_put)
            written_keys = {operation.request_put.key}
        elif operation.request_delete_range is not None:
            require_key(operation.request_delete_range.key)
            deletions.append(operation.request_delete_range)
        else:
            nested_request = operation.request_txn
            check_transaction(nested_request)
            written_keys = _check_operations(nested_request.success)
            written_keys |= _check_operations(nested_request.failure)
        if written_keys & put_keys:
            _raise_duplicate_key()
        put_keys |= written_keys
    if any(_deletes_key(deletion, key) for deletion in deletions for key in put_keys):
        _raise_duplicate_key()
    return put_keys


def _deletes_key(deletion: DeleteRangeRequest, key: bytes) -> bool:
    if not deletion.range_end:
        return key == deletion.key
    is_below_end = deletion.range_end == b"\0" or key < deletion.range_end
    return deletion.key <= key and is_below_end


def _raise_duplicate_key() -> None:
    message = "etcdserver: duplicate key given in txn request"
    raise GatewayError(INVALID_ARGUMENT, message)


def _check_put(request: PutRequest) -> None:
    require_key(request.key)
    if len(request.value) > MAX_VALUE_BYTES:
        raise GatewayError(INVALID_ARGUMENT, "etcdserver: request is too large")
