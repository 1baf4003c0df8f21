import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http';

/** Fits a value of 1 MB in base64 with the surrounding JSON; a longer response is invalid. */
const maximumResponseBytes = 2_000_000;

/** Handlers of a stream of JSON lines. */
export interface StreamHandlers {
  /** Called with each parsed line, or `undefined` if it is not JSON. */
  readonly onLine: (value: unknown) => void;
  /** Called once when the stream has ended, was aborted or could not be opened. */
  readonly onEnded: () => void;
}

/** Sends JSON requests to the gateway over keep-alive connections. */
export class GatewayClient {
  private readonly agent: Agent;
  private readonly openRequests = new Set<ClientRequest>();

  public constructor(
    private readonly baseUrl: URL,
    private readonly timeoutMilliseconds: number,
    maximumConnections: number,
  ) {
    this.agent = new Agent({ keepAlive: true, maxSockets: maximumConnections });
  }

  /** Calls `onResponseBody` once with the parsed body, or with `undefined` without a valid response in time. */
  public call(path: string, body: unknown, onResponseBody: (responseBody: unknown) => void): void {
    let isSettled = false;
    const settle = (responseBody: unknown): void => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      onResponseBody(responseBody);
    };
    const clientRequest = this.post(path, body, this.agent, (response) => {
      this.collectResponse(response, clientRequest, settle);
    });
    // The timeout covers the whole call, including the wait for a connection.
    const timer = setTimeout(() => clientRequest.destroy(), this.timeoutMilliseconds);
    clientRequest.on('close', () => {
      settle(undefined);
    });
  }

  /** Opens a stream of JSON lines on a dedicated connection; the returned function closes it. */
  public stream(path: string, body: unknown, handlers: StreamHandlers): () => void {
    let unparsedText = '';
    const clientRequest = this.post(path, body, false, (response) => {
      clearTimeout(timer);
      if (response.statusCode !== 200) clientRequest.destroy();
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        unparsedText += chunk;
        const lines = unparsedText.split('\n');
        unparsedText = lines.pop() ?? '';
        if (unparsedText.length > maximumResponseBytes) clientRequest.destroy();
        for (const line of lines) {
          handlers.onLine(parseJson(line));
        }
      });
      response.on('error', () => undefined);
    });
    const timer = setTimeout(() => clientRequest.destroy(), this.timeoutMilliseconds);
    clientRequest.on('close', () => {
      clearTimeout(timer);
      handlers.onEnded();
    });
    return () => clientRequest.destroy();
  }

  /** Aborts every open call and stream. */
  public close(): void {
    for (const clientRequest of this.openRequests) {
      clientRequest.destroy();
    }
    this.agent.destroy();
  }

  private post(
    path: string,
    body: unknown,
    agent: Agent | false,
    onResponse: (response: IncomingMessage) => void,
  ): ClientRequest {
    const text = JSON.stringify(body);
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    };
    const clientRequest = request(
      new URL(path, this.baseUrl),
      { method: 'POST', agent, headers },
      onResponse,
    );
    // By default, fields after the thousandth are dropped without an error.
    clientRequest.maxHeadersCount = 0;
    this.openRequests.add(clientRequest);
    clientRequest.on('error', () => undefined);
    clientRequest.on('close', () => this.openRequests.delete(clientRequest));
    clientRequest.end(text);
    return clientRequest;
  }

  private collectResponse(
    response: IncomingMessage,
    clientRequest: ClientRequest,
    settle: (responseBody: unknown) => void,
  ): void {
    const chunks: Buffer[] = [];
    let length = 0;
    response.on('data', (chunk: Buffer) => {
      length += chunk.length;
      chunks.push(chunk);
      if (length > maximumResponseBytes) clientRequest.destroy();
    });
    response.on('error', () => undefined);
    response.on('end', () => {
      const isComplete = response.complete && response.statusCode === 200;
      settle(isComplete ? parseJson(Buffer.concat(chunks).toString('utf8')) : undefined);
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
