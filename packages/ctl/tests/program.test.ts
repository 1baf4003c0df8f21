import { execFileSync } from 'node:child_process';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { ExitCode, runProgram, type Terminal } from '../src/index.js';

interface Query {
  readonly text: string;
  readonly changeId?: string;
}

type Answerer = (query: Query, response: ServerResponse, request: IncomingMessage) => void;

let answerer: Answerer = () => undefined;
let queries: Query[] = [];

const server = createServer((request, response) => {
  let body = '';
  request.on('data', (chunk: Buffer) => (body += chunk.toString()));
  request.on('end', () => {
    const query = JSON.parse(body) as Query;
    queries.push(query);
    answerer(query, response, request);
  });
});

function json(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status).end(JSON.stringify(body));
}

/** Answers every query with the same JSON. */
function always(status: number, body: object): Answerer {
  return (_, response) => {
    json(response, status, body);
  };
}

interface Run {
  readonly code: ExitCode;
  readonly out: string;
  readonly errors: string;
}

async function run(
  argumentList: readonly string[],
  answer: Answerer,
  terminal: Partial<Terminal> = {},
): Promise<Run> {
  answerer = answer;
  queries = [];
  let out = '';
  let errors = '';
  const port = (server.address() as AddressInfo).port;
  const code = await runProgram(
    ['--address', `127.0.0.1:${port}`, '--secret', 's', '--resolve', '600ms', ...argumentList],
    {
      ask: () => Promise.resolve('no'),
      error: (text) => (errors += `${text}\n`),
      isInteractive: false,
      out: (text) => (out += `${text}\n`),
      readInput: () => Promise.resolve('begin; restore zone a; commit'),
      ...terminal,
    },
  );
  return { code, errors, out };
}

const port = suite('peridotctl');
port.before(
  () =>
    new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    }),
);
port.after(() => {
  server.close();
  server.closeAllConnections();
});

const rows = { kind: 'rows', lacking: [], missing: [], rows: [], table: 'a table' };
const change = { kind: 'change', status: 'accepted', table: 'accepted' };
const inForce = { everywhere: false, kind: 'in-force', lacking: [{}], missing: [] };

/** Arguments, status and body of the answer, exit code. */
const answers: readonly (readonly [readonly string[], number, object, ExitCode])[] = [
  [['query', 'show services'], 200, rows, ExitCode.Done],
  [['query', 'show', 'services'], 200, { ...rows, missing: [{}] }, ExitCode.Partial],
  [['query', 'show', 'configuration'], 200, { ...rows, lacking: [{}] }, ExitCode.Partial],
  [['query', 'show', 'servces'], 200, rows, ExitCode.Usage],
  [['query', 'show services where a = 1'], 400, { errors: [], kind: 'faults' }, ExitCode.Usage],
  [['query', 'show services'], 401, { kind: 'failed' }, ExitCode.Forbidden],
  [['query', 'show services'], 500, { kind: 'failed' }, ExitCode.Unreachable],
  [['wait', '--revision', '7'], 200, inForce, ExitCode.Partial],
  [['wait'], 200, { ...inForce, everywhere: true }, ExitCode.Done],
  [['restore', 'zone', 'a', '--wait'], 200, { ...change, inForce }, ExitCode.Partial],
  [['restore', 'zone', 'a'], 200, change, ExitCode.Done],
  [['restore', 'zone', 'a'], 409, { ...change, status: 'conflict' }, ExitCode.Conflict],
  [['restore', 'zone', 'a'], 422, { ...change, status: 'rejected' }, ExitCode.Rejected],
  [['restore', 'zone', 'a'], 503, { kind: 'failed' }, ExitCode.Unreachable],
  [['apply', '-f', '-'], 200, change, ExitCode.Done],
  [['apply', '-f', '/does/not/exist'], 200, change, ExitCode.Usage],
  [['watch', 'show load by zone', '--count', '2', '--interval', '1ms'], 200, rows, ExitCode.Done],
  [['watch', 'drain zone a', '--count', '1'], 200, rows, ExitCode.Usage],
  [['drain', 'rack', 'a'], 200, change, ExitCode.Usage],
  [['--output', 'xml', 'wait'], 200, inForce, ExitCode.Usage],
];

