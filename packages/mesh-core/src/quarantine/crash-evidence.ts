import type { CrashReport, CrashRecord } from '../messages/mesh-frames.js';
import { headOfFingerprint } from './request-fingerprint.js';

/** A request is quarantined once this many servers have crashed while they ran it. */
export const quarantineCrashes = 3;
/** From this many crashes on, a request is isolated from others like it, so that their guilt can be told apart. */
export const isolationCrashes = 2;
/** Time for which a crash counts. A quarantined request that is no longer sent is forgotten after it. */
export const evidenceRetentionMilliseconds = 600_000;
/** Bounds the memory and the size of messages; the youngest crashes are kept. */
const maximumCrashesPerRequest = 6;
const maximumRequests = 512;
/** Times of crashes at other nodes are known to this accuracy; for shorter runs, to half of their duration. */
const timeAccuracyMilliseconds = 20;

interface Crash {
  /** Monotonic time of this node's clock. */
  crashedAt: number;
  readonly runMilliseconds: number;
  /** Whether a server has completed the request since, so that this crash does not count. */
  isRefuted: boolean;
}

/** Crashes during which a request was running, by an identifier that is unique among all crashes. */
type Crashes = Map<string, Crash>;

/**
 * For each request that was running when a server crashed, the crashes. Nodes exchange these records in any order and any
 * number of times: merging takes the union of the crashes, and a refutation holds once any node has seen it.
 */
export class CrashEvidence {
  private readonly crashesByRequest = new Map<string, Crashes>();
  /** Number of requests with each digest of the head. */
  private readonly heads = new Map<string, number>();

  public get isEmpty(): boolean {
    return this.crashesByRequest.size === 0;
  }

  /** Whether any request with this digest of the head is known. */
  public hasHead(head: string): boolean {
    return this.heads.has(head);
  }

  /**
   * Number of crashes that count against the request. A crash counts if the request began to run after the one that counted
   * before: servers that crash at the same time do so for another reason than this request, which may run on many of them.
   */
  public countOf(fingerprint: string, now: number): number {
    return this.countingTimes(fingerprint, now).length;
  }

  /** Time at which the request will no longer be quarantined; undefined if it is not. */
  public quarantinedUntil(fingerprint: string, now: number): number | undefined {
    const decisive = this.countingTimes(fingerprint, now)[quarantineCrashes - 1];
    return decisive === undefined ? undefined : decisive + evidenceRetentionMilliseconds;
  }

  public add(fingerprint: string, crash: Omit<CrashReport, 'isRefuted'>, now: number): boolean {
    return this.mergeCrash(fingerprint, { ...crash, isRefuted: false }, now);
  }

  /** Refutes the crashes of a request. Returns whether any of them had counted. */
  public refute(fingerprint: string): boolean {
    let isChanged = false;
    for (const crash of this.crashesByRequest.get(fingerprint)?.values() ?? []) {
      isChanged ||= !crash.isRefuted;
      crash.isRefuted = true;
    }
    return isChanged;
  }

  /** Adds what another node knows of a request. Returns whether any of it is new. */
  public merge({ crashes, fingerprint }: CrashRecord, now: number): boolean {
    let isChanged = false;
    for (const crash of crashes) {
      if (this.mergeCrash(fingerprint, crash, now)) isChanged = true;
    }
    return isChanged;
  }

  public recordOf(fingerprint: string, now: number): CrashRecord {
    const crashes: CrashReport[] = [];
    for (const [id, crash] of this.crashesByRequest.get(fingerprint) ?? []) {
      const { crashedAt, isRefuted, runMilliseconds } = crash;
      crashes.push({ ageMilliseconds: now - crashedAt, id, isRefuted, runMilliseconds });
    }
    return { crashes, fingerprint };
  }

  /** Fingerprints of all known requests, those with the most crashes that count first. */
  public fingerprints(now: number): readonly string[] {
    const counts = [...this.crashesByRequest.keys()].map(
      (fingerprint) => [fingerprint, this.countOf(fingerprint, now)] as const,
    );
    counts.sort(([, first], [, second]) => second - first);
    return counts.map(([fingerprint]) => fingerprint);
  }

