// A small deployment on loopback addresses: nodes with the command of the deploy file, their servers, and a store.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { ApplicationServer } from './application-server-2.mjs';
import { PlatformStore } from './platform-store-2.mjs';

export const repository = join(dirname(fileURLToPath(import.meta.url)), '..');
const zones = ['hall-a', 'hall-b', 'hall-c'];
const region = 'region';

export const pause = async (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

export async function freePort(host) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, host, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** The program and its arguments from the deploy file. */
function deployedCommand() {
  const text = readFileSync(join(repository, 'deploy', 'system.toml'), 'utf8');
  const [program, ...parts] = (/^run = "(.*)"$/m.exec(text)?.[1] ?? '').split(' ');
  return { parts, program };
}

export class Deployment {
  constructor(recordFile) {
    this.store = new PlatformStore();
    this.nodes = [];
    this.directory = mkdtempSync(join(tmpdir(), 'peridotspring-review-'));
    this.record = createWriteStream(recordFile);
    this.startedAt = Date.now();
    this.version = 0;
    this.routes = [];
    this.services = new Map();
    this.tenants = [];
    this.limits = {
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
      max_body_bytes: 1_048_576,
      max_header_bytes: 16_384,
    };
  }

  log(text) {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    this.record.write(`${seconds.padStart(8)} ${text}\n`);
  }

  /** `services` has the service of each node's server, one entry a node. */
  async start(services, { bounds = {}, limits = {}, server = {}, zoneOf } = {}) {
    const storeHost = '127.0.90.1';
    const storePort = await freePort(storeHost);
    await this.store.listen(storeHost, storePort);
    for (const [index, service] of services.entries()) {
      const host = `127.0.91.${index + 1}`;
      const ports = [];
      while (ports.length < 5) {
        const port = await freePort(host);
        if (!ports.includes(port)) ports.push(port);
      }
      const [outbound, readiness, control, inner, app] = ports;
      const zone = zoneOf?.(index) ?? zones[index % zones.length];
      const settings = {
        app_address: `${host}:${app}`,
        bounds: {
          ack_timeout_ms: 4_000,
          address_reuse_s: 2,
          budget_slack: 62,
          budget_window_s: 10,
          catch_up_s: 4,
          config_propagation_ms: 2_000,
          drain_ms: 2_000,
          grace_period_s: 6,
          loss_slack_ms: 200,
          probes_per_s: 60,
          recovery_s: 15,
          retry_budget_ratio: 0.2,
          rollback_slack_ms: 250,
          seed_lag_s: 3,
          stability_window_ms: 3_000,
          stretch_max_ms: 5_000,
          ...bounds,
        },
        contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'health', 'platform'],
        counts_in_tolerance: false,
        data_directory: null,
        discovery: 'static',
        entry_point: 'static',
        fault_tolerance: { machines: 1, regions: 0, zones: 0 },
        first_start: true,
        heartbeat_interval_ms: 1_500,
        internal_ports: [inner, inner],
        ip_address: host,
        limits: {
          cores: 1,
          cpu_share: 0.54,
          disk_mb: 0,
          file_descriptors: 4_100,
          link_mbps: 1_000,
          memory_mb: 350,
          ...limits,
        },
        listen: {
          control: `${host}:${control}`,
          inbound: `${host}:${await freePort(host)}`,
          outbound: `${host}:${outbound}`,
          readiness: `${host}:${readiness}`,
        },
        machine_class: 'sidecar',
        node: `sidecar-${zone}-${index + 1}`,
        platform: {
          address: `${storeHost}:${storePort}`,
          form: 'kv',
          history_retention_s: 20,
          min_ttl_ms: 1_000,
          reads_per_s: 2_000,
          value_bytes: 1_048_576,
          writes_per_s: 400,
        },
        region,
        role: 'mesh',
        seeds: [],
        serves: ['sidecar'],
        service,
        zone,
        zones: Object.fromEntries(zones.map((name) => [name, region])),
      };
      const application = new ApplicationServer({
        control: settings.listen.control,
        host,
        port: app,
        record: (text) => this.log(text),
        service,
        zone,
        ...server,
      });
      const settingsFile = join(this.directory, `${settings.node}.json`);
      this.nodes.push({ application, child: undefined, host, outbound, settings, settingsFile });
    }
    this.publish();
    for (const node of this.nodes) {
      await node.application.listen();
      this.startNode(node);
    }
    await this.ready();
  }

  startNode(node) {
    const { parts, program } = deployedCommand();
    writeFileSync(node.settingsFile, JSON.stringify(node.settings));
    node.child = spawn(program === 'node' ? process.execPath : program, parts, {
      cwd: repository,
      env: {
        HOME: process.env.HOME ?? this.directory,
        PATH: process.env.PATH,
        PERIDOTSPRING_BOOT: node.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.log ??= createWriteStream(join(this.directory, `${node.settings.node}.log`));
    node.child.stdout.pipe(node.log, { end: false });
    node.child.stderr.pipe(node.log, { end: false });
    const { child } = node;
    child.on('exit', (code, signal) => {
      node.exits = [...(node.exits ?? []), { code, signal }];
      this.log(`process of ${node.settings.node} ended: ${signal ?? code}`);
    });
    this.log(`process of ${node.settings.node} started`);
    node.settings.first_start = false;
  }

  async endNode(node, signal) {
    const { child } = node;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    this.log(`${signal} to ${node.settings.node}`);
    child.kill(signal);
    await ended;
  }

  route(name, service, kind, more = {}) {
    this.routes.push({
      attempts: 2,
      hostname: 'shop.example',
      kind,
      name,
      prefix: `/${name}/`,
      priority: 0,
      service,
      target_latency_ms: 500,
      timeout_ms: 3_000,
      ...more,
    });
    this.services.set(service, { connection_limit: 260, health_path: '/health' });
  }

  publish() {
    this.version += 3;
    const resource =
      (resource_type) =>
      ({ name, ...specification }) => ({
        metadata: { name },
        resource_type,
        specification,
      });
    const services = [...this.services].map(([name, fields]) => ({ name, ...fields }));
    const resources = [
      ...this.routes.map(resource('routes')),
      ...services.map(resource('services')),
      ...this.tenants.map(resource('tenants')),
      resource('limits')({ name: 'limits', ...this.limits }),
    ];
    const version = this.version.toString(16).padStart(8, '0');
    this.store.put('op/config', JSON.stringify({ resources, version }));
    this.log(`configuration ${version} confirmed`);
  }

  async get(address, path) {
    const [host, port] = address.split(':');
    return new Promise((resolve) => {
      const request = httpRequest(
        { agent: false, host, path, port, timeout: 1_000 },
        (response) => {
          let body = '';
          response.setEncoding('utf8');
          response.on('data', (chunk) => (body += chunk));
          response.on('end', () => resolve({ body, status: response.statusCode }));
          response.on('error', () => resolve({ body: '', status: undefined }));
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve({ body: '', status: undefined }));
      request.end();
    });
  }

  /** Waits until all running nodes are ready and connected to each other. */
  async ready(nodes = this.nodes, seconds = 20) {
    const until = Date.now() + seconds * 1_000;
    for (const { settings } of nodes) {
      for (;;) {
        const { status } = await this.get(settings.listen.readiness, '/peridotspring/readiness');
        const metrics = await this.get(settings.listen.readiness, '/metrics');
        const connected = Number(/nodes_connected (\d+)/.exec(metrics.body)?.[1] ?? -1);
        if (status === 200 && connected >= nodes.length - 1) break;
        if (Date.now() > until) throw new Error(`${settings.node} is not ready`);
        await pause(50);
      }
    }
    this.log('all nodes are ready');
  }

  /** Sends one request; resolves to what the requester got. */
  async send(node, { body, deadline = 2_000, headers = {}, id, method = 'GET', path }) {
    this.log(`${id} sent to ${node.settings.node}: ${method} ${path}`);
    const result = await new Promise((resolve) => {
      const request = httpRequest(
        {
          agent: false,
          headers: {
            host: 'shop.example',
            'peridotspring-request-deadline': String(deadline),
            'peridotspring-request-id': id,
            ...headers,
          },
          host: node.host,
          method,
          path,
          port: node.outbound,
        },
        (response) => {
          let text = '';
          response.setEncoding('latin1');
          response.on('data', (chunk) => (text += chunk));
          response.on('error', () => undefined);
          response.on('close', () => {
            clearTimeout(timer);
            const { complete, headers: fields, statusCode: status } = response;
            const signature = fields['peridotspring-response-signature'];
            resolve({ body: text, complete, fields, signature, status });
          });
        },
      );
      const timer = setTimeout(() => request.destroy(new Error('time limit')), deadline + 1_000);
      request.on('error', (error) => {
        clearTimeout(timer);
        resolve({ error: error.message });
      });
      request.end(body);
    });
    const seen = result.status ?? `no answer (${result.error})`;
    this.log(`${id} got ${seen}, signature ${result.signature ?? 'none'}`);
    return result;
  }

  async close(keepLogs = false) {
    for (const { application, child } of this.nodes) {
      if (child?.exitCode === null && child.signalCode === null) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
      application.close();
    }
    this.store.close();
    await new Promise((resolve) => this.record.end(resolve));
    if (!keepLogs) rmSync(this.directory, { force: true, recursive: true });
  }
}
