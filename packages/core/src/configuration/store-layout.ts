import type { Configuration, ServiceConfiguration } from '../messages/service-configuration.js';
import { hashString } from '../shared/string-hash.js';
import { parseService } from './configuration-validation.js';
import { isRecord } from './field-checks.js';

/** Pages over which the services are spread; a change rewrites only the pages of its services. */
export const pageCount = 64;
/** Change identifiers kept in the root; a lost answer can be resolved while its change is among them. */
export const keptChangeIds = 256;

/** Key of the only record that changes; writing it commits a change. */
export const rootKey = 'configuration/root';

/**
 * Key of the record that every deletion writes. Its version shows a proposal that records were deleted
 * since it read it, and its value names the node that collects.
 */
export const collectionKey = 'configuration/collection';

/** Prefixes of the records that a root refers to. Nothing outside of them is ever deleted. */
export const collectedPrefixes = [
  'configuration/drains/',
  'configuration/page/',
  'configuration/service/',
] as const;

/** The root record: what is in force is what it refers to. */
export interface RootRecord {
  readonly revision: number;
  /** Identifier of each page's record; undefined while a page has no services. */
  readonly pages: readonly (string | undefined)[];
  /** Identifier of the record of drained servers and zones. */
  readonly drains: string | undefined;
  /** Identifiers of the newest changes, the last being the one that made this revision. */
  readonly changeIds: readonly string[];
}

/** Maps the services of one page to the identifier of their value's record. */
export type PageRecord = ReadonlyMap<string, string>;

/** Drained servers and availability zones. */
export type DrainRecord = Pick<Configuration, 'drainedServers' | 'drainedAvailabilityZones'>;

/** Stands for the root of a store that holds no configuration yet. */
export const emptyRoot: RootRecord = {
  revision: 0,
  pages: Array.from({ length: pageCount }, () => undefined),
  drains: undefined,
  changeIds: [],
};

/** Number of the page that lists a service. */
export function pageOf(service: string): number {
  return hashString(service) % pageCount;
}

/** Key of a service's value as one change wrote it. */
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
 * Identifies what a change writes on top of a given root. The base belongs to it because a rebased
 * change writes other pages, and a record, once written, never changes.
 */
export function derivedId(changeId: string, baseRevision: number): string {
  return `${changeId}@${baseRevision}`;
}

/** Revision that a change made, undefined when it is not among the kept ones. */
export function revisionOfChange(root: RootRecord, changeId: string): number | undefined {
  const index = root.changeIds.lastIndexOf(changeId);
  return index < 0 ? undefined : root.revision - (root.changeIds.length - 1 - index);
}

/** Whether a change that made this revision would still be among the kept identifiers. */
export function coversRevision(root: RootRecord, revision: number): boolean {
  return revision > root.revision - root.changeIds.length;
}

/** What the text of a root record says of a change; undefined when the text is not a root record. */
export function findChange(
  rootText: string,
  changeId: string,
): { readonly rootRevision: number; readonly changeRevision: number | undefined } | undefined {
  const root = decodeRoot(rootText);
  return root && { changeRevision: revisionOfChange(root, changeId), rootRevision: root.revision };
}

/** JSON text of a root record. */
export function encodeRoot(root: RootRecord): string {
  return JSON.stringify({ ...root, pages: root.pages.map((page) => page ?? null) });
}

/** JSON text of a page; equal pages have equal text. */
export function encodePage(page: PageRecord): string {
  return JSON.stringify(
    Object.fromEntries([...page].sort(([left], [right]) => compare(left, right))),
  );
}

/** JSON text of the drained servers and zones. */
export function encodeDrains(drains: DrainRecord): string {
  const { drainedServers, drainedAvailabilityZones } = drains;
  return JSON.stringify({ drainedServers, drainedAvailabilityZones });
}

/** Returns undefined for text that is no root record. */
export function decodeRoot(text: string): RootRecord | undefined {
  const value = parseJson(text);
  if (!isRecord(value) || typeof value.revision !== 'number') return undefined;
  const { pages, drains, changeIds, revision } = value;
  if (!Array.isArray(pages) || pages.length !== pageCount || !isTextList(changeIds)) {
    return undefined;
  }
  return {
    revision,
    pages: pages.map((page: unknown) => (typeof page === 'string' ? page : undefined)),
    drains: typeof drains === 'string' ? drains : undefined,
    changeIds,
  };
}

/** Returns undefined for text that is no page record. */
export function decodePage(text: string): PageRecord | undefined {
  const value = parseJson(text);
  if (!isRecord(value)) return undefined;
  const entries = Object.entries(value);
  if (!entries.every((entry): entry is [string, string] => typeof entry[1] === 'string')) {
    return undefined;
  }
  return new Map(entries);
}

/** Returns undefined for text that is no valid service of this name. */
export function decodeService(text: string, name: string): ServiceConfiguration | undefined {
  return parseService(parseJson(text), name);
}

/** Returns undefined for text that is no record of drained servers and zones. */
export function decodeDrains(text: string): DrainRecord | undefined {
  const value = parseJson(text);
  if (!isRecord(value)) return undefined;
  const { drainedServers, drainedAvailabilityZones } = value;
  if (!isTextList(drainedServers) || !isTextList(drainedAvailabilityZones)) return undefined;
  return { drainedServers, drainedAvailabilityZones };
}

function isTextList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every((element) => typeof element === 'string');
}

function compare(left: string, right: string): number {
  return left < right ? -1 : 1;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
