import { EmbeddedActionsParser, type IToken } from 'chevrotain';

import type { ConditionValue, Name, Position, Quantity } from './syntax-tree.js';
import { durationMilliseconds, percentageShare, positionOf, unquote } from './token-values.js';
import {
  allTokens,
  Duration,
  Identifier,
  keyword,
  NumberLiteral,
  Percentage,
  StringLiteral,
} from './tokens.js';

function nameOf(token: IToken, text = token.image): Name {
  return { position: positionOf(token), text };
}

interface PlacedValue {
  readonly position: Position;
  readonly value: ConditionValue;
}

/** Rules for names, quantities and values that the other rules share. */
export abstract class ValueGrammar extends EmbeddedActionsParser {
  protected readonly quotedText = this.RULE('quotedText', (): Name => {
    const token = this.CONSUME(StringLiteral);
    return nameOf(token, unquote(token.image));
  });

  /** Digits alone, a duration such as `10m` or a quoted text can be names as well. */
  protected readonly name = this.RULE('name', (): Name =>
    this.OR([
      { ALT: () => nameOf(this.CONSUME(Identifier)) },
      { ALT: () => nameOf(this.CONSUME(NumberLiteral)) },
      { ALT: () => nameOf(this.CONSUME(Duration)) },
      { ALT: () => this.SUBRULE(this.quotedText) },
    ]),
  );

  protected readonly number = this.RULE('number', (): Quantity => {
    const token = this.CONSUME(NumberLiteral);
    return { position: positionOf(token), value: Number(token.image) };
  });

  protected readonly duration = this.RULE('duration', (): Quantity => {
    const token = this.CONSUME(Duration);
    return { position: positionOf(token), value: durationMilliseconds(token.image) };
  });

  protected readonly share = this.RULE('share', (): Quantity =>
    this.OR([
      { ALT: () => this.SUBRULE(this.number) },
      {
        ALT: () => {
          const token = this.CONSUME(Percentage);
          return { position: positionOf(token), value: percentageShare(token.image) };
        },
      },
    ]),
  );

  protected readonly value = this.RULE('value', (): PlacedValue =>
    this.OR<PlacedValue>([
      {
        ALT: () => {
          const quantity = this.SUBRULE(this.share);
          return {
            position: quantity.position,
            value: { kind: 'number', value: quantity.value },
          };
        },
      },
      {
        ALT: () => {
          const quantity = this.SUBRULE(this.duration);
          return {
            position: quantity.position,
            value: { kind: 'duration', milliseconds: quantity.value },
          };
        },
      },
      {
        ALT: () => {
          const token = this.CONSUME(Identifier);
          return {
            position: positionOf(token),
            value: { kind: 'text', value: token.image },
          };
        },
      },
      {
        ALT: () => {
          const text = this.SUBRULE(this.quotedText);
          return { position: text.position, value: { kind: 'text', value: text.text } };
        },
      },
    ]),
  );

  /** `up to <duration>` */
  protected readonly upTo = this.RULE('upTo', (): number => {
    this.CONSUME(keyword.up);
    this.CONSUME(keyword.to);
    return this.SUBRULE(this.duration).value;
  });

  protected constructor() {
    super(allTokens, { recoveryEnabled: false });
  }
}
