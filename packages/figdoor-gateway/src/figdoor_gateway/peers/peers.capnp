# Messages between figdoor nodes. Each struct of a datagram has the fields of a
# message type in figdoor_kernel and the serialized name of that type. Field
# numbers are never reused.

@0xb3f1c2d47a9e6058;

struct Packet {
  # One UDP datagram.
  sender @0 :Text;
  union {
    heartbeat @1 :Heartbeat;
    heartbeatAck @2 :HeartbeatAck;
    newsRequest @3 :NewsRequest;
    farewell @4 :Farewell;
    permitRequest @5 :PermitRequest;
    permitAnswer @6 :PermitAnswer;
    permitReturn @7 :PermitReturn;
    flooded @8 :Flooded;
    digest @9 :Digest;
    itemsPush @10 :ItemsPush;
    allowancePoll @11 :AllowancePoll;
    allowanceLease @12 :AllowanceLease;
    allowanceRequest @13 :AllowanceRequest;
    allowanceAnswer @14 :AllowanceAnswer;
  }
}

struct Heartbeat {
  tokenMs @0 :Float64;
  revision @1 :UInt64;
  recent @2 :List(UInt64);
}

struct HeartbeatAck {
  tokenMs @0 :Float64;
  revision @1 :UInt64;
}

struct NewsRequest {
  sequences @0 :List(UInt64);
}

struct Farewell {
}

struct PermitRequest {
  upstream @0 :Text;
  tokenMs @1 :Float64;
  deadlineInMs @2 :Float64;
  instance @3 :Text;
}

struct PermitAnswer {
  upstream @0 :Text;
  tokenMs @1 :Float64;
  granted @2 :Bool;
  warmInstance @3 :Text;
}

struct PermitReturn {
  upstream @0 :Text;
  tokenMs @1 :Float64;
  succeeded @2 :Bool;
  instance @3 :Text;
}

struct Digest {
  asOf @0 :UInt64;
  newest @1 :UInt64;
  storeAgeMs @2 :Float64;
  wantsReply @3 :Bool;
  members @4 :List(VmRow);
  agesMs @5 :List(UInt64);
  memberCount @6 :UInt64;
  # A position in the store is a revision and its era.
  asOfEra @7 :UInt64;
  newestEra @8 :UInt64;
}

struct ItemsPush {
  base @0 :UInt64;
  asOf @1 :UInt64;
  storeAgeMs @2 :Float64;
  items @3 :List(Item);
  baseEra @4 :UInt64;
  asOfEra @5 :UInt64;
}

struct AllowancePoll {
  tokenMs @0 :Float64;
  memberCount @1 :UInt64;
}

struct AllowanceLease {
  tokenMs @0 :Float64;
  addsStart @1 :Bool;
  memberCount @2 :UInt64;
}

struct AllowanceRequest {
  tenant @0 :Text;
  number @1 :UInt64;
}

struct AllowanceAnswer {
  number @0 :UInt64;
  granted @1 :Bool;
  roomInMs @2 :Float64;
}

struct Item {
  # One published item or its removal.
  key @0 :Text;
  revision @1 :UInt64;
  isRemoved @2 :Bool;
  content @3 :Data;
  # In answers only, and only if the request accepts it: ``content`` is
  # compressed and, unless ``base`` is 0, the difference from that revision.
  isShortened @4 :Bool;
  base @5 :UInt64;
  era @6 :UInt64;
  baseEra @7 :UInt64;
}

struct ItemsRequest {
  # The only request on a TCP connection between nodes that read a store.
  sender @0 :Text;
  after @1 :UInt64;
  acceptsShortened @2 :Bool;
  # The revisions of the large items that the requesting node has, all of the
  # era of ``after``.
  bases @3 :List(UInt64);
  era @4 :UInt64;
  # Whether the node asks for state in the place of items.
  wantsState @5 :Bool;
}

struct ItemsAnswer {
  # The only answer to an ItemsRequest.
  asOf @0 :UInt64;
  isWhole @1 :Bool;
  ageMs @2 :Float64;
  items @3 :List(Item);
  # The keys of all items that exist, if ``items`` may lack removals.
  existingKeys @4 :List(Text);
  asOfEra @5 :UInt64;
  # Only if the request asks for it; nodes of earlier releases send none.
  state @6 :TransferredState;
}

struct TransferredState {
  suspects @0 :List(SuspectedRequest);
  leaving @1 :List(UpstreamDraining);
  isSettled @2 :Bool;
}

struct SuspectedRequest {
  route @0 :Text;
  fingerprint @1 :UInt64;
  crashes @2 :List(ObservedCrash);
  # -1 if no answer cleared it.
  clearedAgeMs @3 :Float64;
}

struct ObservedCrash {
  upstream @0 :Text;
  instance @1 :Text;
  ageMs @2 :Float64;
}

struct Flooded {
  origin @0 :Text;
  sequence @1 :UInt64;
  news @2 :News;
}

struct News {
  union {
    upstreamTurnedCold @0 :UpstreamTurnedCold;
    upstreamWarm @1 :UpstreamWarm;
    upstreamDraining @2 :UpstreamDraining;
    deathSeen @3 :DeathSeen;
    revisionAccepted @4 :RevisionAccepted;
    vmListDifference @5 :VmListDifference;
    upstreamFailing @6 :UpstreamFailing;
  }
}

struct UpstreamTurnedCold {
  upstream @0 :Text;
  instance @1 :Text;
}

struct UpstreamWarm {
  upstream @0 :Text;
  instance @1 :Text;
}

struct UpstreamDraining {
  upstream @0 :Text;
  instance @1 :Text;
}

struct UpstreamFailing {
  upstream @0 :Text;
  instance @1 :Text;
}

struct DeathSeen {
  route @0 :Text;
  fingerprint @1 :UInt64;
  upstream @2 :Text;
  instance @3 :Text;
}

struct RevisionAccepted {
  revision @0 :UInt64;
}

struct VmListDifference {
  base @0 :UInt64;
  target @1 :UInt64;
  checksum @2 :UInt64;
  removed @3 :List(Text);
  listed @4 :List(VmRow);
}

struct SyncRequest {
  # The only request on a TCP connection between nodes that read tables from
  # the configuration service.
  sender @0 :Text;
  after @1 :UInt64;
  wantsSnapshot @2 :Bool;
  wantsVmList @3 :Bool;
}

struct SyncAnswer {
  # The only answer to a SyncRequest. If the requesting node is up to date,
  # revision repeats the field after of the request, and there are neither steps
  # nor texts.
  revision @0 :UInt64;
  checksum @1 :UInt64;
  steps @2 :List(Step);
  isSnapshot @3 :Bool;
  routes @4 :Text;
  pools @5 :Text;
  vms @6 :List(VmRow);
  tenants @7 :Text;
}

struct Step {
  # The changes of the tables in one revision.
  routes @0 :List(Change);
  pools @1 :List(Change);
  tenants @2 :List(Change);
}

struct Change {
  # Replaces as many rows as removed says, from row start on, by those in added.
  # Rows of the older text are counted from 0.
  start @0 :UInt32;
  removed @1 :UInt32;
  added @2 :List(Text);
}

struct VmRow {
  id @0 :Text;
  service @1 :Text;
  availabilityZone @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
  state @5 :Text;
}
