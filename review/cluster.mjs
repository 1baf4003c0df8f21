// Starts a small deployment on loopback: the program of the deploy file beside each server stand-in, and the store.
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, closeSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';

import { Server } from './server.mjs';
import { Store } from './store.mjs';

const repository = fileURLToPath(new URL('../', import.meta.url));
/** Interval at which the platform checks the memory of processes. */
const memoryCheckMilliseconds = 20;
/** Delay after which the platform starts a process again that has ended. */
const restartMilliseconds = 500;

export const pause = (milliseconds) =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

function freePort(host) {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.listen(0, host, () => {
      const { port } = probe.address();
      probe.close(() => resolve(port));
    });
  });
}

/** The command of the role in the deploy file, split at spaces. */
function deployedCommand() {
  const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** A machine: the address, the process of the system and the server beside it. */
class Machine {
  /** { at, code, signal } of each end that the test did not order. */
  ends = [];
  starts = [];
  isWanted = false;
  /** Misses of the readiness check in a row; after two, requesters get no new work. */
  misses = 0;
  peakMegabytes = 0;
  /** { at, megabytes } of each end by the platform since the process exceeded its memory. */
  memoryKills = [];

  constructor(directory, settings, server) {
    this.settings = settings;
    this.name = settings.node;
    this.server = server;
    this.settingsFile = join(directory, `${this.name}.json`);
    this.logFile = join(directory, `${this.name}.log`);
    writeFileSync(this.settingsFile, JSON.stringify(settings));
  }

  get outbound() {
    const [host, port] = this.settings.listen.outbound.split(':');
    return { host, port: Number(port) };
  }

  get pid() {
    return this.child?.pid;
  }

  start() {
    this.isWanted = true;
    const [program, ...options] = deployedCommand();
    const log = openSync(this.logFile, 'a');
    const { HOME, LANG, PATH } = process.env;
    this.child = spawn(program === 'node' ? process.execPath : program, options, {
      cwd: repository,
      env: { HOME, LANG, PATH, PERIDOTSPRING_BOOT: this.settingsFile },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.starts.push(Date.now());
    const { child } = this;
    child.once('exit', (code, signal) => {
      if (this.child !== child || !this.isWanted) return;
      this.ends.push({ at: Date.now(), code, signal });
      setTimeout(() => {
        if (this.isWanted && this.child === child) this.start();
      }, restartMilliseconds);
    });
  }

  /** Sends a signal to the process; with SIGKILL or SIGTERM, resolves when it has ended. */
  async end(signal) {
    this.isWanted = false;
    const { child } = this;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill(signal);
    await ended;
  }

  /** Resolves to the status of the readiness check, or 0. */
  readiness() {
    const [host, port] = this.settings.listen.readiness.split(':');
    return new Promise((resolve) => {
      const call = get(
        { host, path: '/peridotspring/readiness', port, timeout: 1_000 },
        (answer) => {
          answer.resume();
          resolve(answer.statusCode);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => resolve(0));
    });
  }

  /** Private memory of the process in MB; shared pages of files are not counted. */
  get memoryMegabytes() {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      return Number(/RssAnon:\s+(\d+)/.exec(status)[1]) / 1024;
    } catch {
      return 0;
    }
  }

  /** "A process that exceeds `memory_mb` is killed." */
  enforceMemoryLimit() {
    const megabytes = this.memoryMegabytes;
    this.peakMegabytes = Math.max(this.peakMegabytes, megabytes);
    if (megabytes <= this.settings.limits.memory_mb || !this.isWanted) return;
    this.memoryKills.push({ at: Date.now(), megabytes });
    this.child.kill('SIGKILL');
  }

  get log() {
    return readFileSync(this.logFile, 'utf8');
  }
}

export class Cluster {
  machines = [];
  store = new Store();
  directory = mkdtempSync(join(tmpdir(), 'peridotspring-review-'));
  version = 0;

  /** `services`: one name for each machine. `zones`: taken in turn. `bounds` and `server` change the defaults. */
  constructor({
    services,
    zones = ['hall-a', 'hall-b', 'hall-c'],
    bounds = {},
    server = () => ({}),
  }) {
    Object.assign(this, { bounds, serverOptions: server, services, zones });
    // However the test ends, no process of it is left.
    process.once('exit', () => {
      for (const { child } of this.machines) child?.kill('SIGKILL');
    });
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2));
  }

  async start(routes) {
    const pick = () => 2 + Math.floor(Math.random() * 250);
    this.network = `127.${pick()}.${pick()}`;
    const storeAddress = await this.store.listen(`${this.network}.250`);
    this.storeAddress = storeAddress;
    const first = `${this.network}.1`;
    const names = ['inbound', 'outbound', 'readiness', 'control', 'app', 'inner'];
    const ports = {};
    for (const name of names) ports[name] = await freePort(first);
    this.ports = ports;
    this.publish(routes);
    for (const [index, service] of this.services.entries()) this.add(index, service);
    for (const { server } of this.machines) await server.listen();
    for (const machine of this.machines) machine.start();
    for (const { server } of this.machines) server.startReports();
    this.memoryTimer = setInterval(() => {
      for (const machine of this.machines) machine.enforceMemoryLimit();
    }, memoryCheckMilliseconds);
    await this.untilReady();
    this.readinessTimer = setInterval(() => {
      for (const machine of this.machines) void this.checkReadiness(machine);
    }, 1_000);
  }

  async checkReadiness(machine) {
    const status = await machine.readiness();
    machine.misses = status === 200 ? 0 : machine.misses + 1;
  }

  /** Whether requesters on the machine get new work. */
  isIn(machine) {
    const { zone } = machine.settings;
    const zoneMachines = this.machines.filter(({ settings }) => settings.zone === zone);
    const inCount = zoneMachines.filter(({ misses }) => misses < 2).length;
    return machine.misses < 2 || inCount * 2 < zoneMachines.length;
  }

  add(index, service) {
    const { bounds, network, ports, storeAddress, zones } = this;
    const host = `${network}.${index + 1}`;
    const zone = zones[index % zones.length];
    const settings = {
      node: `sidecar-${zone}-${index + 1}`,
      role: 'mesh',
      machine_class: 'sidecar',
      serves: ['sidecar'],
      ip_address: host,
      zone,
      region: 'west',
      zones: Object.fromEntries(zones.map((name) => [name, 'west'])),
      listen: {
        inbound: `${host}:${ports.inbound}`,
        outbound: `${host}:${ports.outbound}`,
        readiness: `${host}:${ports.readiness}`,
        control: `${host}:${ports.control}`,
      },
      internal_ports: [ports.inner, ports.inner],
      seeds: [],
      first_start: true,
      counts_in_tolerance: false,
      limits: {
        cpu_share: 0.54,
        cores: 1,
        memory_mb: 350,
        file_descriptors: 4100,
        link_mbps: 1000,
        disk_mb: 0,
      },
      data_directory: null,
      discovery: 'static',
      entry_point: 'static',
      heartbeat_interval_ms: 1500,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'health', 'platform'],
      fault_tolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: {
        seed_lag_s: 3,
        address_reuse_s: 2,
        stability_window_ms: 3000,
        ack_timeout_ms: 4000,
        catch_up_s: 4,
        drain_ms: 2000,
        grace_period_s: 6,
        loss_slack_ms: 200,
        config_propagation_ms: 2000,
        rollback_slack_ms: 250,
        stretch_max_ms: 5000,
        retry_budget_ratio: 0.2,
        budget_window_s: 10,
        budget_slack: 62,
        recovery_s: 15,
        probes_per_s: 60,
        ...bounds,
      },
      app_address: `${host}:${ports.app}`,
      service,
      platform: {
        address: storeAddress,
        form: 'kv',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_retention_s: 20,
        value_bytes: 1048576,
        min_ttl_ms: 1000,
      },
    };
    const server = new Server({
      name: `${service}-${index + 1}`,
      service,
      zone,
      host,
      port: ports.app,
      control: settings.listen.control,
      ...this.serverOptions(index, service),
    });
    this.machines.push(new Machine(this.directory, settings, server));
  }

  /** Writes a configuration with the next version; the routes are { name, kind, service, ... }. */
  publish(routes) {
    this.version += 3;
    const resources = [
      {
        resource_type: 'limits',
        metadata: { name: 'limits' },
        specification: {
          max_header_bytes: 16384,
          max_body_bytes: 67108864,
          header_timeout_ms: 3000,
          idle_timeout_ms: 15000,
        },
      },
      ...[...new Set(this.services)].map((name) => ({
        resource_type: 'services',
        metadata: { name },
        specification: { health_path: '/health', connection_limit: 260 },
      })),
      ...routes.map(({ name, ...specification }) => ({
        resource_type: 'routes',
        metadata: { name },
        specification: {
          hostname: 'registry.example',
          prefix: `/${name}/`,
          priority: 1,
          attempts: 3,
          timeout_ms: 1200,
          target_latency_ms: 500,
          ...specification,
        },
      })),
    ];
    const version = this.version.toString(16).padStart(8, '0');
    this.store.put('op/config', JSON.stringify({ resources, version }));
    return Date.now();
  }

  async untilReady(timeoutMilliseconds = 20_000) {
    const deadline = Date.now() + timeoutMilliseconds;
    for (const machine of this.machines) {
      while ((await machine.readiness()) !== 200) {
        if (Date.now() > deadline) throw new Error(`${machine.name} did not become ready`);
        await pause(100);
      }
    }
  }

  async close({ keepLogs = false } = {}) {
    clearInterval(this.readinessTimer);
    clearInterval(this.memoryTimer);
    for (const machine of this.machines) {
      await machine.end('SIGKILL');
      machine.server.close();
    }
    this.store.close();
    if (!keepLogs) rmSync(this.directory, { force: true, recursive: true });
  }
}
