@0xd8f3c1b7a96e4f25;

# Load exchange between processes. Instances, pools and workspaces are identified by
# the 64-bit hash of their names, so that every entry has a fixed size.

struct LoadMessage {
  pool @0 :UInt64;
  configVersion @1 :UInt64;
  samples @2 :List(LoadSample);
  usage @3 :List(WorkspaceUsage);
  suspects @4 :List(UInt64);
}

struct LoadSample {
  instance @0 :UInt64;
  load @1 :Float32;
  drainRate @2 :Float32;
  ageMs @3 :UInt32;
  leaving @4 :Bool;
}

struct WorkspaceUsage {
  workspace @0 :UInt64;
  costPerSecond @1 :Float32;
}
