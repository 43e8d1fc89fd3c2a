@0xd3a1f0b2c4e59687;
# Inner protocol between the processes. Evolution rule: fields and methods are only added, never
# renumbered or reused, so that processes of adjacent versions work together.

enum Verdict {
  answered @0;
  notRun @1;
  mayHaveRun @2;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Segment {
  version @0 :Int64;
  tokens @1 :UInt32;
}

struct Attempt {
  requestId @0 :Text;
  attemptId @1 :Text;
  target @2 :Text;
  incarnation @3 :UInt64;
  # On the clock of the agent, which its hello reported. A delayed message keeps its deadline.
  deadlineMs @4 :UInt64;
  idempotent @5 :Bool;
  priority @6 :Text;
  method @7 :Text;
  path @8 :Text;
  headers @9 :List(Header);
  body @10 :Data;
  stream @11 :Bool;
  lot @12 :Text;
  minVersion @13 :Int64;
  trainer @14 :Text;
  # Charged to the trainer when a rollout starts; 0 for requests without an estimate.
  expectedTokens @15 :UInt32;
}

struct Outcome {
  verdict @0 :Verdict;
  code @1 :Text;
  status @2 :UInt16;
  headers @3 :List(Header);
  body @4 :Data;
  segments @5 :List(Segment);
  retryAfterMs @6 :UInt32;
  evidence @7 :Text;
  load @8 :UInt32;
}

struct Hello {
  protocol @0 :UInt16;
  name @1 :Text;
  role @2 :Text;
  dataCentre @3 :Text;
  incarnation @4 :UInt64;
  generation @5 :UInt64;
  # Milliseconds on the sender's monotonic clock.
  clockMs @6 :UInt64;
}

interface ChunkSink {
  begin @0 (status :UInt16, headers :List(Header)) -> ();
  write @1 (data :Data) -> stream;
}

interface Daemon {
  hello @0 (hello :Hello) -> (hello :Hello);
  submit @1 (attempt :Attempt, sink :ChunkSink) -> (outcome :Outcome);
  settle @2 (attemptId :Text, incarnation :UInt64, deadlineMs :UInt64, waitMs :UInt32) -> (outcome :Outcome);
  cancel @3 (attemptId :Text) -> ();
  # Control messages: `kind` names a registered message type, `body` is its JSON encoding.
  # A body beyond the size limit of a message is sent in parts, in order; only the reply to the
  # last one has a body.
  control @4 (kind :Text, body :Data, message :UInt64, partsLeft :UInt32) -> (body :Data);
}
