@0xb7c2e95d1a4f8036;

# Messages about request rates that backend servers state as their limit.

struct LimitStatement {
  server @0 :UInt64;
  startedAtMs @1 :UInt64;
  # Requests per second; zero if the server stated that it has no limit any more.
  ratePerS @2 :Float64;
  sentAgeMs @3 :UInt32;
  receivedAgeMs @4 :UInt32;
  statementId @5 :UInt32;
}

# Observation that a server is cold, or warm.
struct ColdServer {
  server @0 :UInt64;
  startedAtMs @1 :UInt64;
  ratePerS @2 :Float32;
  # When it was observed; zero if it was warm.
  remainingMs @3 :UInt32;
  ageMs @4 :UInt32;
  reportNumber @5 :UInt32;
  observationId @6 :UInt32;
  isResponse @7 :Bool;
}

# A router asks another one for credit to send requests to a server, and is answered
# with the same message.
struct CreditMessage {
  server @0 :UInt64;
  startedAtMs @1 :UInt64;
  number @2 :UInt32;
  isReply @3 :Bool;
  # Requests that the sender wants to send or, in a reply, may send.
  credits @4 :UInt16;
  # In a reply: when the next question may be granted.
  retryMs @5 :UInt32;
  # Latest statement of the server that the sender knows: none or one.
  statements @6 :List(LimitStatement);
  # Latest observation that the server is cold: none or one.
  coldServers @7 :List(ColdServer);
  # The sender asks for the receiver's vote as the only router that gives credit for
  # the server or, in a reply, gives it.
  hasVote @8 :Bool;
  # The sender has started lately and gives no credit yet.
  isStarting @9 :Bool;
  # The sender gives back the receiver's vote.
  releasesVote @10 :Bool;
}
