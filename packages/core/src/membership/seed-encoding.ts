/** A member that a starting node can contact before it knows any other member. */
export interface Seed {
  readonly server: string;
  /** `host:port` on which it accepts connections from other nodes. */
  readonly address: string;
}

/** Store key of the list of availability zones that have seeds. */
export const zonesKey = 'members/zones';

/** Store key of the seeds of an availability zone. */
export function seedsKey(availabilityZone: string): string {
  return `members/seeds/${availabilityZone}`;
}

/** Encodes a list of seeds as JSON. */
export function encodeSeeds(seeds: readonly Seed[]): string {
  return JSON.stringify({ seeds });
}

/** Encodes a list of zones as JSON. */
export function encodeZones(zones: readonly string[]): string {
  return JSON.stringify({ zones });
}

/** Decodes a list of seeds; returns an empty list if the text is malformed. */
export function decodeSeeds(text: string): readonly Seed[] {
  const seeds = parseList(text, 'seeds');
  return seeds.filter((seed): seed is Seed => {
    if (typeof seed !== 'object' || seed === null) return false;
    const fields = seed as Readonly<Record<string, unknown>>;
    return typeof fields.server === 'string' && typeof fields.address === 'string';
  });
}

/** Decodes a list of zones; returns an empty list if the text is malformed. */
export function decodeZones(text: string): readonly string[] {
  return parseList(text, 'zones').filter((zone) => typeof zone === 'string');
}

function parseList(text: string, field: string): readonly unknown[] {
  try {
    const value = JSON.parse(text) as Readonly<Record<string, unknown>> | null;
    const list = value?.[field];
    return Array.isArray(list) ? list : [];
  } catch {
    return [];
  }
}
