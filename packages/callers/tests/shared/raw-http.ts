import { once } from 'node:events';
import { connect } from 'node:net';

/** Sends raw bytes on a new connection and returns everything received until it closes. */
export async function exchange(port: number, text: string | Buffer): Promise<string> {
  const socket = connect({ host: '127.0.0.1', port });
  socket.on('error', () => undefined);
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  socket.write(text);
  await once(socket, 'close');
  return Buffer.concat(chunks).toString();
}

/** Builds a request that asks for the connection to be closed after the response. */
export function rawRequest(
  method: string,
  path: string,
  headers: Readonly<Record<string, string>> = {},
  body = '',
): string {
  const lines = [`${method} ${path} HTTP/1.1`, 'host: test', 'connection: close'];
  for (const [name, value] of Object.entries(headers)) {
    lines.push(`${name}: ${value}`);
  }
  if (body !== '' && headers['content-length'] === undefined) {
    lines.push(`content-length: ${Buffer.byteLength(body)}`);
  }
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
