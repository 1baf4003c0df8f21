import type { Digest } from '../quarantine/request-fingerprint.js';
import type { Tenant } from './tenant.js';

/**
 * The tenants of one configuration, by their API keys. Keys are looked up by digest, so that the time of a look-up does
 * not depend on how much of a key was guessed.
 */
export class TenantDirectory {
  private readonly byDigest = new Map<string, Tenant>();
  private readonly byName = new Map<string, Tenant>();
  private readonly ambiguousDigests = new Set<string>();

  public constructor(
    tenants: readonly Tenant[],
    private readonly digest: Digest,
  ) {
    for (const tenant of tenants) {
      this.byName.set(tenant.name, tenant);
      for (const key of tenant.apiKeys) this.addKey(key, tenant);
    }
  }

  /** Number of keys that several tenants hold. Such a key identifies no tenant. */
  public get ambiguousKeyCount(): number {
    return this.ambiguousDigests.size;
  }

  public get tenants(): readonly Tenant[] {
    return [...this.byName.values()];
  }

  /** Returns the tenant that holds the key; undefined if none or several do. */
  public findByKey(apiKey: string): Tenant | undefined {
    return this.byDigest.get(this.digest(apiKey));
  }

  public findByName(name: string): Tenant | undefined {
    return this.byName.get(name);
  }

  private addKey(apiKey: string, tenant: Tenant): void {
    const digest = this.digest(apiKey);
    const holder = this.byDigest.get(digest);
    if (holder === tenant || this.ambiguousDigests.has(digest)) return;
    if (holder === undefined) {
      this.byDigest.set(digest, tenant);
      return;
    }
    this.byDigest.delete(digest);
    this.ambiguousDigests.add(digest);
  }
}
