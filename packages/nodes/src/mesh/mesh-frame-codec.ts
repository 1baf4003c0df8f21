import { deflateRawSync, inflateRawSync } from 'node:zlib';

import { Encoder } from 'cbor-x';

import type {
  ConfigurationFrame,
  GateLoad,
  MeshFrame,
  MeshNode,
  EndedNodeServer,
} from '@peridotspring/mesh-core';

import { FrameFault, LengthPrefixedDecoder, prefixLength } from '../length-prefixed.js';
import type { Decoded } from '../length-prefixed.js';

/** Raised when frames change in a way that older nodes can't read. */
export const meshProtocolVersion = 2;

/** The first frame in each direction. */
export interface MeshHelloFrame {
  readonly kind: 'hello';
  readonly protocol: number;
  readonly node: MeshNode;
  readonly load: GateLoad;
  readonly configurationVersion: number;
  /** Whether the store answers the sender. */
  readonly reachesStore: boolean;
  /** Other nodes that the sender knows of; a node that knows far fewer is told of the rest. */
  readonly knownNodes: number;
  /** Servers that drained or left lately; a node that starts again may not know of its own. */
  readonly endedServers?: readonly EndedNodeServer[] | undefined;
  /** The newest era of the store that the sender has seen. */
  readonly storeEra?: number | undefined;
}

/** What the first frame tells besides the node itself. */
export type MeshGreeting = Omit<MeshHelloFrame, 'kind' | 'node' | 'protocol'>;

/** Asks whether the other side is alive. */
export interface PingFrame {
  readonly kind: 'ping';
}

export interface PongFrame {
  readonly kind: 'pong';
}

export type MeshWireFrame = MeshHelloFrame | PingFrame | PongFrame | MeshFrame;

/** Largest encoded frame in bytes: a body of the largest configured size and its head. */
const maximumFrameBytes = 68_157_440;
/** The first frame names a node and a few servers; whoever sent none may be anybody. */
const maximumHelloBytes = 65_536;
/** The store holds values of up to 1 MiB; compressed content must not grow without end. */
const maximumConfigurationBytes = 16_777_216;

/** Field names that frames carry as numbers, in the order of their numbers. New names go to the end. */
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
] as const;

const encoder = new Encoder({
  keyMap: Object.fromEntries(fieldNames.map((name, index) => [name, index + 1])),
  tagUint8Array: false,
  useRecords: false,
});

type FieldType = 'array' | 'boolean' | 'bytes' | 'number' | 'object' | 'string';

const callField = { callId: 'number' } as const;
const loadedCall = { ...callField, load: 'object' } as const;

/** The fields that the receiver of each frame relies on. */
const frameShapes: Readonly<Record<MeshWireFrame['kind'], Readonly<Record<string, FieldType>>>> = {
  answered: { ...loadedCall, body: 'bytes', headers: 'array', status: 'number' },
  cancel: callField,
  configuration: { content: 'bytes', version: 'number' },
  declined: { ...loadedCall, expectedMilliseconds: 'number', reason: 'string' },
  failed: { ...loadedCall, detail: 'string' },
  hello: {
    configurationVersion: 'number',
    knownNodes: 'number',
    load: 'object',
    node: 'object',
    protocol: 'number',
    reachesStore: 'boolean',
  },
  leaving: {},
  load: { load: 'object' },
  members: { members: 'array' },
  ping: {},
  pong: {},
  pull: {},
  start: {
    ...callField,
    callerService: 'string',
    headers: 'array',
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
  return prefixLength(encoder.encode(frame.kind === 'configuration' ? pack(frame) : frame));
}

/** A configuration goes to many nodes and is compressed once. */
const packedContents = new WeakMap<Uint8Array, Uint8Array>();
/** Fastest: a node may have a quarter of a core, and routes resemble each other enough. */
const compressionLevel = 1;

function pack(frame: ConfigurationFrame): ConfigurationFrame {
  const content =
    packedContents.get(frame.content) ?? deflateRawSync(frame.content, { level: compressionLevel });
  packedContents.set(frame.content, content);
  return { ...frame, content };
}

function unpack(frame: MeshWireFrame): MeshWireFrame {
  if (frame.kind !== 'configuration') return frame;
  return {
    ...frame,
    content: inflateRawSync(frame.content, { maxOutputLength: maximumConfigurationBytes }),
  };
}

/** Splits the byte stream of a connection between nodes into frames. */
export class MeshFrameDecoder extends LengthPrefixedDecoder<MeshWireFrame> {
  public constructor() {
    super(maximumHelloBytes, decodeMeshFrame);
  }

  /** The other side has named itself; frames with bodies may follow. */
  public greeted(): void {
    this.allow(maximumFrameBytes);
  }
}

function decodeMeshFrame(bytes: Buffer): Decoded<MeshWireFrame> {
  try {
    const value: unknown = encoder.decode(bytes);
    const detail = describeFault(value);
    if (detail !== undefined) return { detail, fault: FrameFault.BadShape, kind: 'fault' };
    return { frame: unpack(value as MeshWireFrame), kind: 'frame' };
  } catch (error) {
    return { detail: String(error), fault: FrameFault.BadEncoding, kind: 'fault' };
  }
}

function describeFault(value: unknown): string | undefined {
  if (typeof value !== 'object' || value === null) return 'a frame is a map';
  const fields = value as Readonly<Record<string, unknown>>;
  const { kind } = fields;
  if (typeof kind !== 'string' || !Object.hasOwn(frameShapes, kind)) return 'unknown kind of frame';
  for (const [name, type] of Object.entries(frameShapes[kind as MeshWireFrame['kind']])) {
    if (!hasType(fields[name], type)) return `${kind}: ${name} is not of type ${type}`;
  }
  return undefined;
}

function hasType(value: unknown, type: FieldType): boolean {
  switch (type) {
    case 'array':
      return Array.isArray(value);
    case 'bytes':
      return value instanceof Uint8Array;
    case 'object':
      return typeof value === 'object' && value !== null;
    default:
      return typeof value === type;
  }
}
