import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { containError, InvariantError } from '../../src/index.js';

test('an error is passed on to the handler', () => {
  const errors: Error[] = [];
  containError(
    () => {
      throw new RangeError('injected');
    },
    (error) => errors.push(error),
  );
  assert.equal(
    errors.map(({ message }) => message),
    ['injected'],
  );
});

// A process whose state is inconsistent must end, or it would break guarantees for all later requests.
test('a violated invariant is not contained', () => {
  const contain = (): void => {
    containError(
      () => {
        throw new InvariantError('injected');
      },
      () => undefined,
    );
  };
  assert.throws(contain, (error: unknown) => error instanceof InvariantError);
});

test.run();
