import { get } from 'node:http';

import { z } from 'zod';

import { readAllFields } from './all-fields.js';
import { limitInterimResponses } from './interim-responses.js';
import type { UpstreamConnections } from './upstream-connections.js';

const pollTimeoutMilliseconds = 2_000;
const maximumResponseCharacters = 65_536;

const loadSchema = z.object({ inFlight: z.number().int().min(0) });

/** State of the upstream according to its health and load endpoints. */
export interface PollResult {
  readonly healthy: boolean;
  /** Requests that the upstream is executing; `undefined` if unknown. */
  readonly inFlight: number | undefined;
}

interface PollResponse {
  readonly status: number;
  readonly text: string;
}

/** Resolves to `undefined` if no complete response arrived before the abort signal. */
async function fetchText(
  connections: UpstreamConnections,
  path: string,
  signal: AbortSignal,
): Promise<PollResponse | undefined> {
  return new Promise((resolve) => {
    const { host, pollAgent: agent, port } = connections;
    const request = get({ agent, host, path, port, signal }, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        text += chunk;
        if (text.length > maximumResponseCharacters) request.destroy();
      });
      response.on('error', () => undefined);
      response.on('close', () => {
        resolve(response.complete ? { status: response.statusCode ?? 0, text } : undefined);
      });
    });
    readAllFields(request);
    limitInterimResponses(request);
    request.on('error', () => {
      resolve(undefined);
    });
  });
}

function parseInFlight(loadResponse: PollResponse | undefined): number | undefined {
  if (loadResponse?.status !== 200) return undefined;
  try {
    const parsed = loadSchema.safeParse(JSON.parse(loadResponse.text));
    return parsed.success ? parsed.data.inFlight : undefined;
  } catch {
    return undefined;
  }
}

/** Polls `/health` and `/load`. A timeout counts as unhealthy; an invalid load response gives an unknown load. */
export async function pollUpstream(
  connections: UpstreamConnections,
  abortController: AbortController,
): Promise<PollResult> {
  const timer = setTimeout(() => {
    abortController.abort();
  }, pollTimeoutMilliseconds);
  try {
    const healthResponse = await fetchText(connections, '/health', abortController.signal);
    const loadResponse =
      healthResponse === undefined
        ? undefined
        : await fetchText(connections, '/load', abortController.signal);
    return { healthy: healthResponse?.status === 200, inFlight: parseInFlight(loadResponse) };
  } finally {
    clearTimeout(timer);
  }
}
