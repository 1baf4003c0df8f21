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

/** What an upstream tells the node through the announcement port. */
export type AnnouncementMessage =
  UpstreamAnnouncedMessage | UpstreamDrainMessage | UpstreamLeftMessage;

const maximumBodyBytes = 16_384;
const requestTimeoutMilliseconds = 5_000;
const paths: readonly string[] = ['/announce', '/drain', '/restore', '/leave'];

interface Answer {
  readonly status: number;
  readonly errors: readonly FieldError[];
}

const accepted: Answer = { errors: [], status: 200 };

function bodyError(status: number, message: string): Answer {
  return { errors: [{ field: 'body', message }], status };
}

/** Resolves to undefined if the body is longer than the limit. */
async function readText(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > maximumBodyBytes) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** HTTP port on which the upstream beside the node announces itself, drains, restores and leaves. */
export class AnnouncementServer {
  private readonly server: Server;

  public constructor(private readonly report: (message: AnnouncementMessage) => void) {
    this.server = createServer((request, response) => {
      // A request that was cut gets no answer; the upstream repeats it.
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.requestTimeout = requestTimeoutMilliseconds;
  }

  /** Listens and returns the port; 0 stands for any free one. */
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

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { status, errors } = await this.answer(request);
    if (status === 405) response.setHeader('allow', 'POST');
    if (status === 413) response.setHeader('connection', 'close');
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(`${JSON.stringify(errors.length === 0 ? { accepted: true } : { errors })}\n`);
  }

  private async answer(request: IncomingMessage): Promise<Answer> {
    const path = request.url ?? '/';
    if (!paths.includes(path)) {
      const message = `unknown path; expected one of ${paths.join(', ')}`;
      return { errors: [{ field: 'path', message }], status: 404 };
    }
    if (request.method !== 'POST') {
      return { errors: [{ field: 'method', message: 'expected POST' }], status: 405 };
    }
    const text = await readText(request);
    if (text === undefined) {
      return bodyError(413, `expected at most ${maximumBodyBytes} bytes`);
    }
    return path === '/announce' ? this.announce(text) : this.change(path);
  }

  private announce(text: string): Answer {
    let content: unknown;
    try {
      content = JSON.parse(text);
    } catch {
      return bodyError(400, 'expected a JSON object');
    }
    const parsed = parseAnnouncement(content);
    if (parsed.kind === 'invalid') return { errors: parsed.errors, status: 400 };
    this.report({ announcement: parsed.announcement, kind: 'upstream-announced' });
    return accepted;
  }

  private change(path: string): Answer {
    if (path === '/leave') this.report({ kind: 'upstream-left' });
    else this.report({ draining: path === '/drain', kind: 'upstream-drain' });
    return accepted;
  }
}
