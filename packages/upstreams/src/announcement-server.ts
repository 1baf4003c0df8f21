import type {
  UpstreamAnnouncedMessage,
  UpstreamDrainMessage,
  UpstreamLeftMessage,
} from '@peridotspring/core';
import { SequentialServer } from '@peridotspring/http-server';
import type { SequentialRequest, SharedServerOptions } from '@peridotspring/http-server';

import { parseAnnouncement } from './announcement-schema.js';
import type { FieldError } from './announcement-schema.js';
import { localPortLimits } from './mesh/local-port-limits.js';

/** A message that the upstream sent to the node through the announcement port. */
export type AnnouncementMessage =
  UpstreamAnnouncedMessage | UpstreamDrainMessage | UpstreamLeftMessage;

const maximumBodyBytes = 16_384;
const announcementPaths: readonly string[] = ['/announce', '/drain', '/restore', '/leave'];

interface AnnouncementResponse {
  readonly status: number;
  readonly errors: readonly FieldError[];
}

const acceptedResponse: AnnouncementResponse = { errors: [], status: 200 };

function bodyErrorResponse(status: number, message: string): AnnouncementResponse {
  return { errors: [{ field: 'body', message }], status };
}

export interface AnnouncementServerOptions extends SharedServerOptions {
  readonly onMessage: (message: AnnouncementMessage) => void;
}

/** HTTP server for the upstream beside the node: it announces itself, drains, restores and leaves here. */
export class AnnouncementServer {
  private readonly server: SequentialServer;

  public constructor(private readonly options: AnnouncementServerOptions) {
    this.server = new SequentialServer({
      ...localPortLimits,
      ...options,
      onRequest: (request) => {
        this.handleRequest(request).catch(() => {
          request.close();
        });
      },
    });
  }

  /** Starts listening and resolves to the port in use; port 0 selects any free port. */
  public async listen(): Promise<number> {
    return this.server.listen();
  }

  public async close(): Promise<void> {
    await this.server.close();
  }

  private async handleRequest(request: SequentialRequest): Promise<void> {
    const { method, url: path = '/' } = request.message;
    if (!announcementPaths.includes(path)) {
      const message = `unknown path; expected one of ${announcementPaths.join(', ')}`;
      respond(request, { errors: [{ field: 'path', message }], status: 404 });
      return;
    }
    if (method !== 'POST') {
      respond(request, { errors: [{ field: 'method', message: 'expected POST' }], status: 405 });
      return;
    }
    const body = await request.readBody(maximumBodyBytes);
    if (body === undefined) return;
    if (body.kind === 'too-long') {
      respond(request, bodyErrorResponse(413, `expected at most ${maximumBodyBytes} bytes`));
      return;
    }
    const response =
      path === '/announce' ? this.handleAnnouncement(body.text) : this.handleStateChange(path);
    respond(request, response);
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
    this.options.onMessage({ announcement: parsed.announcement, kind: 'upstream-announced' });
    return acceptedResponse;
  }

  private handleStateChange(path: string): AnnouncementResponse {
    if (path === '/leave') this.options.onMessage({ kind: 'upstream-left' });
    else this.options.onMessage({ draining: path === '/drain', kind: 'upstream-drain' });
    return acceptedResponse;
  }
}

function respond(request: SequentialRequest, { errors, status }: AnnouncementResponse): void {
  const fields = {
    'content-type': 'application/json',
    ...(status === 405 && { allow: 'POST' }),
  };
  request.respond(
    status,
    fields,
    `${JSON.stringify(errors.length === 0 ? { accepted: true } : { errors })}\n`,
  );
}
