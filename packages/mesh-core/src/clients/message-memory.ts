/** Memory of an open connection with its streams, its parser and their listeners. */
export const connectionBytes = 12_288;
/** Memory of a connection to another node. */
export const peerConnectionBytes = 8_192;
/** Memory of a request beside its header fields: its message and response, and the records kept until it is answered. */
export const requestBytes = 8_192;
/** Memory of a header field beside its characters: two strings, and its places in the lists and the table of fields. */
const fieldBytes = 192;
/** Characters of a head are in the parser or in strings, and again in the fields that are passed on. */
const copiesOfHead = 2;

/** Memory of a head, or of the part of one that has been read; each line may be a field. */
export function headMemory(byteCount: number, lineCount: number): number {
  return copiesOfHead * byteCount + fieldBytes * lineCount;
}