for (const [argumentList, status, body, code] of answers) {
  const name = `${argumentList.join(' ')} with ${status} ${JSON.stringify(body).slice(0, 60)}`;
  port(`the exit code tells a script what happened: ${name}`, async () => {
    const result = await run(argumentList, always(status, body));
    assert.is(result.code, code, result.errors);
  });
}

port('a change carries an identifier of the client, a question does not', async () => {
  await run(['restore', 'zone', 'a'], always(200, change));
  assert.match(queries[0]?.changeId ?? '', /^[0-9a-f-]{36}$/);
  await run(['query', 'show services'], always(200, rows));
  assert.is(queries[0]?.changeId, undefined);
});

for (const object of ['server', 'zone']) {
  port(`a drain is not made without a confirmation: ${object}`, async () => {
    const refused = await run(['drain', object, 'a'], always(200, change));
    assert.equal([refused.code, queries.length], [ExitCode.NotConfirmed, 0]);
    const declined = await run(['drain', object, 'a'], always(200, change), {
      isInteractive: true,
    });
    assert.equal(
      [declined.code, queries.map(({ text }) => text)],
      [ExitCode.NotConfirmed, [`dry run drain ${object} "a"`]],
    );
    const confirmed = await run(['drain', object, 'a', '--yes'], always(200, change));
    assert.equal([confirmed.code, queries.length], [ExitCode.Done, 1]);
  });
}

port('a removal inside a group has to be confirmed as well', async () => {
  const text = 'begin; restore zone a; remove service b; commit';
  assert.is((await run(['query', text], always(200, change))).code, ExitCode.NotConfirmed);
});

/** Loses the answer to a change; `show change` then says these states, the last one for ever. */
function losing(...states: readonly string[]): Answerer {
  let asked = 0;
  return (query, response, request) => {
    if (query.changeId !== undefined) {
      request.socket.destroy();
      return;
    }
    const state = states[Math.min(asked, states.length - 1)];
    asked += 1;
    json(response, 200, { ...rows, rows: [{ state }] });
  };
}

/** States that the node names one after the other, and the exit code in the end. */
const lostAnswers: readonly (readonly [readonly string[], ExitCode])[] = [
  [['in-force'], ExitCode.Done],
  [['not-found', 'pending', 'in-force'], ExitCode.Done],
  [['pending', 'conflict'], ExitCode.Conflict],
  [['rejected'], ExitCode.Rejected],
  [['not-found'], ExitCode.Unknown],
  [['unresolved'], ExitCode.Unknown],
];

for (const [states, code] of lostAnswers) {
  port(
    `a lost answer is not reported before the change was asked for: ${states.join(', ')}`,
    async () => {
      const result = await run(['restore', 'zone', 'a'], losing(...states));
      assert.is(result.code, code, result.errors);
      assert.is(queries[1]?.text, `show change ${queries[0]?.changeId ?? ''}`);
      assert.is(queries.filter(({ changeId }) => changeId !== undefined).length, 1);
    },
  );
}

port('an answer without JSON to a change is a lost answer', async () => {
  const result = await run(['restore', 'zone', 'a'], (query, response) => {
    if (query.changeId !== undefined) response.writeHead(502).end('<html>');
    else json(response, 200, { ...rows, rows: [{ state: 'in-force' }] });
  });
  assert.is(result.code, ExitCode.Done);
});

port('a node that is not there is told apart from a lost answer', async () => {
  const address = ['--address', '127.0.0.1:1', '--secret', 's'];
  const result = await run([...address, 'restore', 'zone', 'a'], always(200, change));
  assert.is(result.code, ExitCode.Unreachable);
});

port('the completion of bash offers commands, flags and words of the language', async () => {
  const { out } = await run(['completion', 'bash'], always(200, rows));
  const complete = (words: string): string =>
    execFileSync('bash', [
      '-c',
      `${out}\nCOMP_WORDS=(${words}); COMP_CWORD=$((\${#COMP_WORDS[@]}-1)); _peridotctl; echo "\${COMPREPLY[*]}"`,
    ]).toString();
  assert.is(complete('peridotctl wa'), 'watch wait\n');
  assert.is(complete('peridotctl query show serv'), 'server service services\n');
  assert.is(complete('peridotctl drain z'), 'zone\n');
  assert.is(complete('peridotctl --ad'), '--address\n');
});

port.run();
