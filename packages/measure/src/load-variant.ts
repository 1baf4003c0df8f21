import { Agent, request } from 'node:http';

import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import { createTimeOrderedKey } from './time-ordered-key.js';

/** One address that is put under load. */
export interface VariantOptions {
  readonly name: string;
  readonly url: URL;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  /** Sends a fresh UUIDv7 as `Idempotency-Key` with each request. */
  readonly withKey: boolean;
  readonly timeoutMilliseconds: number;
  readonly connections: number;
}

const highestTrackableMicroseconds = 120_000_000;
const microsecondsPerMillisecond = 1_000;

/** Sends requests of one variant and records their latency from the scheduled time. */
export class LoadVariant {
  public readonly histogram: Histogram = build({
    highestTrackableValue: highestTrackableMicroseconds,
    numberOfSignificantValueDigits: 3,
  });
  public readonly outcomes = new Map<string, number>();
  public inProgress = 0;

  private readonly agent: Agent;

  public constructor(public readonly options: VariantOptions) {
    this.agent = new Agent({ keepAlive: true, maxSockets: options.connections });
  }

  /** Sends one request that was due at `scheduledAt`. */
  public fire(scheduledAt: number): void {
    const { body, headers, method, timeoutMilliseconds, url, withKey } = this.options;
    const sent: Record<string, string> = { ...headers };
    if (withKey) {
      sent['idempotency-key'] = createTimeOrderedKey(Date.now());
    }
    if (body !== undefined) {
      sent['content-length'] = String(body.length);
    }
    this.inProgress += 1;
    const outgoing = request(url, {
      agent: this.agent,
      headers: sent,
      method,
      timeout: timeoutMilliseconds,
    });
    outgoing.on('response', (response) => {
      response.resume();
      response.on('close', () => {
        const outcome = response.headers['peridotspring-outcome'] ?? 'direct';
        const reason = response.headers['peridotspring-reason'];
        const status = response.complete ? String(response.statusCode) : 'cut';
        const label = [status, outcome, reason].filter((part) => part !== undefined).join(' ');
        this.finished(scheduledAt, label);
      });
    });
    outgoing.on('timeout', () => {
      outgoing.destroy(new Error('timeout'));
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      this.finished(scheduledAt, `error ${error.code ?? error.message}`);
    });
    outgoing.end(body);
  }

  public close(): void {
    this.agent.destroy();
  }

  private finished(scheduledAt: number, label: string): void {
    this.inProgress -= 1;
    this.outcomes.set(label, (this.outcomes.get(label) ?? 0) + 1);
    const microseconds = (performance.now() - scheduledAt) * microsecondsPerMillisecond;
    this.histogram.recordValue(Math.min(highestTrackableMicroseconds, Math.round(microseconds)));
  }
}
