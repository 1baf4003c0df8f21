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

/** Memory that belongs to one process alone; pages of the program's file are shared by all. */
export function readUnsharedKibibytes(pid: number): number | undefined {
  try {
    const rollup = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8');
    const parts = [...rollup.matchAll(/^Private_(?:Clean|Dirty): +(\d+) kB$/gm)];
    return parts.reduce((sum, [, kibibytes]) => sum + Number(kibibytes), 0);
  } catch {
    return undefined;
  }
}
