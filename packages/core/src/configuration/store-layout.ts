import type { Configuration, ServiceConfiguration } from '../messages/service-configuration.js';
import { hashString } from '../shared/string-hash.js';
import { parseService } from './configuration-validation.js';
import { isPlainObject } from './field-checks.js';

/**
 * Number of pages among which the services are divided; a change rewrites only the pages of its
 * services.
 */
export const pageCount = 64;
/**
 * Change identifiers retained in the root record. While a change is among them, reading the root shows
 * whether a write with an unknown result took effect.
 */
export const maximumRetainedChangeIds = 256;

/**
 * Key of the root record, the only mutable record of a configuration; writing it commits a change.
 */
export const rootKey = 'configuration/root';

/**
 * Key of the garbage-collection record, which every deletion writes. By its version a proposal detects
 * that records were deleted since it read the version; its value names the node that collects garbage.
 */
export const garbageCollectionKey = 'configuration/collection';

/**
 * Key prefixes of the records that a root refers to. Only keys with these prefixes are ever
 * deleted.
 */
export const collectablePrefixes = [
  'configuration/drains/',
  'configuration/page/',
  'configuration/service/',
] as const;

/** The root record; the configuration in force consists of the records that it refers to. */
export interface RootRecord {
  readonly revision: number;
  /** Record identifier of each page; undefined while a page has no services. */
  readonly pages: readonly (string | undefined)[];
  /** Identifier of the record of drained servers and zones, if there is one. */
  readonly drains: string | undefined;
  /** Identifiers of the newest changes, the last being the one that made this revision. */
  readonly changeIds: readonly string[];
}

/** Maps each service of a page to the identifier of the change that wrote its record. */
export type PageRecord = ReadonlyMap<string, string>;

/** Drained servers and availability zones. */
export type DrainRecord = Pick<Configuration, 'drainedServers' | 'drainedAvailabilityZones'>;

/** The root that is assumed while the store contains no configuration. */
export const emptyRoot: RootRecord = {
  revision: 0,
  pages: Array.from({ length: pageCount }, () => undefined),
  drains: undefined,
  changeIds: [],
};

/** Index of the page that a service belongs to. */
export function pageIndexOf(service: string): number {
  return hashString(service) % pageCount;
}

/** Key of the record of a service as a change wrote it. */
export function serviceKey(service: string, changeId: string): string {
  return `configuration/service/${service}/${changeId}`;
}

/** Key of a page record. */
export function pageKey(page: number, pageId: string): string {
  return `configuration/page/${page}/${pageId}`;
}

/** Key of a record of drained servers and zones. */
export function drainsKey(drainsId: string): string {
  return `configuration/drains/${drainsId}`;
}

/**
 * Identifier of the records that a change writes on top of a root. It includes the base revision because
 * a rebased change writes different pages, and records are immutable.
 */
export function derivedRecordId(changeId: string, baseRevision: number): string {
  return `${changeId}@${baseRevision}`;
}

/** Revision that a change created; undefined if the change is not among the retained identifiers. */
export function revisionOfChange(root: RootRecord, changeId: string): number | undefined {
  const index = root.changeIds.lastIndexOf(changeId);
  return index < 0 ? undefined : root.revision - (root.changeIds.length - 1 - index);
}

/** Whether the change that created this revision would still be among the retained identifiers. */
export function retainsChangeIdOfRevision(root: RootRecord, revision: number): boolean {
  return revision > root.revision - root.changeIds.length;
}

/**
 * Finds a change in the text of a root record; returns undefined if the text is not a root record.
 */
export function findChange(
  rootText: string,
  changeId: string,
): { readonly rootRevision: number; readonly changeRevision: number | undefined } | undefined {
  const root = decodeRoot(rootText);
  return root && { changeRevision: revisionOfChange(root, changeId), rootRevision: root.revision };
}

/** Encodes a root record as JSON. */
export function encodeRoot(root: RootRecord): string {
  return JSON.stringify({ ...root, pages: root.pages.map((page) => page ?? null) });
}

/** Encodes a page as JSON; equal pages have equal text. */
export function encodePage(page: PageRecord): string {
  return JSON.stringify(
    Object.fromEntries([...page].sort(([left], [right]) => compareStrings(left, right))),
  );
}

/** Encodes the drained servers and zones as JSON. */
export function encodeDrains(drains: DrainRecord): string {
  const { drainedServers, drainedAvailabilityZones } = drains;
  return JSON.stringify({ drainedServers, drainedAvailabilityZones });
}

/** Decodes a root record; returns undefined if the text is malformed. */
export function decodeRoot(text: string): RootRecord | undefined {
  const value = parseJson(text);
  if (!isPlainObject(value) || typeof value.revision !== 'number') return undefined;
  const { pages, drains, changeIds, revision } = value;
  if (!Array.isArray(pages) || pages.length !== pageCount || !isStringArray(changeIds)) {
    return undefined;
  }
  return {
    revision,
    pages: pages.map((page: unknown) => (typeof page === 'string' ? page : undefined)),
    drains: typeof drains === 'string' ? drains : undefined,
    changeIds,
  };
}

/** Decodes a page record; returns undefined if the text is malformed. */
export function decodePage(text: string): PageRecord | undefined {
  const value = parseJson(text);
  if (!isPlainObject(value)) return undefined;
  const entries = Object.entries(value);
  if (!entries.every((entry): entry is [string, string] => typeof entry[1] === 'string')) {
    return undefined;
  }
  return new Map(entries);
}

/** Decodes the record of a service; returns undefined if it is not a valid service of this name. */
export function decodeService(text: string, name: string): ServiceConfiguration | undefined {
  return parseService(parseJson(text), name);
}

/** Decodes a record of drained servers and zones; returns undefined if the text is malformed. */
export function decodeDrains(text: string): DrainRecord | undefined {
  const value = parseJson(text);
  if (!isPlainObject(value)) return undefined;
  const { drainedServers, drainedAvailabilityZones } = value;
  if (!isStringArray(drainedServers) || !isStringArray(drainedAvailabilityZones)) return undefined;
  return { drainedServers, drainedAvailabilityZones };
}

function isStringArray(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every((element) => typeof element === 'string');
}

function compareStrings(left: string, right: string): number {
  return left < right ? -1 : 1;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
