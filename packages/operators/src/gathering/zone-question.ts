import { createHash } from 'node:crypto';

import type { MissingNode, NodeRevision } from '../operator-backend.js';
import { parseJson } from './parse-json.js';

/** Limit of the nodes named in one zone's answer. The counts next to the names are exact. */
export const maximumNamesPerZone = 50;

/** The exact number of items, and the first of them. */
export interface Tally<Item> {
  readonly count: number;
  readonly named: readonly Item[];
}

/** The members of one availability zone that do not have a revision or did not answer. */
export interface ZoneSurvey {
  /** Members that were asked. Each of them has the revision, lacks it or did not answer. */
  readonly members: number;
  readonly lacking: Tally<NodeRevision>;
  readonly missing: Tally<MissingNode>;
}

/** Asks a member which members of its availability zone do not have a revision. */
export interface ZoneQuestion {
  readonly kind: 'zone-revision';
  readonly revision: number;
  readonly deadlineMilliseconds: number;
  /** Digest of the live members of the zone that are known to the asking node. */
  readonly digest: string;
  /** These members themselves; sent after the answer `members-differ`. */
  readonly servers?: readonly string[] | undefined;
}

/** The answer of a member to a `ZoneQuestion`. */
export type ZoneAnswer =
  | (ZoneSurvey & { readonly kind: 'zone-survey' })
  /** The member knows a different set of live members; the asking node has to send its own set. */
  | { readonly kind: 'members-differ' }
  | { readonly kind: 'failed'; readonly cause: string };

/** Counts all items and keeps the first `maximum` of them. */
export function tally<Item>(items: readonly Item[], maximum = maximumNamesPerZone): Tally<Item> {
  return { count: items.length, named: items.slice(0, maximum) };
}

/** Adds up the counts of tallies and keeps at most `maximum` items. */
export function sumTallies<Item>(tallies: readonly Tally<Item>[], maximum: number): Tally<Item> {
  return {
    count: tallies.reduce((sum, { count }) => sum + count, 0),
    named: tallies.flatMap(({ named }) => named).slice(0, maximum),
  };
}

/** Digest of a set of servers, independent of their order. */
export function digestOf(servers: readonly string[]): string {
  return createHash('sha256')
    .update(JSON.stringify([...servers].sort()))
    .digest('base64')
    .slice(0, 22);
}

/** Decodes the payload of an `operator-question` frame; undefined if it is no zone question. */
export function decodeZoneQuestion(payload: string): ZoneQuestion | undefined {
  const fields = parseFields(payload);
  const { kind, revision, deadlineMilliseconds, digest, servers } = fields;
  if (kind !== 'zone-revision' || typeof digest !== 'string') return undefined;
  if (!isCount(revision) || typeof deadlineMilliseconds !== 'number') return undefined;
  if (servers !== undefined && !isListOf(servers, isText)) return undefined;
  return { kind, revision, deadlineMilliseconds, digest, servers };
}

/** Decodes the payload of an `operator-answer` frame. An answer with inconsistent counts is malformed. */
export function decodeZoneAnswer(payload: string): ZoneAnswer {
  const { kind, cause, members, lacking, missing } = parseFields(payload);
  if (kind === 'members-differ') return { kind };
  if (kind === 'failed' && typeof cause === 'string') return { kind, cause };
  if (kind === 'zone-survey' && isCount(members)) {
    const lackingNodes = parseTally(lacking, isNodeRevision);
    const missingNodes = parseTally(missing, isMissingNode);
    if (lackingNodes !== undefined && missingNodes !== undefined) {
      const { count } = lackingNodes;
      if (count + missingNodes.count <= members) {
        return { kind, members, lacking: lackingNodes, missing: missingNodes };
      }
    }
  }
  return { kind: 'failed', cause: 'malformed answer' };
}

type Fields = Readonly<Record<string, unknown>>;

function parseFields(payload: string): Fields {
  const value = parseJson(payload);
  return isFields(value) ? value : {};
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null;
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

function isListOf<Item>(
  value: unknown,
  isItem: (item: unknown) => item is Item,
): value is readonly Item[] {
  return Array.isArray(value) && value.every(isItem);
}

function isNodeRevision(value: unknown): value is NodeRevision {
  return isFields(value) && isText(value.server) && isCount(value.revision);
}

function isMissingNode(value: unknown): value is MissingNode {
  return isFields(value) && isText(value.server) && isText(value.cause);
}

/** Parses a tally; undefined if the names do not match the count: a count above 0 requires a name. */
function parseTally<Item>(
  value: unknown,
  isItem: (item: unknown) => item is Item,
): Tally<Item> | undefined {
  if (!isFields(value)) return undefined;
  const { count, named } = value;
  if (!isCount(count) || !isListOf(named, isItem)) return undefined;
  return named.length === Math.min(count, maximumNamesPerZone) ? { count, named } : undefined;
}
