import { TokenBucket } from '@peridotspring/core';

import type { CrashRecord } from '../messages/mesh-frames.js';
import { CrashEvidence, isolationCrashes } from './crash-evidence.js';
import { RequestFingerprinter } from './request-fingerprint.js';
import type { Digest, RequestIdentity } from './request-fingerprint.js';

/** Requests reported for one crash. More run at once only on large servers; those that started last come first. */
const maximumRequestsPerCrash = 64;
/** Bounds the traffic when many servers crash at once; what exceeds it is sent later. */
const announcementBudget = { burst: 128, tokensPerSecond: 8 } as const;
/** Bounds the first message on a connection. */
const maximumGreetingRecords = 64;

/** What is known of a request. */
export interface RequestSuspicion {
  /** Number of servers that crashed while they ran the request, without one completing it since. */
  readonly crashes: number;
  /** Whether it may not run twice at a time, or beside others that are isolated. */
  readonly isIsolated: boolean;
  /** Monotonic time until which the request is quarantined; undefined if it is not. */
  readonly quarantinedUntil: number | undefined;
}

/** A run of a request that ended with the crash of its server. */
export interface CrashedRun {
  readonly request: RequestIdentity;
  readonly crashedAt: number;
  readonly runMilliseconds: number;
}

/** The part of the quarantine by which entries and gates decide. */
export type RequestScreening = Pick<RequestQuarantine, 'suspicionOf'>;

export interface RequestQuarantineOptions {
  readonly digest: Digest;
  /** Called when a request becomes quarantined, or a quarantine ends. */
  readonly onQuarantineChanged: (fingerprint: string, isQuarantined: boolean, now: number) => void;
}

const unsuspected: RequestSuspicion = {
  crashes: 0,
  isIsolated: false,
  quarantinedUntil: undefined,
};

/**
 * Recognizes requests that crash the servers that run them. A request that was running on `quarantineCrashes` servers when
 * these crashed is not sent to any further server.
 */
export class RequestQuarantine {
  private readonly evidence = new CrashEvidence();
  private readonly fingerprinter: RequestFingerprinter;
  /** Requests with news that other nodes have not been sent. */
  private readonly unannounced = new Set<string>();
  private readonly announcements = new TokenBucket(announcementBudget);
  /** The quarantined requests, and until when. */
  private readonly quarantined = new Map<string, number>();

  public constructor(private readonly options: RequestQuarantineOptions) {
    this.fingerprinter = new RequestFingerprinter(options.digest);
  }

  /** Fingerprints of the requests that are quarantined. */
  public get quarantinedFingerprints(): readonly string[] {
    return [...this.quarantined.keys()];
  }

  public suspicionOf(request: RequestIdentity, now: number): RequestSuspicion {
    const fingerprint = this.findFingerprint(request);
    if (fingerprint === undefined) return unsuspected;
    const quarantinedUntil = this.quarantinedUntil(fingerprint, now);
    const crashes = this.evidence.countOf(fingerprint, now);
    const isIsolated = crashes >= isolationCrashes || quarantinedUntil !== undefined;
    return { crashes, isIsolated, quarantinedUntil };
  }

  /** Handles the crash of a server, with the runs that it ended, the one that started last first. */
  public recordCrash(id: string, runs: readonly CrashedRun[], now: number): void {
    for (const { crashedAt, request, runMilliseconds } of runs.slice(0, maximumRequestsPerCrash)) {
      const head = this.fingerprinter.headOf(request);
      const fingerprint = this.fingerprinter.withBody(head, request);
      const crash = { ageMilliseconds: now - crashedAt, id, runMilliseconds };
      if (this.evidence.add(fingerprint, crash, now)) this.onChanged(fingerprint, now);
    }
  }

  /**
   * Handles the completion of a request by a server, which shows that another request caused the crashes. Those of a
   * quarantined request stand, since the server may have begun to run it before its quarantine.
   */
  public recordCompletion(request: RequestIdentity, now: number): void {
    const fingerprint = this.findFingerprint(request);
    if (fingerprint === undefined || this.quarantined.has(fingerprint)) return;
    if (this.evidence.refute(fingerprint)) this.onChanged(fingerprint, now);
  }

  /** Ends the quarantine of a request at the operator's demand. Returns whether it was suspected. */
  public release(fingerprint: string, now: number): boolean {
    if (!this.evidence.refute(fingerprint)) return false;
    this.onChanged(fingerprint, now);
    return true;
  }

  /** Adds what another node knows. */
  public merge(records: readonly CrashRecord[], now: number): void {
    for (const record of records)
      if (this.evidence.merge(record, now)) this.onChanged(record.fingerprint, now);
  }

  /** News that other nodes have to be sent now, the most suspicious requests first. */
  public takeAnnouncements(now: number): readonly CrashRecord[] {
    if (this.unannounced.size === 0) return [];
    const records: CrashRecord[] = [];
    for (const fingerprint of this.evidence.fingerprints(now)) {
      if (!this.unannounced.has(fingerprint)) continue;
      if (!this.announcements.tryTake(now)) return records;
      this.unannounced.delete(fingerprint);
      records.push(this.evidence.recordOf(fingerprint, now));
    }
    // What is left was displaced by more suspicious requests.
    this.unannounced.clear();
    return records;
  }

  /** What is known of a request. */
  public recordOf(fingerprint: string, now: number): CrashRecord {
    return this.evidence.recordOf(fingerprint, now);
  }

  /** What a node that connects has to know. */
  public records(now: number): readonly CrashRecord[] {
    return this.evidence
      .fingerprints(now)
      .slice(0, maximumGreetingRecords)
      .map((fingerprint) => this.evidence.recordOf(fingerprint, now));
  }

  /** Forgets what no longer counts. */
  public tick(now: number): void {
    if (this.evidence.isEmpty) return;
    for (const fingerprint of [...this.quarantined.keys()]) this.updateQuarantine(fingerprint, now);
    this.evidence.removeExpired(now);
  }

  private findFingerprint(request: RequestIdentity): string | undefined {
    if (this.evidence.isEmpty) return undefined;
    const head = this.fingerprinter.headOf(request);
    // The digest of a long body is computed only for the few requests with the head of a suspected one.
    return this.evidence.hasHead(head) ? this.fingerprinter.withBody(head, request) : undefined;
  }

  private onChanged(fingerprint: string, now: number): void {
    this.unannounced.add(fingerprint);
    this.updateQuarantine(fingerprint, now);
  }

  private updateQuarantine(fingerprint: string, now: number): void {
    const wasQuarantined = this.quarantined.has(fingerprint);
    const until = this.quarantinedUntil(fingerprint, now);
    if (until === undefined) this.quarantined.delete(fingerprint);
    else this.quarantined.set(fingerprint, until);
    const isQuarantined = until !== undefined;
    if (isQuarantined !== wasQuarantined)
      this.options.onQuarantineChanged(fingerprint, isQuarantined, now);
  }

  /**
   * Time until which the request is quarantined. The times of crashes at other nodes become more accurate with each report,
   * so two that seemed to follow each other may turn out to overlap; that alone does not end a quarantine.
   */
  private quarantinedUntil(fingerprint: string, now: number): number | undefined {
    const until = this.evidence.quarantinedUntil(fingerprint, now);
    if (until !== undefined) return until;
    const earlierUntil = this.quarantined.get(fingerprint);
    const isOver = earlierUntil === undefined || now >= earlierUntil;
    return isOver || this.evidence.countOf(fingerprint, now) === 0 ? undefined : earlierUntil;
  }
}
