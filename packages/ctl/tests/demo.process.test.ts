import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { createFleet, eventually, plans, runTool, type ToolRun } from './shared/small-fleet.js';

const fleet = createFleet();
const demo = suite('peridotctl and real nodes');

function operatorPort(server: string): number {
  return fleet.server(server).operatorPort;
}

/** The same answer no matter which node is asked, so the node differs from question to question. */
function query(text: string, server = 'antrag-a', ...flags: readonly string[]): Promise<ToolRun> {
  return runTool(operatorPort(server), 'query', ...flags, text);
}

/** Asks until all nodes answer: a busy machine may delay one beyond the deadline. */
function wholeAnswer(text: string, words: RegExp, server?: string): Promise<ToolRun> {
  return eventually(
    () => query(text, server),
    ({ code, out }) => code === 0 && words.test(out),
  );
}

function send(path: string, init: RequestInit = {}): Promise<Response> {
  return fetch(`http://127.0.0.1:${fleet.server('antrag-a').callerPort}${path}`, init);
}

demo.before(async () => {
  await fleet.startPlatform();
  await fleet.startServers(plans);
  await wholeAnswer('show load by service', /^antrag +3 .*\n1 row, 3 nodes, /m);
});
demo.after(() => fleet.close());

demo('a change is made once and is in force on every node', async () => {
  const text =
    'declare service antrag request read GET "/" idempotent request file POST "/" non-idempotent';
  const declared = await query(`${text} wait up to 60s`);
  assert.is(declared.code, 0, declared.errors + declared.out);
  assert.match(declared.out, /^accepted, revision 1, change /);
  assert.match(declared.out, /revision 1: in force everywhere/);
  for (const { server } of plans) {
    await wholeAnswer(
      'show revision where in_force = false',
      /^0 rows, 3 nodes, revision 1/m,
      server,
    );
  }
  const again = await query(text);
  assert.match(again.out, /^unchanged, revision 1/);
});

demo('a dry run changes nothing and names what would be left without servers', async () => {
  const { code, out } = await query(
    'dry run begin; drain zone bern-a; drain zone bern-b; drain zone bern-c; commit',
  );
  assert.is(code, 0);
  assert.match(out, /service antrag is left without a server/);
  await wholeAnswer('show members where drained = true', /^0 rows/m);
});

/** Question and what its table shows. */
const questions: readonly (readonly [string, RegExp])[] = [
  ['show load by service', /^antrag +3 +\d+ +\d+ +\d+ /m],
  ['show load by zone', /^bern-c +1 /m],
  ['show load by server', /^antrag-b +bern-b +antrag +serving /m],
  ['show load by tenant', /^tenant +in_flight +queued$/m],
  ['show configuration', /^ {2}request file POST "\/" non-idempotent$/m],
  ['show revision', /^antrag-c +bern-c +1 +true$/m],
  ['show members', /^antrag-a +bern-a +ch-mittelland +antrag +serving /m],
  ['show services', /^antrag +true +3 /m],
  ['show budgets where budget = key-records', /^antrag-b .* records$/m],
  ['show platform', /^antrag-a +bern-a +true /m],
  ['show requests', /^request +at +entry /m],
  ['show refusals', /^service +outcome +reason +count /m],
  ['show tenants', /^service +tenant +weight /m],
];

for (const [index, [text, words]] of questions.entries()) {
  demo(`a question is answered as a readable table: ${text}`, async () => {
    const { out } = await wholeAnswer(text, words, plans[index % plans.length]?.server);
    assert.not.match(out, /\d\.\d{5,}/, 'numbers have a sensible number of digits');
  });
}

demo('a wrong question points at the column', async () => {
  const { code, errors } = await query('show load by servce');
  assert.is(code, 2);
  assert.match(errors, /^line 1, column 14: found `servce`, expected `service`/);
  assert.match(errors, /\n {2}show load by servce\n {15}\^/);
});

demo('a request that its entry refused is explained by its identifier on any node', async () => {
  const refused = await send('/antrag/claims', { body: '{}', method: 'POST' });
  await refused.arrayBuffer();
  assert.is(refused.status, 400);
  const id = refused.headers.get('peridotspring-request-id') ?? '';
  const { out } = await wholeAnswer(`show request ${id}`, /key-missing/, 'antrag-c');
  assert.match(out, /refused-not-run: Idempotency-Key is required/);
  const listed = await query('show requests where reason = key-missing', 'antrag-b');
  assert.match(listed.out, new RegExp(`^${id} .* antrag +default .* refused-not-run`, 'm'));
});

demo('an operator finds out whether a key ran', async () => {
  const key = 'demo-process-test-1';
  const init = { body: '{}', headers: { 'idempotency-key': key }, method: 'POST' };
  await eventually(
    async () => {
      const response = await send('/antrag/claims', init);
      await response.arrayBuffer();
      return response.status;
    },
    (status) => status === 200,
  );
  await wholeAnswer(`show key antrag ${key}`, /^antrag +demo-process-test-1 +antrag-. +ran +200$/m);
});

demo('a request that no server takes is explained, and works again after the restore', async () => {
  const group = (verb: string): string =>
    `begin; ${['a', 'b', 'c'].map((zone) => `${verb} zone bern-${zone}`).join('; ')}; commit wait up to 60s`;
  const unconfirmed = await query(group('drain'));
  assert.is(unconfirmed.code, 8, 'taking capacity away needs a confirmation');
  const drained = await query(group('drain'), 'antrag-b', '--yes');
  assert.is(drained.code, 0, drained.errors + drained.out);
  const refused = await send('/antrag/x');
  await refused.arrayBuffer();
  assert.is(refused.headers.get('peridotspring-outcome'), 'refused-not-run');
  const reason = refused.headers.get('peridotspring-reason') ?? '';
  const id = refused.headers.get('peridotspring-request-id') ?? '';
  const { out } = await wholeAnswer(`show request ${id}`, /concluded/, 'antrag-b');
  assert.match(out, new RegExp(` concluded .* ${reason} +refused-not-run`));
  assert.is((await query(group('restore'), 'antrag-c')).code, 0);
  await eventually(
    async () => (await send('/antrag/x')).status,
    (status) => status === 200,
  );
});

demo.run();
