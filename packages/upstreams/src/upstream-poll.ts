import { get } from 'node:http';

import { z } from 'zod';

import type { UpstreamConnections } from './upstream-connections.js';

const pollTimeoutMilliseconds = 2_000;
const maximumAnswerBytes = 65_536;

const loadSchema = z.object({ inFlight: z.number().int().min(0) });

/** What the upstream's health and load endpoints said. */
export interface PollResult {
  readonly healthy: boolean;
  readonly inFlight: number | undefined;
}

interface PollAnswer {
  readonly status: number;
  readonly text: string;
}

/** Resolves to undefined if no whole answer came in time. */
async function read(
  connections: UpstreamConnections,
  path: string,
  signal: AbortSignal,
): Promise<PollAnswer | undefined> {
  return new Promise((resolve) => {
    const { host, pollAgent: agent, port } = connections;
    const request = get({ agent, host, path, port, signal }, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        text += chunk;
        if (text.length > maximumAnswerBytes) request.destroy();
      });
      response.on('error', () => undefined);
      response.on('close', () => {
        resolve(response.complete ? { status: response.statusCode ?? 0, text } : undefined);
      });
    });
    request.on('error', () => {
      resolve(undefined);
    });
  });
}

function parseInFlight(answer: PollAnswer | undefined): number | undefined {
  if (answer?.status !== 200) return undefined;
  try {
    const parsed = loadSchema.safeParse(JSON.parse(answer.text));
    return parsed.success ? parsed.data.inFlight : undefined;
  } catch {
    return undefined;
  }
}

/** Polls `/health` and `/load`. No answer in time is unhealthy; an unreadable load is unknown. */
export async function pollUpstream(
  connections: UpstreamConnections,
  stop: AbortController,
): Promise<PollResult> {
  const timer = setTimeout(() => {
    stop.abort();
  }, pollTimeoutMilliseconds);
  try {
    const health = await read(connections, '/health', stop.signal);
    const load = health === undefined ? undefined : await read(connections, '/load', stop.signal);
    return { healthy: health?.status === 200, inFlight: parseInFlight(load) };
  } finally {
    clearTimeout(timer);
  }
}
