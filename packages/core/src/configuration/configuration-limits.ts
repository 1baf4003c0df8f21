/** Limits on configurations, which bound the size of stored values and of frames. */
export const configurationLimits = {
  /** The design has to serve 1,300 services. */
  services: 2_000,
  requestKinds: 64,
  tenants: 256,
  drainedServers: 2_000,
  drainedAvailabilityZones: 256,
  /**
   * Characters of the JSON text of one service; about 20 services share a page record in the store.
   */
  serviceCharacters: 65_536,
  /** Characters of the JSON text of the whole configuration; a frame holds 1.25 MiB. */
  totalCharacters: 1_000_000,
} as const;

/** Change identifiers of at most 36 characters keep the root record below 16 KB. */
export const changeIdPattern = /^[A-Za-z0-9_-]{1,36}$/;
