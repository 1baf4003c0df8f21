import { deflateRawSync, inflateRawSync } from 'node:zlib';

import { Encoder } from 'cbor-x';

import type {
  ConfigurationFrame,
  CrashRecord,
  EvacuationSnapshot,
  GateLoad,
  MeshFrame,
  MeshNode,
  EndedNodeServer,
} from '@peridotspring/mesh-core';

import {
  FrameFault,
  LengthPrefixedDecoder,
  addLengthPrefix,
  lengthPrefixBytes,
} from '../length-prefixed.js';
import type { DecodeResult, LongFrames } from '../length-prefixed.js';

/** Increment when frames change in a way that older nodes can't decode. */
export const meshProtocolVersion = 2;

/** The first frame that each side sends on a connection. */
export interface MeshHelloFrame {
  readonly kind: 'hello';
  readonly protocol: number;
  readonly node: MeshNode;
  readonly load: GateLoad;
  readonly configurationVersion: number;
  /** Whether the sender can reach the key-value store. */
  readonly reachesStore: boolean;
  /** Number of other nodes that the sender knows; a receiver that knows far more announces them to it. */
  readonly knownNodes: number;
  /** Servers that recently drained or left; a restarted node may not know this of its own server. */
  readonly endedServers?: readonly EndedNodeServer[] | undefined;
  /** The newest store era that the sender has observed. */
  readonly storeEra?: number | undefined;
  /** The evacuated zones that the sender knows of. */
  readonly evacuations?: EvacuationSnapshot | undefined;
  /** Requests that were running on servers that crashed; the sender may know of more. */
  readonly crashRecords?: readonly CrashRecord[] | undefined;
  /** Identifies the connection on both sides. Sent by the node that dialed. */
  readonly connectionId?: string | undefined;
  /** An earlier connection between the two nodes, of which the dialing node knows or suspects that it is dead. */
  readonly replacedId?: string | undefined;
}

/** The fields of the hello frame other than those about the connection and the node's identity. */
export type MeshHelloPayload = Omit<
  MeshHelloFrame,
  'connectionId' | 'kind' | 'node' | 'protocol' | 'replacedId'
>;

/** Liveness check; the receiver answers with a pong. */
export interface PingFrame {
  readonly kind: 'ping';
}

export interface PongFrame {
  readonly kind: 'pong';
}

export type MeshWireFrame = MeshHelloFrame | PingFrame | PongFrame | MeshFrame;

/** Largest body that a frame can carry, in bytes. An answer with a longer one would end the connection between the nodes. */
export const maximumMeshBodyBytes = 67_108_864;
/** Largest encoded frame in bytes: a body and its header fields. */
const maximumFrameBytes = maximumMeshBodyBytes + 1_048_576;
/** Limit until the hello, which holds one node and a few servers, has identified the sender. */
const maximumHelloBytes = 65_536;
/**
 * Limit on the size of a configuration after decompression, which bounds the memory that a small compressed frame can
 * take. It is far above the 1 MiB that a value in the store can have, so it rejects no valid configuration.
 */
const maximumConfigurationBytes = 16_777_216;

/** Field names that are encoded as numbers, in the order of their numbers. Append new names at the end only. */
const fieldNames = [
  'kind',
  'callId',
  'load',
  'state',
  'running',
  'waiting',
  'limit',
  'slowdown',
  'serviceMilliseconds',
  'failureShare',
  'status',
  'headers',
  'body',
  'service',
  'routeName',
  'requestId',
  'callerService',
  'method',
  'path',
  'idempotent',
  'priority',
  'nested',
  'repeat',
  'optional',
  'remainingMilliseconds',
  'targetMilliseconds',
  'reason',
  'expectedMilliseconds',
  'detail',
  'waitMilliseconds',
  'number',
  'ageMilliseconds',
  'keyValidMilliseconds',
  'group',
  'shareCount',
  'stamp',
  'isReturning',
  'needs',
  'isReturned',
  'isLeaving',
  'grants',
  'routeMilliseconds',
  'pipelined',
] as const;

const encoder = new Encoder({
  keyMap: Object.fromEntries(fieldNames.map((name, index) => [name, index + 1])),
  tagUint8Array: false,
  useRecords: false,
});

