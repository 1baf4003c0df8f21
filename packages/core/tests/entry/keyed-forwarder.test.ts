import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { KeyedForwarder } from '../../src/entry/keyed-forwarder.js';
import type { ForwarderCommand, KeyedRequest } from '../../src/entry/keyed-forwarder.js';
import type { HomeTable } from '../../src/index.js';

const deadline = 5_000;
const request: KeyedRequest = {
  body: new Uint8Array(),
  deadline,
  digest: 'd',
  head: {
    depth: 0,
    headers: {},
    method: 'POST',
    path: '/',
    requestId: 'r',
    service: 'issuance',
    tenant: 't',
  },
  key: 'k',
  receivedAt: 0,
  requestNumber: 1,
};

const table: HomeTable = {
  quorums: [['home']],
  ranges: [{ incarnation: 1, server: 'home', since: 1 }],
  service: 'issuance',
  version: 1,
};

function at(monotonic: number): { readonly monotonic: number; readonly wall: number } {
  return { monotonic, wall: monotonic };
}

function forwarderWithTable(known: HomeTable | undefined): KeyedForwarder {
  return new KeyedForwarder({ nextCallId: () => 7, rangeOf: () => 0, table: () => known });
}

function conclusions(commands: readonly ForwarderCommand[]): readonly string[] {
  return commands.flatMap((command) => {
    if (command.kind !== 'conclude' || command.outcome.kind !== 'outcome-unknown') return [];
    const { attemptStarted, reason } = command.outcome;
    return [`${reason} ${attemptStarted ? 'started' : 'not-started'}`];
  });
}

const outcomeCases: readonly {
  readonly failure: string;
  readonly known: HomeTable | undefined;
  readonly play: (forwarder: KeyedForwarder) => readonly ForwarderCommand[];
  readonly outcome: string;
}[] = [
  {
    failure: 'a request waits until its deadline for a table that never arrives',
    known: undefined,
    outcome: 'no-home not-started',
    play: (tested) => tested.tick(at(1_000)),
  },
  {
    failure: 'a request that could not be sent is reported as started',
    known: table,
    outcome: 'home-unreachable not-started',
    play: (tested) => {
      // The forwarder sends the request to the home a few more times before it gives up.
      for (let tries = 0; tries < 4; tries += 1) {
        tested.onNotSent(7, at(tries * 200));
        tested.onTableChanged('issuance', at((tries + 1) * 200));
      }
      return tested.onNotSent(7, at(1_000));
    },
  },
  {
    failure: 'a request on a lost connection is reported as not started',
    known: table,
    outcome: 'connection-lost started',
    play: (tested) => tested.onPeerLost('home'),
  },
  {
    failure: 'a home that does not answer makes the caller wait past the deadline',
    known: table,
    outcome: 'deadline-after-start started',
    play: (tested) => tested.tick(at(deadline)),
  },
];

for (const { failure, known, outcome, play } of outcomeCases) {
  test(`never: ${failure}`, () => {
    const tested = forwarderWithTable(known);
    assert.equal(conclusions(tested.begin(request, at(0))), []);
    assert.equal(conclusions(play(tested)), [outcome]);
    assert.is(tested.inProgress, 0);
  });
}

test.run();
