/** Fake group of model engines: its ranks use continuous batching and advance in lock-step. */
import type { Server } from 'node:http';
import { seededRandom } from '../../src/core/clock/index.js';
import { closeServer, readJson, sendJson, serveLoopback } from '../http/index.js';
import { Rank } from './rank.js';
import { DEFAULT_GROUP_OPTIONS, type ExpertMap, type GroupOptions } from './types.js';

/** The initial map, which assigns experts to ranks in order. */
export function sequentialMap(
  options: Pick<GroupOptions, 'ranks' | 'layers' | 'experts'>,
): ExpertMap {
  const perRank = Math.ceil(options.experts / options.ranks);
  const layer = Array.from({ length: options.ranks }, (_, rank) =>
    Array.from({ length: perRank }, (_, i) => (rank * perRank + i) % options.experts),
  );
  return { id: 'initial', layers: Array.from({ length: options.layers }, () => layer) };
}

/** A running group in which each rank listens on its own address. */
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
    const map = sequentialMap(options);
    this.ranks = Array.from({ length: options.ranks }, (_, i) => new Rank(i, options, map));
  }

  /** Starts every rank on a free loopback port. */
  static async start(options: Partial<GroupOptions> = {}): Promise<FakeGroup> {
    const group = new FakeGroup({ ...DEFAULT_GROUP_OPTIONS, ...options });
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
    group.scheduleTick(group.options.stepMs);
    return group;
  }

  /** Stalls one rank for `ms`, and with it the whole group. */
  stall(rank: number, ms: number): void {
    this.stalledUntil[rank] = Date.now() + ms;
  }

  /** Makes experts hot: 70 % of tokens are routed to these, the others to any expert. */
  setHotExperts(experts: number[]): void {
    this.hotExperts = experts;
  }

  close(): void {
    clearTimeout(this.timer);
    this.servers.forEach(closeServer);
  }

  private control(
    rank: number,
    command: { ms?: number; hot?: number[] } | undefined,
    res: Parameters<typeof sendJson>[0],
  ): void {
    if (command?.ms) this.stall(rank, command.ms);
    if (command?.hot) this.setHotExperts(command.hot);
    sendJson(res, 200, {});
  }

  private scheduleTick(ms: number): void {
    this.timer = setTimeout(() => this.tick(), ms);
  }

  private tick(): void {
    const now = Date.now();
    const nextStep = this.step + 1;
    const stalled = this.stalledUntil.some((until) => until > now);
    if (stalled || this.ranks.some((rank) => rank.mustHold(nextStep))) return this.scheduleTick(1);
    this.step = nextStep;
    let tokens = 0;
    for (const rank of this.ranks) {
      rank.enterStep(nextStep);
      tokens += rank.advance();
    }
    const skew = tokens > 0 ? this.routeTokens(tokens) : 1;
    for (const rank of this.ranks) {
      rank.skew = skew;
      rank.lastStepMs = this.options.stepMs * (1 + (skew - 1) / 2);
    }
    this.scheduleTick(this.ranks[0]?.lastStepMs ?? this.options.stepMs);
  }

  /** Routes one step's tokens to experts by popularity; returns the step-time skew of the ranks. */
  private routeTokens(tokens: number): number {
    const { experts, layers, ranks } = this.options;
    const tokensByRank = new Array<number>(ranks).fill(0);
    for (let token = 0; token < tokens; token += 1) {
      const isHot = this.hotExperts.length > 0 && this.random() < 0.7;
      const expert = isHot
        ? (this.hotExperts[Math.floor(this.random() * this.hotExperts.length)] as number)
        : Math.floor(this.random() * experts);
      for (let layer = 0; layer < layers; layer += 1)
        this.routeToken(layer, expert, token, tokensByRank);
    }
    const mean = tokensByRank.reduce((sum, l) => sum + l, 0) / ranks;
    return mean > 0 ? Math.max(...tokensByRank) / mean : 1;
  }

  private routeToken(layer: number, expert: number, token: number, tokensByRank: number[]): void {
    const firstRank = this.ranks[0] as Rank;
    const holders = (firstRank.switchState.map.layers[layer] ?? []).flatMap((held, rank) =>
      held.includes(expert) ? [rank] : [],
    );
    const holder = holders[token % Math.max(1, holders.length)] ?? 0;
    tokensByRank[holder] = (tokensByRank[holder] ?? 0) + 1;
    const counts = this.ranks[holder]?.counts[layer];
    if (counts) counts[expert] = (counts[expert] ?? 0) + 1;
  }
}
