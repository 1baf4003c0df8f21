import type { CallerHeaderNames } from '@peridotspring/callers';
import type { RouteConfiguration } from '@peridotspring/mesh-core';
import type { StoreCallCodec } from '@peridotspring/platform/key-values';
import type { ServerHeaderCodec, ServerMessageCodec } from '@peridotspring/upstreams/mesh';

/** A decoded configuration, or the reason why it is invalid. */
export type DecodedConfiguration =
  | {
      readonly kind: 'configuration';
      readonly configuration: RouteConfiguration;
      /** Types of resources that this version does not know and ignores. */
      readonly unknownTypes: readonly string[];
    }
  | { readonly kind: 'invalid'; readonly field: string; readonly message: string };

/** Header names, encodings and paths of everything that a node exchanges with its platform. */
export interface PlatformAdapter {
  readonly callerHeaders: CallerHeaderNames;
  readonly serverHeaders: ServerHeaderCodec;
  readonly serverMessages: ServerMessageCodec;
  readonly storeCalls: StoreCallCodec;
  readonly storeContentType: string;
  readonly readinessPath: string;
  decodeConfiguration(content: Uint8Array): DecodedConfiguration;
}
