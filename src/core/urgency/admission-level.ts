/**
 * Admission level of a group: which urgencies are admitted in full, the one of which a fraction is admitted, and those
 * that are refused. It is computed for the whole group, so that all entries admit alike: an entry has seven to eleven
 * slots, too few to keep some free for urgent requests.
 *
 * It answers a burst of one class over several seconds while the group is nearly full. Streams are kept free for the
 * more urgent classes by the variation of their arrivals; streams that these do not use go to the others.
 */
import type { Demand } from '../../generated/messages.types.js';
import {
  EVEN_PART,
  EVEN_PER_S,
  HALF_WEIGHT_PER_S,
  MAX_CHANGE,
  FEEDBACK_SHARE,
  FRESH_DEMAND_MS,
  MAX_DEMAND_AGE_MS,
  MIN_LEVEL_SLOTS,
  RESERVE_DEVIATIONS,
} from './consts.js';
import { totalPerS } from './demand-sum.js';
import { shareByOrganisation, type OrganisationShares } from './organisation-shares.js';

const MS_PER_S = 1000;

/** What a level is computed from. */
export interface LevelInput {
  /** Streams that the group may run. */
  readonly limit: number;
  /** Streams that it runs now, as estimated. */
  readonly inFlight: number;
  /** Mean time for which a stream holds its slot, ms. */
  readonly holdMs: number;
  /** Demand at all entries, and its age; undefined if unknown. */
  readonly group: Demand | undefined;
  readonly ageMs: number;
  /** Demand at this entry now, and when the group's was counted. */
  readonly own: Demand;
  readonly ownAtCount: Demand;
  /** Entries that send to the group. */
  readonly entries: number;
  /** Whether the requests of an organisation can have an urgency. */
  readonly mayHave: (organisation: string, urgency: number) => boolean;
}

/** Admission at one entry. */
export interface AdmissionLevel {
  /** Fraction admitted by urgency, for those with demand. */
  readonly fractions: ReadonlyMap<number, number>;
  /** The most urgent one that is not admitted in full; undefined if all are. */
  readonly cut: number | undefined;
  /** Shares of the urgency at the cut. */
  readonly organisations: OrganisationShares;
  /** Slots of this entry: its part of the limit. */
  readonly slots: number;
  /** Share of the limit that is free. */
  readonly free: number;
  /** Weight of the group's demand against this entry's own view, 0 to 1. */
  readonly trust: number;
}

/**
 * Weight of the group's demand by its age, 0 to 1.
 * @example trustAt(2000) // 0.5
 */
export function trustAt(ageMs: number): number {
  const range = MAX_DEMAND_AGE_MS - FRESH_DEMAND_MS;
  return Math.min(1, Math.max(0, (MAX_DEMAND_AGE_MS - ageMs) / range));
}

/** Change of this entry's demand since the group's was counted, except for what may be chance. */
function ownChange({ own, ownAtCount }: LevelInput): number {
  const before = totalPerS(ownAtCount);
  const weight = before / (before + HALF_WEIGHT_PER_S);
  const ratio = before > 0 ? totalPerS(own) / before : 1;
  return 1 + weight * (Math.min(MAX_CHANGE, Math.max(1 / MAX_CHANGE, ratio)) - 1);
}

/** Demand of the whole group by urgency: as reported, and as this entry would expect if all entries were like it. */
function expectedDemand(input: LevelInput, trust: number): Map<number, number> {
  const { group, own, entries } = input;
  const change = ownChange(input);
  const expected = new Map<number, number>();
  for (const key of new Set([
    ...Object.keys(group?.byUrgency ?? {}),
    ...Object.keys(own.byUrgency),
  ])) {
    const ownPerS = own.byUrgency[key] ?? 0;
    const reported = group?.byUrgency[key] ?? 0;
    expected.set(
      Number(key),
      trust * change * reported + (1 - trust) * ownPerS * Math.max(1, entries),
    );
  }
  return expected;
}

/** Variance of the streams of one urgency: of independent arrivals, and of the measured change of their rate. */
function varianceOf(load: number, spreadPerS: number, holdS: number): number {
  return load + (spreadPerS * holdS) ** 2;
}

