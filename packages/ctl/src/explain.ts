/** A line of a node's log. */
interface LogLine {
  readonly time: string;
  readonly text: string;
}

const timePattern = /\btime=(\S+)/;
const requestPattern = /\brequest=("(?:[^"\\]|\\.)*"|\S+)/;
const instancePattern = /\binstance=(\S+)/;
/** Events that say which code a process runs, and when it started and ended. */
const processPattern = /\bevent=(?:program-started|node-started|node-stopping|node-stopped) /;

/**
 * The lines of all logs that speak of a request or of the calls that its server made for it, in the
 * order of their time. Identifiers of such calls begin with that of the request.
 */
export function explainRequest(requestId: string, logs: readonly string[]): readonly string[] {
  return linesOf(logs, (text) => {
    const request = requestPattern.exec(text)?.[1];
    return request !== undefined && isOf(requestId, request);
  });
}

/**
 * The lines of all logs that speak of an incarnation of a server, and those that say which code the processes ran, in the order of
 * their time. Empty if no line speaks of the server.
 */
export function explainServer(instanceId: string, logs: readonly string[]): readonly string[] {
  const isOfServer = (text: string): boolean => instancePattern.exec(text)?.[1] === instanceId;
  const lines = linesOf(logs, (text) => isOfServer(text) || processPattern.test(text));
  return lines.some(isOfServer) ? lines : [];
}

function linesOf(
  logs: readonly string[],
  isIncluded: (text: string) => boolean,
): readonly string[] {
  const lines: LogLine[] = [];
  for (const log of logs) {
    for (const text of log.split('\n')) {
      if (isIncluded(text))
        lines.push({ text: text.trim(), time: timePattern.exec(text)?.[1] ?? '' });
    }
  }
  lines.sort((first, second) => first.time.localeCompare(second.time));
  return lines.map(({ text }) => text);
}

/** A call of a server has the identifier of its request, a separator and its own part. */
function isOf(requestId: string, candidate: string): boolean {
  if (!candidate.startsWith(requestId)) return false;
  const next = candidate[requestId.length];
  return next === undefined || !/[A-Za-z0-9]/.test(next);
}
