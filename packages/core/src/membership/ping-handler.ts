import type { AcknowledgementFrame, PingFrame } from '../messages/frames.js';
import { MemberState } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { FailureDetector } from './failure-detector.js';
import type { AntiEntropy } from './anti-entropy.js';
import type { MembershipContext } from './membership-context.js';
import type { GossipDisseminator } from './gossip-disseminator.js';
import type { ZoneBridge } from './zone-bridge.js';

/** Average interval between pings to departed members; one random member is pinged each time. */
const departedPingIntervalMilliseconds = 10_000;

/** Collaborators of {@link PingHandler}. */
export interface PingHandlerDependencies {
  readonly context: MembershipContext;
  readonly disseminator: GossipDisseminator;
  readonly detector: FailureDetector;
  readonly antiEntropy: AntiEntropy;
  readonly bridge: ZoneBridge;
  readonly onRevisionDiffers: (server: string, revision: number) => void;
}

/** Acknowledges pings and handles acknowledgements received. */
export class PingHandler {
  private nextDepartedPingAt = 0;

  public constructor(private readonly dependencies: PingHandlerDependencies) {}

  public onPing(from: string, frame: PingFrame): void {
    const { context, disseminator, antiEntropy } = this.dependencies;
    const own = context.self().record;
    const sender = context.table.get(from)?.record;
    const updates =
      sender?.availabilityZone === own.availabilityZone
        ? disseminator.pendingUpdates.takeForFrame()
        : [];
    const isBelievedFailed =
      sender?.state === MemberState.Suspect || sender?.state === MemberState.Dead;
    // An unknown node has no address yet; the frame goes out on the connection that it opened.
    const target = sender ?? { ...own, server: from, peerAddress: '' };
    context.send(target, {
      kind: 'acknowledgement',
      sequence: frame.sequence,
      server: own.server,
      // A member believed suspect or dead that still pings must receive that record to refute it.
      updates: isBelievedFailed ? [...updates, sender] : updates,
      configurationRevision: context.configurationRevision(),
    });
    if (sender === undefined) antiEntropy.syncWith(target);
    this.checkRevision(from, frame.configurationRevision);
  }

  public onAcknowledgement(from: string, frame: AcknowledgementFrame, now: ClockReading): void {
    const { context, detector, antiEntropy, bridge } = this.dependencies;
    detector.onAcknowledgement(frame.sequence, frame.server);
    this.checkRevision(from, frame.configurationRevision);
    const sender = context.table.get(from);
    const zone = sender && context.table.zone(sender.record.availabilityZone);
    if (sender === undefined || zone === undefined || zone === context.ownZone()) return;
    const wasReachable = context.table.isReachable(zone);
    bridge.onResponse(zone, now);
    if (!wasReachable) antiEntropy.syncWith(sender.record);
  }

  /**
   * Pings a random departed member if it was declared dead: it may be back without knowing any other
   * member, for example after a partition.
   */
  public pingDepartedMember(now: ClockReading): void {
    if (now.monotonic < this.nextDepartedPingAt) return;
    const { table, random } = this.dependencies.context;
    const jitter = 0.75 + 0.5 * random.next();
    this.nextDepartedPingAt = now.monotonic + departedPingIntervalMilliseconds * jitter;
    table.removeExpiredDeparted(now);
    const record = table.pickDeparted(random)?.record;
    if (record?.state === MemberState.Dead) this.dependencies.detector.sendPing(record, [record]);
  }

  private checkRevision(server: string, revision: number): void {
    if (revision === this.dependencies.context.configurationRevision()) return;
    this.dependencies.onRevisionDiffers(server, revision);
  }
}