type FieldType =
  'array' | 'boolean' | 'bytes' | 'headers' | 'load' | 'number' | 'object' | 'string';

const callFields = { callId: 'number' } as const;
const callFieldsWithLoad = { ...callFields, load: 'load' } as const;

/** Required fields of each frame kind and their types. */
const frameShapes: Readonly<Record<MeshWireFrame['kind'], Readonly<Record<string, FieldType>>>> = {
  'allotment-ask': {
    group: 'number',
    isReturning: 'boolean',
    needs: 'array',
    number: 'number',
    shareCount: 'number',
  },
  'allotment-grant': {
    grants: 'array',
    group: 'number',
    isLeaving: 'boolean',
    isReturned: 'boolean',
    number: 'number',
    stamp: 'number',
  },
  answered: { ...callFieldsWithLoad, body: 'bytes', headers: 'headers', status: 'number' },
  cancel: callFields,
  configuration: { content: 'bytes', version: 'number' },
  declined: { ...callFieldsWithLoad, expectedMilliseconds: 'number', reason: 'string' },
  failed: { ...callFieldsWithLoad, detail: 'string' },
  hello: {
    configurationVersion: 'number',
    knownNodes: 'number',
    load: 'load',
    node: 'object',
    protocol: 'number',
    reachesStore: 'boolean',
  },
  leaving: {},
  load: { load: 'load' },
  members: { members: 'array' },
  ping: {},
  pong: {},
  proof: { ageMilliseconds: 'number', number: 'number', version: 'number' },
  'proof-request': { number: 'number' },
  pull: {},
  start: {
    ...callFields,
    callerService: 'string',
    headers: 'headers',
    idempotent: 'boolean',
    method: 'string',
    nested: 'boolean',
    optional: 'boolean',
    path: 'string',
    priority: 'number',
    remainingMilliseconds: 'number',
    repeat: 'boolean',
    requestId: 'string',
    routeName: 'string',
    service: 'string',
    targetMilliseconds: 'number',
  },
  'store-reach': { reachesStore: 'boolean' },
  version: { version: 'number' },
};

export function encodeMeshFrame(frame: MeshWireFrame): Buffer {
  return addLengthPrefix(
    encoder.encode(frame.kind === 'configuration' ? compressConfiguration(frame) : frame),
  );
}

/** Type and length of a byte string of any length in CBOR (RFC 8949, section 3.1). */
const byteStringType = 0x5a;
const byteStringHeadBytes = 5;
const emptyBody = new Uint8Array(0);
const emptyByteString = Buffer.from([0x40]);

/**
 * Encodes a frame in two parts, so that its body is not copied. The body is the last field, so that a receiver without memory
 * for it can read the others.
 */
export function encodeMeshFrameInParts(
  frame: MeshWireFrame,
  body: Uint8Array,
): readonly [Buffer, Uint8Array] {
  const fields = Object.entries(frame).filter(([name]) => name !== 'body');
  const encoded = encoder.encode({ ...Object.fromEntries(fields), body: emptyBody });
  const headBytes = encoded.length - emptyByteString.length;
  const head = Buffer.allocUnsafe(lengthPrefixBytes + headBytes + byteStringHeadBytes);
  head.writeUInt32BE(headBytes + byteStringHeadBytes + body.length, 0);
  head.set(encoded.subarray(0, headBytes), lengthPrefixBytes);
  head[lengthPrefixBytes + headBytes] = byteStringType;
  head.writeUInt32BE(body.length, lengthPrefixBytes + headBytes + 1);
  return [head, body];
}

/** Decodes a frame of which only the first bytes were kept, if its body is the last field and begins in them. */
function decodeFrameStart(bytes: Buffer, length: number): DecodeResult<MeshWireFrame> | undefined {
  for (
    let end = bytes.indexOf(byteStringType);
    end >= 0;
    end = bytes.indexOf(byteStringType, end + 1)
  ) {
    const bodyStart = end + byteStringHeadBytes;
    if (bodyStart > bytes.length) return undefined;
    if (bytes.readUInt32BE(end + 1) !== length - bodyStart) continue;
    const decoded = decodeMeshFrame(Buffer.concat([bytes.subarray(0, end), emptyByteString]));
    if (decoded.kind === 'frame') return { ...decoded, frame: withoutMemory(decoded.frame) };
  }
  return undefined;
}

