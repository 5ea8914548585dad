/**
 * The data centres to which no new requests may be sent, as the store records them. A store that
 * was restored from an older copy may lack a record that is still wanted, so a missing one stays in
 * force until the list is trusted again.
 */
import type { EvacuationUpdate } from './source.js';
import type { DataCentreId } from './types.js';

/** Data centres whose evacuation began or ended with an update. */
export interface EvacuationChange {
  readonly began: readonly DataCentreId[];
  readonly ended: readonly DataCentreId[];
}

/** Tracks the evacuated data centres. */
export class Evacuations {
  private recorded: ReadonlySet<DataCentreId> = new Set();
  /** Data centres whose records a restored store lacks. */
  private kept: ReadonlySet<DataCentreId> = new Set();
  private isListOutdated = false;
  private active: ReadonlySet<DataCentreId> = new Set();

  /** The evacuated data centres. */
  get all(): ReadonlySet<DataCentreId> {
    return this.active;
  }

  /**
   * Applies an update; a removal ends an evacuation at once, while one that is only missing from a
   * whole set may be kept.
   * @example evacuations.apply({ kind: 'whole', dataCentres: ['a'] }).began // ['a']
   */
  apply(update: EvacuationUpdate): EvacuationChange {
    const recorded = new Set(update.kind === 'whole' ? update.dataCentres : this.recorded);
    const kept = new Set(this.isListOutdated ? [...this.kept, ...this.recorded] : []);
    for (const { kind, dataCentre } of update.kind === 'changes' ? update.changes : []) {
      if (kind === 'begun') {
        recorded.add(dataCentre);
        continue;
      }
      recorded.delete(dataCentre);
      kept.delete(dataCentre);
    }
    return this.replace(recorded, kept);
  }

  /** Keeps data centres that a peer knows as evacuated, until the list is trusted again. */
  keep(dataCentres: readonly DataCentreId[]): EvacuationChange {
    this.isListOutdated = true;
    return this.replace(this.recorded, new Set([...this.kept, ...dataCentres]));
  }

  /** Marks the list as possibly restored from an older copy, which may lack records. */
  markListOutdated(): void {
    this.isListOutdated = true;
  }

  /** Marks the list as current: evacuations whose records are still missing end. */
  markListCurrent(): EvacuationChange {
    this.isListOutdated = false;
    return this.replace(this.recorded, new Set());
  }

  private replace(
    recorded: ReadonlySet<DataCentreId>,
    kept: ReadonlySet<DataCentreId>,
  ): EvacuationChange {
    const before = this.active;
    this.recorded = recorded;
    this.kept = kept;
    this.active = new Set([...recorded, ...kept]);
    return {
      began: [...this.active].filter((dataCentre) => !before.has(dataCentre)),
      ended: [...before].filter((dataCentre) => !this.active.has(dataCentre)),
    };
  }
}
