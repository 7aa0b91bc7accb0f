@0xd2a91c6be07f4385;

# The instance list of one region, as known to a process.

struct ListState {
  revision @0 :UInt64;
  digest @1 :UInt64;
  entityTag @2 :Text;
  # Milliseconds since the platform confirmed this list.
  ageMs @3 :UInt32;
  # Applied to this revision or a later one, the changes give `revision`.
  base @4 :UInt64;
  changed @5 :List(Instance);
  removed @6 :List(Text);
}

struct Instance {
  instanceId @0 :Text;
  isAgent @1 :Bool;
  isLeaving @2 :Bool;
  pool @3 :Text;
  availabilityZone @4 :Text;
  region @5 :Text;
  address @6 :Text;
  weight @7 :Float64;
}
