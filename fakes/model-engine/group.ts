/** Stand-in of a group of model engines: ranks that batch continuously and advance in lock-step. */
import type { Server } from 'node:http';
import { seededRandom } from '../../src/core/clock/index.js';
import { closeServer, readJson, sendJson, serveLoopback } from '../http/index.js';
import { Rank } from './rank.js';
import { DEFAULT_GROUP, type ExpertMap, type GroupOptions } from './types.js';

/** The map that spreads experts over ranks in order. */
export function plainMap(options: Pick<GroupOptions, 'ranks' | 'layers' | 'experts'>): ExpertMap {
  const perRank = Math.ceil(options.experts / options.ranks);
  const layer = Array.from({ length: options.ranks }, (_, rank) =>
    Array.from({ length: perRank }, (_, i) => (rank * perRank + i) % options.experts),
  );
  return { id: 'initial', layers: Array.from({ length: options.layers }, () => layer) };
}

/** A running group; each rank has its own address. */
export class FakeGroup {
  readonly ranks: Rank[];
  readonly urls: string[] = [];
  private readonly servers: Server[] = [];
  private readonly stalledUntil: number[] = [];
  private hotExperts: number[] = [];
  private readonly random = seededRandom(1);
  private timer: NodeJS.Timeout | undefined;
  private step = 0;

  private constructor(readonly options: GroupOptions) {
    const map = plainMap(options);
    this.ranks = Array.from({ length: options.ranks }, (_, i) => new Rank(i, options, map));
  }

  /** Starts every rank on a port that the system chooses. */
  static async start(options: Partial<GroupOptions> = {}): Promise<FakeGroup> {
    const group = new FakeGroup({ ...DEFAULT_GROUP, ...options });
    for (const rank of group.ranks) {
      const { server, url } = await serveLoopback(async (req, res) => {
        if (req.url === '/control/stall')
          return group.control(
            rank.index,
            (await readJson(req)) as { ms?: number; hot?: number[] },
            res,
          );
        return rank.serve(req, res);
      });
      group.servers.push(server);
      group.urls.push(url);
    }
    group.schedule(group.options.stepMs);
    return group;
  }

  /** Stalls one rank, and with it the group, for a while. */
  stall(rank: number, ms: number): void {
    this.stalledUntil[rank] = Date.now() + ms;
  }

  /** Makes some experts take most of the tokens. */
  setHot(experts: number[]): void {
    this.hotExperts = experts;
  }

  close(): void {
    clearTimeout(this.timer);
    this.servers.forEach(closeServer);
  }

  private control(
    rank: number,
    data: { ms?: number; hot?: number[] } | undefined,
    res: Parameters<typeof sendJson>[0],
  ): void {
    if (data?.ms) this.stall(rank, data.ms);
    if (data?.hot) this.setHot(data.hot);
    sendJson(res, 200, {});
  }

  private schedule(ms: number): void {
    this.timer = setTimeout(() => this.tick(), ms);
  }

  private tick(): void {
    const now = Date.now();
    const next = this.step + 1;
    const stalled = this.stalledUntil.some((until) => until > now);
    if (stalled || this.ranks.some((rank) => rank.mustHold(next))) return this.schedule(1);
    this.step = next;
    let tokens = 0;
    for (const rank of this.ranks) {
      rank.enterStep(next);
      tokens += rank.advance();
    }
    const skew = tokens > 0 ? this.spread(tokens) : 1;
    for (const rank of this.ranks) {
      rank.skew = skew;
      rank.lastStepMs = this.options.stepMs * (1 + (skew - 1) / 2);
    }
    this.schedule(this.ranks[0]?.lastStepMs ?? this.options.stepMs);
  }

  /** Sends a step's tokens to experts by popularity; returns the step-time skew over ranks. */
  private spread(tokens: number): number {
    const { experts, layers, ranks } = this.options;
    const load = new Array<number>(ranks).fill(0);
    for (let token = 0; token < tokens; token += 1) {
      const hot = this.hotExperts.length > 0 && this.random() < 0.7;
      const expert = hot
        ? (this.hotExperts[Math.floor(this.random() * this.hotExperts.length)] as number)
        : Math.floor(this.random() * experts);
      for (let layer = 0; layer < layers; layer += 1) this.place(layer, expert, token, load);
    }
    const mean = load.reduce((sum, l) => sum + l, 0) / ranks;
    return mean > 0 ? Math.max(...load) / mean : 1;
  }

  private place(layer: number, expert: number, token: number, load: number[]): void {
    const first = this.ranks[0] as Rank;
    const holders = (first.switchState.map.layers[layer] ?? []).flatMap((held, rank) =>
      held.includes(expert) ? [rank] : [],
    );
    const holder = holders[token % Math.max(1, holders.length)] ?? 0;
    load[holder] = (load[holder] ?? 0) + 1;
    const counts = this.ranks[holder]?.counts[layer];
    if (counts) counts[expert] = (counts[expert] ?? 0) + 1;
  }
}
