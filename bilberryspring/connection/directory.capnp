@0xb6d7e20f4c9a8153;

# Directory entry for the KV cache of a chat.

struct CacheLocation {
  chatKey @0 :Text;
  holder @1 :Text;
  prefixDigest @2 :Text;
  messageCount @3 :UInt32;
  messagesDigest @4 :Text;
  tokens @5 :UInt32;
  engineVersion @6 :Text;
}
