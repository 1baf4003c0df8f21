import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http';

/** A value of 1 MB in base64 with the reply around it; a longer reply is no reply of the store. */
const maximumReplyBytes = 2_000_000;

/** What a watch stream tells its reader. */
export interface StreamReader {
  readonly line: (value: unknown) => void;
  /** The stream ended, was cut or could not be opened; called once. */
  readonly ended: () => void;
}

/** Sends JSON to the gateway over kept-alive connections. */
export class GatewayClient {
  private readonly agent: Agent;
  private readonly open = new Set<ClientRequest>();

  public constructor(
    private readonly baseUrl: URL,
    private readonly timeoutMilliseconds: number,
    maximumConnections: number,
  ) {
    this.agent = new Agent({ keepAlive: true, maxSockets: maximumConnections });
  }

  /** Delivers the parsed reply once, or undefined when none came in time. */
  public call(path: string, body: unknown, deliver: (reply: unknown) => void): void {
    let isDelivered = false;
    const conclude = (reply: unknown): void => {
      if (isDelivered) return;
      isDelivered = true;
      clearTimeout(timer);
      deliver(reply);
    };
    const sent = this.post(path, body, this.agent, (response) => {
      this.collect(response, sent, conclude);
    });
    // The timeout covers the whole call, waiting for a connection included.
    const timer = setTimeout(() => sent.destroy(), this.timeoutMilliseconds);
    sent.on('close', () => {
      conclude(undefined);
    });
  }

  /** Opens a stream of JSON lines on a connection of its own; the returned function ends it. */
  public stream(path: string, body: unknown, reader: StreamReader): () => void {
    let text = '';
    const sent = this.post(path, body, false, (response) => {
      clearTimeout(timer);
      if (response.statusCode !== 200) sent.destroy();
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        text += chunk;
        const lines = text.split('\n');
        text = lines.pop() ?? '';
        if (text.length > maximumReplyBytes) sent.destroy();
        for (const line of lines) {
          reader.line(parseJson(line));
        }
      });
      response.on('error', () => undefined);
    });
    const timer = setTimeout(() => sent.destroy(), this.timeoutMilliseconds);
    sent.on('close', () => {
      clearTimeout(timer);
      reader.ended();
    });
    return () => sent.destroy();
  }

  /** Ends every open call and stream. */
  public close(): void {
    for (const sent of this.open) {
      sent.destroy();
    }
    this.agent.destroy();
  }

  private post(
    path: string,
    body: unknown,
    agent: Agent | false,
    respond: (response: IncomingMessage) => void,
  ): ClientRequest {
    const text = JSON.stringify(body);
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    };
    const sent = request(new URL(path, this.baseUrl), { method: 'POST', agent, headers }, respond);
    this.open.add(sent);
    sent.on('error', () => undefined);
    sent.on('close', () => this.open.delete(sent));
    sent.end(text);
    return sent;
  }

  private collect(
    response: IncomingMessage,
    sent: ClientRequest,
    conclude: (reply: unknown) => void,
  ): void {
    const chunks: Buffer[] = [];
    let length = 0;
    response.on('data', (chunk: Buffer) => {
      length += chunk.length;
      chunks.push(chunk);
      if (length > maximumReplyBytes) sent.destroy();
    });
    response.on('error', () => undefined);
    response.on('end', () => {
      const isWhole = response.complete && response.statusCode === 200;
      conclude(isWhole ? parseJson(Buffer.concat(chunks).toString('utf8')) : undefined);
    });
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