  /** Forgets crashes that no longer count. */
  public removeExpired(now: number): void {
    for (const [fingerprint, crashes] of this.crashesByRequest) {
      for (const [id, { crashedAt }] of crashes)
        if (now - crashedAt >= evidenceRetentionMilliseconds) crashes.delete(id);
      if (crashes.size === 0) this.remove(fingerprint);
    }
  }

  private mergeCrash(
    fingerprint: string,
    { ageMilliseconds, id, isRefuted, runMilliseconds }: CrashReport,
    now: number,
  ): boolean {
    if (ageMilliseconds >= evidenceRetentionMilliseconds) return false;
    const crashedAt = now - ageMilliseconds;
    const crashes = this.crashesByRequest.get(fingerprint);
    const known = crashes?.get(id);
    if (known !== undefined) {
      // The transfer makes a crash look younger, so the earliest time is the closest one.
      known.crashedAt = Math.min(known.crashedAt, crashedAt);
      if (known.isRefuted || !isRefuted) return false;
      known.isRefuted = true;
      return true;
    }
    const crash: Crash = { crashedAt, isRefuted, runMilliseconds };
    if (crashes === undefined) this.insert(fingerprint, new Map([[id, crash]]));
    else {
      crashes.set(id, crash);
      removeOldestCrash(crashes);
    }
    this.removeLeastSuspicious(now);
    return this.crashesByRequest.get(fingerprint)?.has(id) ?? false;
  }

  private insert(fingerprint: string, crashes: Crashes): void {
    this.crashesByRequest.set(fingerprint, crashes);
    const head = headOfFingerprint(fingerprint);
    this.heads.set(head, (this.heads.get(head) ?? 0) + 1);
  }

  private remove(fingerprint: string): void {
    this.crashesByRequest.delete(fingerprint);
    const head = headOfFingerprint(fingerprint);
    const count = this.heads.get(head) ?? 0;
    if (count > 1) this.heads.set(head, count - 1);
    else this.heads.delete(head);
  }

  /** Removes the request with the fewest crashes, of several the oldest one, so that many distinct requests displace no quarantined one. */
  private removeLeastSuspicious(now: number): void {
    if (this.crashesByRequest.size <= maximumRequests) return;
    let candidate: { fingerprint: string; count: number; latest: number } | undefined;
    for (const fingerprint of this.crashesByRequest.keys()) {
      const times = this.countingTimes(fingerprint, now);
      const [count, latest] = [times.length, times[0] ?? -Infinity];
      const isLess =
        candidate === undefined ||
        count < candidate.count ||
        (count === candidate.count && latest < candidate.latest);
      if (isLess) candidate = { count, fingerprint, latest };
    }
    if (candidate !== undefined) this.remove(candidate.fingerprint);
  }

  /** Times of the crashes that count, the latest first. */
  private countingTimes(fingerprint: string, now: number): readonly number[] {
    const crashes = [...(this.crashesByRequest.get(fingerprint)?.values() ?? [])].filter(
      ({ crashedAt, isRefuted }) => !isRefuted && now - crashedAt < evidenceRetentionMilliseconds,
    );
    crashes.sort((first, second) => first.crashedAt - second.crashedAt);
    const times: number[] = [];
    for (const { crashedAt, runMilliseconds } of crashes) {
      const accuracy = Math.min(timeAccuracyMilliseconds, runMilliseconds / 2);
      const latestStart = crashedAt - runMilliseconds + accuracy;
      if (latestStart >= (times.at(-1) ?? -Infinity)) times.push(crashedAt);
    }
    return times.reverse();
  }
}

function removeOldestCrash(crashes: Crashes): void {
  if (crashes.size <= maximumCrashesPerRequest) return;
  let oldest: string | undefined;
  let oldestAt = Infinity;
  for (const [id, { crashedAt }] of crashes) {
    if (crashedAt >= oldestAt) continue;
    oldest = id;
    oldestAt = crashedAt;
  }
  if (oldest !== undefined) crashes.delete(oldest);
}
