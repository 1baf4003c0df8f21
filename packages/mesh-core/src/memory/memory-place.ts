/** Where a process holds bytes that come from others. */
export const MemoryPlace = {
  /** Connections of callers, with what they have sent and is not parsed, and the heads of requests until they are answered. */
  CallerRequest: 'caller-request',
  /** Connections of other nodes, with short frames that are incomplete or that they have not read. */
  PeerConnection: 'peer-connection',
  /** Calls of a gate: the heads of requests in progress, and the records of finished ones. */
  GateCall: 'gate-call',
  /** Connections to the ports for readiness, metrics and reports, with their requests and responses. */
  OperatorRequest: 'operator-request',
  /** Bodies of callers' requests, from their first byte until the request is answered. */
  CallerBody: 'caller-body',
  /** Answers that callers have not read yet. */
  CallerAnswer: 'caller-answer',
  /** Long frames of other nodes that are being read, and bodies of requests at the gate. */
  PeerInput: 'peer-input',
  /** Bodies in frames that other nodes have not read yet. */
  PeerOutput: 'peer-output',
  /** Answers of the server that are being read. */
  ServerAnswer: 'server-answer',
  /** Answers of the server that the gate keeps in case an entry asks for them again. */
  RetainedAnswer: 'retained-answer',
} as const;
export type MemoryPlace = (typeof MemoryPlace)[keyof typeof MemoryPlace];
