import type { NodeIdentity } from '@peridotspring/core';

import type { HostAndPort } from './settings/setting-types.js';
import type { Settings } from './settings/settings.js';

/** Formats as `host:port`, with IPv6 addresses in brackets. */
export function formatHostAndPort({ host, port }: HostAndPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/**
 * Creates the identity of the node; its incarnation is the start time of the process in Unix
 * milliseconds.
 */
export function createIdentity(settings: Settings, wallMilliseconds: number): NodeIdentity {
  return {
    availabilityZone: settings.availabilityZone,
    incarnation: wallMilliseconds,
    peerAddress: formatHostAndPort(settings.peerAdvertisedAddress),
    region: settings.region,
    server: settings.serverName,
  };
}

/**
 * Returns the prefix of the identifiers of all requests that this incarnation of the node accepts.
 */
export function requestIdPrefix({ incarnation, server }: NodeIdentity): string {
  return `${server}-${incarnation.toString(36)}`;
}
