import { readdirSync, readFileSync } from 'node:fs';

import { CounterName } from '@peridotspring/core';
import { Metrics } from '@peridotspring/operators';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { AllotmentGauges } from '../../src/mesh/allotment-synchronizer.js';
import { registerMemoryGauges } from '../../src/mesh/memory-gauges.js';
import { registerMeshGauges } from '../../src/mesh/mesh-gauges.js';
import type { MeshGaugeValues, MeshServiceGaugeValues } from '../../src/mesh/mesh-gauges.js';
import { registerBuildIdentity } from '../../src/operators/build-information.js';
import { registerGauges } from '../../src/operators/gauges.js';
import type { GaugeSources } from '../../src/operators/gauges.js';

const root = new URL('../../../../../', import.meta.url);

function readSourceTexts(): string[] {
  return readdirSync(new URL('packages/', root)).flatMap((name) => {
    const folder = new URL(`packages/${name}/src/`, root);
    return readdirSync(folder, { recursive: true })
      .map(String)
      .filter((file) => file.endsWith('.ts'))
      .map((file) => readFileSync(new URL(file, folder), 'utf8'));
  });
}

/**
 * Counters are created on their first increment, so their names are extracted from the source
 * files.
 */
function findCounterNames(): string[] {
  const literals = readSourceTexts().flatMap((text) =>
    [...text.matchAll(/\.count\('([a-z_]+)'|\bcounter: '([a-z_]+)'/g)].map(
      ([, argument, field]) => argument ?? field ?? '',
    ),
  );
  return [...literals, ...Object.values(CounterName)].map((name) => `${name}_total`);
}

async function findRegisteredNames(): Promise<string[]> {
  const metrics = new Metrics();
  const own = [...(await metrics.text()).matchAll(/^# TYPE peridotspring_(\S+)/gm)];
  const gauges: string[] = [];
  metrics.addGauge = ({ name }) => gauges.push(name);
  metrics.addLabelledGauge = ({ name }) => gauges.push(name);
  metrics.addInformation = ({ name }) => gauges.push(name);
  // Only the names are collected. The gauges are never read, so they need no sources.
  registerBuildIdentity(metrics, { architecture: '', commit: '', runtime: '', sources: '' });
  registerGauges(metrics, {} as GaugeSources);
  registerMemoryGauges(metrics, [{ heldByPlace: new Map() }]);
  registerMeshGauges(metrics, {
    allotmentGauges: () => ({}) as AllotmentGauges,
    gaugeValues: () => ({}) as MeshGaugeValues,
    serviceGaugeValues: () => ({}) as MeshServiceGaugeValues,
    waitingForLink: () => 0,
  });
  return [...own.map(([, name]) => name ?? ''), ...gauges];
}

test('docs/OPERATIONS.md lists exactly the metrics that exist', async () => {
  const page = readFileSync(new URL('docs/OPERATIONS.md', root), 'utf8');
  const listed = [...page.matchAll(/^\| `peridotspring_([a-z_]+)`/gm)].map(([, name]) => name);
  const defined = new Set([...findCounterNames(), ...(await findRegisteredNames())]);
  assert.equal([...listed].sort(), [...defined].sort());
});

test.run();
