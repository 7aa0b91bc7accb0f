@0xbf5147cbbecf40c1;

# Frames exchanged by the processes of the fleet. One frame is one message.

struct Frame {
  union {
    hello @0 :Hello;
    ping @1 :UInt64;
    pong @2 :UInt64;
    open @3 :Open;
    accepted @4 :Accepted;
    chunk @5 :Chunk;
    final @6 :Final;
    refused @7 :Refused;
    cancel @8 :Cancel;
    attach @9 :Attach;
    credit @10 :Credit;
    # Ordinals of removed frame types, kept so that the other ordinals do not change.
    unused11 @11 :Void;
    unused12 @12 :Void;
    call @13 :Call;
    reply @14 :Reply;
    leaving @15 :Leaving;
  }
}

# First frame in each direction. The proof is an HMAC with the fleet secret over the
# nonces of both sides, among other fields.
struct Hello {
  instanceId @0 :Text;
  nonce @1 :Data;
  proof @2 :Data;
  incarnation @3 :Text;
}

struct Open {
  requestId @0 :Text;
  attempt @1 :UInt32;
  streaming @2 :Bool;
  idempotent @3 :Bool;
  crashIds @4 :Text;
  workspace @5 :Text;
  rank @6 :Text;
  route @7 :Text;
  pool @8 :Text;
  model @9 :Text;
  chatKey @10 :Text;
  idempotencyKey @11 :Text;
  method @12 :Text;
  path @13 :Text;
  contentType @14 :Text;
  body @15 :Data;
  contentDigest @16 :Text;
  promptTokens @17 :UInt32;
  maxTokens @18 :UInt32;
  deadlineMs @19 :UInt32;
  traceparent @20 :Text;
  configVersion @21 :UInt64;
  engineVersion @22 :Text;
  resumeEvents @23 :UInt32;
  resumeText @24 :Text;
  cacheSource @25 :Text;
  headers @26 :Text;
  roomWaitMs @27 :UInt32;
}

struct Accepted {
  requestId @0 :Text;
  engineVersion @1 :Text;
  configVersion @2 :UInt64;
}

struct Chunk {
  requestId @0 :Text;
  sequence @1 :UInt32;
  data @2 :Data;
}

# Ends a complete response, with the number of its chunks and the digest of their bytes.
struct Final {
  requestId @0 :Text;
  status @1 :UInt16;
  contentType @2 :Text;
  chunkCount @3 :UInt32;
  digest @4 :UInt64;
  replayed @5 :Bool;
  headers @6 :Text;
}

struct Refused {
  requestId @0 :Text;
  kind @1 :Text;
  reason @2 :Text;
  outcome @3 :Text;
  retryAfterS @4 :Float64;
  hint @5 :Text;
  configVersion @6 :UInt64;
  crashIds @7 :Text;
}

struct Cancel {
  requestId @0 :Text;
}

struct Attach {
  requestId @0 :Text;
  workspace @1 :Text;
  nextSequence @2 :UInt32;
}

# Flow control: allows the sender to send chunks with a sequence below untilSequence.
struct Credit {
  requestId @0 :Text;
  untilSequence @1 :UInt32;
}

# Call of a method that the other process has registered, answered by a Reply.
struct Call {
  callId @0 :UInt64;
  method @1 :Text;
  payload @2 :Data;
}

struct Reply {
  callId @0 :UInt64;
  payload @1 :Data;
  kind @2 :Text;
  reason @3 :Text;
}

struct Leaving {
  instanceId @0 :Text;
}
