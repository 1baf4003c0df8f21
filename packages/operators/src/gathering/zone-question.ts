import { createHash } from 'node:crypto';

import type { MissingNode, NodeRevision } from '../operator-backend.js';
import { parseJson } from './parse-json.js';

/** Names in one zone's answer; the counts beside them are exact. */
export const maximumNamesPerZone = 50;

/** An exact count, and some of what was counted. */
export interface Tally<Item> {
  readonly count: number;
  readonly named: readonly Item[];
}

/** Which members of one availability zone do not have a revision, as far as is known. */
export interface ZoneSurvey {
  /** Members that were counted; each of them has the revision, lacks it or did not answer. */
  readonly members: number;
  readonly lacking: Tally<NodeRevision>;
  readonly missing: Tally<MissingNode>;
}

/** Asks a member to find out which members of its availability zone have a revision. */
export interface ZoneQuestion {
  readonly kind: 'zone-revision';
  readonly revision: number;
  readonly deadlineMilliseconds: number;
  /** Digest of the zone's live members as the asking node knows them. */
  readonly digest: string;
  /** The members themselves, once both nodes have been found to know different ones. */
  readonly servers?: readonly string[] | undefined;
}

/** What a member answers to a `ZoneQuestion`. */
export type ZoneAnswer =
  | (ZoneSurvey & { readonly kind: 'zone-survey' })
  /** The member knows other live members than the asking node, which has to name them. */
  | { readonly kind: 'members-differ' }
  | { readonly kind: 'failed'; readonly cause: string };

/** Counts all items and keeps the first ones. */
export function tally<Item>(items: readonly Item[], maximum = maximumNamesPerZone): Tally<Item> {
  return { count: items.length, named: items.slice(0, maximum) };
}

/** Adds up tallies and keeps at most `maximum` items. */
export function sumTallies<Item>(tallies: readonly Tally<Item>[], maximum: number): Tally<Item> {
  return {
    count: tallies.reduce((sum, { count }) => sum + count, 0),
    named: tallies.flatMap(({ named }) => named).slice(0, maximum),
  };
}

/** Digest of a set of servers, whatever their order. */
export function digestOf(servers: readonly string[]): string {
  return createHash('sha256')
    .update(JSON.stringify([...servers].sort()))
    .digest('base64')
    .slice(0, 22);
}

/** Reads the payload of an `operator-question` frame; undefined for any other question. */
export function decodeZoneQuestion(payload: string): ZoneQuestion | undefined {
  const fields = fieldsOf(payload);
  const { kind, revision, deadlineMilliseconds, digest, servers } = fields;
  if (kind !== 'zone-revision' || typeof digest !== 'string') return undefined;
  if (!isCount(revision) || typeof deadlineMilliseconds !== 'number') return undefined;
  if (servers !== undefined && !isListOf(servers, isText)) return undefined;
  return { kind, revision, deadlineMilliseconds, digest, servers };
}

/** Reads the payload of the `operator-answer`. Counts that do not add up make it malformed. */
export function decodeZoneAnswer(payload: string): ZoneAnswer {
  const { kind, cause, members, lacking, missing } = fieldsOf(payload);
  if (kind === 'members-differ') return { kind };
  if (kind === 'failed' && typeof cause === 'string') return { kind, cause };
  if (kind === 'zone-survey' && isCount(members)) {
    const lackingNodes = tallyOf(lacking, isNodeRevision);
    const missingNodes = tallyOf(missing, isMissingNode);
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

function fieldsOf(payload: string): Fields {
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

/** A tally whose names fit its count: a count above 0 always comes with a name. */
function tallyOf<Item>(
  value: unknown,
  isItem: (item: unknown) => item is Item,
): Tally<Item> | undefined {
  if (!isFields(value)) return undefined;
  const { count, named } = value;
  if (!isCount(count) || !isListOf(named, isItem)) return undefined;
  return named.length === Math.min(count, maximumNamesPerZone) ? { count, named } : undefined;
}
