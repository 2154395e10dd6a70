import type { Shape } from './wire.js';

/** What a field of a much sent message may hold. */
export type Field = 'text' | 'whole' | 'number' | 'bytes' | 'boolean';

const holds: Readonly<Record<Field, (value: unknown) => boolean>> = {
  text: (value) => typeof value === 'string',
  whole: (value) => typeof value === 'number' && Number.isInteger(value) && value >= 0,
  number: (value) => typeof value === 'number' && Number.isFinite(value),
  bytes: (value) => value instanceof Uint8Array,
  boolean: (value) => typeof value === 'boolean',
};

/** A shape of required and optional fields, checked without a library: for messages that every request sends. */
export const plainShape = (required: Readonly<Record<string, Field | Shape>>, optional: Readonly<Record<string, Field | Shape>> = {}): Shape => {
  const rows = [...Object.entries(required).map(([name, field]) => ({ name, field, needed: true })), ...Object.entries(optional).map(([name, field]) => ({ name, field, needed: false }))];
  const isFit = (value: unknown, field: Field | Shape): boolean =>
    (typeof field === 'string' ? holds[field](value) : field.validate(value, { convert: false, allowUnknown: true }).error === undefined);
  return {
    validate: (document) => {
      if (typeof document !== 'object' || document === null) return { error: { message: 'not a document' } };
      const fields = document as Readonly<Record<string, unknown>>;
      const wrong = rows.find(({ name, field, needed }) => (fields[name] === undefined ? needed : !isFit(fields[name], field)));
      return wrong === undefined ? { value: document } : { error: { message: `"${wrong.name}" is missing or not what it must be` } };
    },
  };
};
