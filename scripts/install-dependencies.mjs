// Installs what package-lock.json lists, unless the folder node_modules holds exactly that for this machine.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { arch, argv, platform } from 'node:process';
import { fileURLToPath } from 'node:url';

const repository = fileURLToPath(new URL('..', import.meta.url));

function readJson(path) {
  try {
    return JSON.parse(readFileSync(join(repository, path), 'utf8'));
  } catch {
    return undefined;
  }
}

/** Whether a list of the lock file, such as `["linux"]` or `["!win32"]`, includes a value. */
function includes(list, value) {
  if (list === undefined) return true;
  if (list.includes(`!${value}`)) return false;
  return list.includes(value) || list.every((entry) => entry.startsWith('!'));
}

function isPackageCurrent(path, locked, installed) {
  const isForThisMachine = includes(locked.os, platform) && includes(locked.cpu, arch);
  if (locked.optional === true && (!isForThisMachine || locked.libc !== undefined)) return true;
  if (installed === undefined) return false;
  if (locked.link === true) return existsSync(join(repository, path));
  return (
    installed.integrity === locked.integrity &&
    readJson(join(path, 'package.json'))?.version === locked.version
  );
}

/**
 * Compares with the list that npm writes when an installation is complete. The time of the folder says nothing: it may come from
 * another machine or an older lock file.
 */
function isInstallationCurrent() {
  const locked = readJson('package-lock.json')?.packages;
  const installed = readJson('node_modules/.package-lock.json')?.packages;
  if (locked === undefined || installed === undefined) return false;
  return Object.entries(locked)
    .filter(([path]) => path.startsWith('node_modules/'))
    .every(([path, entry]) => isPackageCurrent(path, entry, installed[path]));
}

/** Throws an error if the packages can't be installed. */
export function ensureDependencies() {
  if (isInstallationCurrent()) return;
  const { error, status } = spawnSync(
    'npm',
    ['ci', '--silent', '--no-audit', '--no-fund', '--prefer-offline'],
    { cwd: repository, stdio: 'inherit' },
  );
  if (error !== undefined) throw error;
  if (status !== 0) throw new Error(`npm ci ended with ${status ?? 'a signal'}`);
  if (!isInstallationCurrent())
    throw new Error('npm ci did not install what package-lock.json lists for this machine');
}

if (argv[1] === fileURLToPath(import.meta.url)) ensureDependencies();
