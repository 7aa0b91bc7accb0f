@0xd3a1f0c27be94c15;

using import "limit_messages.capnp".ColdServer;
using import "limit_messages.capnp".LimitStatement;

# Messages between routers that call backend servers directly.

struct RouterReport {
  sender @0 :Text;
  startedAtMs @1 :UInt64;
  sequence @2 :UInt32;
  configVersion @3 :Int64;
  peers @4 :UInt16;
  loads @5 :List(RouterLoad);
  serversDigest @6 :UInt64;
  serversAgeMs @7 :Int64;
  suspects @8 :List(SuspectContent);
  hasFastLink @9 :Bool;
  statements @10 :List(ServerStatement);
  # One more than the epoch of the store; zero if that is not known.
  nextStoreEpoch @11 :UInt64;
  leavings @12 :List(ServerLeaving);
  limits @13 :List(LimitStatement);
  evacuations @14 :List(ZoneEvacuation);
  coldServers @15 :List(ColdServer);
  cachedParts @16 :List(CachedPart);
  # One more than the age; zero if the version was never confirmed.
  nextConfigAgeMs @17 :UInt32;
  # Of the evacuations in force; one more than the age, zero if never confirmed.
  nextEvacuationsAgeMs @18 :UInt32;
  evacuationsDigest @19 :UInt64;
  # Of the number of routers; one more than the age, zero if it is not stated.
  nextPeersAgeMs @20 :UInt32;
}

struct ZoneEvacuation {
  zone @0 :UInt64;
  evacuatedEpoch @1 :UInt64;
  evacuatedRevision @2 :UInt64;
  # One more than the epoch; zero while the evacuation is in force.
  nextReturnedEpoch @3 :UInt64;
  returnedRevision @4 :UInt64;
  isWritten @5 :Bool;
  ageMs @6 :UInt32;
}

struct CachedPart {
  server @0 :UInt64;
  part @1 :UInt32;
  tokens @2 :UInt16;
  ageMs @3 :UInt16;
}

struct ServerLeaving {
  server @0 :UInt64;
  startedAtMs @1 :UInt64;
  reportNumber @2 :UInt32;
  # As in a report.
  nextStoreEpoch @3 :UInt64;
  ageMs @4 :UInt16;
}

struct SuspectContent {
  # The first two fields are those of former builds, which pass over entries without them.
  obsoleteDigest @0 :Text;
  obsoleteCrashIds @1 :List(Text);
  contentHash @2 :UInt64;
  crashes @3 :List(SuspectCrash);
  # Zero if the content was never answered, else one more than the age.
  answerAgeMs @4 :UInt32;
  isRequest @5 :Bool;
}

struct SuspectCrash {
  crashHash @0 :UInt32;
  ageMs @1 :UInt32;
}

struct ServerStatement {
  server @0 :UInt64;
  requests @1 :UInt16;
  ageMs @2 :UInt16;
}

struct RouterLoad {
  server @0 :UInt64;
  requests @1 :UInt16;
  promptTokens @2 :UInt32;
  heldTokens @3 :UInt32;
  isSuspected @4 :Bool;
}

struct Snapshot {
  entries @0 :List(SnapshotEntry);
  serversAgeMs @1 :Int64;
  # As in a report.
  nextStoreEpoch @2 :UInt64;
}

struct SnapshotEntry {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  storeEpoch @3 :UInt64;
}
