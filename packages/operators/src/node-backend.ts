import type { Configuration, ProposalResult } from '@peridotspring/core';
import type { Question } from '@peridotspring/language/text';

import type { NodeQuestion } from './gathering/node-question.js';
import type { PeerGatherer } from './gathering/peer-gatherer.js';
import type { ZoneAnswer, ZoneQuestion, ZoneSurvey } from './gathering/zone-question.js';
import { ZoneSurveyor, type SurveyRequest } from './gathering/zone-surveyor.js';
import type { MemberView, Readiness } from './node-view.js';
import type {
  ChangePort,
  ChangeProposal,
  ChangeState,
  GatheredRows,
  GatherOptions,
  OperatorBackend,
} from './operator-backend.js';
import { localRows, type LocalSources } from './questions/local-rows.js';
import type { Row } from './questions/rows.js';

/** Parts that a `NodeBackend` is composed of. */
export interface NodeBackendParts extends LocalSources {
  readonly changes: ChangePort;
  readonly gatherer: PeerGatherer;
}

/** The backend of a real node: its view, journal and history, the other nodes and the change port. */
export class NodeBackend implements OperatorBackend {
  private readonly surveyor: ZoneSurveyor;

  public constructor(private readonly parts: NodeBackendParts) {
    const { gatherer, view } = parts;
    this.surveyor = new ZoneSurveyor({
      gatherer,
      server: view.identity.server,
      availabilityZone: view.identity.availabilityZone,
      members: () => view.members(),
      revision: () => view.configuration().revision,
      random: Math.random,
    });
  }

  public get server(): string {
    return this.parts.view.identity.server;
  }

  public configuration(): Configuration {
    return this.parts.view.configuration();
  }

  public members(): readonly MemberView[] {
    return this.parts.view.members();
  }

  public readiness(): Readiness {
    return this.parts.view.readiness();
  }

  public rows(question: Question): Promise<readonly Row[]> {
    return localRows(this.parts, question);
  }

  public gather(question: NodeQuestion, options: GatherOptions): Promise<GatheredRows> {
    return this.parts.gatherer.gather(question, options);
  }

  public survey(request: SurveyRequest): Promise<ReadonlyMap<string, ZoneSurvey>> {
    return this.surveyor.survey(request);
  }

  public answerZone(question: ZoneQuestion): Promise<ZoneAnswer> {
    return this.surveyor.answer(question);
  }

  public propose(proposal: ChangeProposal): Promise<ProposalResult> {
    return this.parts.changes.propose(proposal);
  }

  public stateOf(changeId: string): Promise<ChangeState> {
    return this.parts.changes.stateOf(changeId);
  }
}
