/** Constants of the RPC between daemons. */

/** Path prefix of the tRPC procedures. */
export const RPC_PATH = '/rpc/';
/** Connect timeout to another daemon, ms. */
export const CONNECT_TIMEOUT_MS = 1000;
