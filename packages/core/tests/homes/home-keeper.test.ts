import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type {
  HomeCommand,
  HomeSettings,
  KeyedOutcome,
  MemberRecord,
  RecordUsage,
} from '../../src/index.js';
import { defaultHomeSettings, HomeManager } from '../../src/index.js';
import { MemberDirectory } from '../../src/homes/member-directory.js';
import { keyCreatedAt } from './shared/home-checks.js';
import { epoch } from './shared/home-network.js';

const service = 'issuance';
const key = keyCreatedAt(epoch + 4_000, 1);

function member(server: string, zone: string, memberService = service): MemberRecord {
  return {
    availabilityZone: zone,
    incarnation: 1,
    peerAddress: server,
    region: 'r',
    server,
    service: memberService,
    slots: 1,
    state: 'serving',
  };
}

/** A single home that is its own witness, with a store that replies immediately. */
class SingleHome {
  private now = 0;
  private stored: { key: string; value: string; version: number } | undefined;
  private readonly manager: HomeManager;
  private callId = 0;
  public readonly dispatches: number[] = [];
  public readonly replies = new Map<number, KeyedOutcome>();

  public constructor(settings: Partial<HomeSettings> = {}) {
    const self = { incarnation: 1, server: 'a' };
    this.manager = new HomeManager(self, { ...defaultHomeSettings, ...settings });
    this.execute(this.manager.onMembersChanged([member('a', 'z')], new Set(), this.clock()));
    this.advance(4_000);
  }

  public advance(milliseconds: number): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += 100) {
      this.execute(this.manager.tick(this.clock()));
    }
  }

  /** Sends the home a table in which it has been the home of its ranges only since that version. */
  public loseAndRegainRanges(): void {
    const known = this.manager.table(service);
    if (known === undefined) throw new Error('the table is missing');
    const version = known.version + 2;
    const ranges = known.ranges.map((home) => home && { ...home, since: version });
    const table = { ...known, ranges, version };
    this.execute(this.manager.onFrame('b', { kind: 'home-table', service, table }, this.clock()));
  }

  /**
   * Sends a request that its entry received `age` milliseconds ago; returns its outcome, if there
   * is one yet.
   */
  public request(requestKey: string, digest = 'd', age = 0): KeyedOutcome | undefined {
    this.callId += 1;
    const head = {
      depth: 0,
      headers: {},
      method: 'POST',
      path: '/',
      requestId: '',
      service,
      tenant: '',
    };
    const frame = {
      body: new Uint8Array(),
      callId: this.callId,
      digest,
      head,
      key: requestKey,
      kind: 'keyed-request',
      receivedAt: this.clock().wall - age,
      remainingMilliseconds: 1_000,
    } as const;
    this.execute(this.manager.onRequest('entry', frame, this.clock()));
    return this.replies.get(this.callId);
  }

  public finishAttempt(
    kind: 'answered' | 'refused' | 'unknown',
    bytes: number | 'too-large' = 10,
  ): void {
    const dispatchId = this.dispatches.shift() ?? 0;
    const body = bytes === 'too-large' ? undefined : new Uint8Array(bytes);
    const answer = { body, headers: {}, status: 201 };
    const outcome =
      kind === 'answered'
        ? ({ kind, status: 201 } as const)
        : kind === 'refused'
          ? ({ kind: 'refused-not-run', reason: 'no-slot' } as const)
          : ({ attemptStarted: true, kind: 'outcome-unknown', reason: 'connection-lost' } as const);
    this.execute(this.manager.onAttemptConcluded(dispatchId, outcome, answer, this.clock()));
  }

  public askState(questionKey: string): string {
    const frame = { callId: 0, key: questionKey, kind: 'key-question', service } as const;
    const [answer] = this.manager.onKeyQuestion('entry', frame, this.clock());
    return answer?.kind === 'send' && answer.frame.kind === 'key-answer' ? answer.frame.state : '';
  }

  public get usage(): RecordUsage {
    return this.manager.recordUsage;
  }

  public get records(): number {
    return this.usage.records;
  }

  public get elapsed(): number {
    return this.now;
  }

  private clock(): { monotonic: number; wall: number } {
    return { monotonic: this.now, wall: epoch + this.now };
  }

  private execute(commands: readonly HomeCommand[]): void {
    for (const command of commands) {
      if (command.kind === 'run-keyed') this.dispatches.push(command.dispatchId);
      if (command.kind === 'keyed-reply') this.replies.set(command.callId, command.outcome);
      if (command.kind !== 'store') continue;
      const { operation, operationId } = command;
      if (operation.kind === 'compare-and-swap') {
        const version = operation.expectedVersion + 1;
        this.stored = { key: operation.key, value: operation.value, version };
        this.execute(
          this.manager.onStoreResult(operationId, { kind: 'written', version }, this.clock()),
        );
      } else {
        const result =
          this.stored === undefined
            ? ({ kind: 'missing' } as const)
            : ({ entry: this.stored, kind: 'found' } as const);
        this.execute(this.manager.onStoreResult(operationId, result, this.clock()));
      }
    }
  }
}

