import { parentPort } from 'node:worker_threads';

import { parseStatement } from '@peridotspring/language';

import type { ParseResponse, ParseRequest } from './statement-parser.js';

parentPort?.on('message', ({ id, text }: ParseRequest) => {
  const response: ParseResponse = { id, result: parseStatement(text) };
  parentPort?.postMessage(response);
});
