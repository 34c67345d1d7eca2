@0xd1b5c8a94f3e2a77;

struct LogEntry { index @0 :UInt64; term @1 :UInt64; kind @2 :Text; payload @3 :Data; }

struct VoteRequest { term @0 :UInt64; candidate @1 :Text; lastIndex @2 :UInt64; lastTerm @3 :UInt64; pre @4 :Bool; cluster @5 :Text; }
struct VoteReply { term @0 :UInt64; granted @1 :Bool; pre @2 :Bool; }
struct AppendRequest { term @0 :UInt64; leader @1 :Text; prevIndex @2 :UInt64; prevTerm @3 :UInt64; entries @4 :List(LogEntry); commit @5 :UInt64; sentAt @6 :Float64; cluster @7 :Text; }
struct AppendReply { term @0 :UInt64; ok @1 :Bool; matchIndex @2 :UInt64; sentAt @3 :Float64; }
struct InstallSnapshot { term @0 :UInt64; leader @1 :Text; lastIndex @2 :UInt64; lastTerm @3 :UInt64; replicas @4 :List(Text); learners @5 :List(Text); data @6 :Data; sentAt @7 :Float64; cluster @8 :Text; }
struct FoundingProbe { replica @0 :Text; }
struct FoundingReply { replica @0 :Text; cluster @1 :Text; probe @2 :Text; members @3 :List(Text); }
struct Form { cluster @0 :Text; replicas @1 :List(Text); }
struct JoinRequest { replica @0 :Text; }

struct ShardOwner { shard @0 :Text; owner @1 :Text; address @2 :Text; generation @3 :UInt64; }
struct EntryAddress { name @0 :Text; url @1 :Text; zone @2 :Text; leaving @3 :Bool; }
struct SessionHeartbeat { entry @0 :Text; incarnation @1 :Text; sentAt @2 :Float64; revision @3 :UInt64; url @4 :Text; inner @5 :Text; zone @6 :Text; leaving @7 :Bool; streams @8 :UInt32; quarantineVersion @9 :UInt64; tableVersion @10 :UInt64; }
struct SessionGrant { sentAt @0 :Float64; granted @1 :Bool; leader @2 :Text; term @3 :UInt64; revision @4 :UInt64; document @5 :Text; leaseSeconds @6 :Float64; shards @7 :List(ShardOwner); entries @8 :List(EntryAddress); quarantineVersion @9 :UInt64; suspects @10 :List(Suspect); drain @11 :Bool; tableVersion @12 :UInt64; partialEntries @13 :Bool; }
struct Suspect { fingerprint @0 :Text; crashes @1 :UInt32; confirmed @2 :Bool; service @3 :Text; }

struct ClaimRequest { requestId @0 :Text; workspace @1 :Text; key @2 :Text; fingerprint @3 :Text; entry @4 :Text; remaining @5 :Float64; }
struct ClaimReply { requestId @0 :Text; status @1 :Text; httpStatus @2 :UInt32; body @3 :Text; }
struct ClaimSettle { requestId @0 :Text; workspace @1 :Text; key @2 :Text; outcome @3 :Text; httpStatus @4 :UInt32; body @5 :Text; }
struct SuspectReport { reportId @0 :Text; service @1 :Text; fingerprints @2 :List(Text); lonely @3 :List(Text); cleared @4 :List(Text); }
struct Settled { id @0 :Text; version @1 :UInt64; }

struct Reserve { requestId @0 :Text; attempt @1 :UInt32; service @2 :Text; shard @3 :Text; generation @4 :UInt64; workspace @5 :Text; model @6 :Text; promptTokens @7 :UInt32; outputTokens @8 :UInt32; prefixHashes @9 :List(UInt64); remaining @10 :Float64; entry @11 :Text; entryAddress @12 :Text; zone @13 :Text; excluded @14 :List(Text); fingerprint @15 :Text; idempotent @16 :Bool; }
struct Grant { requestId @0 :Text; attempt @1 :UInt32; shard @2 :Text; generation @3 :UInt64; servers @4 :List(Text); urls @5 :List(Text); tokens @6 :List(UInt32); priority @7 :Int32; predictedPrefill @8 :Float64; cachedTokens @9 :UInt32; }
struct Refuse { requestId @0 :Text; attempt @1 :UInt32; code @2 :Text; text @3 :Text; retryAfter @4 :Float64; }
struct Release { requestId @0 :Text; attempt @1 :UInt32; shard @2 :Text; result @3 :Text; server @4 :Text; }
struct PrefillDone { requestId @0 :Text; attempt @1 :UInt32; shard @2 :Text; seconds @3 :Float64; }
struct HeldReservation { requestId @0 :Text; attempt @1 :UInt32; servers @2 :List(Text); tokens @3 :List(UInt32); fingerprint @4 :Text; prefillDone @5 :Bool; }
struct HoldReport { entry @0 :Text; entryAddress @1 :Text; shard @2 :Text; held @3 :List(HeldReservation); waiting @4 :List(Text); full @5 :Bool; renewed @6 :List(Text); }
struct HoldUnknown { shard @0 :Text; generation @1 :UInt64; }
struct ServerLeaving { requestId @0 :Text; attempt @1 :UInt32; shard @2 :Text; server @3 :Text; }
struct Announcement { server @0 :Text; service @1 :Text; incarnation @2 :UInt64; sequence @3 :UInt64; leaving @4 :Bool; url @5 :Text; zone @6 :Text; memoryTokens @7 :UInt64; slots @8 :UInt32; prefillRate @9 :Float64; decodeSeconds @10 :Float64; models @11 :List(Text); honoursFencing @12 :Bool; running @13 :UInt32; memoryUsed @14 :UInt64; cacheSequence @15 :UInt64; cached @16 :List(UInt64); evicted @17 :List(UInt64); role @18 :Text; highestFence @19 :UInt64; }
struct Ping { sequence @0 :UInt64; }
struct Pong { sequence @0 :UInt64; }

