/** What an agent can ask of its own engine and order it to do, in our words. */

/** A rank's state as its engine tells it, fresh. */
export interface EngineReport {
  /** Name of the group; a service may have several. */
  readonly group: string;
  /** When the engine's process started, Unix ms; 0 where it does not say. A later one holds nothing of before. */
  readonly startedAtMs: number;
  /** How often the group was formed; each time it starts with its first map and nothing armed. */
  readonly groupEpoch: number;
  readonly rank: number;
  /** Ranks of the group; undefined where the engine does not say. */
  readonly ranks: number | undefined;
  /** Whether the group runs; a broken one has lost a rank. */
  readonly isOpen: boolean;
  /** How slow the engine is; 1 is its ordinary pace. */
  readonly pace: number;
  /** Requests that it works on, and that wait for it. */
  readonly running: number;
  readonly queued: number;
  /** The last step that began. */
  readonly step: number;
  /** Version of the map in use; 0 is the one that a group starts with. */
  readonly mapVersion: number;
  /** Version whose experts have been copied, ready to be armed. */
  readonly preparedVersion: number | undefined;
  /** Version that the rank changes to as a step begins. */
  readonly armed: { readonly version: number; readonly step: number } | undefined;
  /** Step that the group does not begin until this rank is told to go. */
  readonly heldStep: number | undefined;
}

/** Orders of the map switch. Versions only rise; a step that has begun can be neither armed nor held. */
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

/** What an engine said to an order. */
export type CommandAnswer =
  /** Begun, done, or in effect already. */
  | 'taken'
  /** It does not fit the engine's state, or the group was formed anew. */
  | 'refused'
  /** The engine has seen a higher fence. */
  | 'fenced'
  /** No answer: it may have been taken, or may be carried out seconds later. */
  | 'unanswered';

/** An agent's own engine. Rejects when the engine cannot be reached. */
export interface EngineCalls {
  report(): Promise<EngineReport>;
  /** Experts that this rank holds in the map in use, by layer. */
  placed(): Promise<number[][]>;
  /** Tokens of this rank's own requests by layer and expert, since the engine's start. */
  picked(layers: number): Promise<number[][]>;
  command(command: EngineCommand, fence: number, groupEpoch: number): Promise<CommandAnswer>;
}
