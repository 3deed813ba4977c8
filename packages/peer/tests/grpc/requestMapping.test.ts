import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AskRequest } from '../../src/generated/peer.ts';
import { requestFromWire, requestToWire } from '../../src/grpc/requestMapping.ts';

/** Field 99 with the text "new", as a later release may add. */
const UNKNOWN_FIELD = Buffer.from([0x9a, 0x06, 0x03, 0x6e, 0x65, 0x77]);

test('unknown fields are ignored and unknown variants are recognized', () => {
  // During a rolling update a newer host may send an unknown field or an unknown request variant.
  // The field must be ignored; the variant must decode to undefined rather than fail.
  const req = { type: 'withdraw', model: 'm', request: 'r1' } as const;
  const bytes = Buffer.from(AskRequest.encode(requestToWire(req)).finish());
  const read = AskRequest.decode(Buffer.concat([bytes, UNKNOWN_FIELD]));
  assert.deepEqual(requestFromWire(read), req);
  assert.equal(requestFromWire(AskRequest.decode(UNKNOWN_FIELD)), undefined);
});