/** What the receiver without memory for a body makes of the frame. */
function withoutMemory(frame: MeshWireFrame): MeshWireFrame {
  switch (frame.kind) {
    case 'start':
      // Without time left, the gate declines the request, unless it is one that it knows already.
      return { ...frame, body: undefined, remainingMilliseconds: -1 };
    case 'answered': {
      const { callId, load } = frame;
      return { callId, detail: 'no memory for the answer', kind: 'failed', load };
    }
    default:
      return frame;
  }
}

/** Compressed configurations by content, so that a configuration sent to many nodes is compressed once. */
const compressedContents = new WeakMap<Uint8Array, Uint8Array>();
/** The fastest level: a node may have only a quarter of a core, and routes are alike enough to compress well. */
const compressionLevel = 1;

function compressConfiguration(frame: ConfigurationFrame): ConfigurationFrame {
  const content =
    compressedContents.get(frame.content) ??
    deflateRawSync(frame.content, { level: compressionLevel });
  compressedContents.set(frame.content, content);
  return { ...frame, content };
}

function decompressConfiguration(frame: MeshWireFrame): MeshWireFrame {
  if (frame.kind !== 'configuration') return frame;
  return {
    ...frame,
    content: inflateRawSync(frame.content, { maxOutputLength: maximumConfigurationBytes }),
  };
}

/** Splits the byte stream of a connection between nodes into frames. */
export class MeshFrameDecoder extends LengthPrefixedDecoder<MeshWireFrame> {
  public constructor(memory?: Pick<LongFrames<MeshWireFrame>, 'end' | 'tryBegin'>) {
    super(
      maximumHelloBytes,
      decodeMeshFrame,
      memory && { ...memory, decodeStart: decodeFrameStart },
    );
  }

  /** Raises the size limit once the other side has identified itself, since frames with bodies may follow. */
  public allowLargeFrames(): void {
    this.setMaximumBytes(maximumFrameBytes);
  }
}

function decodeMeshFrame(bytes: Buffer): DecodeResult<MeshWireFrame> {
  try {
    const value: unknown = encoder.decode(bytes);
    const detail = describeFrameFault(value);
    if (detail !== undefined) return { detail, fault: FrameFault.BadShape, kind: 'fault' };
    return { frame: decompressConfiguration(value as MeshWireFrame), kind: 'frame' };
  } catch (error) {
    return { detail: String(error), fault: FrameFault.BadEncoding, kind: 'fault' };
  }
}

function describeFrameFault(value: unknown): string | undefined {
  if (typeof value !== 'object' || value === null) return 'frame is not a map';
  const fields = value as Readonly<Record<string, unknown>>;
  const { kind } = fields;
  if (typeof kind !== 'string' || !Object.hasOwn(frameShapes, kind)) return 'unknown frame kind';
  for (const [name, type] of Object.entries(frameShapes[kind as MeshWireFrame['kind']])) {
    if (!hasType(fields[name], type)) return `frame ${kind}: field ${name} is not of type ${type}`;
  }
  return undefined;
}

function hasType(value: unknown, type: FieldType): boolean {
  switch (type) {
    case 'array':
      return Array.isArray(value);
    case 'bytes':
      return value instanceof Uint8Array;
    case 'headers':
      return Array.isArray(value) && value.every(isHeaderField);
    case 'load':
      return isGateLoad(value);
    case 'object':
      return typeof value === 'object' && value !== null;
    default:
      return typeof value === type;
  }
}

/** Whether the value is a pair of a name and a value, as in a `HeaderList`. */
function isHeaderField(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.length === 2 &&
    typeof value[0] === 'string' &&
    typeof value[1] === 'string'
  );
}

const loadNumbers = [
  'failureShare',
  'limit',
  'running',
  'serviceMilliseconds',
  'slowdown',
  'waitMilliseconds',
  'waiting',
] as const satisfies readonly (keyof GateLoad)[];

function isGateLoad(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const load = value as Readonly<Record<string, unknown>>;
  // Nodes of an older version do not send `routeMilliseconds`.
  const { routeMilliseconds = 0 } = load;
  return (
    typeof load.state === 'string' &&
    typeof routeMilliseconds === 'number' &&
    loadNumbers.every((name) => typeof load[name] === 'number')
  );
}
