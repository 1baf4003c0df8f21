import type { WireFrame } from './wire-frames.js';

type FieldType = 'array' | 'boolean' | 'bytes' | 'number' | 'object' | 'string';

/** Allows only fields of the frame type, so that a shape that lists a removed field doesn't compile. */
type FrameShape<Frame> = { readonly [Field in keyof Frame]?: FieldType };

const callFieldsWithLoad = { callId: 'number', load: 'object' } as const;
const bodyFields = { callId: 'number', direction: 'string' } as const;

/** Required fields of each frame kind and their types; optional fields are not listed. */
const frameShapes: {
  readonly [Kind in WireFrame['kind']]: FrameShape<Extract<WireFrame, { readonly kind: Kind }>>;
} = {
  acknowledgement: {
    configurationRevision: 'number',
    sequence: 'number',
    server: 'string',
    updates: 'array',
  },
  answer: { ...callFieldsWithLoad, headers: 'object', status: 'number', streamedBody: 'boolean' },
  'body-chunk': { ...bodyFields, bytes: 'bytes' },
  'body-credit': { ...bodyFields, bytes: 'number' },
  'body-cut': bodyFields,
  'body-end': bodyFields,
  'body-stop': bodyFields,
  'configuration-announcement': { revision: 'number' },
  'configuration-pull': { haveRevision: 'number' },
  'configuration-push': {
    baseRevision: 'number',
    configuration: 'object',
    removedServices: 'array',
    revision: 'number',
  },
  heartbeat: {},
  hello: { identity: 'object', nonce: 'bytes', version: 'number' },
  'home-confirm': { released: 'boolean', sequence: 'number', service: 'string', version: 'number' },
  'home-lease-answer': { bound: 'array', round: 'number', service: 'string' },
  'home-lease-question': { homes: 'array', round: 'number', service: 'string' },
  'home-promise': {
    accepted: 'boolean',
    sequence: 'number',
    service: 'string',
    version: 'number',
  },
  'home-table': { service: 'string' },
  'home-table-request': { service: 'string' },
  'key-answer': { callId: 'number', state: 'string' },
  'key-question': { callId: 'number', key: 'string', service: 'string' },
  'keyed-outcome': { callId: 'number', outcome: 'object' },
  'keyed-request': {
    body: 'bytes',
    callId: 'number',
    digest: 'string',
    head: 'object',
    key: 'string',
    receivedAt: 'number',
    remainingMilliseconds: 'number',
  },
  'load-probe': { service: 'string' },
  'load-report': {},
  'member-sync': { step: 'string' },
  'member-updates': { updates: 'array' },
  'operator-answer': { answer: 'string', questionId: 'number' },
  'operator-question': { question: 'string', questionId: 'number' },
  ping: { configurationRevision: 'number', sequence: 'number', updates: 'array' },
  'ping-request': { sequence: 'number', target: 'string' },
  proof: { signature: 'bytes' },
  'records-received': { part: 'number', range: 'number', service: 'string' },
  'records-transfer': {
    last: 'boolean',
    part: 'number',
    range: 'number',
    records: 'array',
    service: 'string',
  },
  'request-admitted': { callId: 'number' },
  'request-cancel': { callId: 'number' },
  'request-failed': { ...callFieldsWithLoad, detail: 'string' },
  'request-refused': { callId: 'number', refusal: 'object' },
  'request-start': {
    callId: 'number',
    head: 'object',
    remainingMilliseconds: 'number',
    requestClass: 'string',
    streamedBody: 'boolean',
  },
};

function hasType(value: unknown, type: FieldType): boolean {
  switch (type) {
    case 'array':
      return Array.isArray(value);
    case 'bytes':
      return value instanceof Uint8Array;
    case 'object':
      return typeof value === 'object' && value !== null && !Array.isArray(value);
    case 'number':
      return typeof value === 'number' && !Number.isNaN(value);
    case 'boolean':
    case 'string':
      return typeof value === type;
  }
}

/** Describes why a decoded value is not a valid frame; undefined if it is one. */
export function describeFrameFault(value: unknown): string | undefined {
  if (typeof value !== 'object' || value === null || !('kind' in value)) {
    return 'frame is not a map with a kind';
  }
  const { kind } = value;
  if (typeof kind !== 'string' || !Object.hasOwn(frameShapes, kind)) {
    return `unknown frame kind ${JSON.stringify(kind)}`;
  }
  const shape: Readonly<Record<string, FieldType>> = frameShapes[kind as WireFrame['kind']];
  const fields = value as Readonly<Record<string, unknown>>;
  for (const [field, type] of Object.entries(shape)) {
    if (!hasType(fields[field], type)) {
      return `field ${field} of frame ${kind} is not of type ${type}`;
    }
  }
  return undefined;
}
