import { ChildProgram } from './child-program.js';
import type { ChildProgramOptions } from './child-program.js';
import type { ServerPlan } from './deployments.js';
import { findFreePorts } from './free-ports.js';

export const fleetPeerSecret = 'fleet-peer-secret-0001';
/** Flags of Node.js with which a node is started, as the first line of the daemon's program has them. */
export const nodeExecutableFlags = ['--max-semi-space-size=2'] as const;
export const fleetOperatorSecret = 'fleet-operator-secret-0001';

/** A server of the fleet: its node and its upstream, each a process. */
export interface FleetServer {
  readonly plan: ServerPlan;
  readonly callerPort: number;
  readonly operatorPort: number;
  readonly upstreamPort: number;
  /** Port for other nodes. */
  readonly peerPort: number;
  readonly node: ChildProgram;
  readonly upstream: ChildProgram;
  /** `host:port` on which the upstream itself answers requests. */
  readonly upstreamAddress: string;
  /** `host:port` of the upstream's control endpoint. */
  readonly control: string;
}

export interface ProcessFleetOptions {
  /** Compiled main module of the daemon. */
  readonly daemonScript: string;
  /** Compiled main module of the upstream stand-in. */
  readonly upstreamScript: string;
  readonly platformScript: string;
  /** Flags of Node.js for the nodes; {@link nodeExecutableFlags} unless given. */
  readonly executableFlags?: readonly string[] | undefined;
  readonly nodeFlags?: readonly string[] | undefined;
  /** Further flags of one node, for instance another advertised address. */
  readonly nodeFlagsOf?: ((server: string, peerPort: number) => readonly string[]) | undefined;
  readonly upstreamFlags?: readonly string[] | undefined;
  /** Folder for the programs' output; without it the output is dropped. */
  readonly logFolder?: string | undefined;
}

interface Ports {
  readonly caller: number;
  readonly peer: number;
  readonly upstream: number;
  readonly operator: number;
}

const portsPerNode = 4;
/** Processes that start at the same time; more would only wait for the processor. */
const concurrentStarts = 8;

/** The processes of one or more deployments on this machine, without any third-party program. */
export class ProcessFleet {
  public readonly servers = new Map<string, FleetServer>();
  public platformPort = 0;

  private platformProgram: ChildProgram | undefined;
  /** Every program that was started, so that `close` ends those that aren't ready yet as well. */
  private readonly programs = new Set<ChildProgram>();
  private isClosing = false;

  public constructor(private readonly options: ProcessFleetOptions) {}

  public get platform(): ChildProgram {
    if (this.platformProgram === undefined) {
      throw new Error('the platform stand-in was not started');
    }
    return this.platformProgram;
  }

  /** Starts the platform stand-in; after its end it starts again, empty, at the same port. */
  public async startPlatform(): Promise<void> {
    const [port = 0] = this.platformPort === 0 ? await findFreePorts(1) : [this.platformPort];
    this.platformPort = port;
    this.platformProgram = this.start({
      flags: ['--port', String(port)],
      logFile: this.logFile('platform'),
      name: 'platform stand-in',
      readyPattern: /event=platform-stand-in-listening/,
      script: this.options.platformScript,
    });
    await this.platformProgram.ready();
  }

  /** Starts the servers of all plans, a few at a time. */
  public async startServers(plans: readonly ServerPlan[]): Promise<void> {
    const ports = await findFreePorts(plans.length * portsPerNode);
    const waiting = plans.map((plan, index) => {
      const [caller = 0, peer = 0, upstream = 0, operator = 0] = ports.slice(index * portsPerNode);
      return { plan, ports: { caller, operator, peer, upstream } };
    });
    const worker = async (): Promise<void> => {
      for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
        await this.startServer(next.plan, next.ports);
      }
    };
    await Promise.all(Array.from({ length: concurrentStarts }, worker));
  }

  /** Starts a server again under its old name and addresses, as a new process. */
  public async restartServer(name: string): Promise<void> {
    const server = this.server(name);
    await server.node.close();
    await server.upstream.close();
    await this.startServer(server.plan, {
      caller: server.callerPort,
      operator: server.operatorPort,
      peer: server.peerPort,
      upstream: server.upstreamPort,
    });
  }

  public server(name: string): FleetServer {
    const server = this.servers.get(name);
    if (server === undefined) {
      throw new Error(`there is no server ${name}`);
    }
    return server;
  }

  public async close(): Promise<void> {
    this.isClosing = true;
    await Promise.all([...this.programs].map((program) => program.close()));
  }

  /** Starts a program, unless the fleet was closed in the meantime. */
  private start(options: ChildProgramOptions): ChildProgram {
    if (this.isClosing) {
      throw new Error(`${options.name} is not started because the fleet is closed`);
    }
    const program = new ChildProgram(options);
    this.programs.add(program);
    return program;
  }

  private async startServer(plan: ServerPlan, ports: Ports): Promise<void> {
    const node = this.startNode(plan, ports);
    await node.ready();
    const upstream = this.start({
      flags: [
        ...['--service', plan.service, '--slots', String(plan.slots)],
        ...['--connections', String(plan.connections)],
        ...['--node', `127.0.0.1:${ports.upstream}`],
        ...(this.options.upstreamFlags ?? []),
      ],
      logFile: this.logFile(`${plan.server}-upstream`),
      name: `upstream of ${plan.server}`,
      readyPattern: /event=listening address=(\S+) control=(\S+)/,
      script: this.options.upstreamScript,
    });
    const [, upstreamAddress = '', control = ''] = await upstream.ready();
    this.servers.set(plan.server, {
      callerPort: ports.caller,
      control,
      node,
      operatorPort: ports.operator,
      peerPort: ports.peer,
      plan,
      upstream,
      upstreamAddress,
      upstreamPort: ports.upstream,
    });
  }

  private startNode(plan: ServerPlan, ports: Ports): ChildProgram {
    const address = (port: number): string => `127.0.0.1:${port}`;
    return this.start({
      executableFlags: this.options.executableFlags ?? nodeExecutableFlags,
      environment: {
        PERIDOTSPRING_OPERATOR_SECRET: fleetOperatorSecret,
        PERIDOTSPRING_PEER_SECRET: fleetPeerSecret,
      },
      flags: [
        ...['--server-name', plan.server, '--availability-zone', plan.availabilityZone],
        ...['--region', plan.region, '--platform-address', address(this.platformPort)],
        ...['--caller-bind-address', address(ports.caller)],
        ...['--peer-bind-address', address(ports.peer)],
        ...['--upstream-bind-address', address(ports.upstream)],
        ...['--operator-bind-address', address(ports.operator)],
        ...(this.options.nodeFlags ?? []),
        ...(this.options.nodeFlagsOf?.(plan.server, ports.peer) ?? []),
      ],
      logFile: this.logFile(`${plan.server}-node`),
      name: `node of ${plan.server}`,
      readyPattern: /event=node-started/,
      script: this.options.daemonScript,
    });
  }

  private logFile(name: string): string | undefined {
    const { logFolder } = this.options;
    return logFolder === undefined ? undefined : `${logFolder}/${name}.log`;
  }
}
