/** A server of a deployment: an upstream stand-in with its node. */
export interface ServerPlan {
  readonly server: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly slots: number;
  readonly connections: number;
}

export interface ServicePlan {
  readonly service: string;
  readonly servers: number;
  readonly slots: number;
  readonly connections: number;
  /** The declaration in the operators' language. */
  readonly declaration: string;
}

export interface Deployment {
  readonly region: string;
  readonly availabilityZones: readonly string[];
  readonly services: readonly ServicePlan[];
}

function declare(service: string, requests: readonly string[]): string {
  return `declare service ${service} ${requests.join(' ')}`;
}

/** The Halvorsen deployment at its size of today. */
export const prairieWest: Deployment = {
  availabilityZones: ['regina-hall', 'saskatoon-hall', 'brandon-hall'],
  region: 'prairie-west',
  services: [
    {
      connections: 250,
      declaration: declare('provenance', ['request lookup GET "/" idempotent']),
      servers: 6,
      service: 'provenance',
      slots: 10,
    },
    {
      connections: 250,
      declaration: declare('issuance', [
        'request status GET "/" idempotent',
        'request issue POST "/" non-idempotent',
      ]),
      servers: 4,
      service: 'issuance',
      slots: 10,
    },
    {
      connections: 250,
      declaration: declare('retirement', [
        'request balance GET "/" idempotent',
        'request retire POST "/" non-idempotent',
      ]),
      servers: 3,
      service: 'retirement',
      slots: 10,
    },
  ],
};

/** The Agrarantrag deployment at its size of today. */
export const chMittelland: Deployment = {
  availabilityZones: ['bern-a', 'bern-b', 'thun-c'],
  region: 'ch-mittelland',
  services: [
    {
      connections: 200,
      declaration: declare('parzellen', [
        'request read GET "/" idempotent',
        'request save PUT "/" idempotent',
      ]),
      servers: 5,
      service: 'parzellen',
      slots: 6,
    },
    {
      connections: 200,
      declaration: declare('antrag', [
        'request eligibility GET "/" idempotent',
        'request file POST "/" non-idempotent',
      ]),
      servers: 3,
      service: 'antrag',
      slots: 6,
    },
    {
      connections: 200,
      declaration: declare('auszahlung', [
        'request status GET "/" idempotent',
        'request pay POST "/" non-idempotent',
      ]),
      servers: 3,
      service: 'auszahlung',
      slots: 6,
    },
  ],
};

/** The servers of a deployment, spread over its availability zones in turn. */
export function serversOf({ availabilityZones, region, services }: Deployment): ServerPlan[] {
  const plans: ServerPlan[] = [];
  for (const { connections, servers, service, slots } of services) {
    for (let index = 0; index < servers; index += 1) {
      const availabilityZone = availabilityZones[index % availabilityZones.length] ?? '';
      const server = `${service}-${index + 1}`;
      plans.push({ availabilityZone, connections, region, server, service, slots });
    }
  }
  return plans;
}
