import { setTimeout as sleep } from 'node:timers/promises';

import { parseStatement } from '@peridotspring/language';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { WorkerParser } from '../src/index.js';

const texts = ['show load by service', 'drain zone bern-a wait up to 5s', 'show nothing'];

test('statements and faults come back from the worker as the parser made them', async () => {
  const parser = new WorkerParser();
  const results = await Promise.all(texts.map((text) => parser.parse(text)));
  assert.equal(
    results,
    texts.map((text) => parseStatement(text)),
  );
  parser.close();
});

test('a parser that nobody uses gives its memory back and is loaded again when needed', async () => {
  const parser = new WorkerParser(20);
  assert.not(parser.isLoaded);
  const isLoaded = (): boolean => parser.isLoaded;
  await parser.parse('show services');
  assert.ok(isLoaded());
  while (isLoaded()) await sleep(10);
  assert.is((await parser.parse('show services')).kind, 'parsed');
  parser.close();
});

test('an operator who waits is told when the node stops, and later ones as well', async () => {
  const parser = new WorkerParser();
  const faultOf = (text: string): Promise<string> =>
    parser.parse(text).then(() => 'parsed', String);
  const waiting = faultOf('show services');
  parser.close();
  assert.match(await waiting, /the node stops/);
  assert.match(await faultOf('show services'), /the node stops/);
});

test.run();
