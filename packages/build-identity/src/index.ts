export { formatBuildIdentity, readBuildIdentity } from './build-identity.js';
export type { BuildIdentity } from './build-identity.js';
