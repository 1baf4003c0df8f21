import type { CallerHeaderNames } from '@peridotspring/callers';
import type { RouteConfiguration } from '@peridotspring/mesh-core';
import type { StoreCallCodec } from '@peridotspring/platform/key-values';
import type { ServerHeaderCodec, ServerMessageCodec } from '@peridotspring/upstreams/mesh';

/** A configuration that was read, or why it can't be used. */
export type DecodedConfiguration =
  | { readonly kind: 'configuration'; readonly configuration: RouteConfiguration }
  | { readonly kind: 'invalid'; readonly field: string; readonly message: string };

/** Names and forms of everything that a node exchanges with the platform it runs on. */
export interface PlatformAdapter {
  readonly callerHeaders: CallerHeaderNames;
  readonly serverHeaders: ServerHeaderCodec;
  readonly serverMessages: ServerMessageCodec;
  readonly storeCalls: StoreCallCodec;
  readonly storeContentType: string;
  readonly readinessPath: string;
  decodeConfiguration(content: Uint8Array): DecodedConfiguration;
}
