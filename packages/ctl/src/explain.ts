/** A line of a node's log. */
interface LogLine {
  readonly time: string;
  readonly text: string;
  readonly request: string;
}

const timePattern = /\btime=(\S+)/;
const requestPattern = /\brequest=("(?:[^"\\]|\\.)*"|\S+)/;

/**
 * The lines of all logs that speak of a request or of the calls that its server made for it, in the
 * order of their time. Identifiers of such calls begin with that of the request.
 */
export function explainRequest(requestId: string, logs: readonly string[]): readonly string[] {
  const lines: LogLine[] = [];
  for (const log of logs) {
    for (const text of log.split('\n')) {
      const line = parseLine(text);
      if (line !== undefined && isOf(requestId, line.request)) lines.push(line);
    }
  }
  lines.sort((first, second) => first.time.localeCompare(second.time));
  return lines.map(({ text }) => text);
}

function parseLine(text: string): LogLine | undefined {
  const request = requestPattern.exec(text)?.[1];
  if (request === undefined) return undefined;
  return { request, text: text.trim(), time: timePattern.exec(text)?.[1] ?? '' };
}

/** A call of a server has the identifier of its request, a separator and its own part. */
function isOf(requestId: string, candidate: string): boolean {
  if (!candidate.startsWith(requestId)) return false;
  const next = candidate[requestId.length];
  return next === undefined || !/[A-Za-z0-9]/.test(next);
}
