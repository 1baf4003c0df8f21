import { setTimeout as sleep } from 'node:timers/promises';

import { parseStatement } from '@peridotspring/language';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { WorkerParser } from '../src/index.js';

const texts = ['show load by service', 'drain zone bern-a wait up to 5s', 'show nothing'];

test('the worker returns the same statements and errors as the parser', async () => {
  const parser = new WorkerParser();
  const results = await Promise.all(texts.map((text) => parser.parse(text)));
  assert.equal(
    results,
    texts.map((text) => parseStatement(text)),
  );
  parser.close();
});

test('an idle parser is unloaded and is loaded again when needed', async () => {
  const parser = new WorkerParser(20);
  assert.not(parser.isLoaded);
  const isLoaded = (): boolean => parser.isLoaded;
  await parser.parse('show services');
  assert.ok(isLoaded());
  while (isLoaded()) await sleep(10);
  assert.is((await parser.parse('show services')).kind, 'parsed');
  parser.close();
});

test('pending and later parses are rejected when the parser is closed', async () => {
  const parser = new WorkerParser();
  const parseErrorOf = (text: string): Promise<string> =>
    parser.parse(text).then(() => 'parsed', String);
  const waiting = parseErrorOf('show services');
  parser.close();
  assert.match(await waiting, /the node stops/);
  assert.match(await parseErrorOf('show services'), /the node stops/);
});

test.run();
