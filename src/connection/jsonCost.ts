const COMMA = 0x2c;
const OPENING_BRACE = 0x7b;
const OPENING_BRACKET = 0x5b;
/** What a value of a document takes once it is parsed and checked, in bytes: an object, its fields' places, what the check notes of it. */
const BYTES_A_VALUE = 96;

/** About how much memory the parsed form of a JSON text takes, in bytes; never parses it. */
export const jsonCost = (text: Uint8Array): number => {
  let values = 0;
  for (const byte of text) if (byte === COMMA || byte === OPENING_BRACE || byte === OPENING_BRACKET) values += 1;
  return text.length + values * BYTES_A_VALUE;
};
