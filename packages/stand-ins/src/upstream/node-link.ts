import { request } from 'node:http';

import type { UpstreamAnnouncement } from '@peridotspring/core';

const requestTimeoutMilliseconds = 2_000;

/** The node's answer to an announcement, drain, restore or leave. */
export interface NodeLinkAnswer {
  readonly status: number;
  readonly body: string;
}

/** Talks to the upstream port of the node beside the upstream. */
export class NodeLink {
  /** `nodeAddress` is `host:port`. */
  public constructor(private readonly nodeAddress: string) {}

  public async announce(announcement: UpstreamAnnouncement): Promise<NodeLinkAnswer> {
    return this.post('/announce', announcement);
  }

  public async drain(): Promise<NodeLinkAnswer> {
    return this.post('/drain', {});
  }

  public async restore(): Promise<NodeLinkAnswer> {
    return this.post('/restore', {});
  }

  public async leave(): Promise<NodeLinkAnswer> {
    return this.post('/leave', {});
  }

  private async post(path: string, content: unknown): Promise<NodeLinkAnswer> {
    const body = Buffer.from(JSON.stringify(content));
    const headers = { 'content-length': body.length, 'content-type': 'application/json' };
    return new Promise((resolve, reject) => {
      const sent = request(
        `http://${this.nodeAddress}${path}`,
        { agent: false, headers, method: 'POST', timeout: requestTimeoutMilliseconds },
        (answer) => {
          let text = '';
          answer.setEncoding('utf8');
          answer.on('data', (chunk: string) => (text += chunk));
          answer.on('end', () => {
            resolve({ body: text, status: answer.statusCode ?? 0 });
          });
          answer.on('error', reject);
        },
      );
      sent.on('timeout', () => sent.destroy(new Error('the node did not answer in time')));
      sent.on('error', reject);
      sent.end(body);
    });
  }
}
