/** Responses without end, one for each part of a response that can grow. */

/** The part of a response that never ends. */
export const ENDLESS_MODES = [
  'head',
  'headers',
  'interim',
  'length',
  'chunked',
  'unframed',
  'extension',
  'trailer',
  'trailers',
] as const;

/** One of `ENDLESS_MODES`. */
export type EndlessMode = (typeof ENDLESS_MODES)[number];

/** How fast the bytes are sent: as fast as they are read, or one at a time. */
export type EndlessPace = 'fast' | 'byte';

/** A response: bytes that are sent once, and bytes that are repeated without end. */
export interface EndlessResponse {
  readonly start: string;
  readonly repeated: string;
}

const FILL_BYTES = 8192;
const FILL = ' '.repeat(FILL_BYTES);
const LETTERS = 'a'.repeat(FILL_BYTES);
const OK = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n';
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
const ONE_HEADER = 'X-Fill: aaaa\r\n';

/** The endless responses by mode. Bodies are white space, so that no reader fails at their syntax. */
export const ENDLESS_RESPONSES: Readonly<Record<EndlessMode, EndlessResponse>> = {
  head: { start: `${OK}X-Fill: `, repeated: LETTERS },
  headers: { start: OK, repeated: ONE_HEADER.repeat(500) },
  interim: { start: '', repeated: 'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'.repeat(200) },
  length: { start: `${OK}Content-Length: 1000000000000\r\n\r\n`, repeated: FILL },
  chunked: {
    start: CHUNKED,
    repeated: `${FILL_BYTES.toString(16)}\r\n${FILL}\r\n`,
  },
  unframed: { start: `${OK}Connection: close\r\n\r\n`, repeated: FILL },
  extension: { start: `${CHUNKED}2;`, repeated: LETTERS },
  trailer: { start: `${CHUNKED}2\r\n{}\r\n0\r\nX-Fill: `, repeated: LETTERS },
  trailers: { start: `${CHUNKED}2\r\n{}\r\n0\r\n`, repeated: ONE_HEADER.repeat(500) },
};
