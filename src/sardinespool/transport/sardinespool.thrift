// Frames between the processes of a deployment.
// Regenerate with: thrift --gen py -out transport/generated FILE
namespace py frames

enum FrameKind {
  HELLO = 1,
  PEER = 2,
  CALL = 3,
  REPLY = 4
}

struct Frame {
  1: required FrameKind kind,
  2: optional i64 call_id,
  3: optional string group,
  4: optional string sender,
  5: optional binary body,
  6: optional string token,
  7: optional i32 protocol_version,
  8: optional i64 deadline_unix_ms
}
