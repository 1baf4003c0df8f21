import type { Socket } from 'node:net';

/** Bytes that are passed to the kernel at once, so that a client that reads slowly is seen to make progress. */
const pieceBytes = 65_536;

type Callback = (error?: Error | null) => void;

/** Writes to a socket piece by piece, and tells since when the client has not taken a piece. */
export class OutputWriter {
  private blockedAt = Infinity;

  public constructor(private readonly socket: Socket) {}

  /** Time since which a piece waits for the client to read; infinite if none does. */
  public get blockedSince(): number {
    return this.blockedAt;
  }

  public write(chunks: readonly Buffer[], callback: Callback): void {
    this.writePieces(chunks.flatMap(toPieces), 0, callback);
  }

  private writePieces(pieces: readonly Buffer[], start: number, callback: Callback): void {
    const { socket } = this;
    let end = start;
    let byteCount = 0;
    socket.cork();
    while (end < pieces.length) {
      const piece = pieces[end];
      if (piece === undefined) break;
      byteCount += piece.length;
      end += 1;
      const isLast = end === pieces.length || byteCount + (pieces[end]?.length ?? 0) > pieceBytes;
      if (!isLast) {
        socket.write(piece);
        continue;
      }
      this.blockedAt = performance.now();
      const next = end;
      socket.write(piece, (error) => {
        this.blockedAt = Infinity;
        if (error != null || next === pieces.length) callback(error);
        else this.writePieces(pieces, next, callback);
      });
      break;
    }
    socket.uncork();
  }
}

function toPieces(chunk: Buffer): Buffer[] {
  if (chunk.length <= pieceBytes) return [chunk];
  const pieces: Buffer[] = [];
  for (let start = 0; start < chunk.length; start += pieceBytes)
    pieces.push(chunk.subarray(start, start + pieceBytes));
  return pieces;
}
