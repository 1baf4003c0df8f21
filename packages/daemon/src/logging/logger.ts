import './enable-roarr.js';

import type { LogCommand } from '@peridotspring/core';
import { Roarr, ROARR, type Message } from 'roarr';

import { formatLine, logLevels, type LogLevel, type LogValue } from './format-line.js';
import type { LogEvent } from './log-event.js';

type LogFields = Readonly<Record<string, LogValue>>;

interface RoarrContext {
  readonly event: string;
  readonly fields: LogFields;
  readonly level: LogLevel;
  /** Wall-clock time of an event that is written later than it occurred. */
  readonly time?: number;
}

function serialize(message: Message): string {
  const { event, fields, level, time } = message.context as unknown as RoarrContext;
  return formatLine({ event, fields, level, time: time ?? message.time });
}

/**
 * Passes every line of roarr, including its line break, to `write`. Roarr keeps its writer in a global variable, so
 * there is one writer per process.
 */
export function installLogWriter(write: (line: string) => void): void {
  ROARR.serializeMessage = serialize;
  ROARR.write = (line) => {
    write(`${line}\n`);
  };
}

/** Logs events at or above a level. */
export class Logger {
  private readonly minimumLevelIndex: number;

  public constructor(minimumLevel: LogLevel) {
    this.minimumLevelIndex = logLevels.indexOf(minimumLevel);
  }

  public debug(event: LogEvent, fields: LogFields = {}): void {
    this.write('debug', event, fields);
  }

  public info(event: LogEvent, fields: LogFields = {}): void {
    this.write('info', event, fields);
  }

  public warn(event: LogEvent, fields: LogFields = {}): void {
    this.write('warn', event, fields);
  }

  public error(event: LogEvent, fields: LogFields = {}): void {
    this.write('error', event, fields);
  }

  /** Logs an event of the core; `time` is the wall-clock time at which it occurred, if that was earlier. */
  public command(command: LogCommand, time?: number): void {
    this.write(command.level, command.event, command.fields, time);
  }

  private write(level: LogLevel, event: string, fields: LogFields, time?: number): void {
    if (logLevels.indexOf(level) < this.minimumLevelIndex) return;
    // The fields are nested, so that none of them replaces a property of roarr's context. The message is
    // empty, because roarr interprets percent signs in it.
    Roarr[level]({ event, fields, level, ...(time !== undefined && { time }) }, '');
  }
}
