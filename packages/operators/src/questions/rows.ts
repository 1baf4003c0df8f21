/** A value in a row. `null` means that the value is unknown or does not apply. */
export type RowValue = boolean | number | string | null;

/** A row of a result, keyed by field name. */
export type Row = Readonly<Record<string, RowValue>>;

/** Type of a field's values. */
export const FieldType = {
  Boolean: 'boolean',
  Number: 'number',
  Text: 'text',
} as const;
export type FieldType = (typeof FieldType)[keyof typeof FieldType];

/** Unit of a numeric field. A duration in a condition is converted to the unit of the field. */
export const FieldUnit = {
  Bytes: 'bytes',
  Milliseconds: 'milliseconds',
  Seconds: 'seconds',
  Share: 'share',
} as const;
export type FieldUnit = (typeof FieldUnit)[keyof typeof FieldUnit];

/** A field of a row, which `where` and `sort by` accept. */
export interface FieldDefinition {
  readonly name: string;
  readonly type: FieldType;
  readonly unit?: FieldUnit | undefined;
  readonly documentation: string;
}
