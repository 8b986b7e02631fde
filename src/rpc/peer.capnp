@0xb8f1c4d2a7e93561;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pistachiowood::wire");

# RPC between daemons. Statements and control messages use separate connections and ports.

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
  # Executes one attempt at an endpoint that the receiver owns.
  execute @0 (request :AttemptRequest) -> (answer :AttemptAnswer);
}

struct StoredObject {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
  operationId @3 :Text;
  json @4 :Text;
  # Era of the version, and position in the writer's own count.
  era @5 :UInt64;
  incarnation @6 :UInt64;
  change @7 :UInt64;
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
  # Delivers one membership message; the receiver answers with a separate gossip call.
  gossip @0 (message :GossipMessage) -> ();
  # Returns the receiver's copy of the configuration.
  fetchConfiguration @1 () -> (snapshot :ConfigurationSnapshot);
  # Returns the receiver's status of one service, or of all services when the name is empty.
  fetchStatuses @2 (service :Text) -> (statuses :List(StoredObject));
  # Delivers newer service statuses.
  announceStatuses @3 (statuses :List(StoredObject)) -> ();
  # Asks whether the receiver reaches the primary; `known` is false when it lacks evidence.
  confirmReachable @4 (service :Text, endpoint :Text) -> (known :Bool, reachable :Bool);
}

# Copy of one group of the platform's objects.
struct GroupCopy {
  version @0 :UInt64;
  # False when the receiver's copy is not older; the other fields are then empty.
  present @1 :Bool;
  items @2 :List(StoredObject);
  # True when `items` holds only the objects that changed after version `since`.
  partial @3 :Bool;
  since @4 :UInt64;
  # Names of the objects that were removed after version `since`.
  removed @5 :List(Text);
  # Era of the store to which `version` and `since` belong.
  era @6 :UInt64;
  # Objects of earlier eras that the store has lost.
  carried @7 :List(StoredObject);
  # Digests of further objects that the receiver holds in its own era.
  known @8 :List(UInt64);
}

# Reachability of one primary as seen by the sender; a negative age means never.
struct PrimaryReport {
  service @0 :Text;
  endpoint @1 :Text;
  replyAgeMs @2 :Int64;
  failingAgeMs @3 :Int64;
  # Version of the service record that made the endpoint the primary.
  epoch @4 :UInt64;
  # Position that the primary reported, and the time since it was asked; a negative age means that
  # there is none.
  term @5 :UInt64;
  position @6 :UInt64;
  positionAgeMs @7 :Int64;
}

# State of the platform's objects and of the primaries, sent from one daemon to another.
struct PeerReport {
  vm @0 :Text;
  # Versions of the sender's copies of the groups, in the order of ObjectGroup.
  versions @1 :List(UInt64);
  # Version of the service records that the sender's traffic thread applies.
  obeyedRecords @2 :UInt64;
  # Time since the sender's records were known to be complete; negative means never.
  confirmedAgeMs @3 :Int64;
  # In a request: asks the receiver for a promise. In an answer: the sender promises to announce no
  # replacement of a primary for the lifetime of a permission.
  promise @4 :Bool;
  primaries @5 :List(PrimaryReport);
  copies @6 :List(GroupCopy);
  # Asks the receiver to include the configuration in its answer even if it is large.
  wantsConfiguration @7 :Bool;
  # Time since the store confirmed the sender's records, directly or through a peer; negative means
  # never.
  storeConfirmedAgeMs @8 :Int64;
  # Eras of `versions`, in the same order.
  eras @9 :List(UInt64);
  # Digests of the objects that the sender keeps from earlier eras, in the same order.
  carriedDigests @10 :List(UInt64);
  # Era of `obeyedRecords`.
  obeyedEra @11 :UInt64;
  # Newest era of which the sender, in this run and as a member, held the complete records.
  confirmedEra @12 :UInt64;
  # Asks the receiver to include groups of a later era than the sender's in its answer.
  wantsEra @13 :Bool;
  # These groups shall leave out no object.
  wantsWhole @14 :Bool;
  # The sender takes large copies from another peer, unless it asks for them here.
  declinesCopies @15 :Bool;
}

# What a daemon holds and needs of one limited customer.
struct AllotmentNeed {
  customer @0 :Text;
  rate @1 :Float32;
  capacity @2 :Float32;
  level @3 :Float32;
  returned @4 :Float32;
  demand @5 :Float32;
  waiting @6 :UInt32;
}

# All that a daemon holds in one group of customers.
struct AllotmentGroup {
  group @0 :UInt8;
  sequence @1 :UInt64;
  # Time since the sender turned to the receiver as its coordinator.
  followedMs @2 :UInt32;
  needs @3 :List(AllotmentNeed);
}

struct AllotmentGrant {
  customer @0 :Text;
  # Limit of which rate and capacity are a part.
  limitRate @1 :Float32;
  limitBurst @2 :Float32;
  rate @3 :Float32;
  capacity @4 :Float32;
  tokens @5 :Float32;
  refuseMs @6 :UInt32;
}

struct AllotmentGrants {
  group @0 :UInt8;
  # 0 leases, 1 tokens only, 2 resigned.
  kind @1 :UInt8;
  grants @2 :List(AllotmentGrant);
}

interface Peer {
  # Delivers the sender's report and returns the receiver's.
  exchange @0 (report :PeerReport) -> (report :PeerReport);
  # Asks a coordinator for parts of the limits of customers.
  allot @1 (vm :Text, process :UInt64, groups :List(AllotmentGroup)) -> (groups :List(AllotmentGrants));
}
