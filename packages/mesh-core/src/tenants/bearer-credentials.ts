/**
 * Returns the API key of a request's `Authorization` fields; undefined unless there is exactly one field with the
 * scheme `Bearer`, in any case, and one word after it (RFC 9110, section 11.4; RFC 6750, section 2.1).
 */
export function parseBearerKey(authorizationFields: readonly string[]): string | undefined {
  const [field, ...others] = authorizationFields;
  if (field === undefined || others.length > 0) return undefined;
  return /^bearer +(\S+)$/i.exec(field.trim())?.[1];
}
