import { readFileSync } from 'node:fs';

const clockTicksPerSecond = 100;
const pageKibibytes = 4;

/** Processor time and memory of one process. */
export interface ProcessUsage {
  readonly processorSeconds: number;
  readonly residentKibibytes: number;
}

/** Reads the use of a process from /proc; undefined when the process has ended. */
export function readProcessUsage(pid: number): ProcessUsage | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    // The command name may hold spaces, so fields are counted from its closing parenthesis.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[11]) + Number(fields[12]);
    return {
      processorSeconds: ticks / clockTicksPerSecond,
      residentKibibytes: Number(fields[21]) * pageKibibytes,
    };
  } catch {
    return undefined;
  }
}
