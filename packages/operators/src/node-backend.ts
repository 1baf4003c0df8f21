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

export interface NodeBackendDependencies extends LocalSources {
  readonly changes: ChangePort;
  readonly gatherer: PeerGatherer;
}

/**
 * The backend of a running node. It reads the node's view, journal and refusal history, asks other
 * nodes through the gatherer, and commits changes through the change port.
 */
export class NodeBackend implements OperatorBackend {
  private readonly surveyor: ZoneSurveyor;

  public constructor(private readonly dependencies: NodeBackendDependencies) {
    const { gatherer, view } = dependencies;
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
    return this.dependencies.view.identity.server;
  }

  public configuration(): Configuration {
    return this.dependencies.view.configuration();
  }

  public members(): readonly MemberView[] {
    return this.dependencies.view.members();
  }

  public readiness(): Readiness {
    return this.dependencies.view.readiness();
  }

  public localRows(question: Question): Promise<readonly Row[]> {
    return localRows(this.dependencies, question);
  }

  public gather(question: NodeQuestion, options: GatherOptions): Promise<GatheredRows> {
    return this.dependencies.gatherer.gather(question, options);
  }

  public survey(request: SurveyRequest): Promise<ReadonlyMap<string, ZoneSurvey>> {
    return this.surveyor.survey(request);
  }

  public answerZoneQuestion(question: ZoneQuestion): Promise<ZoneAnswer> {
    return this.surveyor.answerQuestion(question);
  }

  public propose(proposal: ChangeProposal): Promise<ProposalResult> {
    return this.dependencies.changes.propose(proposal);
  }

  public lookUpChange(changeId: string): Promise<ChangeState> {
    return this.dependencies.changes.lookUpChange(changeId);
  }
}
