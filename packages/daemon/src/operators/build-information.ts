import type { BuildIdentity } from '@peridotspring/build-identity';
import type { Metrics } from '@peridotspring/operators/metrics';

/** Exposes which code the process runs. */
export function registerBuildIdentity(
  metrics: Pick<Metrics, 'addInformation'>,
  build: BuildIdentity,
): void {
  metrics.addInformation({
    help: 'The code that this process runs; always 1.',
    labels: { ...build },
    name: 'build_info',
  });
}
