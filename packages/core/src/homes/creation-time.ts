const versionSevenPattern =
  /^([0-9a-f]{8})-?([0-9a-f]{4})-?7[0-9a-f]{3}-?[89ab][0-9a-f]{3}-?[0-9a-f]{12}$/i;

/** Returns the creation time in a UUIDv7 in Unix milliseconds, or undefined for any other key. */
export function creationTimeOf(key: string): number | undefined {
  const parts = versionSevenPattern.exec(key);
  if (parts === null) return undefined;
  return Number.parseInt(`${parts[1] ?? ''}${parts[2] ?? ''}`, 16);
}
