import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AskRequest } from '../../src/generated/peer.ts';
import { requestFromWire, requestToWire } from '../../src/grpc/requestMapping.ts';

/** Field 99 with the text "new", as a program of a later release may add it. */
const LATER_FIELD = Buffer.from([0x9a, 0x06, 0x03, 0x6e, 0x65, 0x77]);

test('fields and variants of a later release are tolerated', () => {
  // During a replacement a newer host sends a field, or a whole kind of request, that this program
  // has never heard of. The first must be skipped; the second must be told from garbage.
  const req = { type: 'withdraw', model: 'm', request: 'r1' } as const;
  const bytes = Buffer.from(AskRequest.encode(requestToWire(req)).finish());
  const read = AskRequest.decode(Buffer.concat([bytes, LATER_FIELD]));
  assert.deepEqual(requestFromWire(read), req);
  assert.equal(requestFromWire(AskRequest.decode(LATER_FIELD)), undefined);
});
