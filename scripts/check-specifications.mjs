// Checks the Promela specifications exhaustively with spin; variants without one mechanism must fail.
import { spawn } from 'node:child_process';
import { mkdirSync, rmSync } from 'node:fs';
import { join, resolve } from 'node:path';

const specificationFolder = resolve('specification');
const buildFolder = join(specificationFolder, 'build');
const concurrentChecks = 4;
const checkTimeoutMilliseconds = 150_000;
const memoryLimitMegabytes = 4_000;

const noRestarts = ['HOME_RESTARTS=0', 'WITNESS_RESTARTS=0'];
const oneTakeover = ['VERSIONS=2', 'HORIZON=4'];

/** Every check: a specification, the macros it is built with and whether spin must find a violation. */
const checks = [
  { model: 'at-most-once', name: 'takeover with restarts', macros: oneTakeover },
  {
    model: 'at-most-once',
    name: 'takeover with twice the skew',
    macros: [...oneTakeover, ...noRestarts, 'SKEW=2'],
  },
  {
    model: 'at-most-once',
    name: 'takeover and return',
    macros: ['VERSIONS=3', 'HORIZON=4', ...noRestarts],
  },
  {
    model: 'at-most-once',
    name: 'takeover, home restart and return',
    macros: ['VERSIONS=3', 'HORIZON=4', 'WITNESS_RESTARTS=0'],
  },
  ...[
    'NO_LEASE_CHECK',
    'LEASE_FROM_ANSWER',
    'NO_PROMISE_WAIT',
    'NO_CUTOFF',
    'NO_VOID_RULE',
    'NO_VOID_MARGIN',
    'NO_TAKEOVER_VOID',
  ].map((variant) => ({
    model: 'at-most-once',
    variant,
    macros: [...oneTakeover, ...noRestarts],
  })),
  {
    model: 'at-most-once',
    variant: 'NO_CUTOFF_MARGIN',
    macros: [...oneTakeover, ...noRestarts, 'SKEW=2'],
  },
  ...['NO_RESTART_WAIT', 'NO_WITNESS_READ'].map((variant) => ({
    model: 'at-most-once',
    variant,
    macros: [...oneTakeover, 'HOME_RESTARTS=0'],
  })),
  {
    model: 'at-most-once',
    variant: 'NO_SINCE',
    macros: ['VERSIONS=3', 'HORIZON=4', ...noRestarts],
  },
  { model: 'planned-stop', name: 'all mechanisms', macros: [] },
  ...[
    'NO_ACKNOWLEDGEMENT',
    'NO_TRANSFER_ID',
    'NO_ACCEPT_STOP',
    'NO_WAIT_FOR_RUNNING',
    'RESUME_AFTER_LOST_ANSWER',
  ].map((variant) => ({ model: 'planned-stop', variant, macros: [] })),
  { model: 'departure', name: 'all mechanisms', macros: [] },
  ...['NO_RECORD', 'CONFIRM_FIRST', 'NO_READ', 'TRUST_HEALTH', 'OLD_READ', 'SAME_ADDRESS'].map(
    (variant) => ({ model: 'departure', variant, macros: [] }),
  ),
  { model: 'configuration', name: 'all mechanisms', macros: [] },
  ...['NO_COMPARE', 'NO_CHANGE_ID', 'NO_MONOTONIC', 'NO_ROOT', 'CONFLICT_TOO_EARLY'].map(
    (variant) => ({ model: 'configuration', variant, macros: [] }),
  ),
  { model: 'witness-change', name: 'late requests', macros: [] },
  ...[0, 2, 3].map((witness) => ({
    model: 'witness-change',
    name: `restart of witness ${witness}`,
    macros: [`RESTARTING=${witness}`, 'NO_LATE_REQUESTS'],
  })),
  {
    model: 'witness-change',
    name: 'confirmations at different times in one lease',
    macros: ['LEASE=2', 'RESTARTING=0', 'NO_LATE_REQUESTS', 'NO_HOME_CRASH'],
  },
  ...['NO_DOUBLE_QUORUM', 'DROP_UNCONFIRMED'].map((variant) => ({
    model: 'witness-change',
    variant,
    macros: [],
  })),
  ...['NO_RESTART_WAIT', 'NO_WITNESS_READ'].map((variant) => ({
    model: 'witness-change',
    variant,
    macros: ['RESTARTING=0'],
  })),
  { model: 'rebase', name: 'three operators', macros: [] },
  { model: 'rebase', name: 'three operators, one identifier kept', macros: ['KEPT=1'] },
  {
    model: 'rebase',
    name: 'two operators who send unresolved changes again',
    macros: ['OPERATORS=2', 'TRIES=2', 'RESENDS=2'],
  },
  ...['NO_CHANGE_ID', 'REBASE_CONFLICTING', 'REBASE_FROM_BASE'].map((variant) => ({
    model: 'rebase',
    variant,
    macros: [],
  })),
  { model: 'rebase', variant: 'NO_COVER_CHECK', macros: ['KEPT=1'] },
  { model: 'rebase', variant: 'REJECT_RESEND', macros: ['OPERATORS=2', 'RESENDS=1'] },
  { model: 'resent-frames', name: 'all mechanisms', macros: [] },
  ...['NO_RECORD', 'FORGET_EARLY', 'ANY_LIFE', 'MOVE_UNKNOWN'].map((variant) => ({
    model: 'resent-frames',
    variant,
    macros: [],
  })),
  { model: 'drain', name: 'all mechanisms', macros: [] },
  ...['ROUTERS_DECIDE', 'STOP_AT_ONCE', 'QUEUE_FORGOTTEN'].map((variant) => ({
    model: 'drain',
    variant,
    macros: [],
  })),
  { model: 'store-eras', name: 'two returns, three versions', macros: [] },
  ...['ERA_IGNORED', 'WATCH_KEPT', 'ENTRY_FORGOTTEN'].map((variant) => ({
    model: 'store-eras',
    macros: [],
    variant,
  })),
  { model: 'key-revocation', name: 'reads, watches and older copies', macros: ['NO_PEERS'] },
  {
    model: 'key-revocation',
    name: 'questions to peers, a restart',
    macros: ['NO_RETURNS'],
  },
  ...['TIME_OF_ANSWER', 'STALE_READ', 'ERA_IGNORED', 'STEADY_CLOCK'].map((variant) => ({
    model: 'key-revocation',
    macros: ['NO_PEERS'],
    variant,
  })),
  ...['TIME_OF_ARRIVAL', 'ANY_VERSION', 'NUMBERS_REUSED'].map((variant) => ({
    model: 'key-revocation',
    macros: ['NO_RETURNS'],
    variant,
  })),
  { model: 'request-quarantine', name: 'two cuts, four restarts', macros: [] },
  ...['NO_GREETING', 'NO_RELAY', 'NO_STORE', 'COUNT_REPORTS'].map((variant) => ({
    model: 'request-quarantine',
    variant,
    macros: [],
  })),
];

