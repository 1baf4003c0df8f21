import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import { requestTimeouts } from './request-timeouts.js';

/** The response for a page. */
export interface PageContent {
  readonly status: number;
  readonly text: string;
}

/** A plain-text page that is served at a fixed path. */
export interface TextPage {
  readonly path: string;
  /** Called for each request; returns the current content. */
  readonly render: () => PageContent | Promise<PageContent>;
}

const notFound: PageContent = { status: 404, text: 'not found\n' };

/** Serves the pages that the platform polls to monitor this process, such as its readiness. */
export class ReadinessServer {
  private readonly server: Server;

  public constructor(
    private readonly bindHost: string,
    private readonly bindPort: number,
    pages: readonly TextPage[],
  ) {
    this.server = createServer(requestTimeouts, (request, response) => {
      const path = (request.url ?? '/').split('?')[0];
      const page = pages.find((candidate) => candidate.path === path);
      request.resume();
      void Promise.resolve(page?.render() ?? notFound).then(({ status, text }) => {
        response.writeHead(status, { 'content-type': 'text/plain; version=0.0.4' });
        response.end(text);
      });
    });
  }

  public async listen(): Promise<void> {
    this.server.listen(this.bindPort, this.bindHost);
    await once(this.server, 'listening');
  }

  public async close(): Promise<void> {
    await new Promise((resolve) => {
      this.server.close(resolve);
      this.server.closeAllConnections();
    });
  }
}
