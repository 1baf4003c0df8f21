import { request, type IncomingMessage, type RequestOptions } from 'node:http';

/** How the node is reached. */
export interface Connection {
  readonly host: string;
  readonly port: number;
  readonly secret: string;
  readonly timeoutMilliseconds: number;
}

/** A text for `POST /query`. */
export interface QueryMessage {
  readonly text: string;
  readonly output: 'json' | 'table';
  readonly changeId?: string | undefined;
}

/** What came of a request to the node. */
export type Reply =
  | { readonly kind: 'answered'; readonly status: number; readonly body: unknown }
  /** No connection was made, so the node got nothing. */
  | { readonly kind: 'not-sent'; readonly cause: string }
  /** The request may have reached the node, and no whole answer came. */
  | { readonly kind: 'lost'; readonly cause: string };

/** Longest answer that is read: 10,000 rows of a few KB each. */
const maximumAnswerBytes = 64 * 1_048_576;

function parseBody(chunks: readonly Buffer[]): unknown {
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}

/** Collects an answer; `fail` is called when the answer is not whole. */
function collect(
  response: IncomingMessage,
  conclude: (reply: Reply) => void,
  fail: (cause: string) => void,
): void {
  const chunks: Buffer[] = [];
  let length = 0;
  response.on('data', (chunk: Buffer) => {
    length += chunk.length;
    if (length > maximumAnswerBytes) fail('the answer is too long');
    else chunks.push(chunk);
  });
  response.on('error', (error) => {
    fail(error.message);
  });
  response.on('end', () => {
    conclude({ body: parseBody(chunks), kind: 'answered', status: response.statusCode ?? 0 });
  });
}

function requestOptions(connection: Connection, length: number): RequestOptions {
  const { host, port, secret } = connection;
  const headers = {
    authorization: `Bearer ${secret}`,
    'content-length': length,
    'content-type': 'application/json',
  };
  return { agent: false, headers, host, method: 'POST', path: '/query', port };
}

/**
 * Sends a query. `extraMilliseconds` is added to the connection's time limit, for texts that wait.
 * Never rejects.
 */
export function sendQuery(
  connection: Connection,
  message: QueryMessage,
  extraMilliseconds = 0,
): Promise<Reply> {
  const body = Buffer.from(JSON.stringify(message));
  const limit = connection.timeoutMilliseconds + extraMilliseconds;
  return new Promise((resolve) => {
    let isConnected = false;
    const conclude = (reply: Reply): void => {
      clearTimeout(timer);
      resolve(reply);
      outgoing.destroy();
    };
    const fail = (cause: string): void => {
      conclude({ cause, kind: isConnected ? 'lost' : 'not-sent' });
    };
    const timer = setTimeout(() => {
      fail(`no answer within ${limit} ms`);
    }, limit);
    const outgoing = request(requestOptions(connection, body.length), (response) => {
      collect(response, conclude, fail);
    });
    // By default, fields after the thousandth are dropped without an error.
    outgoing.maxHeadersCount = 0;
    outgoing.on('socket', (socket) => {
      socket.on('connect', () => (isConnected = true));
    });
    outgoing.on('error', (error) => {
      fail(error.message);
    });
    outgoing.end(body);
  });
}
