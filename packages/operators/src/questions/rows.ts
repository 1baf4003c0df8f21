/** A cell of a result. `null` stands for a value that is not known or does not apply. */
export type RowValue = boolean | number | string | null;

/** A line of a result; the keys are field names. */
export type Row = Readonly<Record<string, RowValue>>;

/** Type of the values of a field. */
export const FieldType = {
  Boolean: 'boolean',
  Number: 'number',
  Text: 'text',
} as const;
export type FieldType = (typeof FieldType)[keyof typeof FieldType];

/** Unit of a number. A duration in a condition is converted to the unit of its field. */
export const FieldUnit = {
  Bytes: 'bytes',
  Milliseconds: 'milliseconds',
  Seconds: 'seconds',
  Share: 'share',
} as const;
export type FieldUnit = (typeof FieldUnit)[keyof typeof FieldUnit];

/** A field that `where` and `sort by` accept. */
export interface FieldDefinition {
  readonly name: string;
  readonly type: FieldType;
  readonly unit?: FieldUnit | undefined;
  readonly documentation: string;
}
