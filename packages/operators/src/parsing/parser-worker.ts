import { parentPort } from 'node:worker_threads';

import { parseStatement } from '@peridotspring/language';

import type { ParseReply, ParseRequest } from './statement-parser.js';

parentPort?.on('message', ({ id, text }: ParseRequest) => {
  const reply: ParseReply = { id, result: parseStatement(text) };
  parentPort?.postMessage(reply);
});
