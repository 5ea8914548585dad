/** Types of the fake model engine. */

/** Expert map: the experts held by each rank, by layer. */
export interface ExpertMap {
  readonly id: string;
  readonly layers: readonly (readonly (readonly number[])[])[];
}

/** Options of a fake group. */
export interface GroupOptions {
  readonly ranks: number;
  /** Time of a balanced step, ms. */
  readonly stepMs: number;
  readonly batchLimit: number;
  /** Whether each rank rejects orders with an epoch below its fence. */
  readonly checksFences: boolean;
  /** Whether an armed rank waits at its step for the decision; false only to show why it must. */
  readonly holdsAtStep: boolean;
  /** Time to load one expert, ms. */
  readonly expertLoadMs: number;
  readonly layers: number;
  readonly experts: number;
}

export const DEFAULT_GROUP_OPTIONS: GroupOptions = {
  ranks: 1,
  stepMs: 5,
  batchLimit: 16,
  checksFences: true,
  holdsAtStep: true,
  expertLoadMs: 1,
  layers: 2,
  experts: 8,
};

/** One execution of a request, as recorded by a rank. */
export interface EngineExecution {
  readonly id: string;
  readonly nonce: string;
  readonly organisation: string;
  readonly atMs: number;
  end: 'running' | 'done' | 'cancelled';
}

/** The first step in which a rank used a map. */
export interface MapUse {
  readonly step: number;
  readonly mapId: string;
}

/** State of the map switch in the engine of one rank. */
export interface RankSwitchState {
  fence: number;
  map: ExpertMap;
  armed: { epoch: number; map: ExpertMap; step: number; confirmed: boolean } | undefined;
  lastConfirmed: number;
}
