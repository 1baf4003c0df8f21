import { SequentialServer } from '@peridotspring/http-server';
import type { SequentialRequest, SharedServerOptions } from '@peridotspring/http-server';

import { localPortLimits } from './local-port-limits.js';

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

export interface ReadinessServerOptions extends SharedServerOptions {
  readonly pages: readonly TextPage[];
}

const contentType = { 'content-type': 'text/plain; version=0.0.4' } as const;
const notFound: PageContent = { status: 404, text: 'not found\n' };

/** Serves the pages that the platform polls to monitor this process, such as its readiness. */
export class ReadinessServer {
  private readonly server: SequentialServer;

  public constructor(private readonly options: ReadinessServerOptions) {
    this.server = new SequentialServer({
      ...localPortLimits,
      ...options,
      onRequest: (request) => {
        void this.respond(request);
      },
    });
  }

  public async listen(): Promise<void> {
    await this.server.listen();
  }

  public async close(): Promise<void> {
    await this.server.close();
  }

  private async respond(request: SequentialRequest): Promise<void> {
    const path = (request.message.url ?? '/').split('?')[0];
    const page = this.options.pages.find((candidate) => candidate.path === path);
    request.message.resume();
    const startedAt = performance.now();
    const { status, text } = (await page?.render()) ?? notFound;
    request.spendProcessing(performance.now() - startedAt);
    request.respond(status, contentType, text);
  }
}
