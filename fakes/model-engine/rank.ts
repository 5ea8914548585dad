/** One rank of the fake group: its requests and its part of the map switch. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readJson, sendJson } from '../http/index.js';
import type { EngineExecution, ExpertMap, GroupOptions, MapUse, RankSwitchState } from './types.js';

interface EngineRequest {
  readonly id: string;
  readonly nonce: string;
  readonly totalTokens: number;
  readonly isStream: boolean;
  readonly execution: EngineExecution;
  readonly res: ServerResponse;
  /** Tokens generated, including those that the caller received before it resumed the stream. */
  generatedTokens: number;
}

interface SwitchOrder {
  readonly kind: 'fence' | 'load' | 'arm' | 'confirm' | 'abort';
  readonly epoch: number;
  readonly target?: number;
  readonly map?: ExpertMap;
  readonly step?: number;
}

/** One rank, driven by the group through `enterStep` and `advance`. */
export class Rank {
  readonly executions: EngineExecution[] = [];
  readonly mapUses: MapUse[] = [];
  readonly switchState: RankSwitchState;
  /** Tokens by layer and expert since the counts were last reset. */
  counts: number[][];
  step = 0;
  lastStepMs: number;
  skew = 1;
  private readonly active: EngineRequest[] = [];
  private readonly waiting: EngineRequest[] = [];

  constructor(
    readonly index: number,
    private readonly options: GroupOptions,
    map: ExpertMap,
  ) {
    this.switchState = { fence: 0, map, armed: undefined, lastConfirmed: 0 };
    this.counts = this.zeroCounts();
    this.lastStepMs = options.stepMs;
  }

  /** Whether this rank waits before a step because its armed map is neither confirmed nor aborted. */
  mustHold(step: number): boolean {
    const { armed } = this.switchState;
    return (
      this.options.holdsAtStep && armed !== undefined && !armed.confirmed && step >= armed.step
    );
  }

  /** Enters a step and changes to the armed map if it is confirmed for this step. */
  enterStep(step: number): void {
    this.step = step;
    const state = this.switchState;
    if (state.armed?.confirmed && step >= state.armed.step) {
      state.map = state.armed.map;
      state.armed = undefined;
    }
    if (this.mapUses.at(-1)?.mapId !== state.map.id)
      this.mapUses.push({ step, mapId: state.map.id });
  }

  /** Generates one token for each active request; returns the number of requests still active. */
  advance(): number {
    while (this.active.length < this.options.batchLimit && this.waiting.length > 0)
      this.active.push(this.waiting.shift() as EngineRequest);
    for (const request of [...this.active]) {
      this.generateToken(request);
      if (request.generatedTokens >= request.totalTokens) this.finish(request, 'done');
    }
    return this.active.length;
  }

  get isIdle(): boolean {
    return this.active.length === 0 && this.waiting.length === 0;
  }

