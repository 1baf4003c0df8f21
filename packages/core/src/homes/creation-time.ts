const uuidVersion7Pattern =
  /^([0-9a-f]{8})-?([0-9a-f]{4})-?7[0-9a-f]{3}-?[89ab][0-9a-f]{3}-?[0-9a-f]{12}$/i;

/** Returns the timestamp of a UUIDv7 key in Unix milliseconds, or undefined for any other key. */
export function creationTimeOf(key: string): number | undefined {
  const match = uuidVersion7Pattern.exec(key);
  if (match === null) return undefined;
  return Number.parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16);
}