function run(command, argumentList, folder) {
  return new Promise((resolveRun) => {
    const child = spawn(command, argumentList, { cwd: folder });
    let output = '';
    child.stdout.on('data', (chunk) => (output += chunk));
    child.stderr.on('data', (chunk) => (output += chunk));
    child.on('error', (error) => (output += error.message));
    const timer = setTimeout(() => child.kill('SIGKILL'), checkTimeoutMilliseconds);
    child.on('close', (code) => {
      clearTimeout(timer);
      resolveRun({ code, output });
    });
  });
}

/** Builds one check; a variant searches breadth first, because its counterexamples are short. */
async function build(check, folder) {
  const macros = [...check.macros, ...(check.variant === undefined ? [] : [check.variant])];
  const model = join(specificationFolder, `${check.model}.pml`);
  const generated = await run(
    'spin',
    ['-a', ...macros.map((macro) => `-D${macro}`), model],
    folder,
  );
  if (generated.code !== 0) return generated;
  const search = check.variant === undefined ? [] : ['-DBFS'];
  const options = ['-DSAFETY', '-DNOREDUCE', `-DMEMLIM=${memoryLimitMegabytes}`, ...search];
  return run('gcc', ['-O2', '-w', ...options, '-o', 'pan', 'pan.c'], folder);
}

/** A check counts only when the search was complete or, for a variant, ended with a violation. */
function judge(check, output) {
  const violated = output.includes('assertion violated');
  const complete = /errors: 0\n/.test(output) && !/search not completed|too small/i.test(output);
  return check.variant === undefined ? complete && !violated : violated;
}

async function runCheck(check, index) {
  const name = `${check.model}: ${check.variant === undefined ? check.name : `without mechanism, ${check.variant}`}`;
  const folder = join(buildFolder, String(index));
  mkdirSync(folder, { recursive: true });
  const startedAt = Date.now();
  const built = await build(check, folder);
  const searched =
    built.code === 0 ? await run('./pan', ['-E', '-m1000000', '-w22'], folder) : built;
  const isPassing = built.code === 0 && judge(check, searched.output);
  const states = /(\d+) states, stored/.exec(searched.output)?.[1] ?? 'unknown';
  const seconds = ((Date.now() - startedAt) / 1000).toFixed(1);
  console.log(`${isPassing ? 'pass' : 'FAIL'} ${name} (${states} states, ${seconds} s)`);
  if (!isPassing) console.log(searched.output);
  return isPassing;
}

rmSync(buildFolder, { recursive: true, force: true });
const waiting = checks.map((check, index) => ({ check, index }));
let failed = 0;
const worker = async () => {
  for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
    if (!(await runCheck(next.check, next.index))) failed += 1;
  }
};
await Promise.all(Array.from({ length: concurrentChecks }, worker));
process.exitCode = failed === 0 ? 0 : 1;