function reasonOf(outcome: KeyedOutcome | undefined): string {
  if (outcome === undefined) return 'waits';
  if (outcome.kind === 'answered') return outcome.recorded ? 'recorded' : 'answered';
  return outcome.kind === 'not-home' ? 'not-home' : outcome.reason;
}

test('a resend joins the running attempt and later gets the recorded answer', () => {
  const home = new SingleHome();
  home.request(key);
  home.request(key);
  assert.is(home.dispatches.length, 1);
  home.finishAttempt('answered');
  assert.equal([...home.replies.values()].map(reasonOf), ['answered', 'recorded']);
  assert.is(reasonOf(home.request(key)), 'recorded');
  assert.is(home.askState(key), 'ran');
});

test('a resend with a different body is refused in every state of the key', () => {
  const home = new SingleHome();
  home.request(key);
  assert.is(reasonOf(home.request(key, 'other')), 'key-reused');
  home.finishAttempt('answered');
  assert.is(reasonOf(home.request(key, 'other')), 'key-reused');
  assert.is(home.dispatches.length, 0);
});

test('an attempt whose connection was lost is never dispatched again', () => {
  const home = new SingleHome();
  home.request(key);
  home.finishAttempt('unknown');
  assert.is(reasonOf(home.request(key)), 'connection-lost');
  assert.is(home.askState(key), 'unknown');
});

test('an attempt received before a refusal is void, a later one runs', () => {
  const home = new SingleHome();
  home.request(key);
  home.finishAttempt('refused');
  home.advance(200);
  assert.is(reasonOf(home.request(key, 'd', 300)), 'void-attempt');
  home.advance(1_100);
  assert.is(reasonOf(home.request(key)), 'waits');
  assert.is(home.dispatches.length, 1);
});

test('a range that had another home in between starts again with a cutoff', () => {
  const home = new SingleHome();
  home.request(key);
  home.finishAttempt('answered');
  home.loseAndRegainRanges();
  home.advance(4_000);
  assert.is(reasonOf(home.request(key)), 'created-before-takeover');
});

test('after the answer "not run" to a question, an attempt received earlier is void', () => {
  const home = new SingleHome();
  assert.is(home.askState(key), 'not-run');
  home.advance(200);
  assert.is(reasonOf(home.request(key, 'd', 300)), 'void-attempt');
});

test('a full key store refuses new keys, and attempts received until then stay void', () => {
  const home = new SingleHome({ maximumRecords: 1, retentionMilliseconds: 10_000 });
  home.request(key);
  home.finishAttempt('answered');
  home.advance(5_000);
  const late = keyCreatedAt(epoch + 9_000, 2);
  assert.is(reasonOf(home.request(late)), 'key-store-full');
  assert.is(home.records, 1);
  home.advance(8_000);
  assert.is(reasonOf(home.request(late, 'd', 8_000)), 'void-attempt');
});

