import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConnectionAction, ConnectionMonitor } from '../../src/index.js';

const tickMilliseconds = 10;

/** Answers checks after a round trip, and records when which action was due. */
class MonitoredConnection {
  public readonly monitor = new ConnectionMonitor(0);
  public readonly checks: number[] = [];
  public replaceAt: number | undefined;
  public closeAt: number | undefined;
  public now = 0;
  public roundTripMilliseconds: number | undefined = 4;
  private answerDueAt = Infinity;

  public runUntil(end: number): void {
    for (; this.now < end; this.now += tickMilliseconds) {
      if (this.answerDueAt <= this.now) {
        this.monitor.onReceived(this.now);
        this.monitor.onCheckAnswered(this.answerDueAt);
        this.answerDueAt = Infinity;
      }
      this.act(this.monitor.nextAction(this.now, false));
    }
  }

  private act(action: ConnectionAction): void {
    switch (action) {
      case ConnectionAction.None:
        return;
      case ConnectionAction.Check:
        this.checks.push(this.now);
        this.monitor.onCheckSent(this.now);
        if (this.roundTripMilliseconds !== undefined)
          this.answerDueAt = this.now + this.roundTripMilliseconds;
        return;
      case ConnectionAction.Replace:
        this.replaceAt ??= this.now;
        return;
      case ConnectionAction.Close:
        this.closeAt ??= this.now;
    }
  }
}

test('an idle connection is checked every three seconds and never suspected while it answers', () => {
  const connection = new MonitoredConnection();
  connection.runUntil(30_000);
  assert.ok(connection.checks.length <= 10, `${connection.checks.length} checks`);
  assert.is(connection.replaceAt, undefined);
  assert.is(connection.closeAt, undefined);
});

test('a request that is answered at once causes no check', () => {
  const connection = new MonitoredConnection();
  for (let count = 0; count < 20; count += 1) {
    connection.monitor.onRequestSent(connection.now);
    connection.runUntil(connection.now + 30);
    connection.monitor.onReceived(connection.now);
    connection.monitor.onReplyReceived(connection.now);
    connection.runUntil(connection.now + 30);
  }
  assert.equal(connection.checks, []);
});

test('a request on a silent connection leads to a replacement within 250 ms', () => {
  const connection = new MonitoredConnection();
  connection.runUntil(3_500);
  connection.roundTripMilliseconds = undefined;
  connection.monitor.onRequestSent(3_500);
  connection.runUntil(6_000);
  assert.ok((connection.replaceAt ?? Infinity) <= 3_750, `${connection.replaceAt} ms`);
});

test('a request that runs for long is confirmed by one check, then checked rarely', () => {
  const connection = new MonitoredConnection();
  connection.monitor.onRequestSent(0);
  connection.runUntil(1_000);
  assert.ok(connection.checks.length <= 4, `${connection.checks.length} checks`);
  assert.is(connection.replaceAt, undefined);
});

test('a link whose round trips are long is not suspected', () => {
  const connection = new MonitoredConnection();
  connection.roundTripMilliseconds = 180;
  for (let count = 0; count < 50; count += 1) {
    connection.monitor.onRequestSent(connection.now);
    connection.runUntil(connection.now + 400);
  }
  assert.is(connection.replaceAt, undefined);
});

test('a large request on a slow link is given time to arrive', () => {
  const connection = new MonitoredConnection();
  connection.monitor.onSent(200_000);
  connection.monitor.onRequestSent(0);
  connection.roundTripMilliseconds = 800;
  connection.runUntil(2_000);
  assert.is(connection.replaceAt, undefined);
});

// Load reports that arrive say nothing about requests that don't.
test('a connection that only the other side can send on is replaced', () => {
  const connection = new MonitoredConnection();
  connection.roundTripMilliseconds = undefined;
  connection.monitor.onRequestSent(0);
  while (connection.now < 3_000) {
    connection.runUntil(connection.now + 50);
    connection.monitor.onReceived(connection.now);
  }
  assert.ok((connection.replaceAt ?? Infinity) < 1_500, `${connection.replaceAt} ms`);
});

test('answers that arrived while this process was stopped are read before the connection is suspected', () => {
  const monitor = new ConnectionMonitor(0);
  monitor.onCheckSent(0);
  assert.is(monitor.nextAction(5_000, true), ConnectionAction.None);
});

test('the answer to a check that was not sent has no effect', () => {
  const monitor = new ConnectionMonitor(0);
  monitor.onCheckAnswered(10);
  monitor.onReplyReceived(10);
  monitor.onCheckSent(20);
  assert.is(monitor.nextAction(60, false), ConnectionAction.None);
  assert.not(monitor.isSilent);
});

test('a requested check is sent at once and only once', () => {
  const connection = new MonitoredConnection();
  connection.monitor.requestCheck();
  connection.runUntil(500);
  assert.equal(connection.checks, [0]);
});

test.run();
