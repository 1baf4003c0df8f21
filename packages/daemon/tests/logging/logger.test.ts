import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { installLogWriter, LogEvent, Logger } from '../../src/index.js';

function linesOf(run: (logger: Logger) => void): readonly string[] {
  const lines: string[] = [];
  installLogWriter((line) => lines.push(line));
  run(new Logger('info'));
  return lines;
}

test('an event is one line through roarr, and fields do not mix with its context', () => {
  const lines = linesOf((logger) => {
    logger.info(LogEvent.NodeStarted, { logLevel: 99, server: '100%s %d\n' });
  });
  assert.is(lines.length, 1);
  assert.match(
    lines[0] ?? '',
    /^time=\S+Z level=info event=node-started logLevel=99 server="100%s %d\\n"\n$/,
  );
});

test('events below the level are left out', () => {
  const lines = linesOf((logger) => {
    logger.debug(LogEvent.PeerLost);
    logger.command({ event: 'suspected', fields: {}, kind: 'log', level: 'debug' });
    logger.command({ event: 'suspected', fields: { server: 'a' }, kind: 'log', level: 'warn' });
  });
  assert.is(lines.length, 1);
  assert.match(lines[0] ?? '', /level=warn event=suspected server=a/);
});

test('event names are stable words without spaces', () => {
  for (const name of Object.values(LogEvent)) assert.match(name, /^[a-z]+(-[a-z]+)*$/);
});

test.run();
