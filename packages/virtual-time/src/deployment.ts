import { RequestClass } from '@peridotspring/core';

/** One service of a deployment. */
export interface DeploymentService {
  readonly name: string;
  readonly servers: number;
  readonly requestClass: RequestClass;
  /** Assumed: the design states no service times. */
  readonly meanMilliseconds: number;
}

/** Sizes of one user's deployment, from section 1.5 of the design. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly availabilityZones: readonly string[];
  readonly zoneDelayMilliseconds: number;
  readonly clientDelayMilliseconds: number;
  readonly slotsPerServer: number;
  readonly services: readonly DeploymentService[];
}

/** Halvorsen Origin Registry. */
export const prairieWest: Deployment = {
  availabilityZones: ['regina-hall', 'saskatoon-hall', 'brandon-hall'],
  clientDelayMilliseconds: 3,
  name: 'prairie-west',
  region: 'prairie-west',
  services: [
    service('provenance', 6, RequestClass.Idempotent, 20),
    service('issuance', 4, RequestClass.NonIdempotent, 40),
    service('retirement', 3, RequestClass.NonIdempotent, 40),
  ],
  slotsPerServer: 10,
  zoneDelayMilliseconds: 1.5,
};

/** Agrarantrag Labs. */
export const chMittelland: Deployment = {
  availabilityZones: ['bern-a', 'bern-b', 'thun-c'],
  clientDelayMilliseconds: 8,
  name: 'ch-mittelland',
  region: 'ch-mittelland',
  services: [
    service('parzellen', 5, RequestClass.Idempotent, 20),
    service('antrag', 3, RequestClass.NonIdempotent, 40),
    service('auszahlung', 3, RequestClass.NonIdempotent, 40),
  ],
  slotsPerServer: 6,
  zoneDelayMilliseconds: 0.5,
};

export const deployments: readonly Deployment[] = [prairieWest, chMittelland];

function service(
  name: string,
  servers: number,
  requestClass: RequestClass,
  meanMilliseconds: number,
): DeploymentService {
  return { meanMilliseconds, name, requestClass, servers };
}
