import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { installLogWriter, LogEvent, Logger } from '../../src/index.js';

function logLines(run: (logger: Logger) => void): readonly string[] {
  const lines: string[] = [];
  installLogWriter((line) => lines.push(line));
  run(new Logger('info'));
  return lines;
}

test('roarr writes an event as one line, and fields do not replace properties of its context', () => {
  const lines = logLines((logger) => {
    logger.info(LogEvent.NodeStarted, { logLevel: 99, server: '100%s %d\n' });
  });
  assert.is(lines.length, 1);
  assert.match(
    lines[0] ?? '',
    /^time=\S+Z level=info event=node-started logLevel=99 server="100%s %d\\n"\n$/,
  );
});

test('events below the minimum level are not logged', () => {
  const lines = logLines((logger) => {
    logger.debug(LogEvent.PeerLost);
    logger.command({ event: 'suspected', fields: {}, kind: 'log', level: 'debug' });
    logger.command({ event: 'suspected', fields: { server: 'a' }, kind: 'log', level: 'warn' });
  });
  assert.is(lines.length, 1);
  assert.match(lines[0] ?? '', /level=warn event=suspected server=a/);
});

test('event names are lower-case words joined by hyphens', () => {
  for (const name of Object.values(LogEvent)) assert.match(name, /^[a-z]+(-[a-z]+)*$/);
});

test.run();
