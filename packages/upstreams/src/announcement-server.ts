import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import type {
  UpstreamAnnouncedMessage,
  UpstreamDrainMessage,
  UpstreamLeftMessage,
} from '@peridotspring/core';

import { parseAnnouncement } from './announcement-schema.js';
import type { FieldError } from './announcement-schema.js';

/** A message that the upstream sent to the node through the announcement port. */
export type AnnouncementMessage =
  UpstreamAnnouncedMessage | UpstreamDrainMessage | UpstreamLeftMessage;

const maximumBodyBytes = 16_384;
const requestTimeoutMilliseconds = 5_000;
const announcementPaths: readonly string[] = ['/announce', '/drain', '/restore', '/leave'];

interface AnnouncementResponse {
  readonly status: number;
  readonly errors: readonly FieldError[];
}

const acceptedResponse: AnnouncementResponse = { errors: [], status: 200 };

function bodyErrorResponse(status: number, message: string): AnnouncementResponse {
  return { errors: [{ field: 'body', message }], status };
}

/** Resolves to `undefined` if the body is longer than `maximumBodyBytes`. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > maximumBodyBytes) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** HTTP server for the upstream beside the node: it announces itself, drains, restores and leaves here. */
export class AnnouncementServer {
  private readonly server: Server;

  public constructor(private readonly onMessage: (message: AnnouncementMessage) => void) {
    this.server = createServer((request, response) => {
      // A request that was aborted midway gets no response; the upstream sends it again.
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    this.server.requestTimeout = requestTimeoutMilliseconds;
  }

  /** Starts listening and resolves to the port in use; port 0 selects any free port. */
  public async listen(port: number, host: string): Promise<number> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : port;
  }

  public async close(): Promise<void> {
    await new Promise((resolve) => {
      this.server.close(resolve);
      this.server.closeAllConnections();
    });
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { status, errors } = await this.processRequest(request);
    if (status === 405) response.setHeader('allow', 'POST');
    if (status === 413) response.setHeader('connection', 'close');
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(`${JSON.stringify(errors.length === 0 ? { accepted: true } : { errors })}\n`);
  }

  private async processRequest(request: IncomingMessage): Promise<AnnouncementResponse> {
    const path = request.url ?? '/';
    if (!announcementPaths.includes(path)) {
      const message = `unknown path; expected one of ${announcementPaths.join(', ')}`;
      return { errors: [{ field: 'path', message }], status: 404 };
    }
    if (request.method !== 'POST') {
      return { errors: [{ field: 'method', message: 'expected POST' }], status: 405 };
    }
    const text = await readBody(request);
    if (text === undefined) {
      return bodyErrorResponse(413, `expected at most ${maximumBodyBytes} bytes`);
    }
    return path === '/announce' ? this.handleAnnouncement(text) : this.handleStateChange(path);
  }

  private handleAnnouncement(text: string): AnnouncementResponse {
    let content: unknown;
    try {
      content = JSON.parse(text);
    } catch {
      return bodyErrorResponse(400, 'expected a JSON object');
    }
    const parsed = parseAnnouncement(content);
    if (parsed.kind === 'invalid') return { errors: parsed.errors, status: 400 };
    this.onMessage({ announcement: parsed.announcement, kind: 'upstream-announced' });
    return acceptedResponse;
  }

  private handleStateChange(path: string): AnnouncementResponse {
    if (path === '/leave') this.onMessage({ kind: 'upstream-left' });
    else this.onMessage({ draining: path === '/drain', kind: 'upstream-drain' });
    return acceptedResponse;
  }
}
