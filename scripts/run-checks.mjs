// Runs formatter, linter, specifications and test files, and prints `N passed, N failed` at the end.
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const concurrentTestFiles = 4;
const testFileTimeoutMilliseconds = 300_000;

/** Test files that need the machine for themselves: they start processes and wait for their timers. */
const isProcessTest = (file) => file.endsWith('.process.test.js');

function run(command, argumentList) {
  return new Promise((resolve) => {
    const child = spawn(command, argumentList, { stdio: ['ignore', 'pipe', 'pipe'] });
    let output = '';
    child.stdout.on('data', (chunk) => (output += chunk));
    child.stderr.on('data', (chunk) => (output += chunk));
    const timer = setTimeout(() => child.kill('SIGKILL'), testFileTimeoutMilliseconds);
    child.on('close', (code) => {
      clearTimeout(timer);
      resolve({ code, output });
    });
  });
}

function findTestFiles(folder) {
  const found = [];
  for (const entry of readdirSync(folder, { withFileTypes: true })) {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) found.push(...findTestFiles(path));
    else if (entry.name.endsWith('.test.js')) found.push(path);
  }
  return found;
}

/** Test files listed in KNOWN-RED.txt as `test: <path of the source file>`. */
function knownRedFiles() {
  if (!existsSync('KNOWN-RED.txt')) return new Set();
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return new Set(
    lines
      .filter((line) => line.startsWith('test: '))
      .map((line) => line.slice('test: '.length).trim()),
  );
}

function sourceOf(testFile) {
  return testFile.replace('/dist/tests/', '/tests/').replace(/\.js$/, '.ts');
}

let passed = 0;
let failed = 0;

function report(name, isPassing, output) {
  if (isPassing) passed += 1;
  else failed += 1;
  console.log(`${isPassing ? 'pass' : 'FAIL'} ${name}`);
  if (!isPassing) console.log(output);
}

async function runStep(name, command, argumentList) {
  const { code, output } = await run(command, argumentList);
  report(name, code === 0, output);
}

async function runTestFile(file, knownRed) {
  const { code, output } = await run('node', ['--enable-source-maps', file]);
  const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? 0);
  const passing = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0);
  if (knownRed.has(sourceOf(file))) {
    console.log(`known red ${sourceOf(file)}: ${passing} of ${total} passed (see KNOWN-RED.txt)`);
    return;
  }
  const isPassing = code === 0 && total > 0 && passing === total;
  passed += passing;
  failed += isPassing ? 0 : Math.max(1, total - passing);
  console.log(`${isPassing ? 'pass' : 'FAIL'} ${sourceOf(file)}: ${passing} of ${total}`);
  if (!isPassing) console.log(output);
}

async function runAll(files, concurrency, knownRed) {
  const waiting = [...files];
  const worker = async () => {
    for (let file = waiting.shift(); file !== undefined; file = waiting.shift()) {
      await runTestFile(file, knownRed);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, worker));
}

const testFolders = [...readdirSync('packages').map((name) => join('packages', name)), 'platform'];
const testFiles = testFolders
  .map((folder) => join(folder, 'dist', 'tests'))
  .filter((folder) => existsSync(folder))
  .flatMap(findTestFiles)
  // A compiled test whose source was removed is left over from an earlier build.
  .filter((file) => existsSync(sourceOf(file)))
  .sort();
const knownRed = knownRedFiles();

await runStep('prettier', 'npx', ['prettier', '--check', '.']);
await runStep('eslint', 'npx', ['eslint', '--cache', '--cache-location', '.cache/eslint', '.']);
if (existsSync('scripts/check-specifications.mjs')) {
  const { code, output } = await run('node', ['scripts/check-specifications.mjs']);
  const lines = output.split('\n').filter((line) => /^(pass|FAIL) /.test(line));
  console.log(output.trimEnd());
  passed += lines.filter((line) => line.startsWith('pass ')).length;
  const failing = lines.filter((line) => line.startsWith('FAIL ')).length;
  failed += code === 0 ? failing : Math.max(1, failing);
}
await runAll(
  testFiles.filter((file) => !isProcessTest(file)),
  concurrentTestFiles,
  knownRed,
);
await runAll(testFiles.filter(isProcessTest), 1, knownRed);

console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
