/** Names on the wire between daemons. */

/** Path below which trpc is served. */
export const RPC_PATH = '/rpc/';
/** Longest connect to another daemon, ms. */
export const CONNECT_MS = 1000;
