import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AnswerMemory } from '../src/mesh/answer-memory.js';

class Answer {
  public isGivenUp = false;

  public constructor(public heldBytes: number) {}

  public giveUp(): void {
    this.isGivenUp = true;
    this.heldBytes = 0;
  }
}

/** Sizes of the answers and which of them are given up, with a bound of 100 bytes. */
const cases: readonly (readonly [string, readonly number[], readonly number[]])[] = [
  ['what fits is kept', [40, 60], []],
  ['the largest goes, whichever has grown', [90, 10, 5], [0]],
  ['as many go as are needed', [70, 80, 90, 10], [2, 1]],
  ['a single one above the bound goes', [101], [0]],
];

for (const [name, sizes, expected] of cases) {
  test(name, () => {
    const memory = new AnswerMemory(100);
    const answers = sizes.map((size) => new Answer(size));
    for (const answer of answers) memory.opened(answer);
    memory.grown();
    const gone = answers.flatMap(({ isGivenUp }, index) => (isGivenUp ? [index] : []));
    assert.equal(gone, [...expected].sort());
  });
}

test('an answer that has ended holds nothing', () => {
  const memory = new AnswerMemory(100);
  const [ended, open] = [new Answer(90), new Answer(90)] as const;
  memory.opened(ended);
  memory.opened(open);
  memory.closed(ended);
  memory.grown();
  assert.not(ended.isGivenUp);
  assert.not(open.isGivenUp);
});

test.run();
