import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { upstreamFaultsSchema } from './upstream-faults.js';
import type { UpstreamStandIn } from './upstream-stand-in.js';

const bodyLimitBytes = 65_536;
const changesSchema = upstreamFaultsSchema.partial();

function sendJson(response: ServerResponse, status: number, content: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(`${JSON.stringify(content)}\n`);
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  let text = '';
  for await (const chunk of request) {
    text += String(chunk);
    if (text.length > bodyLimitBytes) throw new SyntaxError('the body is too long');
  }
  return text === '' ? {} : JSON.parse(text);
}

/** Port on which a test or an operator of the demo injects faults and reads the execution log. */
export class ControlServer {
  private readonly server: Server;

  public constructor(private readonly standIn: UpstreamStandIn) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch((error: unknown) => {
        sendJson(response, 400, { error: error instanceof Error ? error.message : String(error) });
      });
    });
  }

  /** Returns the port. */
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
    const url = new URL(request.url ?? '/', 'http://control');
    switch (`${request.method ?? 'GET'} ${url.pathname}`) {
      case 'GET /control/executions':
        this.sendExecutions(url, response);
        return;
      case 'GET /control/state':
        sendJson(response, 200, this.standIn.state);
        return;
      case 'GET /control/faults':
        sendJson(response, 200, this.standIn.faults);
        return;
      case 'POST /control/faults':
        await this.changeFaults(request, response);
        return;
      case 'POST /control/announce':
        sendJson(response, 200, await this.standIn.announce());
        return;
      case 'POST /control/drain':
        sendJson(response, 200, await this.standIn.drain());
        return;
      case 'POST /control/restore':
        sendJson(response, 200, await this.standIn.restore());
        return;
      case 'POST /control/leave':
        sendJson(response, 200, await this.standIn.leave());
        return;
      default:
        sendJson(response, 404, { error: 'no such control endpoint' });
    }
  }

  private sendExecutions(url: URL, response: ServerResponse): void {
    const from = Number(url.searchParams.get('from') ?? 0);
    const limit = Number(url.searchParams.get('limit') ?? Number.POSITIVE_INFINITY);
    const executions = this.standIn.executions(from, limit);
    sendJson(response, 200, { executions, total: this.standIn.state.executions });
  }

  private async changeFaults(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const parsed = changesSchema.safeParse(await readJson(request));
    if (!parsed.success) {
      sendJson(response, 400, { errors: parsed.error.issues });
      return;
    }
    await this.standIn.changeFaults(parsed.data);
    sendJson(response, 200, this.standIn.faults);
  }
}
