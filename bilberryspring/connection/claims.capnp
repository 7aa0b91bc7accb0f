@0xe3a1c97d5b20f846;

enum ClaimState {
  claimed @0;
  released @1;
  recorded @2;
  unknown @3;
}

# Value stored in the key-value service for one idempotency key, after a version byte.
struct StoredClaim {
  state @0 :ClaimState;
  status @1 :UInt16;
  deadlineMs @2 :UInt64;
  token @3 :Data;
  digest @4 :Data;
  holder @5 :Text;
  contentType @6 :Text;
  hasBody @7 :Bool;
  body @8 :Data;
  bodyDigest @9 :Data;
}

# A transaction on one key, forwarded to the current batcher: if the key matches
# `expected`, write `put`, else perform the operation in `otherwise`.
struct KeyTransaction {
  key @0 :Text;
  expected :union {
    absent @1 :Void;
    revision @2 :Int64;
    value @3 :Data;
  }
  put @4 :Data;
  leaseId @5 :Int64;
  otherwise :union {
    nothing @6 :Void;
    read @7 :Void;
    transaction @8 :KeyTransaction;
  }
}

# Result of a transaction on one key. `found` and `value` are the result of the read.
# `historyId` names the history of the store; it is empty from senders that don't know it.
struct KeyTransactionResult {
  succeeded @0 :Bool;
  found @1 :Bool;
  revision @2 :Int64;
  value @3 :Data;
  historyId @4 :Text;
}