function fractionsOf(input: LevelInput, demand: ReadonlyMap<number, number>): Map<number, number> {
  const holdS = input.holdMs / MS_PER_S;
  const free = input.limit - input.inFlight;
  let room = input.limit + FEEDBACK_SHARE * free;
  let variance = 0;
  let isCut = false;
  const fractions = new Map<number, number>();
  for (const [urgency, perS] of [...demand].sort(([a], [b]) => a - b)) {
    const load = perS * holdS;
    const usable = Math.max(0, room - RESERVE_DEVIATIONS * Math.sqrt(variance));
    const admitted = load > usable ? usable / load : 1;
    const fraction: number = isCut ? 0 : admitted;
    isCut ||= fraction < 1;
    fractions.set(urgency, fraction);
    room -= fraction * load;
    variance += varianceOf(load, input.group?.spread?.[String(urgency)] ?? 0, holdS);
  }
  return fractions;
}

function organisationsAt(input: LevelInput, cut: number, fraction: number): OrganisationShares {
  const { byOrganisation, othersPerS } = input.group ?? input.own;
  const demands = Object.entries(byOrganisation).filter(([id]) => input.mayHave(id, cut));
  return shareByOrganisation(
    fraction,
    new Map(demands.map(([id, perS]) => [id, perS ?? 0])),
    othersPerS ?? 0,
  );
}

/** This entry's part of the limit, by its part of the admitted demand. */
function ownSlots(
  { group, ownAtCount, entries, limit }: LevelInput,
  fractions: ReadonlyMap<number, number>,
  trust: number,
): number {
  const evenPart = 1 / Math.max(1, entries);
  const admitted = (demand: Demand): number =>
    Object.entries(demand.byUrgency).reduce(
      (sum, [urgency, perS]) => sum + (perS ?? 0) * (fractions.get(Number(urgency)) ?? 1),
      0,
    );
  const all = group ? admitted(group) : 0;
  // Compared with an older count, an entry's newest demand would grow its part in every burst.
  const ownPerS = admitted(ownAtCount) + EVEN_PER_S * evenPart;
  const demandPart = Math.min(1, ownPerS / (all + EVEN_PER_S));
  const weight = (1 - EVEN_PART) * trust;
  return Math.max(MIN_LEVEL_SLOTS, limit * (weight * demandPart + (1 - weight) * evenPart));
}

/**
 * Computes the level; undefined while no demand is known.
 * @example admissionLevel(input)?.fractions.get(12) // 0.4
 */
export function admissionLevel(input: LevelInput): AdmissionLevel | undefined {
  const known = input.group && totalPerS(input.group) > 0 ? input.group : undefined;
  const trust = known ? trustAt(input.ageMs) : 0;
  const demand = expectedDemand(input, trust);
  if (demand.size === 0) return undefined;
  const fractions = fractionsOf(input, demand);
  const cut = [...fractions].find(([, fraction]) => fraction < 1)?.[0];
  const atCut = cut === undefined ? 1 : (fractions.get(cut) ?? 1);
  return {
    fractions,
    cut,
    organisations:
      cut === undefined
        ? { byOrganisation: new Map(), others: 1 }
        : organisationsAt(input, cut, atCut),
    slots: ownSlots(input, fractions, trust),
    free: Math.max(0, 1 - input.inFlight / Math.max(1, input.limit)),
    trust,
  };
}

/**
 * Fraction of requests admitted. An urgency without demand is admitted unless a more urgent one is cut.
 * @example fractionFor(level, 12, 'org-1') // 0.4
 */
export function fractionFor(
  level: AdmissionLevel,
  urgency: number,
  organisation: string | undefined,
): number {
  if (level.cut === undefined || urgency < level.cut) return 1;
  if (urgency > level.cut) return level.fractions.get(urgency) ?? 0;
  const { byOrganisation, others } = level.organisations;
  return (organisation === undefined ? undefined : byOrganisation.get(organisation)) ?? others;
}