struct EntryRecord { entry @0 :Text; incarnation @1 :Text; callers @2 :Text; inner @3 :Text; zone @4 :Text; ready @5 :Bool; leaving @6 :Bool; sequence @7 :UInt64; age @8 :Float64; born @9 :Float64; gone @10 :Bool; cutOff @11 :Bool; }
struct ServerRecord { server @0 :Text; service @1 :Text; address @2 :Text; zone @3 :Text; software @4 :Text; slots @5 :UInt32; leaving @6 :Bool; coldSeconds @7 :Float64; sequence @8 :UInt64; born @9 :UInt64; age @10 :Float64; gone @11 :Bool; silent @12 :Bool; }
struct CrashRecord { fingerprint @0 :Text; server @1 :Text; born @2 :UInt64; age @3 :Float64; seconds @4 :Float64; isClearance @5 :Bool; }
struct Subscribe { name @0 :Text; version @1 :UInt64; isControl @2 :Bool; entries @3 :List(EntryRecord); crashes @4 :List(CrashRecord); control @5 :Text; standby @6 :Bool; }
struct ClusterUpdate { version @0 :UInt64; document @1 :Data; confirmed @2 :Bool; controls @3 :List(Text); servers @4 :List(ServerRecord); entries @5 :List(EntryRecord); crashes @6 :List(CrashRecord); zone @7 :Text; }
struct DeclareRequest { requestId @0 :Text; version @1 :UInt64; document @2 :Data; }
struct DeclareReply { requestId @0 :Text; accepted @1 :Bool; version @2 :UInt64; code @3 :Text; text @4 :Text; }
struct ReadRequest { requestId @0 :Text; knownVersion @1 :UInt64; }
struct ReadReply { requestId @0 :Text; confirmed @1 :Bool; version @2 :UInt64; document @3 :Data; }
# Not sent any more; LoadReport has `servers` and `loads` instead.
struct EngineLoad { server @0 :Text; strict @1 :UInt32; relaxed @2 :UInt32; patient @3 :UInt32; readingSeconds @4 :Float32; partSeconds @5 :Float32; memoryTokens @6 :UInt32; helping @7 :UInt32; readingCredit @8 :Float32; }
struct LoadReport { entry @0 :Text; incarnation @1 :Text; sequence @2 :UInt64; engines @3 :List(EngineLoad); zone @4 :Text; isSummary @5 :Bool; part @6 :UInt32; onlyChanges @7 :Bool; servers @8 :List(Text); loads @9 :List(Float32); forwarded @10 :Bool; validSeconds @11 :Float32; services @12 :List(Text); arrivals @13 :List(Float32); statedServers @14 :List(Text); statements @15 :List(Float64); requestRates @16 :List(Float32); contendingServices @17 :List(Text); contendingWorkspaces @18 :List(Text); contention @19 :List(Float32); }

struct Frame {
  sender @0 :Text;
  clock @27 :UInt64;
  union {
    voteRequest @1 :VoteRequest;
    voteReply @2 :VoteReply;
    appendRequest @3 :AppendRequest;
    appendReply @4 :AppendReply;
    installSnapshot @5 :InstallSnapshot;
    foundingProbe @6 :FoundingProbe;
    foundingReply @7 :FoundingReply;
    form @8 :Form;
    joinRequest @9 :JoinRequest;
    sessionHeartbeat @10 :SessionHeartbeat;
    sessionGrant @11 :SessionGrant;
    claimRequest @12 :ClaimRequest;
    claimReply @13 :ClaimReply;
    claimSettle @14 :ClaimSettle;
    suspectReport @15 :SuspectReport;
    settled @16 :Settled;
    reserve @17 :Reserve;
    grant @18 :Grant;
    refuse @19 :Refuse;
    release @20 :Release;
    prefillDone @21 :PrefillDone;
    holdReport @22 :HoldReport;
    holdUnknown @23 :HoldUnknown;
    announcement @24 :Announcement;
    ping @25 :Ping;
    pong @26 :Pong;
    subscribe @28 :Subscribe;
    clusterUpdate @29 :ClusterUpdate;
    declareRequest @30 :DeclareRequest;
    declareReply @31 :DeclareReply;
    readRequest @32 :ReadRequest;
    readReply @33 :ReadReply;
    loadReport @34 :LoadReport;
    serverLeaving @35 :ServerLeaving;
  }
}