  /** Serves the engine's HTTP API and the control paths of tests. */
  async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://engine');
    if (url.pathname === '/v1/chat/completions') return this.serveChat(req, res);
    if (url.pathname === '/state')
      return this.sendState(res, url.searchParams.get('counts') === 'take');
    if (url.pathname === '/orders')
      return this.serveOrder((await readJson(req)) as SwitchOrder, res);
    if (url.pathname === '/control/executions') return sendJson(res, 200, this.executions);
    if (url.pathname === '/control/maps') return sendJson(res, 200, this.mapUses);
    sendJson(res, 404, { error: 'unknown path' });
  }

  zeroCounts(): number[][] {
    return Array.from({ length: this.options.layers }, () =>
      new Array<number>(this.options.experts).fill(0),
    );
  }

  private async serveChat(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = (await readJson(req)) as {
      messages: { content: string }[];
      stream?: boolean;
      max_tokens?: number;
    };
    const text = body.messages.map((m) => m.content).join('\n');
    const id = String(req.headers['x-request-id'] ?? '');
    const execution: EngineExecution = {
      id,
      nonce: /nonce=([\w-]+)/.exec(text)?.[1] ?? '',
      organisation: String(req.headers['x-organisation'] ?? ''),
      atMs: Date.now(),
      end: 'running',
    };
    this.executions.push(execution);
    const lastEventId = Number(req.headers['last-event-id'] ?? -1);
    const request: EngineRequest = {
      id,
      nonce: execution.nonce,
      totalTokens: body.max_tokens ?? 16,
      isStream: body.stream === true,
      execution,
      res,
      generatedTokens: lastEventId + 1,
    };
    // A request is cancelled when its caller disconnects.
    res.on('close', () => {
      if (execution.end === 'running') this.finish(request, 'cancelled');
    });
    if (request.isStream)
      res.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id });
    if (request.isStream) res.flushHeaders();
    this.waiting.push(request);
  }

  /** Generates the next token and, for a stream, sends it as an event. */
  private generateToken(request: EngineRequest): void {
    const tokenIndex = request.generatedTokens;
    request.generatedTokens += 1;
    if (request.isStream)
      request.res.write(
        `id: ${tokenIndex}\ndata: ${this.completionChunk(request, tokenIndex)}\n\n`,
      );
    if (request.generatedTokens < request.totalTokens) return;
    if (request.isStream) request.res.end(`id: ${request.totalTokens}\ndata: [DONE]\n\n`);
    else this.sendCompletion(request);
  }

  private completionChunk(request: EngineRequest, tokenIndex: number): string {
    const isLast = tokenIndex === request.totalTokens - 1;
    const delta = { content: `${request.nonce}:${tokenIndex} ` };
    return JSON.stringify({
      id: request.id,
      object: 'chat.completion.chunk',
      created: 0,
      model: 'fake',
      choices: [{ index: 0, delta, finish_reason: isLast ? 'stop' : null }],
    });
  }

  private sendCompletion(request: EngineRequest): void {
    const content = Array.from(
      { length: request.totalTokens },
      (_, tokenIndex) => `${request.nonce}:${tokenIndex} `,
    ).join('');
    const choices = [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'stop' }];
    const usage = {
      prompt_tokens: 1,
      completion_tokens: request.totalTokens,
      total_tokens: request.totalTokens + 1,
    };
    sendJson(
      request.res,
      200,
      { id: request.id, object: 'chat.completion', created: 0, model: 'fake', choices, usage },
      { 'x-request-id': request.id },
    );
  }

  private finish(request: EngineRequest, end: 'done' | 'cancelled'): void {
    request.execution.end = end;
    for (const list of [this.active, this.waiting]) {
      const at = list.indexOf(request);
      if (at >= 0) list.splice(at, 1);
    }
  }

  private stateJson(): object {
    const { fence, map, armed, lastConfirmed } = this.switchState;
    return {
      fence,
      step: this.step,
      map,
      lastConfirmed,
      armed: armed && {
        epoch: armed.epoch,
        mapId: armed.map.id,
        step: armed.step,
        confirmed: armed.confirmed,
      },
    };
  }

  private sendState(res: ServerResponse, resetsCounts: boolean): void {
    const counts = resetsCounts ? this.counts : undefined;
    if (resetsCounts) this.counts = this.zeroCounts();
    sendJson(res, 200, { ...this.stateJson(), counts });
  }

  private async serveOrder(order: SwitchOrder, res: ServerResponse): Promise<void> {
    if (this.options.checksFences && order.epoch < this.switchState.fence) {
      return sendJson(res, 409, { error: 'epoch is older than the fence', ...this.stateJson() });
    }
    if (this.options.checksFences) this.switchState.fence = order.epoch;
    if (order.kind === 'load' && order.map) await this.loadExperts(order.map);
    const isAccepted = this.applyOrder(order);
    sendJson(res, isAccepted ? 200 : 409, { ...this.stateJson() });
  }

  private async loadExperts(map: ExpertMap): Promise<void> {
    const loaded = this.switchState.map.layers.map((layer) => new Set(layer[this.index] ?? []));
    const missing = map.layers.flatMap((layer, l) =>
      (layer[this.index] ?? []).filter((e) => !loaded[l]?.has(e)),
    );
    await new Promise((resolve) => setTimeout(resolve, missing.length * this.options.expertLoadMs));
  }

  private applyOrder(order: SwitchOrder): boolean {
    const state = this.switchState;
    if (order.kind === 'arm') {
      if (!order.map || order.step === undefined || order.step <= this.step || state.armed)
        return false;
      state.armed = { epoch: order.epoch, map: order.map, step: order.step, confirmed: false };
      return true;
    }
    if (order.kind === 'confirm') {
      if (state.armed?.epoch === order.target)
        state.armed = { ...state.armed, confirmed: true } as typeof state.armed;
      else if ((order.target ?? 0) > state.lastConfirmed) return false;
      state.lastConfirmed = Math.max(state.lastConfirmed, order.target ?? 0);
      return true;
    }
    if (order.kind === 'abort') {
      if (state.armed?.epoch === order.target && state.armed?.confirmed) return false;
      if (state.armed?.epoch === order.target) state.armed = undefined;
    }
    return true;
  }
}
