import { fleetOperatorSecret } from './process-fleet.js';

export interface OperatorReply {
  readonly status: number;
  readonly body: unknown;
}

/** Sends a text in the operators' language to a node. */
export async function askOperator(operatorPort: number, text: string): Promise<OperatorReply> {
  const response = await fetch(`http://127.0.0.1:${operatorPort}/query`, {
    body: JSON.stringify({ output: 'json', text }),
    headers: {
      authorization: `Bearer ${fleetOperatorSecret}`,
      'content-type': 'application/json',
    },
    method: 'POST',
  });
  const body: unknown = await response.json();
  return { body, status: response.status };
}
