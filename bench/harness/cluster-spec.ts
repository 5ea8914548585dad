/** Specification of a cluster, and the configuration that it publishes first. */
import type { GroupOptions } from '../../fakes/model-engine/index.js';
import { keyHash } from '../../src/core/config-feed/index.js';
import type {
  ConfigurationBody,
  OrganisationConfig,
} from '../../src/generated/configuration.types.js';
import type { Settings } from '../../src/generated/settings.types.js';

/** One organisation; its key is `testKey(id)`. */
export interface OrganisationSpec {
  readonly id: string;
  readonly weight: number;
  readonly tokensPerSecond: number;
}

/** Processes to start, and their settings. */
export interface ClusterSpec {
  readonly dataCentres: readonly string[];
  readonly entriesPerDataCentre: number;
  readonly servicesPerDataCentre: number;
  /** Ranks of the model group in each data centre, which has one group. */
  readonly ranksPerDataCentre: number;
  readonly group?: Partial<GroupOptions>;
  readonly organisations: readonly OrganisationSpec[];
  readonly policy?: Partial<ConfigurationBody['policy']>;
  readonly listDelayMs?: number;
  readonly serviceTimeMs?: number;
  readonly timing?: Settings['timing'];
  readonly limits?: Settings['limits'];
}

/** Names of the only model and the only service of a cluster. */
export const MODEL = 'passenger-summary';
export const SERVICE = 'boarding';

/** API key of an organisation in tests, sent as a bearer token. */
export function testKey(organisation: string): string {
  return `key-of-${organisation}`;
}

/** Configuration entry of an organisation. */
export function organisationConfig(spec: OrganisationSpec): OrganisationConfig {
  return { ...spec, keySha256: keyHash(testKey(spec.id)) };
}

const DEFAULT_EXPERTS = 8;
const DEFAULT_LAYERS = 2;

function serviceConfig(endpoints: readonly string[]): ConfigurationBody['services'][number] {
  return {
    id: SERVICE,
    endpoints: [...endpoints],
    notRepeatable: [{ method: 'POST', pathPrefix: '/bags' }],
  };
}

function groupConfig(
  spec: ClusterSpec,
  dataCentre: string,
  engines: readonly string[],
): ConfigurationBody['groups'][number] {
  const experts = spec.group?.experts ?? DEFAULT_EXPERTS;
  return {
    id: `${dataCentre}-group`,
    endpoints: engines.filter((e) => e.startsWith(`${dataCentre}-`)),
    layers: spec.group?.layers ?? DEFAULT_LAYERS,
    experts,
    slotsPerRank: Math.ceil(experts / Math.max(1, spec.ranksPerDataCentre)) + 1,
    expertBytes: 1_000_000,
  };
}

/** First configuration of a cluster: one model on all engines, one service on all service endpoints. */
export function initialConfiguration(
  spec: ClusterSpec,
  engines: readonly string[],
  services: readonly string[],
): ConfigurationBody {
  return {
    organisations: spec.organisations.map(organisationConfig),
    models: [{ id: MODEL, endpoints: [...engines] }],
    services: services.length === 0 ? [] : [serviceConfig(services)],
    groups: spec.dataCentres.map((dc) => groupConfig(spec, dc, engines)),
    policy: {
      skewWeight: 1,
      costWeight: 1,
      weightStoreBytesPerSecond: 100_000_000,
      retryShare: 0.2,
      tokensPerSecondPerEndpoint: 1000,
      ...spec.policy,
    },
  };
}
