#!/usr/bin/env -S node --max-semi-space-size=2
import { readBuildIdentity } from '@peridotspring/build-identity';

import { LogEvent } from './logging/log-event.js';
import { installLogWriter, Logger } from './logging/logger.js';
import type { Settings } from './settings/settings.js';
import { readStartRequest } from './settings/start-request.js';
import { startNode } from './wiring.js';
import type { RunningNode } from './wiring.js';

const failureExitCode = 1;

/**
 * Logs an uncaught exception and exits: after a violated invariant the state of the process, and
 * therefore its answers, can't be trusted.
 */
function exitOnUncaughtException(log: Logger): void {
  process.on('uncaughtException', (error: NodeJS.ErrnoException) => {
    if (error.code === 'EADDRINUSE') {
      log.error(LogEvent.AddressInUse, { message: error.message });
      process.exit(failureExitCode);
    }
    log.error(LogEvent.InvariantBroken, { message: error.message, stack: error.stack ?? '' });
    process.exit(failureExitCode);
  });
}

/**
 * Logs and exits if an address is already in use, which is caused by wrong settings or by a process
 * that is still running. Rethrows all other errors.
 */
function exitWhenAddressInUse(error: unknown, log: Logger): never {
  const { address, code, port } = error as NodeJS.ErrnoException & {
    readonly address?: string;
    readonly port?: number;
  };
  if (code !== 'EADDRINUSE') {
    throw error;
  }
  log.error(LogEvent.AddressInUse, { address: `${address ?? ''}:${port ?? ''}` });
  process.exit(failureExitCode);
}

function stopOnSignal(node: RunningNode, log: Logger, graceMilliseconds: number): void {
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) {
      return;
    }
    isStopping = true;
    node.stop();
    setTimeout(() => {
      log.warn(LogEvent.StopGraceExpired, { graceMilliseconds });
      process.exit(failureExitCode);
    }, graceMilliseconds);
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

async function run(settings: Settings, unknownVariables: readonly string[]): Promise<void> {
  const log = new Logger(settings.logLevel);
  exitOnUncaughtException(log);
  for (const variable of unknownVariables) {
    log.warn(LogEvent.SettingUnknown, { variable });
  }
  const build = await readBuildIdentity();
  log.info(LogEvent.NodeStarting, { server: settings.serverName, ...build });
  const nodePromise = startNode({
    build,
    settings,
    onStopped: () => {
      void nodePromise.then((node) => node.close()).then(() => process.exit(0));
    },
  }).catch((error: unknown) => exitWhenAddressInUse(error, log));
  const node = await nodePromise;
  stopOnSignal(node, log, settings.stopGraceMilliseconds);
}

installLogWriter((line) => process.stdout.write(line));
const request = readStartRequest(process.argv.slice(2), process.env);
if (request.kind === 'exit') {
  process.stdout.write(request.output);
  process.stderr.write(request.errorOutput);
  process.exitCode = request.code;
} else {
  await run(request.settings, request.unknownVariables);
}
