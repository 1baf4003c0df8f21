/** A member that a node may contact before it knows any. */
export interface Seed {
  readonly server: string;
  /** `host:port` on which it accepts other nodes. */
  readonly address: string;
}

/** Key of the list of availability zones that have seeds. */
export const zonesKey = 'members/zones';

/** Key of the seeds of an availability zone. */
export function seedsKey(availabilityZone: string): string {
  return `members/seeds/${availabilityZone}`;
}

/** JSON text of a list of seeds. */
export function encodeSeeds(seeds: readonly Seed[]): string {
  return JSON.stringify({ seeds });
}

/** JSON text of a list of zones. */
export function encodeZones(zones: readonly string[]): string {
  return JSON.stringify({ zones });
}

/** Returns no seeds for text of another form. */
export function decodeSeeds(text: string): readonly Seed[] {
  const seeds = listIn(text, 'seeds');
  return seeds.filter((seed): seed is Seed => {
    if (typeof seed !== 'object' || seed === null) return false;
    const fields = seed as Readonly<Record<string, unknown>>;
    return typeof fields.server === 'string' && typeof fields.address === 'string';
  });
}

/** Returns no zones for text of another form. */
export function decodeZones(text: string): readonly string[] {
  return listIn(text, 'zones').filter((zone) => typeof zone === 'string');
}

function listIn(text: string, field: string): readonly unknown[] {
  try {
    const value = JSON.parse(text) as Readonly<Record<string, unknown>> | null;
    const list = value?.[field];
    return Array.isArray(list) ? list : [];
  } catch {
    return [];
  }
}
