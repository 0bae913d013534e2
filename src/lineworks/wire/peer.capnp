# Schema of the link between two instances. Lists that belong together are columns: entry i of
# each describes item i. Times are microseconds; deadlines travel as remaining time.
@0xc2f1d5a6b8e94f03;

struct Frame {
  union {
    challenge @0 :Challenge;
    hello @1 :Hello;
    heartbeat @2 :Heartbeat;
    subQueries @3 :SubQueries;
    cancel @4 :Cancel;
    replies @5 :Replies;
    holdings @6 :Holdings;
    configPull @7 :ConfigPull;
    configChanges @8 :ConfigChanges;
    relay @9 :Relay;
    relayReply @10 :RelayReply;
    gatherQuery @11 :GatherQuery;
    gatherParts @12 :GatherParts;
    gatherCancel @13 :GatherCancel;
    targetUpdate @14 :TargetUpdate;
    tableUpdate @15 :TableUpdate;
    tablePull @16 :TablePull;
    extraAsk @17 :ExtraAsk;
    extraGrant @18 :ExtraGrant;
    creditPull @19 :CreditPull;
    creditShare @20 :CreditShare;
    targetReports @21 :TargetReports;
    suspectReports @22 :SuspectReports;
    quotaAsk @23 :QuotaAsk;
    quotaGrant @24 :QuotaGrant;
    quotaReturn @25 :QuotaReturn;
    quotaPull @26 :QuotaPull;
    quotaShare @27 :QuotaShare;
  }
}

struct Challenge { nonce @0 :Data; }

struct Hello {
  name @0 :Text;
  hall @1 :Text;
  incarnation @2 :Text;
  mac @3 :Data;
}

struct Heartbeat {
  isLeaving @0 :Bool;
  configVersion @1 :UInt64;
  configDigest @2 :Text;
  instances @3 :UInt32;
  storeEra @4 :UInt64;
  gatherRate @5 :Float64;
}

struct SubQueries {
  frame @0 :UInt64;
  query @1 :Text;
  hall @2 :Text;
  snapshotVersion @3 :UInt64;
  snapshotLayout @4 :Text;
  services @5 :List(Text);
  shards @6 :List(Text);
  body @7 :Data;
  remaining @8 :UInt32;
  isRepeatable @9 :Bool;
  needsSnapshot @10 :Bool;
  group @11 :Text;
  hedgeBudget @12 :Float32;
  networkDelay @13 :UInt32;
}

struct Cancel { frame @0 :UInt64; indices @1 :List(UInt32); }

struct Replies {
  frames @0 :List(UInt64);
  indices @1 :List(UInt32);
  certainties @2 :List(UInt8);
  reasons @3 :List(UInt8);
  details @4 :List(Text);
  snapshots @5 :List(Text);
  bodies @6 :List(Data);
  waits @7 :List(UInt32);
  targets @8 :List(Text);
  attempts @9 :List(UInt16);
}

struct Holdings { services @0 :List(Text); snapshots @1 :List(Text); }

struct ConfigPull { version @0 :UInt64; digest @1 :Text; }

struct ConfigChanges { document @0 :Data; }

struct Relay {
  number @0 :UInt64;
  ticket @1 :Text;
  document @2 :Data;
  remaining @3 :UInt32;
}

struct RelayReply { number @0 :UInt64; document @1 :Data; }

struct GatherQuery {
  number @0 :UInt64;
  services @1 :List(Text);
  head @2 :Data;
  body @3 :Data;
  attempt @4 :Data;
  top @5 :UInt32;
  floor @6 :Data;
  remaining @7 :UInt32;
  flushIn @8 :UInt32;
  isFair @9 :Bool;
  workspace @10 :Text;
  priority @11 :Int32;
  dueIn @12 :UInt32;
  hasQuota @13 :Bool;
}

struct GatherParts {
  number @0 :UInt64;
  shards @1 :List(UInt16);
  stamps @2 :List(Text);
  records @3 :Data;
  failed @4 :List(UInt16);
  failures @5 :List(UInt8);
  counts @6 :List(UInt16);
  broken @7 :List(Text);
}

struct GatherCancel { number @0 :UInt64; shards @1 :List(UInt16); }

struct TargetUpdate {
  fromRevision @0 :UInt64;
  toRevision @1 :UInt64;
  age @2 :UInt32;
  document @3 :Data;
  evacuations @4 :List(Evacuation);
  fromEra @5 :UInt64;
  toEra @6 :UInt64;
  unsettled @7 :Data;
}

struct Evacuation {
  hall @0 :Text;
  revision @1 :UInt64;
  isAsked @2 :Bool;
  era @3 :UInt64;
}

struct TableUpdate { version @0 :UInt64; document @1 :Data; era @2 :UInt64; }

struct TablePull { version @0 :UInt64; }

struct ExtraAsk { number @0 :UInt64; hedges @1 :List(Text); retries @2 :List(Text); }

struct ExtraGrant { number @0 :UInt64; services @1 :List(Text); }

struct CreditPull { number @0 :UInt64; }

# Kinds as in decisions/target_evidence.py; factors in hundredths.
struct TargetReports {
  targets @0 :List(Text);
  kinds @1 :List(UInt8);
  factors @2 :List(UInt16);
  isBelief @3 :Bool;
}

# Millionths of an extra attempt.
struct CreditShare { number @0 :UInt64; amount @1 :UInt32; }

# Records one after the other, the ends of all in one list: `counts` says how many belong to each.
# Ages in microseconds; flags: 1 for a trial, 2 for a proven end.
struct SuspectReports {
  contents @0 :List(Text);
  epochs @1 :List(UInt32);
  cleared @2 :List(Bool);
  clearedAges @3 :List(UInt64);
  counts @4 :List(UInt16);
  targets @5 :List(Text);
  ages @6 :List(UInt64);
  flags @7 :List(UInt8);
  attempts @8 :List(Text);
}

struct QuotaAsk { number @0 :UInt64; workspace @1 :Text; version @2 :UInt64; }

# Decisions as in decisions/quota.py.
struct QuotaGrant { number @0 :UInt64; decision @1 :UInt8; retryAfter @2 :UInt32; }

struct QuotaReturn { number @0 :UInt64; }

# Millionths of a token.
struct QuotaPull { number @0 :UInt64; workspace @1 :Text; amount @2 :UInt32; }

struct QuotaShare { number @0 :UInt64; amount @1 :UInt32; }
