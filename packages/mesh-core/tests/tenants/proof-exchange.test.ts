import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigurationProof, ProofExchange } from '../../src/index.js';
import type { ProofAsk } from '../../src/index.js';

const version = 7;

/** A node with peers, some of them in its zone, whose proof comes from answers that the test gives. */
class ExchangeBench {
  public readonly proof = new ConfigurationProof(5_000);
  public readonly exchange: ProofExchange;

  public constructor(name = 'self', firstNumber = 1) {
    const [sameZone, otherZone] = [3, 9];
    this.exchange = new ProofExchange(name, firstNumber, this.proof);
    for (let index = 0; index < sameZone + otherZone; index += 1)
      this.exchange.addNode(`peer-${index}`, index < sameZone, 0);
  }

  public prove(provenAt: number): void {
    this.proof.offer({ provenAt, version }, version);
  }

  public asksBetween(from: number, to: number): readonly (ProofAsk & { readonly at: number })[] {
    const asks: (ProofAsk & { readonly at: number })[] = [];
    for (let at = from; at < to; at += 50) {
      const ask = this.exchange.takeDueAsk(at);
      if (ask !== undefined) asks.push({ ...ask, at });
    }
    return asks;
  }

  public firstRead(from: number, to: number, isWatching: boolean): number | undefined {
    for (let at = from; at < to; at += 50) if (this.exchange.takeDueRead(isWatching, at)) return at;
    return undefined;
  }
}

test('the age in an answer counts from before the question, so a late answer gives an older proof', () => {
  const bench = new ExchangeBench();
  const [ask] = bench.asksBetween(1_000, 1_050);
  const { node, number } = ask ?? { node: '', number: 0 };
  const answer = { ageMilliseconds: 700, number, version };
  assert.ok(bench.exchange.onAnswer(node, answer, version));
  assert.is(bench.proof.ageMilliseconds(4_000), 3_700);
});

test('an answer counts once, from the peer that was asked, with a valid age and a known version', () => {
  const bench = new ExchangeBench();
  const [ask] = bench.asksBetween(1_000, 1_050);
  const { node, number } = ask ?? { node: '', number: 0 };
  const answer = { ageMilliseconds: 700, number, version };
  assert.not(bench.exchange.onAnswer('other', answer, version));
  assert.not(bench.exchange.onAnswer(node, { ...answer, number: number + 1 }, version));
  assert.not(bench.exchange.onAnswer(node, { ...answer, ageMilliseconds: -1 }, version));
  assert.not(bench.exchange.onAnswer(node, { ...answer, ageMilliseconds: NaN }, version));
  assert.not(bench.exchange.onAnswer(node, { ...answer, version: version + 1 }, version));
  assert.not(bench.exchange.onAnswer(node, answer, version));
  assert.not(bench.proof.isValid(1_100));
});

// A peer may answer the question of an earlier process of this node after the next process has connected.
test('an answer to a question of an earlier process of the node is no answer to one of this process', () => {
  const [earlier, restarted] = [new ExchangeBench('self', 5_000), new ExchangeBench('self', 6_000)];
  const [ask] = earlier.asksBetween(0, 50);
  restarted.asksBetween(1_000, 1_050);
  const answer = { ageMilliseconds: 0, number: ask?.number ?? 0, version };
  assert.not(restarted.exchange.onAnswer(ask?.node ?? '', answer, version));
});

test('a node without a proof asks several peers in turn, and less often after a while', () => {
  const bench = new ExchangeBench();
  const asks = bench.asksBetween(0, 1_000);
  assert.ok(asks.length >= 5 && asks.length <= 8, String(asks.length));
  assert.ok(new Set(asks.map(({ node }) => node)).size >= 3);
  assert.ok(bench.asksBetween(10_000, 15_000).length <= 10);
});

test('a node whose proof is renewed by announcements asks once for each, soon, and the announcing peer', () => {
  const bench = new ExchangeBench();
  bench.prove(0);
  for (let at = 1_500; at < 15_000; at += 1_500) {
    bench.exchange.onAnnounced('peer-9', at);
    const [ask, ...others] = bench.asksBetween(at, at + 400);
    assert.equal(others, []);
    assert.is(ask?.node, 'peer-9');
    const answer = { ageMilliseconds: 10, number: ask?.number ?? 0, version };
    assert.ok(bench.exchange.onAnswer('peer-9', answer, version));
    assert.equal(bench.asksBetween(at + 400, at + 1_500), []);
  }
});

test('when announcements end, other peers are asked twice a second, and watchers read before the others', () => {
  const bench = new ExchangeBench();
  bench.prove(0);
  assert.ok(bench.asksBetween(1_500, 3_500).length <= 4);
  const watcher = bench.firstRead(0, 5_000, true) ?? Infinity;
  const other = new ExchangeBench();
  other.prove(0);
  const reader = other.firstRead(0, 5_000, false) ?? Infinity;
  assert.ok(watcher >= 2_500 && watcher <= 3_050, String(watcher));
  assert.ok(reader > watcher && reader <= 4_300, String(reader));
});

// With a proof due at the start, each of 58 nodes that started at once made a call to the store.
test('a watch renews a proof that is valid and no longer fresh', () => {
  const bench = new ExchangeBench();
  assert.not(bench.exchange.isRenewalUseful(0));
  bench.prove(0);
  assert.not(bench.exchange.isRenewalUseful(900));
  assert.ok(bench.exchange.isRenewalUseful(1_500));
  assert.not(bench.exchange.isRenewalUseful(5_000));
});

// If all nodes restart at once, a read by each of them would be a burst of billed calls.
test('nodes without a proof that no peer helps read at different times, each again only after a while', () => {
  const firstReads = Array.from({ length: 58 }, (_, index) =>
    new ExchangeBench(`node-${index}`).firstRead(0, 3_000, false),
  );
  assert.ok(firstReads.every((at) => at !== undefined && at <= 1_750));
  const soonest = Math.min(...firstReads.map((at) => at ?? 0));
  assert.ok(firstReads.filter((at) => (at ?? 0) <= soonest + 100).length <= 8);
  const bench = new ExchangeBench();
  const first = bench.firstRead(0, 3_000, false) ?? 0;
  const second = bench.firstRead(first + 50, 10_000, false) ?? 0;
  assert.ok(second >= first + 1_500);
});

test.run();