// Guards against a key store that is filled by a peak of some minutes and then refuses every new key
// for the rest of the day.
test('a full key store evicts its oldest keys, which never run again', () => {
  const home = new SingleHome({ maximumRecords: 2, minimumRetentionMilliseconds: 10_000 });
  const keyWithoutCreationTime = 'no-creation-time';
  for (const requestedKey of [key, keyWithoutCreationTime]) {
    home.request(requestedKey);
    home.finishAttempt('answered');
  }
  const createFreshKey = (): string => keyCreatedAt(epoch + home.elapsed, 3);
  home.advance(5_000);
  assert.is(reasonOf(home.request(createFreshKey())), 'key-store-full');
  home.advance(6_000);
  const late = createFreshKey();
  assert.is(reasonOf(home.request(late)), 'waits');
  home.finishAttempt('answered');
  assert.is(home.usage.evicted, 1);
  assert.is(home.records, 2);
  assert.is(reasonOf(home.request(key)), 'key-too-old');
  assert.is(reasonOf(home.request(keyWithoutCreationTime)), 'recorded');
  assert.is(reasonOf(home.request(late)), 'recorded');
});

test('recorded responses are dropped before keys, and a resend gets answer-not-kept', () => {
  const home = new SingleHome({ keyRecordBytes: 1_000 });
  home.request(key);
  home.finishAttempt('answered', 500);
  home.request(keyCreatedAt(epoch + 4_000, 2));
  home.finishAttempt('answered', 500);
  assert.is(reasonOf(home.request(key)), 'answer-not-kept');
});

// Guards against a caller that exhausts the home's memory with resends of one key.
test('a limited number of requests wait for a running attempt, and all of them get its answer', () => {
  const home = new SingleHome();
  const waiting = 64;
  for (let count = 0; count < waiting; count += 1) home.request(key);
  assert.is(reasonOf(home.request(key)), 'key-busy');
  home.finishAttempt('answered');
  const outcomes = [...home.replies.values()];
  assert.is(outcomes.filter(({ kind }) => kind === 'answered').length, waiting);
  assert.is(home.dispatches.length, 0);
});

test('an answer that exceeds the size limit is reported as such, and the key does not run again', () => {
  const home = new SingleHome();
  home.request(key);
  home.finishAttempt('answered', 'too-large');
  assert.equal([...home.replies.values()].map(reasonOf), ['answer-too-large']);
  assert.is(reasonOf(home.request(key)), 'answer-too-large');
  assert.is(home.dispatches.length, 0);
});

test('a home whose witness has not promised a lease runs nothing and replies no-lease', () => {
  const home = new SingleHome({ leaseMilliseconds: 20_000 });
  assert.is(reasonOf(home.request(key)), 'waits');
  home.advance(1_500);
  assert.equal([...home.replies.values()].map(reasonOf), ['no-lease']);
  assert.is(home.dispatches.length, 0);
});

test('an odd number of witnesses is spread across zones, servers of the service first', () => {
  const directory = new MemberDirectory(defaultHomeSettings);
  const own = [member('a1', 'za'), member('a2', 'za'), member('b1', 'zb')];
  const others = ['za', 'zb', 'zc'].map((zone) => member(`other-${zone}`, zone, 'retirement'));
  directory.update(own, new Set());
  assert.is(directory.chooseWitnesses(service, []).length, 3);
  directory.update([...own, ...others], new Set());
  const chosen = directory.chooseWitnesses(service, []);
  assert.is(chosen.length, 5);
  assert.ok(chosen.includes('other-zc') && chosen.includes('b1'));
  assert.ok(chosen.filter((server) => server.startsWith('a') || server === 'other-za').length <= 2);
});

test.run();
