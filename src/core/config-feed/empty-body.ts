/** A body without organisations, models, services or groups, to build partial documents from. */
import type { ConfigurationBody } from '../../generated/configuration.types.js';

export const EMPTY_BODY: ConfigurationBody = {
  organisations: [],
  models: [],
  services: [],
  groups: [],
  policy: {
    skewWeight: 1,
    costWeight: 1,
    weightStoreBytesPerSecond: 1,
    retryShare: 0.2,
    tokensPerSecondPerEndpoint: 1,
  },
};
