import './enable-roarr.js';

import type { LogCommand } from '@peridotspring/core';
import { Roarr, ROARR, type Message } from 'roarr';

import { formatLine, logLevels, type LogLevel, type LogValue } from './format-line.js';
import type { LogEvent } from './log-event.js';

type Fields = Readonly<Record<string, LogValue>>;

interface RoarrContext {
  readonly event: string;
  readonly fields: Fields;
  readonly level: LogLevel;
  /** Wall time of an event that is written later than it happened. */
  readonly time?: number;
}

function serialize(message: Message): string {
  const { event, fields, level, time } = message.context as unknown as RoarrContext;
  return formatLine({ event, fields, level, time: time ?? message.time });
}

/**
 * Sends every line of roarr to `write`, which gets it with its line break. Roarr keeps its writer in
 * a global, so a process has one.
 */
export function installLogWriter(write: (line: string) => void): void {
  ROARR.serializeMessage = serialize;
  ROARR.write = (line) => {
    write(`${line}\n`);
  };
}

/** Logs events at or above a level. */
export class Logger {
  private readonly lowest: number;

  public constructor(lowestLevel: LogLevel) {
    this.lowest = logLevels.indexOf(lowestLevel);
  }

  public debug(event: LogEvent, fields: Fields = {}): void {
    this.write('debug', event, fields);
  }

  public info(event: LogEvent, fields: Fields = {}): void {
    this.write('info', event, fields);
  }

  public warn(event: LogEvent, fields: Fields = {}): void {
    this.write('warn', event, fields);
  }

  public error(event: LogEvent, fields: Fields = {}): void {
    this.write('error', event, fields);
  }

  /** Logs an event of the core; `time` is when it happened, if that was earlier. */
  public command(command: LogCommand, time?: number): void {
    this.write(command.level, command.event, command.fields, time);
  }

  private write(level: LogLevel, event: string, fields: Fields, time?: number): void {
    if (logLevels.indexOf(level) < this.lowest) return;
    // The fields are nested, so that none of them replaces a property of roarr's context. The message
    // stays empty, because roarr formats percent signs in it.
    Roarr[level]({ event, fields, level, ...(time !== undefined && { time }) }, '');
  }
}
