import { request } from 'node:http';

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
  return new Promise((resolve) => {
    let isConnected = false;
    const conclude = (reply: Reply): void => {
      clearTimeout(timer);
      resolve(reply);
      outgoing.destroy();
    };
    const giveUp = (cause: string): void => {
      conclude({ cause, kind: isConnected ? 'lost' : 'not-sent' });
    };
    const headers = {
      authorization: `Bearer ${connection.secret}`,
      'content-length': body.length,
      'content-type': 'application/json',
    };
    const { host, port } = connection;
    const outgoing = request(
      { agent: false, headers, host, method: 'POST', path: '/query', port },
      (response) => {
        const chunks: Buffer[] = [];
        let length = 0;
        response.on('data', (chunk: Buffer) => {
          length += chunk.length;
          if (length > maximumAnswerBytes) giveUp('the answer is too long');
          else chunks.push(chunk);
        });
        response.on('error', (error) => {
          giveUp(error.message);
        });
        response.on('end', () => {
          conclude({ body: parseBody(chunks), kind: 'answered', status: response.statusCode ?? 0 });
        });
      },
    );
    const limit = connection.timeoutMilliseconds + extraMilliseconds;
    const timer = setTimeout(() => {
      giveUp(`no answer within ${limit} ms`);
    }, limit);
    outgoing.on('socket', (socket) => {
      socket.on('connect', () => (isConnected = true));
    });
    outgoing.on('error', (error) => {
      giveUp(error.message);
    });
    outgoing.end(body);
  });
}
