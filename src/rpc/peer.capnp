@0xb8f1c4d2a7e93561;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pistachiowood::wire");

# Messages between daemons. Traffic and control use separate connections and ports.

struct Report {
  term @0 :UInt64;
  position @1 :UInt64;
  lastEntryTerm @2 :UInt64;
  isPrimary @3 :Bool;
  ageMs @4 :Int64;
}

struct AttemptRequest {
  operation @0 :UInt8;
  service @1 :Text;
  endpoint @2 :Text;
  term @3 :UInt64;
  kind @4 :UInt8;
  statement @5 :Text;
  requestId @6 :Text;
  fairnessKey @7 :Text;
  remainingMs @8 :Int64;
  transaction @9 :Text;
  minPosition @10 :UInt64;
  maxAgeMs @11 :Int64;
}

struct AttemptAnswer {
  state @0 :UInt8;
  result @1 :Text;
  report @2 :Report;
  entryPosition @3 :UInt64;
  durable @4 :Bool;
  duplicate @5 :Bool;
  resolvedCommitted @6 :Bool;
  transaction @7 :Text;
  refusal @8 :UInt8;
  errorCode @9 :UInt8;
  errorMessage @10 :Text;
}

interface Traffic {
  # Executes one attempt at an endpoint that the called daemon owns.
  execute @0 (request :AttemptRequest) -> (answer :AttemptAnswer);
}

struct StoredObject {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
  operationId @3 :Text;
  json @4 :Text;
}

struct ConfigurationSnapshot {
  version @0 :UInt64;
  objects @1 :List(StoredObject);
}

struct Member {
  vm @0 :Text;
  zone @1 :Text;
  region @2 :Text;
  control @3 :Text;
  traffic @4 :Text;
  admin @5 :Text;
  incarnation @6 :UInt64;
  state @7 :UInt8;
  appliedVersion @8 :UInt64;
  statusDigest @9 :UInt64;
}

struct GossipBody {
  sender @0 :Member;
  updates @1 :List(Member);
  summaryVersion @2 :UInt64;
  rosterDigest @3 :UInt64;
  summaryBits @4 :Data;
}

struct GossipMessage {
  body @0 :GossipBody;
  sequence @1 :UInt64;
  union {
    ping @2 :Void;
    # Id of the member that answered.
    ack @3 :Text;
    pingRequest :group {
      target @4 :Text;
      targetAddress @5 :Text;
    }
    join @6 :Void;
    joinAnswer @7 :List(Member);
  }
}

interface Control {
  # Delivers one membership message; answers are messages of their own.
  gossip @0 (message :GossipMessage) -> ();
  # Returns the called daemon's copy of the configuration.
  fetchConfiguration @1 () -> (snapshot :ConfigurationSnapshot);
  # Returns the called daemon's status of one service, or of all when the name is empty.
  fetchStatuses @2 (service :Text) -> (statuses :List(StoredObject));
  # Delivers newer service statuses.
  announceStatuses @3 (statuses :List(StoredObject)) -> ();
  # Asks whether the called daemon reaches the endpoint; not known means no evidence.
  confirmReachable @4 (service :Text, endpoint :Text) -> (known :Bool, reachable :Bool);
}

# One group of the platform's objects as a daemon holds it.
struct GroupCopy {
  version @0 :UInt64;
  # False when the receiver is not older; then the rest is empty.
  present @1 :Bool;
  items @2 :List(StoredObject);
  # True when only the objects changed after the version `since` are in items.
  partial @3 :Bool;
  since @4 :UInt64;
  # Names of objects that are gone since.
  removed @5 :List(Text);
}

# Reachability of one primary, as its sender sees it; a negative age means never.
struct PrimaryReport {
  service @0 :Text;
  endpoint @1 :Text;
  replyAgeMs @2 :Int64;
  failingAgeMs @3 :Int64;
  # Version of the service record that made the endpoint the primary.
  epoch @4 :UInt64;
  # Position that the primary reported, and the time since it was asked; a negative age means none.
  term @5 :UInt64;
  position @6 :UInt64;
  positionAgeMs @7 :Int64;
}

# What a daemon tells a peer of the platform's objects and of the primaries.
struct PeerReport {
  vm @0 :Text;
  # Versions of the groups that the sender holds, in the order of ObjectGroup.
  versions @1 :List(UInt64);
  # Version of the service records that the sender's traffic obeys.
  obeyedRecords @2 :UInt64;
  # Time since the sender's records were known to be complete; negative means never.
  confirmedAgeMs @3 :Int64;
  # Request: asks for the promise. Answer: the sender announces no replacement for the period of a
  # permission.
  promise @4 :Bool;
  primaries @5 :List(PrimaryReport);
  copies @6 :List(GroupCopy);
  # The answer shall hold the configuration even if it is large.
  wantsConfiguration @7 :Bool;
  # Time since the store confirmed the sender's records, to it or to a peer; negative means never.
  storeConfirmedAgeMs @8 :Int64;
}

interface Peer {
  # Exchanges reports.
  exchange @0 (report :PeerReport) -> (report :PeerReport);
}
