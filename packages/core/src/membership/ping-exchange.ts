import type { AcknowledgementFrame, PingFrame } from '../messages/frames.js';
import { MemberState } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { FailureDetector } from './failure-detector.js';
import type { MemberComparison } from './member-comparison.js';
import type { MembershipLinks } from './membership-links.js';
import type { NewsSpreader } from './news-spreader.js';
import type { ZoneBridge } from './zone-bridge.js';

/** Interval at which members that were declared dead are pinged, one at a time. */
const endedPingIntervalMilliseconds = 10_000;

/** The parts that pings and acknowledgements concern. */
export interface PingExchangeParts {
  readonly links: MembershipLinks;
  readonly news: NewsSpreader;
  readonly detector: FailureDetector;
  readonly comparison: MemberComparison;
  readonly bridge: ZoneBridge;
  readonly revisionSeen: (server: string, revision: number) => void;
}

/** Answers pings and uses what acknowledgements show. */
export class PingExchange {
  private nextEndedPingAt = 0;

  public constructor(private readonly parts: PingExchangeParts) {}

  public answer(from: string, frame: PingFrame): void {
    const { links, news, comparison } = this.parts;
    const own = links.self().record;
    const sender = links.table.get(from)?.record;
    const updates = sender?.availabilityZone === own.availabilityZone ? news.updates.take() : [];
    const isDoubted = sender?.state === MemberState.Suspect || sender?.state === MemberState.Dead;
    // A node that is not known yet is answered on the connection that it opened.
    const target = sender ?? { ...own, server: from, peerAddress: '' };
    links.send(target, {
      kind: 'acknowledgement',
      sequence: frame.sequence,
      server: own.server,
      // A member that is believed dead and still pings has to learn of it to refute it.
      updates: isDoubted ? [...updates, sender] : updates,
      configurationRevision: links.configurationRevision(),
    });
    if (sender === undefined) comparison.start(target);
    this.seeRevision(from, frame.configurationRevision);
  }

  public acknowledged(from: string, frame: AcknowledgementFrame, now: ClockReading): void {
    const { links, detector, comparison, bridge } = this.parts;
    detector.acknowledged(frame.sequence, frame.server);
    this.seeRevision(from, frame.configurationRevision);
    const sender = links.table.get(from);
    const zone = sender && links.table.zone(sender.record.availabilityZone);
    if (sender === undefined || zone === undefined || zone === links.ownZone()) return;
    const wasReachable = links.table.isReachable(zone);
    bridge.heard(zone, now);
    if (!wasReachable) comparison.start(sender.record);
  }

  /** Members that ended may be back without knowing anybody, for example after a partition. */
  public pingEnded(now: ClockReading): void {
    if (now.monotonic < this.nextEndedPingAt) return;
    const { table, random } = this.parts.links;
    const jitter = 0.75 + 0.5 * random.next();
    this.nextEndedPingAt = now.monotonic + endedPingIntervalMilliseconds * jitter;
    table.forgetEnded(now);
    const record = table.pickEnded(random)?.record;
    if (record?.state === MemberState.Dead) this.parts.detector.ping(record, [record]);
  }

  private seeRevision(server: string, revision: number): void {
    if (revision === this.parts.links.configurationRevision()) return;
    this.parts.revisionSeen(server, revision);
  }
}
