import type { NodeIdentity } from '@peridotspring/core';

import type { HostAndPort } from './settings/setting-types.js';
import type { Settings } from './settings/settings.js';

/** Writes `host:port`, with IPv6 addresses in brackets. */
export function hostAndPort({ host, port }: HostAndPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** The identity of this life of the node: its incarnation is the time of its start. */
export function createIdentity(settings: Settings, wallMilliseconds: number): NodeIdentity {
  return {
    availabilityZone: settings.availabilityZone,
    incarnation: wallMilliseconds,
    peerAddress: hostAndPort(settings.peerAdvertisedAddress),
    region: settings.region,
    server: settings.serverName,
  };
}

/** Starts the identifiers of all requests that this life of the node accepts. */
export function requestIdPrefix({ incarnation, server }: NodeIdentity): string {
  return `${server}-${incarnation.toString(36)}`;
}
