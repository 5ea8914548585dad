/** Interface between an agent and its model engine, independent of the platform's wire format. */

/** State of a rank as reported by its engine. */
export interface EngineReport {
  /** Name of the group; a service may have several. */
  readonly group: string;
  /**
   * Start time of the engine process, Unix ms; 0 if not reported. A restarted process retains no
   * earlier state.
   */
  readonly startedAtMs: number;
  /**
   * Number of times the group has been formed; each time it starts with its initial map and nothing
   * armed.
   */
  readonly groupEpoch: number;
  readonly rank: number;
  /** Number of ranks in the group; undefined if the engine does not report it. */
  readonly ranks: number | undefined;
  /** Whether the group is running; a broken group has lost a rank. */
  readonly isGroupRunning: boolean;
  /** Slowdown factor of the engine; 1 is normal speed. */
  readonly pace: number;
  /** Requests in flight, and requests queued. */
  readonly running: number;
  readonly queued: number;
  /** The last step that started. */
  readonly step: number;
  /** Version of the map in use; 0 is the initial map of a group. */
  readonly mapVersion: number;
  /** Version whose experts have been copied, ready to be armed. */
  readonly preparedVersion: number | undefined;
  /** Version that the rank switches to at the start of a step. */
  readonly armed: { readonly version: number; readonly step: number } | undefined;
  /** Step that the group does not start until this rank receives `go`. */
  readonly heldStep: number | undefined;
}

/**
 * Orders of a map switch. Versions only increase; a step that has started can be neither armed nor
 * held.
 */
export type EngineCommand =
  | {
      readonly kind: 'prepare';
      readonly version: number;
      /** Experts by layer and rank. */
      readonly layers: readonly (readonly (readonly number[])[])[];
    }
  | { readonly kind: 'arm'; readonly version: number; readonly step: number }
  | { readonly kind: 'disarm'; readonly version: number }
  | { readonly kind: 'hold'; readonly step: number }
  | { readonly kind: 'go'; readonly step: number };

/** Outcome of an order. */
export type CommandResult =
  /** Started, completed, or already in effect. */
  | 'taken'
  /** It does not match the engine's state, or the group has been re-formed. */
  | 'refused'
  /** The engine has seen a higher fence. */
  | 'fenced'
  /** No reply: the order may have been accepted, or may be executed seconds later. */
  | 'unanswered';

/** Calls to an agent's own engine. Rejects when the engine is unreachable. */
export interface EngineCalls {
  report(): Promise<EngineReport>;
  /** Experts held by this rank in the map in use, by layer. */
  placed(): Promise<number[][]>;
  /** Tokens of this rank's requests by layer and expert, since the engine's start. */
  picked(layers: number): Promise<number[][]>;
  command(command: EngineCommand, fence: number, groupEpoch: number): Promise<CommandResult>;
}
