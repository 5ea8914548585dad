/** Constants of the RPC between daemons. */

/** Path prefix of the tRPC procedures. */
export const RPC_PATH = '/rpc/';
/** Connect timeout to another daemon, ms. */
export const CONNECT_TIMEOUT_MS = 1000;
/** Largest message between daemons, bytes: fits a document with thousands of organisations. */
export const MAX_RPC_MESSAGE_BYTES = 4 * 1024 * 1024;
/** Maximum size of a response of another instance, bytes: a configuration of 1 MiB as JSON text, and the list. */
export const DEFAULT_MAX_RESPONSE_BYTES = 2 * 1024 * 1024;
/** Longest call to another daemon, ms: the longest wait that a message may request, with room. */
export const MAX_RPC_CALL_MS = 125_000;
