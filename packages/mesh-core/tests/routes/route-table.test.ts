import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RouteTable } from '../../src/index.js';
import type { Route } from '../../src/index.js';
import { createRoute, createConfiguration } from '../fixtures.js';

const routes: readonly Route[] = [
  createRoute({ host: 'a.example', name: 'root', pathPrefix: '/' }),
  createRoute({ host: 'a.example', name: 'shop', pathPrefix: '/shop/' }),
  createRoute({ host: 'a.example', name: 'cart', pathPrefix: '/shop/cart/' }),
  createRoute({ host: 'b.example', name: 'other', pathPrefix: '/shop/' }),
];
const table = new RouteTable(createConfiguration({ routes }));

/** Host header, request target, and the name of the matching route. */
const cases: readonly (readonly [string, string, string | undefined])[] = [
  ['a.example', '/', 'root'],
  ['a.example', '/shop', 'root'],
  ['a.example', '/shop/', 'shop'],
  ['a.example', '/shop/x?y=/shop/cart/', 'shop'],
  ['a.example', '/shop/cart/1', 'cart'],
  ['A.Example:8080', '/shop/cart/1', 'cart'],
  ['a.example', 'http://a.example/shop/cart/1', 'cart'],
  ['b.example', '/shop/1', 'other'],
  ['b.example', '/', undefined],
  ['c.example', '/shop/', undefined],
  ['', '/', undefined],
];

for (const [host, target, expected] of cases) {
  test(`${host} ${target} matches ${expected ?? 'no route'}`, () => {
    assert.is(table.match(host, target)?.name, expected);
  });
}

test.run();
